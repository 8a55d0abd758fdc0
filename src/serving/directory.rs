//! Directory of the listed endpoints and their state.

use std::{collections, net, rc, time};

pub use super::{
    directory_transfer::{DirectoryDelta, DirectorySnapshot, DirectoryUpdate},
    endpoint_entry::{software_label, EndpointChange, EndpointEntry, ServiceSoftware},
};

use super::endpoint_index;
use crate::{
    clock,
    decisions::{endpoint_backoff, version_history},
    ids, protection,
};

/// Backoff of an endpoint at whose address another endpoint responded.
///
/// A late write may list an endpoint that has ended next to the one that now has its
/// address. Each request that expects the old one is rejected at once, so the entry looks
/// fast and idle and would be chosen for one request after another until it expires, some
/// 4 s. An endpoint that was rejected by mistake is available again within a second.
const MISIDENTIFIED_BACKOFF: endpoint_backoff::BackoffRange = endpoint_backoff::BackoffRange {
    first: time::Duration::from_secs(1),
    last: time::Duration::from_secs(8),
    // Usually one process at a time knows of the mismatch, so retries need no jitter.
    spread: 0.0,
};

/// State of an entry that expired during a store outage and is removed later.
#[derive(Debug, Clone, Copy)]
struct ExpiredEntry {
    remove_at: clock::MonotonicTime,
}

/// Entry of an earlier start than the known one, which is applied only after a delay.
#[derive(Debug, Clone)]
struct DelayedEntry {
    entry: EndpointEntry,
    apply_at: clock::MonotonicTime,
}

/// Run of an endpoint that ended because the endpoint restarted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Name of the endpoint.
    pub id: ids::EndpointId,
    /// Address of the ended run.
    pub address: net::SocketAddr,
}

/// Times at which list changes take effect.
#[derive(Debug, Clone, Copy, Default)]
pub struct ChangeTiming {
    /// The current time.
    pub now: clock::MonotonicTime,
    /// When removed entries are dropped; at once if `None`.
    pub remove_at: Option<clock::MonotonicTime>,
    /// When an entry of an earlier start than the known one is applied; at once if
    /// `None`. Such an entry is either a late write of a run that has ended, or the clock
    /// of the endpoint was set back. Only in the latter case is the entry still there
    /// after the delay.
    pub apply_earlier_at: Option<clock::MonotonicTime>,
}

/// Directory of all listed endpoints.
///
/// Invariants: the services of `index` hold exactly the entries that may get new work.
/// `unusable` names the others: those that are draining, whose address belongs to a later
/// start, that are backed off as misidentified, or whose domain is evacuated. `unverified`
/// names the usable entries whose endpoint may not be the one at their address. All of it
/// is reassessed for the entries at an address when one of them changes.
#[derive(Debug)]
pub struct EndpointDirectory {
    index: endpoint_index::EndpointIndex,
    expired: collections::HashMap<ids::EndpointId, ExpiredEntry>,
    /// Listed endpoints that are expired at the peer from which the list was copied.
    expired_at_peer: collections::HashSet<ids::EndpointId>,
    earlier: collections::HashMap<ids::EndpointId, DelayedEntry>,
    misidentified: endpoint_backoff::EndpointBackoff,
    unusable: collections::HashSet<ids::EndpointId>,
    /// Endpoints that share an address and have responded under their own names.
    verified: collections::HashSet<ids::EndpointId>,
    unverified: collections::HashSet<ids::EndpointId>,
    ended_runs: Vec<EndedRun>,
    /// Endpoints that were reassessed since [`Self::take_reassessed`] was last called.
    reassessed: collections::HashSet<ids::EndpointId>,
    /// When the endpoints that reported to be cold are warm.
    cold: collections::HashMap<ids::EndpointId, clock::MonotonicTime>,
    /// Evacuated domains.
    evacuated: collections::BTreeSet<ids::DomainName>,
    /// Until when all endpoints of a domain count as cold after its evacuation.
    returned: collections::BTreeMap<ids::DomainName, clock::MonotonicTime>,
    /// Software versions of the services, by all listed endpoints.
    versions: version_history::VersionHistory,
    /// Services whose endpoints have several versions since [`Self::take_mixed`] was last
    /// called.
    mixed: Vec<ids::ServiceName>,
}

impl Default for EndpointDirectory {
    fn default() -> Self {
        Self {
            index: endpoint_index::EndpointIndex::default(),
            expired: collections::HashMap::new(),
            expired_at_peer: collections::HashSet::new(),
            earlier: collections::HashMap::new(),
            misidentified: endpoint_backoff::EndpointBackoff::new(MISIDENTIFIED_BACKOFF),
            unusable: collections::HashSet::new(),
            verified: collections::HashSet::new(),
            unverified: collections::HashSet::new(),
            ended_runs: Vec::new(),
            reassessed: collections::HashSet::new(),
            cold: collections::HashMap::new(),
            evacuated: collections::BTreeSet::new(),
            returned: collections::BTreeMap::new(),
            versions: version_history::VersionHistory::default(),
            mixed: Vec::new(),
        }
    }
}

impl EndpointDirectory {
    /// Applies changes.
    pub fn apply(&mut self, changes: Vec<EndpointChange>, timing: ChangeTiming) {
        for change in changes {
            match change {
                EndpointChange::Listed(entry) => {
                    self.record_cold(&entry, timing.now);
                    self.merge_entry(entry, timing.apply_earlier_at);
                }
                EndpointChange::Removed(id) => self.remove(id, timing.remove_at),
            }
        }
        self.observe_versions(timing.now);
    }

    /// Records which software versions are listed now.
    fn observe_versions(&mut self, now: clock::MonotonicTime) {
        for (service, listed) in self.index.listed_versions() {
            match self.versions.observe(service, listed, now) {
                Some(version_history::VersionChange::Sole(version)) => {
                    log::info!("event=software_sole service={service} software={version}");
                }
                Some(version_history::VersionChange::Mixed) => {
                    log::info!("event=software_mixed service={service}");
                    self.mixed.push(service.clone());
                }
                None => {}
            }
        }
    }

    /// Returns the history of the services' software versions.
    pub fn versions(&self) -> &version_history::VersionHistory {
        &self.versions
    }

    /// Returns the history of the services' software versions, to be extended.
    pub fn versions_mut(&mut self) -> &mut version_history::VersionHistory {
        &mut self.versions
    }

    /// Takes the services whose endpoints have several software versions since the last call.
    pub fn take_mixed(&mut self) -> Vec<ids::ServiceName> {
        std::mem::take(&mut self.mixed)
    }

    fn record_cold(&mut self, entry: &EndpointEntry, now: clock::MonotonicTime) {
        if entry.cold_ms == 0 {
            self.cold.remove(&entry.id);
            return;
        }
        let cold_time = time::Duration::from_millis(entry.cold_ms.into());
        self.cold.insert(entry.id.clone(), now + cold_time);
    }

    fn merge_entry(
        &mut self,
        mut entry: EndpointEntry,
        apply_earlier_at: Option<clock::MonotonicTime>,
    ) {
        entry.leaving &= !protection::is_disabled("leaving_endpoint");
        let known = self.index.get(&entry.id);
        if let (Some(known), Some(apply_at)) = (known, apply_earlier_at) {
            if entry.started_before(known) {
                let mut known = (**known).clone();
                // Draining is accepted from either run: a wrong mark only delays new
                // work.
                known.leaving |= entry.leaving;
                self.delay_entry(entry, apply_at);
                self.insert(known);
                return;
            }
        }
        self.earlier.remove(&entry.id);
        self.insert(entry);
    }

    /// Keeps an entry of an earlier start until it is certain that it is not a late
    /// write.
    fn delay_entry(&mut self, entry: EndpointEntry, apply_at: clock::MonotonicTime) {
        let id = entry.id.clone();
        let delayed = DelayedEntry { entry, apply_at };
        let known = self.earlier.entry(id).or_insert_with(|| delayed.clone());
        if known.entry != delayed.entry {
            *known = delayed;
        }
    }

    /// Inserts an entry, and records the previous run as ended if the start time differs.
    fn insert(&mut self, entry: EndpointEntry) {
        self.expired.remove(&entry.id);
        self.expired_at_peer.remove(&entry.id);
        // A fresh entry shows that its endpoint is alive at this address.
        self.misidentified.forget(&entry.id);
        self.verified.remove(&entry.id);
        let (id, address, started) = (entry.id.clone(), entry.address, entry.started);
        let previous = self.index.insert(entry);
        if let Some(previous) = previous {
            if previous.started != started {
                self.ended_runs.push(EndedRun {
                    id,
                    address: previous.address,
                });
            }
            if previous.address != address {
                self.reassess(previous.address);
            }
        }
        self.reassess(address);
    }

    fn remove(&mut self, id: ids::EndpointId, remove_at: Option<clock::MonotonicTime>) {
        self.earlier.remove(&id);
        match remove_at {
            Some(remove_at) if self.index.get(&id).is_some() => {
                self.expired.entry(id).or_insert(ExpiredEntry { remove_at });
            }
            _ => self.drop_entry(&id),
        }
    }

    /// Drops an entry and all that is kept about it.
    fn drop_entry(&mut self, id: &ids::EndpointId) {
        self.expired.remove(id);
        self.expired_at_peer.remove(id);
        self.cold.remove(id);
        self.verified.remove(id);
        self.unusable.remove(id);
        self.unverified.remove(id);
        if let Some(entry) = self.index.remove(id) {
            self.reassessed.insert(entry.id.clone());
            self.reassess(entry.address);
        }
    }

    /// Takes the runs that have ended by a restart since the last call.
    pub fn take_ended_runs(&mut self) -> Vec<EndedRun> {
        std::mem::take(&mut self.ended_runs)
    }

    /// Records that another endpoint responded at the address of this one, which then
    /// gets no work until its backoff ends or its entry is written again. Returns whether
    /// the endpoint was not backed off before.
    pub fn record_misidentified(
        &mut self,
        id: &ids::EndpointId,
        started: Option<ids::StartTime>,
        now: clock::MonotonicTime,
    ) -> bool {
        let known = self.index.get(id);
        let Some(known) = known.filter(|known| known.started == started) else {
            return false;
        };
        let address = known.address;
        let is_new = self.misidentified.record(id, now, &mut rand::rng());
        if is_new {
            self.reassess(address);
        }
        is_new
    }

    /// Records that an endpoint responded under its own name. Returns whether it was
    /// unverified.
    pub fn record_verified(&mut self, id: &ids::EndpointId) -> bool {
        if !self.unverified.contains(id) {
            return false;
        }
        self.misidentified.forget(id);
        self.verified.insert(id.clone());
        self.reassess_named(id);
        true
    }

    /// Returns whether an endpoint is usable but may not be the one at its address. It gets
    /// one request at a time, which is enough to find out.
    pub fn is_unverified(&self, id: &ids::EndpointId) -> bool {
        self.unverified.contains(id)
    }

    /// Replaces the evacuated domains. The endpoints of domains that were evacuated until
    /// now count as cold until `cold_until`.
    pub fn set_evacuated(
        &mut self,
        evacuated: collections::BTreeSet<ids::DomainName>,
        cold_until: clock::MonotonicTime,
    ) {
        for domain in self.evacuated.difference(&evacuated) {
            self.returned.insert(domain.clone(), cold_until);
        }
        let previous = std::mem::replace(&mut self.evacuated, evacuated);
        let changed: collections::BTreeSet<_> =
            previous.symmetric_difference(&self.evacuated).collect();
        let entries = self.index.entries();
        let affected = entries.filter(|entry| changed.contains(&entry.domain));
        let addresses: Vec<_> = affected.map(|entry| entry.address).collect();
        for address in addresses {
            self.reassess(address);
        }
    }

    /// Returns until when an endpoint is cold, if it is or was.
    pub fn cold_until(&self, entry: &EndpointEntry) -> Option<clock::MonotonicTime> {
        let own = self.cold.get(&entry.id);
        let of_domain = self.returned.get(&entry.domain);
        own.max(of_domain).copied()
    }

    /// Returns the changes that turn this list into a given one.
    pub fn changes_to(&self, entries: Vec<EndpointEntry>) -> Vec<EndpointChange> {
        let listed: collections::HashSet<_> = entries.iter().map(|e| &e.id).collect();
        let missing = self.index.entries().filter(|e| !listed.contains(&e.id));
        let removed: Vec<_> = missing
            .map(|entry| EndpointChange::Removed(entry.id.clone()))
            .collect();
        let is_new = |entry: &EndpointEntry| {
            let known = self.index.get(&entry.id);
            known.is_none_or(|k| **k != *entry) || self.expired.contains_key(&entry.id)
        };
        let changed = entries
            .into_iter()
            .filter(is_new)
            .map(EndpointChange::Listed);
        removed.into_iter().chain(changed).collect()
    }

    /// Returns the entries of a peer's list that are to be applied.
    ///
    /// An entry that the peer keeps after its expiry may already be removed here; adding
    /// it again would send requests to an endpoint that is gone. A process that still has
    /// the entry keeps it as long as the peer does. A process with an empty list accepts
    /// all entries, because it could serve nothing otherwise.
    pub fn filter_peer_entries(
        &self,
        mut entries: Vec<EndpointEntry>,
        expired: &[ids::EndpointId],
    ) -> Vec<EndpointEntry> {
        let expired: collections::HashSet<_> = expired.iter().collect();
        let is_accepted = |entry: &EndpointEntry| {
            let is_known = self.is_empty() || self.index.get(&entry.id).is_some();
            is_known || !expired.contains(&entry.id)
        };
        entries.retain(is_accepted);
        entries
    }

    /// Records which listed endpoints are expired at the peer from which the list was
    /// copied, to be passed on.
    pub fn set_expired_at_peer(&mut self, expired: Vec<ids::EndpointId>) {
        let listed = expired
            .into_iter()
            .filter(|id| self.index.get(id).is_some());
        self.expired_at_peer = listed.collect();
    }

    /// Returns the names of the expired entries that may still be renewed, here or at the
    /// peer from which the list was copied.
    pub fn expired(&self) -> Vec<ids::EndpointId> {
        let expired = self.expired.keys().chain(&self.expired_at_peer);
        let expired: collections::BTreeSet<_> = expired.collect();
        expired.into_iter().cloned().collect()
    }

    /// Keeps all expired entries until `remove_at`.
    pub fn extend_expired(&mut self, remove_at: clock::MonotonicTime) {
        for expired in self.expired.values_mut() {
            expired.remove_at = remove_at;
        }
    }

    /// Removes the expired entries whose grace period has ended, and returns their names.
    pub fn remove_expired(&mut self, now: clock::MonotonicTime) -> Vec<ids::EndpointId> {
        let due = self
            .expired
            .iter()
            .filter(|(_, expired)| expired.remove_at <= now);
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.drop_entry(id);
        }
        self.observe_versions(now);
        due
    }

    /// Applies the delayed entries of earlier starts that were not overwritten meanwhile,
    /// so they are not late writes. Returns the names of their endpoints.
    pub fn apply_earlier(&mut self, now: clock::MonotonicTime) -> Vec<ids::EndpointId> {
        let due = self
            .earlier
            .values()
            .filter(|delayed| delayed.apply_at <= now);
        let due: Vec<_> = due.map(|delayed| delayed.entry.clone()).collect();
        for entry in &due {
            self.earlier.remove(&entry.id);
            if self.index.get(&entry.id).is_some() {
                self.insert(entry.clone());
            }
        }
        self.observe_versions(now);
        due.into_iter().map(|entry| entry.id).collect()
    }

    /// Makes misidentified endpoints usable again after their backoff. Returns whether
    /// there were any.
    pub fn retry_misidentified(&mut self, now: clock::MonotonicTime) -> bool {
        let expired = self.misidentified.take_expired(now);
        for id in expired.reopened.iter().chain(&expired.forgotten) {
            self.reassess_named(id);
        }
        !expired.reopened.is_empty()
    }

    /// Takes the names of the endpoints that were added, changed or removed since the last
    /// call, or whose usability may have changed.
    pub fn take_reassessed(&mut self) -> collections::HashSet<ids::EndpointId> {
        std::mem::take(&mut self.reassessed)
    }

    /// Reassesses the entries at the address of a listed endpoint.
    fn reassess_named(&mut self, id: &ids::EndpointId) {
        if let Some(entry) = self.index.get(id) {
            self.reassess(entry.address);
        }
    }

    /// Reassesses which entries at an address may get new work, and which of these are
    /// verified.
    fn reassess(&mut self, address: net::SocketAddr) {
        let holders = self.index.at(&address).to_vec();
        let latest = self.latest_start(&holders);
        for entry in &holders {
            let is_usable = !entry.leaving
                && !self.evacuated.contains(&entry.domain)
                && !self.misidentified.is_backed_off(&entry.id)
                && !latest.is_some_and(|latest| entry.started_before(latest));
            match is_usable {
                true => self.unusable.remove(&entry.id),
                false => self.unusable.insert(entry.id.clone()),
            };
            self.index.set_in_service(entry, is_usable);
            self.reassessed.insert(entry.id.clone());
        }
        let is_usable = |entry: &&rc::Rc<EndpointEntry>| !self.unusable.contains(&entry.id);
        let is_shared = holders.iter().filter(is_usable).count() > 1;
        for entry in &holders {
            let is_unconfirmed = is_shared && !self.verified.contains(&entry.id);
            let is_doubtful = is_unconfirmed || self.misidentified.contains(&entry.id);
            match is_doubtful && !self.unusable.contains(&entry.id) {
                true => self.unverified.insert(entry.id.clone()),
                false => self.unverified.remove(&entry.id),
            };
        }
    }

    /// Returns the entry of the latest known start among those at one address, without the
    /// backed-off ones.
    fn latest_start<'a>(
        &self,
        holders: &'a [rc::Rc<EndpointEntry>],
    ) -> Option<&'a rc::Rc<EndpointEntry>> {
        let started = holders.iter().filter(|e| e.started.is_some());
        let candidates = started.filter(|e| !self.misidentified.is_backed_off(&e.id));
        candidates.max_by_key(|e| e.started)
    }

    /// Returns the endpoints of a service that may get new work, sorted by name.
    pub fn of_service(&self, service: &ids::ServiceName) -> &[rc::Rc<EndpointEntry>] {
        self.index.of_service(service)
    }

    /// Returns the endpoints of a service that may go on with a text begun at `version`,
    /// sorted by name: all of them for a text that is not begun.
    pub fn of_version(
        &self,
        service: &ids::ServiceName,
        version: Option<&ids::SoftwareVersion>,
    ) -> &[rc::Rc<EndpointEntry>] {
        let Some(version) = version else {
            return self.of_service(service);
        };
        self.index.of_software(&ServiceSoftware {
            service: service.clone(),
            version: version.clone(),
        })
    }

    /// Returns an endpoint if it may get new work.
    pub fn usable(&self, id: &ids::EndpointId) -> Option<&rc::Rc<EndpointEntry>> {
        self.index
            .get(id)
            .filter(|e| !self.unusable.contains(&e.id))
    }

    /// Returns all endpoints that may get new work.
    pub fn all_usable(&self) -> impl Iterator<Item = &rc::Rc<EndpointEntry>> {
        let entries = self.index.entries();
        entries.filter(|entry| !self.unusable.contains(&entry.id))
    }

    /// Returns whether an endpoint is listed with another start time than the given one.
    pub fn has_other_start(&self, id: &ids::EndpointId, started: Option<ids::StartTime>) -> bool {
        self.index.get(id).is_some_and(|e| e.started != started)
    }

    /// Returns an entry, also if it is unusable.
    pub fn entry(&self, id: &ids::EndpointId) -> Option<&rc::Rc<EndpointEntry>> {
        self.index.get(id)
    }

    /// Returns all entries, including unusable ones.
    pub fn entries(&self) -> impl Iterator<Item = &rc::Rc<EndpointEntry>> {
        self.index.entries()
    }

    /// Returns a digest of all entries; equal lists have equal digests.
    pub fn digest(&self) -> u64 {
        self.index.digest()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns the number of entries that changes have examined so far.
    pub fn examined(&self) -> u64 {
        self.index.examined()
    }

    /// Returns whether no endpoint is listed.
    pub fn is_empty(&self) -> bool {
        self.index.len() == 0
    }
}
