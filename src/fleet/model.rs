//! The state behind the snapshots: what the watch told, and whose lease is renewed.

use std::{collections, sync};

use super::{documents, FleetOptions, FleetSnapshot, InstanceRecord, InstanceRole};
use crate::{
    bundle, clock,
    decisions::{bundle_steps, job, lease, ownership},
    ids, invariant,
    log_error::LogError as _,
    platform, protection, store,
};

/// The state behind the snapshots.
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
    pub(super) stops: collections::HashSet<String>,
    pub(super) wanted: Option<bundle_steps::BundleEntry>,
    pub(super) leaving: bool,
    pub(super) beat: u64,
    pub(super) synced: bool,
    pub(super) store_answers: bool,
    pub(super) read_at: clock::MonotonicTime,
}

impl FleetModel {
    pub(super) fn new(options: &FleetOptions, now: clock::MonotonicTime) -> Self {
        Self {
            revision: store::ObjectRevision(0),
            bundle: sync::Arc::default(),
            endpoints: sync::Arc::default(),
            dispatchers: sync::Arc::default(),
            records: collections::BTreeMap::new(),
            leases: lease::LeaseObserver::new(options.pace.lease_timeout(), now),
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

    pub(super) fn take_answer(
        &mut self,
        response: &platform::WatchResponse,
        now: clock::MonotonicTime,
    ) {
        for change in &response.changes {
            self.take_change(change);
        }
        if self.revision == store::ObjectRevision(0) {
            // Stops that stood before this process were for an earlier one of its name.
            self.stops.clear();
        }
        self.revision = store::ObjectRevision(response.revision.max(self.revision.0));
        self.store_answers = true;
        self.read_at = now;
    }

    /// In step with the service only with the newest accepted bundle in force.
    pub(super) fn record_synced(&mut self) {
        self.synced |= self.wanted.is_none();
    }

    /// Lets leases age; gives how many are live.
    pub(super) fn tick_leases(&mut self, now: clock::MonotonicTime) -> usize {
        let readable = self.store_answers;
        self.leases.tick(now, readable);
        self.records
            .keys()
            .filter(|id| self.leases.is_live(id))
            .count()
    }

    fn take_change(&mut self, change: &platform::ObjectChange) {
        let value = change.value.as_deref();
        if change.key == documents::BUNDLE_HEAD_KEY {
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
        let head = value.and_then(|v| {
            let read = serde_json::from_str::<bundle_steps::BundleHead>(v);
            read.ok_or_log("bundle_head_unreadable")
        });
        let accepted = head.and_then(|h| h.accepted);
        if let Some(entry) = accepted.filter(|e| e.generation > self.bundle.generation) {
            self.wanted = Some(entry);
        }
    }

    fn take_instance(&mut self, id: &str, value: Option<&str>) {
        let Ok(id) = id.parse::<ids::InstanceId>() else {
            return;
        };
        let Some(value) = value else {
            self.leases.remove(&id);
            self.records.remove(&id);
            return;
        };
        // What cannot be read is not gone: the last record stays until its lease lapses.
        let read = serde_json::from_str::<InstanceRecord>(value);
        if let Some(record) = read.ok_or_log("instance_unreadable") {
            self.leases.record(&id, record.beat, record.leaving);
            self.records.insert(id, record);
        }
    }

    fn take_job(&mut self, rest: &str, value: Option<&str>) {
        let Some(Ok(id)) = rest.split_once('/').map(|(_, id)| id.parse::<ids::JobId>()) else {
            return;
        };
        let jobs = sync::Arc::make_mut(&mut self.jobs);
        let Some(value) = value else {
            jobs.remove(&id);
            return;
        };
        // What cannot be read is not gone: an accepted job stays as it was known.
        let read = serde_json::from_str::<job::JobManifest>(value);
        if let Some(manifest) = read.ok_or_log("job_unreadable") {
            jobs.insert(id, sync::Arc::new(manifest));
        }
    }

    pub(super) fn take_bundle(&mut self, view: bundle::IndexedBundle) -> bool {
        if view.generation <= self.bundle.generation {
            return false;
        }
        let rises = view.generation > self.bundle.generation;
        invariant::check("bundle_generation_never_falls", rises);
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

    pub(super) fn snapshot(&mut self, options: &FleetOptions) -> FleetSnapshot {
        let lapses = !protection::is_disabled("lapse");
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
