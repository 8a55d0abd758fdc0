//! Decides whether a request that arrives before the process can serve is held or refused.

use std::time;

/// Time from the start of a process to its readiness beside a store that responds.
const START_TIME: time::Duration = time::Duration::from_millis(300);
/// Longest expected time to readiness. Callers cap a retry at a third of the time that they
/// have left, which is seconds, so a longer one would not change what they do.
const MAX_EXPECTED: time::Duration = time::Duration::from_secs(2);
/// Share of the caller's remaining time for which a request may be held. The rest leaves
/// time for the response, or for a retry elsewhere that waits a third of it.
const HOLD_SHARE: u32 = 4;
/// Longest hold. A process that is not ready by then waits for a store that is down.
const MAX_HOLD: time::Duration = time::Duration::from_secs(1);
/// Maximum number of held requests: a quarter of the connections that a process accepts.
pub const MAX_HELD_REQUESTS: usize = 512;
/// Maximum size of the heads of all held requests, in bytes: 8 KB for each.
pub const MAX_HELD_BYTES: usize = 4 << 20;

/// Requests that a process holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeldLoad {
    /// Number of requests.
    pub requests: usize,
    /// Size of their heads, in bytes.
    pub bytes: usize,
}

impl HeldLoad {
    /// Returns the load with one more request whose head has a size in bytes.
    pub fn with(self, bytes: usize) -> Self {
        Self {
            requests: self.requests + 1,
            bytes: self.bytes + bytes,
        }
    }

    /// Returns the load without a request whose head has a size in bytes.
    pub fn without(self, bytes: usize) -> Self {
        Self {
            requests: self.requests.saturating_sub(1),
            bytes: self.bytes.saturating_sub(bytes),
        }
    }

    fn is_within_bounds(self) -> bool {
        self.requests <= MAX_HELD_REQUESTS && self.bytes <= MAX_HELD_BYTES
    }
}

/// A request that arrives before the process can serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EarlyRequest {
    /// Time since the start of the process.
    pub uptime: time::Duration,
    /// Time for which the caller still waits.
    pub remaining: time::Duration,
    /// Size of its head, in bytes.
    pub bytes: usize,
}

/// What happens to a request that arrives before the process can serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldVerdict {
    /// It waits for readiness for at most this time.
    Hold(time::Duration),
    /// It is refused, and its caller may retry after this time.
    Refuse(time::Duration),
}

/// Returns the expected time to readiness.
///
/// A process that takes longer than usual is expected to need as long again as it has taken
/// so far, since it is the store that delays it.
pub fn expected_wait(uptime: time::Duration) -> time::Duration {
    START_TIME
        .saturating_sub(uptime)
        .max(uptime)
        .min(MAX_EXPECTED)
}

/// Returns the time after which a refused caller may retry. `spread`, at random between 0
/// and 1, distributes the callers over as much time as the process is expected to need.
pub fn retry_after(uptime: time::Duration, spread: f64) -> time::Duration {
    expected_wait(uptime).mul_f64(1.0 + spread.clamp(0.0, 1.0))
}

/// Decides on a request beside those that are held already; `spread` as for
/// [`retry_after`].
pub fn decide(request: &EarlyRequest, held: HeldLoad, spread: f64) -> HoldVerdict {
    let hold = (request.remaining / HOLD_SHARE).min(MAX_HOLD);
    let is_timely = expected_wait(request.uptime) <= hold;
    match is_timely && held.with(request.bytes).is_within_bounds() {
        true => HoldVerdict::Hold(hold),
        false => HoldVerdict::Refuse(retry_after(request.uptime, spread)),
    }
}
