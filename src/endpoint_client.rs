//! One attempt at one endpoint, and how it ended.

use std::{net, time};

use actix_http::{Method, StatusCode};
use eventsource_stream::Eventsource as _;
use futures::{stream, StreamExt as _};

use crate::{http_client, ids, log_error::LogError as _, outcome, protection, wire};

/// Largest whole answer of an endpoint, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A request to an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointCall {
    /// Where the endpoint is.
    pub address: net::SocketAddr,
    /// Method of HTTP.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    pub body: bytes::Bytes,
    /// Name of the attempt, echoed by the endpoint.
    pub attempt: ids::AttemptId,
    /// Event after which a cut stream goes on.
    pub resume_after: Option<u32>,
    /// How long the endpoint keeps a stream whose reader left.
    pub keep: Option<time::Duration>,
    /// Longest wait for the answer's head.
    pub timeout: time::Duration,
}

/// A whole answer of an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointResponse {
    /// Status of HTTP.
    pub status: StatusCode,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    pub body: bytes::Bytes,
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Index in the answer, from 0.
    pub index: u32,
    /// Data as the endpoint sent it.
    pub data: String,
    /// Text that the event adds to the answer.
    pub text: String,
    /// Whether it ends the answer.
    pub last: bool,
}

/// Events of an open stream; an error means that it was cut.
pub type EventStream = stream::LocalBoxStream<'static, Result<StreamEvent, String>>;

/// Marks an answer that belongs to another attempt.
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

/// Sends the request and checks the head of the answer.
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

fn recast<T>(ended: outcome::AttemptOutcome<()>) -> outcome::AttemptOutcome<T> {
    use outcome::AttemptOutcome as O;
    match ended {
        // A bare `Completed` is never made by `send`.
        O::Completed(()) => O::Unknown(String::new()),
        O::NotRun(proof) => O::NotRun(proof),
        O::Failed(reason) => O::Failed(reason),
        O::Unknown(reason) => O::Unknown(reason),
    }
}

/// Asks for a whole answer.
pub async fn call_whole(
    client: &awc::Client,
    call: &EndpointCall,
) -> outcome::AttemptOutcome<EndpointResponse> {
    let mut response = match send(client, call).await {
        Ok(response) => response,
        Err(ended) => return recast(ended),
    };
    let status = response.status();
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|v| v.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let reading = response.body().limit(MAX_ANSWER_BYTES);
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

/// A stream that began, or the whole answer that came in its place.
pub enum OpenedStream {
    /// Events.
    Events(EventStream),
    /// The endpoint answered otherwise: a fault of the request.
    Whole(EndpointResponse),
}

/// Opens a stream.
pub async fn open_stream(
    client: &awc::Client,
    call: &EndpointCall,
) -> outcome::AttemptOutcome<OpenedStream> {
    let mut response = match send(client, call).await {
        Ok(response) => response,
        Err(ended) => return recast(ended),
    };
    let status = response.status();
    if status.is_success() {
        return outcome::AttemptOutcome::Completed(OpenedStream::Events(events(response)));
    }
    if status.is_server_error() || status == StatusCode::GONE {
        return outcome::AttemptOutcome::Failed(format!("the endpoint answered {status}"));
    }
    match response.body().limit(MAX_ANSWER_BYTES).await {
        Ok(body) => outcome::AttemptOutcome::Completed(OpenedStream::Whole(EndpointResponse {
            status,
            content_type: "application/json".into(),
            body,
        })),
        Err(e) => outcome::AttemptOutcome::Unknown(e.to_string()),
    }
}

/// The part of a stream's data that decisions need.
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
    let mut counted = 0;
    response
        .eventsource()
        .filter_map(move |event| {
            let parsed = match event {
                Ok(event) if event.data == "[DONE]" => None,
                Ok(event) => Some(parse_event(event, &mut counted)),
                Err(e) => Some(Err(e.to_string())),
            };
            std::future::ready(parsed)
        })
        .boxed_local()
}

/// Reads an event; one without an index gets the next one.
fn parse_event(event: eventsource_stream::Event, counted: &mut u32) -> Result<StreamEvent, String> {
    let data: ChunkData = serde_json::from_str(&event.data).map_err(|e| e.to_string())?;
    let index = event.id.parse().unwrap_or(*counted);
    *counted = index + 1;
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

/// Longest wait for a cancelled stream's engine to answer.
const CANCEL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Tells an engine to drop a stream at once.
///
/// A closed connection says the same, but an engine notices that only at its
/// second write afterwards, two steps later.
pub async fn cancel_stream(
    client: &awc::Client,
    address: net::SocketAddr,
    attempt: &ids::AttemptId,
) {
    let url = format!("http://{address}{}{attempt}", wire::STREAMS_PATH);
    // Without an answer the closed connection still ends the stream.
    let told = client.delete(url).timeout(CANCEL_TIMEOUT).send().await;
    told.ok_or_log("stream_cancel_unanswered");
}

/// A client for endpoints, for the thread that it is made on.
pub fn new_client() -> awc::Client {
    // No bound here: what an endpoint may get is the ledger's to say.
    http_client::new_client(0)
}
