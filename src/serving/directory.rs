//! The endpoints that are listed, and what is believed of each.

use std::{collections, fmt, net, rc, time};

use xxhash_rust::xxh3;

use crate::{clock, decisions::endpoint_backoff, ids, protection};

/// How long an endpoint is left out at whose address somebody else answered.
///
/// A late write may list an endpoint that has ended beside the one that has its
/// address now. Each request that expects it is refused there at once, so it looks
/// fast and free, and would be chosen for one request after the other for as long as
/// its entry stands, some 4 s. An endpoint that was refused by mistake is back within
/// a second.
const MISNAMED_PAUSES: endpoint_backoff::BackoffRange = endpoint_backoff::BackoffRange {
    first: time::Duration::from_secs(1),
    last: time::Duration::from_secs(8),
    // One process at a time knows of it, so nobody comes back together.
    spread: 0.0,
};

/// One listed endpoint.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EndpointEntry {
    /// Its name; it may start again under the same one.
    pub id: ids::EndpointId,
    /// The service that it runs.
    pub service: ids::ServiceName,
    /// Where it is.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave and gets no new work.
    pub leaving: bool,
    /// When it started, if its entry says so.
    pub started: Option<ids::StartTime>,
}

impl EndpointEntry {
    /// Whether it started before another; unknown if either does not say.
    fn started_before(&self, other: &Self) -> bool {
        match (self.started, other.started) {
            (Some(own), Some(other)) => own < other,
            _ => false,
        }
    }
}

/// One change of the list.
#[derive(Debug, Clone)]
pub enum ListChange {
    /// The endpoint is listed like this.
    Listed(EndpointEntry),
    /// The endpoint is listed no more.
    Removed(ids::EndpointId),
}

impl fmt::Display for ListChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listed(entry) => write!(
                f,
                "change=listed endpoint={} service={} address={} domain={} slots={} leaving={} started={}",
                entry.id,
                entry.service,
                entry.address,
                entry.domain,
                entry.slots,
                entry.leaving,
                entry.started.map_or("-".to_owned(), |at| at.to_string())
            ),
            Self::Removed(id) => write!(f, "change=removed endpoint={id}"),
        }
    }
}

/// An entry that expired while the store was away, and when it counts as gone.
#[derive(Debug, Clone, Copy)]
struct ExpiredMark {
    gone_at: clock::MonotonicTime,
}

/// An entry of an earlier start than the known one, and when it is taken all the same.
#[derive(Debug, Clone)]
struct EarlierEntry {
    entry: EndpointEntry,
    taken_at: clock::MonotonicTime,
}

/// A run of an endpoint that has ended, as the endpoint started again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// The endpoint.
    pub id: ids::EndpointId,
    /// Where it was.
    pub address: net::SocketAddr,
}

/// When changes of a list take effect.
#[derive(Debug, Clone, Copy, Default)]
pub struct ChangeTerms {
    /// When what is removed counts as gone; at once without it.
    pub gone_at: Option<clock::MonotonicTime>,
    /// When an entry of an earlier start than the known one is taken; at once without
    /// it. It may be a late write of a start that has ended, or the clock of the
    /// endpoint has stepped back. Only the latter is still there after a while.
    pub earlier_at: Option<clock::MonotonicTime>,
}

/// All listed endpoints.
///
/// Invariants: `services` names exactly the entries of `entries` that may get new
/// work; `hidden` names those that leave, whose address a later start holds, or
/// whose name nobody at their address has; `doubtful` names those of the others of
/// which it is not known whether they are the ones at their address; `digest` is of
/// all of `entries`.
#[derive(Debug)]
pub struct EndpointDirectory {
    entries: collections::HashMap<ids::EndpointId, rc::Rc<EndpointEntry>>,
    expired: collections::HashMap<ids::EndpointId, ExpiredMark>,
    earlier: collections::HashMap<ids::EndpointId, EarlierEntry>,
    misnamed: endpoint_backoff::EndpointBackoff,
    hidden: collections::HashSet<ids::EndpointId>,
    /// Endpoints that share their address and answered under their names.
    named: collections::HashSet<ids::EndpointId>,
    doubtful: collections::HashSet<ids::EndpointId>,
    ended_runs: Vec<EndedRun>,
    services: collections::HashMap<ids::ServiceName, Vec<rc::Rc<EndpointEntry>>>,
    /// See [`Self::digest`]; made anew with each change, as each probe tells it.
    digest: u64,
}

impl Default for EndpointDirectory {
    fn default() -> Self {
        Self {
            entries: collections::HashMap::new(),
            expired: collections::HashMap::new(),
            earlier: collections::HashMap::new(),
            misnamed: endpoint_backoff::EndpointBackoff::new(MISNAMED_PAUSES),
            hidden: collections::HashSet::new(),
            named: collections::HashSet::new(),
            doubtful: collections::HashSet::new(),
            ended_runs: Vec::new(),
            services: collections::HashMap::new(),
            digest: 0,
        }
    }
}

impl EndpointDirectory {
    /// Takes changes.
    pub fn apply(&mut self, changes: Vec<ListChange>, terms: ChangeTerms) {
        for change in changes {
            match change {
                ListChange::Listed(entry) => self.take_entry(entry, terms.earlier_at),
                ListChange::Removed(id) => self.remove(id, terms.gone_at),
            }
        }
        self.rebuild();
    }

    fn take_entry(&mut self, mut entry: EndpointEntry, earlier_at: Option<clock::MonotonicTime>) {
        entry.leaving &= !protection::is_disabled("leaving_endpoint");
        let known = self.entries.get(&entry.id);
        if let (Some(known), Some(taken_at)) = (known, earlier_at) {
            if entry.started_before(known) {
                let mut known = (**known).clone();
                // To leave is believed of either: nothing is lost by it but a moment.
                known.leaving |= entry.leaving;
                self.hold_back(entry, taken_at);
                self.put(known);
                return;
            }
        }
        self.earlier.remove(&entry.id);
        self.put(entry);
    }

    /// Keeps an entry of an earlier start until it is clear that it is no late write.
    fn hold_back(&mut self, entry: EndpointEntry, taken_at: clock::MonotonicTime) {
        let id = entry.id.clone();
        let held = EarlierEntry { entry, taken_at };
        let known = self.earlier.entry(id).or_insert_with(|| held.clone());
        if known.entry != held.entry {
            *known = held;
        }
    }

    /// Lists an entry; notes the run that it ends, if it is of another start.
    fn put(&mut self, entry: EndpointEntry) {
        self.expired.remove(&entry.id);
        // Whoever is named in it writes it, and so is there.
        self.misnamed.forget(&entry.id);
        self.named.remove(&entry.id);
        let before = self.entries.get(&entry.id);
        if let Some(before) = before.filter(|before| before.started != entry.started) {
            self.ended_runs.push(EndedRun {
                id: before.id.clone(),
                address: before.address,
            });
        }
        self.entries.insert(entry.id.clone(), rc::Rc::new(entry));
    }

    fn remove(&mut self, id: ids::EndpointId, gone_at: Option<clock::MonotonicTime>) {
        self.earlier.remove(&id);
        match gone_at {
            Some(gone_at) if self.entries.contains_key(&id) => {
                self.expired.entry(id).or_insert(ExpiredMark { gone_at });
            }
            _ => {
                self.entries.remove(&id);
                self.expired.remove(&id);
            }
        }
    }

    /// The runs that ended since they were last asked for, as their endpoints started again.
    pub fn take_ended_runs(&mut self) -> Vec<EndedRun> {
        std::mem::take(&mut self.ended_runs)
    }

    /// Notes that nobody of this name is at an endpoint's address, as who is there
    /// says; it gets no work for a while, or until its entry is written again. Says
    /// whether that is new.
    pub fn record_misnamed(
        &mut self,
        id: &ids::EndpointId,
        started: Option<ids::StartTime>,
        now: clock::MonotonicTime,
    ) -> bool {
        let known = self.entries.get(id);
        if known.is_none_or(|known| known.started != started) {
            return false;
        }
        let is_new = self.misnamed.record(id, now, &mut rand::rng());
        if is_new {
            self.rebuild();
        }
        is_new
    }

    /// Notes that an endpoint answered under its name; says whether that was in doubt.
    pub fn record_named(&mut self, id: &ids::EndpointId) -> bool {
        if !self.doubtful.contains(id) {
            return false;
        }
        self.misnamed.forget(id);
        self.named.insert(id.clone());
        self.rebuild();
        true
    }

    /// Endpoints of which it is not known whether they are the ones at their address:
    /// one request at a time is enough to learn it.
    pub fn doubtful(&self) -> &collections::HashSet<ids::EndpointId> {
        &self.doubtful
    }

    /// The changes that lead from this list to a whole one.
    pub fn changes_to(&self, entries: Vec<EndpointEntry>) -> Vec<ListChange> {
        let listed: collections::HashSet<_> = entries.iter().map(|e| e.id.clone()).collect();
        let missing = self.entries.keys().filter(|id| !listed.contains(*id));
        let removed: Vec<_> = missing.cloned().map(ListChange::Removed).collect();
        let is_new = |entry: &EndpointEntry| {
            let known = self.entries.get(&entry.id);
            known.is_none_or(|k| **k != *entry) || self.expired.contains_key(&entry.id)
        };
        let changed = entries.into_iter().filter(is_new).map(ListChange::Listed);
        removed.into_iter().chain(changed).collect()
    }

    /// The entries of a peer's list that are to be taken.
    ///
    /// What the peer keeps though it is removed may be removed for good here: it must
    /// not come back, and get requests, long after it is gone. Who has it still keeps it
    /// as long as the peer; so does who has no list yet, and would serve nobody else.
    pub fn accept(&self, copy: DirectorySnapshot) -> Vec<EndpointEntry> {
        let expired: collections::HashSet<_> = copy.expired.into_iter().collect();
        let is_taken = |entry: &EndpointEntry| {
            let is_known = self.is_empty() || self.entries.contains_key(&entry.id);
            is_known || !expired.contains(&entry.id)
        };
        let mut entries = copy.entries;
        entries.retain(is_taken);
        entries
    }

    /// Names of the entries that are removed, and may come back.
    pub fn expired(&self) -> Vec<ids::EndpointId> {
        self.expired.keys().cloned().collect()
    }

    /// Lets the entries that expired come back until `gone_at`.
    pub fn keep_expired(&mut self, gone_at: clock::MonotonicTime) {
        for mark in self.expired.values_mut() {
            mark.gone_at = gone_at;
        }
    }

    /// Removes the expired entries whose time is over; says whether there were any.
    pub fn expire(&mut self, now: clock::MonotonicTime) -> bool {
        let over = self.expired.iter().filter(|(_, mark)| mark.gone_at <= now);
        let over: Vec<_> = over.map(|(id, _)| id.clone()).collect();
        for id in &over {
            self.expired.remove(id);
            self.entries.remove(id);
        }
        if !over.is_empty() {
            self.rebuild();
        }
        !over.is_empty()
    }

    /// Takes the entries of earlier starts that are still there, so that they are no
    /// late writes; says whether there were any.
    pub fn take_earlier(&mut self, now: clock::MonotonicTime) -> bool {
        let due = self.earlier.values().filter(|held| held.taken_at <= now);
        let due: Vec<_> = due.map(|held| held.entry.clone()).collect();
        for entry in &due {
            self.earlier.remove(&entry.id);
            if self.entries.contains_key(&entry.id) {
                self.put(entry.clone());
            }
        }
        if !due.is_empty() {
            self.rebuild();
        }
        !due.is_empty()
    }

    /// Lets endpoints be tried again that were not at their address a while ago;
    /// says whether there were any.
    pub fn retry_misnamed(&mut self, now: clock::MonotonicTime) -> bool {
        let is_due = self.misnamed.expire(now);
        if is_due {
            self.rebuild();
        }
        is_due
    }

    fn rebuild(&mut self) {
        self.hidden = self.find_hidden();
        self.doubtful = self.find_doubtful();
        let entries = &self.entries;
        self.named.retain(|id| entries.contains_key(id));
        self.services.clear();
        for entry in self.entries.values() {
            if self.hidden.contains(&entry.id) {
                continue;
            }
            let list = self.services.entry(entry.service.clone()).or_default();
            list.push(entry.clone());
        }
        for list in self.services.values_mut() {
            list.sort_by(|a, b| a.id.cmp(&b.id));
        }
        let numbers = self.entries.values().map(|entry| {
            let text = format!("{entry:?}");
            xxh3::xxh3_64(text.as_bytes())
        });
        self.digest = numbers.fold(0, u64::wrapping_add);
    }

    /// The entries that may get work, and may not be the ones at their address: they
    /// were refused there lately, or share it with another one.
    fn find_doubtful(&self) -> collections::HashSet<ids::EndpointId> {
        let mut sharers: collections::HashMap<_, usize> = collections::HashMap::new();
        for entry in self.all_usable() {
            *sharers.entry(entry.address).or_default() += 1;
        }
        let is_doubtful = |entry: &&rc::Rc<EndpointEntry>| {
            let is_shared = sharers.get(&entry.address).is_some_and(|count| *count > 1);
            let is_unproved = is_shared && !self.named.contains(&entry.id);
            is_unproved || self.misnamed.contains(&entry.id)
        };
        let doubtful = self.all_usable().filter(is_doubtful);
        doubtful.map(|entry| entry.id.clone()).collect()
    }

    /// The entries that may get no new work.
    fn find_hidden(&self) -> collections::HashSet<ids::EndpointId> {
        let mut latest: collections::HashMap<_, &rc::Rc<EndpointEntry>> =
            collections::HashMap::new();
        for entry in self.entries.values() {
            if entry.started.is_none() || self.misnamed.is_backed_off(&entry.id) {
                continue;
            }
            let holder = latest.entry(entry.address).or_insert(entry);
            if holder.started_before(entry) {
                *holder = entry;
            }
        }
        let is_hidden = |entry: &&rc::Rc<EndpointEntry>| {
            let holder = latest.get(&entry.address);
            entry.leaving
                || self.misnamed.is_backed_off(&entry.id)
                || holder.is_some_and(|holder| entry.started_before(holder))
        };
        let hidden = self.entries.values().filter(is_hidden);
        hidden.map(|entry| entry.id.clone()).collect()
    }

    /// Endpoints of a service that may get new work, by name.
    pub fn of_service(&self, service: &ids::ServiceName) -> &[rc::Rc<EndpointEntry>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// An endpoint, if it may get new work.
    pub fn usable(&self, id: &ids::EndpointId) -> Option<&rc::Rc<EndpointEntry>> {
        self.entries
            .get(id)
            .filter(|e| !self.hidden.contains(&e.id))
    }

    /// All endpoints that may get new work.
    pub fn all_usable(&self) -> impl Iterator<Item = &rc::Rc<EndpointEntry>> {
        let entries = self.entries.values();
        entries.filter(|entry| !self.hidden.contains(&entry.id))
    }

    /// Whether an endpoint is listed with another start than the one given.
    pub fn has_other_start(&self, id: &ids::EndpointId, started: Option<ids::StartTime>) -> bool {
        self.entries.get(id).is_some_and(|e| e.started != started)
    }

    /// All entries, leaving ones included.
    pub fn entries(&self) -> impl Iterator<Item = &rc::Rc<EndpointEntry>> {
        self.entries.values()
    }

    /// A number that differs for lists that differ.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no endpoint is listed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// A list as it is told between processes.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct DirectorySnapshot {
    /// Its number, see [`super::fleet_model::FleetModel::revision`].
    pub revision: u64,
    /// The entries.
    pub entries: Vec<EndpointEntry>,
    /// Names of those that are removed, and are kept for a while as they may have
    /// expired in an absence of the store.
    pub expired: Vec<ids::EndpointId>,
}
