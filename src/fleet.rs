//! What a process knows of the fleet: bundle, endpoints, instances, jobs, stops.
//!
//! One thread watches the object service, reads the platform's list, renews
//! the process's own lease, and publishes a snapshot after each change.

use std::{cell, collections, io, net, rc, sync, thread, time};

use tokio::sync::{mpsc, watch};

use crate::{
    bundle, clock,
    decisions::{bundle_steps, call_budget, job, lease, ownership},
    ids, invariant, link, metrics, platform, protection, settings, settle, store,
};

/// Longest wait of one watch.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(30);
/// What every process watches, in one call.
const WATCHED: [&str; 4] = ["bundle/head", "instance/", "active/", "stop/"];
/// Key of the bundle's head.
pub const BUNDLE_HEAD_KEY: &str = "bundle/head";

/// What a process does in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// It answers callers.
    Gateway,
    /// It owns endpoints and runs batch work.
    Dispatcher,
}

/// The object `instance/{id}`: a lease that its instance renews.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct InstanceRecord {
    /// The instance.
    pub id: ids::InstanceId,
    /// What it does.
    pub role: InstanceRole,
    /// Where peers reach it.
    pub link: net::SocketAddr,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// Differs at each renewal.
    pub beat: u64,
    /// Bundle that it has in force.
    pub generation: bundle::BundleGeneration,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// What the process knows at one time.
#[derive(Debug, Clone, Default)]
pub struct FleetSnapshot {
    /// The bundle in force here.
    pub bundle: sync::Arc<bundle::BundleView>,
    /// Endpoints, live and leaving.
    pub endpoints: sync::Arc<Vec<platform::EndpointRecord>>,
    /// Dispatchers that take work.
    pub dispatchers: sync::Arc<Vec<ownership::OwnerCandidate>>,
    /// Records of the live instances.
    pub instances: sync::Arc<collections::BTreeMap<ids::InstanceId, InstanceRecord>>,
    /// Jobs that run.
    pub jobs: sync::Arc<collections::BTreeMap<ids::JobId, sync::Arc<job::JobManifest>>>,
    /// Whether this instance was asked to stop.
    pub stop_asked: bool,
    /// Whether the object service was read once, or a peer told the bundle.
    pub synced: bool,
    /// Whether the object service answered the latest call.
    pub store_answers: bool,
    /// When the object service was read last.
    pub read_at: clock::Moment,
}

impl FleetSnapshot {
    /// The live dispatcher that owns an endpoint, and where it is reached.
    pub fn owner_of(
        &self,
        endpoint: &platform::EndpointRecord,
    ) -> Option<(&ids::InstanceId, net::SocketAddr)> {
        let owner = ownership::owner_of(&endpoint.id, &endpoint.domain, &self.dispatchers)?;
        let record = self.instances.get(&owner.id)?;
        Some((&record.id, record.link))
    }

    /// Live gateways, at least one: the asker.
    pub fn gateways(&self) -> usize {
        let gateway = |r: &&InstanceRecord| r.role == InstanceRole::Gateway;
        self.instances.values().filter(gateway).count().max(1)
    }

    /// Whether the instance renews its lease.
    pub fn is_live(&self, id: &ids::InstanceId) -> bool {
        self.instances.contains_key(id)
    }
}

/// A handle to what the process knows; cheap to copy and to read.
#[derive(Clone)]
pub struct FleetView {
    current: sync::Arc<arc_swap::ArcSwap<FleetSnapshot>>,
    changed: watch::Receiver<u64>,
    commands: mpsc::Sender<FleetCommand>,
}

enum FleetCommand {
    OfferBundle(link::BundleOffer),
    Leave,
}

impl FleetView {
    /// The newest snapshot.
    pub fn snapshot(&self) -> sync::Arc<FleetSnapshot> {
        self.current.load_full()
    }

    /// Changes whenever a snapshot is published.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.clone()
    }

    /// Takes a bundle that a peer told; an older one is left alone.
    pub fn offer_bundle(&self, offer: link::BundleOffer) {
        let _ = self.commands.try_send(FleetCommand::OfferBundle(offer));
    }

    /// Shows everyone that this instance takes no new work.
    pub fn leave(&self) {
        let _ = self.commands.try_send(FleetCommand::Leave);
    }

    /// The bundle in force here, if its generation is above `known`.
    pub fn newer_bundle(&self, known: bundle::BundleGeneration) -> Option<link::BundleOffer> {
        let bundle = self.snapshot().bundle.clone();
        if bundle.generation <= known {
            return None;
        }
        let document = serde_json::to_string(&bundle.document).ok()?;
        Some(link::BundleOffer {
            generation: bundle.generation,
            document,
        })
    }

    /// Waits until the first snapshot is there, or until `patience` ends.
    pub async fn wait_synced(&self, patience: time::Duration) -> bool {
        let mut changed = self.changed.clone();
        let waiting = async {
            while !self.snapshot().synced {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = actix_rt::time::timeout(patience, waiting).await;
        self.snapshot().synced
    }
}

/// What the fleet's thread needs to know of its process.
#[derive(Clone)]
pub struct FleetOptions {
    /// The instance.
    pub id: ids::InstanceId,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// What it does.
    pub role: InstanceRole,
    /// Where peers reach it.
    pub link: net::SocketAddr,
    /// How often it looks and shows itself.
    pub pace: settings::common::PaceSettings,
}

/// Starts the thread that keeps the view.
///
/// # Errors
/// The thread cannot be started.
pub fn start(
    options: FleetOptions,
    store: sync::Arc<dyn store::ObjectStore>,
    clock: sync::Arc<dyn clock::MonotonicClock>,
    metrics: sync::Arc<metrics::MetricSet>,
    link_client: link::LinkClient,
) -> io::Result<FleetView> {
    let current = sync::Arc::new(arc_swap::ArcSwap::from_pointee(FleetSnapshot::default()));
    let (publish, changed) = watch::channel(0);
    let (commands, received) = mpsc::channel(COMMAND_RING);
    let view = FleetView {
        current: current.clone(),
        changed,
        commands,
    };
    let shared = current;
    thread::Builder::new().name("fleet".into()).spawn(move || {
        let watcher = FleetWatcher {
            model: rc::Rc::new(cell::RefCell::new(FleetModel::new(&options, clock.now()))),
            options,
            store,
            clock,
            metrics,
            link_client,
            current: shared,
            publish: rc::Rc::new(publish),
        };
        actix_rt::System::new().block_on(watcher.run(received));
    })?;
    Ok(view)
}

/// Commands that may wait for the fleet's thread.
const COMMAND_RING: usize = 64;

/// The state behind the snapshots.
///
/// Invariant: the generation of `bundle` never falls.
struct FleetModel {
    revision: store::ObjectRevision,
    bundle: sync::Arc<bundle::BundleView>,
    endpoints: sync::Arc<Vec<platform::EndpointRecord>>,
    dispatchers: sync::Arc<Vec<ownership::OwnerCandidate>>,
    records: collections::BTreeMap<ids::InstanceId, InstanceRecord>,
    leases: lease::LeaseObserver,
    jobs: sync::Arc<collections::BTreeMap<ids::JobId, sync::Arc<job::JobManifest>>>,
    stops: collections::HashSet<String>,
    wanted: Option<bundle_steps::BundleEntry>,
    leaving: bool,
    beat: u64,
    synced: bool,
    store_answers: bool,
    read_at: clock::Moment,
}

impl FleetModel {
    fn new(options: &FleetOptions, now: clock::Moment) -> Self {
        Self {
            revision: store::ObjectRevision(0),
            bundle: sync::Arc::default(),
            endpoints: sync::Arc::default(),
            dispatchers: sync::Arc::default(),
            records: collections::BTreeMap::new(),
            leases: lease::LeaseObserver::new(options.pace.lapse(), now),
            jobs: sync::Arc::default(),
            stops: collections::HashSet::new(),
            wanted: None,
            leaving: false,
            beat: rand::random(),
            synced: false,
            store_answers: false,
            read_at: now,
        }
    }

    fn take_answer(&mut self, answer: &platform::WatchAnswer, now: clock::Moment) {
        for change in &answer.changes {
            self.take_change(change);
        }
        self.revision = store::ObjectRevision(answer.revision.max(self.revision.0));
        self.store_answers = true;
        self.read_at = now;
    }

    /// In step with the service only with the newest accepted bundle in force.
    fn note_synced(&mut self) {
        self.synced |= self.wanted.is_none();
    }

    /// Lets leases age; gives how many are live.
    fn tick_leases(&mut self, now: clock::Moment) -> usize {
        let readable = self.store_answers;
        self.leases.tick(now, readable);
        self.records
            .keys()
            .filter(|id| self.leases.is_live(id))
            .count()
    }

    fn take_change(&mut self, change: &platform::ObjectChange) {
        let value = change.value.as_deref();
        if change.key == BUNDLE_HEAD_KEY {
            self.take_head(value);
        } else if let Some(id) = change.key.strip_prefix("instance/") {
            self.take_instance(id, value);
        } else if let Some(rest) = change.key.strip_prefix("active/") {
            self.take_job(rest, value);
        } else if let Some(id) = change.key.strip_prefix("stop/") {
            match value {
                Some(_) => self.stops.insert(id.to_owned()),
                None => self.stops.remove(id),
            };
        }
    }

    fn take_head(&mut self, value: Option<&str>) {
        let head = value.and_then(|v| serde_json::from_str::<bundle_steps::BundleHead>(v).ok());
        let accepted = head.and_then(|h| h.accepted);
        if let Some(entry) = accepted.filter(|e| e.generation > self.bundle.generation) {
            self.wanted = Some(entry);
        }
    }

    fn take_instance(&mut self, id: &str, value: Option<&str>) {
        let Ok(id) = id.parse::<ids::InstanceId>() else {
            return;
        };
        match value.and_then(|v| serde_json::from_str::<InstanceRecord>(v).ok()) {
            Some(record) => {
                self.leases.note(&id, record.beat, record.leaving);
                self.records.insert(id, record);
            }
            None => {
                self.leases.remove(&id);
                self.records.remove(&id);
            }
        }
    }

    fn take_job(&mut self, rest: &str, value: Option<&str>) {
        let Some(Ok(id)) = rest.split_once('/').map(|(_, id)| id.parse::<ids::JobId>()) else {
            return;
        };
        match value.and_then(|v| serde_json::from_str::<job::JobManifest>(v).ok()) {
            Some(manifest) => {
                let jobs = sync::Arc::make_mut(&mut self.jobs);
                jobs.insert(id, sync::Arc::new(manifest));
            }
            None => {
                sync::Arc::make_mut(&mut self.jobs).remove(&id);
            }
        }
    }

    fn take_bundle(&mut self, view: bundle::BundleView) -> bool {
        if view.generation <= self.bundle.generation {
            return false;
        }
        let rises = view.generation > self.bundle.generation;
        invariant::hold("bundle_generation_never_falls", rises);
        if self
            .wanted
            .as_ref()
            .is_some_and(|w| w.generation <= view.generation)
        {
            self.wanted = None;
        }
        self.bundle = sync::Arc::new(view);
        true
    }

    fn snapshot(&mut self, options: &FleetOptions) -> FleetSnapshot {
        let lapses = !protection::is_out("lapse");
        let live = |id: &ids::InstanceId| self.leases.is_live(id) || !lapses;
        let instances: collections::BTreeMap<_, _> = self
            .records
            .iter()
            .filter(|(id, _)| live(id))
            .map(|(id, record)| (id.clone(), record.clone()))
            .collect();
        let dispatchers: Vec<_> = instances
            .values()
            .filter(|r| r.role == InstanceRole::Dispatcher && !r.leaving)
            .map(|r| ownership::OwnerCandidate {
                id: r.id.clone(),
                domain: r.domain.clone(),
            })
            .collect();
        // The same list keeps its address, so that others can tell that it did not change.
        if *self.dispatchers != dispatchers {
            self.dispatchers = sync::Arc::new(dispatchers);
        }
        FleetSnapshot {
            bundle: self.bundle.clone(),
            endpoints: self.endpoints.clone(),
            dispatchers: self.dispatchers.clone(),
            instances: sync::Arc::new(instances),
            jobs: self.jobs.clone(),
            stop_asked: self.stops.contains(options.id.as_str()),
            synced: self.synced,
            store_answers: self.store_answers,
            read_at: self.read_at,
        }
    }
}

#[derive(Clone)]
struct FleetWatcher {
    model: rc::Rc<cell::RefCell<FleetModel>>,
    options: FleetOptions,
    store: sync::Arc<dyn store::ObjectStore>,
    clock: sync::Arc<dyn clock::MonotonicClock>,
    metrics: sync::Arc<metrics::MetricSet>,
    link_client: link::LinkClient,
    current: sync::Arc<arc_swap::ArcSwap<FleetSnapshot>>,
    publish: rc::Rc<watch::Sender<u64>>,
}

impl FleetWatcher {
    /// Runs until the last view is dropped.
    async fn run(self, mut commands: mpsc::Receiver<FleetCommand>) {
        actix_rt::spawn(self.clone().run_watch());
        actix_rt::spawn(self.clone().run_endpoints());
        actix_rt::spawn(self.clone().run_heartbeat());
        actix_rt::spawn(self.clone().run_leases());
        while let Some(command) = commands.recv().await {
            match command {
                FleetCommand::OfferBundle(offer) => self.take_offer(offer),
                FleetCommand::Leave => {
                    self.model.borrow_mut().leaving = true;
                    self.renew().await;
                }
            }
        }
    }

    fn publish(&self) {
        let snapshot = self.model.borrow_mut().snapshot(&self.options);
        let generation = snapshot.bundle.generation.0 as i64;
        self.metrics.bundle_generation.set(generation);
        self.current.store(sync::Arc::new(snapshot));
        self.publish.send_modify(|n| *n += 1);
    }

    async fn run_watch(self) {
        let mut backoff = settle::JitteredBackoff::default();
        loop {
            let since = self.model.borrow().revision;
            // A first reading need not wait for a change.
            let first = since == store::ObjectRevision(0);
            let wait = if first {
                time::Duration::ZERO
            } else {
                WATCH_WAIT
            };
            match self.store.watch(&WATCHED, since, wait).await {
                Ok(answer) => {
                    backoff = settle::JitteredBackoff::default();
                    self.take_answer(answer).await;
                    let pace = time::Duration::from_millis(self.options.pace.watch_pace_ms);
                    actix_rt::time::sleep(pace).await;
                }
                Err(e) => {
                    log::warn!("event=watch_failed why=\"{e}\"");
                    self.model.borrow_mut().store_answers = false;
                    self.ask_peers().await;
                    self.publish();
                    actix_rt::time::sleep(backoff.next_pause()).await;
                }
            }
        }
    }

    async fn take_answer(&self, answer: platform::WatchAnswer) {
        self.model
            .borrow_mut()
            .take_answer(&answer, self.clock.now());
        self.fetch_wanted().await;
        self.model.borrow_mut().note_synced();
        self.publish();
    }

    /// Fetches the accepted bundle if it is newer than the one in force.
    async fn fetch_wanted(&self) {
        let Some(entry) = self.model.borrow().wanted.clone() else {
            return;
        };
        match read_document(self.store.as_ref(), &entry).await {
            Ok(document) => {
                let view = bundle::BundleView::new(entry.generation, document);
                self.apply_bundle(view);
            }
            Err(e) => {
                let generation = entry.generation;
                log::warn!("event=bundle_unread generation={generation} why=\"{e}\"");
            }
        }
    }

    fn apply_bundle(&self, view: bundle::BundleView) {
        let generation = view.generation;
        if self.model.borrow_mut().take_bundle(view) {
            log::info!("event=bundle_in_force generation={generation}");
            self.publish();
            actix_rt::spawn(self.clone().renew_owned());
        }
    }

    async fn renew_owned(self) {
        self.renew().await;
    }

    fn take_offer(&self, offer: link::BundleOffer) {
        if offer.generation <= self.model.borrow().bundle.generation {
            return;
        }
        match serde_json::from_str(&offer.document) {
            Ok(document) => {
                self.apply_bundle(bundle::BundleView::new(offer.generation, document));
                self.model.borrow_mut().synced = true;
                self.publish();
            }
            Err(e) => log::warn!("event=offer_unread why=\"{e}\""),
        }
    }

    /// Asks a few peers for a newer bundle while the object service is out.
    async fn ask_peers(&self) {
        let known = self.model.borrow().bundle.generation;
        let own = self.options.id.clone();
        let peers: Vec<net::SocketAddr> = self
            .model
            .borrow()
            .records
            .values()
            .filter(|r| r.id != own)
            .map(|r| r.link)
            .collect();
        let start = rand::random_range(0..peers.len().max(1));
        let some = peers
            .iter()
            .cycle()
            .skip(start)
            .take(peers.len().min(ASKED_PEERS));
        for peer in some {
            if let Some(offer) = self.link_client.newer_bundle(*peer, known).await {
                self.take_offer(offer);
                return;
            }
        }
    }

    async fn run_endpoints(self) {
        let pause = time::Duration::from_millis(self.options.pace.endpoints_poll_ms);
        let mut known = None;
        loop {
            match self.store.endpoints(known).await {
                Ok(Some(list)) => {
                    known = Some(list.revision);
                    self.model.borrow_mut().endpoints = sync::Arc::new(list.endpoints);
                    self.publish();
                }
                Ok(None) => {}
                // What is known stays in use: endpoints outlast the list's outage.
                Err(e) => log::debug!("event=endpoints_unread why=\"{e}\""),
            }
            actix_rt::time::sleep(pause).await;
        }
    }

    async fn run_heartbeat(self) {
        loop {
            self.renew().await;
            actix_rt::time::sleep(self.options.pace.heartbeat()).await;
        }
    }

    async fn renew(&self) {
        let record = {
            let mut model = self.model.borrow_mut();
            model.beat = model.beat.wrapping_add(1);
            InstanceRecord {
                id: self.options.id.clone(),
                role: self.options.role,
                link: self.options.link,
                domain: self.options.domain.clone(),
                beat: model.beat,
                generation: model.bundle.generation,
                leaving: model.leaving,
            }
        };
        let key = format!("instance/{}", record.id);
        let value = store::encode(&record);
        let class = call_budget::CallClass::Control;
        let condition = store::WriteCondition::Always;
        if let Err(e) = self.store.put(class, &key, value, condition).await {
            log::warn!("event=lease_not_renewed why=\"{e}\"");
        }
    }

    async fn run_leases(self) {
        let pause = self.options.pace.heartbeat() / 2;
        let mut live = 0;
        loop {
            actix_rt::time::sleep(pause).await;
            let count = self.model.borrow_mut().tick_leases(self.clock.now());
            if count != live {
                live = count;
                self.publish();
            }
            self.sweep_one().await;
        }
    }

    /// Removes the record of an instance that is long gone.
    async fn sweep_one(&self) {
        if protection::is_out("lapse") {
            return;
        }
        let gone = self.model.borrow().leases.long_gone();
        let Some(id) = gone.into_iter().find(|id| *id != self.options.id) else {
            return;
        };
        let class = call_budget::CallClass::Read;
        let key = format!("instance/{id}");
        let _ = self
            .store
            .remove(class, &key, store::WriteCondition::Always)
            .await;
    }
}

/// Peers asked at once for a newer bundle.
const ASKED_PEERS: usize = 3;

/// Key of a part of a bundle's document.
pub fn document_key(document: &str, part: u32) -> String {
    format!("bundle/doc/{document}/{part}")
}

/// Reads a bundle's document from its parts.
///
/// # Errors
/// A part cannot be read, or the document is not valid.
pub async fn read_document(
    store: &dyn store::ObjectStore,
    entry: &bundle_steps::BundleEntry,
) -> store::StoreResult<bundle::BundleDocument> {
    let mut text = Vec::new();
    for part in 0..entry.parts {
        let key = document_key(&entry.document, part);
        let object = store.get(call_budget::CallClass::Control, &key).await?;
        let object = object.ok_or_else(|| store::StoreError::Corrupt(format!("no {key}")))?;
        text.extend_from_slice(&object.value);
    }
    serde_json::from_slice(&text).map_err(|e| store::StoreError::Corrupt(e.to_string()))
}
