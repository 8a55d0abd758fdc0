//! Serving by routes: opaque requests, streams and batch jobs through a desired state.
//!
//! Where [`crate::gateway`] speaks the OpenAI interface, this part forwards
//! requests as they come, by host and path. The words on the wire, the store
//! and the source of the desired state are borders: [`wire`], [`crate::store`]
//! and [`fleet_source`]. An adapter crate brings their implementations.
//!
//! All of it runs on one thread of a process: an instance has one core, and a
//! hop between threads costs more than the work of a small request.

pub mod answer_copy;
pub mod attempt;
pub mod attempt_flow;
pub mod caller_handler;
mod caller_socket;
pub mod checkpoint_file;
pub mod connection;
pub mod connection_pool;
pub mod context;
mod crash_guard;
mod crash_watch;
pub mod directory;
mod endpoint_reports;
pub mod event_flow;
pub mod event_split;
pub mod fleet_model;
pub mod fleet_source;
pub mod fleet_sync;
pub mod item_run;
pub mod job_acceptance;
pub mod job_board;
pub mod job_calls;
pub mod job_checkpoints;
pub mod job_records;
pub mod job_runner;
pub mod job_sponsor;
pub mod job_upkeep;
pub mod lent_slots;
mod limit_links;
pub mod listener;
pub mod members;
pub mod metrics_page;
pub mod open_job;
pub mod owners;
pub mod peer_calls;
pub mod peer_links;
pub mod peer_server;
pub mod peers;
pub mod permits;
pub mod process;
pub mod progress_transfer;
pub mod ready_items;
pub mod relay;
mod request_admission;
pub mod route_table;
pub mod search_pace;
pub mod selection;
pub mod single_flight;
pub mod slots;
pub mod slow_attempt;
pub mod state_snapshot;
pub mod state_transfer;
mod suspension;
pub mod wire;
pub mod workspaces;
