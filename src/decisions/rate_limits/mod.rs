//! Rate limits of workspaces, enforced over all gateways together.
//!
//! Each gateway has an equal share of each limit. A share is a flow of tokens that its
//! gateway generates as time passes. Gateways deposit the share, measured in time, with the
//! quota servers, which hold the token pools ([`share_clock`], [`token_pools`]), and request
//! tokens from the pools of the workspaces that their callers belong to ([`token_cache`]).
//! Requests that find none may wait for one ([`token_queue`]). After a restart of all processes
//! the pools receive a start credit ([`start_credit`]).
//! Each token exists in one place at a time; tokens in a lost message or a lost process are
//! lost. The limit therefore holds without agreement: differing membership views, partitions
//! and restarts can lose tokens but never create any.

pub mod rate_limit;
pub mod share_clock;
pub mod start_credit;
pub mod token_cache;
pub mod token_pools;
pub mod token_queue;
