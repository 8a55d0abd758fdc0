//! Shared context of the parts of a dispatcher.

use std::{collections, sync};

use super::ledger_table;
use crate::{clock, fleet, ids, metrics, settings, store};

/// Settings, clients and state that the parts of a dispatcher share.
pub struct DispatcherContext {
    /// Settings of the dispatcher.
    pub settings: settings::dispatcher::DispatcherSettings,
    /// Monotonic clock of the process.
    pub clock: sync::Arc<dyn clock::MonotonicClock>,
    /// Client of the platform's object service.
    pub store: sync::Arc<dyn store::ObjectStore>,
    /// Handle for snapshots of the fleet.
    pub fleet: fleet::FleetHandle,
    /// Metrics of the process.
    pub metrics: sync::Arc<metrics::MetricSet>,
    /// Ledgers of the endpoints that this dispatcher owns.
    pub ledgers: sync::Arc<ledger_table::LedgerTable>,
    /// Chunks that this process holds.
    pub held: sync::Mutex<collections::HashSet<(ids::JobId, ids::ChunkIndex)>>,
}

impl DispatcherContext {
    /// Returns the identifier of this instance.
    pub fn id(&self) -> &ids::InstanceId {
        &self.settings.instance.id
    }

    /// Returns whether this process holds a chunk.
    pub fn holds(&self, job: &ids::JobId, chunk: ids::ChunkIndex) -> bool {
        let held = self.held.lock().unwrap_or_else(|e| e.into_inner());
        held.contains(&(job.clone(), chunk))
    }
}
