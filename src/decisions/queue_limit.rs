//! Limit on the online requests that wait at an endpoint without free slots.
//!
//! A waiting request is on time only if a slot is freed early enough: with `slots` runs of
//! duration `hold`, one ends every `hold / slots`. Requests in excess of those that can start
//! in time are better refused early, while their callers still have time to retry.

use std::time;

/// Fraction of an objective within which the first event is planned to arrive; the rest
/// covers runs that are longer than the mean. At 150 % load, with runs that vary by half, 0.5
/// keeps at least nine tenths of the requests on time that the best fixed queue does for all
/// speeds, slot counts and objectives tried, and 0.8 keeps fewer (`tests/queue_limit.rs`).
const PLANNED_FRACTION: f64 = 0.5;
/// Weight of the latest run in the mean hold time, which covers about the last fifty.
const HOLD_WEIGHT: f64 = 0.02;
/// Weight of a first event that is slower than the estimate; a faster one replaces the
/// estimate. The time of a request that had to wait says little about the time with a free
/// slot.
const SLOWER_WEIGHT: f64 = 0.02;
/// Maximum number of waiting requests per slot.
const MAX_PER_SLOT: f64 = 4.0;
/// Number of waiting requests per slot while no run is recorded.
const DEFAULT_PER_SLOT: f64 = 0.25;

/// Returns the part of an objective that may be spent on waiting before the first event.
pub fn planned_wait(objective: time::Duration) -> time::Duration {
    objective.mul_f64(PLANNED_FRACTION)
}

/// Estimate of the time for which requests hold a slot.
#[derive(Debug, Clone, Copy, Default)]
pub struct HoldTimeEstimate {
    mean_s: Option<f64>,
}

impl HoldTimeEstimate {
    /// Records the duration of a run that started in a free slot.
    pub fn record(&mut self, hold: time::Duration) {
        let hold = hold.as_secs_f64();
        let mean = self.mean_s.unwrap_or(hold);
        self.mean_s = Some(mean + (hold - mean) * HOLD_WEIGHT);
    }

    /// Returns the mean time for which a slot is held; `None` before the first run.
    pub fn mean(&self) -> Option<time::Duration> {
        let mean = self.mean_s.filter(|mean| *mean > 0.0)?;
        Some(time::Duration::from_secs_f64(mean))
    }

    /// Returns how many requests may wait at an endpoint with `slots` slots, each for up to
    /// `max_wait`.
    pub fn max_waiting(&self, slots: u32, max_wait: time::Duration) -> u32 {
        let per_slot = match self.mean_s {
            Some(mean) if mean > 0.0 => max_wait.as_secs_f64() / mean,
            _ => DEFAULT_PER_SLOT,
        };
        (f64::from(slots) * per_slot.min(MAX_PER_SLOT)).round() as u32
    }
}

/// Estimate of the time to the first event of a request that has a slot.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstEventEstimate {
    estimate_s: Option<f64>,
}

impl FirstEventEstimate {
    /// Records the time to a first event.
    pub fn record(&mut self, first: time::Duration) {
        let first = first.as_secs_f64();
        let estimate = self.estimate_s.unwrap_or(first);
        let slower = estimate + (first - estimate) * SLOWER_WEIGHT;
        self.estimate_s = Some(first.min(slower));
    }

    /// Returns how long a request may wait for a slot and still meet `objective`.
    pub fn max_wait(&self, objective: time::Duration) -> time::Duration {
        let first = time::Duration::from_secs_f64(self.estimate_s.unwrap_or(0.0));
        planned_wait(objective).saturating_sub(first)
    }
}
