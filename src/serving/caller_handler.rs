//! Reads callers' requests and dispatches each to its handler.

use std::{rc, time};

use actix_http::StatusCode;
use futures::future;

use super::{
    attempt, context, job_calls, readiness_gate, refusals, relay, request_admission, route_table,
    wire,
};
use crate::{callers::memory, clock, decisions::caller_budget, http_server, ids};

/// Timeout of a request whose caller names none.
const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Handles the requests of callers.
#[derive(Clone)]
pub struct CallerHandler {
    context: rc::Rc<context::ProcessContext>,
    gate: rc::Rc<readiness_gate::ReadinessGate>,
}

impl CallerHandler {
    /// Creates a handler for a process.
    pub fn new(context: rc::Rc<context::ProcessContext>) -> Self {
        Self {
            context,
            gate: rc::Rc::default(),
        }
    }
}

impl http_server::RequestHandler for CallerHandler {
    fn handle(
        &self,
        request: actix_http::Request,
    ) -> future::LocalBoxFuture<'static, http_server::HttpResponse> {
        let (context, gate) = (self.context.clone(), self.gate.clone());
        let arrived = clock::BootInstant::now();
        Box::pin(async move {
            let active = relay::ActiveRequest::begin(&context);
            let terms = context.wire.caller_terms(request.head().headers());
            let id = terms.id.clone();
            let arrival = Arrival {
                arrived,
                terms,
                active,
            };
            let mut response = respond(context.clone(), &gate, request, arrival).await;
            let age = arrived.elapsed();
            refusals::record(&context.metrics, &response, id.as_deref(), age);
            // The process may have begun to stop while the request was active.
            if context.is_stopping() {
                response
                    .head_mut()
                    .set_connection_type(actix_http::ConnectionType::Close);
            }
            response
        })
    }
}

/// A request whose head has been read.
struct Arrival {
    arrived: clock::BootInstant,
    terms: wire::CallerTerms,
    active: relay::ActiveRequest,
}

async fn respond(
    context: rc::Rc<context::ProcessContext>,
    gate: &rc::Rc<readiness_gate::ReadinessGate>,
    mut request: actix_http::Request,
    arrival: Arrival,
) -> http_server::HttpResponse {
    let Arrival {
        arrived,
        terms,
        active,
    } = arrival;
    let gate_request = readiness_gate::GateRequest {
        id: terms.id.as_deref(),
        key: &terms.key,
        arrived,
        timeout: terms.timeout.unwrap_or(DEFAULT_TIMEOUT),
        bytes: head_bytes(&request),
    };
    if let Err(response) = readiness_gate::pass(gate, &context, gate_request).await {
        return response;
    }
    let table = context.fleet.table();
    let host = host_of(&request);
    let path = request.path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let call = context
        .wire
        .job_call(request.method(), &path, &query, request.head().headers());
    if let Some(call) = call {
        let is_public = table.find_batch(&host).is_some_and(|route| route.is_public);
        let workspace = match request_admission::identify(&context, &table, &terms, is_public) {
            Ok(workspace) => workspace.as_ref().map(|spec| spec.id.clone()),
            Err(response) => return response,
        };
        let mut held = held_for(&context, &request, &workspace);
        if let Err(denial) = held.reserve(0) {
            let objective = table.find_batch(&host).map(|route| route.objective);
            let retry_after = objective.unwrap_or(job_calls::RETRY_AFTER);
            return refusals::refuse_memory(&denial, &workspace, retry_after);
        }
        return job_calls::respond(&context, call, workspace.as_ref()).await;
    }
    let Some(route) = table.find(&host, &path).cloned() else {
        log::info!(
            "event=no_route host={host} path={path} version={}",
            table.version()
        );
        let inputs = format!("host={host} path={path} version={}", table.version());
        let body = "no route has this host and path\n";
        return refusals::refuse(StatusCode::NOT_FOUND, "no_route", inputs, body);
    };
    let limits = table.state().limits;
    let head_bytes = gate_request.bytes;
    if head_bytes > limits.max_head_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        let inputs = format!("bytes={head_bytes} max_bytes={}", limits.max_head_bytes);
        return refusals::refuse(status, "head_too_large", inputs, "the head is too large\n");
    }
    let identified = request_admission::identify(&context, &table, &terms, route.is_public);
    let workspace = match identified {
        Ok(workspace) => workspace,
        Err(response) => return response,
    };
    if route.kind.is_stream() && terms.resumes == wire::ResumedStream::Malformed {
        let body = "the name of the resumed stream is not the name of a request\n";
        let inputs = format!("route={}", route.name);
        return refusals::refuse(StatusCode::BAD_REQUEST, "resume_malformed", inputs, body);
    }
    if terms.prompt == wire::PromptPrefix::Malformed {
        let body = "the list of prompt parts is not a list of IDs and numbers of tokens\n";
        let inputs = format!("route={}", route.name);
        return refusals::refuse(StatusCode::BAD_REQUEST, "prompt_malformed", inputs, body);
    }
    let timeout = terms.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let body_timeout = timeout.min(time::Duration::from_secs(10));
    let holder = workspace.as_ref().map(|spec| spec.id.clone());
    let mut held = held_for(&context, &request, &holder);
    let reserve = |bytes| held.reserve(bytes);
    let max_bytes = limits.max_body_bytes;
    let reading = http_server::read_reserved_body(&mut request, max_bytes, body_timeout, reserve);
    let body = match reading.await {
        Ok(body) => body,
        Err(http_server::BodyError::NoMemory(denial)) => {
            return refusals::refuse_memory(&denial, &holder, route.objective);
        }
        Err(e) => return body_error_response(&e),
    };
    if route.kind == route_table::RouteKind::Batch {
        let submission = job_calls::Submission {
            route: &route,
            terms: &terms,
            workspace: workspace.map(|spec| spec.id.clone()),
            arrived,
        };
        return job_calls::submit(&context, submission, body).await;
    }
    let (method, uri) = (request.method(), request.uri());
    let digest = ids::RequestDigest::of(method.as_str(), &host, &uri.to_string(), &body);
    let patience = request_admission::CallerPatience { arrived, timeout };
    let admitted =
        request_admission::admit(&context, &workspace, &terms, &route, digest, patience).await;
    let token = match admitted {
        Ok(token) => token,
        Err(response) => return response,
    };
    let mut headers = attempt::forwarded_headers(request.head().headers());
    if table.workspaces().is_required() {
        let workspace = workspace.as_ref().map(|spec| &spec.id);
        context.wire.write_workspace(&mut headers, workspace);
    }
    let forwarded = attempt::ForwardedRequest {
        digest,
        parts: terms.prompt.parts().to_vec(),
        method: request.method().clone(),
        uri: request.uri().clone(),
        headers,
        body,
        id: terms.id.clone(),
        repeatable: route.kind.is_repeatable(),
    };
    let request = relay::CallerRequest {
        route,
        forwarded: rc::Rc::new(forwarded),
        terms,
        deadline: arrived + timeout,
        arrived,
        token,
        held,
        workspace: workspace.map(|spec| spec.id.clone()),
    };
    relay::serve(context, request, active).await
}

/// Returns an account for the body of a request, and attributes what is held for the
/// responses on its connection to its workspace.
fn held_for(
    context: &context::ProcessContext,
    request: &actix_http::Request,
    holder: &caller_budget::BudgetHolder,
) -> memory::HeldBytes {
    match memory::RequestAccount::of(request) {
        Some(account) => {
            account.set_holder(holder);
            account.held(holder.clone())
        }
        None => memory::HeldBytes::none(&context.caller_memory, holder.clone(), None),
    }
}

fn body_error_response(error: &http_server::BodyError) -> http_server::HttpResponse {
    let (status, label) = match error {
        http_server::BodyError::TooLarge(_) => {
            (StatusCode::PAYLOAD_TOO_LARGE, Some("body_too_large"))
        }
        http_server::BodyError::TooSlow(_) => (StatusCode::REQUEST_TIMEOUT, Some("body_too_slow")),
        http_server::BodyError::NoMemory(_) => (StatusCode::SERVICE_UNAVAILABLE, None),
        // Mostly a caller that has left.
        http_server::BodyError::Broken(_) => (StatusCode::BAD_REQUEST, None),
    };
    log::info!("event=body_unread status={status} why=\"{error}\"");
    let body = format!("{error}\n");
    match label {
        Some(label) => refusals::refuse(status, label, format!("why=\"{error}\""), body),
        None => http_server::plain(status, body),
    }
}

fn host_of(request: &actix_http::Request) -> String {
    let name = http_server::header(request.head(), "host");
    let name = name.or_else(|| request.uri().host());
    name.unwrap_or_default().to_owned()
}

/// Approximates the size in bytes of a request's head on the wire.
fn head_bytes(request: &actix_http::Request) -> usize {
    let headers: &wire::HeaderMap = request.head().headers();
    let lines = headers.iter();
    let lines = lines.map(|(name, value)| name.as_str().len() + value.len() + 4);
    request.uri().to_string().len() + lines.sum::<usize>()
}
