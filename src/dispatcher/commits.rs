//! Commits of results: the segment first, then the chunk's state.

use std::time;

use super::{chunk_work, context};
use crate::{
    decisions::{call_budget, chunk, job},
    ids, settle, store,
};

/// Longest wait of one try; work in hand outlasts an outage by trying again.
const COMMIT_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// How a commit ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It is stored.
    Done(store::ObjectRevision),
    /// The chunk is held under another claim; its results are not ours to write.
    Lost,
    /// The object service gave no answer; to be tried again.
    Failed(store::StoreError),
}

/// Writes a planned commit.
pub async fn commit(
    context: &context::DispatcherContext,
    job: &job::JobManifest,
    index: ids::ChunkIndex,
    planned: &chunk_work::PlannedCommit,
) -> CommitOutcome {
    let store = context.store.as_ref();
    let class = call_budget::CallClass::Commit;
    if let Some(segment) = &planned.commit.segment {
        // The name holds the claim, so that no other holder writes the same.
        let key = chunk::segment_key(&job.id, index, &segment.name);
        let lines = planned.lines.clone();
        let always = store::WriteCondition::Always;
        let deadline = time::Instant::now() + COMMIT_TIMEOUT;
        if let Err(e) = settle::put(store, class, &key, lines, always, deadline).await {
            return CommitOutcome::Failed(e);
        }
    }
    let key = chunk::state_key(&job.id, index);
    let value = store::encode(&planned.next);
    let condition = store::WriteCondition::Match(planned.revision);
    let deadline = time::Instant::now() + COMMIT_TIMEOUT;
    match settle::put(store, class, &key, value, condition, deadline).await {
        Ok(settle::SettledWrite::Done(revision)) => CommitOutcome::Done(revision),
        Ok(settle::SettledWrite::Lost(_)) => CommitOutcome::Lost,
        Err(e) => CommitOutcome::Failed(e),
    }
}
