//! State shared by the request handlers of a gateway.

use std::{
    collections, num,
    sync::{self, atomic},
    time,
};

use crate::{
    clock, daemon_parts,
    decisions::{health, job, retry, workspace_limit},
    fleet, ids, link, metrics, settings, store,
};

/// Settings, clients and counters of a gateway, shared by all worker threads.
pub struct GatewayContext {
    /// Settings of the gateway.
    pub settings: settings::gateway::GatewaySettings,
    /// Clock for deadlines and health.
    pub clock: sync::Arc<dyn clock::MonotonicClock>,
    /// Client of the platform's object service.
    pub store: sync::Arc<dyn store::ObjectStore>,
    /// Handle that gives snapshots of the fleet.
    pub fleet: fleet::FleetHandle,
    /// Client for links to peers.
    pub link: link::LinkClient,
    /// Metrics of the process.
    pub metrics: sync::Arc<metrics::MetricSet>,
    limits: sync::Mutex<workspace_limit::LimitTracker>,
    health: sync::Mutex<health::HealthTracker>,
    retries: sync::Mutex<retry::RetryBudget>,
    outstanding: sync::Mutex<collections::HashMap<ids::EndpointId, u32>>,
    counts: sync::Mutex<CountsCache>,
    stopping: atomic::AtomicBool,
    running: atomic::AtomicUsize,
}

/// Recently read item counts of running jobs, so that one read serves many polling callers.
type CountsCache = lru::LruCache<ids::JobId, (time::Instant, job::ItemCounts)>;

/// Time for which cached counts are served.
const MAX_COUNTS_AGE: time::Duration = time::Duration::from_millis(500);
/// Maximum number of jobs whose counts are cached.
const MAX_CACHED_JOBS: num::NonZeroUsize = num::NonZeroUsize::new(1024).unwrap();

/// Locks a mutex and ignores poisoning: the data are counters, which stay usable after a panic.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl GatewayContext {
    /// Creates the context from the parts of the process.
    pub fn new(
        settings: settings::gateway::GatewaySettings,
        parts: daemon_parts::DaemonParts,
        fleet: fleet::FleetHandle,
    ) -> Self {
        Self {
            settings,
            clock: parts.clock,
            store: parts.store,
            fleet,
            link: parts.link_client,
            metrics: parts.metrics,
            limits: sync::Mutex::default(),
            health: sync::Mutex::default(),
            retries: sync::Mutex::default(),
            outstanding: sync::Mutex::default(),
            counts: sync::Mutex::new(lru::LruCache::new(MAX_CACHED_JOBS)),
            stopping: atomic::AtomicBool::new(false),
            running: atomic::AtomicUsize::new(0),
        }
    }

    /// Locks the usage of the workspaces at this gateway.
    pub fn limits(&self) -> sync::MutexGuard<'_, workspace_limit::LimitTracker> {
        lock(&self.limits)
    }

    /// Locks the health statistics of the endpoints.
    pub fn health(&self) -> sync::MutexGuard<'_, health::HealthTracker> {
        lock(&self.health)
    }

    /// Locks the retry budget.
    pub fn retries(&self) -> sync::MutexGuard<'_, retry::RetryBudget> {
        lock(&self.retries)
    }

    /// Locks the number of requests in flight for each endpoint.
    pub fn outstanding(&self) -> sync::MutexGuard<'_, collections::HashMap<ids::EndpointId, u32>> {
        lock(&self.outstanding)
    }

    /// Returns the cached item counts of a running job unless they have expired.
    pub fn cached_counts(&self, id: &ids::JobId) -> Option<job::ItemCounts> {
        let mut cache = lock(&self.counts);
        cache
            .get(id)
            .filter(|(at, _)| at.elapsed() < MAX_COUNTS_AGE)
            .map(|(_, counts)| *counts)
    }

    /// Caches the item counts of a running job.
    pub fn cache_counts(&self, id: &ids::JobId, counts: job::ItemCounts) {
        lock(&self.counts).put(id.clone(), (time::Instant::now(), counts));
    }

    /// Counts a request in flight; returns false if that exceeds the limit.
    ///
    /// The request is counted in both cases, so [`Self::end_request`] must follow.
    pub fn begin_request(&self) -> bool {
        let before = self.running.fetch_add(1, atomic::Ordering::Relaxed);
        before < self.settings.callers.limits.requests
    }

    /// Ends the count of a request in flight.
    pub fn end_request(&self) {
        self.running.fetch_sub(1, atomic::Ordering::Relaxed);
    }

    /// Makes the readiness probe fail until the process ends.
    pub fn begin_stop(&self) {
        self.stopping.store(true, atomic::Ordering::Relaxed);
    }

    /// Returns whether the gateway is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::Relaxed)
    }
}
