//! Calls that are answered whole: attempts, retries, records of what may run once.

use std::{collections, sync};

use super::{caller_request, context, once, route};
use crate::{
    decisions::retry, endpoint_client, error, http_server, ids, outcome, platform, protection,
};

/// A call as it goes to an endpoint.
#[derive(Clone)]
pub struct WholeCall {
    /// The model or plain service.
    pub service: ids::ServiceName,
    /// Engine or plain service.
    pub kind: platform::EndpointKind,
    /// Affinity of the prompt.
    pub affinity: u64,
    /// Method of HTTP.
    pub method: actix_http::Method,
    /// Path and query at the endpoint.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    pub body: bytes::Bytes,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// The answer of an endpoint as it goes to the caller.
pub fn to_http(response: &endpoint_client::EndpointResponse) -> http_server::HttpResponse {
    actix_http::Response::build(response.status)
        .insert_header(("content-type", response.content_type.as_str()))
        .body(response.body.clone())
        .map_into_boxed_body()
}

/// Runs a call, and counts its time.
///
/// # Errors
/// The final error to answer with.
pub async fn run_once(
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

/// Runs a call; one with a key that may not be repeated is recorded first.
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
            // Apart from the caller's connection: the record must be ended even if it goes.
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

/// Runs a call with retries.
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
            Err(e) => return Err(with_history(e, may_have_run)),
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
        let again = {
            let mut budget = context.retries();
            retry::may_retry(&outcome, attempts, &retry_terms, &mut budget, now)
        };
        if !again {
            return outcome
                .into_result()
                .map_err(|e| with_history(e, may_have_run));
        }
        failed.insert(reservation.endpoint.id.clone());
    }
}

/// An error of the last attempt must not hide that an earlier one may have run.
pub fn with_history(mut error: error::ApiError, may_have_run: bool) -> error::ApiError {
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

/// Notes an attempt's end in health, retry budget and metrics.
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
