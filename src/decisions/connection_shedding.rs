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

/// Rise of the refused share for each sample interval that passes while the loop is behind, and
/// its largest rise in one sample. A loop that is behind takes its samples late.
const RAISE: f64 = 0.1;
const MAX_RAISE: f64 = 0.6;

/// Fall of the refused share for each sample while the loop keeps up.
const LOWER: f64 = 0.02;

/// Number of samples in a row below the limit after which the loop keeps up.
const STABLE_SAMPLES: u32 = 5;

/// Largest refused share: if all gateways are overloaded, callers have nowhere else to go.
const MAX_SHARE: f64 = 0.9;

/// Time after which a connection that was not read yet is closed while some are refused: its
/// caller is served sooner by another gateway.
const MAX_UNREAD_TIME: time::Duration = time::Duration::from_millis(250);

/// Share of the new connections that are refused.
#[derive(Debug, Default)]
pub struct ConnectionShedding {
    share: f64,
    /// Whether the last sample was above the limit. One alone may be a pause of the process.
    was_behind: bool,
    /// Number of samples in a row below the limit.
    stable_samples: u32,
}

impl ConnectionShedding {
    /// Records by how much the loop was late.
    pub fn record_delay(&mut self, delay: time::Duration) {
        let is_behind = delay > MAX_DELAY;
        self.stable_samples = match is_behind {
            true => 0,
            false => self.stable_samples.saturating_add(1),
        };
        if is_behind && self.was_behind {
            let intervals = 1.0 + delay.as_secs_f64() / SAMPLE_INTERVAL.as_secs_f64();
            let raise = (RAISE * intervals).min(MAX_RAISE);
            self.share = (self.share + raise).min(MAX_SHARE);
        } else if self.stable_samples >= STABLE_SAMPLES {
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

    /// Returns whether to close a connection that was accepted so long ago and not read yet.
    pub fn is_overdue(&self, unread: time::Duration) -> bool {
        self.share > 0.0 && unread > MAX_UNREAD_TIME
    }
}
