//! One attempt at one endpoint: connects, sends the request and classifies the response.

use std::{cell, iter, rc, time};

use actix_http::{header, Method, StatusCode};

use super::{connection, context, directory, start_check, wire};
use crate::{decisions::endpoint_speed, ids, outcome, protection};

/// Timeout for opening a connection.
///
/// A round trip takes 1 to 4 ms. A lost SYN is retransmitted only after a second, so
/// waiting longer gains nothing.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// The part of a request that is the same for all its attempts.
#[derive(Debug, Clone)]
pub struct ForwardedRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: actix_http::Uri,
    /// Headers for the endpoint, without those that differ between attempts.
    pub headers: wire::HeaderMap,
    /// Body.
    pub body: bytes::Bytes,
    /// Digest of the content, the same for each attempt and each retry by the caller.
    pub digest: ids::RequestDigest,
    /// Parts of its prompt that other requests may share.
    pub parts: Vec<ids::PartDigest>,
    /// Request id, which the endpoint echoes in its response.
    pub id: Option<String>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

impl ForwardedRequest {
    /// Returns what crashes during the request may be attributed to: itself, and the parts of
    /// its prompt.
    pub fn subjects(&self) -> Vec<ids::CrashSubject> {
        crash_subjects(self.digest, &self.parts)
    }
}

/// Returns what crashes during a request may be attributed to.
pub fn crash_subjects(
    digest: ids::RequestDigest,
    parts: &[ids::PartDigest],
) -> Vec<ids::CrashSubject> {
    iter::once(digest.into())
        .chain(part_subjects(parts))
        .collect()
}

/// Returns the parts of a prompt as what crashes may be attributed to.
pub fn part_subjects(parts: &[ids::PartDigest]) -> Vec<ids::CrashSubject> {
    parts.iter().map(|part| (*part).into()).collect()
}

/// A response whose head has been read and whose body is still open.
pub struct OpenResponse {
    /// The response and its connection.
    pub incoming: connection::IncomingResponse,
    /// Metadata from the head.
    pub metadata: wire::ResponseMetadata,
}

/// Connects to an endpoint for one attempt.
///
/// # Errors
/// The connection failed or timed out, which proves that the attempt did not run.
pub async fn connect(
    endpoint: &directory::EndpointEntry,
    timeout: time::Duration,
) -> Result<connection::EndpointConnection, outcome::NotRunProof> {
    let timeout = CONNECT_TIMEOUT.min(timeout);
    let opened = connection::EndpointConnection::open(endpoint.address, timeout).await;
    opened.map_err(|e| outcome::NotRunProof::no_connection(&e))
}

/// Sends one attempt and waits for the head of its response.
///
/// `opened` is a connection opened for this attempt, if there is one. `is_reused` is set
/// to whether the request was sent on a pooled connection. `head_timeout` limits
/// connecting, sending and the wait for the head.
pub async fn send(
    context: &rc::Rc<context::ProcessContext>,
    endpoint: &directory::EndpointEntry,
    request: &ForwardedRequest,
    terms: &wire::AttemptTerms<'_>,
    opened: Option<connection::EndpointConnection>,
    is_reused: &cell::Cell<bool>,
    head_timeout: time::Duration,
) -> outcome::AttemptOutcome<OpenResponse> {
    use outcome::AttemptOutcome as O;

    let exchange = async {
        if start_check::is_needed(endpoint, terms) {
            let confirmed = start_check::open_confirmed(context, endpoint, opened, head_timeout);
            let confirmed = confirmed.await.map_err(O::NotRun)?;
            return exchange_on(context, confirmed, request, terms).await;
        }
        match opened {
            Some(opened) => exchange_on(context, opened, request, terms).await,
            None => exchange(context, endpoint, request, terms, is_reused, head_timeout).await,
        }
    };
    let incoming = match tokio::time::timeout(head_timeout, exchange).await {
        Ok(Ok(incoming)) => incoming,
        Ok(Err(outcome)) => return outcome,
        Err(_) => {
            context.pool.close_idle(endpoint.address);
            let reason = format!("no response within {} ms", head_timeout.as_millis());
            return O::Unknown(reason);
        }
    };
    classify(context, endpoint, request, incoming)
}

/// Sends a repeatable request on a pooled connection if there is one, any other on a
/// new connection.
///
/// The endpoint may close a pooled connection while a request is in transit, and a request
/// that must not run twice would then be lost. A repeatable one is sent once more on a new
/// connection, unless the endpoint has begun to drain: the first try may have waited
/// there for long. If no second connection can be opened, the outcome is unknown: the
/// first try may have run and the endpoint may have crashed during it.
async fn exchange(
    context: &rc::Rc<context::ProcessContext>,
    endpoint: &directory::EndpointEntry,
    request: &ForwardedRequest,
    terms: &wire::AttemptTerms<'_>,
    is_reused: &cell::Cell<bool>,
    timeout: time::Duration,
) -> Result<connection::IncomingResponse, outcome::AttemptOutcome<OpenResponse>> {
    use outcome::AttemptOutcome as O;

    let mut first_error = None;
    if request.repeatable || protection::is_disabled("fresh_connection") {
        if let Some(pooled) = context.pool.take(endpoint.address) {
            is_reused.set(true);
            match pooled.exchange(outgoing(context, request, terms)).await {
                Ok(incoming) => return Ok(incoming),
                Err(connection::ExchangeError::Unsent(e)) => {
                    log::debug!(
                        "event=kept_connection_closed endpoint={} why=\"{e}\"",
                        endpoint.id
                    );
                }
                Err(connection::ExchangeError::Broken(e)) if request.repeatable => {
                    log::debug!(
                        "event=kept_connection_closed endpoint={} why=\"{e}\"",
                        endpoint.id
                    );
                    if !is_usable(context, endpoint) {
                        let reason = format!("{e}, and the endpoint is draining");
                        return Err(O::Unknown(reason));
                    }
                    first_error = Some(e);
                }
                Err(e) => return Err(O::Unknown(e.to_string())),
            }
        }
    }
    is_reused.set(false);
    let opened = connect(endpoint, timeout).await;
    let sent = match opened {
        Ok(opened) => exchange_on(context, opened, request, terms).await,
        Err(proof) => Err(O::NotRun(proof)),
    };
    sent.map_err(|outcome| match (outcome, first_error) {
        (O::NotRun(proof), Some(e)) => O::Unknown(format!("{e}, then {}", proof.reason())),
        (outcome, _) => outcome,
    })
}

/// Sends the request on the given connection.
async fn exchange_on(
    context: &rc::Rc<context::ProcessContext>,
    opened: connection::EndpointConnection,
    request: &ForwardedRequest,
    terms: &wire::AttemptTerms<'_>,
) -> Result<connection::IncomingResponse, outcome::AttemptOutcome<OpenResponse>> {
    let exchanged = opened.exchange(outgoing(context, request, terms)).await;
    exchanged.map_err(|e| match e {
        connection::ExchangeError::Unsent(e) => {
            outcome::AttemptOutcome::NotRun(outcome::NotRunProof::closed_before_send(&e))
        }
        e => outcome::AttemptOutcome::Unknown(e.to_string()),
    })
}

/// Returns whether an endpoint still accepts requests.
pub(super) fn is_usable(
    context: &context::ProcessContext,
    endpoint: &directory::EndpointEntry,
) -> bool {
    let directory = context.fleet.directory.borrow();
    directory.usable(&endpoint.id).is_some()
}

/// Builds the request that is sent for one attempt.
fn outgoing(
    context: &rc::Rc<context::ProcessContext>,
    request: &ForwardedRequest,
    terms: &wire::AttemptTerms<'_>,
) -> connection::OutgoingRequest {
    let mut head = actix_http::RequestHead::default();
    head.method = request.method.clone();
    head.uri = request.uri.clone();
    head.headers = request.headers.clone();
    context.wire.write_attempt(&mut head.headers, terms);
    connection::OutgoingRequest {
        head,
        body: request.body.clone(),
    }
}

/// Determines the outcome of an attempt from the head of its response.
fn classify(
    context: &rc::Rc<context::ProcessContext>,
    endpoint: &directory::EndpointEntry,
    request: &ForwardedRequest,
    incoming: connection::IncomingResponse,
) -> outcome::AttemptOutcome<OpenResponse> {
    use outcome::AttemptOutcome as O;

    let metadata = context.wire.response_metadata(&incoming.head);
    if let Some(load) = metadata.load {
        let now = context.clock.now();
        let mut loads = context.loads.borrow_mut();
        loads.record_report(&endpoint.id, load, now);
        drop(loads);
        if let Some(percent) = load.slowdown {
            let age = time::Duration::ZERO;
            let report = endpoint_speed::SlowdownReport { percent, age };
            let mut permits = context.permits.borrow_mut();
            permits.record_slowdown(&endpoint.id, report, now);
        }
    }
    let status = incoming.head.status;
    if metadata.other_endpoint && metadata.answered_by.as_deref() != Some(endpoint.id.as_str()) {
        return O::NotRun(outcome::NotRunProof::refused_by_other());
    }
    if metadata.other_endpoint || metadata.not_run {
        return O::NotRun(outcome::NotRunProof::refused_by_endpoint());
    }
    if promises_not_run(status) {
        return O::Unknown(format!(
            "status {status} without a statement that the request did not run"
        ));
    }
    let is_crossed = metadata.id.is_some() && metadata.id != request.id;
    if is_crossed && !protection::is_disabled("crossed_answer") {
        context.metrics.crossed.inc();
        return O::Unknown("the response belongs to another request".into());
    }
    let is_failed = status.is_server_error();
    if !is_failed && (!metadata.is_confirmed || metadata.is_encoded) {
        return O::Unknown(format!("status {status} is not confirmed by the endpoint"));
    }
    if is_failed && !metadata.is_confirmed {
        return O::Unknown(format!(
            "failure status {status} is not confirmed by the endpoint"
        ));
    }
    O::Completed(OpenResponse { incoming, metadata })
}

/// Returns whether callers take a status as a promise that the request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Returns whether a status that the endpoint itself sent means that the request failed.
pub fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

/// Hop-by-hop headers, which apply to the caller's connection only.
const HOP_BY_HOP_HEADERS: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
    header::PROXY_AUTHORIZATION,
];

/// Returns the headers of a request without the hop-by-hop ones, including those that
/// its `Connection` header lists.
pub fn forwarded_headers(headers: &wire::HeaderMap) -> wire::HeaderMap {
    let connection_headers = headers
        .get(header::CONNECTION)
        .and_then(|v| v.to_str().ok());
    let connection_headers: Vec<String> = connection_headers.map_or_else(Vec::new, |list| {
        list.split(',')
            .map(|n| n.trim().to_ascii_lowercase())
            .collect()
    });
    let mut forwarded = wire::HeaderMap::with_capacity(headers.len());
    for (name, value) in headers.iter() {
        let is_hop_by_hop = HOP_BY_HOP_HEADERS.contains(name)
            || name.as_str() == "keep-alive"
            || name.as_str() == "proxy-connection"
            || connection_headers.iter().any(|n| n == name.as_str());
        if !is_hop_by_hop {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
