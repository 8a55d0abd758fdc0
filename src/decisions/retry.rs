//! Retry decisions: the retry budget and the backoff between attempts.

use std::time;

use rand::Rng;

use crate::{clock, outcome};

/// Retries earned per success, which limits retries to a fraction of the traffic.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Maximum number of saved retries.
const MAX_SAVED_RETRIES: f64 = 50.0;
/// Number of retries available before any success.
const INITIAL_RETRIES: f64 = 10.0;

/// Budget of retries that are earned by successes.
///
/// Invariant: `0 <= saved <= MAX_SAVED_RETRIES`.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: INITIAL_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Records a successful request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + RETRIES_PER_SUCCESS).min(MAX_SAVED_RETRIES);
    }

    /// Spends a retry; returns whether one was available.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// Limits on the attempts of one request.
#[derive(Debug, Clone, Copy)]
pub struct RetryTerms {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time by which the caller needs the response.
    pub deadline: clock::MonotonicTime,
    /// Maximum number of attempts.
    pub max_attempts: u32,
}

/// Minimum time before the deadline for another attempt to be worthwhile.
const MIN_TIME_LEFT: time::Duration = time::Duration::from_millis(5);

/// Decides whether to retry after `outcome`, the result of attempt number `attempts`, and
/// spends a retry if so.
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
    if terms.deadline.since(now) < MIN_TIME_LEFT {
        return false;
    }
    budget.spend()
}

/// Range of the delay between attempts, before jitter.
#[derive(Debug, Clone, Copy)]
pub struct DelayRange {
    /// Delay after the first attempt.
    pub first: time::Duration,
    /// Maximum delay.
    pub last: time::Duration,
}

/// Jitter as a fraction of the delay by which it is extended at random, so that attempts that
/// failed together do not repeat together.
const JITTER: f64 = 0.5;

/// Returns the delay after a failed attempt that follows `earlier` consecutive failures.
///
/// It doubles with each failure up to `range.last`, plus jitter.
pub fn backoff_delay(earlier: u32, range: &DelayRange, rng: &mut impl Rng) -> time::Duration {
    let factor = 2_u32.saturating_pow(earlier.min(16));
    let delay = range.first.saturating_mul(factor).min(range.last);
    delay.mul_f64(1.0 + rng.random_range(0.0..JITTER))
}
