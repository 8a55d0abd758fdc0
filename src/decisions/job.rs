//! Batch jobs: the accepted manifest, the record of an ended job, and their updates.

use std::collections;

use crate::ids;

/// Accepted job; the object `active/{workspace}/{job}` while the job runs.
///
/// Invariant: no field but `cancelling_at` changes.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JobManifest {
    /// Identifier of the job.
    pub id: ids::JobId,
    /// Workspace that the job belongs to.
    pub workspace: ids::WorkspaceId,
    /// File with the items.
    pub input_file: ids::FileId,
    /// Request path of all items, such as `/v1/chat/completions`.
    pub path: String,
    /// Models and plain services that the items use.
    pub services: Vec<ids::ServiceName>,
    /// Total number of items.
    pub items: u32,
    /// Number of items in each chunk.
    pub chunk_items: Vec<u32>,
    /// Time of acceptance, in seconds since the epoch.
    pub created_at: u64,
    /// Deadline, in seconds since the epoch.
    pub due_at: u64,
    /// Completion window as the caller specified it.
    pub completion_window: String,
    /// Metadata attached by the caller.
    pub metadata: collections::BTreeMap<String, String>,
    /// Digest of the submission, to distinguish a resent submission from a different one.
    pub digest: String,
    /// Time at which cancellation was requested, in seconds since the epoch.
    pub cancelling_at: Option<u64>,
}

impl JobManifest {
    /// Returns the number of chunks.
    pub fn chunks(&self) -> u32 {
        self.chunk_items.len() as u32
    }

    /// Returns the manifest with cancellation requested; the time of the first request is kept.
    pub fn cancelled(&self, at: u64) -> Self {
        Self {
            cancelling_at: self.cancelling_at.or(Some(at)),
            ..self.clone()
        }
    }

    /// Returns the key of the job while it runs.
    pub fn active_key(&self) -> String {
        active_key(&self.workspace, &self.id)
    }

    /// Returns the key of the job's record once it has ended.
    pub fn ended_key(&self) -> String {
        ended_key(&self.workspace, &self.id)
    }
}

/// Returns the key of a job while it runs.
pub fn active_key(workspace: &ids::WorkspaceId, id: &ids::JobId) -> String {
    format!("active/{workspace}/{id}")
}

/// Returns the key of a job's record once it has ended.
pub fn ended_key(workspace: &ids::WorkspaceId, id: &ids::JobId) -> String {
    format!("job/{workspace}/{id}")
}

/// Final state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobEnd {
    /// Every item has a result.
    Completed,
    /// The job was cancelled; some items may have a result.
    Cancelled,
}

/// Number of items by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ItemCounts {
    /// Total number of items.
    pub total: u32,
    /// Items with a response.
    pub completed: u32,
    /// Items with an error.
    pub failed: u32,
}

/// Ended job; the object `job/{workspace}/{job}`, which is written once.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JobRecord {
    /// Manifest of the job.
    pub manifest: JobManifest,
    /// Final state.
    pub end: JobEnd,
    /// Number of items by outcome.
    pub counts: ItemCounts,
    /// Time at which the job ended, in seconds since the epoch.
    pub ended_at: u64,
}

/// Forecast whether a job meets its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DueVerdict {
    /// The job is likely to end on time.
    OnTime,
    /// The job misses its deadline at its present rate.
    AtRisk,
    /// The deadline has passed, and the job has not ended.
    Late,
}

/// Extrapolates from the job's rate so far whether it meets its deadline.
pub fn due_verdict(manifest: &JobManifest, done: u32, now: u64) -> DueVerdict {
    if now >= manifest.due_at {
        return DueVerdict::Late;
    }
    let elapsed = now.saturating_sub(manifest.created_at);
    let window = manifest.due_at.saturating_sub(manifest.created_at).max(1);
    if elapsed * 10 < window {
        // Less than a tenth of the window has passed, which is too short to extrapolate from.
        return DueVerdict::OnTime;
    }
    let remaining = u64::from(manifest.items.saturating_sub(done));
    let needed = remaining * elapsed / u64::from(done.max(1));
    if now + needed > manifest.due_at {
        return DueVerdict::AtRisk;
    }
    DueVerdict::OnTime
}
