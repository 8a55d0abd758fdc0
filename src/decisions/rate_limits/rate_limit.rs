//! A limit, and how many of its tokens may be unspent at a time.

use std::{fmt, num, str, time};

/// Requests a second; positive and finite.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Requests a second as a number.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// Why a text is no rate.
#[derive(Debug, thiserror::Error)]
pub enum RateError {
    /// It is no number.
    #[error("not a number: {0}")]
    NotANumber(#[from] num::ParseFloatError),
    /// It is not positive.
    #[error("a rate is positive and finite")]
    OutOfRange,
}

impl str::FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rate: f64 = text.trim_end_matches("/s").parse()?;
        match rate > 0.0 && rate.is_finite() {
            true => Ok(Self(rate)),
            false => Err(RateError::OutOfRange),
        }
    }
}

/// Requests a second and a burst on top, over all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RateLimit {
    /// Sustained rate.
    pub rate: RequestRate,
    /// Requests on top of the rate; not negative.
    pub burst: f64,
}

impl RateLimit {
    /// A limit; none where the rate is not positive.
    pub fn new(rate: f64, burst: f64) -> Option<Self> {
        let is_limited = rate > 0.0 && rate.is_finite();
        is_limited.then(|| Self {
            rate: RequestRate(rate),
            burst: burst.max(0.0),
        })
    }

    /// Tokens that all pools of the workspace hold at most.
    pub fn depth(&self, tolerance: &LimitTolerance) -> f64 {
        let in_transit = self.rate.0 * IN_TRANSIT.as_secs_f64();
        let margin = tolerance.margin(self) * USED_MARGIN;
        (self.burst + margin - in_transit).max(LEAST_DEPTH)
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}+{}", self.rate, self.burst)
    }
}

/// How far the count of requests in a window may lie above the limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTolerance {
    /// Length of the window.
    pub window: time::Duration,
    /// Fraction of the limit.
    pub overage: f64,
    /// Requests.
    pub slack: f64,
}

impl Default for LimitTolerance {
    fn default() -> Self {
        Self {
            window: time::Duration::from_secs(1),
            overage: 0.0,
            slack: 0.0,
        }
    }
}

impl LimitTolerance {
    /// Requests that a window may have at most.
    pub fn bound(&self, limit: &RateLimit) -> f64 {
        let allowed = limit.rate.0 * self.window.as_secs_f64() + limit.burst;
        allowed + self.margin(limit)
    }

    fn margin(&self, limit: &RateLimit) -> f64 {
        let allowed = limit.rate.0 * self.window.as_secs_f64() + limit.burst;
        allowed * self.overage + self.slack
    }
}

/// Fraction of the tolerance by which pools are deeper than the burst; the rest is for
/// gateways that count different numbers of each other.
const USED_MARGIN: f64 = 0.9;
/// Longest flow of tokens that is neither in a pool nor spent: in deposits
/// ([`super::token_pools::CREDIT_BURST`]) and in grants ([`super::token_cache::GRANT_TTL`]).
const IN_TRANSIT: time::Duration = time::Duration::from_millis(400);
/// A pool that cannot hold a whole token would admit nothing.
const LEAST_DEPTH: f64 = 1.0;
