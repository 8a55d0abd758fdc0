//! Endpoints that refuse requests as they are full, though their owner takes them to
//! have room: work that it does not know of is there, or they took slots away.
//!
//! An endpoint refuses within a round trip and then looks free, so without a pause it
//! is chosen again at once, for online requests and for items.

use std::{collections, time};

use rand::Rng;

use crate::{clock, ids};

/// First pause after a refusal: requests last about half a second, so that of eight
/// slots one is free again each 60 ms.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(60);

/// Longest pause: the work of an owner that was lost is gone after a few seconds, and
/// an endpoint that has room must not stand idle for longer than a request lasts.
const LAST_PAUSE: time::Duration = time::Duration::from_millis(960);

/// Part of a pause by which it is longer or shorter at random, so that those who
/// were refused at the same time do not come back together.
const SPREAD: f64 = 0.3;

#[derive(Debug, Clone, Copy)]
struct RefusalMark {
    until: clock::Moment,
    pause: time::Duration,
    is_closed: bool,
}

/// Endpoints that refused lately.
#[derive(Debug, Default)]
pub struct RefusalBoard {
    marks: collections::HashMap<ids::EndpointId, RefusalMark>,
}

impl RefusalBoard {
    /// Notes a refusal: the endpoint gets nothing for a while, each time for longer.
    ///
    /// Those that come while it is closed anyway were sent before, and add nothing.
    pub fn note_refused(&mut self, id: &ids::EndpointId, now: clock::Moment, rng: &mut impl Rng) {
        let known = self.marks.get(id);
        if known.is_some_and(|mark| mark.is_closed) {
            return;
        }
        let pause = known.map_or(FIRST_PAUSE, |mark| (mark.pause * 2).min(LAST_PAUSE));
        let share = rng.random_range(1.0 - SPREAD..=1.0 + SPREAD);
        let mark = RefusalMark {
            until: now + pause.mul_f64(share),
            pause,
            is_closed: true,
        };
        self.marks.insert(id.clone(), mark);
    }

    /// Notes a request that the endpoint served: it has room.
    pub fn note_served(&mut self, id: &ids::EndpointId) {
        self.marks.remove(id);
    }

    /// Whether an endpoint gets nothing now.
    pub fn is_closed(&self, id: &ids::EndpointId) -> bool {
        self.marks.get(id).is_some_and(|mark| mark.is_closed)
    }

    /// Lets endpoints be tried again whose pause is over; says whether there were any.
    pub fn reopen(&mut self, now: clock::Moment) -> bool {
        let mut is_due = false;
        for mark in self.marks.values_mut() {
            let is_over = mark.is_closed && mark.until <= now;
            mark.is_closed &= !is_over;
            is_due |= is_over;
        }
        self.marks
            .retain(|_, mark| mark.is_closed || now.since(mark.until) < LAST_PAUSE);
        is_due
    }

    /// Forgets the endpoints that are not wanted any more.
    pub fn retain(&mut self, is_kept: impl Fn(&ids::EndpointId) -> bool) {
        self.marks.retain(|id, _| is_kept(id));
    }
}
