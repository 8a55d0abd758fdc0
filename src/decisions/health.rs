//! Which endpoints are left out for failing, for how long, and how many at once.

use std::{collections, time};

use crate::{clock, ids};

/// Failures in a row that eject an endpoint.
const EJECT_AFTER: u32 = 3;
/// First time out.
const FIRST_EJECTION: time::Duration = time::Duration::from_secs(2);
/// Longest time out.
const LAST_EJECTION: time::Duration = time::Duration::from_secs(30);
/// Share of a service's endpoints that may be out at once, in percent.
const MAX_EJECTED_PERCENT: usize = 50;

#[derive(Debug, Clone, Default)]
struct EndpointHealth {
    failures: u32,
    ejections: u32,
    until: clock::Moment,
}

/// Health of endpoints as one gateway saw it.
#[derive(Debug, Clone, Default)]
pub struct HealthBoard {
    endpoints: collections::HashMap<ids::EndpointId, EndpointHealth>,
}

impl HealthBoard {
    /// Notes an attempt that the endpoint answered.
    pub fn note_success(&mut self, id: &ids::EndpointId) {
        if let Some(health) = self.endpoints.get_mut(id) {
            health.failures = 0;
            health.ejections = health.ejections.saturating_sub(1);
        }
    }

    /// Notes an attempt that failed; ejects after several in a row.
    pub fn note_failure(&mut self, id: &ids::EndpointId, now: clock::Moment) {
        let health = self.endpoints.entry(id.clone()).or_default();
        health.failures += 1;
        if health.failures < EJECT_AFTER {
            return;
        }
        let span = FIRST_EJECTION * 2_u32.saturating_pow(health.ejections.min(8));
        health.until = now + span.min(LAST_EJECTION);
        health.ejections += 1;
        // One more failure after the return ejects again.
        health.failures = EJECT_AFTER - 1;
    }

    /// Notes an endpoint that does not answer at all; ejects it at once.
    pub fn note_silence(&mut self, id: &ids::EndpointId, now: clock::Moment) {
        let health = self.endpoints.entry(id.clone()).or_default();
        health.failures = health.failures.max(EJECT_AFTER - 1);
        self.note_failure(id, now);
    }

    /// Whether the endpoint is out now.
    pub fn is_ejected(&self, id: &ids::EndpointId, now: clock::Moment) -> bool {
        self.endpoints.get(id).is_some_and(|h| h.until > now)
    }

    /// Of `ids`, those that may be used: no more than half are ever left out.
    pub fn usable<'a>(
        &self,
        ids: &[&'a ids::EndpointId],
        now: clock::Moment,
    ) -> Vec<&'a ids::EndpointId> {
        let out = |id: &&&ids::EndpointId| self.is_ejected(id, now);
        let ejected = ids.iter().filter(out).count();
        if ejected * 100 > ids.len() * MAX_EJECTED_PERCENT {
            return ids.to_vec();
        }
        ids.iter().filter(|id| !out(id)).copied().collect()
    }

    /// Forgets the endpoints that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&ids::EndpointId) -> bool) {
        self.endpoints.retain(|id, _| listed(id));
    }
}
