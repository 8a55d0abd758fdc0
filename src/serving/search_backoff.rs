//! Backoff between two requests for a slot while there is none.

use std::time;

/// First delay of a search.
///
/// Requests last about half a second, so one of an endpoint's eight slots becomes free
/// about every 60 ms: an earlier request would get the same reply.
const INITIAL_DELAY: time::Duration = time::Duration::from_millis(50);
/// Longest delay of a search.
///
/// Limits the load on owners and links while many streams are slow at once: each stream
/// queries at most three owners, 2.5 times a second. Half of the gap that routes allow
/// between two events is about as long.
const MAX_DELAY: time::Duration = time::Duration::from_millis(400);

/// Backoff of one search; each delay is twice the previous one.
#[derive(Debug, Clone, Copy)]
pub struct SearchBackoff {
    next: time::Duration,
}

impl Default for SearchBackoff {
    fn default() -> Self {
        Self {
            next: INITIAL_DELAY,
        }
    }
}

impl SearchBackoff {
    /// Returns the next delay and doubles the one after it.
    pub fn next_delay(&mut self) -> time::Duration {
        let delay = self.next;
        self.next = (delay * 2).min(MAX_DELAY);
        delay
    }
}
