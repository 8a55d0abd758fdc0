//! The processes of the system, and which of them answer.

use std::{collections, net, time};

use xxhash_rust::xxh3;

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

/// What a process says of itself at each sign of life.
#[derive(Debug, Clone, Default)]
pub struct LifeSigns {
    /// Whether it is leaving.
    pub leaving: bool,
    /// Dispatchers that it hears itself.
    pub hears: Vec<ids::InstanceId>,
    /// Whether it follows the store itself, and the store answers.
    pub follows_store: bool,
}

/// How often a peer is probed.
pub const PROBE_PAUSE: time::Duration = time::Duration::from_millis(250);
/// Silence after which a peer counts as lost: two probes and their longest answer.
pub const PEER_SILENCE: time::Duration = time::Duration::from_millis(800);

/// How long a process that was heard is kept though a peer does not list it.
const KEPT_SILENT: time::Duration = time::Duration::from_secs(10);

#[derive(Debug, Clone)]
struct PeerState {
    record: MemberRecord,
    heard: Option<clock::Moment>,
    signs: LifeSigns,
}

/// The peers of a process.
#[derive(Debug, Default)]
pub struct MemberTable {
    peers: collections::BTreeMap<ids::InstanceId, PeerState>,
}

impl MemberTable {
    /// Takes a record; one at another address is another process.
    pub fn take(&mut self, record: MemberRecord) {
        match self.peers.get_mut(&record.id) {
            Some(peer) if peer.record == record => {}
            _ => {
                let peer = PeerState {
                    record,
                    heard: None,
                    signs: LifeSigns::default(),
                };
                self.peers.insert(peer.record.id.clone(), peer);
            }
        }
    }

    /// Forgets a process.
    pub fn remove(&mut self, id: &ids::InstanceId) {
        self.peers.remove(id);
    }

    /// Notes a sign of life, and what the process says of itself.
    pub fn note_heard(&mut self, id: &ids::InstanceId, signs: LifeSigns, now: clock::Moment) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.heard = Some(now);
            peer.signs = signs;
        }
    }

    /// Takes all records that a peer knows; those that it lacks are forgotten,
    /// but for processes that answer: the peer may have just started itself.
    pub fn merge(&mut self, records: Vec<MemberRecord>, now: clock::Moment) {
        let known: collections::BTreeSet<_> = records.iter().map(|r| r.id.clone()).collect();
        let recent = |peer: &PeerState| peer.heard.is_some_and(|at| now.since(at) < KEPT_SILENT);
        self.peers
            .retain(|id, peer| known.contains(id) || recent(peer));
        for record in records {
            self.take(record);
        }
    }

    /// A number that differs for tables that differ, with `own` among them.
    pub fn digest(&self, own: &MemberRecord) -> u64 {
        let records = self.records().chain([own]);
        let numbers = records.map(|r| {
            let text = format!("{} {}", r.id, r.address);
            xxh3::xxh3_64(text.as_bytes())
        });
        numbers.fold(0, u64::wrapping_add)
    }

    /// Whether a live peer follows the store.
    pub fn hears_follower(&self, now: clock::Moment) -> bool {
        let mut live = self.live(now);
        live.any(|r| self.peers.get(&r.id).is_some_and(|p| p.signs.follows_store))
    }

    /// Dispatchers that answer this process itself.
    pub fn heard_dispatchers(&self, now: clock::Moment) -> Vec<ids::InstanceId> {
        let live = self.live(now);
        let live = live.filter(|record| record.role == MemberRole::Dispatcher);
        live.map(|record| record.id.clone()).collect()
    }

    /// Whether a process answers this process itself.
    pub fn hears(&self, id: &ids::InstanceId, now: clock::Moment) -> bool {
        self.live(now).any(|record| record.id == *id)
    }

    /// Dispatchers that do not answer this process but are heard by live peers:
    /// the path to them is cut, and they still own what they own.
    fn vouched(&self, now: clock::Moment) -> Vec<&MemberRecord> {
        let live = self
            .live(now)
            .filter_map(|record| self.peers.get(&record.id));
        let named = live.flat_map(|peer| peer.signs.hears.iter());
        let named: collections::BTreeSet<_> = named.collect();
        let peers = named.into_iter().filter_map(|id| self.peers.get(id));
        let cut = peers.filter(|peer| {
            let heard = peer.heard.is_some_and(|at| now.since(at) < PEER_SILENCE);
            let said_leaving = heard && peer.signs.leaving;
            peer.record.role == MemberRole::Dispatcher && !heard && !said_leaving
        });
        cut.map(|peer| &peer.record).collect()
    }

    /// Live gateways that hear dispatchers: a process that hears none itself is
    /// cut off, and reaches them through these.
    pub fn relays(&self, now: clock::Moment) -> Vec<MemberRecord> {
        if !self.heard_dispatchers(now).is_empty() {
            return Vec::new();
        }
        let live = self.live(now);
        let relays = live.filter(|r| {
            let peer = self.peers.get(&r.id);
            peer.is_some_and(|p| !p.signs.hears.is_empty())
        });
        relays.cloned().collect()
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
    pub fn is_lost(&self, id: &ids::InstanceId, now: clock::Moment) -> bool {
        let heard = self.peers.get(id).and_then(|peer| peer.heard);
        heard.is_none_or(|at| now.since(at) > PEER_SILENCE * 2)
    }

    /// Peers that answer and stay.
    pub fn live(&self, now: clock::Moment) -> impl Iterator<Item = &MemberRecord> {
        let alive = move |peer: &&PeerState| {
            let heard = peer.heard.is_some_and(|at| now.since(at) < PEER_SILENCE);
            heard && !peer.signs.leaving
        };
        self.peers.values().filter(alive).map(|peer| &peer.record)
    }

    /// Who may own endpoints and jobs: the live dispatchers, or else the live gateways.
    ///
    /// A dispatcher that live peers hear counts, so that a cut between some
    /// processes does not give an endpoint two owners. `own` is this process, if it is not leaving.
    pub fn owners(
        &self,
        own: Option<&MemberRecord>,
        now: clock::Moment,
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
