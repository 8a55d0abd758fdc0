//! Whether an endpoint without a free slot may take a staged request: one that waits in the
//! queue of the endpoint for the next run there to end.
//!
//! Without it a slot is idle from the end of a run until the release has reached the owner,
//! the grant the requester and the request the endpoint. A staged request cannot be
//! overtaken, so there is one at each endpoint at most: a later request of a higher priority
//! waits for one more run at each endpoint.

use std::time;

/// Part of the wait of a request within which the next release must be expected.
///
/// Releases come at random, so some take several times as long as expected, and a staged
/// request cannot go elsewhere. In the played surge of `tests/staged_requests.rs`, with a wait
/// of 110 ms, fewer callers are late or refused up to an expected release after 75 ms, and
/// more from 88 ms on.
const MAX_RELEASE_SHARE: f64 = 2.0 / 3.0;

/// An endpoint that may take a staged request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StagingCandidate {
    /// Number of online requests there, with a staged one.
    pub held: u32,
    /// Number of slots.
    pub slots: u32,
    /// Whether it has a staged request.
    pub has_staged: bool,
    /// Learned time for which a request holds a slot there, if any run has ended.
    pub hold_time: Option<time::Duration>,
}

impl StagingCandidate {
    /// Returns the expected time until the next release of a slot there; `None` if it is
    /// unknown.
    pub fn expected_release(&self) -> Option<time::Duration> {
        self.hold_time?.checked_div(self.slots)
    }

    /// Returns whether it may take a staged request that arrived with `wait` to wait.
    ///
    /// An endpoint with a free slot gets no staged request, and one with more requests than
    /// slots already has a queue. The time for which the request has waited does not count:
    /// a request is granted a slot within its wait, and the other half of its objective
    /// covers the time at the endpoint. If it counted, those that have waited long would be
    /// passed by those that arrive last, against the order of the queue.
    pub fn may_stage(&self, wait: time::Duration) -> bool {
        let is_full = self.held == self.slots && !self.has_staged;
        let release = self.expected_release();
        is_full && release.is_some_and(|release| release <= wait.mul_f64(MAX_RELEASE_SHARE))
    }
}

/// Returns the candidate at which the next release is expected first, of those that may take
/// a staged request that arrived with `wait` to wait. Among equals the smallest key is chosen.
pub fn choose<K: Ord>(
    candidates: impl Iterator<Item = (StagingCandidate, K)>,
    wait: time::Duration,
) -> Option<K> {
    let possible = candidates.filter(|(candidate, _)| candidate.may_stage(wait));
    let first = possible.min_by(|(a, a_key), (b, b_key)| {
        let by_release = a.expected_release().cmp(&b.expected_release());
        by_release.then_with(|| a_key.cmp(b_key))
    });
    first.map(|(_, key)| key)
}
