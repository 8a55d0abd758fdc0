//! Refusals of callers' requests: one log line and one count for each.

use std::time;

use actix_http::{header, StatusCode};

use crate::{decisions::caller_budget, http_server, metrics};

/// Why a response is a refusal. It travels with the response to the place where all
/// refusals are recorded, which knows the request and its age.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RefusalReason {
    /// Label of the counter.
    label: &'static str,
    /// Inputs of the decision as `key=value` pairs.
    inputs: String,
}

/// Marks a response as a refusal for a reason. `inputs` are the inputs of the decision as
/// `key=value` pairs.
pub fn mark(
    mut response: http_server::HttpResponse,
    label: &'static str,
    inputs: String,
) -> http_server::HttpResponse {
    let reason = RefusalReason { label, inputs };
    response.extensions_mut().insert(reason);
    response
}

/// Builds the refusal of a request that has not run and may be retried after a time.
pub fn refuse_temporarily(
    label: &'static str,
    inputs: String,
    retry_after: time::Duration,
    body: &'static str,
) -> http_server::HttpResponse {
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    let response = actix_http::Response::build(StatusCode::SERVICE_UNAVAILABLE)
        .insert_header((header::RETRY_AFTER, seconds))
        .body(body)
        .map_into_boxed_body();
    mark(response, label, inputs)
}

/// Builds the refusal of a request that does not fit into the budget.
pub fn refuse_memory(
    denial: &caller_budget::BudgetDenial,
    workspace: &caller_budget::BudgetHolder,
    retry_after: time::Duration,
) -> http_server::HttpResponse {
    let inputs = format!(
        "workspace={} why={} bytes={} workspace_bytes={} held_bytes={} max_bytes={} holders={}",
        workspace.as_ref().map_or("-", |id| id.as_str()),
        if denial.is_over_share {
            "over_share"
        } else {
            "exhausted"
        },
        denial.bytes,
        denial.held,
        denial.total,
        denial.limit,
        denial.holders,
    );
    let body = "the memory for requests is in use; this one was not run\n";
    refuse_temporarily("memory_budget", inputs, retry_after, body)
}

/// Builds the refusal of a request that cannot be served at any time.
pub fn refuse(
    status: StatusCode,
    label: &'static str,
    inputs: String,
    body: impl Into<String>,
) -> http_server::HttpResponse {
    mark(http_server::plain(status, body), label, inputs)
}

/// Logs and counts a response if it is a refusal. `age` is the time since the request
/// arrived.
pub fn record(
    metrics: &metrics::MetricSet,
    response: &http_server::HttpResponse,
    request: Option<&str>,
    age: time::Duration,
) {
    let extensions = response.extensions();
    let Some(reason) = extensions.get::<RefusalReason>() else {
        return;
    };
    let retry_after = response.headers().get(header::RETRY_AFTER);
    let retry_after = retry_after.and_then(|value| value.to_str().ok());
    record_line(metrics, reason.label, || {
        format!(
            "request={} reason={} status={} {} age_ms={} retry_after_s={}",
            request.unwrap_or("-"),
            reason.label,
            response.status().as_u16(),
            reason.inputs,
            age.as_millis(),
            retry_after.unwrap_or("-")
        )
    });
}

/// Logs and counts a request whose head the HTTP parser refused as too large.
pub fn record_large_head(metrics: &metrics::MetricSet) {
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE.as_u16();
    let label = "head_too_large";
    record_line(metrics, label, || {
        format!("request=- reason={label} status={status} by=parser age_ms=- retry_after_s=-")
    });
}

fn record_line(metrics: &metrics::MetricSet, label: &str, line: impl FnOnce() -> String) {
    metrics.refused_requests.with_label_values(&[label]).inc();
    log::info!("event=request_refused {}", line());
}
