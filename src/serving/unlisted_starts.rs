//! Endpoints that may have started again while the list still shows their earlier start.
//!
//! An endpoint that starts again under its name may run other software from then on, and does
//! not check which one began a stream. Until the list shows its new start, only the failure of
//! the earlier one tells.

use std::{collections, time};

use super::endpoint_entry;
use crate::{clock, ids};

/// Time within which the list shows the start of an endpoint: it registers when it starts, and
/// its entry is known everywhere within a second.
pub const LISTING_TIME: time::Duration = time::Duration::from_secs(1);

/// Time for which bytes of a run may be in transit after its end.
const TRANSIT_TIME: time::Duration = time::Duration::from_millis(150);

/// Failures of endpoints by their listed start.
#[derive(Debug, Default)]
pub struct UnlistedStarts {
    failures: collections::HashMap<ids::EndpointId, (ids::StartTime, clock::MonotonicTime)>,
}

impl UnlistedStarts {
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

    /// Returns whether an endpoint may run other software than its entry shows.
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
        self.failures.keys()
    }

    /// Forgets failures after which the list has shown any new start.
    pub fn expire(&mut self, now: clock::MonotonicTime) {
        self.failures
            .retain(|_, (_, at)| now.since(*at) < LISTING_TIME);
    }
}
