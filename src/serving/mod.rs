//! Serving of opaque requests, streams and batch jobs by the routes of a desired state.
//!
//! While [`crate::gateway`] implements the OpenAI API, this module forwards requests
//! unchanged, by host and path. The wire format, the store and the source of the desired
//! state are interfaces, [`wire`], [`crate::store`] and [`fleet_source`], that an adapter
//! crate implements.
//!
//! A process runs all of it on one thread: an instance has one core, and a hop between
//! threads costs more than the work of a small request.

pub mod attempt;
pub mod attempt_flow;
pub mod borrowed_slots;
pub mod caller_handler;
pub mod checkpoint_file;
pub mod connection;
mod connection_gate;
pub mod connection_pool;
pub mod context;
mod continuations;
mod crash_guard;
mod crash_trials;
mod crash_watch;
pub mod directory;
pub mod directory_transfer;
pub mod endpoint_entry;
mod endpoint_index;
mod endpoint_records;
mod endpoint_reports;
pub mod evacuations;
pub mod event_flow;
pub mod event_split;
pub mod fleet_model;
pub mod fleet_source;
pub mod fleet_sync;
mod held_permit;
pub mod held_slot;
pub mod item_run;
pub mod job_acceptance;
pub mod job_budget;
pub mod job_calls;
pub mod job_checkpoints;
mod job_ends;
pub mod job_records;
pub mod job_runner;
pub mod job_supervisor;
pub mod job_table;
pub mod job_upkeep;
mod limit_links;
pub mod listener;
mod loop_delay;
mod member_sync;
pub mod members;
pub mod metrics_page;
pub mod open_job;
mod origin_exchange;
pub mod origin_file;
pub mod owners;
pub mod peer_calls;
pub mod peer_links;
pub mod peer_server;
pub mod peers;
mod pending_permit;
pub mod permits;
mod probes;
pub mod process;
pub mod progress_transfer;
mod queried_owners;
pub mod readiness_gate;
pub mod ready_items;
pub mod refusals;
pub mod relay;
mod request_admission;
pub mod response_copy;
pub mod result_parts;
pub mod route_table;
pub mod search_backoff;
pub mod selection;
pub mod single_flight;
mod slot_grants;
pub mod slot_queue;
mod slot_relay;
pub mod slot_requests;
pub mod slots;
pub mod slow_attempt;
pub mod split_records;
mod start_check;
pub mod start_confirmations;
pub mod start_record;
pub mod state_snapshot;
pub mod state_transfer;
pub mod stream_origins;
mod stream_resumption;
mod suspension;
mod trial_state;
pub mod unlisted_starts;
pub mod waiting_grants;
pub mod wire;
pub mod workspaces;
