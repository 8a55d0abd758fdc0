//! The processes of the system, and which of them answer.

use std::{collections, net, time};

use xxhash_rust::xxh3;

use super::route_table;
use crate::{clock, decisions::ownership, ids};

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum MemberRole {
    /// Serves callers.
    Gateway,
    /// Owns endpoints and runs jobs.
    Dispatcher,
}

/// A process as it shows itself in the store: written at its start, not renewed.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub id: ids::InstanceId,
    /// What it does.
    pub role: MemberRole,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// Where it answers its peers.
    pub address: net::SocketAddr,
}

/// Stands for the name of a process in heartbeats, as there are very many of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct MemberMark(u32);

impl MemberMark {
    /// The mark of a name; of 390 names two share one in one of 56,000 fleets.
    pub fn of(id: &ids::InstanceId) -> Self {
        Self(xxh3::xxh3_64(id.as_str().as_bytes()) as u32)
    }
}

/// In which run a peer was heard, by what was heard of it before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeardRun {
    /// The same as before, or the peer is not listed.
    Same,
    /// The first one here.
    First,
    /// Another one: it started again.
    Next,
}

/// What a process says of itself at each heartbeat.
#[derive(Debug, Clone, Default)]
pub struct PeerHeartbeat {
    /// Which of its runs this is.
    pub run: ids::RunNumber,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Marks of the dispatchers that it hears itself.
    pub receives_from: Vec<MemberMark>,
    /// Whether it follows the store itself, and the store answers.
    pub follows_store: bool,
    /// Version of its desired state.
    pub version: route_table::StateVersion,
}

/// Owners that follow the store; the others learn from them by the probes.
///
/// One would do; with three the loss of two at once is not noticed.
pub(super) const FOLLOWERS: usize = 3;

/// How often a peer is probed, while there are few.
pub const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Peers of a role up to which each is probed at that pace; beyond, the pace of
/// each falls so that a process sends no more than 64 probes a second. With a
/// probe of all every 250 ms, 300 processes spent three quarters of their
/// processor time on it. The loss of one of many is noticed later, and is a
/// smaller part of all.
const FULL_PACE_PEERS: usize = 16;

/// How many times longer the pause between probes of one peer is among so many.
pub fn pace_stretch(peers: usize) -> f64 {
    (peers as f64 / FULL_PACE_PEERS as f64).max(1.0)
}

/// Silence after which a peer counts as lost, while there are few: two probes
/// and their longest answer.
pub const PEER_SILENCE: time::Duration = time::Duration::from_millis(800);

/// Silence after which a dispatcher keeps no limits any more.
pub const KEEPER_SILENCE: time::Duration = time::Duration::from_millis(1500);

fn record_number(record: &MemberRecord) -> u64 {
    let text = format!("{} {}", record.id, record.address);
    xxh3::xxh3_64(text.as_bytes())
}

/// How long a process that was heard is kept though a peer does not list it.
const KEPT_SILENT: time::Duration = time::Duration::from_secs(10);

#[derive(Debug, Clone)]
struct PeerState {
    record: MemberRecord,
    last_seen: Option<clock::MonotonicTime>,
    heartbeat: PeerHeartbeat,
}

/// The peers of a process.
///
/// Invariant: `counts` and `digest` are of the records in `peers`.
#[derive(Debug, Default)]
pub struct MemberTable {
    peers: collections::BTreeMap<ids::InstanceId, PeerState>,
    /// Peers by role, dispatchers and gateways.
    counts: [usize; 2],
    /// Sum of the numbers of all records.
    digest: u64,
}

impl MemberTable {
    /// Takes a record; one at another address is another process.
    pub fn take(&mut self, record: MemberRecord) {
        match self.peers.get_mut(&record.id) {
            Some(peer) if peer.record == record => {}
            _ => {
                let peer = PeerState {
                    record,
                    last_seen: None,
                    heartbeat: PeerHeartbeat::default(),
                };
                self.peers.insert(peer.record.id.clone(), peer);
                self.recount();
            }
        }
    }

    /// Forgets a process.
    pub fn remove(&mut self, id: &ids::InstanceId) {
        self.peers.remove(id);
        self.recount();
    }

    fn recount(&mut self) {
        let of_role = |role| self.records().filter(|r| r.role == role).count();
        self.counts = [
            of_role(MemberRole::Dispatcher),
            of_role(MemberRole::Gateway),
        ];
        self.digest = self.records().map(record_number).fold(0, u64::wrapping_add);
    }

    /// Silence after which a peer of a role counts as lost.
    fn silence(&self, role: MemberRole) -> time::Duration {
        let [dispatchers, gateways] = self.counts;
        let probed = match role {
            MemberRole::Dispatcher => dispatchers,
            // Gateways are probed only where no dispatcher lives, with all the others.
            MemberRole::Gateway => dispatchers + gateways,
        };
        PEER_SILENCE.mul_f64(pace_stretch(probed))
    }

    /// Notes a heartbeat, and what the process says of itself.
    pub fn record_heartbeat(
        &mut self,
        id: &ids::InstanceId,
        heartbeat: PeerHeartbeat,
        now: clock::MonotonicTime,
    ) -> HeardRun {
        let Some(peer) = self.peers.get_mut(id) else {
            return HeardRun::Same;
        };
        let was_heard = peer.last_seen.replace(now).is_some();
        let before = std::mem::replace(&mut peer.heartbeat, heartbeat);
        match (was_heard, before.run == peer.heartbeat.run) {
            (false, _) => HeardRun::First,
            (true, true) => HeardRun::Same,
            (true, false) => HeardRun::Next,
        }
    }

    /// Takes all records that a peer knows; those that it lacks are forgotten,
    /// but for processes that answer: the peer may have just started itself.
    pub fn merge(&mut self, records: Vec<MemberRecord>, now: clock::MonotonicTime) {
        let known: collections::BTreeSet<_> = records.iter().map(|r| r.id.clone()).collect();
        let recent =
            |peer: &PeerState| peer.last_seen.is_some_and(|at| now.since(at) < KEPT_SILENT);
        self.peers
            .retain(|id, peer| known.contains(id) || recent(peer));
        for record in records {
            self.take(record);
        }
        self.recount();
    }

    /// A number that differs for tables that differ, with `own` among them.
    pub fn digest(&self, own: &MemberRecord) -> u64 {
        self.digest.wrapping_add(record_number(own))
    }

    /// Whether a live peer follows the store.
    pub fn hears_follower(&self, now: clock::MonotonicTime) -> bool {
        let mut peers = self.peers.keys();
        peers.any(|id| self.follows(id, now))
    }

    /// Whether a peer is live and follows the store.
    pub fn follows(&self, id: &ids::InstanceId, now: clock::MonotonicTime) -> bool {
        let peer = self.peers.get(id);
        peer.is_some_and(|peer| peer.heartbeat.follows_store && self.is_live(peer, now))
    }

    /// Dispatchers that answer this process itself.
    pub fn heard_dispatchers(&self, now: clock::MonotonicTime) -> Vec<ids::InstanceId> {
        let live = self.live(now);
        let live = live.filter(|record| record.role == MemberRole::Dispatcher);
        live.map(|record| record.id.clone()).collect()
    }

    /// Whether a process answers this process itself.
    pub fn receives_from(&self, id: &ids::InstanceId, now: clock::MonotonicTime) -> bool {
        let peer = self.peers.get(id);
        peer.is_some_and(|peer| self.is_live(peer, now))
    }

    /// Dispatchers that do not answer this process but are heard by live peers:
    /// the path to them is cut, and they still own what they own.
    fn vouched(&self, now: clock::MonotonicTime) -> Vec<&MemberRecord> {
        let live = self
            .live(now)
            .filter_map(|record| self.peers.get(&record.id));
        let named = live.flat_map(|peer| peer.heartbeat.receives_from.iter());
        let named: collections::HashSet<_> = named.collect();
        let cut = self.peers.values().filter(|peer| {
            let heard = self.is_heard(peer, now);
            let said_leaving = heard && peer.heartbeat.leaving;
            let is_dispatcher = peer.record.role == MemberRole::Dispatcher;
            let silent = is_dispatcher && !heard && !said_leaving;
            silent && named.contains(&MemberMark::of(&peer.record.id))
        });
        cut.map(|peer| &peer.record).collect()
    }

    /// Live gateways that hear dispatchers: a process that hears none itself is
    /// cut off, and reaches them through these.
    pub fn relays(&self, now: clock::MonotonicTime) -> Vec<MemberRecord> {
        if !self.heard_dispatchers(now).is_empty() {
            return Vec::new();
        }
        let live = self.live(now);
        let relays = live.filter(|r| {
            let peer = self.peers.get(&r.id);
            peer.is_some_and(|p| !p.heartbeat.receives_from.is_empty())
        });
        relays.cloned().collect()
    }

    /// Dispatchers that count as keepers of limits though they are silent: not for long,
    /// or the process is young and has heard nobody yet.
    ///
    /// The list of keepers outlasts restarts, as deposits count only where both sides
    /// have the same one.
    pub fn silent_keepers(&self, is_young: bool, now: clock::MonotonicTime) -> Vec<&MemberRecord> {
        let silent = self.peers.values().filter(|peer| {
            let is_kept = match peer.last_seen {
                Some(at) => now.since(at) < KEEPER_SILENCE && !peer.heartbeat.leaving,
                None => is_young,
            };
            is_kept && peer.record.role == MemberRole::Dispatcher
        });
        silent.map(|peer| &peer.record).collect()
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.peers.values().map(|peer| &peer.record)
    }

    /// Where a process answers, if it is known.
    pub fn address_of(&self, id: &ids::InstanceId) -> Option<net::SocketAddr> {
        self.peers.get(id).map(|peer| peer.record.address)
    }

    /// Whether a process that was heard before is silent, or is not known any more.
    pub fn is_lost(&self, id: &ids::InstanceId, now: clock::MonotonicTime) -> bool {
        let Some(peer) = self.peers.get(id) else {
            return true;
        };
        let silence = self.silence(peer.record.role) * 2;
        peer.last_seen.is_none_or(|at| now.since(at) > silence)
    }

    /// Whether one run of a process has ended: the process is lost, or was heard in
    /// another run since.
    ///
    /// One that has just started may ask before it is heard, and for those milliseconds
    /// counts as the run before.
    pub fn has_ended(&self, holder: &ids::InstanceRun, now: clock::MonotonicTime) -> bool {
        let is_other = |peer: &PeerState| peer.heartbeat.run != holder.run;
        self.is_lost(&holder.instance, now)
            || self.peers.get(&holder.instance).is_some_and(is_other)
    }

    /// Whether a process ever answered this process.
    pub fn was_heard(&self, id: &ids::InstanceId) -> bool {
        self.peers
            .get(id)
            .is_some_and(|peer| peer.last_seen.is_some())
    }

    fn is_heard(&self, peer: &PeerState, now: clock::MonotonicTime) -> bool {
        let silence = self.silence(peer.record.role);
        peer.last_seen.is_some_and(|at| now.since(at) < silence)
    }

    fn is_live(&self, peer: &PeerState, now: clock::MonotonicTime) -> bool {
        self.is_heard(peer, now) && !peer.heartbeat.leaving
    }

    /// Where live peers answer that have a newer desired state.
    pub fn with_newer_state(
        &self,
        known: route_table::StateVersion,
        now: clock::MonotonicTime,
    ) -> impl Iterator<Item = net::SocketAddr> + '_ {
        let peers = self.peers.values();
        let newer = peers.filter(move |p| p.heartbeat.version > known && self.is_heard(p, now));
        newer.map(|peer| peer.record.address)
    }

    /// Peers that answer and stay.
    pub fn live(&self, now: clock::MonotonicTime) -> impl Iterator<Item = &MemberRecord> {
        let alive = move |peer: &&PeerState| self.is_live(peer, now);
        self.peers.values().filter(alive).map(|peer| &peer.record)
    }

    /// Who may own endpoints and jobs: the live dispatchers, or else the live gateways.
    ///
    /// A dispatcher that live peers hear counts, so that a cut between some
    /// processes does not give an endpoint two owners. `own` is this process, if it is not leaving.
    pub fn owners(
        &self,
        own: Option<&MemberRecord>,
        now: clock::MonotonicTime,
    ) -> Vec<ownership::OwnerCandidate> {
        let live: Vec<&MemberRecord> = self.live(now).chain(self.vouched(now)).chain(own).collect();
        let of_role = |role: MemberRole| -> Vec<ownership::OwnerCandidate> {
            let members = live.iter().filter(|m| m.role == role);
            let members = members.map(|m| ownership::OwnerCandidate {
                id: m.id.clone(),
                domain: m.domain.clone(),
            });
            members.collect()
        };
        let dispatchers = of_role(MemberRole::Dispatcher);
        let mut owners = match dispatchers.is_empty() {
            true => of_role(MemberRole::Gateway),
            false => dispatchers,
        };
        // All processes name the same one first.
        owners.sort_by(|a, b| a.id.cmp(&b.id));
        owners
    }
}
