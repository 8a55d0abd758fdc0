//! Table of the ledgers of owned endpoints, shared by the link threads and the batch thread.

use std::{collections, sync, time};

use tokio::sync::oneshot;

use crate::{
    bundle, clock,
    decisions::{admission, ownership},
    fleet, ids, link, metrics, platform, protection, settings,
};

/// Admission policy of batch work at engines, set by benchmarks.
///
/// `None` selects the adaptive policy. Plain endpoints use the yielding policy in either case.
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

/// Parts of the fleet snapshot from which the table was computed.
///
/// They are compared by address, because snapshots share unchanged parts.
#[derive(Default)]
struct TableInputs {
    endpoints: sync::Arc<Vec<platform::EndpointRecord>>,
    dispatchers: sync::Arc<Vec<ownership::OwnerCandidate>>,
    bundle: sync::Arc<bundle::IndexedBundle>,
}

#[derive(Default)]
struct TableState {
    inputs: TableInputs,
    owners: OwnerTable,
    /// Number of times that `owners` was computed.
    epoch: u64,
    endpoints: collections::HashMap<ids::EndpointId, OwnedEndpoint>,
    cancel_senders:
        collections::HashMap<(ids::EndpointId, admission::StreamNumber), oneshot::Sender<()>>,
}

/// A batch stream that was started in the ledger, with its cancellation signal.
pub struct StartedStream {
    /// Endpoint of the stream.
    pub endpoint: platform::EndpointRecord,
    /// Number of the stream in the ledger.
    pub number: admission::StreamNumber,
    /// Signal to cancel the stream at once.
    pub cancelled: oneshot::Receiver<()>,
}

/// Ledgers of the endpoints that a dispatcher owns, and owners of all endpoints by service.
pub struct LedgerTable {
    state: sync::Mutex<TableState>,
    clock: sync::Arc<dyn clock::MonotonicClock>,
    metrics: sync::Arc<metrics::MetricSet>,
    /// Wakes the batch thread when there may be new free slots.
    pub changed: tokio::sync::Notify,
    fleet: sync::OnceLock<fleet::FleetHandle>,
    policy: PolicyOverride,
}

impl LedgerTable {
    /// Creates a table without endpoints.
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

    /// Sets the handle of the fleet, to which bundle offers and queries are forwarded.
    pub fn set_fleet(&self, fleet: fleet::FleetHandle) {
        let _ = self.fleet.set(fleet);
    }

    fn state(&self) -> sync::MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Applies a snapshot of the fleet: adds, updates and removes endpoints and their owners.
    ///
    /// The streams of endpoints that are no longer owned are cancelled.
    pub fn refresh(
        &self,
        snapshot: &fleet::FleetSnapshot,
        own: &ids::InstanceId,
        settings: &settings::dispatcher::BatchSettings,
    ) {
        let mut state = self.state();
        if !state.update_inputs(snapshot) {
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
            cancel_matching(&mut state, |endpoint| *endpoint == id);
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

    /// Returns the owned endpoints with free batch slots, each with their number.
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

    /// Returns the services of the owned endpoints.
    pub fn services(&self) -> collections::BTreeSet<ids::ServiceName> {
        let state = self.state();
        state
            .endpoints
            .values()
            .map(|o| o.record.service.clone())
            .collect()
    }

    /// Returns the number of times that the owner table was computed.
    pub fn epoch(&self) -> u64 {
        self.state().epoch
    }

    /// Returns the dispatchers that own an endpoint of any of the services.
    pub fn owners_of(&self, services: &[ids::ServiceName]) -> Vec<ownership::OwnerCandidate> {
        let state = self.state();
        let tables = services.iter().filter_map(|s| state.owners.get(s));
        let mut owners = collections::BTreeMap::new();
        for (id, owner) in tables.flatten() {
            owners.entry(id.clone()).or_insert_with(|| owner.clone());
        }
        owners.into_values().collect()
    }

    /// Starts a batch stream at an endpoint, if it is still owned and not draining.
    pub fn begin_stream(&self, endpoint: &ids::EndpointId) -> Option<StartedStream> {
        let now = self.clock.now();
        let mut state = self.state();
        let owned = state.endpoints.get_mut(endpoint)?;
        if owned.record.state == platform::EndpointState::Leaving {
            return None;
        }
        let number = owned.ledger.begin_stream(now);
        let record = owned.record.clone();
        let (cancel, cancelled) = oneshot::channel();
        state
            .cancel_senders
            .insert((endpoint.clone(), number), cancel);
        Some(StartedStream {
            endpoint: record,
            number,
            cancelled,
        })
    }

    /// Records a token of a batch stream, with the time since its previous token.
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

    /// Ends a batch stream and wakes the batch thread.
    pub fn end_stream(&self, endpoint: &ids::EndpointId, number: admission::StreamNumber) {
        let mut state = self.state();
        state.cancel_senders.remove(&(endpoint.clone(), number));
        if let Some(owned) = state.endpoints.get_mut(endpoint) {
            owned.ledger.end_stream(number);
        }
        drop(state);
        self.changed.notify_one();
    }

    /// Cancels one batch stream, if it is running and not cancelled yet.
    pub fn cancel_stream(&self, endpoint: &ids::EndpointId, number: admission::StreamNumber) {
        let key = (endpoint.clone(), number);
        if let Some(cancel) = self.state().cancel_senders.remove(&key) {
            let _ = cancel.send(());
        }
    }

    /// Cancels all running batch streams.
    pub fn cancel_all(&self) {
        cancel_matching(&mut self.state(), |_| true);
    }
}

impl TableState {
    /// Stores the parts of a snapshot that the table depends on; returns whether any changed.
    fn update_inputs(&mut self, snapshot: &fleet::FleetSnapshot) -> bool {
        let inputs = &self.inputs;
        let unchanged = sync::Arc::ptr_eq(&inputs.endpoints, &snapshot.endpoints)
            && sync::Arc::ptr_eq(&inputs.dispatchers, &snapshot.dispatchers)
            && sync::Arc::ptr_eq(&inputs.bundle, &snapshot.bundle);
        self.inputs = TableInputs {
            endpoints: snapshot.endpoints.clone(),
            dispatchers: snapshot.dispatchers.clone(),
            bundle: snapshot.bundle.clone(),
        };
        !unchanged
    }
}

fn cancel_matching(state: &mut TableState, is_selected: impl Fn(&ids::EndpointId) -> bool) {
    let keys: Vec<_> = state
        .cancel_senders
        .keys()
        .filter(|(id, _)| is_selected(id))
        .cloned()
        .collect();
    for key in keys {
        if let Some(cancel) = state.cancel_senders.remove(&key) {
            let _ = cancel.send(());
        }
    }
}

impl link::LinkHandler for LedgerTable {
    fn permit(&self, request: link::PermitRequest) -> link::PermitResponse {
        let now = self.clock.now();
        let mut state = self.state();
        let Some(owned) = state.endpoints.get_mut(&request.endpoint) else {
            return link::PermitResponse::NotOwner;
        };
        let draining = owned.record.state == platform::EndpointState::Leaving;
        if draining && !protection::is_disabled("leaving") {
            return link::PermitResponse::Leaving;
        }
        let Some(permit) = owned.ledger.request_permit(request.number, now) else {
            return link::PermitResponse::Full;
        };
        for number in &permit.preempt {
            let key = (request.endpoint.clone(), *number);
            if let Some(cancel) = state.cancel_senders.remove(&key) {
                let _ = cancel.send(());
                self.metrics.preempted.inc();
            }
        }
        link::PermitResponse::Granted {
            online: permit.online,
            batch: permit.batch,
            waiting: permit.waiting,
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
