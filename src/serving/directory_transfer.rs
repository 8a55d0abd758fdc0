//! Transfer of the list of endpoints between processes: the changes since a revision, or
//! the whole list where these are no longer known.

use std::collections;

use super::endpoint_entry::EndpointEntry;
use crate::ids;

/// Number of changes that are kept for peers. A fleet that replaces a tenth of 20,000
/// endpoints within a few seconds stays below it.
const MAX_LOGGED_CHANGES: usize = 4096;

/// Whole list for a peer.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct DirectorySnapshot {
    /// Revision of the list, see [`super::fleet_model::FleetModel::revision`].
    pub revision: u64,
    /// All entries, including expired ones.
    pub entries: Vec<EndpointEntry>,
    /// Names of removed entries that are kept for a grace period because they may have
    /// expired during a store outage.
    pub expired: Vec<ids::EndpointId>,
}

/// Changes of the list since a revision that a peer has.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct DirectoryDelta {
    /// Revision of the list after the changes.
    pub revision: u64,
    /// Digest of the list after the changes.
    pub digest: u64,
    /// Entries that were added or have changed.
    pub changed: Vec<EndpointEntry>,
    /// Names of the removed entries.
    pub removed: Vec<ids::EndpointId>,
    /// See [`DirectorySnapshot::expired`].
    pub expired: Vec<ids::EndpointId>,
}

/// Response to a peer that requests the list.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub enum DirectoryUpdate {
    /// The changes since the revision of the requester.
    Delta(DirectoryDelta),
    /// The whole list.
    Whole(DirectorySnapshot),
}

/// Names of the endpoints that changed recently, with the revision of the list at which each
/// did.
///
/// Invariants: revisions never decrease; the log holds all changes after `complete_since`.
#[derive(Debug, Default)]
pub struct ChangeLog {
    changes: collections::VecDeque<(u64, ids::EndpointId)>,
    complete_since: u64,
}

impl ChangeLog {
    /// Forgets all changes, as the list was replaced by another one of this revision.
    pub fn restart(&mut self, revision: u64) {
        self.changes.clear();
        self.complete_since = revision;
    }

    /// Records a change of an endpoint.
    pub fn record(&mut self, revision: u64, id: ids::EndpointId) {
        if self.changes.len() >= MAX_LOGGED_CHANGES {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.complete_since = revision;
            }
        }
        self.changes.push_back((revision, id));
    }

    /// Returns the endpoints that changed after a revision, or `None` if not all of them are
    /// known.
    pub fn since(&self, revision: u64) -> Option<collections::BTreeSet<&ids::EndpointId>> {
        if revision < self.complete_since || revision == 0 {
            return None;
        }
        let from = self.changes.partition_point(|(at, _)| *at <= revision);
        let recent = self.changes.range(from..);
        Some(recent.map(|(_, id)| id).collect())
    }
}
