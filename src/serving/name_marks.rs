//! Endpoints that were not found at their address: somebody else answered there.
//!
//! A late write may list an endpoint that has ended beside the one that has its
//! address now. Each request that expects it is refused there at once, so it looks
//! fast and free, and without these marks it is chosen for one request after the
//! other for as long as its entry stands, up to 4 s.

use std::{collections, time};

use crate::{clock, ids};

/// First time without requests: an entry that nobody renews is gone after some 4 s,
/// and an endpoint that was refused by mistake is back within a second.
const FIRST_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Longest time without requests: a mistake costs an endpoint no more than that.
const LAST_PAUSE: time::Duration = time::Duration::from_secs(8);

#[derive(Debug, Clone, Copy)]
struct NameMark {
    until: clock::Moment,
    pause: time::Duration,
    is_out: bool,
}

/// Endpoints that were not found at their address.
#[derive(Debug, Default)]
pub struct NameMarks {
    marks: collections::HashMap<ids::EndpointId, NameMark>,
}

impl NameMarks {
    /// Leaves an endpoint out for a while, each time for longer; says whether it was in.
    pub fn note(&mut self, id: &ids::EndpointId, now: clock::Moment) -> bool {
        let known = self.marks.get(id);
        if known.is_some_and(|mark| mark.is_out) {
            return false;
        }
        let pause = known.map_or(FIRST_PAUSE, |mark| (mark.pause * 2).min(LAST_PAUSE));
        let mark = NameMark {
            until: now + pause,
            pause,
            is_out: true,
        };
        self.marks.insert(id.clone(), mark);
        true
    }

    /// Forgets what was noted of an endpoint; says whether it was left out.
    pub fn forget(&mut self, id: &ids::EndpointId) -> bool {
        self.marks.remove(id).is_some_and(|mark| mark.is_out)
    }

    /// Whether an endpoint is left out.
    pub fn contains(&self, id: &ids::EndpointId) -> bool {
        self.marks.get(id).is_some_and(|mark| mark.is_out)
    }

    /// Whether an endpoint was left out lately and has not answered under its name since.
    pub fn is_doubtful(&self, id: &ids::EndpointId) -> bool {
        self.marks.contains_key(id)
    }

    /// Lets endpoints be tried again whose time is over; says whether there were any.
    ///
    /// What is noted of them is forgotten once they were in for long.
    pub fn expire(&mut self, now: clock::Moment) -> bool {
        let mut is_due = false;
        for mark in self.marks.values_mut() {
            let is_over = mark.is_out && mark.until <= now;
            mark.is_out &= !is_over;
            is_due |= is_over;
        }
        self.marks
            .retain(|_, mark| mark.is_out || now.since(mark.until) < LAST_PAUSE);
        is_due
    }
}
