//! Endpoints that may have started again while the list still shows their earlier start.
//!
//! An endpoint that starts again under its name may run other software from then on, and does
//! not check which one began a stream. Until the list shows its new start, only the failure of
//! the earlier one tells.

use std::{collections, time};

use super::endpoint_entry;
use crate::{clock, ids};

/// Time within which the list shows the start of an endpoint: it registers when it starts, and
/// its entry reaches every process within a second or two.
const LISTING_TIME: time::Duration = time::Duration::from_secs(3);

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

    /// Returns whether an endpoint may run other software than its entry shows.
    pub fn may_include(
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
