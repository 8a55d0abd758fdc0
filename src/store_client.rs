//! Client of the object service: one thread, one budget, priorities, counters.

use std::{sync, thread, time};

use actix_http::{Method, StatusCode};
use futures::{future, FutureExt as _};
use tokio::sync::{mpsc, oneshot};

use crate::{clock, decisions::call_budget, http_client, metrics, outcome, platform, store};

/// Calls that may wait in the ring to the thread.
const RING_CALLS: usize = 1024;
/// Calls that may wait for the budget; further ones are refused at once.
const BUDGET_CALLS: usize = 8192;
/// Calls under way at once.
const MAX_CONCURRENT: usize = 64;
/// Longest wait for an answer that is not a watch.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Largest answer read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// How the object service is reached.
#[derive(Debug, Clone)]
pub struct StoreOptions {
    /// Base of its addresses, like `http://127.0.0.1:7070`.
    pub url: String,
    /// Calls a second that this process may make.
    pub rate: call_budget::CallRate,
}

struct StoreCall {
    class: call_budget::CallClass,
    method: Method,
    path: String,
    condition: store::WriteCondition,
    value: bytes::Bytes,
    timeout: time::Duration,
    reply: oneshot::Sender<store::StoreResult<StoreAnswer>>,
}

struct StoreAnswer {
    revision: Option<store::ObjectRevision>,
    body: bytes::Bytes,
    found: bool,
}

impl StoreAnswer {
    /// What was read and its version, if there is anything new.
    fn into_object(self) -> Option<store::VersionedObject> {
        let revision = self.revision.filter(|_| self.found)?;
        let value = self.body;
        Some(store::VersionedObject { revision, value })
    }
}

/// A handle to the thread that talks to the object service.
///
/// The thread ends when the last handle is dropped.
#[derive(Clone)]
pub struct StoreClient {
    ring: mpsc::Sender<StoreCall>,
}

impl StoreClient {
    /// Starts the thread.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(
        options: StoreOptions,
        clock: sync::Arc<dyn clock::MonotonicClock>,
        metrics: sync::Arc<metrics::MetricSet>,
    ) -> std::io::Result<Self> {
        let (ring, calls) = mpsc::channel(RING_CALLS);
        thread::Builder::new().name("store".into()).spawn(move || {
            actix_rt::System::new().block_on(run(options, clock, metrics, calls));
        })?;
        Ok(Self { ring })
    }

    fn call(
        &self,
        class: call_budget::CallClass,
        method: Method,
        path: String,
        condition: store::WriteCondition,
        value: bytes::Bytes,
        timeout: time::Duration,
    ) -> impl future::Future<Output = store::StoreResult<StoreAnswer>> + Send + 'static {
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
        let queued = self.ring.try_send(call);
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
    ) -> impl future::Future<Output = store::StoreResult<StoreAnswer>> + Send + 'static {
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
    response: store::StoreResult<StoreAnswer>,
) -> store::StoreResult<T> {
    serde_json::from_slice(&response?.body).map_err(|e| store::StoreError::Corrupt(e.to_string()))
}

impl store::ObjectStore for StoreClient {
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
        // A read under a condition: it holds unless the list is at the known revision.
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

/// The thread's loop: queues calls, and sends each when the budget lets it.
async fn run(
    options: StoreOptions,
    clock: sync::Arc<dyn clock::MonotonicClock>,
    metrics: sync::Arc<metrics::MetricSet>,
    mut calls: mpsc::Receiver<StoreCall>,
) {
    let client = http_client::new_client(MAX_CONCURRENT * 2);
    let mut budget = call_budget::CallBudget::new(options.rate, BUDGET_CALLS, clock.now());
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
                // Calls that came meanwhile may have a better claim on the next turn.
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
) -> store::StoreResult<StoreAnswer> {
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
    let body = response.body().limit(MAX_ANSWER_BYTES).await;
    match status {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => {
            return Ok(StoreAnswer {
                revision: None,
                body: bytes::Bytes::new(),
                found: false,
            })
        }
        StatusCode::PRECONDITION_FAILED => return Err(store::StoreError::Conflict),
        StatusCode::PAYLOAD_TOO_LARGE => return Err(store::StoreError::TooLarge),
        StatusCode::TOO_MANY_REQUESTS => return Err(unavailable("over its rate")),
        // A gateway's word on a write says nothing of whether it took effect.
        _ if write => return Err(store::StoreError::Unknown),
        other => return Err(unavailable(other.to_string())),
    }
    match body {
        Ok(body) => Ok(StoreAnswer {
            revision,
            body,
            found: true,
        }),
        Err(_) if write => Err(store::StoreError::Unknown),
        Err(e) => Err(unavailable(e.to_string())),
    }
}
