//! Endpoints that may have started again while the list still shows their earlier start.
//!
//! An endpoint that starts again under its name may run other software from then on, and does
//! not check which one began a stream. Until the list shows its new start, only the failure of
//! the earlier one tells.

use std::{collections, time};

use super::{endpoint_entry, start_confirmations};
use crate::{clock, ids};

/// Time within which the list shows the start of an endpoint: it registers when it starts, and
/// its entry is known everywhere within a second.
pub const LISTING_TIME: time::Duration = time::Duration::from_secs(1);

/// Time for which bytes of a run may be in transit after its end.
const TRANSIT_TIME: time::Duration = time::Duration::from_millis(150);

/// Time for which the report of another start is kept. While the list still shows the earlier
/// start, the next check finds it again.
const RESTART_RETENTION: time::Duration = time::Duration::from_secs(60);

/// Start that an endpoint has reported and that the list did not show.
#[derive(Debug, Clone, Copy)]
struct ReportedRestart {
    /// Start that was listed.
    listed: ids::StartTime,
    /// Earliest one that was reported meanwhile.
    reported: ids::StartTime,
    at: clock::MonotonicTime,
}

/// Signs that endpoints have started again, by their listed start.
#[derive(Debug, Default)]
pub struct UnlistedStarts {
    /// Failures, after which an endpoint may have started again.
    failures: collections::HashMap<ids::EndpointId, (ids::StartTime, clock::MonotonicTime)>,
    /// Starts that endpoints have reported.
    restarts: collections::HashMap<ids::EndpointId, ReportedRestart>,
    /// Listed starts that are relied on.
    confirmations: start_confirmations::StartConfirmations,
}

impl UnlistedStarts {
    /// Returns a record without signs; `is_complete` states that no endpoint ran before this
    /// process.
    pub fn new(is_complete: bool) -> Self {
        Self {
            confirmations: start_confirmations::StartConfirmations::new(is_complete),
            ..Self::default()
        }
    }

    /// Records that a run of an endpoint failed.
    ///
    /// Without a start time each start has a name of its own, which an attempt names as well.
    pub fn record_failure(
        &mut self,
        endpoint: &ids::EndpointId,
        started: Option<ids::StartTime>,
        now: clock::MonotonicTime,
    ) {
        if let Some(started) = started {
            self.failures.insert(endpoint.clone(), (started, now));
            self.confirmations.record_failure(endpoint, started);
        }
    }

    /// Records that an endpoint went on with a run that was there at `since`: if it failed
    /// between, it has not started again.
    pub fn record_life(
        &mut self,
        endpoint: &ids::EndpointId,
        since: clock::MonotonicTime,
        now: clock::MonotonicTime,
    ) {
        let failure = self.failures.get(endpoint);
        if failure.is_some_and(|(_, at)| since < *at && now.since(*at) > TRANSIT_TIME) {
            self.failures.remove(endpoint);
        }
    }

    /// Records that the endpoint of a run has the start with which it is listed.
    pub fn record_confirmed(&mut self, run: ids::EndpointRun) {
        self.confirmations.record_confirmed(run);
    }

    /// Records that the endpoint of a listed run reports another start.
    pub fn record_restart(
        &mut self,
        run: ids::EndpointRun,
        reported: ids::StartTime,
        now: clock::MonotonicTime,
    ) {
        let Some(listed) = run.started else {
            return;
        };
        let earlier = self.reported_start(&run.endpoint, Some(listed));
        let restart = ReportedRestart {
            listed,
            reported: earlier.map_or(reported, |earlier| earlier.min(reported)),
            at: now,
        };
        self.restarts.insert(run.endpoint, restart);
    }

    /// Returns whether an endpoint may have started again since the start in its entry, unnoticed
    /// by this process.
    pub fn is_doubtful(&self, entry: &endpoint_entry::EndpointEntry) -> bool {
        let reported = self.reported_start(&entry.id, entry.started);
        reported.is_none() && self.confirmations.is_doubtful(entry)
    }

    /// Returns the earliest start that an endpoint has reported, if the list still shows one
    /// before it.
    pub fn reported_start(
        &self,
        endpoint: &ids::EndpointId,
        listed: Option<ids::StartTime>,
    ) -> Option<ids::StartTime> {
        let restart = self.restarts.get(endpoint);
        let restart = restart.filter(|restart| listed == Some(restart.listed));
        restart.map(|restart| restart.reported)
    }

    /// Returns the endpoints that have reported a start that the list did not show.
    pub fn restarted(&self) -> impl Iterator<Item = &ids::EndpointId> {
        self.restarts.keys()
    }

    /// Returns whether an endpoint may run other software than its entry shows, by a failure.
    pub fn is_uncertain(
        &self,
        entry: &endpoint_entry::EndpointEntry,
        now: clock::MonotonicTime,
    ) -> bool {
        let failure = self.failures.get(&entry.id);
        failure.is_some_and(|(started, at)| {
            entry.started == Some(*started) && now.since(*at) < LISTING_TIME
        })
    }

    /// Returns the endpoints that may have started again.
    pub fn candidates(&self) -> impl Iterator<Item = &ids::EndpointId> {
        let failed = self.failures.keys();
        let restarted = self.restarts.keys();
        failed.chain(restarted.filter(|id| !self.failures.contains_key(*id)))
    }

    /// Forgets failures after which the list has shown any new start, and endpoints that are no
    /// longer listed.
    pub fn expire(
        &mut self,
        now: clock::MonotonicTime,
        is_listed: impl Fn(&ids::EndpointId) -> bool,
    ) {
        self.confirmations.retain(is_listed);
        self.failures
            .retain(|_, (_, at)| now.since(*at) < LISTING_TIME);
        self.restarts
            .retain(|_, restart| now.since(restart.at) < RESTART_RETENTION);
    }
}
