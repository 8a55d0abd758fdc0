//! The ledger of an endpoint under bursts, lost releases and batch work.

use std::{collections, time};

use rand::{rngs, Rng as _};

use super::{Protection, SoakWorld, WorldTally};
use crate::{clock, decisions::admission};

const SLOTS: u32 = 16;
const TTL: time::Duration = time::Duration::from_secs(5);

/// One endpoint's ledger against a plain account of what it granted.
pub struct AdmissionWorld {
    tally: WorldTally,
    now: clock::MonotonicTime,
    ledger: admission::EndpointLedger,
    /// Permits that were granted and not released, and when they expire.
    permits: collections::BTreeMap<u64, clock::MonotonicTime>,
    /// Those of them whose release was not lost.
    releasable: collections::VecDeque<u64>,
    released: u64,
    streams: collections::BTreeSet<u64>,
    next: u64,
    leaving: bool,
}

impl AdmissionWorld {
    /// A world, with a protection taken out if wanted.
    pub fn new(without: Option<Protection>) -> Self {
        let policy = match without {
            Some(Protection::Preemption) => admission::BatchPolicy::Fixed,
            _ => admission::BatchPolicy::Adaptive,
        };
        let permit_ttl = match without {
            Some(Protection::PermitExpiry) => TTL * 1_000_000,
            _ => TTL,
        };
        let spec = admission::AdmissionSpec {
            headroom: 2,
            policy,
            max_sequences: SLOTS,
            max_online: 2 * SLOTS,
            fixed_streams: SLOTS,
            slowdown_percent: 50,
            permit_ttl,
            start_spacing: time::Duration::from_micros(100),
        };
        Self {
            tally: WorldTally::default(),
            now: clock::MonotonicTime(1),
            ledger: admission::EndpointLedger::new(spec),
            permits: collections::BTreeMap::new(),
            releasable: collections::VecDeque::new(),
            released: 0,
            streams: collections::BTreeSet::new(),
            next: 0,
            leaving: false,
        }
    }

    fn request(&mut self) {
        self.next += 1;
        self.permits.retain(|_, expiry| *expiry > self.now);
        let held = self.permits.len() as u32;
        let grant = self.ledger.request_permit(self.next, self.now);
        let full = held >= 2 * SLOTS;
        self.tally.check(grant.is_none() == full, || {
            format!("{held} permits are held and the grant was {grant:?}")
        });
        let Some(grant) = grant else { return };
        self.permits.insert(self.next, self.now + TTL);
        self.releasable.push_back(self.next);
        for stream in &grant.preempt {
            let known = self.streams.remove(stream);
            self.tally
                .check(known, || "a stream that is not there was taken back".into());
            self.tally.end("stream_taken_back");
        }
        let online = self.permits.len() as u32;
        self.tally.check(grant.online == online, || {
            "the ledger miscounts permits".into()
        });
        let crowded = online + self.streams.len() as u32 > SLOTS && !self.streams.is_empty();
        self.tally.check(!crowded || online > SLOTS, || {
            "an online request waits behind a batch stream".into()
        });
        self.tally.end("permit");
    }

    fn start_streams(&mut self) {
        let free_slots = self.ledger.free_batch_slots(self.now);
        for _ in 0..free_slots {
            if self.leaving {
                self.tally
                    .check(false, || "room at a leaving endpoint".into());
                return;
            }
            let number = self.ledger.begin_stream(self.now);
            self.tally
                .check(self.streams.insert(number), || "a number came twice".into());
        }
    }
}

impl SoakWorld for AdmissionWorld {
    fn name(&self) -> &'static str {
        "admission"
    }

    fn step(&mut self, rng: &mut rngs::SmallRng) {
        self.now = self.now + time::Duration::from_micros(rng.random_range(0..20_000));
        match rng.random_range(0..1000) {
            0..5 => {
                self.tally.fault("burst");
                (0..SLOTS).for_each(|_| self.request());
            }
            5..200 => self.request(),
            200..395 => {
                if let Some(number) = self.releasable.pop_front() {
                    self.ledger.release_permit(number);
                    self.permits.remove(&number);
                    self.released = number;
                }
            }
            395..400 => {
                if self.releasable.pop_back().is_some() {
                    // It stays in the account until it expires.
                    self.tally.fault("release_lost");
                }
            }
            400..405 => {
                self.tally.fault("release_repeated");
                self.ledger.release_permit(self.released);
            }
            405..407 => {
                self.tally.fault("leaving_or_back");
                self.leaving = !self.leaving;
                self.ledger.set_leaving(self.leaving);
            }
            407..700 => self.start_streams(),
            700..900 => {
                if let Some(number) = self.streams.first().copied() {
                    let sequences = f64::from(self.ledger.online() + self.ledger.batch());
                    let gap = time::Duration::from_secs_f64(0.02 + 0.0003 * sequences);
                    self.ledger.record_token(number, Some(gap));
                }
            }
            _ => {
                if let Some(number) = self.streams.pop_last() {
                    self.ledger.end_stream(number);
                }
            }
        }
        let batch = self.streams.len() as u32;
        self.tally.check(self.ledger.batch() == batch, || {
            "the ledger miscounts streams".into()
        });
    }

    fn tally(&self) -> &WorldTally {
        &self.tally
    }
}
