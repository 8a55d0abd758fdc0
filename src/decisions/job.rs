//! Batch jobs: what is accepted, how it ends, and the updates that are allowed.

use std::collections;

use crate::ids;

/// A job as it was accepted; the object `active/{workspace}/{job}` while it runs.
///
/// Invariant: all but `cancelling_at` never changes.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JobManifest {
    /// Its name.
    pub id: ids::JobId,
    /// Whose it is.
    pub workspace: ids::WorkspaceId,
    /// File with the items.
    pub input_file: ids::FileId,
    /// Path that all items are for, like `/v1/chat/completions`.
    pub path: String,
    /// Models and plain services of the items.
    pub services: Vec<ids::ServiceName>,
    /// Items in all.
    pub items: u32,
    /// Items of each chunk.
    pub chunk_items: Vec<u32>,
    /// When it was accepted, in seconds since the epoch.
    pub created_at: u64,
    /// When it is due, in seconds since the epoch.
    pub due_at: u64,
    /// The window as the caller wrote it.
    pub completion_window: String,
    /// What the caller attached.
    pub metadata: collections::BTreeMap<String, String>,
    /// Digest of what was submitted, to tell a resent submission from another one.
    pub digest: String,
    /// When its cancellation was asked for, in seconds since the epoch.
    pub cancelling_at: Option<u64>,
}

impl JobManifest {
    /// Number of chunks.
    pub fn chunks(&self) -> u32 {
        self.chunk_items.len() as u32
    }

    /// The manifest with its cancellation asked for; the first time counts.
    pub fn cancelled(&self, at: u64) -> Self {
        Self {
            cancelling_at: self.cancelling_at.or(Some(at)),
            ..self.clone()
        }
    }

    /// Key of the job while it runs.
    pub fn active_key(&self) -> String {
        active_key(&self.workspace, &self.id)
    }

    /// Key of the job's record once it has ended.
    pub fn ended_key(&self) -> String {
        ended_key(&self.workspace, &self.id)
    }
}

/// Key of a job while it runs.
pub fn active_key(workspace: &ids::WorkspaceId, id: &ids::JobId) -> String {
    format!("active/{workspace}/{id}")
}

/// Key of a job's record once it has ended.
pub fn ended_key(workspace: &ids::WorkspaceId, id: &ids::JobId) -> String {
    format!("job/{workspace}/{id}")
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobEnd {
    /// Every item has a result.
    Completed,
    /// It was cancelled; some items may have a result.
    Cancelled,
}

/// Items by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ItemCounts {
    /// Items in all.
    pub total: u32,
    /// Items answered.
    pub completed: u32,
    /// Items failed.
    pub failed: u32,
}

/// A job that has ended; the object `job/{workspace}/{job}`, written once.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JobRecord {
    /// The job.
    pub manifest: JobManifest,
    /// How it ended.
    pub end: JobEnd,
    /// Items by outcome.
    pub counts: ItemCounts,
    /// When it ended, in seconds since the epoch.
    pub ended_at: u64,
}

/// Whether a job will be in time, as far as can be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DueVerdict {
    /// It is likely to end in time.
    OnTime,
    /// At its present pace it ends late.
    AtRisk,
    /// It is due and has not ended.
    Late,
}

/// Judges a job by the pace it has had.
pub fn due_verdict(manifest: &JobManifest, done: u32, now: u64) -> DueVerdict {
    if now >= manifest.due_at {
        return DueVerdict::Late;
    }
    let spent = now.saturating_sub(manifest.created_at);
    let window = manifest.due_at.saturating_sub(manifest.created_at).max(1);
    if spent * 10 < window {
        // Too early to tell.
        return DueVerdict::OnTime;
    }
    let left = u64::from(manifest.items.saturating_sub(done));
    let needed = left * spent / u64::from(done.max(1));
    if now + needed > manifest.due_at {
        return DueVerdict::AtRisk;
    }
    DueVerdict::OnTime
}
