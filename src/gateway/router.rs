//! Routing of callers' and operators' requests to their handlers, by method and path.

use std::{sync, time};

use actix_http::{Method, StatusCode};
use futures::{future, FutureExt as _};

use super::{batches, caller_request, context, files, generation, operators, outputs, plain_calls};
use crate::{callers::memory, endpoint_client, error, http_server, ids};

/// Request handler of one worker thread, with its own client for endpoints.
pub struct CallerRouter {
    context: sync::Arc<context::GatewayContext>,
    client: awc::Client,
}

impl CallerRouter {
    /// Creates a router for the current thread.
    pub fn new(context: sync::Arc<context::GatewayContext>) -> Self {
        Self {
            context,
            client: endpoint_client::new_client(),
        }
    }
}

impl http_server::RequestHandler for CallerRouter {
    fn handle(
        &self,
        request: actix_http::Request,
    ) -> future::LocalBoxFuture<'static, http_server::HttpResponse> {
        let context = self.context.clone();
        let client = self.client.clone();
        async move {
            let request_id = ids::unique("req");
            let request_log = RequestLog::new(&request, request_id.clone());
            let running = RunningRequest::begin(&context, &request);
            let outcome = match running.check() {
                Ok(()) => route(&context, &client, request, request_id).await,
                Err(e) => Err(e),
            };
            request_log.finish(&context, outcome)
        }
        .boxed_local()
    }
}

/// Request in flight; counted until its response is made or its caller disconnects.
struct RunningRequest {
    context: sync::Arc<context::GatewayContext>,
    /// Error that refuses the request before it is routed, if a limit is exceeded.
    refusal: Option<error::ApiError>,
}

impl RunningRequest {
    fn begin(context: &sync::Arc<context::GatewayContext>, request: &actix_http::Request) -> Self {
        let is_within_limit = context.begin_request();
        let account = memory::RequestAccount::of(request);
        let overloaded = |message| error::ApiError::not_run(error::ErrorCode::Overloaded, message);
        let refusal = if account.is_some_and(|a| a.connection().is_beyond) {
            Some(overloaded("the gateway has too many connections"))
        } else if !is_within_limit {
            Some(overloaded("the gateway has too many requests at once"))
        } else {
            head_size_error(request, context.settings.callers.limits.head_bytes)
        };
        Self {
            context: context.clone(),
            refusal,
        }
    }

    /// Returns the error if the request is refused.
    fn check(&self) -> error::ApiResult<()> {
        self.refusal.clone().map_or(Ok(()), Err)
    }
}

/// Returns an error if the request's head is larger than `limit` bytes.
fn head_size_error(request: &actix_http::Request, limit: usize) -> Option<error::ApiError> {
    let fields = request.head().headers().iter();
    let size: usize = fields
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    let size = size + request.uri().path().len() + request.uri().query().map_or(0, str::len);
    let message = format!("the head is larger than {limit} bytes");
    (size > limit).then(|| error::ApiError::not_run(error::ErrorCode::TooLarge, message))
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.context.end_request();
    }
}

/// Fields of a request's log line.
struct RequestLog {
    request_id: String,
    method: Method,
    path: String,
    started: time::Instant,
}

impl RequestLog {
    fn new(request: &actix_http::Request, request_id: String) -> Self {
        Self {
            request_id,
            method: request.method().clone(),
            path: request.path().to_owned(),
            started: time::Instant::now(),
        }
    }

    /// Converts an outcome to the response, adds the request's identifier, and counts and logs it.
    fn finish(
        self,
        context: &context::GatewayContext,
        outcome: error::ApiResult<http_server::HttpResponse>,
    ) -> http_server::HttpResponse {
        let (code, reason, mut response) = match outcome {
            Ok(response) => ("ok", String::new(), response),
            Err(e) => (
                e.code.as_str(),
                e.message.replace('"', "'"),
                e.to_response(),
            ),
        };
        context.metrics.responses.with_label_values(&[code]).inc();
        log::info!(
            "event=answered request={} method={} path={} status={} code={code} ms={} why=\"{}\"",
            self.request_id,
            self.method,
            self.path.escape_debug(),
            response.status().as_u16(),
            self.started.elapsed().as_millis(),
            reason
        );
        let name = actix_http::header::HeaderName::from_static(caller_request::REQUEST_HEADER);
        if let Ok(value) = self.request_id.parse() {
            response.headers_mut().insert(name, value);
        }
        response
    }
}

async fn route(
    context: &sync::Arc<context::GatewayContext>,
    client: &awc::Client,
    request: actix_http::Request,
    request_id: String,
) -> error::ApiResult<http_server::HttpResponse> {
    let path = request.path().to_owned();
    match path.as_str() {
        "/healthz" => return Ok(http_server::plain(StatusCode::OK, "ok")),
        "/readyz" => return Ok(readiness_response(context)),
        "/metrics" => return Ok(http_server::plain(StatusCode::OK, context.metrics.render())),
        _ => {}
    }
    if path.starts_with("/operator/") {
        return operators::serve(context, request).await;
    }
    let bundle = context.fleet.snapshot().bundle.clone();
    let timeout = context.settings.online.default_deadline_ms;
    let timeout = time::Duration::from_millis(timeout);
    let terms = caller_request::read_terms(request.head(), &bundle, request_id, timeout)?;
    serve(context, client, terms, request).await
}

async fn serve(
    context: &sync::Arc<context::GatewayContext>,
    client: &awc::Client,
    terms: caller_request::CallerTerms,
    request: actix_http::Request,
) -> error::ApiResult<http_server::HttpResponse> {
    let path = request.path().to_owned();
    let workspace = terms.workspace.id.clone();
    let method = request.method().clone();
    if path.starts_with("/services/") {
        return plain_calls::serve(context, client, &terms, request).await;
    }
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let json = |value: &serde_json::Value| http_server::json(StatusCode::OK, value);
    match (method.as_str(), parts.as_slice()) {
        ("POST", ["v1", "chat", "completions"] | ["v1", "completions"]) => {
            generation::serve(context, client, terms, request).await
        }
        ("GET", ["v1", "models"]) => Ok(json(&models(context))),
        ("POST", ["v1", "files"]) => files::upload(context, &terms, request).await,
        ("GET", ["v1", "files", file]) => {
            Ok(json(&outputs::describe(context, &workspace, file).await?))
        }
        ("GET", ["v1", "files", file, "content"]) => {
            outputs::content(context, &workspace, file).await
        }
        ("POST", ["v1", "batches"]) => batches::create(context, &terms, request).await,
        ("GET", ["v1", "batches"]) => {
            Ok(json(&batches::list(context, &workspace, &request).await?))
        }
        ("GET", ["v1", "batches", id]) => {
            Ok(json(&batches::read(context, &workspace, id).await?.json()))
        }
        ("POST", ["v1", "batches", id, "cancel"]) => Ok(json(
            &batches::cancel(context, &workspace, id).await?.json(),
        )),
        _ => {
            let message = format!("no such path: {method} {path}");
            Err(error::ApiError::not_run(
                error::ErrorCode::NotFound,
                message,
            ))
        }
    }
}

fn models(context: &context::GatewayContext) -> serde_json::Value {
    let bundle = context.fleet.snapshot().bundle.clone();
    let data: Vec<_> = bundle
        .document
        .models
        .iter()
        .map(|m| {
            serde_json::json!({
                "id": m.name, "object": "model", "created": 0, "owned_by": "jayhollow",
            })
        })
        .collect();
    serde_json::json!({"object": "list", "data": data})
}

/// Responds to the readiness probe: ready if the accepted bundle is active here and the gateway is
/// not stopping.
fn readiness_response(context: &context::GatewayContext) -> http_server::HttpResponse {
    if context.is_stopping() {
        return http_server::plain(StatusCode::SERVICE_UNAVAILABLE, "stopping");
    }
    if !context.fleet.snapshot().synced {
        return http_server::plain(StatusCode::SERVICE_UNAVAILABLE, "no bundle yet");
    }
    http_server::plain(StatusCode::OK, "ready")
}
