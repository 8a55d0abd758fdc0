//! The thread that keeps the view: watch, list of endpoints, own lease, peers.

use std::{cell, net, rc, sync, time};

use tokio::sync::{mpsc, watch};

use super::{documents, model, FleetCommand, FleetOptions, FleetSnapshot, InstanceRecord};
use crate::{
    bundle, clock, decisions::call_budget, link, log_error::LogError as _, metrics, platform,
    protection, settle, store,
};

/// Longest wait of one watch.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(30);
/// What every process watches, in one call.
const WATCHED: [&str; 4] = [documents::BUNDLE_HEAD_KEY, "instance/", "active/", "stop/"];

#[derive(Clone)]
pub(super) struct FleetWatcher {
    pub(super) model: rc::Rc<cell::RefCell<model::FleetModel>>,
    pub(super) options: FleetOptions,
    pub(super) store: sync::Arc<dyn store::ObjectStore>,
    pub(super) clock: sync::Arc<dyn clock::MonotonicClock>,
    pub(super) metrics: sync::Arc<metrics::MetricSet>,
    pub(super) link_client: link::LinkClient,
    pub(super) current: sync::Arc<arc_swap::ArcSwap<FleetSnapshot>>,
    pub(super) publish: rc::Rc<watch::Sender<u64>>,
}

impl FleetWatcher {
    /// Runs until the last view is dropped.
    pub(super) async fn run(self, mut commands: mpsc::Receiver<FleetCommand>) {
        actix_rt::spawn(self.clone().remove_old_stop());
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
                Ok(response) => {
                    backoff = settle::JitteredBackoff::default();
                    self.take_answer(response).await;
                    let pace = time::Duration::from_millis(self.options.pace.watch_pace_ms);
                    actix_rt::time::sleep(pace).await;
                }
                Err(e) => {
                    log::warn!("event=watch_failed why=\"{e}\"");
                    self.model.borrow_mut().store_answers = false;
                    self.query_peers().await;
                    self.publish();
                    actix_rt::time::sleep(backoff.next_delay()).await;
                }
            }
        }
    }

    async fn take_answer(&self, response: platform::WatchResponse) {
        self.model
            .borrow_mut()
            .take_answer(&response, self.clock.now());
        self.fetch_wanted().await;
        self.model.borrow_mut().record_synced();
        self.publish();
    }

    /// Fetches the accepted bundle if it is newer than the one in force.
    async fn fetch_wanted(&self) {
        let Some(entry) = self.model.borrow().wanted.clone() else {
            return;
        };
        match documents::read_document(self.store.as_ref(), &entry).await {
            Ok(document) => {
                let view = bundle::IndexedBundle::new(entry.generation, document);
                self.apply_bundle(view);
            }
            Err(e) => {
                let generation = entry.generation;
                log::warn!("event=bundle_unread generation={generation} why=\"{e}\"");
            }
        }
    }

    fn apply_bundle(&self, view: bundle::IndexedBundle) {
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
                self.apply_bundle(bundle::IndexedBundle::new(offer.generation, document));
                self.model.borrow_mut().synced = true;
                self.publish();
            }
            Err(e) => log::warn!("event=offer_unread why=\"{e}\""),
        }
    }

    /// Asks a few peers for a newer bundle while the object service is out.
    async fn query_peers(&self) {
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

    /// Removes a stop that was asked of an earlier process of this name, as it was done.
    async fn remove_old_stop(self) {
        let key = format!("stop/{}", self.options.id);
        let class = call_budget::CallClass::Read;
        if let Ok(Some(found)) = self.store.get(class, &key).await {
            let condition = store::WriteCondition::Match(found.revision);
            let removed = self.store.remove(class, &key, condition).await;
            removed.ok_or_log("old_stop_left");
        }
    }

    async fn run_endpoints(self) {
        let delay = time::Duration::from_millis(self.options.pace.endpoints_poll_ms);
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
            actix_rt::time::sleep(delay).await;
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
        let delay = self.options.pace.heartbeat() / 2;
        let mut live = 0;
        loop {
            actix_rt::time::sleep(delay).await;
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
        if protection::is_disabled("lapse") {
            return;
        }
        let gone = self.model.borrow().leases.removable_instances();
        let Some(id) = gone.into_iter().find(|id| *id != self.options.id) else {
            return;
        };
        let class = call_budget::CallClass::Read;
        let key = format!("instance/{id}");
        let always = store::WriteCondition::Always;
        let removed = self.store.remove(class, &key, always).await;
        removed.ok_or_log("instance_record_left");
    }
}

/// Peers asked at once for a newer bundle.
const ASKED_PEERS: usize = 3;
