//! Reads the structured logs of processes: the path of one request or job over
//! all of them, and what was lost in a span of time, by cause.
//!
//! It knows the lines that the programs of this project write, and nothing of
//! how they were collected, but that a collector may put the name of the
//! process before a line.

pub mod log_line;
pub mod loss_report;
pub mod trace;
