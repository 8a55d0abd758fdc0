//! How many online requests may wait at an endpoint whose slots are taken.
//!
//! A request that waits is served in time only if a slot comes free early
//! enough: with `slots` runs that last `hold` each, one ends every
//! `hold / slots`. Beyond the number that can begin in time, an early refusal
//! serves callers better: they come back while there is still time.

use std::time;

/// Part of an objective within which a first event is planned to come: the
/// rest is for runs that are longer than the mean. Over capacity by half, and
/// with runs that differ by half, 0.5 brings at least nine tenths of what the
/// best fixed queue does over all speeds, slots and objectives tried, and 0.8
/// brings less (`tests/queue_limit.rs`).
const PLANNED_PART: f64 = 0.5;
/// Weight of the latest run in the mean of holds: about the last fifty count.
const HOLD_WEIGHT: f64 = 0.02;
/// Weight of a slower first event; a faster one counts at once. First events
/// that had to wait say little of how soon one comes where there is a slot.
const SLOWER_WEIGHT: f64 = 0.02;
/// Requests that wait for each slot at most, whatever was learned.
const MOST_PER_SLOT: f64 = 4.0;
/// Requests that wait for each slot while nothing was learned.
const FIRST_PER_SLOT: f64 = 0.25;

/// Learns how long requests hold a slot.
#[derive(Debug, Clone, Copy, Default)]
pub struct HoldTimeEstimate {
    mean_s: Option<f64>,
}

impl HoldTimeEstimate {
    /// Notes a run that began in a free slot.
    pub fn record(&mut self, hold: time::Duration) {
        let hold = hold.as_secs_f64();
        let mean = self.mean_s.unwrap_or(hold);
        self.mean_s = Some(mean + (hold - mean) * HOLD_WEIGHT);
    }

    /// Requests that may wait at an endpoint of so many slots, each for so long.
    pub fn queue(&self, slots: u32, wait: time::Duration) -> u32 {
        let per_slot = match self.mean_s {
            Some(mean) if mean > 0.0 => wait.as_secs_f64() / mean,
            _ => FIRST_PER_SLOT,
        };
        (f64::from(slots) * per_slot.min(MOST_PER_SLOT)).round() as u32
    }
}

/// Learns how soon a first event comes where there is a slot.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstEstimate {
    soon_s: Option<f64>,
}

impl FirstEstimate {
    /// Notes the time to a first event.
    pub fn record(&mut self, first: time::Duration) {
        let first = first.as_secs_f64();
        let soon = self.soon_s.unwrap_or(first);
        let slower = soon + (first - soon) * SLOWER_WEIGHT;
        self.soon_s = Some(first.min(slower));
    }

    /// How long a request may wait for a slot and be in time.
    pub fn wait(&self, objective: time::Duration) -> time::Duration {
        let first = time::Duration::from_secs_f64(self.soon_s.unwrap_or(0.0));
        objective.mul_f64(PLANNED_PART).saturating_sub(first)
    }
}
