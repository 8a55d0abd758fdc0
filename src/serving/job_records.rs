//! Stored objects of a job: its submission, the parts of its results, and its end mark.
//!
//! A job is accepted when its record is created. Results are appended as numbered
//! parts, and each part is created only if it is absent. If two processes run the same
//! job, one creates the part; the other finds it, adopts its results and appends after
//! it. Each item thus has one result at one position, without a lease and without a
//! clock.

use super::{result_parts, route_table, split_records, wire};
use crate::{clock, decisions::call_budget::CallClass, ids, store};

/// Kind of the records of accepted jobs.
pub const JOB_KIND: &str = "batch-jobs";
/// Kind of the result parts.
pub const PART_KIND: &str = "batch-results";
/// Kind of the end marks of jobs that their callers ended.
pub const END_KIND: &str = "batch-ends";

/// Where a job comes from that a process adopts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOrigin {
    /// From the process that has just created its record, which sends it to an owner for
    /// the first time.
    New,
    /// From the store, or from a process that may have sent it to another owner or to an
    /// earlier run of this one. It may have results.
    Stored,
}

/// Accepted job.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct JobRecord {
    /// Identifier of the job, given by the caller.
    pub id: ids::JobId,
    /// Host that the job was submitted to.
    pub host: String,
    /// Workspace that the items run for, if any.
    #[serde(default)]
    pub workspace: Option<ids::WorkspaceId>,
    /// Submission time, in milliseconds since the epoch.
    pub submitted_ms: u64,
    /// Version of the desired state under which the job was accepted; 0 if unknown.
    #[serde(default)]
    pub version: route_table::StateVersion,
    /// Items of the job.
    pub items: Vec<wire::JobItem>,
}

/// Mark of a job that its caller ended.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EndMark {
    /// Time at which the job was ended, in milliseconds since the epoch.
    pub ended_ms: u64,
}

pub(super) fn job_key(id: &ids::JobId) -> String {
    format!("{JOB_KIND}/{id}")
}

fn end_key(id: &ids::JobId) -> String {
    format!("{END_KIND}/{id}")
}

fn part_key(id: &ids::JobId, number: usize) -> String {
    format!("{PART_KIND}/{id}.{number:05}")
}

/// Creates the record of a job and returns whether this call created it; an existing job
/// with the same identifier counts as accepted.
///
/// # Errors
/// See [`store::StoreError`]; after `Unknown` the job may have been accepted.
pub async fn accept(
    store: &dyn store::ObjectStore,
    record: &JobRecord,
) -> store::StoreResult<bool> {
    if split_records::is_split(store, record) {
        return split_records::accept(store, record).await;
    }
    let value = store::encode(record);
    let key = job_key(&record.id);
    create(store, CallClass::Claim, &key, value).await
}

/// Creates an object and returns whether this call created it.
///
/// # Errors
/// See [`store::StoreError`].
pub(super) async fn create(
    store: &dyn store::ObjectStore,
    class: CallClass,
    key: &str,
    value: bytes::Bytes,
) -> store::StoreResult<bool> {
    match store
        .put(class, key, value, store::WriteCondition::Absent)
        .await
    {
        Ok(_) => Ok(true),
        Err(store::StoreError::Conflict) => Ok(false),
        Err(e) => Err(e),
    }
}

/// Reads the record of a job.
///
/// # Errors
/// See [`store::StoreError`].
pub async fn read_job(
    store: &dyn store::ObjectStore,
    id: &ids::JobId,
) -> store::StoreResult<Option<JobRecord>> {
    match read_stored(store, id).await? {
        Some(StoredRecord::Whole(record)) => Ok(Some(record)),
        Some(StoredRecord::Split(head)) => split_records::read_items(store, head).await.map(Some),
        None => Ok(None),
    }
}

/// Reads the object of a job's record.
///
/// # Errors
/// See [`store::StoreError`].
pub(super) async fn read_stored(
    store: &dyn store::ObjectStore,
    id: &ids::JobId,
) -> store::StoreResult<Option<StoredRecord>> {
    match store.get(CallClass::Read, &job_key(id)).await? {
        Some(object) => decode_job(id.as_str(), &object.value)
            .map(Some)
            .map_err(store::StoreError::Corrupt),
        None => Ok(None),
    }
}

/// Object of a job's record.
#[derive(Debug)]
pub enum StoredRecord {
    /// The whole record.
    Whole(JobRecord),
    /// The record without its items, which are in objects of their own.
    Split(split_records::RecordHead),
}

impl StoredRecord {
    /// Returns the identifier of the job.
    pub fn id(&self) -> &ids::JobId {
        match self {
            Self::Whole(record) => &record.id,
            Self::Split(head) => &head.id,
        }
    }
}

/// Decodes the record of the job with the given name.
///
/// # Errors
/// Returns an error if the value is not a job or contains another identifier, under
/// which its parts and its end mark would not be found.
pub fn decode_job(name: &str, value: &[u8]) -> Result<StoredRecord, String> {
    /// The field by which a head is recognized.
    #[derive(serde::Deserialize)]
    struct RecordShape {
        pieces: Option<serde::de::IgnoredAny>,
    }

    let decode_error = |e: serde_json::Error| e.to_string();
    let shape: RecordShape = serde_json::from_slice(value).map_err(decode_error)?;
    let stored = match shape.pieces {
        Some(_) => StoredRecord::Split(serde_json::from_slice(value).map_err(decode_error)?),
        None => StoredRecord::Whole(serde_json::from_slice(value).map_err(decode_error)?),
    };
    match stored.id().as_str() == name {
        true => Ok(stored),
        false => Err(format!(
            "the record contains the job identifier {}",
            stored.id()
        )),
    }
}

/// Creates the end mark of a job.
///
/// # Errors
/// See [`store::StoreError`]; after `Unknown` the job may have been ended.
pub async fn end(store: &dyn store::ObjectStore, id: &ids::JobId) -> store::StoreResult<()> {
    let mark = EndMark {
        ended_ms: clock::epoch_ms(),
    };
    let value = store::encode(&mark);
    create(store, CallClass::Control, &end_key(id), value)
        .await
        .map(drop)
}

/// Reads whether a job was ended.
///
/// # Errors
/// See [`store::StoreError`].
pub async fn is_ended(store: &dyn store::ObjectStore, id: &ids::JobId) -> store::StoreResult<bool> {
    let mark = store.get(CallClass::Read, &end_key(id)).await?;
    Ok(mark.is_some())
}

/// Appends a result part and returns whether its number was still unused.
///
/// # Errors
/// See [`store::StoreError`]; after `Unknown` the part may have been created.
pub async fn append_part(
    store: &dyn store::ObjectStore,
    id: &ids::JobId,
    number: usize,
    part: &result_parts::ResultPart,
) -> store::StoreResult<bool> {
    let key = part_key(id, number);
    create(store, CallClass::Commit, &key, store::encode(part)).await
}

/// Reads a result part.
///
/// # Errors
/// See [`store::StoreError`].
pub async fn read_part(
    store: &dyn store::ObjectStore,
    id: &ids::JobId,
    number: usize,
) -> store::StoreResult<Option<result_parts::ResultPart>> {
    match store.get(CallClass::Commit, &part_key(id, number)).await? {
        Some(object) => object.decode().map(Some),
        None => Ok(None),
    }
}

/// Removes a job with the given number of result parts; its record is removed last.
///
/// # Errors
/// See [`store::StoreError`].
pub async fn remove(
    store: &dyn store::ObjectStore,
    record: &JobRecord,
    parts: usize,
    ended: bool,
) -> store::StoreResult<()> {
    let id = &record.id;
    let mut keys: Vec<String> = (0..parts).map(|number| part_key(id, number)).collect();
    if ended {
        keys.push(end_key(id));
    }
    if split_records::is_split(store, record) {
        split_records::remove_items(store, id).await?;
    }
    keys.push(job_key(id));
    for key in keys {
        remove_object(store, &key).await?;
    }
    Ok(())
}

/// Removes an object, if it is there.
///
/// # Errors
/// See [`store::StoreError`].
pub(super) async fn remove_object(
    store: &dyn store::ObjectStore,
    key: &str,
) -> store::StoreResult<()> {
    let removal = store.remove(CallClass::Read, key, store::WriteCondition::Always);
    match removal.await {
        Ok(()) | Err(store::StoreError::Conflict) => Ok(()),
        Err(e) => Err(e),
    }
}
