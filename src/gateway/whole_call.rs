//! Requests with a single response: attempts, retries, and records of requests that may run once.

use std::{collections, sync};

use super::{caller_request, context, once, route};
use crate::{
    decisions::retry, endpoint_client, error, http_server, ids, outcome, platform, protection,
};

/// Request for an endpoint.
#[derive(Clone)]
pub struct WholeCall {
    /// Model or plain service to reach.
    pub service: ids::ServiceName,
    /// Kind of the endpoint.
    pub kind: platform::EndpointKind,
    /// Affinity key of the prompt.
    pub affinity: u64,
    /// HTTP method.
    pub method: actix_http::Method,
    /// Path and query at the endpoint.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Body of the request.
    pub body: bytes::Bytes,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// Converts an endpoint's response to the response for the caller.
pub fn to_http(response: &endpoint_client::EndpointResponse) -> http_server::HttpResponse {
    actix_http::Response::build(response.status)
        .insert_header(("content-type", response.content_type.as_str()))
        .body(response.body.clone())
        .map_into_boxed_body()
}

/// Runs a request and records its response time.
///
/// # Errors
/// Returns the error for the caller if no attempt succeeded.
pub async fn run_measured(
    context: &sync::Arc<context::GatewayContext>,
    client: &awc::Client,
    terms: &caller_request::CallerTerms,
    call: WholeCall,
) -> error::ApiResult<endpoint_client::EndpointResponse> {
    let response = run_recorded(context, client, terms, call).await?;
    let workspace = terms.workspace.id.as_str();
    let duration = terms.arrived.elapsed();
    let metrics = &context.metrics;
    metrics.observe(
        &metrics.full_response,
        workspace,
        terms.class.as_str(),
        duration,
    );
    Ok(response)
}

/// Runs a request. One that may not be repeated and has an idempotency key is recorded first.
async fn run_recorded(
    context: &sync::Arc<context::GatewayContext>,
    client: &awc::Client,
    terms: &caller_request::CallerTerms,
    call: WholeCall,
) -> error::ApiResult<endpoint_client::EndpointResponse> {
    let recorded = !call.repeatable && !protection::is_disabled("once_record");
    let Some(key) = terms.key.as_ref().filter(|_| recorded) else {
        return run(context, client, terms, &call).await;
    };
    let path = format!("{}{}", call.service, call.path);
    match once::begin(context, terms, key, &path, &call.body).await? {
        once::OnceEntry::Replay(response) => Ok(response),
        once::OnceEntry::Send(ticket) => {
            // In a task of its own, so that the record is completed even if the caller disconnects.
            let (context, client, terms) = (context.clone(), client.clone(), terms.clone());
            let running = actix_rt::spawn(async move {
                let outcome = run(&context, &client, &terms, &call).await;
                once::end(&context, *ticket, &outcome).await;
                outcome
            });
            running.await.unwrap_or_else(|_| {
                let code = error::ErrorCode::OutcomeUnknown;
                Err(error::ApiError::ran(
                    code,
                    error::RanReport::Unknown,
                    "the call was lost",
                ))
            })
        }
    }
}

/// Runs a request with retries at other endpoints.
async fn run(
    context: &sync::Arc<context::GatewayContext>,
    client: &awc::Client,
    terms: &caller_request::CallerTerms,
    call: &WholeCall,
) -> error::ApiResult<endpoint_client::EndpointResponse> {
    let deadline = context.clock.now() + terms.timeout;
    let retry_terms = retry::RetryTerms {
        repeatable: call.repeatable,
        deadline,
        max_attempts: context.settings.online.max_attempts,
    };
    let mut failed = collections::HashSet::new();
    let mut attempts = 0;
    let mut may_have_run = false;
    loop {
        attempts += 1;
        let query = route::RouteQuery {
            service: &call.service,
            kind: call.kind,
            key: call.affinity,
            failed: &failed,
        };
        let reservation = match route::choose(context, &query).await {
            Ok(reservation) => reservation,
            Err(e) => return Err(with_earlier_attempts(e, may_have_run)),
        };
        if attempts == 1 {
            let workspace = terms.workspace.id.as_str();
            let duration = terms.arrived.elapsed();
            let metrics = &context.metrics;
            metrics.observe(
                &metrics.queue_time,
                workspace,
                terms.class.as_str(),
                duration,
            );
        }
        let outcome = attempt(context, client, call, &reservation, deadline).await;
        record(context, &reservation, &outcome);
        if !matches!(outcome, outcome::AttemptOutcome::NotRun(_)) {
            may_have_run = true;
        }
        let now = context.clock.now();
        let should_retry = {
            let mut budget = context.retries();
            retry::may_retry(&outcome, attempts, &retry_terms, &mut budget, now)
        };
        if !should_retry {
            return outcome
                .into_result()
                .map_err(|e| with_earlier_attempts(e, may_have_run));
        }
        failed.insert(reservation.endpoint.id.clone());
    }
}

/// Marks an error as `Unknown` instead of not run if an earlier attempt may have run.
pub fn with_earlier_attempts(mut error: error::ApiError, may_have_run: bool) -> error::ApiError {
    if may_have_run && error.ran == error::RanReport::No {
        error.ran = error::RanReport::Unknown;
    }
    error
}

async fn attempt(
    context: &context::GatewayContext,
    client: &awc::Client,
    call: &WholeCall,
    reservation: &route::EndpointReservation,
    deadline: crate::clock::MonotonicTime,
) -> outcome::AttemptOutcome<endpoint_client::EndpointResponse> {
    let Ok(attempt) = ids::unique("att").parse() else {
        return outcome::AttemptOutcome::NotRun(outcome::NotRunProof::never_sent());
    };
    let endpoint_call = endpoint_client::EndpointCall {
        address: reservation.endpoint.address,
        method: call.method.clone(),
        path: call.path.clone(),
        content_type: call.content_type.clone(),
        body: call.body.clone(),
        attempt,
        resume_after: None,
        keep: None,
        timeout: deadline.since(context.clock.now()),
    };
    endpoint_client::call_whole(client, &endpoint_call).await
}

/// Records the outcome of an attempt in the endpoint's health, the retry budget and the metrics.
pub fn record<T>(
    context: &context::GatewayContext,
    reservation: &route::EndpointReservation,
    outcome: &outcome::AttemptOutcome<T>,
) {
    let id = &reservation.endpoint.id;
    let label = match outcome {
        outcome::AttemptOutcome::Completed(_) => {
            context.health().record_success(id);
            context.retries().earn();
            "completed"
        }
        outcome::AttemptOutcome::NotRun(_) => {
            context.health().record_failure(id, context.clock.now());
            "not_run"
        }
        outcome::AttemptOutcome::Failed(_) => {
            context.health().record_failure(id, context.clock.now());
            "failed"
        }
        outcome::AttemptOutcome::Unknown(reason) => {
            if reason == endpoint_client::CROSSED {
                context.metrics.crossed.inc();
            }
            context.health().record_failure(id, context.clock.now());
            "unknown"
        }
    };
    context.metrics.attempts.with_label_values(&[label]).inc();
}
