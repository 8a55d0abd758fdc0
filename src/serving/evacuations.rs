//! Failure domains that are evacuated: their endpoints get no new work.

use std::collections;

use crate::ids;

/// Evacuated failure domains at a revision of the store.
///
/// Each heartbeat carries the set, so it must stay small; it is usually empty.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EvacuationSet {
    /// Revision of the store that the set reflects; 0 if it has never been read.
    pub revision: u64,
    /// The evacuated domains.
    pub domains: collections::BTreeSet<ids::DomainName>,
}

impl EvacuationSet {
    /// Returns whether the set has been read, by this process or by the peer that sent it.
    pub fn is_known(&self) -> bool {
        self.revision > 0
    }

    /// Returns this set after changes up to a later revision; `true` means evacuated.
    pub fn with_changes(
        &self,
        revision: u64,
        changes: impl IntoIterator<Item = (ids::DomainName, bool)>,
    ) -> Self {
        let mut domains = self.domains.clone();
        for (domain, is_evacuated) in changes {
            match is_evacuated {
                true => domains.insert(domain),
                false => domains.remove(&domain),
            };
        }
        Self { revision, domains }
    }
}
