//! Doubt about endpoints: which ones are suspect after a failure, and which requests may
//! still be sent there.
//!
//! An endpoint is suspect from a failure until a later sign of life. Requests that allow
//! only one attempt are lost if they are sent to a dead endpoint, so they avoid suspect
//! endpoints; repeatable requests probe them one at a time.

use std::{collections, time};

use super::admission;
use crate::{clock, ids};

/// Maximum time for which an endpoint is suspect after its last failure.
///
/// Requests time out after about 5 s, so the requests that were under way at the failure have
/// ended by then, and each of them has reported a failure or a sign of life.
pub const MAX_DOUBT: time::Duration = time::Duration::from_secs(5);

/// Minimum time between a failure and the next probe.
///
/// An endpoint that resets connections frees the slot of a probe within 2 ms and would get
/// each repeatable request. A third of an objective of 300 ms finds a returned endpoint
/// before the next request to it would be late.
pub const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Minimum time between a failure and the next request that accepts a suspect endpoint as
/// all others are full.
///
/// Such a request is likely lost if the endpoint is dead, while a refused one is retried by
/// its caller. An endpoint that is only slow gives a sign of life within the longest gap
/// between events, 500 ms.
pub const FALLBACK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Evidence of a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureEvidence {
    /// The connection was reset or closed, or the response was unusable.
    Broken,
    /// No connection was established, or a stream broke off without a response.
    Unreachable,
    /// A response or an event is overdue.
    Silent,
}

impl FailureEvidence {
    /// Returns the name for log lines and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Unreachable => "unreachable",
            Self::Silent => "silent",
        }
    }
}

/// Which endpoints with failures a request accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum SuspectUse {
    /// None: it has one attempt left, and other owners have not been asked yet.
    Avoid,
    /// A suspect one as a probe: it may run again elsewhere.
    Probe,
    /// A slow one: no queried owner has a free slot elsewhere. Endpoints are slow when demand
    /// exceeds the capacity, and without their slots even more requests would be refused.
    Slow,
    /// An ejected one, and a suspect one as a rare probe: no queried owner has a free slot
    /// elsewhere, but some have trusted endpoints. An endpoint that resets connections is
    /// always free, and would get all requests beyond the capacity of the others.
    Fallback,
    /// Any: all endpoints of the queried owners are suspect or ejected.
    Any,
}

/// Why and since when an endpoint is suspect.
#[derive(Debug, Clone)]
struct DoubtEntry {
    /// Time of the first failure since the last sign of life.
    since: clock::MonotonicTime,
    /// Time of the last failure.
    failed_at: clock::MonotonicTime,
    /// Whether a failure since the last sign of life lost its request; otherwise responses
    /// are only overdue, and the endpoint may be slow.
    is_broken: bool,
    /// Request that probes the endpoint now.
    probe: Option<admission::PermitNumber>,
}

/// The suspect endpoints as known to one process.
///
/// Invariant: it holds an entry for each endpoint without a sign of life since its last
/// failure, and for no other.
#[derive(Debug, Default)]
pub struct DoubtTable {
    entries: collections::HashMap<ids::EndpointId, DoubtEntry>,
}

impl DoubtTable {
    /// Records a failure; returns whether the endpoint has become suspect by it.
    pub fn record_failure(
        &mut self,
        id: &ids::EndpointId,
        evidence: FailureEvidence,
        now: clock::MonotonicTime,
    ) -> bool {
        let was_suspect = self.is_suspect(id, now);
        let fresh_entry = DoubtEntry {
            since: now,
            failed_at: now,
            is_broken: false,
            probe: None,
        };
        let entry = self.entries.entry(id.clone()).or_insert(fresh_entry);
        entry.failed_at = entry.failed_at.max(now);
        if !was_suspect {
            entry.since = now;
            entry.is_broken = false;
        }
        entry.is_broken |= evidence != FailureEvidence::Silent;
        !was_suspect
    }

    /// Records a sign of life; returns for how long the endpoint was suspect, if it was.
    pub fn record_life(
        &mut self,
        id: &ids::EndpointId,
        now: clock::MonotonicTime,
    ) -> Option<time::Duration> {
        let entry = self.entries.remove(id)?;
        Some(now.since(entry.since))
    }

    /// Returns whether the endpoint is suspect.
    pub fn is_suspect(&self, id: &ids::EndpointId, now: clock::MonotonicTime) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| now.since(entry.failed_at) < MAX_DOUBT)
    }

    /// Returns whether the endpoint is suspect because a request was lost there.
    pub fn is_broken(&self, id: &ids::EndpointId, now: clock::MonotonicTime) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| entry.is_broken) && self.is_suspect(id, now)
    }

    /// Returns whether a request may be sent to the endpoint.
    pub fn admits(
        &self,
        id: &ids::EndpointId,
        use_of_suspects: SuspectUse,
        now: clock::MonotonicTime,
    ) -> bool {
        let Some(entry) = self.entries.get(id).filter(|_| self.is_suspect(id, now)) else {
            return true;
        };
        let interval = match use_of_suspects {
            SuspectUse::Any => return true,
            SuspectUse::Avoid => return false,
            SuspectUse::Probe => PROBE_INTERVAL,
            SuspectUse::Slow => return !entry.is_broken,
            SuspectUse::Fallback if !entry.is_broken => return true,
            SuspectUse::Fallback => FALLBACK_INTERVAL,
        };
        entry.probe.is_none() && now.since(entry.failed_at) >= interval
    }

    /// Records that a request is sent to the endpoint; returns whether the endpoint is
    /// suspect, so that the request is its probe.
    pub fn begin(
        &mut self,
        id: &ids::EndpointId,
        number: admission::PermitNumber,
        now: clock::MonotonicTime,
    ) -> bool {
        if !self.is_suspect(id, now) {
            return false;
        }
        if let Some(entry) = self.entries.get_mut(id) {
            entry.probe.get_or_insert(number);
        }
        true
    }

    /// Records that a request has ended, which allows the next probe if it was one.
    pub fn end(&mut self, id: &ids::EndpointId, number: admission::PermitNumber) {
        if let Some(entry) = self.entries.get_mut(id) {
            if entry.probe == Some(number) {
                entry.probe = None;
            }
        }
    }

    /// Allows the next probe of an endpoint that has restarted: the request that probed the
    /// earlier run ends without a word about this one.
    pub fn clear_probe(&mut self, id: &ids::EndpointId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.probe = None;
        }
    }

    /// Returns the endpoints that are suspect.
    pub fn suspects(&self, now: clock::MonotonicTime) -> impl Iterator<Item = &ids::EndpointId> {
        let entries = self.entries.iter();
        let suspects = entries.filter(move |(_, e)| now.since(e.failed_at) < MAX_DOUBT);
        suspects.map(|(id, _)| id)
    }

    /// Removes and returns the endpoints without a further failure or sign of life within
    /// `MAX_DOUBT` of their last failure.
    pub fn take_expired(&mut self, now: clock::MonotonicTime) -> Vec<ids::EndpointId> {
        let mut expired = Vec::new();
        self.entries.retain(|id, entry| {
            let is_kept = now.since(entry.failed_at) < MAX_DOUBT;
            if !is_kept {
                expired.push(id.clone());
            }
            is_kept
        });
        expired
    }

    /// Removes the endpoints for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&ids::EndpointId) -> bool) {
        self.entries.retain(|id, _| is_kept(id));
    }

    /// Removes an endpoint.
    pub fn forget(&mut self, id: &ids::EndpointId) {
        self.entries.remove(id);
    }
}
