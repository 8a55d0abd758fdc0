//! Exactly-once relay of a stream's events to the caller: each index once, without gaps.

use crate::invariant;

/// Action for an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayStep {
    /// The event is the next one and is forwarded.
    Forward,
    /// The event was forwarded before.
    Drop,
    /// Events before this one are missing; the stream must be resumed.
    Gap,
}

/// Position of a relay in a response.
///
/// Invariant: `next` only grows, by one for each forwarded event.
#[derive(Debug, Clone, Default)]
pub struct RelayCursor {
    next: u32,
    finished: bool,
}

impl RelayCursor {
    /// Creates a cursor for a response whose events before `index` were received already.
    pub fn starting_at(index: u32) -> Self {
        Self {
            next: index,
            finished: false,
        }
    }

    /// Decides on the event with `index`; `last` tells whether it ends the response.
    pub fn accept(&mut self, index: u32, last: bool) -> RelayStep {
        if index < self.next {
            return RelayStep::Drop;
        }
        if index > self.next {
            return RelayStep::Gap;
        }
        invariant::check("nothing_after_the_last_event", !self.finished);
        self.next += 1;
        self.finished = last;
        RelayStep::Forward
    }

    /// Returns the index of the last forwarded event, if any.
    pub fn last_index(&self) -> Option<u32> {
        self.next.checked_sub(1)
    }

    /// Returns whether the last event of the response was forwarded.
    pub fn is_finished(&self) -> bool {
        self.finished
    }
}
