//! Access to stored jobs and chunks, shared by gateways and dispatchers.

use std::collections;

use crate::{
    decisions::{chunk, job},
    ids,
    log_error::LogError as _,
    platform, store,
};

/// Returns the object key of a chunk of a file.
pub fn chunk_key(file: &ids::FileId, chunk: ids::ChunkIndex) -> String {
    format!("filechunk/{file}/{chunk}")
}

/// Reads the states of a job's chunks, by chunk index.
///
/// Logs and skips objects with an invalid key or value.
///
/// # Errors
/// Returns an error if the chunks cannot be listed.
pub async fn read_chunks(
    store: &dyn store::ObjectStore,
    id: &ids::JobId,
) -> store::StoreResult<collections::BTreeMap<u32, chunk::ChunkState>> {
    let prefix = format!("chunk/{id}/");
    let items = store::list_all(store, &prefix).await?;
    let read = |item: &platform::ObjectChange| {
        let index = item.key.strip_prefix(&prefix)?.parse();
        let state = serde_json::from_str(item.value.as_deref()?);
        let index = index.ok_or_log("chunk_unnamed")?;
        let state = state.ok_or_log("chunk_unreadable")?;
        Some((index, state))
    };
    Ok(items.iter().filter_map(read).collect())
}

/// Sums the item counts, by outcome, over a job's chunks.
pub fn sum_counts<'a>(
    total: u32,
    chunks: impl Iterator<Item = &'a chunk::ChunkState>,
) -> job::ItemCounts {
    let mut counts = job::ItemCounts {
        total,
        ..job::ItemCounts::default()
    };
    for state in chunks {
        let (completed, failed) = state.counts();
        counts.completed += completed;
        counts.failed += failed;
    }
    counts
}
