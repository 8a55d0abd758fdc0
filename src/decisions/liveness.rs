//! Liveness of processes that this process does not probe itself.
//!
//! Each process counts its own beats, and each heartbeat passes on the latest beats that its
//! sender knows. A process is live as long as its beat advances: a beat that is passed on in
//! circles never advances, so it keeps nobody alive, however long messages take (van
//! Renesse, Minsky and Hayden, "A gossip-style failure detection service", 1998).

use std::{collections, time};

use xxhash_rust::xxh3;

use crate::{clock, ids};

/// Time after which a beat that does not advance is forgotten.
const BEAT_RETENTION: time::Duration = time::Duration::from_secs(60);

/// Hash of a process name, which keeps heartbeats small when there are many processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct MemberHash(u32);

impl MemberHash {
    /// Returns the hash of a name. Among 2,000 names, two have the same hash in one of
    /// 2,100 fleets.
    pub fn of(id: &ids::InstanceId) -> Self {
        Self(xxh3::xxh3_64(id.as_str().as_bytes()) as u32)
    }
}

/// Beat of a process in milliseconds: the time of day at its start plus its uptime.
///
/// It advances over restarts unless the time of day was set back meanwhile.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct BeatNumber(pub u64);

/// State that a process reports about itself with its beat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BeatState {
    /// Low bits of the run number.
    pub run: u32,
    /// Whether the process is draining.
    pub leaving: bool,
    /// Whether the process watches the store itself and the store responds.
    pub follows_store: bool,
}

/// Beat of a process, as heartbeats pass it on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemberBeat {
    /// The process.
    pub member: MemberHash,
    /// Its latest known beat.
    pub beat: BeatNumber,
    /// Its state at that beat.
    pub state: BeatState,
}

#[derive(Debug, Clone, Copy)]
struct KnownBeat {
    beat: BeatNumber,
    state: BeatState,
    advanced_at: clock::MonotonicTime,
}

/// Latest beats of processes.
///
/// Invariant: the beat of a run never decreases.
#[derive(Debug, Default)]
pub struct BeatTable {
    beats: collections::HashMap<MemberHash, KnownBeat>,
}

impl BeatTable {
    /// Records a beat. One of another run replaces the known one only if it is higher or
    /// the known one has not advanced within `timeout`.
    pub fn record(
        &mut self,
        beat: &MemberBeat,
        timeout: time::Duration,
        now: clock::MonotonicTime,
    ) {
        let known = KnownBeat {
            beat: beat.beat,
            state: beat.state,
            advanced_at: now,
        };
        match self.beats.get_mut(&beat.member) {
            None => {
                self.beats.insert(beat.member, known);
            }
            Some(previous) => {
                let is_other_run = previous.state.run != beat.state.run;
                let is_stale = now.since(previous.advanced_at) >= timeout;
                if beat.beat > previous.beat || (is_other_run && is_stale) {
                    *previous = known;
                }
            }
        }
    }

    /// Records a beat that the process itself sent, whatever was known of an earlier run.
    pub fn record_direct(&mut self, beat: &MemberBeat, now: clock::MonotonicTime) {
        let known = self.beats.get(&beat.member);
        if known.is_some_and(|known| known.state.run != beat.state.run) {
            self.beats.remove(&beat.member);
        }
        self.record(beat, time::Duration::MAX, now);
    }

    /// Returns the state of a process whose beat advanced within `timeout`.
    pub fn live_state(
        &self,
        member: MemberHash,
        timeout: time::Duration,
        now: clock::MonotonicTime,
    ) -> Option<BeatState> {
        let known = self.beats.get(&member)?;
        (now.since(known.advanced_at) < timeout).then_some(known.state)
    }

    /// Returns when the beat of a process last advanced.
    pub fn advanced_at(&self, member: MemberHash) -> Option<clock::MonotonicTime> {
        self.beats.get(&member).map(|known| known.advanced_at)
    }

    /// Returns the latest known run of a process.
    pub fn run_of(&self, member: MemberHash) -> Option<u32> {
        self.beats.get(&member).map(|known| known.state.run)
    }

    /// Returns the beats that advanced within `timeout`, to be passed on.
    pub fn live(&self, timeout: time::Duration, now: clock::MonotonicTime) -> Vec<MemberBeat> {
        let live = self
            .beats
            .iter()
            .filter(|(_, known)| now.since(known.advanced_at) < timeout);
        let beats = live.map(|(member, known)| MemberBeat {
            member: *member,
            beat: known.beat,
            state: known.state,
        });
        beats.collect()
    }

    /// Forgets the beats that have not advanced for a while.
    pub fn expire(&mut self, now: clock::MonotonicTime) {
        self.beats
            .retain(|_, known| now.since(known.advanced_at) < BEAT_RETENTION);
    }
}
