//! Sends one attempt of a request to an endpoint and reports its outcome.

use std::{cell, net, rc, time};

use actix_http::{Method, StatusCode};
use eventsource_stream::Eventsource as _;
use futures::{stream, StreamExt as _};

use crate::{http_client, ids, log_error::LogError as _, outcome, protection, wire};

/// Maximum size of a non-streaming response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Maximum number of bytes of a stream that are received without an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Request to an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointCall {
    /// Address of the endpoint.
    pub address: net::SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: bytes::Bytes,
    /// Attempt identifier, echoed by the endpoint.
    pub attempt: ids::AttemptId,
    /// Index of the event after which to resume an interrupted stream.
    pub resume_after: Option<u32>,
    /// Time for which the endpoint keeps a stream after its reader disconnects.
    pub keep: Option<time::Duration>,
    /// Maximum wait for the response head; for a whole response, also for its body.
    pub timeout: time::Duration,
}

/// Complete response of an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: bytes::Bytes,
}

/// Event of a response stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Zero-based index in the response.
    pub index: u32,
    /// Event data as sent by the endpoint.
    pub data: String,
    /// Text that the event appends to the response.
    pub text: String,
    /// Whether this is the last event of the response.
    pub last: bool,
}

/// Events of an open stream; an error means that the stream was interrupted.
pub type EventStream = stream::LocalBoxStream<'static, Result<StreamEvent, String>>;

/// Error message for a response whose attempt identifier does not match the request.
pub const CROSSED: &str = "the answer belongs to another attempt";

fn request(client: &awc::Client, call: &EndpointCall) -> awc::ClientRequest {
    let url = format!("http://{}{}", call.address, call.path);
    let mut request = client
        .request(call.method.clone(), url)
        .timeout(call.timeout)
        .insert_header(("content-type", call.content_type.as_str()))
        .insert_header((wire::ATTEMPT_HEADER, call.attempt.as_str()));
    if let Some(index) = call.resume_after {
        request = request.insert_header((wire::RESUME_HEADER, index.to_string()));
    }
    if let Some(keep) = call.keep {
        request = request.insert_header((wire::KEEP_HEADER, keep.as_millis().to_string()));
    }
    request
}

type Response = awc::ClientResponse<actix_http::BoxedPayloadStream>;

/// Sends the request and checks the response head.
async fn send(
    client: &awc::Client,
    call: &EndpointCall,
) -> Result<Response, outcome::AttemptOutcome<()>> {
    let sending = request(client, call).send_body(call.body.clone());
    let response = match sending.await {
        Ok(response) => response,
        Err(e) => {
            return Err(match outcome::NotRunProof::never_connected(&e) {
                Some(proof) => outcome::AttemptOutcome::NotRun(proof),
                None => outcome::AttemptOutcome::Unknown(e.to_string()),
            })
        }
    };
    let header = |name| response.headers().get(name).and_then(|v| v.to_str().ok());
    if let Some(proof) = outcome::NotRunProof::refused_by(header(wire::RAN_HEADER)) {
        return Err(outcome::AttemptOutcome::NotRun(proof));
    }
    let echoed = header(wire::ATTEMPT_HEADER);
    let crossed = echoed.is_some_and(|name| name != call.attempt.as_str());
    if crossed && !protection::is_disabled("echo") {
        return Err(outcome::AttemptOutcome::Unknown(CROSSED.into()));
    }
    Ok(response)
}

fn convert_error<T>(ended: outcome::AttemptOutcome<()>) -> outcome::AttemptOutcome<T> {
    use outcome::AttemptOutcome as O;
    match ended {
        // `send` never returns `Completed` as an error.
        O::Completed(()) => O::Unknown(String::new()),
        O::NotRun(proof) => O::NotRun(proof),
        O::Failed(reason) => O::Failed(reason),
        O::Unknown(reason) => O::Unknown(reason),
    }
}

/// Sends a request and reads the complete response.
pub async fn call_whole(
    client: &awc::Client,
    call: &EndpointCall,
) -> outcome::AttemptOutcome<EndpointResponse> {
    let mut response = match send(client, call).await {
        Ok(response) => response,
        Err(ended) => return convert_error(ended),
    };
    let status = response.status();
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|v| v.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let reading = response.body().limit(MAX_RESPONSE_BYTES);
    let body = match actix_rt::time::timeout(call.timeout, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(e)) => return outcome::AttemptOutcome::Unknown(e.to_string()),
        Err(_) => return outcome::AttemptOutcome::Unknown("no whole answer in time".into()),
    };
    if status.is_server_error() {
        return outcome::AttemptOutcome::Failed(format!("the endpoint answered {status}"));
    }
    outcome::AttemptOutcome::Completed(EndpointResponse {
        status,
        content_type,
        body,
    })
}

/// Result of opening a stream: its events, or a complete response instead.
pub enum OpenedStream {
    /// Stream of events.
    Events(EventStream),
    /// Complete response, sent when the request itself is at fault.
    Whole(EndpointResponse),
}

/// Sends a request and opens its response stream.
pub async fn open_stream(
    client: &awc::Client,
    call: &EndpointCall,
) -> outcome::AttemptOutcome<OpenedStream> {
    let mut response = match send(client, call).await {
        Ok(response) => response,
        Err(ended) => return convert_error(ended),
    };
    let status = response.status();
    if status.is_success() {
        return outcome::AttemptOutcome::Completed(OpenedStream::Events(events(response)));
    }
    if status.is_server_error() || status == StatusCode::GONE {
        return outcome::AttemptOutcome::Failed(format!("the endpoint answered {status}"));
    }
    let reading = response.body().limit(MAX_RESPONSE_BYTES);
    match actix_rt::time::timeout(call.timeout, reading).await {
        Ok(Ok(body)) => outcome::AttemptOutcome::Completed(OpenedStream::Whole(EndpointResponse {
            status,
            content_type: "application/json".into(),
            body,
        })),
        Ok(Err(e)) => outcome::AttemptOutcome::Unknown(e.to_string()),
        Err(_) => outcome::AttemptOutcome::Unknown("no whole answer in time".into()),
    }
}

/// Fields of a stream chunk that are parsed here.
#[derive(serde::Deserialize)]
struct ChunkData {
    choices: Vec<ChunkChoice>,
}

#[derive(serde::Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: ChunkDelta,
    #[serde(default)]
    text: Option<String>,
    finish_reason: Option<String>,
}

#[derive(Default, serde::Deserialize)]
struct ChunkDelta {
    #[serde(default)]
    content: Option<String>,
}

fn events(response: Response) -> EventStream {
    let mut next = 0;
    // The parser keeps what is no event yet, without a limit.
    let received = rc::Rc::new(cell::Cell::new(0));
    let since_event = received.clone();
    let bounded = response.map(move |bytes| {
        let bytes = bytes.map_err(|e| e.to_string())?;
        received.set(received.get() + bytes.len());
        match received.get() > MAX_EVENT_BYTES {
            true => Err(format!("no event within {MAX_EVENT_BYTES} bytes")),
            false => Ok(bytes),
        }
    });
    bounded
        .eventsource()
        .filter_map(move |event| {
            since_event.set(0);
            let parsed = match event {
                Ok(event) if event.data == "[DONE]" => None,
                Ok(event) => Some(parse_event(event, &mut next)),
                Err(e) => Some(Err(e.to_string())),
            };
            std::future::ready(parsed)
        })
        .boxed_local()
}

/// Parses an event; an event without an index is assigned the next one.
fn parse_event(event: eventsource_stream::Event, next: &mut u32) -> Result<StreamEvent, String> {
    let data: ChunkData = serde_json::from_str(&event.data).map_err(|e| e.to_string())?;
    let index = event.id.parse().unwrap_or(*next);
    *next = index + 1;
    let choice = data.choices.into_iter().next();
    let last = choice.as_ref().is_some_and(|c| c.finish_reason.is_some());
    let text = choice
        .and_then(|c| c.text.or(c.delta.content))
        .unwrap_or_default();
    Ok(StreamEvent {
        index,
        data: event.data,
        text,
        last,
    })
}

/// Maximum wait for an engine to confirm that a stream is cancelled.
const CANCEL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Requests that an engine cancel a stream immediately.
///
/// Closing the connection also cancels the stream, but an engine notices that only at
/// its second write afterwards, two steps later.
pub async fn cancel_stream(
    client: &awc::Client,
    address: net::SocketAddr,
    attempt: &ids::AttemptId,
) {
    let url = format!("http://{address}{}{attempt}", wire::STREAMS_PATH);
    // If the request fails, the closed connection still ends the stream.
    let cancelled = client.delete(url).timeout(CANCEL_TIMEOUT).send().await;
    cancelled.ok_or_log("stream_cancel_unanswered");
}

/// Creates an HTTP client for endpoints, usable on the current thread only.
pub fn new_client() -> awc::Client {
    // No connection limit here: the ledger limits the load of each endpoint.
    http_client::new_client(0)
}
