//! Index of the workspaces of a desired state by key and by ID.

use std::{collections, sync};

use super::api_key;
use crate::{decisions::rate_limits::rate_limit, ids};

/// Specification of a workspace.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct WorkspaceSpec {
    /// ID of the workspace.
    pub id: ids::WorkspaceId,
    /// Digests of the workspace's API keys.
    pub keys: Vec<api_key::KeyDigest>,
    /// Priority of its requests, 0 first, which overrides that of the route.
    pub priority: Option<u32>,
    /// Rate limit of its requests over all gateways together, if there is one.
    pub limit: Option<rate_limit::RateLimit>,
}

/// Index of workspaces by key and by ID.
///
/// Invariant: `by_key` contains only workspaces of `by_id`.
#[derive(Debug, Default)]
pub struct WorkspaceTable {
    is_required: bool,
    by_key: collections::HashMap<api_key::KeyDigest, sync::Arc<WorkspaceSpec>>,
    by_id: collections::HashMap<ids::WorkspaceId, sync::Arc<WorkspaceSpec>>,
}

impl WorkspaceTable {
    /// Creates a table. Without a list of workspaces, requests need no key.
    ///
    /// A key that several workspaces list belongs to the first of them.
    pub fn new(workspaces: Option<&[WorkspaceSpec]>) -> Self {
        let mut table = Self {
            is_required: workspaces.is_some(),
            ..Self::default()
        };
        for spec in workspaces.unwrap_or_default() {
            table.add(sync::Arc::new(spec.clone()));
        }
        table
    }

    fn add(&mut self, spec: sync::Arc<WorkspaceSpec>) {
        for key in &spec.keys {
            let holder = self.by_key.entry(*key).or_insert_with(|| spec.clone());
            if holder.id != spec.id {
                log::error!(
                    "event=key_ambiguous key={key:?} workspace={} refused_to={}",
                    holder.id,
                    spec.id
                );
            }
        }
        self.by_id.insert(spec.id.clone(), spec);
    }

    /// Returns whether requests to routes that are not public need a key.
    pub fn is_required(&self) -> bool {
        self.is_required
    }

    /// Returns the workspace that a key belongs to.
    pub fn find(&self, key: &api_key::KeyDigest) -> Option<&sync::Arc<WorkspaceSpec>> {
        self.by_key.get(key)
    }

    /// Returns the workspace with an ID.
    pub fn get(&self, id: &ids::WorkspaceId) -> Option<&sync::Arc<WorkspaceSpec>> {
        self.by_id.get(id)
    }

    /// Returns the number of workspaces.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether there are no workspaces.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
