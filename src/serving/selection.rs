//! Selects an endpoint for a request by the loads and failures that this process knows.

use std::{collections, rc, time};

use rand::Rng;

use super::{directory, wire};
use crate::{
    clock,
    decisions::{endpoint_doubt, health},
    ids, protection,
};

/// Age after which an endpoint's load report is outdated; requests last about this long.
const REPORT_AGE: time::Duration = time::Duration::from_millis(500);

/// Largest share of a service's endpoints that may be ejected at once, in percent.
const MAX_EJECTED_PERCENT: usize = 40;

/// Known load of one endpoint.
#[derive(Debug, Clone, Default)]
struct EndpointLoad {
    /// Number of active requests of this process.
    own: u32,
    /// Number of active requests of other processes at the latest report.
    others: u32,
    reported_at: Option<clock::MonotonicTime>,
}

/// Loads and health of endpoints, as observed by one process.
#[derive(Debug, Default)]
pub struct LoadTable {
    loads: collections::HashMap<ids::EndpointId, EndpointLoad>,
    /// Health by the failures of this process's own requests.
    pub health: health::HealthTracker,
    /// Health of owned endpoints by the reports of processes that held slots there.
    reported: health::HealthTracker,
    /// Endpoints that are suspect by the observations of this process's own requests.
    pub doubts: endpoint_doubt::DoubtTable,
}

/// Returns whether so many endpoints of a service are ejected that the fault is likely
/// elsewhere.
pub fn exceeds_ejection_limit(ejected: usize, listed: usize) -> bool {
    ejected * 100 > listed * MAX_EJECTED_PERCENT
}

impl LoadTable {
    /// Counts the start of a request at the endpoint.
    pub fn begin(&mut self, id: &ids::EndpointId) {
        match self.loads.get_mut(id) {
            Some(load) => load.own += 1,
            None => self.loads.entry(id.clone()).or_default().own = 1,
        }
    }

    /// Records the report of a slot holder that the endpoint served its request.
    pub fn record_served(&mut self, id: &ids::EndpointId) {
        self.reported.record_success(id);
    }

    /// Records the report of a slot holder that the endpoint failed; returns whether the
    /// endpoint is ejected for it from now on.
    pub fn record_peer_failure(
        &mut self,
        id: &ids::EndpointId,
        failure: &health::FailureReport,
        now: clock::MonotonicTime,
    ) -> bool {
        let was_ejected = self.reported.is_ejected(id, now);
        self.reported.record_report(id, failure, now);
        !was_ejected && self.reported.is_ejected(id, now)
    }

    /// Counts the end of a request.
    pub fn end(&mut self, id: &ids::EndpointId) {
        if let Some(load) = self.loads.get_mut(id) {
            load.own = load.own.saturating_sub(1);
        }
    }

    /// Records the load that an endpoint reported.
    pub fn record_report(
        &mut self,
        id: &ids::EndpointId,
        report: wire::ReportedLoad,
        now: clock::MonotonicTime,
    ) {
        let load = self.loads.entry(id.clone()).or_default();
        let all = report.running + report.waiting;
        load.others = all.saturating_sub(load.own);
        load.reported_at = Some(now);
    }

    /// Records that an endpoint refused a request because all its slots are in use.
    ///
    /// Without this record the endpoint would appear free and would be chosen again at
    /// once, as it refuses faster than it serves.
    pub fn record_full(&mut self, endpoint: &directory::EndpointEntry, now: clock::MonotonicTime) {
        let load = self.loads.entry(endpoint.id.clone()).or_default();
        load.others = load.others.max(endpoint.slots);
        load.reported_at = Some(now);
    }

    /// Discards what is known of an endpoint that has restarted.
    ///
    /// The count of this process's own requests stays, as each of them ends by itself.
    pub fn forget(&mut self, id: &ids::EndpointId) {
        if let Some(load) = self.loads.get_mut(id) {
            load.others = 0;
            load.reported_at = None;
        }
        self.health.forget(id);
        self.reported.forget(id);
    }

    /// Returns the known number of active requests at the endpoint.
    pub fn load_of(&self, id: &ids::EndpointId, now: clock::MonotonicTime) -> u32 {
        let Some(load) = self.loads.get(id) else {
            return 0;
        };
        let is_fresh = |at: clock::MonotonicTime| now.since(at) < REPORT_AGE;
        let others = if load.reported_at.is_some_and(is_fresh) {
            load.others
        } else {
            0
        };
        load.own + others
    }

    /// Discards the endpoints that are no longer listed, except those with active requests.
    pub fn retain(&mut self, listed: impl Fn(&ids::EndpointId) -> bool) {
        self.loads.retain(|id, load| load.own > 0 || listed(id));
        self.health.retain(&listed);
        self.doubts.retain(&listed);
        self.reported.retain(listed);
    }

    /// Returns the endpoints of a list that are ejected for failures.
    ///
    /// Returns none if their share exceeds `MAX_EJECTED_PERCENT`: the fault is then likely
    /// elsewhere, and the other endpoints would be overloaded. `count` is the length of the
    /// list. The cost depends only on the number of ejected endpoints.
    pub fn ejected(
        &self,
        count: usize,
        is_listed: impl Fn(&ids::EndpointId) -> bool,
        now: clock::MonotonicTime,
    ) -> collections::HashSet<ids::EndpointId> {
        let ejected = self.ejected_uncapped(is_listed, now);
        match exceeds_ejection_limit(ejected.len(), count) {
            true => collections::HashSet::new(),
            false => ejected,
        }
    }

    /// Returns the endpoints of a list that are ejected for failures, whatever their share.
    pub fn ejected_uncapped(
        &self,
        is_listed: impl Fn(&ids::EndpointId) -> bool,
        now: clock::MonotonicTime,
    ) -> collections::HashSet<ids::EndpointId> {
        let ejected = self.health.ejected(now).chain(self.reported.ejected(now));
        ejected.filter(|id| is_listed(id)).cloned().collect()
    }

    /// Returns the endpoints of a list that are suspect, or none if their share is too
    /// large: the fault is then likely at this process.
    pub fn suspects(
        &self,
        count: usize,
        is_listed: impl Fn(&ids::EndpointId) -> bool,
        now: clock::MonotonicTime,
    ) -> collections::HashSet<ids::EndpointId> {
        let suspects = self.doubts.suspects(now).filter(|id| is_listed(id));
        let suspects: collections::HashSet<_> = suspects.cloned().collect();
        let is_ignored = exceeds_ejection_limit(suspects.len(), count);
        match is_ignored || protection::is_disabled("endpoint_doubt") {
            true => collections::HashSet::new(),
            false => suspects,
        }
    }

    /// Chooses an endpoint that is not excluded: healthy and trusted ones first, then the
    /// least known load, then those in the given domain, then at random.
    pub fn choose(
        &self,
        candidates: &[rc::Rc<directory::EndpointEntry>],
        is_excluded: impl Fn(&directory::EndpointEntry) -> bool,
        domain: &ids::DomainName,
        now: clock::MonotonicTime,
        rng: &mut impl Rng,
    ) -> Option<rc::Rc<directory::EndpointEntry>> {
        let is_listed = |id: &ids::EndpointId| candidates.iter().any(|e| e.id == *id);
        let mut avoided = self.ejected(candidates.len(), is_listed, now);
        avoided.extend(self.suspects(candidates.len(), is_listed, now));
        let allowed = candidates.iter().filter(|e| !is_excluded(e));
        let chosen = allowed.min_by_key(|e| {
            (
                avoided.contains(&e.id),
                self.load_of(&e.id, now),
                e.domain != *domain,
                rng.random::<u32>(),
            )
        });
        chosen.cloned()
    }
}
