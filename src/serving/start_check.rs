//! Confirms the start of an endpoint before a begun text goes on there, and where one begins after
//! the endpoint may have started again.
//!
//! An endpoint that starts again under its name may run other software from then on, and does not
//! check which one began a text. Its entry in the list may be late, so the endpoint itself is asked
//! for its start. It is asked on the connection that carries the attempt: a connection does not
//! outlive the process at its other end.

use std::time;

use actix_http::{header, Method};

use super::{attempt, connection, context, directory, stream_origins, wire};
use crate::{ids, outcome};

/// Timeout of the question. A round trip takes 1 to 4 ms, and endpoints answer it without a slot.
const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Timeout of the question to the endpoint at which a text began or is to begin: it may have gone
/// dark, and a caller waits.
const ORIGIN_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Maximum size of the answer in bytes.
const MAX_ANSWER_BYTES: usize = 256 << 10;

/// What an endpoint says of its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportedStart {
    /// The one that it is listed with.
    Listed,
    /// Another one.
    Other(ids::StartTime),
    /// Nothing: it does not report its start.
    Unreported,
}

impl ReportedStart {
    fn label(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Other(_) => "other",
            Self::Unreported => "unreported",
        }
    }
}

/// Returns whether the start of an endpoint must be confirmed before an attempt. Without a listed
/// start each start has a name of its own, which the attempt names.
pub(super) fn is_needed(
    endpoint: &directory::EndpointEntry,
    terms: &wire::AttemptTerms<'_>,
) -> bool {
    terms.resume_after.is_some() && endpoint.started.is_some()
}

/// Returns a connection to an endpoint that has the listed start. `opened` is a connection to
/// it, if there is one.
///
/// An endpoint that does not report its start is believed to have the listed one.
///
/// # Errors
/// The endpoint has started again, or does not answer.
pub(super) async fn open_confirmed(
    context: &context::ProcessContext,
    endpoint: &directory::EndpointEntry,
    opened: Option<connection::EndpointConnection>,
    timeout: time::Duration,
) -> Result<connection::EndpointConnection, outcome::NotRunProof> {
    let connection = match opened {
        Some(connection) => connection,
        None => attempt::connect(endpoint, timeout).await?,
    };
    let timeout = CHECK_TIMEOUT.min(timeout);
    let asked = tokio::time::timeout(timeout, ask(context, endpoint, connection)).await;
    let answer = match asked {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(e)) => Err(e.to_string()),
        Err(_) => Err(format!("no answer within {} ms", timeout.as_millis())),
    };
    let (reported, connection) = answer.map_err(|reason| {
        log::info!(
            "event=start_unconfirmed endpoint={} why=\"{reason}\"",
            endpoint.id
        );
        outcome::NotRunProof::start_unconfirmed()
    })?;
    record(context, endpoint, reported);
    if matches!(reported, ReportedStart::Other(_)) {
        return Err(outcome::NotRunProof::started_again());
    }
    match connection {
        Some(connection) => Ok(connection),
        // The endpoint closed it. A start within the next round trip goes unnoticed.
        None => attempt::connect(endpoint, timeout).await,
    }
}

/// Checks whether the endpoint at which a stream began had the listed start then. What it says is
/// recorded; an endpoint that does not answer says nothing.
pub(super) async fn check_origin(
    context: &context::ProcessContext,
    origin: &stream_origins::StreamOrigin,
) {
    let endpoint = origin.run.as_ref().and_then(|run| {
        let directory = context.fleet.directory.borrow();
        let entry = directory.entry(&run.endpoint).cloned();
        entry.filter(|entry| entry.started.is_some() && entry.started == run.started)
    });
    let Some(endpoint) = endpoint else { return };
    let outcome = ask_briefly(context, &endpoint).await;
    log::info!(
        "event=origin_checked endpoint={} software={} began_ms={} outcome={outcome}",
        endpoint.run(),
        origin.software,
        origin.began_ms
    );
}

/// Checks the start of an endpoint at which a text begins if it may have started again unnoticed.
/// What it says is recorded; an endpoint that does not answer says nothing.
pub(super) async fn check_beginning(
    context: &context::ProcessContext,
    endpoint: &directory::EndpointEntry,
) {
    let is_needed = context.unlisted_starts.borrow().is_doubtful(endpoint);
    if is_needed {
        let outcome = ask_briefly(context, endpoint).await;
        log::info!(
            "event=beginning_checked endpoint={} outcome={outcome}",
            endpoint.run()
        );
    }
}

/// Asks an endpoint for its start on a connection of its own; returns the outcome for a log line.
async fn ask_briefly(
    context: &context::ProcessContext,
    endpoint: &directory::EndpointEntry,
) -> String {
    let asking = open_confirmed(context, endpoint, None, ORIGIN_TIMEOUT);
    match tokio::time::timeout(ORIGIN_TIMEOUT, asking).await {
        Ok(Ok(_)) => "listed".to_owned(),
        Ok(Err(proof)) => proof.reason().to_string(),
        Err(_) => "silent".to_owned(),
    }
}

/// Asks an endpoint for its start; returns the connection if it can be used again.
async fn ask(
    context: &context::ProcessContext,
    endpoint: &directory::EndpointEntry,
    connection: connection::EndpointConnection,
) -> Result<(ReportedStart, Option<connection::EndpointConnection>), connection::ExchangeError> {
    let mut head = actix_http::RequestHead::default();
    head.method = Method::GET;
    head.uri = actix_http::Uri::from_static(context.wire.start_path());
    if let Ok(host) = header::HeaderValue::try_from(endpoint.address.to_string()) {
        head.headers.insert(header::HOST, host);
    }
    let request = connection::OutgoingRequest {
        head,
        body: bytes::Bytes::new(),
    };
    let mut incoming = connection.exchange(request).await?;
    let mut body = bytes::BytesMut::new();
    while let Some(bytes) = incoming.next_bytes().await? {
        body.extend_from_slice(&bytes);
        if body.len() > MAX_ANSWER_BYTES {
            let reason = format!("more than {MAX_ANSWER_BYTES} bytes");
            return Err(connection::ExchangeError::Malformed(reason));
        }
    }
    let is_success = incoming.head.status.is_success();
    let started = context.wire.reported_start(&body).filter(|_| is_success);
    let reported = match started {
        None => ReportedStart::Unreported,
        Some(started) if Some(started) == endpoint.started => ReportedStart::Listed,
        Some(started) => ReportedStart::Other(started),
    };
    Ok((reported, incoming.into_connection()))
}

fn record(
    context: &context::ProcessContext,
    endpoint: &directory::EndpointEntry,
    reported: ReportedStart,
) {
    let label = reported.label();
    let counters = &context.metrics.start_checks;
    counters.with_label_values(&[label]).inc();
    let run = endpoint.run();
    let ReportedStart::Other(started) = reported else {
        log::debug!("event=start_checked endpoint={run} outcome={label}");
        return context.unlisted_starts.borrow_mut().record_confirmed(run);
    };
    log::info!(
        "event=start_checked endpoint={run} outcome={label} reported={started} software={}",
        endpoint.software_label()
    );
    let mut starts = context.unlisted_starts.borrow_mut();
    starts.record_restart(run, started, context.clock.now());
}
