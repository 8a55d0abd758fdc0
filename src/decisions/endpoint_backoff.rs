//! Endpoints that get nothing for a while after they said no, each time for longer.

use std::{collections, time};

use rand::Rng;

use crate::{clock, ids};

/// How long endpoints are left out.
#[derive(Debug, Clone, Copy)]
pub struct BackoffRange {
    /// The first time.
    pub first: time::Duration,
    /// At most. What is noted of an endpoint is forgotten once it was back for so long.
    pub last: time::Duration,
    /// Part of a pause by which it is longer or shorter at random, so that those who
    /// were turned away together do not come back together.
    pub spread: f64,
}

#[derive(Debug, Clone, Copy)]
struct BackoffMark {
    until: clock::MonotonicTime,
    delay: time::Duration,
    is_backed_off: bool,
}

/// Endpoints that are left out, or were lately.
#[derive(Debug)]
pub struct EndpointBackoff {
    range: BackoffRange,
    marks: collections::HashMap<ids::EndpointId, BackoffMark>,
}

impl EndpointBackoff {
    /// No endpoint is left out.
    pub fn new(range: BackoffRange) -> Self {
        Self {
            range,
            marks: collections::HashMap::new(),
        }
    }

    /// Leaves an endpoint out for a while; says whether it was in.
    ///
    /// A word that comes while it is out was sent before, and adds nothing.
    pub fn record(
        &mut self,
        id: &ids::EndpointId,
        now: clock::MonotonicTime,
        rng: &mut impl Rng,
    ) -> bool {
        let known = self.marks.get(id);
        if known.is_some_and(|mark| mark.is_backed_off) {
            return false;
        }
        let BackoffRange {
            first,
            last,
            spread,
        } = self.range;
        let delay = known.map_or(first, |mark| (mark.delay * 2).min(last));
        let share = rng.random_range(1.0 - spread..=1.0 + spread);
        let mark = BackoffMark {
            until: now + delay.mul_f64(share),
            delay,
            is_backed_off: true,
        };
        self.marks.insert(id.clone(), mark);
        true
    }

    /// Forgets what was noted of an endpoint; says whether it was left out.
    pub fn forget(&mut self, id: &ids::EndpointId) -> bool {
        self.marks.remove(id).is_some_and(|mark| mark.is_backed_off)
    }

    /// Whether an endpoint is left out.
    pub fn is_backed_off(&self, id: &ids::EndpointId) -> bool {
        self.marks.get(id).is_some_and(|mark| mark.is_backed_off)
    }

    /// Whether an endpoint is left out, or was lately.
    pub fn contains(&self, id: &ids::EndpointId) -> bool {
        self.marks.contains_key(id)
    }

    /// Lets endpoints be tried again whose time is over; says whether there were any.
    pub fn expire(&mut self, now: clock::MonotonicTime) -> bool {
        let mut is_due = false;
        for mark in self.marks.values_mut() {
            let is_over = mark.is_backed_off && mark.until <= now;
            mark.is_backed_off &= !is_over;
            is_due |= is_over;
        }
        let last = self.range.last;
        self.marks
            .retain(|_, mark| mark.is_backed_off || now.since(mark.until) < last);
        is_due
    }

    /// Forgets the endpoints that are not wanted any more.
    pub fn retain(&mut self, is_kept: impl Fn(&ids::EndpointId) -> bool) {
        self.marks.retain(|id, _| is_kept(id));
    }
}
