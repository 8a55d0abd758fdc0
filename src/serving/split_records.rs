//! Records of jobs that are larger than an object of the store.
//!
//! The items are written first, as pieces of their encoded text under a name that no other
//! attempt has; then the head, whose creation is the acceptance. What no head refers to does not
//! count.

use super::{job_records, route_table, wire};
use crate::{decisions::call_budget::CallClass, ids, store};

/// Kind of the pieces.
const PIECE_KIND: &str = "batch-items";

/// Maximum size of a piece; several are written faster than one at the limit of the store.
const MAX_PIECE_SIZE: store::ValueSize = store::ValueSize(600_000);

/// Size of the fields of a piece besides its text.
const PIECE_OVERHEAD: usize = 64;

/// Pieces of the items of a job.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ItemPieces {
    /// Name of the attempt that wrote them.
    name: String,
    count: usize,
}

/// Record of a job without its items.
///
/// Invariant: all `pieces` are in the store when the head is created.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct RecordHead {
    /// Identifier of the job.
    pub id: ids::JobId,
    host: String,
    workspace: Option<ids::WorkspaceId>,
    submitted_ms: u64,
    version: route_table::StateVersion,
    pieces: ItemPieces,
}

/// Piece of the encoded items.
#[derive(serde::Serialize, serde::Deserialize)]
struct ItemPiece<'a> {
    text: std::borrow::Cow<'a, str>,
}

fn piece_key(job: &ids::JobId, pieces: &ItemPieces, number: usize) -> String {
    format!("{PIECE_KIND}/{job}.{}.{number:05}", pieces.name)
}

/// Returns whether the record of a job is stored as a head and pieces.
pub(super) fn is_split(store: &dyn store::ObjectStore, record: &job_records::JobRecord) -> bool {
    store::encoded_size(record) > store.max_value_size()
}

/// Creates the record of a job and returns whether this call created it.
///
/// # Errors
/// See [`store::StoreError`]; only after `Unknown` the job may have been accepted.
pub(super) async fn accept(
    store: &dyn store::ObjectStore,
    record: &job_records::JobRecord,
) -> store::StoreResult<bool> {
    let items = serde_json::to_string(&record.items);
    let items = items.map_err(|e| store::StoreError::Corrupt(e.to_string()))?;
    let mut pieces = ItemPieces {
        name: format!("{:016x}", rand::random::<u64>()),
        count: 0,
    };
    let written = write_pieces(store, &record.id, &items, &mut pieces).await;
    let created = match written {
        Ok(()) => create_head(store, record, &pieces).await,
        // Nothing refers to the pieces yet, so a piece that is written late is no acceptance.
        Err(store::StoreError::TooLarge) => Err(store::StoreError::TooLarge),
        Err(e) => Err(store::StoreError::Unavailable(e.to_string())),
    };
    log::info!(
        "event=job_split job={} items_bytes={} pieces={} outcome={created:?}",
        record.id,
        items.len(),
        pieces.count
    );
    if !matches!(created, Ok(true) | Err(store::StoreError::Unknown)) {
        if let Err(e) = remove_pieces(store, &record.id, &pieces).await {
            log::info!("event=pieces_left job={} why=\"{e}\"", record.id);
        }
    }
    created
}

/// Writes the pieces of the items; `pieces` has those that may be in the store, after an error
/// as well.
async fn write_pieces(
    store: &dyn store::ObjectStore,
    job: &ids::JobId,
    items: &str,
    pieces: &mut ItemPieces,
) -> store::StoreResult<()> {
    let size = store.max_value_size().min(MAX_PIECE_SIZE);
    let size = store::ValueSize(size.0.saturating_sub(PIECE_OVERHEAD));
    let mut rest = items;
    while !rest.is_empty() {
        let text = store::prefix_within(rest, size);
        rest = &rest[text.len()..];
        let piece = ItemPiece { text: text.into() };
        let key = piece_key(job, pieces, pieces.count);
        pieces.count += 1;
        job_records::create(store, CallClass::Claim, &key, store::encode(&piece)).await?;
    }
    Ok(())
}

async fn create_head(
    store: &dyn store::ObjectStore,
    record: &job_records::JobRecord,
    pieces: &ItemPieces,
) -> store::StoreResult<bool> {
    let head = RecordHead {
        id: record.id.clone(),
        host: record.host.clone(),
        workspace: record.workspace.clone(),
        submitted_ms: record.submitted_ms,
        version: record.version,
        pieces: pieces.clone(),
    };
    let key = job_records::job_key(&record.id);
    job_records::create(store, CallClass::Claim, &key, store::encode(&head)).await
}

/// Reads the items of a job whose head was read.
///
/// # Errors
/// See [`store::StoreError`]; a missing piece counts as corrupt.
pub(super) async fn read_items(
    store: &dyn store::ObjectStore,
    head: RecordHead,
) -> store::StoreResult<job_records::JobRecord> {
    let mut text = String::new();
    for number in 0..head.pieces.count {
        let key = piece_key(&head.id, &head.pieces, number);
        let Some(object) = store.get(CallClass::Read, &key).await? else {
            let reason = format!("piece {number} of the job {} is missing", head.id);
            return Err(store::StoreError::Corrupt(reason));
        };
        let piece: ItemPiece<'_> = object.decode()?;
        text.push_str(&piece.text);
    }
    let items: Vec<wire::JobItem> =
        serde_json::from_str(&text).map_err(|e| store::StoreError::Corrupt(e.to_string()))?;
    Ok(job_records::JobRecord {
        id: head.id,
        host: head.host,
        workspace: head.workspace,
        submitted_ms: head.submitted_ms,
        version: head.version,
        items,
    })
}

/// Removes the pieces of a job.
///
/// # Errors
/// See [`store::StoreError`].
async fn remove_pieces(
    store: &dyn store::ObjectStore,
    job: &ids::JobId,
    pieces: &ItemPieces,
) -> store::StoreResult<()> {
    for number in 0..pieces.count {
        let key = piece_key(job, pieces, number);
        job_records::remove_object(store, &key).await?;
    }
    Ok(())
}

/// Removes the pieces that the record of a job refers to, if it is there.
///
/// # Errors
/// See [`store::StoreError`].
pub(super) async fn remove_items(
    store: &dyn store::ObjectStore,
    job: &ids::JobId,
) -> store::StoreResult<()> {
    match job_records::read_stored(store, job).await? {
        Some(job_records::StoredRecord::Split(head)) => {
            remove_pieces(store, job, &head.pieces).await
        }
        Some(job_records::StoredRecord::Whole(_)) | None => Ok(()),
    }
}
