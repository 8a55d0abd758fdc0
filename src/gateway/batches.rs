//! HTTP API of batch jobs: create, read, list and cancel.

use std::{collections, sync, time};

use super::{caller_request, context, files, once};
use crate::{
    decisions::{call_budget, job},
    error, http_server, ids, job_store,
    log_error::LogError as _,
    settle, store, wire,
};

/// Timeout for accepting or cancelling a job.
const STORE_TIMEOUT: time::Duration = time::Duration::from_secs(8);
/// Maximum completion window of a job.
const MAX_WINDOW: time::Duration = time::Duration::from_secs(30 * 24 * 3600);
/// Minimum completion window of a job.
const MIN_WINDOW: time::Duration = time::Duration::from_secs(1);
/// Maximum number of metadata pairs of a job.
const MAX_METADATA_PAIRS: usize = 16;
/// Maximum number of jobs in one page of a list.
const MAX_PAGE_JOBS: usize = 100;

/// Body of a request that creates a job.
#[derive(Debug, serde::Deserialize)]
struct CreateRequest {
    input_file_id: String,
    endpoint: String,
    completion_window: String,
    #[serde(default)]
    metadata: Option<collections::BTreeMap<String, String>>,
}

/// Status of a job.
#[derive(Debug, Clone)]
pub enum JobStatus {
    /// The job is running, with counts of its items so far.
    Active(sync::Arc<job::JobManifest>, job::ItemCounts),
    /// The job has ended.
    Ended(Box<job::JobRecord>),
}

impl JobStatus {
    /// Returns the manifest of the job.
    pub fn manifest(&self) -> &job::JobManifest {
        match self {
            Self::Active(manifest, _) => manifest,
            Self::Ended(record) => &record.manifest,
        }
    }

    /// Returns the job in the form of the batch API.
    pub fn json(&self) -> serde_json::Value {
        let manifest = self.manifest();
        let (status, counts, ended_at) = match self {
            Self::Active(m, counts) if m.cancelling_at.is_some() => ("cancelling", *counts, None),
            Self::Active(_, counts) => ("in_progress", *counts, None),
            Self::Ended(record) => match record.end {
                job::JobEnd::Completed => ("completed", record.counts, Some(record.ended_at)),
                job::JobEnd::Cancelled => ("cancelled", record.counts, Some(record.ended_at)),
            },
        };
        let ended = matches!(self, Self::Ended(_));
        let completed = status == "completed";
        let done = counts.completed + counts.failed;
        let verdict = match ended_at {
            Some(at) if at > manifest.due_at => job::DueVerdict::Late,
            Some(_) => job::DueVerdict::OnTime,
            None => job::due_verdict(manifest, done, wire::created()),
        };
        let output = (ended && counts.completed > 0).then(|| format!("out-{}", manifest.id));
        let errors = (ended && counts.failed > 0).then(|| format!("err-{}", manifest.id));
        serde_json::json!({
            "id": manifest.id, "object": "batch", "endpoint": manifest.path, "errors": null,
            "input_file_id": manifest.input_file,
            "completion_window": manifest.completion_window, "status": status,
            "output_file_id": output, "error_file_id": errors,
            "created_at": manifest.created_at, "in_progress_at": manifest.created_at,
            "expires_at": manifest.due_at, "finalizing_at": null,
            "completed_at": if completed { ended_at } else { None },
            "failed_at": null, "expired_at": null, "cancelling_at": manifest.cancelling_at,
            "cancelled_at": if completed { None } else { ended_at },
            "request_counts": counts, "metadata": manifest.metadata, "due_verdict": verdict,
        })
    }
}

fn invalid(message: impl Into<String>) -> error::ApiError {
    error::ApiError::not_run(error::ErrorCode::InvalidRequest, message)
}

/// Accepts a job. A resend with the same idempotency key returns the existing job.
///
/// # Errors
/// Returns an error if the request is invalid, its idempotency key was used with other content, or
/// the job cannot be stored.
pub async fn create(
    context: &sync::Arc<context::GatewayContext>,
    terms: &caller_request::CallerTerms,
    mut request: actix_http::Request,
) -> error::ApiResult<http_server::HttpResponse> {
    let limits = &context.settings.callers.limits;
    let timeout = time::Duration::from_millis(limits.body_timeout_ms);
    let body = caller_request::read_body(&mut request, limits.body_bytes, timeout).await?;
    let create_request: CreateRequest = caller_request::parse_json(&body)?;
    let workspace = &terms.workspace.id;
    let file = files::read_record(context, workspace, &create_request.input_file_id).await?;
    check_paths(&create_request.endpoint, &file.paths)?;
    check_services(context, &file)?;
    let manifest = new_manifest(terms, &create_request, file)?;
    let job_status = accept(context, manifest).await?;
    log::info!(
        "event=job_accepted request={} job={} items={}",
        terms.request_id,
        job_status.manifest().id,
        job_status.manifest().items
    );
    Ok(http_server::json(
        actix_http::StatusCode::OK,
        &job_status.json(),
    ))
}

fn check_paths(endpoint: &str, paths: &[String]) -> error::ApiResult<()> {
    let is_allowed = |path: &&String| {
        path.as_str() == endpoint
            || (endpoint.starts_with("/services/") && path.starts_with(endpoint))
    };
    match paths.iter().find(|p| !is_allowed(p)) {
        None => Ok(()),
        Some(other) => Err(invalid(format!(
            "endpoint: found '{endpoint}', but the file has items for '{other}'"
        ))),
    }
}

/// Refuses a file if none of its services is available. Single items without a service get error
/// lines when the job runs.
fn check_services(
    context: &context::GatewayContext,
    file: &files::FileRecord,
) -> error::ApiResult<()> {
    let bundle = context.fleet.snapshot().bundle.clone();
    if file.services.iter().any(|name| bundle.serves(name)) {
        return Ok(());
    }
    let names: Vec<_> = file
        .services
        .iter()
        .map(|name| format!("'{name}'"))
        .collect();
    let message = format!(
        "all items of the file are for {}, which nobody serves",
        names.join(", ")
    );
    Err(error::ApiError::not_run(
        error::ErrorCode::NotFound,
        message,
    ))
}

fn new_manifest(
    terms: &caller_request::CallerTerms,
    create_request: &CreateRequest,
    file: files::FileRecord,
) -> error::ApiResult<job::JobManifest> {
    let window = humantime::parse_duration(&create_request.completion_window)
        .ok()
        .filter(|w| (MIN_WINDOW..=MAX_WINDOW).contains(w))
        .ok_or_else(|| {
            let found = &create_request.completion_window;
            invalid(format!(
                "completion_window: found '{found}', allowed are durations like 24h, 1s to 30days"
            ))
        })?;
    let metadata = create_request.metadata.clone().unwrap_or_default();
    if metadata.len() > MAX_METADATA_PAIRS {
        return Err(invalid(format!(
            "metadata: at most {MAX_METADATA_PAIRS} pairs are allowed"
        )));
    }
    let metadata_json = serde_json::to_vec(&metadata).unwrap_or_default();
    let digest = once::hex_digest(&[
        file.digest.as_bytes(),
        create_request.endpoint.as_bytes(),
        create_request.completion_window.as_bytes(),
        &metadata_json,
    ]);
    let now = wire::created();
    Ok(job::JobManifest {
        id: job_id(terms),
        workspace: terms.workspace.id.clone(),
        input_file: file.id,
        path: create_request.endpoint.clone(),
        services: file.services,
        items: file.chunk_items.iter().sum(),
        chunk_items: file.chunk_items,
        created_at: now,
        due_at: now + window.as_secs(),
        completion_window: create_request.completion_window.clone(),
        metadata,
        digest,
        cancelling_at: None,
    })
}

/// Returns the job's identifier. It is derived from the workspace and the idempotency key, if there
/// is one, so that a resend gets the same identifier.
fn job_id(terms: &caller_request::CallerTerms) -> ids::JobId {
    let name = match &terms.key {
        None => ids::unique("batch"),
        Some(key) => {
            let workspace = terms.workspace.id.as_str();
            let digest = once::hex_digest(&[workspace.as_bytes(), key.as_bytes()]);
            format!("batch-{}", &digest[..JOB_ID_DIGITS])
        }
    };
    ids::JobId::try_from(name).expect("hexadecimal names are valid")
}

/// Number of hexadecimal digits of the digest in a job's identifier: 128 bits.
const JOB_ID_DIGITS: usize = 32;

/// Writes the manifest if the job is new; otherwise checks that the existing job has the same
/// content.
///
/// Nothing is read after the manifest is written: the job is accepted then, and a failed read
/// would report the opposite. If a job with this identifier ends between the read and the write,
/// the new manifest finds all its chunks completed, and the job ends again.
async fn accept(
    context: &context::GatewayContext,
    manifest: job::JobManifest,
) -> error::ApiResult<JobStatus> {
    let ended = read_ended(context, &manifest.workspace, &manifest.id).await?;
    if let Some(record) = ended {
        return check_same_content(JobStatus::Ended(Box::new(record)), &manifest);
    }
    let written = settle::put(
        context.store.as_ref(),
        call_budget::CallClass::Claim,
        &manifest.active_key(),
        store::encode(&manifest),
        store::WriteCondition::Absent,
        time::Instant::now() + STORE_TIMEOUT,
    )
    .await;
    match written {
        Ok(settle::SettledWrite::Done(_)) => {
            let counts = job::ItemCounts {
                total: manifest.items,
                ..job::ItemCounts::default()
            };
            Ok(JobStatus::Active(sync::Arc::new(manifest), counts))
        }
        Ok(settle::SettledWrite::Lost(_)) => {
            let job_status = read(context, &manifest.workspace, manifest.id.as_str()).await?;
            check_same_content(job_status, &manifest)
        }
        Err(e) => Err(files::store_error(&e)),
    }
}

/// Returns the status of an existing job, or `IdempotencyConflict` if its content differs.
fn check_same_content(
    job_status: JobStatus,
    manifest: &job::JobManifest,
) -> error::ApiResult<JobStatus> {
    if job_status.manifest().digest == manifest.digest {
        return Ok(job_status);
    }
    let message = "this idempotency key came with other content before";
    let code = error::ErrorCode::IdempotencyConflict;
    Err(error::ApiError::not_run(code, message))
}

async fn read_ended(
    context: &context::GatewayContext,
    workspace: &ids::WorkspaceId,
    id: &ids::JobId,
) -> error::ApiResult<Option<job::JobRecord>> {
    let key = job::ended_key(workspace, id);
    let found = context.store.get(call_budget::CallClass::Read, &key).await;
    let found = found.map_err(|e| files::store_error(&e))?;
    found
        .map(|o| o.decode())
        .transpose()
        .map_err(|e| files::store_error(&e))
}

async fn read_active(
    context: &context::GatewayContext,
    workspace: &ids::WorkspaceId,
    id: &ids::JobId,
) -> error::ApiResult<Option<(store::ObjectRevision, job::JobManifest)>> {
    let key = job::active_key(workspace, id);
    let found = context.store.get(call_budget::CallClass::Read, &key).await;
    let Some(object) = found.map_err(|e| files::store_error(&e))? else {
        return Ok(None);
    };
    let manifest = object.decode().map_err(|e| files::store_error(&e))?;
    Ok(Some((object.revision, manifest)))
}

/// Reads the status of a job.
///
/// # Errors
/// Returns `NotFound` if there is no such job in the workspace, and `StoreUnavailable` if the
/// object service cannot be reached.
pub async fn read(
    context: &context::GatewayContext,
    workspace: &ids::WorkspaceId,
    id: &str,
) -> error::ApiResult<JobStatus> {
    let not_found = || {
        let message = format!("no such batch: '{id}'");
        error::ApiError::not_run(error::ErrorCode::NotFound, message)
    };
    let id: ids::JobId = id.parse().map_err(|_| not_found())?;
    if let Some(record) = read_ended(context, workspace, &id).await? {
        return Ok(JobStatus::Ended(Box::new(record)));
    }
    if let Some((_, manifest)) = read_active(context, workspace, &id).await? {
        let counts = read_counts(context, &manifest).await?;
        return Ok(JobStatus::Active(sync::Arc::new(manifest), counts));
    }
    // The job may have ended between the two reads.
    let record = read_ended(context, workspace, &id).await?;
    record
        .map(|r| JobStatus::Ended(Box::new(r)))
        .ok_or_else(not_found)
}

async fn read_counts(
    context: &context::GatewayContext,
    manifest: &job::JobManifest,
) -> error::ApiResult<job::ItemCounts> {
    if let Some(counts) = context.cached_counts(&manifest.id) {
        return Ok(counts);
    }
    let chunks = job_store::read_chunks(context.store.as_ref(), &manifest.id).await;
    let chunks = chunks.map_err(|e| files::store_error(&e))?;
    let counts = job_store::sum_counts(manifest.items, chunks.values());
    context.cache_counts(&manifest.id, counts);
    Ok(counts)
}

/// Requests the cancellation of a job; has no effect on a job that has ended.
///
/// # Errors
/// Returns `NotFound` if there is no such job, and `StoreUnavailable` if the object service cannot
/// be reached.
pub async fn cancel(
    context: &context::GatewayContext,
    workspace: &ids::WorkspaceId,
    id: &str,
) -> error::ApiResult<JobStatus> {
    let deadline = time::Instant::now() + STORE_TIMEOUT;
    loop {
        let job_status = read(context, workspace, id).await?;
        let manifest = match &job_status {
            JobStatus::Active(manifest, _) if manifest.cancelling_at.is_none() => manifest.clone(),
            _ => return Ok(job_status),
        };
        let Some((revision, current)) = read_active(context, workspace, &manifest.id).await? else {
            continue;
        };
        let cancelled = current.cancelled(wire::created());
        let written = settle::put(
            context.store.as_ref(),
            call_budget::CallClass::Control,
            &cancelled.active_key(),
            store::encode(&cancelled),
            store::WriteCondition::Match(revision),
            deadline,
        )
        .await;
        match written {
            Ok(settle::SettledWrite::Done(_)) => {
                log::info!("event=job_cancelling job={}", cancelled.id);
                // The cancellation is stored: an error from reading the counts is only logged.
                let counts = read_counts(context, &cancelled).await;
                let counts = counts.ok_or_log("job_uncounted").unwrap_or_default();
                return Ok(JobStatus::Active(sync::Arc::new(cancelled), counts));
            }
            Ok(settle::SettledWrite::Lost(_)) => continue,
            Err(e) => return Err(files::store_error(&e)),
        }
    }
}

/// Returns a page of a workspace's jobs, the newest first.
///
/// # Errors
/// Returns `StoreUnavailable` if the object service cannot be reached.
pub async fn list(
    context: &context::GatewayContext,
    workspace: &ids::WorkspaceId,
    request: &actix_http::Request,
) -> error::ApiResult<serde_json::Value> {
    let limit = http_server::query(request.uri(), "limit").and_then(|v| v.parse().ok());
    let limit = limit.unwrap_or(20).clamp(1, MAX_PAGE_JOBS);
    let after = http_server::query(request.uri(), "after");
    let store = context.store.as_ref();
    let mut jobs = collections::BTreeMap::new();
    for prefix in ["active", "job"] {
        let prefix = format!("{prefix}/{workspace}/");
        let items = store::list_all(store, &prefix)
            .await
            .map_err(|e| files::store_error(&e))?;
        for text in items.iter().filter_map(|item| item.value.as_deref()) {
            if let Some(job_status) = parse_job(text) {
                jobs.insert(job_status.manifest().id.clone(), job_status);
            }
        }
    }
    let mut jobs: Vec<JobStatus> = jobs.into_values().collect();
    jobs.sort_by(|a, b| {
        let key = |v: &JobStatus| (v.manifest().created_at, v.manifest().id.clone());
        key(b).cmp(&key(a))
    });
    let start = match after {
        None => 0,
        Some(after) => jobs
            .iter()
            .position(|v| v.manifest().id.as_str() == after)
            .map_or(jobs.len(), |at| at + 1),
    };
    let page: Vec<_> = jobs
        .iter()
        .skip(start)
        .take(limit)
        .map(JobStatus::json)
        .collect();
    let id_of = |v: Option<&serde_json::Value>| v.map(|v| v["id"].clone());
    Ok(serde_json::json!({
        "object": "list", "first_id": id_of(page.first()), "last_id": id_of(page.last()),
        "has_more": start + page.len() < jobs.len(), "data": page,
    }))
}

fn parse_job(text: &str) -> Option<JobStatus> {
    if let Ok(record) = serde_json::from_str::<job::JobRecord>(text) {
        return Some(JobStatus::Ended(Box::new(record)));
    }
    let manifest: job::JobManifest = serde_json::from_str(text).ok_or_log("job_unreadable")?;
    let counts = job::ItemCounts {
        total: manifest.items,
        ..job::ItemCounts::default()
    };
    Some(JobStatus::Active(sync::Arc::new(manifest), counts))
}
