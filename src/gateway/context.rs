//! What the parts of a gateway share.

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

/// What the parts of a gateway share; passed by reference.
pub struct GatewayContext {
    /// Its settings.
    pub settings: settings::gateway::GatewaySettings,
    /// Its clock.
    pub clock: sync::Arc<dyn clock::MonotonicClock>,
    /// The platform's object service.
    pub store: sync::Arc<dyn store::ObjectStore>,
    /// What it knows of the fleet.
    pub fleet: fleet::FleetHandle,
    /// Links to its peers.
    pub link: link::LinkClient,
    /// Its metrics.
    pub metrics: sync::Arc<metrics::MetricSet>,
    limits: sync::Mutex<workspace_limit::LimitTracker>,
    health: sync::Mutex<health::HealthTracker>,
    retries: sync::Mutex<retry::RetryBudget>,
    outstanding: sync::Mutex<collections::HashMap<ids::EndpointId, u32>>,
    counts: sync::Mutex<CountsCache>,
    stopping: atomic::AtomicBool,
    running: atomic::AtomicUsize,
}

/// Counts of running jobs as they were read a moment ago, so that one read serves many pollers.
type CountsCache = lru::LruCache<ids::JobId, (time::Instant, job::ItemCounts)>;

/// How long counts are served from memory.
const COUNTS_AGE: time::Duration = time::Duration::from_millis(500);
/// Jobs whose counts are kept.
const COUNTS_JOBS: num::NonZeroUsize = num::NonZeroUsize::new(1024).unwrap();

/// Takes a lock; a panic elsewhere leaves counters only, so the value is still good.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl GatewayContext {
    /// The shared parts of a new gateway.
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
            counts: sync::Mutex::new(lru::LruCache::new(COUNTS_JOBS)),
            stopping: atomic::AtomicBool::new(false),
            running: atomic::AtomicUsize::new(0),
        }
    }

    /// What the workspaces use here.
    pub fn limits(&self) -> sync::MutexGuard<'_, workspace_limit::LimitTracker> {
        lock(&self.limits)
    }

    /// Which endpoints fail.
    pub fn health(&self) -> sync::MutexGuard<'_, health::HealthTracker> {
        lock(&self.health)
    }

    /// Retries that are left.
    pub fn retries(&self) -> sync::MutexGuard<'_, retry::RetryBudget> {
        lock(&self.retries)
    }

    /// Requests under way at each endpoint.
    pub fn outstanding(&self) -> sync::MutexGuard<'_, collections::HashMap<ids::EndpointId, u32>> {
        lock(&self.outstanding)
    }

    /// Counts of a running job, if they were read a moment ago.
    pub fn cached_counts(&self, id: &ids::JobId) -> Option<job::ItemCounts> {
        let mut cache = lock(&self.counts);
        cache
            .get(id)
            .filter(|(at, _)| at.elapsed() < COUNTS_AGE)
            .map(|(_, counts)| *counts)
    }

    /// Keeps counts of a running job for the next pollers.
    pub fn cache_counts(&self, id: &ids::JobId, counts: job::ItemCounts) {
        lock(&self.counts).put(id.clone(), (time::Instant::now(), counts));
    }

    /// Counts a request that began; false if there are too many.
    pub fn begin_request(&self) -> bool {
        let before = self.running.fetch_add(1, atomic::Ordering::Relaxed);
        before < self.settings.callers.limits.requests
    }

    /// Counts a request that was answered.
    pub fn end_request(&self) {
        self.running.fetch_sub(1, atomic::Ordering::Relaxed);
    }

    /// Turns the gateway unready for good.
    pub fn begin_stop(&self) {
        self.stopping.store(true, atomic::Ordering::Relaxed);
    }

    /// Whether the gateway is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::Relaxed)
    }
}
