//! Passive health checking: which endpoints are ejected for failures, for how long, and how
//! many at once.

use std::{collections, time};

use crate::{clock, ids};

/// Weight of the latest outcome in the moving average of an endpoint's failures.
///
/// With `EJECTION_THRESHOLD`, three consecutive failures eject a healthy endpoint. An
/// endpoint that fails 40 % of its requests is ejected most of the time, and one that fails 5
/// % is rarely ejected (`tests/endpoint_health.rs`).
const OUTCOME_WEIGHT: f64 = 0.15;
/// Failure rate at which an endpoint is ejected.
const EJECTION_THRESHOLD: f64 = 0.38;
/// Failure rate after two consecutive failures; the next one ejects.
const ONE_BEFORE_EJECTION: f64 = 0.2775;
/// Minimum number of instances that must report failures before reports eject an endpoint: a
/// single reporter may have lost its own connection.
const MIN_REPORTERS: usize = 2;
/// Duration of the first ejection; it doubles each time the endpoint fails again after its
/// return.
///
/// A short duration costs a few requests that probe a lost endpoint early, but soon returns
/// one that was only unreachable or full for a moment. With two seconds, batch work ran out
/// of slots although endpoints were healthy.
const INITIAL_EJECTION: time::Duration = time::Duration::from_millis(500);
/// Maximum duration of an ejection.
const MAX_EJECTION: time::Duration = time::Duration::from_secs(30);
/// Maximum percentage of a service's endpoints that may be ejected at once.
const MAX_EJECTED_PERCENT: usize = 50;

#[derive(Debug, Clone, Default)]
struct EndpointHealth {
    /// Moving average of failures, from 0 to 1.
    failure_rate: f64,
    ejections: u32,
    ejected_until: clock::MonotonicTime,
    /// Instances that reported failures since the last success, up to `MIN_REPORTERS`.
    reporters: Vec<ids::InstanceId>,
}

impl EndpointHealth {
    fn record_failure(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * OUTCOME_WEIGHT;
    }

    fn record_silence(&mut self) {
        self.failure_rate = self.failure_rate.max(ONE_BEFORE_EJECTION);
        self.record_failure();
    }

    fn record_reporter(&mut self, reporter: &ids::InstanceId) {
        if self.reporters.len() < MIN_REPORTERS && !self.reporters.contains(reporter) {
            self.reporters.push(reporter.clone());
        }
    }

    fn eject_if_failing(&mut self, now: clock::MonotonicTime) {
        if self.failure_rate < EJECTION_THRESHOLD {
            return;
        }
        let duration = INITIAL_EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = now + duration.min(MAX_EJECTION);
        self.ejections += 1;
        // One more failure after the ejection ejects the endpoint again.
        self.failure_rate = ONE_BEFORE_EJECTION;
    }
}

/// Failure of an endpoint, as observed by another instance.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FailureReport {
    /// Instance that observed the failure.
    pub reporter: ids::InstanceId,
    /// Whether the endpoint did not respond at all.
    pub is_silent: bool,
}

/// Health of endpoints as observed by one instance.
#[derive(Debug, Clone, Default)]
pub struct HealthTracker {
    endpoints: collections::HashMap<ids::EndpointId, EndpointHealth>,
}

impl HealthTracker {
    /// Records an attempt that the endpoint responded to.
    pub fn record_success(&mut self, id: &ids::EndpointId) {
        if let Some(health) = self.endpoints.get_mut(id) {
            health.failure_rate -= health.failure_rate * OUTCOME_WEIGHT;
            health.reporters.clear();
            health.ejections = health.ejections.saturating_sub(1);
        }
    }

    /// Records a failed attempt; ejects the endpoint if its failure rate is too high.
    pub fn record_failure(&mut self, id: &ids::EndpointId, now: clock::MonotonicTime) {
        let health = self.endpoints.entry(id.clone()).or_default();
        health.record_failure();
        health.eject_if_failing(now);
    }

    /// Records a failure that another instance observed.
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
        if health.reporters.len() >= MIN_REPORTERS {
            health.eject_if_failing(now);
        }
    }

    /// Records that an endpoint did not respond at all, which ejects it at once.
    pub fn record_silence(&mut self, id: &ids::EndpointId, now: clock::MonotonicTime) {
        let health = self.endpoints.entry(id.clone()).or_default();
        health.record_silence();
        health.eject_if_failing(now);
    }

    /// Returns whether the endpoint is ejected.
    pub fn is_ejected(&self, id: &ids::EndpointId, now: clock::MonotonicTime) -> bool {
        self.endpoints
            .get(id)
            .is_some_and(|h| h.ejected_until > now)
    }

    /// Returns the ejected endpoints.
    pub fn ejected(&self, now: clock::MonotonicTime) -> impl Iterator<Item = &ids::EndpointId> {
        let ejected_entries = self
            .endpoints
            .iter()
            .filter(move |(_, h)| h.ejected_until > now);
        ejected_entries.map(|(id, _)| id)
    }

    /// Returns those of `ids` that are not ejected, or all of them if more than
    /// `MAX_EJECTED_PERCENT` are ejected.
    pub fn usable<'a>(
        &self,
        ids: &[&'a ids::EndpointId],
        now: clock::MonotonicTime,
    ) -> Vec<&'a ids::EndpointId> {
        let is_ejected = |id: &&&ids::EndpointId| self.is_ejected(id, now);
        let ejected = ids.iter().filter(is_ejected).count();
        if ejected * 100 > ids.len() * MAX_EJECTED_PERCENT {
            return ids.to_vec();
        }
        ids.iter().filter(|id| !is_ejected(id)).copied().collect()
    }

    /// Removes the record of an endpoint, for one that was restarted.
    pub fn forget(&mut self, id: &ids::EndpointId) {
        self.endpoints.remove(id);
    }

    /// Removes the records of endpoints that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&ids::EndpointId) -> bool) {
        self.endpoints.retain(|id, _| is_listed(id));
    }
}
