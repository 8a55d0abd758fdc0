//! Listed starts of endpoints on which this process relies when a text begins there.
//!
//! An endpoint that starts again under its name breaks off what it ran, which the processes that
//! used it notice. So a listed start is relied on until the endpoint fails, and again once the
//! endpoint has confirmed it. A process that was away has noticed nothing, and relies on no start
//! that is not confirmed.

use std::collections;

use super::endpoint_entry;
use crate::ids;

/// What is known of a listed start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StartEvidence {
    /// The endpoint reported it, and has not failed since.
    Confirmed,
    /// The endpoint has failed since.
    Failed,
}

/// Evidence for the listed starts of endpoints.
#[derive(Debug, Default)]
pub struct StartConfirmations {
    /// Whether no endpoint ran before this process, so that none has started again unnoticed.
    is_complete: bool,
    /// Evidence by endpoint, for the start in the entry at that time.
    evidence: collections::HashMap<ids::EndpointId, (ids::StartTime, StartEvidence)>,
}

impl StartConfirmations {
    /// Returns confirmations without evidence; `is_complete` states that no endpoint ran before.
    pub fn new(is_complete: bool) -> Self {
        Self {
            is_complete,
            evidence: collections::HashMap::new(),
        }
    }

    /// Records that an endpoint with a listed start failed.
    pub fn record_failure(&mut self, endpoint: &ids::EndpointId, started: ids::StartTime) {
        let evidence = (started, StartEvidence::Failed);
        self.evidence.insert(endpoint.clone(), evidence);
    }

    /// Records that the endpoint of a run has the start with which it is listed.
    pub fn record_confirmed(&mut self, run: ids::EndpointRun) {
        if let Some(started) = run.started {
            let evidence = (started, StartEvidence::Confirmed);
            self.evidence.insert(run.endpoint, evidence);
        }
    }

    /// Returns whether an endpoint may have started again since the start in its entry. Without
    /// one, each start has a name of its own.
    pub fn is_doubtful(&self, entry: &endpoint_entry::EndpointEntry) -> bool {
        let Some(listed) = entry.started else {
            return false;
        };
        match self.evidence.get(&entry.id) {
            Some((started, evidence)) if *started == listed => *evidence == StartEvidence::Failed,
            _ => !self.is_complete,
        }
    }

    /// Discards the evidence for endpoints that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&ids::EndpointId) -> bool) {
        self.evidence.retain(|id, _| is_listed(id));
    }
}
