//! Analysis of the structured logs of processes: the trace of one request or job across all
//! processes, and the late and lost requests and jobs of a period, by cause.
//!
//! Only the line format of this project's programs is assumed. The one assumption about the log
//! collector is that it may put the name of the process in front of a line.

pub mod log_line;
pub mod loss_report;
pub mod trace;
