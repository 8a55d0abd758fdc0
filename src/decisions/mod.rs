//! Decisions: plain values in, plain values out.
//!
//! Time, randomness and messages are arguments here. There is no I/O, no lock
//! and no clock, so that seeded runs can drive every decision.

pub mod admission;
pub mod authentication;
pub mod bundle_steps;
pub mod call_budget;
pub mod chunk;
pub mod crash_ledger;
pub mod endpoint_backoff;
pub mod health;
pub mod index_ranges;
pub mod item_order;
pub mod job;
pub mod job_order;
pub mod job_plan;
pub mod lease;
pub mod owner_order;
pub mod ownership;
pub mod queue_limit;
pub mod rate_limits;
pub mod relay;
pub mod retry;
pub mod routing;
pub mod step_model;
pub mod workspace_limit;
