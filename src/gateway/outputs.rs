//! Downloads of files: uploaded inputs, and outputs and errors of jobs.

use std::{io, sync, time};

use actix_http::{body, StatusCode};
use futures::{stream, StreamExt as _};

use super::{batches, context, files};
use crate::{
    decisions::{call_budget, chunk, job},
    error, http_server, ids, job_store, settle, store,
};

/// Selection of a job's result lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResultKind {
    Completed,
    Failed,
}

/// Lines of a stored object that belong to a file's content.
struct ContentPart {
    key: String,
    skip: usize,
    take: usize,
}

fn parse_output(file: &str) -> Option<(ResultKind, &str)> {
    if let Some(job) = file.strip_prefix("out-") {
        return Some((ResultKind::Completed, job));
    }
    Some((ResultKind::Failed, file.strip_prefix("err-")?))
}

/// Returns the JSON description of a file or of a job's output.
///
/// # Errors
/// Returns `NotFound` if there is no such file, and `StoreUnavailable` if the object service cannot
/// be reached.
pub async fn describe(
    context: &context::GatewayContext,
    workspace: &ids::WorkspaceId,
    file: &str,
) -> error::ApiResult<serde_json::Value> {
    let Some((_, id)) = parse_output(file) else {
        return Ok(files::to_json(
            &files::read_record(context, workspace, file).await?,
        ));
    };
    let job_status = batches::read(context, workspace, id).await?;
    Ok(serde_json::json!({
        "id": file, "object": "file", "bytes": 0, "filename": format!("{file}.jsonl"),
        "created_at": job_status.manifest().created_at, "purpose": "batch_output",
        "status": "processed",
    }))
}

/// Streams the content of a file or of a job's output, object by object.
///
/// # Errors
/// Returns `NotFound` if there is no such file or its job has not ended, and `StoreUnavailable` if
/// the object service cannot be reached.
pub async fn content(
    context: &sync::Arc<context::GatewayContext>,
    workspace: &ids::WorkspaceId,
    file: &str,
) -> error::ApiResult<http_server::HttpResponse> {
    let parts = match parse_output(file) {
        None => input_parts(&files::read_record(context, workspace, file).await?),
        Some((kind, id)) => match batches::read(context, workspace, id).await? {
            batches::JobStatus::Ended(record) => result_parts(context, &record, kind).await?,
            batches::JobStatus::Active(..) => {
                let message = "the batch has not ended yet";
                return Err(error::ApiError::not_run(
                    error::ErrorCode::NotFound,
                    message,
                ));
            }
        },
    };
    let store = context.store.clone();
    let pieces = stream::iter(parts).then(move |part| read_part(store.clone(), part));
    Ok(actix_http::Response::build(StatusCode::OK)
        .insert_header(("content-type", "application/jsonl"))
        .body(body::BodyStream::new(pieces.boxed_local()))
        .map_into_boxed_body())
}

fn input_parts(record: &files::FileRecord) -> Vec<ContentPart> {
    (0..record.chunk_items.len() as u32)
        .map(|i| ContentPart {
            key: job_store::chunk_key(&record.id, ids::ChunkIndex(i)),
            skip: 0,
            take: usize::MAX,
        })
        .collect()
}

async fn result_parts(
    context: &context::GatewayContext,
    record: &job::JobRecord,
    kind: ResultKind,
) -> error::ApiResult<Vec<ContentPart>> {
    let id = &record.manifest.id;
    let chunks = job_store::read_chunks(context.store.as_ref(), id).await;
    let chunks = chunks.map_err(|e| files::store_error(&e))?;
    let part = |index: u32, segment: &chunk::SegmentRef| {
        let (skip, take) = match kind {
            ResultKind::Completed => (0, segment.completed),
            ResultKind::Failed => (segment.completed, segment.failed),
        };
        ContentPart {
            key: chunk::segment_key(id, ids::ChunkIndex(index), &segment.name),
            skip: skip as usize,
            take: take as usize,
        }
    };
    let parts = chunks
        .iter()
        .flat_map(|(index, state)| state.segments.iter().map(move |s| part(*index, s)));
    Ok(parts.filter(|p| p.take > 0).collect())
}

/// Reads the selected lines of an object.
///
/// An error aborts the response, so that the caller never takes a truncated file for a whole one.
async fn read_part(
    store: sync::Arc<dyn store::ObjectStore>,
    part: ContentPart,
) -> io::Result<bytes::Bytes> {
    let object = read_with_retries(store.as_ref(), &part.key).await;
    let object = object.map_err(io::Error::other)?;
    let object = object.ok_or_else(|| io::Error::other(format!("{} is missing", part.key)))?;
    if part.skip == 0 && part.take == usize::MAX {
        return Ok(object.value);
    }
    let lines = object.value.split_inclusive(|b| *b == b'\n');
    let selected: Vec<u8> = lines
        .skip(part.skip)
        .take(part.take)
        .flatten()
        .copied()
        .collect();
    Ok(selected.into())
}

/// Time after which a failing read of one object is no longer retried.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Reads an object; retries on errors such as a short outage or a reached rate limit.
async fn read_with_retries(
    store: &dyn store::ObjectStore,
    key: &str,
) -> store::StoreResult<Option<store::VersionedObject>> {
    let deadline = time::Instant::now() + READ_TIMEOUT;
    let mut backoff = settle::JitteredBackoff::default();
    loop {
        match store.get(call_budget::CallClass::Read, key).await {
            Err(_) if time::Instant::now() < deadline => {
                actix_rt::time::sleep(backoff.next_delay()).await;
            }
            outcome => return outcome,
        }
    }
}
