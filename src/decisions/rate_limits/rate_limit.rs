//! A rate limit, and the maximum number of its tokens that may be unspent at a time.

use std::{fmt, num, str, time};

use super::token_pools;

/// Requests per second; positive and finite.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// Error from parsing a rate.
#[derive(Debug, thiserror::Error)]
pub enum RateError {
    /// The text is not a number.
    #[error("not a number: {0}")]
    NotANumber(#[from] num::ParseFloatError),
    /// The number is not positive and finite.
    #[error("the rate must be positive and finite")]
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

/// Sustained request rate and burst, over all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RateLimit {
    /// Sustained rate.
    pub rate: RequestRate,
    /// Requests on top of the rate; not negative.
    pub burst: f64,
}

impl RateLimit {
    /// Creates a limit; returns `None` if the rate is not positive and finite.
    pub fn new(rate: f64, burst: f64) -> Option<Self> {
        let is_limited = rate > 0.0 && rate.is_finite();
        is_limited.then(|| Self {
            rate: RequestRate(rate),
            burst: burst.max(0.0),
        })
    }

    /// Returns the maximum number of tokens in all pools of the workspace together, where no
    /// quota server accepts start credits.
    pub fn depth(&self, tolerance: &LimitTolerance) -> f64 {
        self.raw_depth(tolerance).max(MIN_DEPTH)
    }

    /// Returns the maximum number of tokens in all pools of the workspace together, where the
    /// quota servers may accept a start credit.
    pub fn depth_beside_start_credit(&self, tolerance: &LimitTolerance) -> f64 {
        let depth = self.raw_depth(tolerance) - self.start_credit(tolerance);
        depth.max(MIN_DEPTH)
    }

    /// Returns the number of tokens that are credited once after a restart of all processes, to
    /// all pools of the workspace together.
    ///
    /// They are taken from the margin of the pools: at most half of it, and only what leaves the
    /// depth for the burst and for the largest credit at once.
    pub fn start_credit(&self, tolerance: &LimitTolerance) -> f64 {
        let largest_credit = self.rate.0 * token_pools::CREDIT_BURST.as_secs_f64();
        let least_depth = self.burst.max(largest_credit).max(MIN_DEPTH);
        let spare = (self.raw_depth(tolerance) - least_depth).max(0.0);
        let missing = self.rate.0 * START_CREDIT_TIME.as_secs_f64();
        let start_credit = missing.max(MIN_START_CREDIT).min(spare);
        start_credit.min(tolerance.margin(self) * START_CREDIT_MARGIN)
    }

    fn raw_depth(&self, tolerance: &LimitTolerance) -> f64 {
        let in_transit = self.rate.0 * IN_TRANSIT.as_secs_f64();
        self.burst + tolerance.margin(self) * POOL_MARGIN - in_transit
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}+{}", self.rate, self.burst)
    }
}

/// Amount by which the number of requests in a window may exceed the limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTolerance {
    /// Length of the window.
    pub window: time::Duration,
    /// Allowed excess as a fraction of the limit.
    pub overage: f64,
    /// Allowed excess as a number of requests.
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
    /// Returns the maximum number of requests in a window.
    pub fn bound(&self, limit: &RateLimit) -> f64 {
        let allowed = limit.rate.0 * self.window.as_secs_f64() + limit.burst;
        allowed + self.margin(limit)
    }

    /// Returns whether a window may hold more requests than the limit says.
    pub fn has_margin(&self) -> bool {
        self.overage > 0.0 || self.slack > 0.0
    }

    fn margin(&self, limit: &RateLimit) -> f64 {
        let allowed = limit.rate.0 * self.window.as_secs_f64() + limit.burst;
        allowed * self.overage + self.slack
    }
}

/// Fraction of the tolerance that pools and start credits use on top of the burst. The rest
/// covers gateways that disagree on the number of gateways.
const POOL_MARGIN: f64 = 0.9;
/// Fraction of the tolerance that start credits use at most.
const START_CREDIT_MARGIN: f64 = 0.45;
/// Flow of tokens that start credits replace: what the gateways hold and have not deposited yet
/// two seconds after a start. More would leave too shallow pools for gateways that take over
/// from others which are cut off: with 300 ms, more than 0.02 is refused in that emulation.
const START_CREDIT_TIME: time::Duration = time::Duration::from_millis(250);
/// Minimum start credit, in tokens: one for each of the two pools of a workspace.
const MIN_START_CREDIT: f64 = 2.0;
/// Longest flow of tokens that is neither in a pool nor spent, but in deposits
/// ([`super::token_pools::CREDIT_BURST`]) or in grants ([`super::token_cache::GRANT_TTL`]).
const IN_TRANSIT: time::Duration = time::Duration::from_millis(400);
/// Minimum depth of a pool, in tokens: one that cannot hold a whole token would admit
/// nothing.
const MIN_DEPTH: f64 = 1.0;
