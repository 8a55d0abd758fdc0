//! Batch jobs as callers see them: create, read, list, cancel.

use std::{collections, sync, time};

use super::{caller_request, context, files, once};
use crate::{
    decisions::{call_budget, job},
    error, http_server, ids, job_store,
    log_error::LogError as _,
    settle, store, wire,
};

/// Longest wait for a job to be accepted or cancelled.
const STORE_TIMEOUT: time::Duration = time::Duration::from_secs(8);
/// Longest window of a job.
const MAX_WINDOW: time::Duration = time::Duration::from_secs(30 * 24 * 3600);
/// Shortest window of a job.
const MIN_WINDOW: time::Duration = time::Duration::from_secs(1);
/// Pairs that a caller may attach.
const MAX_METADATA: usize = 16;
/// Jobs in one page of a list at most.
const MAX_PAGE: usize = 100;

/// What a caller asks for.
#[derive(Debug, serde::Deserialize)]
struct CreateRequest {
    input_file_id: String,
    endpoint: String,
    completion_window: String,
    #[serde(default)]
    metadata: Option<collections::BTreeMap<String, String>>,
}

/// A job as it stands.
#[derive(Debug, Clone)]
pub enum JobView {
    /// It runs; so many items have a result.
    Active(sync::Arc<job::JobManifest>, job::ItemCounts),
    /// It has ended.
    Ended(Box<job::JobRecord>),
}

impl JobView {
    /// The job.
    pub fn manifest(&self) -> &job::JobManifest {
        match self {
            Self::Active(manifest, _) => manifest,
            Self::Ended(record) => &record.manifest,
        }
    }

    /// The job in the form callers know.
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

/// Accepts a job; a resent submission is the same job.
///
/// # Errors
/// The request is wrong, its key came with other content, or the job cannot be stored.
pub async fn create(
    context: &sync::Arc<context::GatewayContext>,
    terms: &caller_request::CallerTerms,
    mut request: actix_http::Request,
) -> error::ApiResult<http_server::HttpResponse> {
    let limits = &context.settings.callers.limits;
    let timeout = time::Duration::from_millis(limits.body_timeout_ms);
    let body = caller_request::read_body(&mut request, limits.body_bytes, timeout).await?;
    let wanted: CreateRequest = caller_request::parse_json(&body)?;
    let workspace = &terms.workspace.id;
    let file = files::read_record(context, workspace, &wanted.input_file_id).await?;
    check_paths(&wanted.endpoint, &file.paths)?;
    check_services(context, &file)?;
    let manifest = new_manifest(terms, &wanted, file)?;
    let view = accept(context, manifest).await?;
    log::info!(
        "event=job_accepted request={} job={} items={}",
        terms.request_id,
        view.manifest().id,
        view.manifest().items
    );
    Ok(http_server::json(actix_http::StatusCode::OK, &view.json()))
}

fn check_paths(endpoint: &str, paths: &[String]) -> error::ApiResult<()> {
    let fits = |path: &&String| {
        path.as_str() == endpoint
            || (endpoint.starts_with("/services/") && path.starts_with(endpoint))
    };
    match paths.iter().find(|p| !fits(p)) {
        None => Ok(()),
        Some(other) => Err(invalid(format!(
            "endpoint: found '{endpoint}', but the file has items for '{other}'"
        ))),
    }
}

/// Refuses a file of which nothing can run; single items that nobody serves
/// get their error lines when the job runs.
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
    wanted: &CreateRequest,
    file: files::FileRecord,
) -> error::ApiResult<job::JobManifest> {
    let window = humantime::parse_duration(&wanted.completion_window)
        .ok()
        .filter(|w| (MIN_WINDOW..=MAX_WINDOW).contains(w))
        .ok_or_else(|| {
            let found = &wanted.completion_window;
            invalid(format!(
                "completion_window: found '{found}', allowed are durations like 24h, 1s to 30days"
            ))
        })?;
    let metadata = wanted.metadata.clone().unwrap_or_default();
    if metadata.len() > MAX_METADATA {
        return Err(invalid(format!(
            "metadata: at most {MAX_METADATA} pairs are allowed"
        )));
    }
    let attached = serde_json::to_vec(&metadata).unwrap_or_default();
    let digest = once::hex_digest(&[
        file.digest.as_bytes(),
        wanted.endpoint.as_bytes(),
        wanted.completion_window.as_bytes(),
        &attached,
    ]);
    let now = wire::created();
    Ok(job::JobManifest {
        id: job_id(terms),
        workspace: terms.workspace.id.clone(),
        input_file: file.id,
        path: wanted.endpoint.clone(),
        services: file.services,
        items: file.chunk_items.iter().sum(),
        chunk_items: file.chunk_items,
        created_at: now,
        due_at: now + window.as_secs(),
        completion_window: wanted.completion_window.clone(),
        metadata,
        digest,
        cancelling_at: None,
    })
}

/// The name of a job: of its workspace and key, so that a resend names the same.
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

/// Digits of the digest in the name of a job with a key: 128 bits.
const JOB_ID_DIGITS: usize = 32;

/// Writes the manifest if the job is new; otherwise checks that it is the same.
///
/// Nothing is read after the manifest is written: once it stands, the job is
/// accepted, and an error would say otherwise. Should a job of this name end
/// between the look and the write, its chunks are done and it ends again.
async fn accept(
    context: &context::GatewayContext,
    manifest: job::JobManifest,
) -> error::ApiResult<JobView> {
    let ended = read_ended(context, &manifest.workspace, &manifest.id).await?;
    if let Some(record) = ended {
        return same_content(JobView::Ended(Box::new(record)), &manifest);
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
            Ok(JobView::Active(sync::Arc::new(manifest), counts))
        }
        Ok(settle::SettledWrite::Lost(_)) => {
            let view = read(context, &manifest.workspace, manifest.id.as_str()).await?;
            same_content(view, &manifest)
        }
        Err(e) => Err(files::store_error(&e)),
    }
}

/// A resent submission must have the content that its key came with first.
fn same_content(view: JobView, manifest: &job::JobManifest) -> error::ApiResult<JobView> {
    if view.manifest().digest == manifest.digest {
        return Ok(view);
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

/// Reads a job.
///
/// # Errors
/// There is no such job in the workspace, or the object service cannot be reached.
pub async fn read(
    context: &context::GatewayContext,
    workspace: &ids::WorkspaceId,
    id: &str,
) -> error::ApiResult<JobView> {
    let not_found = || {
        let message = format!("no such batch: '{id}'");
        error::ApiError::not_run(error::ErrorCode::NotFound, message)
    };
    let id: ids::JobId = id.parse().map_err(|_| not_found())?;
    if let Some(record) = read_ended(context, workspace, &id).await? {
        return Ok(JobView::Ended(Box::new(record)));
    }
    if let Some((_, manifest)) = read_active(context, workspace, &id).await? {
        let counts = read_counts(context, &manifest).await?;
        return Ok(JobView::Active(sync::Arc::new(manifest), counts));
    }
    // It may have ended between the two reads.
    let record = read_ended(context, workspace, &id).await?;
    record
        .map(|r| JobView::Ended(Box::new(r)))
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

/// Asks for a job's cancellation.
///
/// # Errors
/// There is no such job, or the object service cannot be reached.
pub async fn cancel(
    context: &context::GatewayContext,
    workspace: &ids::WorkspaceId,
    id: &str,
) -> error::ApiResult<JobView> {
    let deadline = time::Instant::now() + STORE_TIMEOUT;
    loop {
        let view = read(context, workspace, id).await?;
        let manifest = match &view {
            JobView::Active(manifest, _) if manifest.cancelling_at.is_none() => manifest.clone(),
            _ => return Ok(view),
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
                // The cancellation stands, whether its counts can be read or not.
                let counts = read_counts(context, &cancelled).await;
                let counts = counts.ok_or_log("job_uncounted").unwrap_or_default();
                return Ok(JobView::Active(sync::Arc::new(cancelled), counts));
            }
            Ok(settle::SettledWrite::Lost(_)) => continue,
            Err(e) => return Err(files::store_error(&e)),
        }
    }
}

/// A page of a workspace's jobs, the newest first.
///
/// # Errors
/// The object service cannot be reached.
pub async fn list(
    context: &context::GatewayContext,
    workspace: &ids::WorkspaceId,
    request: &actix_http::Request,
) -> error::ApiResult<serde_json::Value> {
    let limit = http_server::query(request.uri(), "limit").and_then(|v| v.parse().ok());
    let limit = limit.unwrap_or(20).clamp(1, MAX_PAGE);
    let after = http_server::query(request.uri(), "after");
    let store = context.store.as_ref();
    let mut views = collections::BTreeMap::new();
    for prefix in ["active", "job"] {
        let prefix = format!("{prefix}/{workspace}/");
        let items = store::list_all(store, &prefix)
            .await
            .map_err(|e| files::store_error(&e))?;
        for text in items.iter().filter_map(|item| item.value.as_deref()) {
            if let Some(view) = parse_view(text) {
                views.insert(view.manifest().id.clone(), view);
            }
        }
    }
    let mut views: Vec<JobView> = views.into_values().collect();
    views.sort_by(|a, b| {
        let key = |v: &JobView| (v.manifest().created_at, v.manifest().id.clone());
        key(b).cmp(&key(a))
    });
    let start = match after {
        None => 0,
        Some(after) => views
            .iter()
            .position(|v| v.manifest().id.as_str() == after)
            .map_or(views.len(), |at| at + 1),
    };
    let page: Vec<_> = views
        .iter()
        .skip(start)
        .take(limit)
        .map(JobView::json)
        .collect();
    let id_of = |v: Option<&serde_json::Value>| v.map(|v| v["id"].clone());
    Ok(serde_json::json!({
        "object": "list", "first_id": id_of(page.first()), "last_id": id_of(page.last()),
        "has_more": start + page.len() < views.len(), "data": page,
    }))
}

fn parse_view(text: &str) -> Option<JobView> {
    if let Ok(record) = serde_json::from_str::<job::JobRecord>(text) {
        return Some(JobView::Ended(Box::new(record)));
    }
    let manifest: job::JobManifest = serde_json::from_str(text).ok_or_log("job_unreadable")?;
    let counts = job::ItemCounts {
        total: manifest.items,
        ..job::ItemCounts::default()
    };
    Some(JobView::Active(sync::Arc::new(manifest), counts))
}
