//! Which waiting item of batch work starts next, and which stream gives its place up.
//!
//! The earliest due time first is the best order while all can be in time. Over
//! capacity it makes nearly all late, each by a little: those that are hopeless
//! keep the places of those that are not. So the hopeless go last.

/// What is known of an item when places are handed out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ItemTiming {
    /// When it is due, in milliseconds since the epoch.
    pub due_ms: u64,
    /// Time that its stream still needs in a place, in milliseconds, as far as known.
    pub remaining_ms: u64,
}

impl ItemTiming {
    /// Whether it cannot be in time even if it starts now.
    pub fn is_hopeless(&self, now_ms: u64) -> bool {
        now_ms + self.remaining_ms > self.due_ms
    }
}

/// Orders that are weighed; see `jayhollow-bench placement`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum OrderPolicy {
    /// The earliest due time first.
    DueFirst,
    /// The earliest due time first, those that cannot be in time last.
    FeasibleFirst,
    /// The least remaining work first, those that cannot be in time last.
    ShortestFirst,
}

/// What items are sorted by: the smallest starts first.
pub type StartKey = (bool, u64, u64);

impl OrderPolicy {
    /// The key of an item.
    pub fn start_key(self, item: &ItemTiming, now_ms: u64) -> StartKey {
        match self {
            Self::DueFirst => (false, item.due_ms, 0),
            Self::FeasibleFirst => (item.is_hopeless(now_ms), item.due_ms, item.remaining_ms),
            Self::ShortestFirst => (item.is_hopeless(now_ms), item.remaining_ms, item.due_ms),
        }
    }
}

/// Learns how long streams of a kind hold a place in all, to tell what is left.
#[derive(Debug, Clone, Copy, Default)]
pub struct DurationEstimate {
    mean_ms: f64,
}

/// Weight of the latest span in the mean: about the last ten count.
const SPAN_WEIGHT: f64 = 0.1;
/// Part of the mean that a stream is taken to need at least, once it is beyond the mean.
const LEAST_PART: f64 = 0.1;
/// Part of what the mean leaves that an item is taken to need.
///
/// A mean that is too high, as after a fault, would make items hopeless that
/// are not. On traces half of it brings 0.73 of the items in time, all of it
/// 0.74 (`jayhollow-bench placement`).
const HOPEFUL_PART: f64 = 0.5;

impl DurationEstimate {
    /// Notes the time that an item held places from its begin to its end.
    pub fn record(&mut self, span_ms: u64) {
        let duration = span_ms as f64;
        match self.mean_ms > 0.0 {
            true => self.mean_ms += (duration - self.mean_ms) * SPAN_WEIGHT,
            false => self.mean_ms = duration,
        }
    }

    /// What an item that has held places for `spent_ms` still needs at least,
    /// with some hope; nothing while no span is known.
    pub fn remaining_ms(&self, spent_ms: u64) -> u64 {
        let left = (self.mean_ms - spent_ms as f64).max(self.mean_ms * LEAST_PART);
        (left * HOPEFUL_PART) as u64
    }
}
