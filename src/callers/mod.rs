//! Connections of callers: read, served and written by one mechanism for all listeners, with a
//! bound on what each connection and all of them together may hold.

pub mod connection;
mod inbound;
pub mod memory;
mod outbound;
pub mod table;
mod transport;

pub use connection::ResponseDeadline;
pub use transport::{limit_buffers, CallerStream};
