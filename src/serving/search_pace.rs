//! The pace at which a place is asked for again after there was none.

use std::time;

/// First pause of a search.
///
/// Requests last about half a second, so that of eight slots one is free again
/// each 60 ms: asked sooner, an owner says the same.
const INITIAL_DELAY: time::Duration = time::Duration::from_millis(50);
/// Longest pause of a search.
///
/// Guards owners and links in a time in which many streams are slow at once:
/// each asks three owners at most, 2.5 times a second. Half of the pause that
/// routes allow between events is of the same size.
const MAX_DELAY: time::Duration = time::Duration::from_millis(400);

/// The pace of one search; each pause is twice the one before.
#[derive(Debug, Clone, Copy)]
pub struct SearchPace {
    next: time::Duration,
}

impl Default for SearchPace {
    fn default() -> Self {
        Self {
            next: INITIAL_DELAY,
        }
    }
}

impl SearchPace {
    /// The next pause.
    pub fn next_delay(&mut self) -> time::Duration {
        let delay = self.next;
        self.next = (delay * 2).min(MAX_DELAY);
        delay
    }
}
