//! Object service client with one thread, a call budget, priorities and metrics.

use std::{sync, thread, time};

use actix_http::{Method, StatusCode};
use futures::{future, FutureExt as _};
use tokio::sync::{mpsc, oneshot};

use crate::{clock, decisions::call_budget, http_client, metrics, outcome, platform, store};

/// Capacity of the channel to the client thread, in calls.
const CHANNEL_CALLS: usize = 1024;
/// Maximum number of calls that wait for the budget; further calls fail immediately.
const MAX_QUEUED_CALLS: usize = 8192;
/// Maximum number of concurrent calls.
const MAX_CONCURRENT: usize = 64;
/// Timeout of calls other than watches.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Connection options for the object service.
#[derive(Debug, Clone)]
pub struct StoreOptions {
    /// Base URL, for example `http://127.0.0.1:7070`.
    pub url: String,
    /// Maximum rate of calls by this process, per second.
    pub rate: call_budget::CallRate,
}

struct StoreCall {
    class: call_budget::CallClass,
    method: Method,
    path: String,
    condition: store::WriteCondition,
    value: bytes::Bytes,
    timeout: time::Duration,
    reply: oneshot::Sender<store::StoreResult<StoreResponse>>,
}

struct StoreResponse {
    revision: Option<store::ObjectRevision>,
    body: bytes::Bytes,
    found: bool,
}

impl StoreResponse {
    /// Returns the object that was read, or `None` if it is missing or unchanged.
    fn into_object(self) -> Option<store::VersionedObject> {
        let revision = self.revision.filter(|_| self.found)?;
        let value = self.body;
        Some(store::VersionedObject { revision, value })
    }
}

/// Handle to the thread that calls the object service.
///
/// The thread ends when the last handle is dropped.
#[derive(Clone)]
pub struct StoreClient {
    sender: mpsc::Sender<StoreCall>,
}

impl StoreClient {
    /// Starts the client thread.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start(
        options: StoreOptions,
        clock: sync::Arc<dyn clock::MonotonicClock>,
        metrics: sync::Arc<metrics::MetricSet>,
    ) -> std::io::Result<Self> {
        let (sender, calls) = mpsc::channel(CHANNEL_CALLS);
        thread::Builder::new().name("store".into()).spawn(move || {
            actix_rt::System::new().block_on(run(options, clock, metrics, calls));
        })?;
        Ok(Self { sender })
    }

    fn call(
        &self,
        class: call_budget::CallClass,
        method: Method,
        path: String,
        condition: store::WriteCondition,
        value: bytes::Bytes,
        timeout: time::Duration,
    ) -> impl future::Future<Output = store::StoreResult<StoreResponse>> + Send + 'static {
        let (reply, response) = oneshot::channel();
        let call = StoreCall {
            class,
            method,
            path,
            condition,
            value,
            timeout,
            reply,
        };
        let queued = self.sender.try_send(call);
        async move {
            if queued.is_err() {
                return Err(unavailable("too many calls wait"));
            }
            response.await.unwrap_or(Err(store::StoreError::Unknown))
        }
    }

    fn read(
        &self,
        path: String,
        timeout: time::Duration,
    ) -> impl future::Future<Output = store::StoreResult<StoreResponse>> + Send + 'static {
        let class = call_budget::CallClass::Read;
        let condition = store::WriteCondition::Always;
        self.call(
            class,
            Method::GET,
            path,
            condition,
            bytes::Bytes::new(),
            timeout,
        )
    }
}

fn unavailable(reason: impl Into<String>) -> store::StoreError {
    store::StoreError::Unavailable(reason.into())
}

fn decode<T: serde::de::DeserializeOwned>(
    response: store::StoreResult<StoreResponse>,
) -> store::StoreResult<T> {
    serde_json::from_slice(&response?.body).map_err(|e| store::StoreError::Corrupt(e.to_string()))
}

impl store::ObjectStore for StoreClient {
    fn max_value_size(&self) -> store::ValueSize {
        store::ValueSize::DEFAULT_LIMIT
    }

    fn get(
        &self,
        class: call_budget::CallClass,
        key: &str,
    ) -> future::BoxFuture<'static, store::StoreResult<Option<store::VersionedObject>>> {
        let condition = store::WriteCondition::Always;
        let path = format!("/objects/{key}");
        let call = self.call(
            class,
            Method::GET,
            path,
            condition,
            bytes::Bytes::new(),
            CALL_TIMEOUT,
        );
        async move {
            let response = call.await?;
            Ok(response.into_object())
        }
        .boxed()
    }

    fn put(
        &self,
        class: call_budget::CallClass,
        key: &str,
        value: bytes::Bytes,
        condition: store::WriteCondition,
    ) -> future::BoxFuture<'static, store::StoreResult<store::ObjectRevision>> {
        let path = format!("/objects/{key}");
        let call = self.call(class, Method::PUT, path, condition, value, CALL_TIMEOUT);
        async move { call.await?.revision.ok_or(store::StoreError::Unknown) }.boxed()
    }

    fn remove(
        &self,
        class: call_budget::CallClass,
        key: &str,
        condition: store::WriteCondition,
    ) -> future::BoxFuture<'static, store::StoreResult<()>> {
        let path = format!("/objects/{key}");
        let none = bytes::Bytes::new();
        let call = self.call(class, Method::DELETE, path, condition, none, CALL_TIMEOUT);
        async move { call.await.map(|_| ()) }.boxed()
    }

    fn list(
        &self,
        prefix: &str,
        after: &str,
    ) -> future::BoxFuture<'static, store::StoreResult<platform::ListResponse>> {
        let query = encode_query(&[("prefix", prefix), ("after", after)]);
        let call = self.read(format!("/list?{query}"), CALL_TIMEOUT);
        async move { decode(call.await) }.boxed()
    }

    fn watch(
        &self,
        prefixes: &[&str],
        since: store::ObjectRevision,
        wait: time::Duration,
    ) -> future::BoxFuture<'static, store::StoreResult<platform::WatchResponse>> {
        let seconds = wait.as_secs().to_string();
        let query = encode_query(&[
            ("prefixes", &prefixes.join(",")),
            ("since", &since.to_string()),
            ("wait", &seconds),
        ]);
        let call = self.read(format!("/watch?{query}"), wait + CALL_TIMEOUT);
        async move { decode(call.await) }.boxed()
    }

    fn endpoints(
        &self,
        known: Option<store::ObjectRevision>,
    ) -> future::BoxFuture<'static, store::StoreResult<Option<store::EndpointList>>> {
        // For a read, `Match` means `if-none-match`: the list is sent only if it has changed.
        let condition = known.map_or(store::WriteCondition::Always, store::WriteCondition::Match);
        let call = self.call(
            call_budget::CallClass::Read,
            Method::GET,
            "/endpoints".to_owned(),
            condition,
            bytes::Bytes::new(),
            CALL_TIMEOUT,
        );
        async move {
            let Some(object) = call.await?.into_object() else {
                return Ok(None);
            };
            let endpoints = object.decode()?;
            Ok(Some(store::EndpointList {
                revision: object.revision,
                endpoints,
            }))
        }
        .boxed()
    }
}

fn encode_query(pairs: &[(&str, &str)]) -> String {
    url::form_urlencoded::Serializer::new(String::new())
        .extend_pairs(pairs)
        .finish()
}

/// Runs the client thread: queues calls and sends each when the budget allows it.
async fn run(
    options: StoreOptions,
    clock: sync::Arc<dyn clock::MonotonicClock>,
    metrics: sync::Arc<metrics::MetricSet>,
    mut calls: mpsc::Receiver<StoreCall>,
) {
    let client = http_client::new_client(MAX_CONCURRENT * 2);
    let mut budget = call_budget::CallBudget::new(options.rate, MAX_QUEUED_CALLS, clock.now());
    let slots = sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONCURRENT));
    loop {
        match budget.next(clock.now()) {
            Ok(call) => {
                let Ok(slot) = slots.clone().acquire_owned().await else {
                    return;
                };
                let sending = send(client.clone(), options.url.clone(), call, metrics.clone());
                actix_rt::spawn(async move {
                    sending.await;
                    drop(slot);
                });
                // Calls that arrived in the meantime may have a higher priority.
                while let Ok(call) = calls.try_recv() {
                    queue(&mut budget, call);
                }
            }
            Err(Some(wait)) => {
                if let Ok(call) = actix_rt::time::timeout(wait, calls.recv()).await {
                    let Some(call) = call else { return };
                    queue(&mut budget, call);
                }
            }
            Err(None) => {
                let Some(call) = calls.recv().await else {
                    return;
                };
                queue(&mut budget, call);
            }
        }
    }
}

fn queue(budget: &mut call_budget::CallBudget<StoreCall>, call: StoreCall) {
    if let Err(call) = budget.push(call.class, call) {
        let _ = call.reply.send(Err(unavailable("too many calls wait")));
    }
}

async fn send(
    client: awc::Client,
    url: String,
    call: StoreCall,
    metrics: sync::Arc<metrics::MetricSet>,
) {
    let write = call.method != Method::GET;
    metrics
        .store_calls
        .with_label_values(&[&call.class.to_string()])
        .inc();
    let mut request = client.request(call.method, format!("{url}{}", call.path));
    match call.condition {
        store::WriteCondition::Absent => {
            request = request.insert_header(("if-none-match", "*"));
        }
        store::WriteCondition::Match(revision) => {
            let name = if write { "if-match" } else { "if-none-match" };
            request = request.insert_header((name, format!("\"{revision}\"")));
        }
        store::WriteCondition::Always => {}
    }
    let exchange = exchange(request, call.value, write);
    let outcome = match actix_rt::time::timeout(call.timeout, exchange).await {
        Ok(outcome) => outcome,
        Err(_) if write => Err(store::StoreError::Unknown),
        Err(_) => Err(unavailable("no answer in time")),
    };
    if let Err(e) = &outcome {
        let kind = match e {
            store::StoreError::Conflict => "conflict",
            store::StoreError::Unknown => "unknown",
            _ => "unavailable",
        };
        metrics.store_errors.with_label_values(&[kind]).inc();
    }
    let _ = call.reply.send(outcome);
}

async fn exchange(
    request: awc::ClientRequest,
    value: bytes::Bytes,
    write: bool,
) -> store::StoreResult<StoreResponse> {
    let mut response = match request.send_body(value).await {
        Ok(response) => response,
        Err(e) if write && outcome::NotRunProof::never_connected(&e).is_none() => {
            return Err(store::StoreError::Unknown);
        }
        Err(e) => return Err(unavailable(e.to_string())),
    };
    let revision = response
        .headers()
        .get("etag")
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok());
    let status = response.status();
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    match status {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => {
            return Ok(StoreResponse {
                revision: None,
                body: bytes::Bytes::new(),
                found: false,
            })
        }
        StatusCode::PRECONDITION_FAILED => return Err(store::StoreError::Conflict),
        StatusCode::PAYLOAD_TOO_LARGE => return Err(store::StoreError::TooLarge),
        StatusCode::TOO_MANY_REQUESTS => return Err(unavailable("over its rate")),
        // Other statuses, for example from a proxy, do not show whether a write took effect.
        _ if write => return Err(store::StoreError::Unknown),
        other => return Err(unavailable(other.to_string())),
    }
    match body {
        Ok(body) => Ok(StoreResponse {
            revision,
            body,
            found: true,
        }),
        Err(_) if write => Err(store::StoreError::Unknown),
        Err(e) => Err(unavailable(e.to_string())),
    }
}
