//! End of a job: completed once every chunk is done, or cancelled on request once no chunk is held.

use std::{collections, time};

use super::{claims, context};
use crate::{
    decisions::{call_budget, chunk, job},
    ids, job_store, settle, store, wire,
};

/// Timeout of the writes that end a job.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Reads the states of a job's chunks, ends the job if possible, and returns the states.
///
/// `first` is set on the leader of the job's group; only the leader ends a cancelled job.
///
/// # Errors
/// The object service cannot be reached, or a stored state cannot be decoded.
pub async fn poll(
    context: &context::DispatcherContext,
    manifest: &job::JobManifest,
    first: bool,
) -> store::StoreResult<collections::BTreeMap<u32, chunk::ChunkState>> {
    let chunks = job_store::read_chunks(context.store.as_ref(), &manifest.id).await?;
    let done = chunks.values().filter(|c| c.is_done()).count();
    let cancelling = first && manifest.cancelling_at.is_some();
    if done == manifest.chunk_items.len() {
        end(context, manifest, job::JobEnd::Completed, &chunks).await?;
    } else if cancelling && release_lost_chunks(context, manifest, &chunks).await? {
        end(context, manifest, job::JobEnd::Cancelled, &chunks).await?;
    }
    Ok(chunks)
}

/// Releases the chunks of lost holders. Returns whether no chunk had a holder to begin with.
async fn release_lost_chunks(
    context: &context::DispatcherContext,
    manifest: &job::JobManifest,
    chunks: &collections::BTreeMap<u32, chunk::ChunkState>,
) -> store::StoreResult<bool> {
    let snapshot = context.fleet.snapshot();
    let held = chunks.iter().filter(|(_, state)| state.holder.is_some());
    let mut none_held = true;
    for (index, state) in held {
        none_held = false;
        if claims::live_holder(state, context.id(), &snapshot).is_some() {
            continue;
        }
        release_lost_chunk(context, manifest, ids::ChunkIndex(*index)).await?;
    }
    Ok(none_held)
}

async fn release_lost_chunk(
    context: &context::DispatcherContext,
    manifest: &job::JobManifest,
    index: ids::ChunkIndex,
) -> store::StoreResult<()> {
    let key = chunk::state_key(&manifest.id, index);
    let class = call_budget::CallClass::Commit;
    let Some(found) = context.store.get(class, &key).await? else {
        return Ok(());
    };
    let state: chunk::ChunkState = found.decode()?;
    if state
        .holder
        .as_ref()
        .is_some_and(|h| h.instance == *context.id())
    {
        // The batch thread releases a chunk that this process holds. A claim of an earlier process
        // is released below.
        if context.holds(&manifest.id, index) {
            return Ok(());
        }
    }
    let released = chunk::ChunkState {
        holder: None,
        epoch: state.epoch + 1,
        ..state
    };
    let condition = store::WriteCondition::Match(found.revision);
    let deadline = time::Instant::now() + CLOSE_TIMEOUT;
    let value = store::encode(&released);
    settle::put(
        context.store.as_ref(),
        class,
        &key,
        value,
        condition,
        deadline,
    )
    .await?;
    Ok(())
}

async fn end(
    context: &context::DispatcherContext,
    manifest: &job::JobManifest,
    end: job::JobEnd,
    chunks: &collections::BTreeMap<u32, chunk::ChunkState>,
) -> store::StoreResult<()> {
    let record = job::JobRecord {
        manifest: manifest.clone(),
        end,
        counts: job_store::sum_counts(manifest.items, chunks.values()),
        ended_at: wire::created(),
    };
    let store = context.store.as_ref();
    let class = call_budget::CallClass::Commit;
    let key = manifest.ended_key();
    let absent = store::WriteCondition::Absent;
    let deadline = time::Instant::now() + CLOSE_TIMEOUT;
    // Only the first write of the record succeeds; in either case the job has ended.
    settle::put(store, class, &key, store::encode(&record), absent, deadline).await?;
    settle::remove(store, class, &manifest.active_key(), deadline).await?;
    log::info!(
        "event=job_ended job={} end={end:?} completed={} failed={}",
        manifest.id,
        record.counts.completed,
        record.counts.failed
    );
    Ok(())
}
