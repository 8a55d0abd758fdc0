//! Speeds of the owned endpoints, learned from the runs there.

use std::{collections, time};

use super::{ledger::LoggedSpeed, PermitTable, SpeedChange};
use crate::{
    clock,
    decisions::{endpoint_choice, endpoint_speed},
    ids,
};

/// Factor by which an endpoint's learned run times must change to be logged.
const LOGGED_SPEED_FACTOR: f64 = 1.25;
/// Minimum interval between two log lines about the speed of one endpoint.
const SPEED_LOG_INTERVAL: time::Duration = time::Duration::from_secs(10);

impl PermitTable {
    /// Returns what the owned endpoints of a service have in common in their speed.
    pub(super) fn speed_scale(
        &self,
        service: &ids::ServiceName,
        now: clock::MonotonicTime,
    ) -> endpoint_choice::SpeedScale {
        let owned = self
            .ledgers
            .values()
            .filter(|o| o.entry.service == *service);
        endpoint_choice::SpeedScale::new(owned.map(|owned| owned.candidate(now)))
    }

    /// Records what the holder of a slot observed of a run at an owned endpoint.
    ///
    /// Returns the change of its learned speed if it is large, at most once in
    /// [`SPEED_LOG_INTERVAL`].
    pub fn record_run(
        &mut self,
        endpoint: &ids::EndpointId,
        observation: &endpoint_speed::RunObservation,
        now: clock::MonotonicTime,
    ) -> Option<SpeedChange> {
        let owned = self.ledgers.get_mut(endpoint)?;
        let service = owned.entry.service.clone();
        let reference = self.references.entry(service.clone()).or_default();
        owned.speed.record_run(reference, observation, now);
        let logged = owned.logged_speed;
        if logged
            .at
            .is_some_and(|at| now.since(at) < SPEED_LOG_INTERVAL)
        {
            return None;
        }
        let scale = self.speed_scale(&service, now);
        let owned = self.ledgers.get_mut(endpoint)?;
        let base = scale.base(&owned.speed.estimate(now));
        if (base.0 - logged.base.0).abs() < LOGGED_SPEED_FACTOR.ln() {
            return None;
        }
        owned.logged_speed = LoggedSpeed {
            base,
            at: Some(now),
        };
        Some(SpeedChange {
            service,
            before: logged.base.ratio(),
            now: base.ratio(),
        })
    }

    /// Records a slowdown that an endpoint reported; does nothing if it is not owned.
    pub fn record_slowdown(
        &mut self,
        endpoint: &ids::EndpointId,
        report: endpoint_speed::SlowdownReport,
        now: clock::MonotonicTime,
    ) {
        if let Some(owned) = self.ledgers.get_mut(endpoint) {
            owned.speed.record_slowdown(report, now);
        }
    }

    /// Returns the speeds of the slowest and the fastest owned endpoint of each service,
    /// relative to their mean.
    pub fn speed_ratios(&self, now: clock::MonotonicTime) -> Vec<(ids::ServiceName, f64, f64)> {
        let mut ratios = collections::BTreeMap::new();
        let mut scales = collections::HashMap::new();
        for owned in self.ledgers.values() {
            let service = &owned.entry.service;
            let scale = scales
                .entry(service)
                .or_insert_with(|| self.speed_scale(service, now));
            let speed = 1.0 / scale.base(&owned.speed.estimate(now)).ratio();
            let (slowest, fastest) = ratios.entry(service).or_insert((speed, speed));
            *slowest = speed.min(*slowest);
            *fastest = speed.max(*fastest);
        }
        let ratios = ratios.into_iter();
        let ratios =
            ratios.map(|(service, (slowest, fastest))| (service.clone(), slowest, fastest));
        ratios.collect()
    }
}
