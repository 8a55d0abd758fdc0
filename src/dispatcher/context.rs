//! What the parts of a dispatcher share.

use std::{collections, sync};

use super::ledger_board;
use crate::{clock, fleet, ids, metrics, settings, store};

/// What the parts of a dispatcher share; passed by reference.
pub struct DispatcherContext {
    /// Its settings.
    pub settings: settings::dispatcher::DispatcherSettings,
    /// Its clock.
    pub clock: sync::Arc<dyn clock::MonotonicClock>,
    /// The platform's object service.
    pub store: sync::Arc<dyn store::ObjectStore>,
    /// What it knows of the fleet.
    pub fleet: fleet::FleetHandle,
    /// Its metrics.
    pub metrics: sync::Arc<metrics::MetricSet>,
    /// Ledgers of the endpoints that it owns.
    pub board: sync::Arc<ledger_board::LedgerBoard>,
    /// Chunks in hand.
    pub held: sync::Mutex<collections::HashSet<(ids::JobId, ids::ChunkIndex)>>,
}

impl DispatcherContext {
    /// The name of this instance.
    pub fn id(&self) -> &ids::InstanceId {
        &self.settings.instance.id
    }

    /// Whether a chunk is in hand.
    pub fn holds(&self, job: &ids::JobId, chunk: ids::ChunkIndex) -> bool {
        let held = self.held.lock().unwrap_or_else(|e| e.into_inner());
        held.contains(&(job.clone(), chunk))
    }
}
