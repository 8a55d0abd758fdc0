//! What a fleet with one bucket for each workspace would serve, and what windows have.

use std::collections;

use crate::{
    clock,
    decisions::{
        call_budget,
        rate_limits::rate_limit::{LimitTolerance, RateLimit},
    },
};

/// Counts of one workspace.
struct WorkspaceCount {
    bucket: call_budget::TokenBucket,
    owed: usize,
    served: usize,
    /// Moments of those served in the latest window.
    window: collections::VecDeque<clock::MonotonicTime>,
    most: usize,
    bound: f64,
}

/// Judges what a way of keeping limits does.
pub(super) struct Referee {
    tolerance: LimitTolerance,
    counts: Vec<WorkspaceCount>,
}

impl Referee {
    pub(super) fn new(limits: &[RateLimit], tolerance: &LimitTolerance) -> Self {
        let counts = limits.iter().map(|limit| {
            let (rate, burst) = (limit.rate.per_second(), limit.burst.max(1.0));
            WorkspaceCount {
                bucket: call_budget::TokenBucket::new(rate, burst, clock::MonotonicTime(0)),
                owed: 0,
                served: 0,
                window: collections::VecDeque::new(),
                most: 0,
                bound: tolerance.bound(limit),
            }
        });
        Self {
            tolerance: *tolerance,
            counts: counts.collect(),
        }
    }

    /// Whether a request is inside the limit.
    pub(super) fn asks(&mut self, workspace: usize, now: clock::MonotonicTime) -> bool {
        let count = &mut self.counts[workspace];
        let is_owed = count.bucket.take(now).is_ok();
        count.owed += usize::from(is_owed);
        is_owed
    }

    /// Counts a request that is served.
    pub(super) fn served(&mut self, workspace: usize, now: clock::MonotonicTime) {
        let window = self.tolerance.window;
        let count = &mut self.counts[workspace];
        count.served += 1;
        count.window.push_back(now);
        let is_old = |at: &clock::MonotonicTime| now.since(*at) >= window;
        while count.window.front().is_some_and(is_old) {
            count.window.pop_front();
        }
        count.most = count.most.max(count.window.len());
    }

    /// Requests inside the limits, beyond those that were served.
    pub(super) fn refused_inside(&self) -> usize {
        let refused = self.counts.iter();
        let refused = refused.map(|c| c.owed.saturating_sub(c.served));
        refused.sum()
    }

    /// The largest count in a window, over what a window may have.
    pub(super) fn worst_window(&self) -> f64 {
        let ratios = self.counts.iter().map(|c| c.most as f64 / c.bound);
        ratios.fold(0.0, f64::max)
    }
}
