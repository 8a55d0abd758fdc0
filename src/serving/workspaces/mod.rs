//! Workspaces: authentication of requests by API key, and rate limits.
//!
//! Imports nothing else of [`crate::serving`]; tokens of peers come through
//! [`limiter::TokenSource`].

pub mod api_key;
pub mod limit_messages;
pub mod limiter;
pub mod workspace_table;
