//! What a process believes of the desired state and the endpoints.

use std::{cell, collections, rc, sync, time};

use futures::future;
use tokio::sync::{watch, Notify};

use super::{directory, fleet_source, route_table};
use crate::{clock, ids, protection};

/// How long after the store's return an entry that expired meanwhile may still come back.
const EXPIRY_GRACE: time::Duration = time::Duration::from_millis(2500);
/// Absence of the store in which endpoints may expire though they are alive.
///
/// They show themselves about every second and expire after three times that, so a
/// shorter one, as a call that failed by itself, costs none of them its entry:
/// what is removed after it is gone, and callers need not be sent there for the
/// 2.5 s in which an entry may come back.
const LONG_ABSENCE: time::Duration = time::Duration::from_secs(1);
/// How long an entry of an earlier start than the known one must stand to be taken.
///
/// Guards the views of the later start against a late write of the earlier one:
/// an endpoint that lives writes its entry again within 1.2 s. One whose clock
/// stepped back is there under the same name meanwhile, and serves.
const EARLIER_HOLD: time::Duration = time::Duration::from_millis(2500);
/// How long the store must have answered before a removal is taken at its word.
const SETTLED_AFTER: time::Duration = time::Duration::from_secs(3);
/// Lists that one revision of the store can stand for, see [`FleetModel::revision`].
///
/// Entries that expired in one absence of the store are given up together, so
/// few are used; a count of the store stays far below the bound that is left.
const LISTS_PER_REVISION: u64 = 1000;

/// The views of a process.
///
/// Invariants: the version of the desired state never goes down, nor does
/// `number`; the list of endpoints reflects all that its number stands for.
pub struct FleetModel {
    clock: sync::Arc<dyn clock::MonotonicClock>,
    table: cell::RefCell<rc::Rc<route_table::RouteTable>>,
    /// The endpoints.
    pub directory: cell::RefCell<directory::EndpointDirectory>,
    /// See [`Self::revision`].
    number: cell::Cell<u64>,
    is_answering: cell::Cell<bool>,
    /// When a call failed first while the source is away, or last was.
    away_since: cell::Cell<Option<clock::MonotonicTime>>,
    /// When the source answered last.
    answered_at: cell::Cell<Option<clock::MonotonicTime>>,
    /// When the source came back from its last long absence, if there was one.
    returned_at: cell::Cell<Option<clock::MonotonicTime>>,
    follows: cell::Cell<bool>,
    retiring: cell::RefCell<collections::BTreeSet<ids::InstanceId>>,
    /// Objects of the store that could not be read.
    unreadable: cell::Cell<u64>,
    changes: watch::Sender<u64>,
    returned: Notify,
}

impl FleetModel {
    /// A model that knows nothing yet.
    pub fn new(clock: sync::Arc<dyn clock::MonotonicClock>) -> Self {
        Self {
            clock,
            table: cell::RefCell::default(),
            directory: cell::RefCell::default(),
            number: cell::Cell::new(0),
            is_answering: cell::Cell::new(false),
            away_since: cell::Cell::new(None),
            answered_at: cell::Cell::new(None),
            returned_at: cell::Cell::new(None),
            follows: cell::Cell::new(true),
            retiring: cell::RefCell::default(),
            unreadable: cell::Cell::new(0),
            changes: watch::Sender::new(0),
            returned: Notify::new(),
        }
    }

    /// The desired state in force.
    pub fn table(&self) -> rc::Rc<route_table::RouteTable> {
        self.table.borrow().clone()
    }

    /// Whether enough is known to serve.
    pub fn is_known(&self) -> bool {
        self.table.borrow().is_known() && !self.directory.borrow().is_empty()
    }

    /// Number of the list of endpoints, which is higher for a newer one.
    ///
    /// It is a thousand times the revision of the store, and the times since
    /// then that expired entries were given up, which the store does not count.
    pub fn revision(&self) -> u64 {
        self.number.get()
    }

    /// The revision of the store that the list reflects.
    fn store_revision(&self) -> u64 {
        self.number.get() / LISTS_PER_REVISION
    }

    /// A number that differs for lists of endpoints that differ.
    pub fn digest(&self) -> u64 {
        self.directory.borrow().digest()
    }

    /// Whether the source answers, or a peer that follows it does.
    pub fn is_reachable(&self) -> bool {
        !self.follows.get() || self.is_answering.get()
    }

    /// Whether this process follows the source itself, and the source answers.
    pub fn is_following(&self) -> bool {
        self.follows.get() && self.is_answering.get()
    }

    /// Whether this process is to follow the source itself, and not through its peers.
    pub fn follows(&self) -> bool {
        self.follows.get()
    }

    /// Says whether this process is to follow the source itself.
    pub fn set_follows(&self, follows: bool) {
        if self.follows.replace(follows) != follows {
            log::info!("event=follows_store now={follows}");
        }
    }

    /// Resolves when the source answers again after it failed: a watch that was
    /// under way meanwhile may be dead without a reset, and is made anew.
    pub async fn source_return(&self) {
        self.returned.notified().await;
    }

    /// Counts the changes of the endpoints and the orders.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Resolves when an endpoint is listed with another start than the one that is known.
    pub async fn other_start(&self, endpoint: &directory::EndpointEntry) {
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

    /// Number of the latest change of the endpoints or the orders.
    pub fn change_number(&self) -> u64 {
        *self.changes.borrow()
    }

    /// The list of endpoints, for a peer.
    pub fn copy(&self) -> directory::DirectorySnapshot {
        let directory = self.directory.borrow();
        let entries = directory.entries().map(|e| (**e).clone()).collect();
        directory::DirectorySnapshot {
            revision: self.revision(),
            entries,
            expired: directory.expired(),
        }
    }

    /// Instances that are to be emptied.
    pub fn retiring(&self) -> collections::BTreeSet<ids::InstanceId> {
        self.retiring.borrow().clone()
    }

    /// Takes news, from the source or a peer.
    pub fn take(&self, update: fleet_source::FleetUpdate) {
        use fleet_source::FleetUpdate as N;

        match update {
            N::State(state) => self.take_state(state),
            N::Endpoints(revision, entries) => {
                let number = revision.saturating_mul(LISTS_PER_REVISION);
                if revision >= self.store_revision() {
                    self.take_list(number, entries, self.change_terms());
                }
            }
            N::PeerEndpoints(copy) => {
                let number = copy.revision;
                // Of two answers that cross, the later may be the older.
                if number < self.revision() {
                    log::info!("event=older_endpoints_refused revision={number}");
                    return;
                }
                // The peer waits for what may come back, so this process need not.
                let entries = self.directory.borrow().accept(copy);
                self.take_list(number, entries, directory::ChangeTerms::default());
            }
            N::EndpointChanges(revision, changes) => {
                // All of them are in the list already, and newer ones besides.
                if revision < self.store_revision() {
                    log::info!("event=older_changes_refused revision={revision}");
                    return;
                }
                let number = revision.saturating_mul(LISTS_PER_REVISION);
                self.take_changes(number, changes, self.change_terms());
            }
            N::Reachable(reachable) => self.record_reachable(reachable),
            N::Answered => self.answered_at.set(Some(self.clock.now())),
            N::Returned => self.returned.notify_waiters(),
            N::Unreadable => self.unreadable.set(self.unreadable.get() + 1),
            N::Retire(id) => {
                log::info!("event=retirement_asked instance={id}");
                self.retiring.borrow_mut().insert(id);
                self.changes.send_modify(|n| *n += 1);
            }
        }
    }

    /// Takes a whole list that has a number.
    fn take_list(
        &self,
        number: u64,
        entries: Vec<directory::EndpointEntry>,
        terms: directory::ChangeTerms,
    ) {
        let directory = self.directory.borrow();
        let is_first = directory.is_empty();
        let changes = directory.changes_to(entries);
        drop(directory);
        if is_first {
            let count = changes.len();
            let revision = number / LISTS_PER_REVISION;
            log::info!("event=endpoints_listed revision={revision} count={count}");
            self.directory.borrow_mut().apply(changes, terms);
            self.record_number(number);
            return;
        }
        self.take_changes(number, changes, terms);
    }

    /// Takes changes that lead to the list of a number.
    fn take_changes(
        &self,
        number: u64,
        changes: Vec<directory::ListChange>,
        terms: directory::ChangeTerms,
    ) {
        let revision = number / LISTS_PER_REVISION;
        for change in &changes {
            log::info!("event=endpoint_changed revision={revision} {change}");
        }
        self.directory.borrow_mut().apply(changes, terms);
        self.record_number(number);
    }

    fn record_number(&self, number: u64) {
        self.number.set(self.number.get().max(number));
        self.changes.send_modify(|n| *n += 1);
    }

    fn take_state(&self, state: route_table::DesiredState) {
        let before = self.table.borrow().version();
        if state.version <= before && !protection::is_disabled("state_up") {
            return;
        }
        let (version, routes) = (state.version, state.routes.len());
        log::info!("event=state_in_force version={version} before={before} routes={routes}");
        *self.table.borrow_mut() = rc::Rc::new(route_table::RouteTable::new(state));
        self.changes.send_modify(|n| *n += 1);
    }

    fn record_reachable(&self, reachable: bool) {
        let before = self.is_answering.replace(reachable);
        let now = self.clock.now();
        if reachable != before {
            log::warn!("event=store_reachable now={reachable}");
        }
        match (before, reachable) {
            (true, false) => self.away_since.set(Some(now)),
            (false, false) if self.away_since.get().is_none() => self.away_since.set(Some(now)),
            (false, true) => self.record_return(now),
            _ => {}
        }
        if reachable {
            self.answered_at.set(Some(now));
        }
    }

    /// Notes that the source answers again, or for the first time.
    fn record_return(&self, now: clock::MonotonicTime) {
        let is_long = |since: &clock::MonotonicTime| now.since(*since) >= LONG_ABSENCE;
        let away_since = self.away_since.get();
        // It may have been away since its last answer, if there was one.
        let was_absent = match self.answered_at.get() {
            Some(at) => is_long(&at),
            None => away_since.is_some(),
        };
        if was_absent {
            self.returned_at.set(Some(now));
        }
        // In an absence no endpoint can show itself.
        if away_since.as_ref().is_some_and(is_long) {
            let mut directory = self.directory.borrow_mut();
            directory.keep_expired(now + EXPIRY_GRACE);
        }
        self.returned.notify_waiters();
    }

    /// When changes that the source tells now take effect.
    fn change_terms(&self) -> directory::ChangeTerms {
        directory::ChangeTerms {
            gone_at: self.gone_at(),
            earlier_at: Some(self.clock.now() + EARLIER_HOLD),
        }
    }

    /// When an entry that is removed now counts as gone; nothing for at once.
    fn gone_at(&self) -> Option<clock::MonotonicTime> {
        let now = self.clock.now();
        if !self.is_answering.get() {
            return self.answered_at.get().map(|_| now + EXPIRY_GRACE);
        }
        let returned_at = self.returned_at.get()?;
        let is_settled = now.since(returned_at) >= SETTLED_AFTER;
        (!is_settled).then(|| returned_at + EXPIRY_GRACE)
    }

    /// Removes what expired for good, and takes what was held back long enough.
    pub fn expire(&self) {
        let now = self.clock.now();
        let mut directory = self.directory.borrow_mut();
        let is_over = self.is_reachable() && directory.expire(now);
        let is_taken = directory.take_earlier(now);
        let is_retried = directory.retry_misnamed(now);
        drop(directory);
        if is_over || is_taken {
            // Peers that took the entries over take only what is newer.
            self.record_number(self.number.get() + 1);
        } else if is_retried {
            self.changes.send_modify(|n| *n += 1);
        }
    }

    /// Notes that somebody else answered at an endpoint's address: it gets no work for
    /// a while, or until its entry is written again.
    pub fn record_misnamed(&self, id: &ids::EndpointId, started: Option<ids::StartTime>) {
        let now = self.clock.now();
        let is_new = self
            .directory
            .borrow_mut()
            .record_misnamed(id, started, now);
        if is_new {
            log::warn!("event=endpoint_misnamed endpoint={id} outcome=left_out");
            self.changes.send_modify(|n| *n += 1);
        }
    }

    /// Notes that an endpoint answered under its name.
    pub fn record_named(&self, id: &ids::EndpointId) {
        if self.directory.borrow_mut().record_named(id) {
            log::info!("event=endpoint_named endpoint={id}");
            self.changes.send_modify(|n| *n += 1);
        }
    }

    /// Objects of the store that could not be read so far.
    pub fn unreadable(&self) -> u64 {
        self.unreadable.get()
    }
}
