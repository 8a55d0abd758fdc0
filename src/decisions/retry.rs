//! When a failed attempt may be tried again.

use std::time;

use rand::Rng;

use crate::{clock, outcome};

/// Retries earned per success, so that retries stay a fraction of the traffic.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Retries that may be saved up.
const MAX_SAVED_RETRIES: f64 = 50.0;
/// Retries there are before any success.
const FIRST_RETRIES: f64 = 10.0;

/// Retries that are left, earned by successes.
///
/// Invariant: `0 <= saved <= MAX_SAVED_RETRIES`.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: FIRST_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Notes a request that succeeded.
    pub fn earn(&mut self) {
        self.saved = (self.saved + RETRIES_PER_SUCCESS).min(MAX_SAVED_RETRIES);
    }

    /// Takes a retry if one is left.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// What binds the attempts of one request.
#[derive(Debug, Clone, Copy)]
pub struct RetryTerms {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When its caller needs the answer.
    pub deadline: clock::MonotonicTime,
    /// Attempts at most.
    pub max_attempts: u32,
}

/// Least time that must be left for another attempt to make sense.
const LEAST_TIME_LEFT: time::Duration = time::Duration::from_millis(5);

/// Whether to try again after `outcome`, the `attempts`-th attempt.
pub fn may_retry<T>(
    outcome: &outcome::AttemptOutcome<T>,
    attempts: u32,
    terms: &RetryTerms,
    budget: &mut RetryBudget,
    now: clock::MonotonicTime,
) -> bool {
    if !outcome.may_retry(terms.repeatable) {
        return false;
    }
    if attempts >= terms.max_attempts {
        return false;
    }
    if terms.deadline.since(now) < LEAST_TIME_LEFT {
        return false;
    }
    budget.spend()
}

/// The shortest and the longest pause between tries.
#[derive(Debug, Clone, Copy)]
pub struct DelayRange {
    /// After the first try.
    pub first: time::Duration,
    /// After many.
    pub last: time::Duration,
}

/// Part of a pause by which it is longer at random, so that tries that failed
/// together do not come together again.
const PAUSE_SPREAD: f64 = 0.5;

/// The pause after a try that came to nothing, as `earlier` before it in a row did.
///
/// It doubles with each, up to the longest, and is spread upwards.
pub fn backoff_delay(earlier: u32, range: &DelayRange, rng: &mut impl Rng) -> time::Duration {
    let factor = 2_u32.saturating_pow(earlier.min(16));
    let delay = range.first.saturating_mul(factor).min(range.last);
    delay.mul_f64(1.0 + rng.random_range(0.0..PAUSE_SPREAD))
}
