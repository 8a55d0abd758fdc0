//! Order in which a dispatcher works on jobs: least slack first, then fair between
//! workspaces.

use std::collections;

use super::job;
use crate::ids;

/// Percentage of its window below which the remaining time makes a job urgent.
const URGENT_PERCENT: u64 = 25;

/// Number of items that each workspace was served by this dispatcher.
///
/// Invariant: after [`JobOrder::retain_active`], `served` holds exactly the workspaces with
/// an active job.
#[derive(Debug, Clone, Default)]
pub struct JobOrder {
    served: collections::HashMap<ids::WorkspaceId, u64>,
}

impl JobOrder {
    /// Records items that were started for a workspace.
    pub fn record_served(&mut self, workspace: &ids::WorkspaceId, items: u32) {
        *self.served.entry(workspace.clone()).or_default() += u64::from(items);
    }

    /// Sorts jobs; the first one is to be worked on first.
    ///
    /// Urgent jobs go first, by deadline. The others are ordered by the number of items that
    /// their workspace was served, then by deadline.
    pub fn sort(&self, jobs: &mut [&job::JobManifest], now: u64) {
        jobs.sort_by_cached_key(|j| {
            let window = j.due_at.saturating_sub(j.created_at);
            let remaining = j.due_at.saturating_sub(now);
            let is_urgent = remaining * 100 < window * URGENT_PERCENT;
            let served = self.served.get(&j.workspace).copied().unwrap_or(0);
            let fair = if is_urgent { 0 } else { served };
            (!is_urgent, fair, j.due_at, j.id.clone())
        });
    }

    /// Removes workspaces without an active job and adds those that are new.
    pub fn retain_active(&mut self, jobs: &[&job::JobManifest]) {
        let active: collections::HashSet<&ids::WorkspaceId> =
            jobs.iter().map(|j| &j.workspace).collect();
        self.served
            .retain(|workspace, _| active.contains(workspace));
        // A new workspace starts at the minimum rather than at 0, so that it does not catch up on
        // work from before it had any.
        let minimum = self.served.values().min().copied().unwrap_or(0);
        for workspace in active {
            self.served.entry(workspace.clone()).or_insert(minimum);
        }
    }
}
