//! Which endpoints are left out for failing, for how long, and how many at once.

use std::{collections, time};

use crate::{clock, ids};

/// Weight of the latest outcome in an endpoint's share of failures.
///
/// With the threshold below, three failures in a row eject a sound endpoint,
/// and one that fails four in ten is out for most of the time, while one that
/// fails one in twenty stays in (`tests/endpoint_health.rs`).
const OUTCOME_WEIGHT: f64 = 0.15;
/// Share of failures that ejects an endpoint.
const EJECT_SHARE: f64 = 0.38;
/// Share after two failures: the next one ejects.
const NEARLY_OUT: f64 = 0.2775;
/// Reporters without which a report ejects nothing: the path of one may be cut.
const LEAST_REPORTERS: usize = 2;
/// First time out; it doubles with each return that fails.
///
/// A lost endpoint costs a few requests more for its early tries. One that was
/// only cut off or full for a moment is used again soon: with two seconds, batch
/// work lacked the places of sound endpoints.
const FIRST_EJECTION: time::Duration = time::Duration::from_millis(500);
/// Longest time out.
const LAST_EJECTION: time::Duration = time::Duration::from_secs(30);
/// Share of a service's endpoints that may be out at once, in percent.
const MAX_EJECTED_PERCENT: usize = 50;

#[derive(Debug, Clone, Default)]
struct EndpointHealth {
    /// Share of failures among the latest outcomes, 0 to 1.
    failing: f64,
    ejections: u32,
    until: clock::MonotonicTime,
    /// The first few instances that reported failures since the last success.
    reporters: Vec<ids::InstanceId>,
}

impl EndpointHealth {
    fn record_failure(&mut self) {
        self.failing += (1.0 - self.failing) * OUTCOME_WEIGHT;
    }

    fn record_silence(&mut self) {
        self.failing = self.failing.max(NEARLY_OUT);
        self.record_failure();
    }

    fn record_reporter(&mut self, reporter: &ids::InstanceId) {
        if self.reporters.len() < LEAST_REPORTERS && !self.reporters.contains(reporter) {
            self.reporters.push(reporter.clone());
        }
    }

    fn eject_if_failing(&mut self, now: clock::MonotonicTime) {
        if self.failing < EJECT_SHARE {
            return;
        }
        let duration = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        self.until = now + duration.min(LAST_EJECTION);
        self.ejections += 1;
        // One more failure after the return ejects again.
        self.failing = NEARLY_OUT;
    }
}

/// A failure that another instance saw at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FailureReport {
    /// Who saw it.
    pub reporter: ids::InstanceId,
    /// Whether the endpoint did not answer at all.
    pub is_silent: bool,
}

/// Health of endpoints as one instance sees it.
#[derive(Debug, Clone, Default)]
pub struct HealthTracker {
    endpoints: collections::HashMap<ids::EndpointId, EndpointHealth>,
}

impl HealthTracker {
    /// Notes an attempt that the endpoint answered.
    pub fn record_success(&mut self, id: &ids::EndpointId) {
        if let Some(health) = self.endpoints.get_mut(id) {
            health.failing -= health.failing * OUTCOME_WEIGHT;
            health.reporters.clear();
            health.ejections = health.ejections.saturating_sub(1);
        }
    }

    /// Notes an attempt that failed; ejects when too many do.
    pub fn record_failure(&mut self, id: &ids::EndpointId, now: clock::MonotonicTime) {
        let health = self.endpoints.entry(id.clone()).or_default();
        health.record_failure();
        health.eject_if_failing(now);
    }

    /// Notes a failure that another instance saw.
    pub fn record_report(
        &mut self,
        id: &ids::EndpointId,
        report: &FailureReport,
        now: clock::MonotonicTime,
    ) {
        let health = self.endpoints.entry(id.clone()).or_default();
        health.record_reporter(&report.reporter);
        match report.is_silent {
            true => health.record_silence(),
            false => health.record_failure(),
        }
        if health.reporters.len() >= LEAST_REPORTERS {
            health.eject_if_failing(now);
        }
    }

    /// Notes an endpoint that does not answer at all; ejects it at once.
    pub fn record_silence(&mut self, id: &ids::EndpointId, now: clock::MonotonicTime) {
        let health = self.endpoints.entry(id.clone()).or_default();
        health.record_silence();
        health.eject_if_failing(now);
    }

    /// Whether the endpoint is out now.
    pub fn is_ejected(&self, id: &ids::EndpointId, now: clock::MonotonicTime) -> bool {
        self.endpoints.get(id).is_some_and(|h| h.until > now)
    }

    /// The endpoints that are out now.
    pub fn ejected(&self, now: clock::MonotonicTime) -> impl Iterator<Item = &ids::EndpointId> {
        let out = self.endpoints.iter().filter(move |(_, h)| h.until > now);
        out.map(|(id, _)| id)
    }

    /// Of `ids`, those that may be used: no more than half are ever left out.
    pub fn usable<'a>(
        &self,
        ids: &[&'a ids::EndpointId],
        now: clock::MonotonicTime,
    ) -> Vec<&'a ids::EndpointId> {
        let out = |id: &&&ids::EndpointId| self.is_ejected(id, now);
        let ejected = ids.iter().filter(out).count();
        if ejected * 100 > ids.len() * MAX_EJECTED_PERCENT {
            return ids.to_vec();
        }
        ids.iter().filter(|id| !out(id)).copied().collect()
    }

    /// Forgets an endpoint, as it started again.
    pub fn forget(&mut self, id: &ids::EndpointId) {
        self.endpoints.remove(id);
    }

    /// Forgets the endpoints that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&ids::EndpointId) -> bool) {
        self.endpoints.retain(|id, _| listed(id));
    }
}
