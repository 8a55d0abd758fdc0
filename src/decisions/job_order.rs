//! Which job a dispatcher works on next: least slack first, fair over workspaces.

use std::collections;

use super::job;
use crate::ids;

/// Share of its window that a job must have left not to be urgent, in percent.
const URGENT_PERCENT: u64 = 25;

/// Work that each workspace got from this dispatcher.
///
/// Invariant: `served` holds a workspace only while it has an active job.
#[derive(Debug, Clone, Default)]
pub struct JobOrder {
    served: collections::HashMap<ids::WorkspaceId, u64>,
}

impl JobOrder {
    /// Notes items that were taken up for a workspace.
    pub fn record_served(&mut self, workspace: &ids::WorkspaceId, items: u32) {
        *self.served.entry(workspace.clone()).or_default() += u64::from(items);
    }

    /// Sorts jobs, the one to work on first.
    ///
    /// Urgent jobs go first, the least slack before more; the others go by the
    /// least work their workspace got, then by slack.
    pub fn sort(&self, jobs: &mut [&job::JobManifest], now: u64) {
        jobs.sort_by_cached_key(|j| {
            let window = j.due_at.saturating_sub(j.created_at);
            let left = j.due_at.saturating_sub(now);
            let urgent = left * 100 < window * URGENT_PERCENT;
            let served = self.served.get(&j.workspace).copied().unwrap_or(0);
            let fair = if urgent { 0 } else { served };
            (!urgent, fair, j.due_at, j.id.clone())
        });
    }

    /// Forgets workspaces without an active job, and lets newcomers in.
    pub fn retain_active(&mut self, jobs: &[&job::JobManifest]) {
        let active: collections::HashSet<&ids::WorkspaceId> =
            jobs.iter().map(|j| &j.workspace).collect();
        self.served
            .retain(|workspace, _| active.contains(workspace));
        // A newcomer starts level with the least served, not with a claim on the past.
        let least = self.served.values().min().copied().unwrap_or(0);
        for workspace in active {
            self.served.entry(workspace.clone()).or_insert(least);
        }
    }
}
