//! State of the fleet as this process knows it: the desired state and the endpoints.

use std::{cell, collections, rc, sync, time};

use futures::future;
use tokio::sync::{watch, Notify};

use super::{directory, directory_transfer, evacuations, fleet_source, route_table};
use crate::{clock, ids, protection};

/// Grace period after a store outage in which an entry that expired during the outage may
/// be renewed.
const EXPIRY_GRACE: time::Duration = time::Duration::from_millis(2500);
/// Minimum duration of a store outage in which live endpoints may expire.
///
/// Endpoints renew their entries about every second and expire after three times that, so
/// a shorter outage, such as a single failed call, expires no live endpoint. What is
/// removed after it is gone, and requests need not be sent there for the 2.5 s of the
/// grace period.
const MIN_OUTAGE: time::Duration = time::Duration::from_secs(1);
/// Delay before an entry of an earlier start than the known one is applied.
///
/// It protects the entry of the later start against a late write of the earlier one: a
/// live endpoint renews its entry within 1.2 s. An endpoint whose clock was set back
/// keeps serving under the same name meanwhile.
const EARLIER_ENTRY_DELAY: time::Duration = time::Duration::from_millis(2500);
/// Time after an evacuation for which the endpoints of the domain count as cold.
///
/// They may have become cold during the evacuation; within this time each has renewed its
/// entry, which then says so.
const RETURN_COLD_TIME: time::Duration = time::Duration::from_millis(2500);
/// Time for which the store must have responded before removals take effect at once.
const STABLE_AFTER: time::Duration = time::Duration::from_secs(3);
/// Number of list revisions per revision of the store, see [`FleetModel::revision`].
///
/// Entries that expired in one store outage are removed together, so few are used; store
/// revisions stay far below the bound that this leaves.
const LISTS_PER_REVISION: u64 = 1000;

/// Number of changes up to which each is logged. More come at a start or from many endpoints
/// at once; their lines would displace those about requests of that second.
const MAX_CHANGE_LINES: usize = 32;
/// Minimum interval between two whole lists sent to peers, for each endpoint: at 10,000
/// endpoints 20 lists of 0.7 MB a second.
const WHOLE_LIST_SPACING: time::Duration = time::Duration::from_micros(5);

/// Where a process gets the list of endpoints at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartSource {
    /// From the store: the fleet is small, or this process reads for the others.
    Store,
    /// From peers, and from the store only if none of them has it: in a large fleet, the
    /// store could not serve all processes that start together.
    Peers {
        /// How long peers have to send it.
        timeout: time::Duration,
    },
}

/// Fleet state of a process.
///
/// Invariants: neither the version of the desired state nor `list_revision` ever
/// decreases; the list of endpoints reflects everything up to its revision.
pub struct FleetModel {
    clock: sync::Arc<dyn clock::MonotonicClock>,
    table: cell::RefCell<rc::Rc<route_table::RouteTable>>,
    /// Directory of endpoints.
    pub directory: cell::RefCell<directory::EndpointDirectory>,
    /// See [`Self::revision`].
    list_revision: cell::Cell<u64>,
    /// Changes of the list by its revision.
    change_log: cell::RefCell<directory_transfer::ChangeLog>,
    /// Whether the list differs from that of a peer although all its changes were applied.
    needs_whole_list: cell::Cell<bool>,
    /// See [`Self::start_source`]; `None` until the members are known.
    start_source: watch::Sender<Option<StartSource>>,
    /// When a whole list was last sent to a peer.
    whole_sent_at: cell::Cell<Option<clock::MonotonicTime>>,
    is_source_responding: cell::Cell<bool>,
    /// When the first call failed in the current or last outage of the source.
    unreachable_since: cell::Cell<Option<clock::MonotonicTime>>,
    /// Time of the last response of the source.
    last_response_at: cell::Cell<Option<clock::MonotonicTime>>,
    /// When the source recovered from its last long outage, if there was one.
    recovered_at: cell::Cell<Option<clock::MonotonicTime>>,
    follows_store: cell::Cell<bool>,
    /// Number of times that this process has begun to follow the source after relying on
    /// peers.
    follow_number: cell::Cell<u64>,
    /// The follow number for which the desired state has been read.
    read_follow_number: cell::Cell<u64>,
    follow_begun: Notify,
    /// Whether this process has relied on peers since it last followed the source.
    relied_on_peers: cell::Cell<bool>,
    retiring: cell::RefCell<collections::BTreeSet<ids::InstanceId>>,
    /// Evacuated failure domains, the same as in `directory`; the revision never decreases.
    evacuations: cell::RefCell<evacuations::EvacuationSet>,
    /// Whether the source delivers evacuations.
    expects_evacuations: cell::Cell<bool>,
    /// Number of objects of the store that could not be read.
    unreadable: cell::Cell<u64>,
    changes: watch::Sender<u64>,
    source_recovery: Notify,
}

impl FleetModel {
    /// Creates a model without any state.
    pub fn new(clock: sync::Arc<dyn clock::MonotonicClock>) -> Self {
        Self {
            clock,
            table: cell::RefCell::default(),
            directory: cell::RefCell::default(),
            list_revision: cell::Cell::new(0),
            change_log: cell::RefCell::default(),
            needs_whole_list: cell::Cell::new(false),
            start_source: watch::Sender::new(None),
            whole_sent_at: cell::Cell::new(None),
            is_source_responding: cell::Cell::new(false),
            unreachable_since: cell::Cell::new(None),
            last_response_at: cell::Cell::new(None),
            recovered_at: cell::Cell::new(None),
            follows_store: cell::Cell::new(true),
            follow_number: cell::Cell::new(0),
            read_follow_number: cell::Cell::new(0),
            follow_begun: Notify::new(),
            relied_on_peers: cell::Cell::new(false),
            retiring: cell::RefCell::default(),
            evacuations: cell::RefCell::default(),
            expects_evacuations: cell::Cell::new(false),
            unreadable: cell::Cell::new(0),
            changes: watch::Sender::new(0),
            source_recovery: Notify::new(),
        }
    }

    /// Returns the active desired state.
    pub fn table(&self) -> rc::Rc<route_table::RouteTable> {
        self.table.borrow().clone()
    }

    /// Returns whether enough is known to serve requests.
    pub fn is_known(&self) -> bool {
        let knows_evacuations =
            !self.expects_evacuations.get() || self.evacuations.borrow().is_known();
        let knows_endpoints = !self.directory.borrow().is_empty();
        self.table.borrow().is_known() && knows_endpoints && knows_evacuations
    }

    /// Returns the revision of the list of endpoints.
    ///
    /// It is the store revision times 1000, plus the number of local changes since then:
    /// removals of expired entries and delayed entries that were applied, which the store
    /// does not count.
    pub fn revision(&self) -> u64 {
        self.list_revision.get()
    }

    /// Sets where this process gets the list of endpoints at its start, as soon as it knows
    /// the members.
    pub fn set_start_source(&self, source: StartSource) {
        self.start_source.send_replace(Some(source));
    }

    /// Returns whether it is decided where this process gets its first list of endpoints
    /// from.
    pub fn has_start_source(&self) -> bool {
        self.start_source.borrow().is_some()
    }

    /// Waits until it is decided where this process gets its first list of endpoints from.
    pub async fn start_source(&self) -> StartSource {
        let mut source = self.start_source.subscribe();
        loop {
            if let Some(source) = *source.borrow_and_update() {
                return source;
            }
            if source.changed().await.is_err() {
                return future::pending().await;
            }
        }
    }

    /// Waits until a list of endpoints is known, at most for the timeout. Returns whether it
    /// is.
    pub async fn listed(&self, timeout: time::Duration) -> bool {
        let mut changes = self.subscribe();
        let is_listed = || !self.directory.borrow().is_empty();
        let listed = async { while !is_listed() && changes.changed().await.is_ok() {} };
        if tokio::time::timeout(timeout, listed).await.is_err() {
            log::info!("event=peers_without_endpoints");
        }
        is_listed()
    }

    /// Returns the store revision that the list reflects.
    fn store_revision(&self) -> u64 {
        self.list_revision.get() / LISTS_PER_REVISION
    }

    /// Returns a digest of the list of endpoints; equal lists have equal digests.
    pub fn digest(&self) -> u64 {
        self.directory.borrow().digest()
    }

    /// Returns whether the source responds, or this process gets its state from peers.
    pub fn is_reachable(&self) -> bool {
        !self.follows_store.get() || self.is_source_responding.get()
    }

    /// Returns whether this process watches the source itself, the source responds, and the
    /// desired state has been read since this process last relied on peers.
    pub fn is_following(&self) -> bool {
        self.follows_store.get() && self.is_source_responding.get() && self.is_state_read()
    }

    /// Returns whether the desired state has been read from the source since this process
    /// last relied on peers. Until then it may be outdated: this process follows the source
    /// because the peers have lost it.
    pub fn is_state_read(&self) -> bool {
        self.read_follow_number.get() == self.follow_number.get()
    }

    /// Returns how many times this process has begun to follow the source after relying on
    /// peers.
    pub fn follow_number(&self) -> u64 {
        self.follow_number.get()
    }

    /// Resolves when this process begins to follow the source after relying on peers.
    pub async fn follow_begun(&self) {
        self.follow_begun.notified().await;
    }

    /// Returns whether this process is configured to watch the source itself instead of
    /// relying on peers.
    pub fn follows_store(&self) -> bool {
        self.follows_store.get()
    }

    /// Sets whether this process watches the source itself.
    pub fn set_follows_store(&self, follows: bool) {
        if self.follows_store.replace(follows) == follows {
            return;
        }
        log::info!("event=follows_store now={follows}");
        if follows && self.relied_on_peers.replace(false) {
            self.follow_number.set(self.follow_number.get() + 1);
            self.follow_begun.notify_waiters();
        }
    }

    /// Records that this process knows the members and relies on peers that follow the
    /// source. A process that has just started neither follows the source nor relies on
    /// peers until it knows the members.
    pub fn record_reliance(&self) {
        self.relied_on_peers.set(true);
    }

    /// Resolves when the source responds again after a failure. A watch that was open
    /// during the outage may be dead without a reset and has to be reopened.
    pub async fn source_recovered(&self) {
        self.source_recovery.notified().await;
    }

    /// Subscribes to the counter of changes of the endpoints, the desired state and the
    /// retirements.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Resolves when an endpoint is listed with another start time than the given one.
    pub async fn restarted(&self, endpoint: &directory::EndpointEntry) {
        let mut changes = self.subscribe();
        let is_listed = || {
            let directory = self.directory.borrow();
            directory.has_other_start(&endpoint.id, endpoint.started)
        };
        while !is_listed() {
            if changes.changed().await.is_err() {
                return future::pending().await;
            }
        }
    }

    /// Returns the number of the latest change, see [`Self::subscribe`].
    pub fn change_number(&self) -> u64 {
        *self.changes.borrow()
    }

    /// Returns the revision since which this process needs the changes of a peer; 0 if it
    /// needs the whole list.
    pub fn list_base(&self) -> u64 {
        match self.needs_whole_list.get() {
            true => 0,
            false => self.revision(),
        }
    }

    /// Returns the list of endpoints for a peer: the changes since a revision if all of
    /// them are known, otherwise the whole list.
    pub fn update_since(&self, revision: u64) -> directory::DirectoryUpdate {
        let directory = self.directory.borrow();
        let log = self.change_log.borrow();
        let Some(changed) = log.since(revision) else {
            return directory::DirectoryUpdate::Whole(self.snapshot());
        };
        let mut delta = directory::DirectoryDelta {
            revision: self.revision(),
            digest: directory.digest(),
            expired: directory.expired(),
            ..directory::DirectoryDelta::default()
        };
        for id in changed {
            match directory.entry(id) {
                Some(entry) => delta.changed.push((**entry).clone()),
                None => delta.removed.push(id.clone()),
            }
        }
        directory::DirectoryUpdate::Delta(delta)
    }

    /// Returns whether the list may be sent to a peer now that has a revision. Whole lists
    /// are spaced, because many at once would exceed the memory of the process.
    pub fn may_send_list(&self, revision: u64) -> bool {
        if self.change_log.borrow().since(revision).is_some() {
            return true;
        }
        let now = self.clock.now();
        let length = self.directory.borrow().len() as u32;
        let spacing = WHOLE_LIST_SPACING * length;
        let is_due = |at| now.since(at) >= spacing;
        let is_sent = self.whole_sent_at.get().is_none_or(is_due);
        if is_sent {
            self.whole_sent_at.set(Some(now));
        }
        is_sent
    }

    /// Returns the whole list of endpoints for a peer.
    pub fn snapshot(&self) -> directory::DirectorySnapshot {
        let directory = self.directory.borrow();
        let entries = directory.entries().map(|e| (**e).clone()).collect();
        directory::DirectorySnapshot {
            revision: self.revision(),
            entries,
            expired: directory.expired(),
        }
    }

    /// Returns the instances that are to be drained.
    pub fn retiring(&self) -> collections::BTreeSet<ids::InstanceId> {
        self.retiring.borrow().clone()
    }

    /// Returns the evacuated failure domains.
    pub fn evacuations(&self) -> evacuations::EvacuationSet {
        self.evacuations.borrow().clone()
    }

    /// Applies an update from the source or a peer.
    pub fn apply(&self, update: fleet_source::FleetUpdate) {
        use fleet_source::FleetUpdate as U;

        match update {
            U::State(state) => self.apply_state(state),
            U::Endpoints(revision, entries) => {
                let list_revision = revision.saturating_mul(LISTS_PER_REVISION);
                if revision >= self.store_revision() {
                    self.apply_list(list_revision, entries, self.change_timing());
                }
            }
            U::PeerEndpoints(update) => self.apply_peer_list(update),
            U::EndpointChanges(revision, changes) => {
                // The list already contains these changes, and newer ones.
                if revision < self.store_revision() {
                    log::info!("event=older_changes_refused revision={revision}");
                    return;
                }
                let list_revision = revision.saturating_mul(LISTS_PER_REVISION);
                let list_revision = self.unused_revision(list_revision, &changes);
                self.apply_changes(list_revision, changes, self.change_timing());
            }
            U::EvacuationsExpected => self.expects_evacuations.set(true),
            U::Evacuations(set) => self.apply_evacuations(set),
            U::Reachable(reachable) => self.record_reachable(reachable),
            U::Responded => self.last_response_at.set(Some(self.clock.now())),
            U::StateRead(follow_number) => self.read_follow_number.set(follow_number),
            U::Recovered => self.source_recovery.notify_waiters(),
            U::Unreadable => self.unreadable.set(self.unreadable.get() + 1),
            U::Retire(id) => {
                log::info!("event=retirement_asked instance={id}");
                self.retiring.borrow_mut().insert(id);
                self.changes.send_modify(|n| *n += 1);
            }
        }
    }

    /// Applies the list of a peer, or what has changed there, unless this list is newer:
    /// responses of two peers may arrive out of order.
    fn apply_peer_list(&self, update: directory::DirectoryUpdate) {
        use directory::DirectoryUpdate as D;

        let list_revision = match &update {
            D::Delta(delta) => delta.revision,
            D::Whole(snapshot) => snapshot.revision,
        };
        if list_revision < self.revision() {
            log::info!("event=older_endpoints_refused revision={list_revision}");
            return;
        }
        // The peer applies the grace period to expired entries, so this process need not.
        let timing = directory::ChangeTiming {
            now: self.clock.now(),
            ..directory::ChangeTiming::default()
        };
        let directory = self.directory.borrow();
        let expired = match update {
            D::Whole(snapshot) => {
                let entries = directory.filter_peer_entries(snapshot.entries, &snapshot.expired);
                drop(directory);
                self.needs_whole_list.set(false);
                self.apply_list(list_revision, entries, timing);
                snapshot.expired
            }
            D::Delta(delta) => {
                let changed = directory.filter_peer_entries(delta.changed, &delta.expired);
                drop(directory);
                let removed = delta.removed.into_iter();
                let removed = removed.map(directory::EndpointChange::Removed);
                let changed = changed.into_iter().map(directory::EndpointChange::Listed);
                self.apply_changes(list_revision, removed.chain(changed).collect(), timing);
                let is_equal = self.digest() == delta.digest;
                // An entry that is expired there and was left out here explains a difference.
                let needs_whole_list = !is_equal && delta.expired.is_empty();
                self.needs_whole_list.set(needs_whole_list);
                if needs_whole_list {
                    log::info!("event=endpoints_differ revision={list_revision}");
                }
                delta.expired
            }
        };
        self.directory.borrow_mut().set_expired_at_peer(expired);
    }

    /// Applies a complete list that has the given revision.
    fn apply_list(
        &self,
        list_revision: u64,
        entries: Vec<directory::EndpointEntry>,
        timing: directory::ChangeTiming,
    ) {
        let directory = self.directory.borrow();
        let is_first = directory.is_empty();
        let changes = directory.changes_to(entries);
        drop(directory);
        if is_first {
            let count = changes.len();
            let revision = list_revision / LISTS_PER_REVISION;
            log::info!("event=endpoints_listed revision={revision} count={count}");
            self.directory.borrow_mut().apply(changes, timing);
            self.advance_revision(list_revision);
            self.change_log.borrow_mut().restart(list_revision);
            return;
        }
        let list_revision = self.unused_revision(list_revision, &changes);
        self.apply_changes(list_revision, changes, timing);
    }

    /// Returns the revision of the list after changes up to `list_revision`: a list that
    /// differs from the known one has another revision, so that peers get all changes since
    /// theirs and none of them twice.
    fn unused_revision(&self, list_revision: u64, changes: &[directory::EndpointChange]) -> u64 {
        let known = self.revision();
        match changes.is_empty() {
            true => list_revision,
            false => list_revision.max(known + 1),
        }
    }

    /// Applies changes that lead to the list of the given revision.
    fn apply_changes(
        &self,
        list_revision: u64,
        changes: Vec<directory::EndpointChange>,
        timing: directory::ChangeTiming,
    ) {
        let revision = list_revision / LISTS_PER_REVISION;
        if changes.len() > MAX_CHANGE_LINES {
            let count = changes.len();
            log::info!("event=endpoints_changed revision={revision} count={count}");
        } else {
            for change in &changes {
                log::info!("event=endpoint_changed revision={revision} {change}");
            }
        }
        let ids: Vec<_> = changes.iter().map(|change| change.id().clone()).collect();
        self.directory.borrow_mut().apply(changes, timing);
        self.advance_revision(list_revision);
        self.log_changes(ids);
    }

    /// Records that endpoints have changed at the current revision.
    fn log_changes(&self, ids: Vec<ids::EndpointId>) {
        let revision = self.revision();
        let mut log = self.change_log.borrow_mut();
        for id in ids {
            log.record(revision, id);
        }
    }

    fn advance_revision(&self, list_revision: u64) {
        self.list_revision
            .set(self.list_revision.get().max(list_revision));
        self.changes.send_modify(|n| *n += 1);
    }

    fn apply_state(&self, state: route_table::DesiredState) {
        let previous = self.table.borrow().version();
        if state.version <= previous && !protection::is_disabled("state_up") {
            return;
        }
        let (version, routes) = (state.version, state.routes.len());
        log::info!("event=state_in_force version={version} before={previous} routes={routes}");
        *self.table.borrow_mut() = rc::Rc::new(route_table::RouteTable::new(state));
        self.changes.send_modify(|n| *n += 1);
    }

    /// Applies a set of evacuated domains unless a newer one is known.
    fn apply_evacuations(&self, set: evacuations::EvacuationSet) {
        let previous = self.evacuations.borrow().clone();
        if set.revision <= previous.revision {
            return;
        }
        let revision = set.revision;
        for domain in set.domains.difference(&previous.domains) {
            log::warn!("event=evacuation_started domain={domain} revision={revision}");
        }
        for domain in previous.domains.difference(&set.domains) {
            log::warn!("event=evacuation_ended domain={domain} revision={revision}");
        }
        let has_changed = set.domains != previous.domains && !protection::is_disabled("evacuation");
        let is_first = !previous.is_known();
        *self.evacuations.borrow_mut() = set.clone();
        if has_changed {
            let now = self.clock.now();
            let mut directory = self.directory.borrow_mut();
            directory.set_evacuated(set.domains, now + RETURN_COLD_TIME);
        }
        // The first set may be all that requests are held for, also if it is empty.
        if has_changed || is_first {
            self.changes.send_modify(|n| *n += 1);
        }
    }

    fn record_reachable(&self, reachable: bool) {
        let previous = self.is_source_responding.replace(reachable);
        let now = self.clock.now();
        let is_first_failure = !reachable && self.unreachable_since.get().is_none();
        if reachable != previous || is_first_failure {
            log::warn!("event=store_reachable now={reachable}");
        }
        match (previous, reachable) {
            (true, false) => self.unreachable_since.set(Some(now)),
            (false, false) if self.unreachable_since.get().is_none() => {
                self.unreachable_since.set(Some(now))
            }
            (false, true) => self.record_recovery(now),
            _ => {}
        }
        if reachable {
            self.last_response_at.set(Some(now));
        }
    }

    /// Records that the source responds again, or for the first time.
    fn record_recovery(&self, now: clock::MonotonicTime) {
        let is_long = |since: &clock::MonotonicTime| now.since(*since) >= MIN_OUTAGE;
        let unreachable_since = self.unreachable_since.get();
        // The outage may have begun right after the last response, if there was one.
        let was_out = match self.last_response_at.get() {
            Some(at) => is_long(&at),
            None => unreachable_since.is_some(),
        };
        if was_out {
            self.recovered_at.set(Some(now));
        }
        // Endpoints cannot renew their entries during an outage.
        if unreachable_since.as_ref().is_some_and(is_long) {
            let mut directory = self.directory.borrow_mut();
            directory.extend_expired(now + EXPIRY_GRACE);
        }
        self.source_recovery.notify_waiters();
    }

    /// Returns when changes that the source delivers now take effect.
    fn change_timing(&self) -> directory::ChangeTiming {
        let now = self.clock.now();
        directory::ChangeTiming {
            now,
            remove_at: self.remove_at(),
            apply_earlier_at: Some(now + EARLIER_ENTRY_DELAY),
        }
    }

    /// Returns when an entry that is removed now is dropped; `None` means at once.
    fn remove_at(&self) -> Option<clock::MonotonicTime> {
        let now = self.clock.now();
        if !self.is_source_responding.get() {
            return self.last_response_at.get().map(|_| now + EXPIRY_GRACE);
        }
        let recovered_at = self.recovered_at.get()?;
        let is_stable = now.since(recovered_at) >= STABLE_AFTER;
        (!is_stable).then(|| recovered_at + EXPIRY_GRACE)
    }

    /// Removes expired entries after their grace period, and applies delayed entries and
    /// retries that are due.
    pub fn expire(&self) {
        let now = self.clock.now();
        let mut directory = self.directory.borrow_mut();
        let mut changed = match self.is_reachable() {
            true => directory.remove_expired(now),
            false => Vec::new(),
        };
        changed.extend(directory.apply_earlier(now));
        let has_retried = directory.retry_misidentified(now);
        drop(directory);
        if !changed.is_empty() {
            // Peers that copied these entries only accept a list with a higher revision.
            self.advance_revision(self.list_revision.get() + 1);
            self.log_changes(changed);
        } else if has_retried {
            self.changes.send_modify(|n| *n += 1);
        }
    }

    /// Records that another endpoint responded at the address of this one, which then
    /// gets no work until its backoff ends or its entry is written again.
    pub fn record_misidentified(&self, id: &ids::EndpointId, started: Option<ids::StartTime>) {
        let now = self.clock.now();
        let is_new = self
            .directory
            .borrow_mut()
            .record_misidentified(id, started, now);
        if is_new {
            log::warn!("event=endpoint_misnamed endpoint={id} outcome=left_out");
            self.changes.send_modify(|n| *n += 1);
        }
    }

    /// Records that an endpoint responded under its own name.
    pub fn record_verified(&self, id: &ids::EndpointId) {
        if self.directory.borrow_mut().record_verified(id) {
            log::info!("event=endpoint_named endpoint={id}");
            self.changes.send_modify(|n| *n += 1);
        }
    }

    /// Returns the number of objects of the store that could not be read so far.
    pub fn unreadable(&self) -> u64 {
        self.unreadable.get()
    }
}
