//! State of the fleet as one process sees it: bundle, endpoints, instances, jobs, stop requests.
//!
//! One thread watches the object service, polls the platform's list of endpoints, renews the
//! process's own lease, and publishes a snapshot after each change.

mod documents;
mod model;
mod snapshot;
mod watcher;

use std::{cell, io, net, rc, sync, thread, time};

use tokio::sync::{mpsc, watch};

pub use documents::{document_key, read_document, BUNDLE_HEAD_KEY};
pub use snapshot::{FleetSnapshot, InstanceRecord, InstanceRole};

use crate::{bundle, clock, ids, link, log_error::LogError as _, metrics, settings, store};

/// Handle to the fleet thread and its latest snapshot; cheap to clone and to read.
#[derive(Clone)]
pub struct FleetHandle {
    current: sync::Arc<arc_swap::ArcSwap<FleetSnapshot>>,
    changed: watch::Receiver<u64>,
    commands: mpsc::Sender<FleetCommand>,
}

/// Command to the fleet thread.
enum FleetCommand {
    OfferBundle(link::BundleOffer),
    Drain,
}

impl FleetHandle {
    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> sync::Arc<FleetSnapshot> {
        self.current.load_full()
    }

    /// Returns a receiver that is notified of each published snapshot.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.clone()
    }

    /// Sends a bundle from a peer to the fleet thread, which activates it if it is newer than the
    /// active one.
    pub fn offer_bundle(&self, offer: link::BundleOffer) {
        let sent = self.commands.try_send(FleetCommand::OfferBundle(offer));
        sent.ok_or_log("bundle_offer_dropped");
    }

    /// Announces in the instance's record that it is draining: it takes no new work.
    pub fn announce_draining(&self) {
        let sent = self.commands.try_send(FleetCommand::Drain);
        sent.ok_or_log("leave_unheard");
    }

    /// Returns the active bundle if its generation is above `known`.
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

    /// Waits until the process is synced or `timeout` has passed; returns whether it is synced.
    pub async fn wait_synced(&self, timeout: time::Duration) -> bool {
        let mut changed = self.changed.clone();
        let synced = async {
            while !self.snapshot().synced {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let waited = actix_rt::time::timeout(timeout, synced).await;
        waited.ok_or_log("fleet_not_synced");
        self.snapshot().synced
    }
}

/// Properties of the process that the fleet thread publishes, and its intervals.
#[derive(Clone)]
pub struct FleetOptions {
    /// Identifier of the instance.
    pub id: ids::InstanceId,
    /// Failure domain of the instance.
    pub domain: ids::DomainName,
    /// Role of the instance.
    pub role: InstanceRole,
    /// Address on which the instance serves its peers.
    pub link: net::SocketAddr,
    /// Intervals of polls and heartbeats, and the lease timeout.
    pub pace: settings::common::PaceSettings,
}

/// Starts the fleet thread.
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
    let (change_sender, changed) = watch::channel(0);
    let (commands, received) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let handle = FleetHandle {
        current: current.clone(),
        changed,
        commands,
    };
    let published = current;
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
            current: published,
            change_sender: rc::Rc::new(change_sender),
        };
        actix_rt::System::new().block_on(watcher.run(received));
    })?;
    Ok(handle)
}

/// Capacity of the queue of commands to the fleet thread; commands beyond it are dropped.
const COMMAND_QUEUE_CAPACITY: usize = 64;
