//! Uploads of batch items: multipart forms, validated line by line and stored as chunks.

use std::{collections, io, sync, time};

use futures::{stream, StreamExt as _};
use sha2::Digest as _;
use tokio::sync::mpsc;
use xxhash_rust::xxh3;

use super::{caller_request, context};
use crate::{
    batch_item, decisions::call_budget, error, http_server, ids, job_store, settle, store, wire,
};

/// Maximum number of items in the first chunks; low, so that many dispatchers share a small job.
const FIRST_CHUNK_ITEMS: usize = 50;
/// Maximum number of items in any chunk.
const MAX_CHUNK_ITEMS: usize = 400;
/// Number of chunks after which the maximum number of items doubles.
const CHUNKS_PER_SIZE: usize = 16;
/// Maximum size of a chunk in bytes; below the object service's limit for one object.
const MAX_CHUNK_BYTES: usize = 900 << 10;
/// Timeout for storing a chunk or a file's record.
const STORE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Timeout for the next piece of an upload.
const PIECE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Content of the object `file/{workspace}/{file}`, which is written after all chunks of the file.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct FileRecord {
    /// Identifier of the file.
    pub id: ids::FileId,
    /// File name that the caller gave.
    pub filename: String,
    /// Purpose that the caller gave; always `batch`.
    pub purpose: String,
    /// Size of the upload, in bytes.
    pub bytes: u64,
    /// Time of creation, in seconds since the epoch.
    pub created_at: u64,
    /// Number of items in each chunk.
    pub chunk_items: Vec<u32>,
    /// Models and plain services that the items use.
    pub services: Vec<ids::ServiceName>,
    /// Request paths of the items.
    pub paths: Vec<String>,
    /// SHA-256 of the items' lines, in hexadecimal.
    pub digest: String,
}

/// Returns the store key of a file's record.
pub fn record_key(workspace: &ids::WorkspaceId, file: &ids::FileId) -> String {
    format!("file/{workspace}/{file}")
}

fn invalid(message: impl Into<String>) -> error::ApiError {
    error::ApiError::not_run(error::ErrorCode::InvalidRequest, message)
}

/// Converts an error of the object service to the error for the caller.
pub fn store_error(e: &store::StoreError) -> error::ApiError {
    let mut error = error::ApiError::not_run(error::ErrorCode::StoreUnavailable, e.to_string());
    if *e == store::StoreError::Unknown {
        error.ran = error::RanReport::Unknown;
    }
    error
}

/// Reads a file's record.
///
/// # Errors
/// Returns `NotFound` if there is no such file in the workspace, and `StoreUnavailable` if the
/// object service cannot be reached.
pub async fn read_record(
    context: &context::GatewayContext,
    workspace: &ids::WorkspaceId,
    file: &str,
) -> error::ApiResult<FileRecord> {
    let not_found = || {
        let message = format!("no such file: '{file}'");
        error::ApiError::not_run(error::ErrorCode::NotFound, message)
    };
    let file: ids::FileId = file.parse().map_err(|_| not_found())?;
    let key = record_key(workspace, &file);
    let found = context.store.get(call_budget::CallClass::Read, &key).await;
    let object = found.map_err(|e| store_error(&e))?.ok_or_else(not_found)?;
    object.decode().map_err(|e| store_error(&e))
}

/// Returns the file in the form of the files API.
pub fn to_json(record: &FileRecord) -> serde_json::Value {
    serde_json::json!({
        "id": record.id, "object": "file", "bytes": record.bytes,
        "created_at": record.created_at, "filename": record.filename,
        "purpose": record.purpose, "status": "processed",
    })
}

/// Stores an uploaded file.
///
/// # Errors
/// Returns an error if the upload is malformed, exceeds a limit or cannot be stored. The file's
/// record is written last, so a failed upload leaves no file.
pub async fn upload(
    context: &sync::Arc<context::GatewayContext>,
    terms: &caller_request::CallerTerms,
    mut request: actix_http::Request,
) -> error::ApiResult<http_server::HttpResponse> {
    let content_type = http_server::header(request.head(), "content-type").unwrap_or("");
    let boundary = multer::parse_boundary(content_type)
        .map_err(|_| invalid("a multipart/form-data body is needed"))?;
    let pieces = forward_payload(request.take_payload());
    let mut form = multer::Multipart::new(pieces, boundary);
    let mut purpose = None;
    let mut stored = None;
    while let Some(field) = next_field(&mut form).await? {
        match field.name() {
            Some("purpose") => {
                let text = field.text().await.map_err(|e| invalid(e.to_string()))?;
                purpose = Some(text);
            }
            Some("file") => {
                let filename = field.file_name().unwrap_or("items.jsonl").to_owned();
                stored = Some((filename, store_items(context, terms, field).await?));
            }
            _ => {}
        }
    }
    if purpose.as_deref() != Some("batch") {
        return Err(invalid("the field 'purpose': 'batch' is allowed"));
    }
    let (filename, writer) = stored.ok_or_else(|| invalid("the field 'file' is missing"))?;
    let record = writer.finish(filename).await?;
    let key = record_key(&terms.workspace.id, &record.id);
    put(context, &key, store::encode(&record)).await?;
    log::info!(
        "event=file_stored request={} file={} items={}",
        terms.request_id,
        record.id,
        record.chunk_items.iter().sum::<u32>()
    );
    Ok(http_server::json(
        actix_http::StatusCode::OK,
        &to_json(&record),
    ))
}

/// Maximum number of pieces of an upload that are buffered for the parser.
const MAX_BUFFERED_PIECES: usize = 8;

/// Forwards a payload through a channel, because the parser needs a `Send` stream.
fn forward_payload(
    mut payload: actix_http::Payload,
) -> impl futures::Stream<Item = io::Result<bytes::Bytes>> + Send + 'static {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_PIECES);
    actix_rt::spawn(async move {
        while let Some(piece) = payload.next().await {
            let piece = piece.map_err(|e| io::Error::other(e.to_string()));
            if sender.send(piece).await.is_err() {
                return;
            }
        }
    });
    stream::unfold(receiver, |mut receiver: mpsc::Receiver<_>| async move {
        let piece = receiver.recv().await?;
        Some((piece, receiver))
    })
}

async fn next_field<'a>(
    form: &mut multer::Multipart<'a>,
) -> error::ApiResult<Option<multer::Field<'a>>> {
    match actix_rt::time::timeout(PIECE_TIMEOUT, form.next_field()).await {
        Ok(field) => field.map_err(|e| invalid(e.to_string())),
        Err(_) => Err(upload_timeout()),
    }
}

fn upload_timeout() -> error::ApiError {
    let message = "the upload did not go on in time";
    error::ApiError::not_run(error::ErrorCode::RequestTimeout, message)
}

async fn put(
    context: &context::GatewayContext,
    key: &str,
    value: bytes::Bytes,
) -> error::ApiResult<()> {
    let class = call_budget::CallClass::Claim;
    let deadline = time::Instant::now() + STORE_TIMEOUT;
    let condition = store::WriteCondition::Absent;
    let store = context.store.as_ref();
    match settle::put(store, class, key, value, condition, deadline).await {
        Ok(settle::SettledWrite::Done(_)) => Ok(()),
        Ok(settle::SettledWrite::Lost(_)) => Err(error::ApiError::not_run(
            error::ErrorCode::Internal,
            "a new name stands already",
        )),
        Err(e) => Err(store_error(&e)),
    }
}

async fn store_items(
    context: &sync::Arc<context::GatewayContext>,
    terms: &caller_request::CallerTerms,
    mut field: multer::Field<'_>,
) -> error::ApiResult<ChunkWriter> {
    let mut writer = ChunkWriter::new(context.clone());
    let limits = &context.settings.callers.limits;
    let mut line = Vec::new();
    loop {
        let piece = match actix_rt::time::timeout(PIECE_TIMEOUT, field.next()).await {
            Ok(Some(piece)) => piece.map_err(|e| invalid(e.to_string()))?,
            Ok(None) => break,
            Err(_) => return Err(upload_timeout()),
        };
        writer.count_bytes(piece.len(), limits.file_bytes)?;
        for part in piece.split_inclusive(|b| *b == b'\n') {
            line.extend_from_slice(part);
            if line.len() > limits.line_bytes {
                return Err(writer.line_error(&format!("longer than {} bytes", limits.line_bytes)));
            }
            if line.ends_with(b"\n") {
                writer.add(&line, limits.file_items).await?;
                line.clear();
            }
        }
    }
    writer.add(&line, limits.file_items).await?;
    log::debug!("event=items_read request={}", terms.request_id);
    Ok(writer)
}

/// Returns the maximum number of items in the chunk with the given index.
fn max_chunk_items(index: usize) -> usize {
    let doublings = (index / CHUNKS_PER_SIZE).min(usize::BITS as usize / 4);
    (FIRST_CHUNK_ITEMS << doublings).min(MAX_CHUNK_ITEMS)
}

/// Writer that groups items into chunks and stores each chunk when it is full.
///
/// Invariant: `chunk` contains `in_chunk` lines, each terminated by a newline.
struct ChunkWriter {
    context: sync::Arc<context::GatewayContext>,
    id: ids::FileId,
    bytes: u64,
    lines: usize,
    chunk: Vec<u8>,
    in_chunk: usize,
    chunk_items: Vec<u32>,
    custom_ids: collections::HashSet<u128>,
    services: collections::BTreeSet<ids::ServiceName>,
    paths: collections::BTreeSet<String>,
    hasher: sha2::Sha256,
}

impl ChunkWriter {
    fn new(context: sync::Arc<context::GatewayContext>) -> Self {
        let id = ids::FileId::try_from(ids::unique("file")).expect("unique names are valid");
        Self {
            context,
            id,
            bytes: 0,
            lines: 0,
            chunk: Vec::new(),
            in_chunk: 0,
            chunk_items: Vec::new(),
            custom_ids: collections::HashSet::new(),
            services: collections::BTreeSet::new(),
            paths: collections::BTreeSet::new(),
            hasher: sha2::Sha256::new(),
        }
    }

    fn count_bytes(&mut self, bytes: usize, limit: usize) -> error::ApiResult<()> {
        self.bytes += bytes as u64;
        if self.bytes > limit as u64 {
            let message = format!("the file is larger than {limit} bytes");
            return Err(error::ApiError::not_run(
                error::ErrorCode::TooLarge,
                message,
            ));
        }
        Ok(())
    }

    fn line_error(&self, problem: &str) -> error::ApiError {
        invalid(format!("line {} of the file: {problem}", self.lines + 1))
    }

    async fn add(&mut self, line: &[u8], limit: usize) -> error::ApiResult<()> {
        let line = line.trim_ascii();
        if line.is_empty() {
            return Ok(());
        }
        if self.lines >= limit {
            let message = format!("the file has more than {limit} items");
            return Err(error::ApiError::not_run(
                error::ErrorCode::TooLarge,
                message,
            ));
        }
        let item = batch_item::BatchItem::parse(line).map_err(|e| self.line_error(&e))?;
        if !self
            .custom_ids
            .insert(xxh3::xxh3_128(item.custom_id.as_bytes()))
        {
            return Err(self.line_error("its custom_id stands above already"));
        }
        let service = item.service().map_err(|e| self.line_error(&e))?;
        self.services.insert(service);
        self.paths.insert(item.url.clone());
        if self.in_chunk >= max_chunk_items(self.chunk_items.len())
            || self.chunk.len() + line.len() + 1 > MAX_CHUNK_BYTES
        {
            self.flush().await?;
        }
        self.hasher.update(line);
        self.hasher.update(b"\n");
        self.chunk.extend_from_slice(line);
        self.chunk.push(b'\n');
        self.in_chunk += 1;
        self.lines += 1;
        Ok(())
    }

    async fn flush(&mut self) -> error::ApiResult<()> {
        if self.in_chunk == 0 {
            return Ok(());
        }
        let index = ids::ChunkIndex(self.chunk_items.len() as u32);
        let key = job_store::chunk_key(&self.id, index);
        let chunk = std::mem::take(&mut self.chunk);
        put(&self.context, &key, chunk.into()).await?;
        self.chunk_items.push(self.in_chunk as u32);
        self.in_chunk = 0;
        Ok(())
    }

    async fn finish(mut self, filename: String) -> error::ApiResult<FileRecord> {
        self.flush().await?;
        if self.lines == 0 {
            return Err(invalid("the file has no items"));
        }
        let digest = self.hasher.finalize();
        Ok(FileRecord {
            id: self.id,
            filename,
            purpose: "batch".into(),
            bytes: self.bytes,
            created_at: wire::created(),
            chunk_items: self.chunk_items,
            services: self.services.into_iter().collect(),
            paths: self.paths.into_iter().collect(),
            digest: digest.iter().map(|b| format!("{b:02x}")).collect(),
        })
    }
}
