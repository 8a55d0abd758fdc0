//! Ledgers of the endpoints that a dispatcher owns, shared by its link and batch threads.

use std::{collections, sync, time};

use tokio::sync::oneshot;

use crate::{
    bundle, clock,
    decisions::{admission, ownership},
    fleet, ids, link, metrics, platform, protection, settings,
};

/// Fixes the policy of batch work, for benches; none follows the kind of endpoint.
pub type PolicyOverride = Option<admission::BatchPolicy>;

struct OwnedEndpoint {
    record: platform::EndpointRecord,
    ledger: admission::EndpointLedger,
}

/// Owners of the endpoints of each service.
type OwnerTable = collections::BTreeMap<
    ids::ServiceName,
    collections::BTreeMap<ids::InstanceId, ownership::OwnerCandidate>,
>;

/// What the board was made from; compared by address, as snapshots share what is the same.
#[derive(Default)]
struct SeenParts {
    endpoints: sync::Arc<Vec<platform::EndpointRecord>>,
    dispatchers: sync::Arc<Vec<ownership::OwnerCandidate>>,
    bundle: sync::Arc<bundle::IndexedBundle>,
}

#[derive(Default)]
struct BoardState {
    seen: SeenParts,
    owners: OwnerTable,
    /// Counts the changes of `owners`.
    epoch: u64,
    endpoints: collections::HashMap<ids::EndpointId, OwnedEndpoint>,
    cancels: collections::HashMap<(ids::EndpointId, admission::StreamNumber), oneshot::Sender<()>>,
}

/// A batch stream that was begun, and the word to cancel it.
pub struct BegunStream {
    /// The endpoint.
    pub endpoint: platform::EndpointRecord,
    /// Its number in the ledger.
    pub number: admission::StreamNumber,
    /// Comes when the stream is to be cancelled at once.
    pub cancelled: oneshot::Receiver<()>,
}

/// The ledgers of a dispatcher.
pub struct LedgerBoard {
    state: sync::Mutex<BoardState>,
    clock: sync::Arc<dyn clock::MonotonicClock>,
    metrics: sync::Arc<metrics::MetricSet>,
    /// Wakes the batch thread when room may have come.
    pub changed: tokio::sync::Notify,
    fleet: sync::OnceLock<fleet::FleetHandle>,
    policy: PolicyOverride,
}

impl LedgerBoard {
    /// A board without endpoints.
    pub fn new(
        clock: sync::Arc<dyn clock::MonotonicClock>,
        metrics: sync::Arc<metrics::MetricSet>,
        policy: PolicyOverride,
    ) -> Self {
        Self {
            state: sync::Mutex::default(),
            clock,
            metrics,
            changed: tokio::sync::Notify::new(),
            fleet: sync::OnceLock::new(),
            policy,
        }
    }

    /// Gives the board the view that it answers bundle questions from.
    pub fn set_fleet(&self, fleet: fleet::FleetHandle) {
        let _ = self.fleet.set(fleet);
    }

    fn state(&self) -> sync::MutexGuard<'_, BoardState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Takes over what the fleet looks like now: endpoints come, go and leave.
    pub fn refresh(
        &self,
        snapshot: &fleet::FleetSnapshot,
        own: &ids::InstanceId,
        settings: &settings::dispatcher::BatchSettings,
    ) {
        let mut state = self.state();
        if !state.record_seen(snapshot) {
            return;
        }
        let mut owned = collections::HashSet::new();
        let mut owners = OwnerTable::new();
        for record in snapshot.endpoints.iter() {
            let owner = ownership::owner_of(&record.id, &record.domain, &snapshot.dispatchers);
            let Some(owner) = owner else { continue };
            let serving = owners.entry(record.service.clone()).or_default();
            serving.insert(owner.id.clone(), owner.clone());
            if owner.id != *own {
                continue;
            }
            owned.insert(record.id.clone());
            let spec = self.spec_of(record, &snapshot.bundle, settings);
            let entry = state
                .endpoints
                .entry(record.id.clone())
                .or_insert_with(|| OwnedEndpoint {
                    record: record.clone(),
                    ledger: admission::EndpointLedger::new(spec.clone()),
                });
            entry.record = record.clone();
            entry.ledger.set_spec(spec);
            entry
                .ledger
                .set_leaving(record.state == platform::EndpointState::Leaving);
        }
        let lost: Vec<_> = state
            .endpoints
            .keys()
            .filter(|id| !owned.contains(*id))
            .cloned()
            .collect();
        for id in lost {
            state.endpoints.remove(&id);
            cancel_where(&mut state, |endpoint| *endpoint == id);
        }
        state.owners = owners;
        state.epoch += 1;
        drop(state);
        self.changed.notify_one();
    }

    fn spec_of(
        &self,
        record: &platform::EndpointRecord,
        bundle: &bundle::IndexedBundle,
        settings: &settings::dispatcher::BatchSettings,
    ) -> admission::AdmissionSpec {
        let engine = admission::AdmissionSpec {
            policy: self.policy.unwrap_or(admission::BatchPolicy::Adaptive),
            max_sequences: settings.engine_sequences,
            max_online: settings.engine_online,
            fixed_streams: settings.engine_sequences / 2,
            slowdown_percent: bundle.document.batch.online_slowdown_percent,
            start_spacing: time::Duration::from_millis(settings.start_spacing_ms),
            ..admission::AdmissionSpec::default()
        };
        match record.kind {
            platform::EndpointKind::Engine => engine,
            platform::EndpointKind::Plain => {
                let concurrency = bundle.service(&record.service).map(|s| s.batch_concurrency);
                admission::AdmissionSpec {
                    policy: admission::BatchPolicy::Yielding,
                    fixed_streams: concurrency.unwrap_or(0),
                    start_spacing: time::Duration::ZERO,
                    ..engine
                }
            }
        }
    }

    /// Endpoints that have room for a batch stream now.
    pub fn endpoints_with_free_slots(&self) -> Vec<(platform::EndpointRecord, u32)> {
        let now = self.clock.now();
        let mut state = self.state();
        let free_slots = state.endpoints.values_mut().map(|owned| {
            let free_slots = owned.ledger.free_batch_slots(now);
            (owned.record.clone(), free_slots)
        });
        free_slots
            .filter(|(_, free_slots)| *free_slots > 0)
            .collect()
    }

    /// Services that this dispatcher owns a live endpoint of.
    pub fn services(&self) -> collections::BTreeSet<ids::ServiceName> {
        let state = self.state();
        state
            .endpoints
            .values()
            .map(|o| o.record.service.clone())
            .collect()
    }

    /// Counts the changes of owners.
    pub fn epoch(&self) -> u64 {
        self.state().epoch
    }

    /// Dispatchers that own an endpoint of any of the services.
    pub fn owners_of(&self, services: &[ids::ServiceName]) -> Vec<ownership::OwnerCandidate> {
        let state = self.state();
        let tables = services.iter().filter_map(|s| state.owners.get(s));
        let mut owners = collections::BTreeMap::new();
        for (id, owner) in tables.flatten() {
            owners.entry(id.clone()).or_insert_with(|| owner.clone());
        }
        owners.into_values().collect()
    }

    /// Begins a batch stream at an endpoint, if it is still owned and not leaving.
    pub fn begin(&self, endpoint: &ids::EndpointId) -> Option<BegunStream> {
        let now = self.clock.now();
        let mut state = self.state();
        let owned = state.endpoints.get_mut(endpoint)?;
        if owned.record.state == platform::EndpointState::Leaving {
            return None;
        }
        let number = owned.ledger.begin_stream(now);
        let record = owned.record.clone();
        let (cancel, cancelled) = oneshot::channel();
        state.cancels.insert((endpoint.clone(), number), cancel);
        Some(BegunStream {
            endpoint: record,
            number,
            cancelled,
        })
    }

    /// Notes a token of a batch stream.
    pub fn record_token(
        &self,
        endpoint: &ids::EndpointId,
        number: admission::StreamNumber,
        gap: Option<time::Duration>,
    ) {
        if let Some(owned) = self.state().endpoints.get_mut(endpoint) {
            owned.ledger.record_token(number, gap);
        }
    }

    /// Ends a batch stream.
    pub fn end(&self, endpoint: &ids::EndpointId, number: admission::StreamNumber) {
        let mut state = self.state();
        state.cancels.remove(&(endpoint.clone(), number));
        if let Some(owned) = state.endpoints.get_mut(endpoint) {
            owned.ledger.end_stream(number);
        }
        drop(state);
        self.changed.notify_one();
    }

    /// Cancels one batch stream, if it may be cancelled.
    pub fn cancel(&self, endpoint: &ids::EndpointId, number: admission::StreamNumber) {
        let key = (endpoint.clone(), number);
        if let Some(cancel) = self.state().cancels.remove(&key) {
            let _ = cancel.send(());
        }
    }

    /// Cancels every batch stream that may be cancelled.
    pub fn cancel_all(&self) {
        cancel_where(&mut self.state(), |_| true);
    }
}

impl BoardState {
    /// Notes what a snapshot holds; false if nothing changed that the board is made from.
    fn record_seen(&mut self, snapshot: &fleet::FleetSnapshot) -> bool {
        let seen = &self.seen;
        let same = sync::Arc::ptr_eq(&seen.endpoints, &snapshot.endpoints)
            && sync::Arc::ptr_eq(&seen.dispatchers, &snapshot.dispatchers)
            && sync::Arc::ptr_eq(&seen.bundle, &snapshot.bundle);
        self.seen = SeenParts {
            endpoints: snapshot.endpoints.clone(),
            dispatchers: snapshot.dispatchers.clone(),
            bundle: snapshot.bundle.clone(),
        };
        !same
    }
}

fn cancel_where(state: &mut BoardState, wanted: impl Fn(&ids::EndpointId) -> bool) {
    let keys: Vec<_> = state
        .cancels
        .keys()
        .filter(|(id, _)| wanted(id))
        .cloned()
        .collect();
    for key in keys {
        if let Some(cancel) = state.cancels.remove(&key) {
            let _ = cancel.send(());
        }
    }
}

impl link::LinkHandler for LedgerBoard {
    fn permit(&self, request: link::PermitRequest) -> link::PermitResponse {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(owned) = state.endpoints.get_mut(&request.endpoint) else {
            return link::PermitResponse::NotOwner;
        };
        let leaving = owned.record.state == platform::EndpointState::Leaving;
        if leaving && !protection::is_disabled("leaving") {
            return link::PermitResponse::Leaving;
        }
        let Some(grant) = owned.ledger.request_permit(request.number, now) else {
            return link::PermitResponse::Full;
        };
        for number in &grant.preempt {
            let key = (request.endpoint.clone(), *number);
            if let Some(cancel) = state.cancels.remove(&key) {
                let _ = cancel.send(());
                self.metrics.preempted.inc();
            }
        }
        link::PermitResponse::Granted {
            online: grant.online,
            batch: grant.batch,
            waiting: grant.waiting,
        }
    }

    fn release(&self, release: link::PermitRelease) {
        if let Some(owned) = self.state().endpoints.get_mut(&release.endpoint) {
            owned.ledger.release_permit(release.number);
        }
        self.changed.notify_one();
    }

    fn offer_bundle(&self, offer: link::BundleOffer) {
        if let Some(fleet) = self.fleet.get() {
            fleet.offer_bundle(offer);
        }
    }

    fn newer_bundle(&self, known: bundle::BundleGeneration) -> Option<link::BundleOffer> {
        self.fleet.get()?.newer_bundle(known)
    }
}
