//! Rate limits of workspaces over all gateways together.
//!
//! Each gateway has an equal share of each limit. A share is a flow of tokens that
//! comes into being at its gateway, as time passes there. Gateways deposit it, as
//! time, with the keepers of the pools of tokens ([`share_clock`], [`token_pools`]),
//! and draw tokens from the pools of those workspaces that their callers belong to
//! ([`token_cache`]). A token is in one place at a time; what a lost message or a lost
//! process takes along is gone. So the sum of what is spent needs no agreement: views
//! that differ, partitions and restarts can lose tokens but make none.

pub mod rate_limit;
pub mod share_clock;
pub mod token_cache;
pub mod token_pools;
