//! Membership: the processes of the system and their liveness.

use std::{collections, net, time};

use xxhash_rust::xxh3;

use super::route_table;
use crate::{
    clock,
    decisions::{liveness, ownership, peer_subset},
    ids,
};

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum MemberRole {
    /// Serves clients.
    Gateway,
    /// Owns endpoints and runs jobs.
    Dispatcher,
}

/// Registration of a process in the store, written once at its start and not renewed.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemberRecord {
    /// Name of the process.
    pub id: ids::InstanceId,
    /// Role of the process.
    pub role: MemberRole,
    /// Failure domain of the process.
    pub domain: ids::DomainName,
    /// Address at which the process serves peers.
    pub address: net::SocketAddr,
}

/// Change of a peer's run, compared with its last heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunChange {
    /// The run is unchanged, or the peer is not listed.
    Unchanged,
    /// This is the first heartbeat received from the peer.
    First,
    /// The peer has restarted.
    Restarted,
}

/// State that a process reports about itself in each heartbeat.
#[derive(Debug, Clone, Default)]
pub struct PeerHeartbeat {
    /// Run of the process.
    pub run: ids::RunNumber,
    /// Whether the process is draining.
    pub leaving: bool,
    /// Whether the process receives heartbeats of a dispatcher.
    pub hears_dispatchers: bool,
    /// Whether the process watches the store itself and the store responds.
    pub follows_store: bool,
    /// Version of its desired state.
    pub version: route_table::StateVersion,
}

/// Number of owners that watch the store; the others receive its changes through probes.
///
/// One would be enough; with three, the loss of two at once has no effect.
pub(super) const STORE_FOLLOWERS: usize = 3;

/// Interval between two probes of a peer.
pub const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Time without a heartbeat after which a probed peer counts as lost: two probe intervals
/// and the timeout of the response.
pub const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Time for which a failed probe or request counts against a peer whose beats still arrive
/// through others.
const FAILURE_MEMORY: time::Duration = time::Duration::from_secs(2);

/// Maximum factor on [`PEER_TIMEOUT`] for gateways, which probe and are not probed.
const MAX_GATEWAY_FACTOR: f64 = 4.0;

/// Number of processes for each step of that factor.
const GATEWAY_FACTOR_STEP: f64 = 16.0;

/// Time without a heartbeat after which a dispatcher is no longer a quota server.
pub const QUOTA_SERVER_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

fn record_hash(record: &MemberRecord) -> u64 {
    let text = format!("{} {}", record.id, record.address);
    xxh3::xxh3_64(text.as_bytes())
}

/// Index of a role in the counts by role.
fn role_index(role: MemberRole) -> usize {
    match role {
        MemberRole::Dispatcher => 0,
        MemberRole::Gateway => 1,
    }
}

/// Time after its last heartbeat for which a process is kept although a peer does not
/// list it.
const UNLISTED_RETENTION: time::Duration = time::Duration::from_secs(10);

#[derive(Debug, Clone)]
struct PeerState {
    record: MemberRecord,
    hash: liveness::MemberHash,
    last_seen: Option<clock::MonotonicTime>,
    /// When the peer last failed to respond to this process.
    failed_at: Option<clock::MonotonicTime>,
    heartbeat: PeerHeartbeat,
}

/// Table of the peers of a process.
///
/// Invariant: `counts` and `digest` are kept up with the records in `peers`.
#[derive(Debug, Default)]
pub struct MemberTable {
    peers: collections::BTreeMap<ids::InstanceId, PeerState>,
    /// Beats of dispatchers, received from them or through others.
    beats: liveness::BeatTable,
    /// Revision of the store that the records reflect.
    revision: u64,
    /// Number of peers by role: dispatchers, then gateways.
    counts: [usize; 2],
    /// Wrapping sum of the hashes of all records.
    digest: u64,
}

impl MemberTable {
    /// Adds or replaces a record. A record with another address is another process, whose
    /// heartbeat state starts empty.
    pub fn upsert(&mut self, record: MemberRecord) {
        let known = self.peers.get(&record.id);
        if known.is_some_and(|peer| peer.record == record) {
            return;
        }
        self.remove(&record.id);
        self.counts[role_index(record.role)] += 1;
        self.digest = self.digest.wrapping_add(record_hash(&record));
        let peer = PeerState {
            hash: liveness::MemberHash::of(&record.id),
            last_seen: None,
            failed_at: None,
            heartbeat: PeerHeartbeat::default(),
            record,
        };
        self.peers.insert(peer.record.id.clone(), peer);
    }

    /// Removes a process.
    pub fn remove(&mut self, id: &ids::InstanceId) {
        if let Some(peer) = self.peers.remove(id) {
            self.counts[role_index(peer.record.role)] -= 1;
            self.digest = self.digest.wrapping_sub(record_hash(&peer.record));
        }
    }

    /// Returns the revision of the store that the records reflect.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that the records reflect a revision of the store.
    pub fn advance_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the time without a heartbeat after which a peer of a role counts as lost.
    fn timeout_of(&self, role: MemberRole) -> time::Duration {
        let processes: usize = self.counts.iter().sum();
        match role {
            MemberRole::Dispatcher => PEER_TIMEOUT,
            MemberRole::Gateway => {
                let factor = processes as f64 / GATEWAY_FACTOR_STEP;
                PEER_TIMEOUT.mul_f64(factor.clamp(1.0, MAX_GATEWAY_FACTOR))
            }
        }
    }

    /// Returns whether there are so many dispatchers that processes probe only some.
    pub fn is_large(&self) -> bool {
        self.counts[role_index(MemberRole::Dispatcher)] > peer_subset::MAX_FULL_MESH
    }

    /// Returns the time within which the beat of a live dispatcher advances. It passes
    /// through other processes unless all of them probe each other.
    fn beat_timeout(&self) -> time::Duration {
        match self.is_large() {
            true => PEER_TIMEOUT * 2,
            false => PEER_TIMEOUT,
        }
    }

    /// Returns all dispatchers, also those that are not live.
    pub fn dispatchers(&self) -> Vec<ownership::OwnerCandidate> {
        let records = self.records();
        let dispatchers = records.filter(|r| r.role == MemberRole::Dispatcher);
        let candidates = dispatchers.map(|r| ownership::OwnerCandidate {
            id: r.id.clone(),
            domain: r.domain.clone(),
        });
        candidates.collect()
    }

    /// Records the beats in a heartbeat of `sender`.
    pub fn record_beats(
        &mut self,
        sender: &ids::InstanceId,
        beats: impl IntoIterator<Item = liveness::MemberBeat>,
        now: clock::MonotonicTime,
    ) {
        let sender = liveness::MemberHash::of(sender);
        let timeout = self.beat_timeout();
        for beat in beats {
            match beat.member == sender {
                true => self.beats.record_direct(&beat, now),
                false => self.beats.record(&beat, timeout, now),
            }
        }
    }

    /// Returns the beats of live dispatchers, to be passed on.
    pub fn live_beats(&self, now: clock::MonotonicTime) -> Vec<liveness::MemberBeat> {
        self.beats.live(self.beat_timeout(), now)
    }

    /// Forgets beats that no longer advance.
    pub fn expire_beats(&mut self, now: clock::MonotonicTime) {
        self.beats.expire(now);
    }

    /// Records that a peer did not respond to this process.
    pub fn record_failure(&mut self, id: &ids::InstanceId, now: clock::MonotonicTime) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.failed_at = Some(now);
        }
    }

    /// Records a request of a process that does not probe this one.
    pub fn record_contact(&mut self, holder: &ids::InstanceRun, now: clock::MonotonicTime) {
        let Some(peer) = self.peers.get_mut(&holder.instance) else {
            return;
        };
        // A late request of an earlier run says nothing about the current one.
        if peer.last_seen.is_some() && peer.heartbeat.run != holder.run {
            return;
        }
        peer.heartbeat.run = holder.run;
        peer.last_seen = Some(now);
    }

    /// Records a heartbeat and returns whether the run of the process changed.
    pub fn record_heartbeat(
        &mut self,
        id: &ids::InstanceId,
        heartbeat: PeerHeartbeat,
        now: clock::MonotonicTime,
    ) -> RunChange {
        let Some(peer) = self.peers.get_mut(id) else {
            return RunChange::Unchanged;
        };
        let was_seen = peer.last_seen.replace(now).is_some();
        peer.failed_at = None;
        let previous = std::mem::replace(&mut peer.heartbeat, heartbeat);
        match (was_seen, previous.run == peer.heartbeat.run) {
            (false, _) => RunChange::First,
            (true, true) => RunChange::Unchanged,
            (true, false) => RunChange::Restarted,
        }
    }

    /// Replaces the records by those of a peer. Processes that the peer does not list are
    /// removed, except those seen recently: the peer may have just started.
    pub fn merge(&mut self, records: Vec<MemberRecord>, now: clock::MonotonicTime) {
        let known: collections::BTreeSet<_> = records.iter().map(|r| &r.id).collect();
        let is_recent = |peer: &PeerState| {
            peer.last_seen
                .is_some_and(|at| now.since(at) < UNLISTED_RETENTION)
        };
        let unlisted = self
            .peers
            .iter()
            .filter(|(id, peer)| !known.contains(id) && !is_recent(peer));
        let unlisted: Vec<_> = unlisted.map(|(id, _)| id.clone()).collect();
        for id in &unlisted {
            self.remove(id);
        }
        for record in records {
            self.upsert(record);
        }
    }

    /// Takes over the records of a peer as of a revision, unless this table has become as new since
    /// they were requested. Returns whether it did.
    pub fn merge_newer(
        &mut self,
        records: Vec<MemberRecord>,
        revision: u64,
        now: clock::MonotonicTime,
    ) -> bool {
        let is_newer = revision > self.revision;
        if is_newer {
            self.merge(records, now);
            self.advance_revision(revision);
        }
        is_newer
    }

    /// Returns a digest of the records and of `own`; equal tables have equal digests.
    pub fn digest(&self, own: &MemberRecord) -> u64 {
        self.digest.wrapping_add(record_hash(own))
    }

    /// Returns whether a live peer watches the store.
    pub fn has_live_follower(&self, now: clock::MonotonicTime) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| self.is_follower(peer, now))
    }

    /// Returns whether a peer is live and watches the store.
    pub fn is_live_follower(&self, id: &ids::InstanceId, now: clock::MonotonicTime) -> bool {
        let peer = self.peers.get(id);
        peer.is_some_and(|peer| self.is_follower(peer, now))
    }

    fn is_follower(&self, peer: &PeerState, now: clock::MonotonicTime) -> bool {
        if self.is_responding(peer, now) {
            return peer.heartbeat.follows_store && !peer.heartbeat.leaving;
        }
        let state = self.heard_state(peer, now);
        state.is_some_and(|state| state.follows_store && !state.leaving)
    }

    /// Returns the dispatchers that this process can reach, as far as it knows.
    pub fn live_dispatchers(&self, now: clock::MonotonicTime) -> Vec<ids::InstanceId> {
        let live = self.live(now);
        let live = live.filter(|record| record.role == MemberRole::Dispatcher);
        live.map(|record| record.id.clone()).collect()
    }

    /// Returns whether this process can reach a live peer: it receives its heartbeats, or
    /// its beats arrive through others and no request has failed recently.
    pub fn receives_from(&self, id: &ids::InstanceId, now: clock::MonotonicTime) -> bool {
        let peer = self.peers.get(id);
        peer.is_some_and(|peer| self.is_live(peer, now))
    }

    /// Returns the dispatchers that are live but do not respond to this process.
    /// Only the path to them is lost, so they remain owners.
    fn indirectly_live(&self, now: clock::MonotonicTime) -> impl Iterator<Item = &MemberRecord> {
        let silent = self.peers.values().filter(move |peer| {
            let is_dispatcher = peer.record.role == MemberRole::Dispatcher;
            is_dispatcher && !self.is_responding(peer, now) && !self.is_heard(peer, now)
        });
        let beating = silent.filter(move |peer| {
            let timeout = self.beat_timeout();
            let state = self.beats.live_state(peer.hash, timeout, now);
            state.is_some_and(|state| !state.leaving)
        });
        beating.map(|peer| &peer.record)
    }

    /// Returns the state of a dispatcher that this process does not probe, but whose beats
    /// arrive through others.
    fn heard_state(
        &self,
        peer: &PeerState,
        now: clock::MonotonicTime,
    ) -> Option<liveness::BeatState> {
        let is_failing = |at: clock::MonotonicTime| now.since(at) < FAILURE_MEMORY;
        if peer.record.role != MemberRole::Dispatcher || peer.failed_at.is_some_and(is_failing) {
            return None;
        }
        self.beats.live_state(peer.hash, self.beat_timeout(), now)
    }

    fn is_heard(&self, peer: &PeerState, now: clock::MonotonicTime) -> bool {
        self.heard_state(peer, now).is_some()
    }

    /// Returns the live gateways that receive heartbeats of dispatchers. A process that
    /// receives none itself is isolated and reaches the dispatchers through these.
    pub fn relays(&self, now: clock::MonotonicTime) -> Vec<MemberRecord> {
        if !self.live_dispatchers(now).is_empty() {
            return Vec::new();
        }
        let live = self.live(now);
        let relays = live.filter(|r| {
            let peer = self.peers.get(&r.id);
            peer.is_some_and(|p| p.heartbeat.hears_dispatchers)
        });
        relays.cloned().collect()
    }

    /// Returns the dispatchers that remain quota servers without current heartbeats: they
    /// have been silent only for a short time, or this process is young and has not seen
    /// them yet.
    ///
    /// The set of quota servers must survive restarts, because a deposit counts only if
    /// both sides have the same set.
    pub fn silent_quota_servers(
        &self,
        is_young: bool,
        now: clock::MonotonicTime,
    ) -> Vec<&MemberRecord> {
        let silent = self.peers.values().filter(|peer| {
            let remains = match self.last_heard(peer) {
                Some(at) => now.since(at) < QUOTA_SERVER_TIMEOUT && !peer.heartbeat.leaving,
                None => is_young,
            };
            remains && peer.record.role == MemberRole::Dispatcher
        });
        silent.map(|peer| &peer.record).collect()
    }

    /// Returns the records of all peers.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.peers.values().map(|peer| &peer.record)
    }

    /// Returns the number of peers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the role of a process, if it is known.
    pub fn role_of(&self, id: &ids::InstanceId) -> Option<MemberRole> {
        self.peers.get(id).map(|peer| peer.record.role)
    }

    /// Returns the record of a process, if it is known.
    pub fn record_of(&self, id: &ids::InstanceId) -> Option<&MemberRecord> {
        self.peers.get(id).map(|peer| &peer.record)
    }

    /// Returns the address of a process, if it is known.
    pub fn address_of(&self, id: &ids::InstanceId) -> Option<net::SocketAddr> {
        self.peers.get(id).map(|peer| peer.record.address)
    }

    /// Returns when this process last received a heartbeat of a peer, or its beat advanced.
    fn last_heard(&self, peer: &PeerState) -> Option<clock::MonotonicTime> {
        let advanced_at = match peer.record.role {
            MemberRole::Dispatcher => self.beats.advanced_at(peer.hash),
            MemberRole::Gateway => None,
        };
        peer.last_seen.max(advanced_at)
    }

    /// Returns whether a process is unknown, was never received from, or has been silent for
    /// twice the timeout.
    pub fn is_lost(&self, id: &ids::InstanceId, now: clock::MonotonicTime) -> bool {
        let Some(peer) = self.peers.get(id) else {
            return true;
        };
        let timeout = self.timeout_of(peer.record.role) * 2;
        let last_heard = self.last_heard(peer);
        last_heard.is_none_or(|at| now.since(at) > timeout)
    }

    /// Returns whether a run of a process has ended: the process is lost or has since
    /// been seen in another run.
    ///
    /// A process that has just restarted may send a request before its first heartbeat
    /// arrives; for those milliseconds it counts as its previous run.
    pub fn has_ended(&self, holder: &ids::InstanceRun, now: clock::MonotonicTime) -> bool {
        let is_other = |peer: &PeerState| {
            let is_seen = peer.last_seen.is_some() && peer.last_seen >= self.last_heard(peer);
            match is_seen {
                true => peer.heartbeat.run != holder.run,
                false => {
                    let run = self.beats.run_of(peer.hash);
                    run.is_some_and(|run| run != holder.run.low_bits())
                }
            }
        };
        self.is_lost(&holder.instance, now)
            || self.peers.get(&holder.instance).is_some_and(is_other)
    }

    /// Returns whether a heartbeat of a process was ever received, or its beat through
    /// others.
    pub fn was_heard(&self, id: &ids::InstanceId) -> bool {
        let peer = self.peers.get(id);
        peer.is_some_and(|peer| self.last_heard(peer).is_some())
    }

    fn is_responding(&self, peer: &PeerState, now: clock::MonotonicTime) -> bool {
        let timeout = self.timeout_of(peer.record.role);
        peer.last_seen.is_some_and(|at| now.since(at) < timeout)
    }

    fn is_live(&self, peer: &PeerState, now: clock::MonotonicTime) -> bool {
        if self.is_responding(peer, now) {
            return !peer.heartbeat.leaving;
        }
        let state = self.heard_state(peer, now);
        state.is_some_and(|state| !state.leaving)
    }

    /// Returns the addresses of responding peers that have a newer desired state.
    pub fn addresses_with_newer_state(
        &self,
        known: route_table::StateVersion,
        now: clock::MonotonicTime,
    ) -> impl Iterator<Item = net::SocketAddr> + '_ {
        let peers = self.peers.values();
        let newer =
            peers.filter(move |p| p.heartbeat.version > known && self.is_responding(p, now));
        newer.map(|peer| peer.record.address)
    }

    /// Returns the peers that respond and are not draining.
    pub fn live(&self, now: clock::MonotonicTime) -> impl Iterator<Item = &MemberRecord> {
        let alive = move |peer: &&PeerState| self.is_live(peer, now);
        self.peers.values().filter(alive).map(|peer| &peer.record)
    }

    /// Returns the processes that may own endpoints and jobs: the live dispatchers, or
    /// the live gateways if there is no dispatcher.
    ///
    /// A dispatcher that is live only through other peers is included, so that a network
    /// partition between some processes does not give an endpoint two owners. `own` is
    /// this process, unless it is draining.
    pub fn owners(
        &self,
        own: Option<&MemberRecord>,
        now: clock::MonotonicTime,
    ) -> Vec<ownership::OwnerCandidate> {
        let live: Vec<&MemberRecord> = self
            .live(now)
            .chain(self.indirectly_live(now))
            .chain(own)
            .collect();
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
        // All processes must agree on the order.
        owners.sort_by(|a, b| a.id.cmp(&b.id));
        owners
    }
}
