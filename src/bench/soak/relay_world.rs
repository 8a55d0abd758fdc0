//! Streams that are cut, repeated, reordered and taken up elsewhere.

use rand::{rngs, Rng as _};

use super::{Protection, SoakWorld, WorldTally};
use crate::decisions::relay;

const TOKENS: u32 = 40;

/// One answer after another, relayed over cuts.
pub struct RelayWorld {
    without: Option<Protection>,
    tally: WorldTally,
    cursor: relay::RelayCursor,
    /// Indices that the caller got.
    relayed: Vec<u32>,
    /// Index that the endpoint sends next.
    sending: u32,
}

impl RelayWorld {
    /// A world, with a protection taken out if wanted.
    pub fn new(without: Option<Protection>) -> Self {
        Self {
            without,
            tally: WorldTally::default(),
            cursor: relay::RelayCursor::default(),
            relayed: Vec::new(),
            sending: 0,
        }
    }

    fn take_up(&mut self) {
        self.sending = self.cursor.last_index().map_or(0, |last| last + 1);
    }

    fn receive(&mut self, index: u32) {
        let last = index + 1 == TOKENS;
        match self.cursor.accept(index, last) {
            relay::RelayStep::Forward => self.relayed.push(index),
            relay::RelayStep::Drop if self.without == Some(Protection::RelayDrop) => {
                self.relayed.push(index);
            }
            relay::RelayStep::Drop => {}
            relay::RelayStep::Gap if self.without == Some(Protection::RelayGap) => {
                self.relayed.push(index);
            }
            relay::RelayStep::Gap => self.take_up(),
        }
    }
}

impl SoakWorld for RelayWorld {
    fn name(&self) -> &'static str {
        "relay"
    }

    fn step(&mut self, rng: &mut rngs::SmallRng) {
        match rng.random_range(0..100) {
            0..3 => {
                self.tally.fault("cut");
                self.take_up();
            }
            3..6 => {
                self.tally.fault("event_repeated");
                self.sending = self.sending.saturating_sub(rng.random_range(1..4));
            }
            6..8 => {
                self.tally.fault("event_missing");
                self.sending = (self.sending + 1).min(TOKENS - 1);
            }
            8..9 => {
                self.tally.fault("begun_anew");
                self.sending = 0;
            }
            _ => {
                let index = self.sending.min(TOKENS - 1);
                self.receive(index);
                if self.sending == index {
                    self.sending = (index + 1).min(TOKENS - 1);
                }
            }
        }
        let right = self
            .relayed
            .iter()
            .enumerate()
            .all(|(at, index)| at as u32 == *index);
        self.tally
            .check(right, || format!("the caller got {:?}", self.relayed));
        if self.cursor.is_finished() {
            let whole = self.relayed.len() as u32 == TOKENS;
            self.tally
                .check(whole, || "an answer ended before its end".into());
            self.tally.end("answer");
            self.cursor = relay::RelayCursor::default();
            self.relayed.clear();
            self.sending = 0;
        }
    }

    fn tally(&self) -> &WorldTally {
        &self.tally
    }
}
