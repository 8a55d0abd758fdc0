//! Tasks of the fleet thread: object watch, endpoint poll, lease renewal and lease expiry.

use std::{cell, net, rc, sync, time};

use tokio::sync::{mpsc, watch};

use super::{documents, model, FleetCommand, FleetOptions, FleetSnapshot, InstanceRecord};
use crate::{
    bundle, clock, decisions::call_budget, link, log_error::LogError as _, metrics, platform,
    protection, settle, store,
};

/// Timeout of one watch call, after which the service responds even without a change.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(30);
/// Keys and key prefixes that every process watches, in one call.
const WATCHED_KEYS: [&str; 4] = [documents::BUNDLE_HEAD_KEY, "instance/", "active/", "stop/"];

/// Shared context of the tasks of the fleet thread.
#[derive(Clone)]
pub(super) struct FleetWatcher {
    pub(super) model: rc::Rc<cell::RefCell<model::FleetModel>>,
    pub(super) options: FleetOptions,
    pub(super) store: sync::Arc<dyn store::ObjectStore>,
    pub(super) clock: sync::Arc<dyn clock::MonotonicClock>,
    pub(super) metrics: sync::Arc<metrics::MetricSet>,
    pub(super) link_client: link::LinkClient,
    pub(super) current: sync::Arc<arc_swap::ArcSwap<FleetSnapshot>>,
    pub(super) change_sender: rc::Rc<watch::Sender<u64>>,
}

impl FleetWatcher {
    /// Runs the tasks until the last [`super::FleetHandle`] is dropped.
    pub(super) async fn run(self, mut commands: mpsc::Receiver<FleetCommand>) {
        actix_rt::spawn(self.clone().remove_old_stop_request());
        actix_rt::spawn(self.clone().watch_objects());
        actix_rt::spawn(self.clone().poll_endpoints());
        actix_rt::spawn(self.clone().renew_at_heartbeats());
        actix_rt::spawn(self.clone().expire_leases());
        while let Some(command) = commands.recv().await {
            match command {
                FleetCommand::OfferBundle(offer) => self.apply_offer(offer),
                FleetCommand::Drain => {
                    self.model.borrow_mut().draining = true;
                    self.renew_lease().await;
                }
            }
        }
    }

    /// Publishes a snapshot of the present state and notifies those that wait for a change.
    fn publish(&self) {
        let snapshot = self.model.borrow_mut().snapshot(&self.options);
        let generation = snapshot.bundle.generation.0 as i64;
        self.metrics.bundle_generation.set(generation);
        self.current.store(sync::Arc::new(snapshot));
        self.change_sender.send_modify(|n| *n += 1);
    }

    /// Watches the objects of the fleet; while the object service fails, queries peers for a
    /// newer bundle.
    async fn watch_objects(self) {
        let mut backoff = settle::JitteredBackoff::default();
        loop {
            let since = self.model.borrow().revision;
            // The first call reads the present state, so it does not wait for a change.
            let is_first = since == store::ObjectRevision(0);
            let wait = if is_first {
                time::Duration::ZERO
            } else {
                WATCH_WAIT
            };
            match self.store.watch(&WATCHED_KEYS, since, wait).await {
                Ok(response) => {
                    backoff = settle::JitteredBackoff::default();
                    self.apply_response(response).await;
                    let interval = time::Duration::from_millis(self.options.pace.watch_pace_ms);
                    actix_rt::time::sleep(interval).await;
                }
                Err(e) => {
                    log::warn!("event=watch_failed why=\"{e}\"");
                    self.model.borrow_mut().store_reachable = false;
                    self.query_peers_for_bundle().await;
                    self.publish();
                    actix_rt::time::sleep(backoff.next_delay()).await;
                }
            }
        }
    }

    /// Applies a watch response, fetches the bundle that it announces, and publishes a snapshot.
    async fn apply_response(&self, response: platform::WatchResponse) {
        self.model
            .borrow_mut()
            .apply_response(&response, self.clock.now());
        self.fetch_pending_bundle().await;
        self.model.borrow_mut().update_synced();
        self.publish();
    }

    /// Fetches the pending bundle, if there is one, and activates it.
    async fn fetch_pending_bundle(&self) {
        let Some(entry) = self.model.borrow().pending_bundle.clone() else {
            return;
        };
        match documents::read_document(self.store.as_ref(), &entry).await {
            Ok(document) => {
                let bundle = bundle::IndexedBundle::new(entry.generation, document);
                self.apply_bundle(bundle);
            }
            Err(e) => {
                let generation = entry.generation;
                log::warn!("event=bundle_unread generation={generation} why=\"{e}\"");
            }
        }
    }

    /// Activates a bundle that is newer than the active one, and renews the lease at once, since
    /// the record states the active generation.
    fn apply_bundle(&self, bundle: bundle::IndexedBundle) {
        let generation = bundle.generation;
        if self.model.borrow_mut().apply_bundle(bundle) {
            log::info!("event=bundle_in_force generation={generation}");
            self.publish();
            actix_rt::spawn(self.clone().renew_lease_owned());
        }
    }

    /// Renews the lease in a spawned task, which must own its context.
    async fn renew_lease_owned(self) {
        self.renew_lease().await;
    }

    /// Activates a bundle from a peer if it is newer than the active one.
    fn apply_offer(&self, offer: link::BundleOffer) {
        if offer.generation <= self.model.borrow().bundle.generation {
            return;
        }
        match serde_json::from_str(&offer.document) {
            Ok(document) => {
                self.apply_bundle(bundle::IndexedBundle::new(offer.generation, document));
                self.model.borrow_mut().synced = true;
                self.publish();
            }
            Err(e) => log::warn!("event=offer_unread why=\"{e}\""),
        }
    }

    /// Queries up to `MAX_QUERIED_PEERS` peers, one after the other from a random start, until one
    /// sends a newer bundle.
    async fn query_peers_for_bundle(&self) {
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
        let queried = peers
            .iter()
            .cycle()
            .skip(start)
            .take(peers.len().min(MAX_QUERIED_PEERS));
        for peer in queried {
            if let Some(offer) = self.link_client.newer_bundle(*peer, known).await {
                self.apply_offer(offer);
                return;
            }
        }
    }

    /// Removes the stop request for an earlier process of this name, which has stopped since.
    async fn remove_old_stop_request(self) {
        let key = format!("stop/{}", self.options.id);
        let class = call_budget::CallClass::Read;
        if let Ok(Some(found)) = self.store.get(class, &key).await {
            let condition = store::WriteCondition::Match(found.revision);
            let removed = self.store.remove(class, &key, condition).await;
            removed.ok_or_log("old_stop_left");
        }
    }

    /// Polls the platform's list of endpoints.
    async fn poll_endpoints(self) {
        let interval = time::Duration::from_millis(self.options.pace.endpoints_poll_ms);
        let mut known = None;
        loop {
            match self.store.endpoints(known).await {
                Ok(Some(list)) => {
                    known = Some(list.revision);
                    self.model.borrow_mut().endpoints = sync::Arc::new(list.endpoints);
                    self.publish();
                }
                Ok(None) => {}
                // The last list stays in use: the endpoints themselves outlast its outage.
                Err(e) => log::debug!("event=endpoints_unread why=\"{e}\""),
            }
            actix_rt::time::sleep(interval).await;
        }
    }

    /// Renews the lease at each heartbeat.
    async fn renew_at_heartbeats(self) {
        loop {
            self.renew_lease().await;
            actix_rt::time::sleep(self.options.pace.heartbeat()).await;
        }
    }

    /// Renews the own lease: writes the instance's record with a new heartbeat number.
    async fn renew_lease(&self) {
        let record = {
            let mut model = self.model.borrow_mut();
            model.heartbeat = model.heartbeat.wrapping_add(1);
            InstanceRecord {
                id: self.options.id.clone(),
                role: self.options.role,
                link: self.options.link,
                domain: self.options.domain.clone(),
                beat: model.heartbeat,
                generation: model.bundle.generation,
                leaving: model.draining,
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

    /// Checks leases twice per heartbeat, publishes a snapshot when the number of live ones changes,
    /// and removes old records.
    async fn expire_leases(self) {
        let interval = self.options.pace.heartbeat() / 2;
        let mut live = 0;
        loop {
            actix_rt::time::sleep(interval).await;
            let count = self.model.borrow_mut().tick_leases(self.clock.now());
            if count != live {
                live = count;
                self.publish();
            }
            self.remove_old_record().await;
        }
    }

    /// Removes the record of at most one instance whose lease expired long ago.
    async fn remove_old_record(&self) {
        if protection::is_disabled("lapse") {
            return;
        }
        let removable = self.model.borrow().leases.removable_instances();
        let Some(id) = removable.into_iter().find(|id| *id != self.options.id) else {
            return;
        };
        let class = call_budget::CallClass::Read;
        let key = format!("instance/{id}");
        let always = store::WriteCondition::Always;
        let removed = self.store.remove(class, &key, always).await;
        removed.ok_or_log("instance_record_left");
    }
}

/// Number of peers that are queried for a newer bundle after a failed watch call.
const MAX_QUERIED_PEERS: usize = 3;
