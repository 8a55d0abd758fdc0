//! Logging of errors that are handled locally instead of being returned.

use std::fmt;

/// Extension trait for results whose error is logged instead of returned.
pub trait LogError<T> {
    /// Returns the value, or logs the error as a warning named `event` and returns `None`.
    fn ok_or_log(self, event: &str) -> Option<T>;
}

impl<T, E: fmt::Display> LogError<T> for Result<T, E> {
    fn ok_or_log(self, event: &str) -> Option<T> {
        match self {
            Ok(value) => Some(value),
            Err(e) => {
                log::warn!("event={event} why=\"{e}\"");
                None
            }
        }
    }
}
