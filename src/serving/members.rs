//! Membership: the processes of the system and their liveness.

use std::{collections, net, time};

use xxhash_rust::xxh3;

use super::route_table;
use crate::{clock, decisions::ownership, ids};

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

/// Hash of a process name, which keeps heartbeats small when there are many processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct MemberHash(u32);

impl MemberHash {
    /// Returns the hash of a name. Among 390 names, two have the same hash in one of
    /// 56,000 fleets.
    pub fn of(id: &ids::InstanceId) -> Self {
        Self(xxh3::xxh3_64(id.as_str().as_bytes()) as u32)
    }
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
    /// Hashes of the dispatchers whose heartbeats the process receives.
    pub receives_from: Vec<MemberHash>,
    /// Whether the process watches the store itself and the store responds.
    pub follows_store: bool,
    /// Version of its desired state.
    pub version: route_table::StateVersion,
}

/// Number of owners that watch the store; the others receive its changes through probes.
///
/// One would be enough; with three, the loss of two at once has no effect.
pub(super) const STORE_FOLLOWERS: usize = 3;

/// Interval between two probes of a peer in a small fleet.
pub const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Number of peers up to which each is probed at [`PROBE_INTERVAL`]. Beyond it the
/// interval grows, so that a process sends at most 64 probes per second. With a probe of
/// every peer each 250 ms, 300 processes spent three quarters of their CPU time on
/// probes. The loss of one of many processes is detected later, but affects a smaller
/// share of the requests.
const FULL_RATE_PEERS: usize = 16;

/// Returns the factor by which the probe interval grows with the number of peers.
pub fn probe_interval_factor(peers: usize) -> f64 {
    (peers as f64 / FULL_RATE_PEERS as f64).max(1.0)
}

/// Time without a heartbeat after which a peer counts as lost in a small fleet: two probe
/// intervals and the timeout of the response.
pub const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Time without a heartbeat after which a dispatcher is no longer a quota server.
pub const QUOTA_SERVER_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

fn record_hash(record: &MemberRecord) -> u64 {
    let text = format!("{} {}", record.id, record.address);
    xxh3::xxh3_64(text.as_bytes())
}

/// Time after its last heartbeat for which a process is kept although a peer does not
/// list it.
const UNLISTED_RETENTION: time::Duration = time::Duration::from_secs(10);

#[derive(Debug, Clone)]
struct PeerState {
    record: MemberRecord,
    last_seen: Option<clock::MonotonicTime>,
    heartbeat: PeerHeartbeat,
}

/// Table of the peers of a process.
///
/// Invariant: `counts` and `digest` are computed from the records in `peers`.
#[derive(Debug, Default)]
pub struct MemberTable {
    peers: collections::BTreeMap<ids::InstanceId, PeerState>,
    /// Number of peers by role: dispatchers, then gateways.
    counts: [usize; 2],
    /// Wrapping sum of the hashes of all records.
    digest: u64,
}

impl MemberTable {
    /// Adds or replaces a record. A record with another address is another process, whose
    /// heartbeat state starts empty.
    pub fn upsert(&mut self, record: MemberRecord) {
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

    /// Removes a process.
    pub fn remove(&mut self, id: &ids::InstanceId) {
        self.peers.remove(id);
        self.recount();
    }

    fn recount(&mut self) {
        let count = |role| self.records().filter(|r| r.role == role).count();
        self.counts = [count(MemberRole::Dispatcher), count(MemberRole::Gateway)];
        self.digest = self.records().map(record_hash).fold(0, u64::wrapping_add);
    }

    /// Returns the time without a heartbeat after which a peer of a role counts as lost.
    fn timeout_of(&self, role: MemberRole) -> time::Duration {
        let [dispatchers, gateways] = self.counts;
        let probed = match role {
            MemberRole::Dispatcher => dispatchers,
            // Gateways are probed only while no dispatcher is live, together with all
            // other peers.
            MemberRole::Gateway => dispatchers + gateways,
        };
        PEER_TIMEOUT.mul_f64(probe_interval_factor(probed))
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
        let known: collections::BTreeSet<_> = records.iter().map(|r| r.id.clone()).collect();
        let recent = |peer: &PeerState| {
            peer.last_seen
                .is_some_and(|at| now.since(at) < UNLISTED_RETENTION)
        };
        self.peers
            .retain(|id, peer| known.contains(id) || recent(peer));
        for record in records {
            self.upsert(record);
        }
        self.recount();
    }

    /// Returns a digest of the records and of `own`; equal tables have equal digests.
    pub fn digest(&self, own: &MemberRecord) -> u64 {
        self.digest.wrapping_add(record_hash(own))
    }

    /// Returns whether a live peer watches the store.
    pub fn has_live_follower(&self, now: clock::MonotonicTime) -> bool {
        let mut peers = self.peers.keys();
        peers.any(|id| self.is_live_follower(id, now))
    }

    /// Returns whether a peer is live and watches the store.
    pub fn is_live_follower(&self, id: &ids::InstanceId, now: clock::MonotonicTime) -> bool {
        let peer = self.peers.get(id);
        peer.is_some_and(|peer| peer.heartbeat.follows_store && self.is_live(peer, now))
    }

    /// Returns the dispatchers whose heartbeats this process receives.
    pub fn live_dispatchers(&self, now: clock::MonotonicTime) -> Vec<ids::InstanceId> {
        let live = self.live(now);
        let live = live.filter(|record| record.role == MemberRole::Dispatcher);
        live.map(|record| record.id.clone()).collect()
    }

    /// Returns whether this process receives heartbeats of a peer.
    pub fn receives_from(&self, id: &ids::InstanceId, now: clock::MonotonicTime) -> bool {
        let peer = self.peers.get(id);
        peer.is_some_and(|peer| self.is_live(peer, now))
    }

    /// Returns the dispatchers whose heartbeats reach live peers but not this process.
    /// Only the path to them is lost, so they remain owners.
    fn indirectly_live(&self, now: clock::MonotonicTime) -> Vec<&MemberRecord> {
        let live = self
            .live(now)
            .filter_map(|record| self.peers.get(&record.id));
        let reported = live.flat_map(|peer| peer.heartbeat.receives_from.iter());
        let reported: collections::HashSet<_> = reported.collect();
        let silent_peers = self.peers.values().filter(|peer| {
            let responds = self.is_responding(peer, now);
            let is_leaving = responds && peer.heartbeat.leaving;
            let is_dispatcher = peer.record.role == MemberRole::Dispatcher;
            let silent = is_dispatcher && !responds && !is_leaving;
            silent && reported.contains(&MemberHash::of(&peer.record.id))
        });
        silent_peers.map(|peer| &peer.record).collect()
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
            peer.is_some_and(|p| !p.heartbeat.receives_from.is_empty())
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
            let remains = match peer.last_seen {
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

    /// Returns the address of a process, if it is known.
    pub fn address_of(&self, id: &ids::InstanceId) -> Option<net::SocketAddr> {
        self.peers.get(id).map(|peer| peer.record.address)
    }

    /// Returns whether a process is unknown, has never been seen, or has been silent for
    /// twice the timeout.
    pub fn is_lost(&self, id: &ids::InstanceId, now: clock::MonotonicTime) -> bool {
        let Some(peer) = self.peers.get(id) else {
            return true;
        };
        let timeout = self.timeout_of(peer.record.role) * 2;
        peer.last_seen.is_none_or(|at| now.since(at) > timeout)
    }

    /// Returns whether a run of a process has ended: the process is lost or has since
    /// been seen in another run.
    ///
    /// A process that has just restarted may send a request before its first heartbeat
    /// arrives; for those milliseconds it counts as its previous run.
    pub fn has_ended(&self, holder: &ids::InstanceRun, now: clock::MonotonicTime) -> bool {
        let is_other = |peer: &PeerState| peer.heartbeat.run != holder.run;
        self.is_lost(&holder.instance, now)
            || self.peers.get(&holder.instance).is_some_and(is_other)
    }

    /// Returns whether a heartbeat of a process was ever received.
    pub fn was_seen(&self, id: &ids::InstanceId) -> bool {
        self.peers
            .get(id)
            .is_some_and(|peer| peer.last_seen.is_some())
    }

    fn is_responding(&self, peer: &PeerState, now: clock::MonotonicTime) -> bool {
        let timeout = self.timeout_of(peer.record.role);
        peer.last_seen.is_some_and(|at| now.since(at) < timeout)
    }

    fn is_live(&self, peer: &PeerState, now: clock::MonotonicTime) -> bool {
        self.is_responding(peer, now) && !peer.heartbeat.leaving
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
