//! What a process knows of the fleet: bundle, endpoints, instances, jobs, stops.
//!
//! One thread watches the object service, reads the platform's list, renews
//! the process's own lease, and publishes a snapshot after each change.

mod documents;
mod model;
mod snapshot;
mod watcher;

use std::{cell, io, net, rc, sync, thread, time};

use tokio::sync::{mpsc, watch};

pub use documents::{document_key, read_document, BUNDLE_HEAD_KEY};
pub use snapshot::{FleetSnapshot, InstanceRecord, InstanceRole};

use crate::{bundle, clock, ids, link, log_error::LogError as _, metrics, settings, store};

/// A handle to what the process knows; cheap to copy and to read.
#[derive(Clone)]
pub struct FleetHandle {
    current: sync::Arc<arc_swap::ArcSwap<FleetSnapshot>>,
    changed: watch::Receiver<u64>,
    commands: mpsc::Sender<FleetCommand>,
}

enum FleetCommand {
    OfferBundle(link::BundleOffer),
    Leave,
}

impl FleetHandle {
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
        let sent = self.commands.try_send(FleetCommand::OfferBundle(offer));
        sent.ok_or_log("bundle_offer_dropped");
    }

    /// Shows everyone that this instance takes no new work.
    pub fn leave(&self) {
        let sent = self.commands.try_send(FleetCommand::Leave);
        sent.ok_or_log("leave_unheard");
    }

    /// The bundle in force here, if its generation is above `known`.
    pub fn newer_bundle(&self, known: bundle::BundleGeneration) -> Option<link::BundleOffer> {
        let bundle = self.snapshot().bundle.clone();
        if bundle.generation <= known {
            return None;
        }
        let document = serde_json::to_string(&bundle.document);
        let document = document.ok_or_log("bundle_untold")?;
        Some(link::BundleOffer {
            generation: bundle.generation,
            document,
        })
    }

    /// Waits until the first snapshot is there, or until `timeout` ends.
    pub async fn wait_synced(&self, timeout: time::Duration) -> bool {
        let mut changed = self.changed.clone();
        let waiting = async {
            while !self.snapshot().synced {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let waited = actix_rt::time::timeout(timeout, waiting).await;
        waited.ok_or_log("fleet_not_synced");
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
) -> io::Result<FleetHandle> {
    let current = sync::Arc::new(arc_swap::ArcSwap::from_pointee(FleetSnapshot::default()));
    let (publish, changed) = watch::channel(0);
    let (commands, received) = mpsc::channel(COMMAND_RING);
    let view = FleetHandle {
        current: current.clone(),
        changed,
        commands,
    };
    let shared = current;
    thread::Builder::new().name("fleet".into()).spawn(move || {
        let watcher = watcher::FleetWatcher {
            model: rc::Rc::new(cell::RefCell::new(model::FleetModel::new(
                &options,
                clock.now(),
            ))),
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
