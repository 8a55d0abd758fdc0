//! Limit on the requests that a cold endpoint gets.
//!
//! A cold endpoint crashes at a rate well above the one that it tolerates. Only its owner
//! sends requests there, at intervals that keep twice their rate within the tolerated one:
//! for some seconds after a change of members, or during a partition, an endpoint may have
//! two owners.

use std::time;

use crate::clock;

/// Limit on the requests to an endpoint while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// When the endpoint is warm.
    pub until: clock::MonotonicTime,
    /// Minimum interval between two requests.
    pub interval: time::Duration,
}

impl ColdLimit {
    /// Creates the limit of an endpoint that accepts `rate` requests per second until
    /// `until`. Returns `None` if its rate is not limited.
    pub fn new(until: clock::MonotonicTime, rate: f64) -> Option<Self> {
        let is_limited = rate.is_finite() && rate > 0.0;
        is_limited.then(|| Self {
            until,
            interval: time::Duration::from_secs_f64(1.0 / rate),
        })
    }
}

/// Gate that spaces the requests to one endpoint while it is cold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdGate {
    limit: Option<ColdLimit>,
    last_at: Option<clock::MonotonicTime>,
}

impl ColdGate {
    /// Replaces the limit; the time of the last request stays.
    pub fn set_limit(&mut self, limit: Option<ColdLimit>) {
        self.limit = limit;
    }

    /// Returns whether the endpoint is cold.
    pub fn is_cold(&self, now: clock::MonotonicTime) -> bool {
        self.limit.is_some_and(|limit| now < limit.until)
    }

    /// Returns whether the endpoint may get a request now.
    pub fn is_open(&self, now: clock::MonotonicTime) -> bool {
        let limit = self.limit.filter(|limit| now < limit.until);
        match (limit, self.last_at) {
            (Some(limit), Some(at)) => now.since(at) >= limit.interval,
            _ => true,
        }
    }

    /// Records that the endpoint gets a request.
    pub fn record(&mut self, now: clock::MonotonicTime) {
        self.last_at = Some(now);
    }
}
