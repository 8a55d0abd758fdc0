//! jayhollow serves online and batch inference on one fleet of model endpoints.
pub mod bundle;
pub mod clock;
pub mod decisions;
pub mod error;
pub mod http_server;
pub mod ids;
pub mod invariant;
pub mod metrics;
pub mod outcome;
pub mod platform;
pub mod settle;
pub mod standin;
pub mod store;
pub mod store_client;
pub mod wire;
