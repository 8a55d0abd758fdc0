//! Refusal of new connections while the event loop falls behind.
//!
//! A gateway that gets most of the new connections has more to do than its share of a processor
//! allows. Requests that it reads are late then, while a caller whose connection is closed
//! unread is served by another gateway. The share of refused connections follows the delay of
//! the loop, so that the gateway takes what it can serve.

use std::time;

/// Interval between two samples of the delay.
pub const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Delay above which the loop falls behind. An instance whose processor is allotted in slices of
/// a tenth of a second waits for up to one slice without being overloaded.
const MAX_DELAY: time::Duration = time::Duration::from_millis(120);

/// Change of the refused share for each sample, above that delay and below half of it.
const RAISE: f64 = 0.2;
const LOWER: f64 = 0.04;

/// Largest refused share: if all gateways are overloaded, callers have nowhere else to go.
const MAX_SHARE: f64 = 0.9;

/// Share of the new connections that are refused.
#[derive(Debug, Default)]
pub struct ConnectionShedding {
    share: f64,
    /// Whether the last sample was above the limit. One alone may be a pause of the process.
    was_behind: bool,
}

impl ConnectionShedding {
    /// Records by how much the loop was late.
    pub fn record_delay(&mut self, delay: time::Duration) {
        let is_behind = delay > MAX_DELAY;
        if is_behind && self.was_behind {
            self.share = (self.share + RAISE).min(MAX_SHARE);
        } else if delay < MAX_DELAY / 2 {
            self.share = (self.share - LOWER).max(0.0);
        }
        self.was_behind = is_behind;
    }

    /// Returns the share of the new connections that are refused.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns whether to refuse a connection, by a number drawn from 0 to 1.
    pub fn refuses(&self, draw: f64) -> bool {
        draw < self.share
    }
}
