//! Errors that end where they are: each leaves a line that says why.

use std::fmt;

/// A result whose error is noted instead of passed on.
pub trait LogError<T> {
    /// The value, or nothing after a line named `event` with the reason.
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
