//! Handles callers' requests about jobs: submission, results, item bodies and ends.

use std::{rc, time};

use actix_http::{header, StatusCode};

use super::{
    context, item_run, job_acceptance, job_budget, job_ends, job_records, job_runner,
    job_supervisor, job_table, peers, refusals, request_admission, route_table, wire,
};
use crate::{clock, http_server, ids, store};

/// Value of the `Retry-After` header when a request cannot be served.
pub(super) const RETRY_AFTER: time::Duration = time::Duration::from_millis(500);
/// Value of the `Retry-After` header when there is no memory for a job: some have to finish first.
const FULL_RETRY_AFTER: time::Duration = time::Duration::from_secs(2);
/// Time for the owner's response beyond the wait that the caller requested.
const OWNER_TIMEOUT_MARGIN: time::Duration = time::Duration::from_millis(250);

/// Submission of a job by a caller.
pub struct Submission<'a> {
    /// Route that the request matched.
    pub route: &'a route_table::Route,
    /// Request parameters that the caller sent.
    pub terms: &'a wire::CallerTerms,
    /// Workspace of the caller, if any.
    pub workspace: Option<ids::WorkspaceId>,
    /// Time at which the request arrived.
    pub arrived: clock::BootInstant,
}

/// Validates a job and writes it to the store.
pub async fn submit(
    context: &rc::Rc<context::ProcessContext>,
    submission: Submission<'_>,
    body: bytes::Bytes,
) -> http_server::HttpResponse {
    let Submission {
        route,
        terms,
        workspace,
        arrived,
    } = submission;
    let id = terms.id.as_deref().map(str::parse::<ids::JobId>);
    let scoped = |id| request_admission::scoped_job(&id, workspace.as_ref());
    let Some(Ok(id)) = id.map(|id| id.and_then(scoped)) else {
        return http_server::plain(StatusCode::BAD_REQUEST, "the job has no valid name\n");
    };
    if context.accepted_jobs.is_full() {
        return too_many_jobs(context, &id);
    }
    let items = context.wire.job_items(&body).and_then(|items| {
        items
            .iter()
            .try_for_each(|i| item_run::parse_item(i).map(drop))?;
        Ok(items)
    });
    let items = match items {
        Ok(items) => items,
        Err(reason) => {
            log::info!("event=job_invalid job={id} why=\"{reason}\"");
            return http_server::plain(StatusCode::BAD_REQUEST, format!("{reason}\n"));
        }
    };
    drop(body);
    let reserved = context
        .accepted_jobs
        .reserve(job_budget::item_bytes(&items));
    let Some(reserved) = reserved else {
        return too_many_jobs(context, &id);
    };
    let record = job_records::JobRecord {
        id: id.clone(),
        host: route.host.clone(),
        workspace,
        submitted_ms: clock::epoch_ms(),
        version: context.fleet.table().version(),
        items,
    };
    let timeout = terms.timeout.unwrap_or(job_acceptance::ACCEPT_TIMEOUT);
    let timeout = timeout.min(job_acceptance::ACCEPT_TIMEOUT);
    let accepted = job_acceptance::accept(context, &record, arrived + timeout).await;
    let duration = arrived.elapsed();
    log::info!(
        "event=job_submitted job={id} items={} outcome={} ms={}",
        record.items.len(),
        accepted.name(),
        duration.as_millis()
    );
    let metrics = &context.metrics;
    metrics.observe(&metrics.full_response, &route.name, "batch", duration);
    match accepted {
        job_acceptance::Acceptance::Accepted(origin) => {
            job_supervisor::supervise(context, rc::Rc::new(record), origin, reserved);
            http_server::plain(StatusCode::ACCEPTED, "")
        }
        job_acceptance::Acceptance::Refused => {
            unavailable("the job was not accepted and will not run\n")
        }
        job_acceptance::Acceptance::Unknown => http_server::plain(
            StatusCode::GATEWAY_TIMEOUT,
            "the job may have been accepted: submit it again\n",
        ),
    }
}

/// Builds the refusal of a job while those that were accepted before take all memory for jobs.
fn too_many_jobs(context: &context::ProcessContext, id: &ids::JobId) -> http_server::HttpResponse {
    let (held, limit) = context.accepted_jobs.usage();
    let inputs = format!("job={id} held_bytes={held} max_bytes={limit}");
    let body = "the memory for jobs is in use; this one was not accepted\n";
    refusals::refuse_temporarily("job_memory", inputs, FULL_RETRY_AFTER, body)
}

fn unavailable(body: &'static str) -> http_server::HttpResponse {
    let inputs = format!("why=\"{}\"", body.trim_end());
    refusals::refuse_temporarily("job_unavailable", inputs, RETRY_AFTER, body)
}

/// Handles a request about an existing job.
pub async fn respond(
    context: &rc::Rc<context::ProcessContext>,
    call: wire::JobCall,
    workspace: Option<&ids::WorkspaceId>,
) -> http_server::HttpResponse {
    let scoped = match request_admission::scoped_job(call.job(), workspace) {
        Ok(scoped) => scoped,
        Err(e) => {
            log::info!("event=job_misnamed why=\"{e}\"");
            return job_not_found(call.job());
        }
    };
    match call {
        wire::JobCall::Read { after, wait, .. } => read(context, scoped, after, wait).await,
        wire::JobCall::ItemBody { item, .. } => item_body(context, &scoped, &item).await,
        wire::JobCall::End { .. } => end(context, &scoped).await,
    }
}

fn job_not_found(job: &ids::JobId) -> http_server::HttpResponse {
    let body = "there is no such job\n";
    refusals::refuse(StatusCode::NOT_FOUND, "no_job", format!("job={job}"), body)
}

/// Returns results of a job to a caller.
async fn read(
    context: &rc::Rc<context::ProcessContext>,
    job: ids::JobId,
    after: usize,
    wait: time::Duration,
) -> http_server::HttpResponse {
    let request = peers::ResultRequest { job, after, wait };
    match read_page(context, &request).await {
        Ok(Some(page)) => page_response(context, &page),
        Ok(None) => job_not_found(&request.job),
        Err(e) => {
            log::info!(
                "event=results_unsure job={} after={after} why=\"{e}\"",
                request.job
            );
            unavailable("the results cannot be read now\n")
        }
    }
}

/// Reads results from the owner, or from the store if the owner does not respond.
///
/// # Errors
/// Returns an error if the store does not respond either.
pub async fn read_page(
    context: &rc::Rc<context::ProcessContext>,
    request: &peers::ResultRequest,
) -> store::StoreResult<Option<wire::ResultPage>> {
    if let Some(page) = read_from_owner(context, request).await {
        return Ok(Some(page));
    }
    job_table::read_results(context, request).await
}

/// Returns the process to read a job's results from: its owner, or a relay if the owner
/// is not reachable directly. Returns `None` if this process is the owner or no address
/// is known.
fn results_source(
    context: &context::ProcessContext,
    job: &ids::JobId,
) -> Option<(ids::InstanceId, std::net::SocketAddr)> {
    let owner = context.job_owner(job)?;
    if owner == *context.id() {
        return None;
    }
    if !context.receives_from(&owner) {
        let relay = context.relays().into_iter().next()?;
        return Some((relay.id, relay.address));
    }
    let address = context.members.borrow().address_of(&owner)?;
    Some((owner, address))
}

async fn read_from_owner(
    context: &rc::Rc<context::ProcessContext>,
    request: &peers::ResultRequest,
) -> Option<wire::ResultPage> {
    let (owner, address) = results_source(context, &request.job)?;
    let timeout = request.wait + OWNER_TIMEOUT_MARGIN;
    let response = context
        .links
        .read_results(address, request.clone(), timeout)
        .await;
    response
        .inspect_err(|e| {
            log::info!(
                "event=owner_unread job={} owner={owner} why=\"{e}\"",
                request.job
            )
        })
        .ok()
}

fn page_response(
    context: &context::ProcessContext,
    page: &wire::ResultPage,
) -> http_server::HttpResponse {
    actix_http::Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(context.wire.result_page(page))
        .map_into_boxed_body()
}

async fn item_body(
    context: &rc::Rc<context::ProcessContext>,
    job: &ids::JobId,
    item: &str,
) -> http_server::HttpResponse {
    let supervised = job_supervisor::find_record(job);
    let record = match supervised {
        Some(record) => Ok(Some((*record).clone())),
        None => match context.jobs.get(job) {
            Some(job) => Ok(Some((*job.borrow().record).clone())),
            None => job_records::read_job(context.store.as_ref(), job).await,
        },
    };
    match record {
        Ok(Some(record)) => match record.items.into_iter().find(|i| i.id == item) {
            Some(item) => actix_http::Response::build(StatusCode::OK)
                .body(item.body)
                .map_into_boxed_body(),
            None => {
                let inputs = format!("job={job}");
                let body = "the job has no such item\n";
                refusals::refuse(StatusCode::NOT_FOUND, "no_item", inputs, body)
            }
        },
        Ok(None) => job_not_found(job),
        Err(e) => {
            log::info!("event=item_unread job={job} why=\"{e}\"");
            unavailable("the item cannot be read now\n")
        }
    }
}

/// Ends a job; the end is certain once its mark is in the store.
async fn end(
    context: &rc::Rc<context::ProcessContext>,
    job: &ids::JobId,
) -> http_server::HttpResponse {
    if let Err(e) = job_records::end(context.store.as_ref(), job).await {
        log::info!("event=end_unwritten job={job} why=\"{e}\"");
        if !job_acceptance::end_through_peer(context, job).await {
            return unavailable("the job cannot be ended now\n");
        }
    }
    log::info!("event=end_accepted job={job}");
    notify_end(context, job);
    http_server::plain(StatusCode::OK, "")
}

/// Ends a job in this process and notifies those that may run it.
pub fn notify_end(context: &rc::Rc<context::ProcessContext>, job: &ids::JobId) {
    job_supervisor::forget(job);
    job_runner::end_job(context, job, job_runner::EndSource::Caller);
    job_ends::notify_owners(context, job);
}
