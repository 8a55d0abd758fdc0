//! Commits of results: the segment is written first, then the chunk's state.

use std::time;

use super::{chunk_work, context};
use crate::{
    decisions::{call_budget, chunk, job},
    ids, settle, store,
};

/// Timeout of each write of a commit; the caller retries for as long as an outage lasts.
const COMMIT_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Outcome of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The commit is stored at this revision.
    Done(store::ObjectRevision),
    /// The stored state has changed: the chunk is no longer held under this claim, and the results
    /// are discarded.
    Lost,
    /// The object service failed; the commit is to be retried.
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
        // The name contains the claim, so no other holder writes a segment of the same name.
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
