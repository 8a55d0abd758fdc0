//! Which events of a stream go on to the caller: each index once, none left out.

use crate::invariant;

/// What to do with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayStep {
    /// It is the next one.
    Forward,
    /// It was forwarded before.
    Drop,
    /// Events before it are missing: the stream must be taken up again.
    Gap,
}

/// Position of a relay in an answer.
///
/// Invariant: `next` only grows, by one at each forwarded event.
#[derive(Debug, Clone, Default)]
pub struct RelayCursor {
    next: u32,
    finished: bool,
}

impl RelayCursor {
    /// A cursor for an answer whose events before `index` are in hand already.
    pub fn starting_at(index: u32) -> Self {
        Self {
            next: index,
            finished: false,
        }
    }

    /// Decides about the event with `index`; `last` says whether it ends the answer.
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

    /// Index of the event forwarded last, if any.
    pub fn last_index(&self) -> Option<u32> {
        self.next.checked_sub(1)
    }

    /// Whether the last event was forwarded.
    pub fn is_finished(&self) -> bool {
        self.finished
    }
}
