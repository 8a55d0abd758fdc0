//! Decision logic as pure functions and state machines.
//!
//! Time, randomness and messages are arguments. There is no I/O, no locking and no clock
//! access, so that simulations with a seed can drive every decision.

pub mod admission;
pub mod authentication;
pub mod bundle_steps;
pub mod call_budget;
pub mod caller_budget;
pub mod chunk;
pub mod cold_start;
pub mod connection_shedding;
pub mod crash_ledger;
mod crash_record;
pub mod endpoint_backoff;
pub mod endpoint_choice;
pub mod endpoint_doubt;
pub mod endpoint_speed;
pub mod health;
pub mod index_ranges;
pub mod item_order;
pub mod job;
pub mod job_order;
pub mod job_plan;
pub mod lease;
pub mod liveness;
pub mod origin_holders;
pub mod owner_order;
pub mod ownership;
pub mod peer_subset;
pub mod queue_limit;
pub mod rate_limits;
pub mod relay;
pub mod retry;
pub mod return_schedule;
pub mod routing;
pub mod staging;
pub mod start_hold;
pub mod step_model;
mod subject_policy;
pub mod version_history;
pub mod wait_queue;
pub mod workspace_limit;
