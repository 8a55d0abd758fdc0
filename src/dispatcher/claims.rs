//! Claims of chunks, and takeover of chunks whose holder was lost.

use std::{sync, time};

use super::{chunk_work, context};
use crate::{
    batch_item, bundle,
    decisions::{call_budget, chunk, job},
    fleet, ids, job_store, protection, settle, store,
};

/// Timeout of a claim write.
const CLAIM_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Outcome of a claim.
pub enum ClaimOutcome {
    /// This dispatcher holds the chunk.
    Claimed(Box<chunk_work::ChunkWork>),
    /// All items of the chunk have results.
    Done,
    /// Another live instance holds the chunk.
    Held(ids::InstanceId),
    /// The object service failed, a stored object is corrupt, or another write changed the state
    /// first; the status of the chunk is unknown.
    Failed(store::StoreError),
}

/// Claims a chunk of a job, unless another live instance holds it.
pub async fn claim(
    context: &context::DispatcherContext,
    job: sync::Arc<job::JobManifest>,
    index: ids::ChunkIndex,
) -> ClaimOutcome {
    // The items are read first, so that a chunk is not held while they are being read.
    let items = match read_items(context, &job, index).await {
        Ok(items) => items,
        Err(e) => return ClaimOutcome::Failed(e),
    };
    let claim = chunk::ClaimId(ids::unique("c"));
    let holder = chunk::ChunkHolder {
        instance: context.id().clone(),
        claim: claim.clone(),
    };
    let fresh = chunk::ChunkState::fresh(items.len() as u32).claimed(holder.clone());
    let key = chunk::state_key(&job.id, index);
    let first = write(context, &key, &fresh, store::WriteCondition::Absent).await;
    let written = match first {
        Ok(settle::SettledWrite::Lost(Some(found))) => {
            match take_over(context, &key, found, &holder).await {
                Ok(written) => written,
                Err(outcome) => return outcome,
            }
        }
        Ok(settle::SettledWrite::Done(revision)) => (fresh, revision),
        Ok(settle::SettledWrite::Lost(None)) => {
            return ClaimOutcome::Failed(store::StoreError::Conflict)
        }
        Err(e) => return ClaimOutcome::Failed(e),
    };
    let (state, revision) = written;
    log::info!(
        "event=chunk_claimed job={} chunk={index} epoch={}",
        job.id,
        state.epoch
    );
    let bundle = context.fleet.snapshot().bundle.clone();
    let claimed = chunk_work::ClaimedChunk {
        job,
        index,
        claim,
        state,
        revision,
        items,
    };
    let now = context.clock.now();
    let work = chunk_work::ChunkWork::new(claimed, |item| terms_of(item, &bundle), now);
    ClaimOutcome::Claimed(Box::new(work))
}

fn terms_of(item: &batch_item::BatchItem, bundle: &bundle::IndexedBundle) -> chunk_work::ItemTerms {
    chunk_work::ItemTerms {
        may_repeat: may_repeat(item, bundle),
        is_served: item.service().is_ok_and(|name| bundle.serves(&name)),
    }
}

/// Returns whether an item may run more than once: as the item states, otherwise true for a
/// generation and as its service states for other items.
fn may_repeat(item: &batch_item::BatchItem, bundle: &bundle::IndexedBundle) -> bool {
    if protection::is_disabled("intent") {
        return true;
    }
    if let Some(repeatable) = item.repeatable {
        return repeatable;
    }
    let service = item.service().ok();
    let spec = service.as_ref().and_then(|name| bundle.service(name));
    item.is_generation() || spec.is_some_and(|s| s.repeatable)
}

/// Claims a chunk that already has a stored state, unless another live instance holds it.
async fn take_over(
    context: &context::DispatcherContext,
    key: &str,
    found: store::VersionedObject,
    holder: &chunk::ChunkHolder,
) -> Result<(chunk::ChunkState, store::ObjectRevision), ClaimOutcome> {
    let state: chunk::ChunkState = found.decode().map_err(ClaimOutcome::Failed)?;
    if state.is_done() {
        return Err(ClaimOutcome::Done);
    }
    let snapshot = context.fleet.snapshot();
    if let Some(other) = live_holder(&state, context.id(), &snapshot) {
        return Err(ClaimOutcome::Held(other));
    }
    let claimed = state.claimed(holder.clone());
    let condition = store::WriteCondition::Match(found.revision);
    match write(context, key, &claimed, condition).await {
        Ok(settle::SettledWrite::Done(revision)) => Ok((claimed, revision)),
        Ok(settle::SettledWrite::Lost(_)) => Err(ClaimOutcome::Failed(store::StoreError::Conflict)),
        Err(e) => Err(ClaimOutcome::Failed(e)),
    }
}

/// Returns the holder of a chunk if it is another live instance.
///
/// A stored claim of this instance that this process does not hold is from an earlier process.
pub fn live_holder(
    state: &chunk::ChunkState,
    own: &ids::InstanceId,
    snapshot: &fleet::FleetSnapshot,
) -> Option<ids::InstanceId> {
    let holder = state.holder.as_ref()?;
    let other = holder.instance != *own && snapshot.is_live(&holder.instance);
    other.then(|| holder.instance.clone())
}

async fn write(
    context: &context::DispatcherContext,
    key: &str,
    state: &chunk::ChunkState,
    condition: store::WriteCondition,
) -> store::StoreResult<settle::SettledWrite> {
    let class = call_budget::CallClass::Claim;
    let value = store::encode(state);
    let deadline = time::Instant::now() + CLAIM_TIMEOUT;
    settle::put(
        context.store.as_ref(),
        class,
        key,
        value,
        condition,
        deadline,
    )
    .await
}

async fn read_items(
    context: &context::DispatcherContext,
    job: &job::JobManifest,
    index: ids::ChunkIndex,
) -> store::StoreResult<Vec<batch_item::BatchItem>> {
    let key = job_store::chunk_key(&job.input_file, index);
    let object = context
        .store
        .get(call_budget::CallClass::Claim, &key)
        .await?;
    let object = object.ok_or_else(|| store::StoreError::Corrupt(format!("no {key}")))?;
    let lines = object
        .value
        .split(|b| *b == b'\n')
        .filter(|l| !l.is_empty());
    let items: Result<Vec<_>, String> = lines.map(batch_item::BatchItem::parse).collect();
    items.map_err(store::StoreError::Corrupt)
}
