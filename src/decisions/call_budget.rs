//! Priority queue for calls to the object service, within its rate limit.

use std::{collections, fmt, time};

use crate::clock;

/// Purpose of a call, in order of priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallClass {
    /// Bundles, heartbeats and cancellations.
    Control,
    /// Commits of results, and records of calls that must not be repeated.
    Commit,
    /// Acceptance and claims of new work.
    Claim,
    /// Reads and lists.
    Read,
}

/// All classes in order of priority.
pub const CLASSES: [CallClass; 4] = [
    CallClass::Control,
    CallClass::Commit,
    CallClass::Claim,
    CallClass::Read,
];

impl fmt::Display for CallClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Control => "control",
            Self::Commit => "commit",
            Self::Claim => "claim",
            Self::Read => "read",
        })
    }
}

/// Calls per second.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    PartialOrd,
    serde::Serialize,
    serde::Deserialize,
    schemars::JsonSchema,
)]
pub struct CallRate(pub f64);

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl std::str::FromStr for CallRate {
    type Err = std::num::ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim_end_matches("/s").parse().map(Self)
    }
}

/// Token bucket that refills at a constant rate.
///
/// Invariant: `0 <= tokens <= burst`.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled_at: clock::MonotonicTime,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: f64, burst: f64, now: clock::MonotonicTime) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            filled_at: now,
        }
    }

    /// Creates an empty bucket.
    pub fn empty(rate: f64, burst: f64, now: clock::MonotonicTime) -> Self {
        Self {
            tokens: 0.0,
            ..Self::new(rate, burst, now)
        }
    }

    /// Takes up to `amount` tokens and returns how many were taken.
    pub fn take_up_to(&mut self, amount: f64, now: clock::MonotonicTime) -> f64 {
        self.fill(now);
        let taken = amount.min(self.tokens);
        self.tokens -= taken;
        taken
    }

    /// Changes the rate and the size of the bucket.
    pub fn set_rate(&mut self, rate: f64, burst: f64, now: clock::MonotonicTime) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    fn fill(&mut self, now: clock::MonotonicTime) {
        let gained = now.since(self.filled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes a token.
    ///
    /// # Errors
    /// There is no token; the error is the time until there is one.
    pub fn take(&mut self, now: clock::MonotonicTime) -> Result<(), time::Duration> {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - self.tokens) / self.rate.max(f64::MIN_POSITIVE);
        Err(time::Duration::from_secs_f64(missing.min(MAX_WAIT_SECONDS)))
    }
}

/// Upper bound of the reported wait for a token, in seconds.
const MAX_WAIT_SECONDS: f64 = 60.0;

/// Queued calls and the rate limit that they share.
///
/// Invariant: `queued` is the number of calls in `queues` and is at most `capacity`.
pub struct CallBudget<T> {
    queues: [collections::VecDeque<T>; CLASSES.len()],
    queued: usize,
    capacity: usize,
    bucket: TokenBucket,
}

impl<T> CallBudget<T> {
    /// Creates a budget whose queue holds at most `capacity` calls.
    pub fn new(rate: CallRate, capacity: usize, now: clock::MonotonicTime) -> Self {
        // Calls of half a second may be made at once: enough for a short burst, without a
        // thundering herd on the object service.
        let burst = (rate.0 / 2.0).max(1.0);
        Self {
            queues: Default::default(),
            queued: 0,
            capacity,
            bucket: TokenBucket::new(rate.0, burst, now),
        }
    }

    /// Queues a call.
    ///
    /// # Errors
    /// The queue is full; the error returns the call.
    pub fn push(&mut self, class: CallClass, call: T) -> Result<(), T> {
        if self.queued >= self.capacity {
            return Err(call);
        }
        self.queued += 1;
        self.queues[class as usize].push_back(call);
        Ok(())
    }

    /// Takes the next call that may be made now.
    ///
    /// # Errors
    /// No call may be made now; the error is the time to wait, or `None` if the queue is empty.
    pub fn next(&mut self, now: clock::MonotonicTime) -> Result<T, Option<time::Duration>> {
        if self.queued == 0 {
            return Err(None);
        }
        self.bucket.take(now).map_err(Some)?;
        let call = self.queues.iter_mut().find_map(|q| q.pop_front());
        self.queued -= 1;
        call.ok_or(None)
    }

    /// Returns the number of queued calls.
    pub fn queued(&self) -> usize {
        self.queued
    }
}
