//! Which endpoint a request goes to, from what this process knows itself.

use std::{collections, rc, time};

use rand::Rng;

use super::{directory, wire};
use crate::{clock, decisions::health, ids};

/// Age after which an endpoint's own report says nothing more: requests last about this long.
const REPORT_AGE: time::Duration = time::Duration::from_millis(500);

/// Share of a service's endpoints that may be left out at once, in percent.
const MAX_SHUNNED_PERCENT: usize = 40;

/// What is known of the load of one endpoint.
#[derive(Debug, Clone, Default)]
struct EndpointLoad {
    /// Requests of this process under way.
    own: u32,
    /// Requests of others under way at the latest report.
    others: u32,
    reported_at: Option<clock::MonotonicTime>,
}

/// Loads and health of endpoints, as one process sees them.
#[derive(Debug, Default)]
pub struct LoadBoard {
    loads: collections::HashMap<ids::EndpointId, EndpointLoad>,
    /// Which endpoints are left out for failing this process.
    pub health: health::HealthTracker,
    /// Which owned endpoints are left out for failing those who got places there.
    reported: health::HealthTracker,
}

impl LoadBoard {
    /// Counts a request that goes to the endpoint.
    pub fn begin(&mut self, id: &ids::EndpointId) {
        match self.loads.get_mut(id) {
            Some(load) => load.own += 1,
            None => self.loads.entry(id.clone()).or_default().own = 1,
        }
    }

    /// Takes the word of a holder of a place that the endpoint served it.
    pub fn record_served(&mut self, id: &ids::EndpointId) {
        self.reported.record_success(id);
    }

    /// Takes the word of a holder of a place that the endpoint failed; says
    /// whether the endpoint is left out for it from now on.
    pub fn record_peer_failure(
        &mut self,
        id: &ids::EndpointId,
        failure: &health::FailureReport,
        now: clock::MonotonicTime,
    ) -> bool {
        let before = self.reported.is_ejected(id, now);
        self.reported.record_report(id, failure, now);
        !before && self.reported.is_ejected(id, now)
    }

    /// Counts the end of a request.
    pub fn end(&mut self, id: &ids::EndpointId) {
        if let Some(load) = self.loads.get_mut(id) {
            load.own = load.own.saturating_sub(1);
        }
    }

    /// Takes an endpoint's own report.
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

    /// Takes an endpoint's refusal: it had as many requests as it takes.
    ///
    /// Without it the endpoint would look free to this process, and its refusals fast.
    pub fn record_full(&mut self, endpoint: &directory::EndpointEntry, now: clock::MonotonicTime) {
        let load = self.loads.entry(endpoint.id.clone()).or_default();
        load.others = load.others.max(endpoint.slots);
        load.reported_at = Some(now);
    }

    /// Forgets what was learned of an endpoint that started again, but for the
    /// requests of this process, which end by themselves.
    pub fn forget(&mut self, id: &ids::EndpointId) {
        if let Some(load) = self.loads.get_mut(id) {
            load.others = 0;
            load.reported_at = None;
        }
        self.health.forget(id);
        self.reported.forget(id);
    }

    /// Requests at the endpoint, as far as known.
    pub fn load_of(&self, id: &ids::EndpointId, now: clock::MonotonicTime) -> u32 {
        let Some(load) = self.loads.get(id) else {
            return 0;
        };
        let fresh = |at: clock::MonotonicTime| now.since(at) < REPORT_AGE;
        let others = if load.reported_at.is_some_and(fresh) {
            load.others
        } else {
            0
        };
        load.own + others
    }

    /// Forgets the endpoints that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&ids::EndpointId) -> bool) {
        self.loads.retain(|id, load| load.own > 0 || listed(id));
        self.health.retain(&listed);
        self.reported.retain(listed);
    }

    /// Endpoints of a list that are left out for failing; none if they are too
    /// many, as then the fault is likely elsewhere and the others would be flooded.
    ///
    /// `count` is the length of the list. Only those that failed are walked over.
    pub fn shunned(
        &self,
        count: usize,
        is_listed: impl Fn(&ids::EndpointId) -> bool,
        now: clock::MonotonicTime,
    ) -> collections::HashSet<ids::EndpointId> {
        let out = self.health.ejected(now).chain(self.reported.ejected(now));
        let out: collections::HashSet<_> = out.filter(|id| is_listed(id)).cloned().collect();
        match out.len() * 100 > count * MAX_SHUNNED_PERCENT {
            true => collections::HashSet::new(),
            false => out,
        }
    }

    /// The endpoint with the least known load: healthy and untried ones first,
    /// near ones among equals, then any.
    pub fn choose(
        &self,
        candidates: &[rc::Rc<directory::EndpointEntry>],
        tried: &[ids::EndpointId],
        near: &ids::DomainName,
        now: clock::MonotonicTime,
        rng: &mut impl Rng,
    ) -> Option<rc::Rc<directory::EndpointEntry>> {
        let is_listed = |id: &ids::EndpointId| candidates.iter().any(|e| e.id == *id);
        let shunned = self.shunned(candidates.len(), is_listed, now);
        let untried = candidates.iter().filter(|e| !tried.contains(&e.id));
        let chosen = untried.min_by_key(|e| {
            (
                shunned.contains(&e.id),
                self.load_of(&e.id, now),
                e.domain != *near,
                rng.random::<u32>(),
            )
        });
        chosen.cloned()
    }
}
