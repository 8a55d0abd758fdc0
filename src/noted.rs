//! Errors that end where they are: each leaves a line that says why.

use std::fmt;

/// A result whose error is noted instead of passed on.
pub trait NotedError<T> {
    /// The value, or nothing after a line named `event` with the reason.
    fn noted(self, event: &str) -> Option<T>;
}

impl<T, E: fmt::Display> NotedError<T> for Result<T, E> {
    fn noted(self, event: &str) -> Option<T> {
        match self {
            Ok(value) => Some(value),
            Err(e) => {
                log::warn!("event={event} why=\"{e}\"");
                None
            }
        }
    }
}
