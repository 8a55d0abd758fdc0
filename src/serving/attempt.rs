//! One attempt at one endpoint: connect, send, and classify what comes back.

use std::{cell, rc, time};

use actix_http::{header, Method, StatusCode};

use super::{connection, context, directory, wire};
use crate::{ids, outcome, protection};

/// Longest wait for a connection; a round trip takes 1 to 4 ms, a dropped
/// opening packet is sent again only after a second.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// The part of a request that is the same for all its attempts.
#[derive(Debug, Clone)]
pub struct ForwardedRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: actix_http::Uri,
    /// Headers as they go to an endpoint, without those of an attempt.
    pub headers: wire::HeaderMap,
    /// Body.
    pub body: bytes::Bytes,
    /// What it asks, the same for each try of it.
    pub digest: ids::RequestDigest,
    /// Name that the endpoint echoes.
    pub id: Option<String>,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// An answer whose head is there.
pub struct OpenResponse {
    /// The answer with its connection.
    pub incoming: connection::IncomingAnswer,
    /// What the head says.
    pub notes: wire::ResponseMetadata,
}

/// Connects to an endpoint for one attempt.
///
/// # Errors
/// No connection is made in time: the attempt did not run.
pub async fn connect(
    endpoint: &directory::EndpointEntry,
    timeout: time::Duration,
) -> Result<connection::EndpointConnection, outcome::NotRunProof> {
    let timeout = CONNECT_TIMEOUT.min(timeout);
    let opened = connection::EndpointConnection::open(endpoint.address, timeout).await;
    opened.map_err(|e| outcome::NotRunProof::no_connection(&e))
}

/// Sends one attempt and waits for the head of its answer.
///
/// `opened` is a connection that was made for it, if there is one; `is_kept` is told
/// whether it went out on one that was kept; `head_timeout` bounds the wait after
/// the request went out.
pub async fn send(
    context: &rc::Rc<context::ProcessContext>,
    endpoint: &directory::EndpointEntry,
    request: &ForwardedRequest,
    terms: &wire::AttemptTerms<'_>,
    opened: Option<connection::EndpointConnection>,
    is_kept: &cell::Cell<bool>,
    head_timeout: time::Duration,
) -> outcome::AttemptOutcome<OpenResponse> {
    use outcome::AttemptOutcome as O;

    let exchange = async {
        match opened {
            Some(opened) => exchange_on(context, opened, request, terms).await,
            None => exchange(context, endpoint, request, terms, is_kept, head_timeout).await,
        }
    };
    let incoming = match tokio::time::timeout(head_timeout, exchange).await {
        Ok(Ok(incoming)) => incoming,
        Ok(Err(ended)) => return ended,
        Err(_) => {
            context.pool.forget(endpoint.address);
            let why = format!("no answer within {} ms", head_timeout.as_millis());
            return O::Unknown(why);
        }
    };
    classify(context, endpoint, request, incoming)
}

/// Sends the request on a kept connection where it may be repeated, or on a new one.
///
/// A kept connection may close while a request is on its way; one that may
/// not run twice would be lost with it. Others go out once more, unless the
/// endpoint leaves by now: the first try may have waited there for long. Where no
/// second connection can be made, the first try may still have run: the endpoint may
/// have ended under it.
async fn exchange(
    context: &rc::Rc<context::ProcessContext>,
    endpoint: &directory::EndpointEntry,
    request: &ForwardedRequest,
    terms: &wire::AttemptTerms<'_>,
    is_kept: &cell::Cell<bool>,
    timeout: time::Duration,
) -> Result<connection::IncomingAnswer, outcome::AttemptOutcome<OpenResponse>> {
    use outcome::AttemptOutcome as O;

    let mut broken = None;
    if request.repeatable || protection::is_disabled("fresh_connection") {
        if let Some(kept) = context.pool.take(endpoint.address) {
            is_kept.set(true);
            match kept.exchange(outgoing(context, request, terms)).await {
                Ok(incoming) => return Ok(incoming),
                Err(connection::ExchangeError::Broken(e)) if request.repeatable => {
                    log::debug!(
                        "event=kept_connection_closed endpoint={} why=\"{e}\"",
                        endpoint.id
                    );
                    if !is_usable(context, endpoint) {
                        let why = format!("{e}, and the endpoint is leaving");
                        return Err(O::Unknown(why));
                    }
                    broken = Some(e);
                }
                Err(e) => return Err(O::Unknown(e.to_string())),
            }
        }
    }
    is_kept.set(false);
    let opened = connect(endpoint, timeout).await;
    let opened = opened.map_err(|proof| match broken {
        Some(e) => O::Unknown(format!("{e}, and then {}", proof.reason())),
        None => O::NotRun(proof),
    })?;
    exchange_on(context, opened, request, terms).await
}

/// Sends the request on a new connection.
async fn exchange_on(
    context: &rc::Rc<context::ProcessContext>,
    opened: connection::EndpointConnection,
    request: &ForwardedRequest,
    terms: &wire::AttemptTerms<'_>,
) -> Result<connection::IncomingAnswer, outcome::AttemptOutcome<OpenResponse>> {
    let exchanged = opened.exchange(outgoing(context, request, terms)).await;
    exchanged.map_err(|e| outcome::AttemptOutcome::Unknown(e.to_string()))
}

/// Whether an endpoint may still get requests.
fn is_usable(context: &context::ProcessContext, endpoint: &directory::EndpointEntry) -> bool {
    let directory = context.fleet.directory.borrow();
    directory.usable(&endpoint.id).is_some()
}

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

fn classify(
    context: &rc::Rc<context::ProcessContext>,
    endpoint: &directory::EndpointEntry,
    request: &ForwardedRequest,
    incoming: connection::IncomingAnswer,
) -> outcome::AttemptOutcome<OpenResponse> {
    use outcome::AttemptOutcome as O;

    let notes = context.wire.response_metadata(&incoming.head);
    if let Some(load) = notes.load {
        context
            .loads
            .borrow_mut()
            .record_report(&endpoint.id, load, context.clock.now());
    }
    let status = incoming.head.status;
    if notes.other_endpoint && notes.answered_by.as_deref() != Some(endpoint.id.as_str()) {
        return O::NotRun(outcome::NotRunProof::told_by_other());
    }
    if notes.other_endpoint || notes.not_run {
        return O::NotRun(outcome::NotRunProof::told_by_endpoint());
    }
    if is_promise(status) {
        return O::Unknown(format!(
            "status {status} without the word that it did not run"
        ));
    }
    let crossed = notes.id.is_some() && notes.id != request.id;
    if crossed && !protection::is_disabled("crossed_answer") {
        context.metrics.crossed.inc();
        return O::Unknown("the answer belongs to another request".into());
    }
    let failed = status.is_server_error();
    if !failed && (!notes.is_confirmed || notes.is_encoded) {
        return O::Unknown(format!("the endpoint does not vouch for status {status}"));
    }
    if failed && !notes.is_confirmed {
        return O::Unknown(format!("status {status} without the endpoint's word"));
    }
    O::Completed(OpenResponse { incoming, notes })
}

/// Whether a caller takes a status as a promise that its request did not run.
fn is_promise(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Whether a status of an endpoint's own says that the request failed there.
pub fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

/// Headers of a caller that concern only its connection.
const HOP_HEADERS: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
    header::PROXY_AUTHORIZATION,
];

/// The headers of a request that go on to an endpoint.
pub fn forwarded_headers(headers: &wire::HeaderMap) -> wire::HeaderMap {
    let named = headers
        .get(header::CONNECTION)
        .and_then(|v| v.to_str().ok());
    let named: Vec<String> = named.map_or_else(Vec::new, |list| {
        list.split(',')
            .map(|n| n.trim().to_ascii_lowercase())
            .collect()
    });
    let mut kept = wire::HeaderMap::with_capacity(headers.len());
    for (name, value) in headers.iter() {
        let hop = HOP_HEADERS.contains(name)
            || name.as_str() == "keep-alive"
            || name.as_str() == "proxy-connection"
            || named.iter().any(|n| n == name.as_str());
        if !hop {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
