//! Mutable state from which snapshots are made: the objects read from the watch, and the leases.

use std::{collections, sync};

use super::{documents, FleetOptions, FleetSnapshot, InstanceRecord, InstanceRole};
use crate::{
    bundle, clock,
    decisions::{bundle_steps, job, lease, ownership},
    ids, invariant,
    log_error::LogError as _,
    platform, protection, store,
};

/// State of the fleet as this process has read it; only the fleet thread changes it.
///
/// Invariant: the generation of `bundle` never falls.
pub(super) struct FleetModel {
    pub(super) revision: store::ObjectRevision,
    pub(super) bundle: sync::Arc<bundle::IndexedBundle>,
    pub(super) endpoints: sync::Arc<Vec<platform::EndpointRecord>>,
    pub(super) dispatchers: sync::Arc<Vec<ownership::OwnerCandidate>>,
    pub(super) records: collections::BTreeMap<ids::InstanceId, InstanceRecord>,
    pub(super) leases: lease::LeaseObserver,
    pub(super) jobs: sync::Arc<collections::BTreeMap<ids::JobId, sync::Arc<job::JobManifest>>>,
    pub(super) stop_requests: collections::HashSet<String>,
    pub(super) pending_bundle: Option<bundle_steps::BundleEntry>,
    pub(super) draining: bool,
    pub(super) heartbeat: u64,
    pub(super) synced: bool,
    pub(super) store_reachable: bool,
    pub(super) read_at: clock::MonotonicTime,
}

impl FleetModel {
    /// Creates the state of a process that has not read anything yet.
    pub(super) fn new(options: &FleetOptions, now: clock::MonotonicTime) -> Self {
        Self {
            revision: store::ObjectRevision(0),
            bundle: sync::Arc::default(),
            endpoints: sync::Arc::default(),
            dispatchers: sync::Arc::default(),
            records: collections::BTreeMap::new(),
            leases: lease::LeaseObserver::new(options.pace.lease_timeout(), now),
            jobs: sync::Arc::default(),
            stop_requests: collections::HashSet::new(),
            pending_bundle: None,
            draining: false,
            heartbeat: rand::random(),
            synced: false,
            store_reachable: false,
            read_at: now,
        }
    }

    /// Applies the changes of a watch response.
    pub(super) fn apply_response(
        &mut self,
        response: &platform::WatchResponse,
        now: clock::MonotonicTime,
    ) {
        for change in &response.changes {
            self.apply_change(change);
        }
        if self.revision == store::ObjectRevision(0) {
            // Stop requests in the first response may be for an earlier process of the same name.
            self.stop_requests.clear();
        }
        self.revision = store::ObjectRevision(response.revision.max(self.revision.0));
        self.store_reachable = true;
        self.read_at = now;
    }

    /// Marks the process as synced, unless the newest accepted bundle is still to be fetched.
    pub(super) fn update_synced(&mut self) {
        self.synced |= self.pending_bundle.is_none();
    }

    /// Updates the expiry of leases and returns the number of live ones.
    pub(super) fn tick_leases(&mut self, now: clock::MonotonicTime) -> usize {
        let is_readable = self.store_reachable;
        self.leases.tick(now, is_readable);
        self.records
            .keys()
            .filter(|id| self.leases.is_live(id))
            .count()
    }

    /// Applies the change of one object, by the prefix of its key.
    fn apply_change(&mut self, change: &platform::ObjectChange) {
        let value = change.value.as_deref();
        if change.key == documents::BUNDLE_HEAD_KEY {
            self.apply_bundle_head(value);
        } else if let Some(id) = change.key.strip_prefix("instance/") {
            self.apply_instance(id, value);
        } else if let Some(rest) = change.key.strip_prefix("active/") {
            self.apply_job(rest, value);
        } else if let Some(id) = change.key.strip_prefix("stop/") {
            match value {
                Some(_) => self.stop_requests.insert(id.to_owned()),
                None => self.stop_requests.remove(id),
            };
        }
    }

    /// Records the accepted bundle of the head as pending if it is newer than the active one.
    fn apply_bundle_head(&mut self, value: Option<&str>) {
        let head = value.and_then(|v| {
            let read = serde_json::from_str::<bundle_steps::BundleHead>(v);
            read.ok_or_log("bundle_head_unreadable")
        });
        let entry = head.and_then(|h| h.accepted);
        if let Some(entry) = entry.filter(|e| e.generation > self.bundle.generation) {
            self.pending_bundle = Some(entry);
        }
    }

    /// Updates or removes the record of an instance.
    fn apply_instance(&mut self, id: &str, value: Option<&str>) {
        let Ok(id) = id.parse::<ids::InstanceId>() else {
            return;
        };
        let Some(value) = value else {
            self.leases.remove(&id);
            self.records.remove(&id);
            return;
        };
        // An unreadable record is not a deleted one: the last valid record stays until its lease
        // expires.
        let read = serde_json::from_str::<InstanceRecord>(value);
        if let Some(record) = read.ok_or_log("instance_unreadable") {
            self.leases.record(&id, record.beat, record.leaving);
            self.records.insert(id, record);
        }
    }

    /// Updates or removes the manifest of an active job.
    fn apply_job(&mut self, rest: &str, value: Option<&str>) {
        let Some(Ok(id)) = rest.split_once('/').map(|(_, id)| id.parse::<ids::JobId>()) else {
            return;
        };
        let jobs = sync::Arc::make_mut(&mut self.jobs);
        let Some(value) = value else {
            jobs.remove(&id);
            return;
        };
        // An unreadable manifest is not a deleted one: the last valid manifest of an accepted job
        // stays.
        let read = serde_json::from_str::<job::JobManifest>(value);
        if let Some(manifest) = read.ok_or_log("job_unreadable") {
            jobs.insert(id, sync::Arc::new(manifest));
        }
    }

    /// Activates a bundle if it is newer than the active one; returns whether it was.
    pub(super) fn apply_bundle(&mut self, bundle: bundle::IndexedBundle) -> bool {
        if bundle.generation <= self.bundle.generation {
            return false;
        }
        let is_newer = bundle.generation > self.bundle.generation;
        invariant::check("bundle_generation_never_falls", is_newer);
        if self
            .pending_bundle
            .as_ref()
            .is_some_and(|entry| entry.generation <= bundle.generation)
        {
            self.pending_bundle = None;
        }
        self.bundle = sync::Arc::new(bundle);
        true
    }

    /// Makes a snapshot of the present state, with the records of live instances only.
    pub(super) fn snapshot(&mut self, options: &FleetOptions) -> FleetSnapshot {
        let leases_expire = !protection::is_disabled("lapse");
        let is_live = |id: &ids::InstanceId| self.leases.is_live(id) || !leases_expire;
        let instances: collections::BTreeMap<_, _> = self
            .records
            .iter()
            .filter(|(id, _)| is_live(id))
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
        // An unchanged list keeps its allocation, so that readers detect a change by its address.
        if *self.dispatchers != dispatchers {
            self.dispatchers = sync::Arc::new(dispatchers);
        }
        FleetSnapshot {
            bundle: self.bundle.clone(),
            endpoints: self.endpoints.clone(),
            dispatchers: self.dispatchers.clone(),
            instances: sync::Arc::new(instances),
            jobs: self.jobs.clone(),
            stop_requested: self.stop_requests.contains(options.id.as_str()),
            synced: self.synced,
            store_reachable: self.store_reachable,
            read_at: self.read_at,
        }
    }
}
