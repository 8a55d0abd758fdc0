//! Admits a caller's request: identifies its workspace and applies the workspace's
//! rate limit.

use std::{rc, sync, time};

use actix_http::{header, StatusCode};

use super::{
    context, limit_links, refusals, route_table, wire,
    workspaces::{api_key, limiter, workspace_table},
};
use crate::{
    clock,
    decisions::{
        authentication::{self, KeyFreshness, KeyMatch, KeyVerdict},
        queue_limit,
    },
    http_server, ids, protection,
};

/// `Retry-After` for a key that this process does not know yet.
///
/// It is short, as the next try goes to another gateway.
const UNDECIDED_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);
/// Authentication scheme in the `WWW-Authenticate` header.
const CHALLENGE: &str = "Token";

/// The workspace that a request is served for, if it has one.
pub(super) type CallerWorkspace = Option<sync::Arc<workspace_table::WorkspaceSpec>>;

/// A rate-limit token spent for a request.
pub(super) struct SpentToken {
    context: rc::Rc<context::ProcessContext>,
    workspace: ids::WorkspaceId,
}

impl SpentToken {
    /// Refunds the token, as the request did not run.
    pub(super) fn refund(self) {
        let now = self.context.clock.now();
        self.context.limiter.give_back(&self.workspace, now);
    }
}

/// Identifies the workspace of a request by its API key.
///
/// # Errors
/// The response that rejects the request.
pub(super) fn identify(
    context: &context::ProcessContext,
    table: &route_table::RouteTable,
    terms: &wire::CallerTerms,
    is_public: bool,
) -> Result<CallerWorkspace, http_server::HttpResponse> {
    let workspaces = table.workspaces();
    if !workspaces.is_required() || protection::is_disabled("api_key") {
        return Ok(None);
    }
    let found = match &terms.key {
        api_key::PresentedKey::Key(digest) => match workspaces.find(digest) {
            Some(spec) => KeyMatch::Known(spec.clone()),
            None => KeyMatch::Unknown,
        },
        api_key::PresentedKey::Missing | api_key::PresentedKey::Malformed => KeyMatch::NoKey,
    };
    let freshness = key_freshness(context, table.version());
    match authentication::authenticate(found, is_public, freshness) {
        KeyVerdict::Anonymous => Ok(None),
        KeyVerdict::Workspace(spec) => Ok(Some(spec)),
        KeyVerdict::Unauthorized => Err(unauthorized(context, table, terms)),
        KeyVerdict::Undecided => Err(undecided(context, table, terms)),
    }
}

/// Returns whether the known API keys are current.
fn key_freshness(
    context: &context::ProcessContext,
    version: route_table::StateVersion,
) -> KeyFreshness {
    let now = context.clock.now();
    let members = context.members.borrow();
    let is_newer_known = members
        .addresses_with_newer_state(version, now)
        .next()
        .is_some();
    let is_followed = context.fleet.is_following() || members.has_live_follower(now);
    match is_followed && !is_newer_known {
        true => KeyFreshness::Current,
        false => KeyFreshness::Stale,
    }
}

/// Rejects a request without a valid key.
fn unauthorized(
    context: &context::ProcessContext,
    table: &route_table::RouteTable,
    terms: &wire::CallerTerms,
) -> http_server::HttpResponse {
    let (reason, body) = match terms.key {
        api_key::PresentedKey::Missing => ("key_missing", "an API key is required\n"),
        api_key::PresentedKey::Malformed => ("key_malformed", "the API key is malformed\n"),
        api_key::PresentedKey::Key(_) => ("key_unknown", "unknown API key\n"),
    };
    record_rejected(context, table, terms, reason);
    let response = actix_http::Response::build(StatusCode::UNAUTHORIZED)
        .insert_header((header::WWW_AUTHENTICATE, CHALLENGE))
        .body(body)
        .map_into_boxed_body();
    refusals::mark(response, reason, format!("version={}", table.version()))
}

/// Rejects a request whose key may be newer than the keys known here.
fn undecided(
    context: &context::ProcessContext,
    table: &route_table::RouteTable,
    terms: &wire::CallerTerms,
) -> http_server::HttpResponse {
    record_rejected(context, table, terms, "key_undecided");
    refusals::refuse_temporarily(
        "key_undecided",
        format!("version={}", table.version()),
        UNDECIDED_RETRY_AFTER,
        "the API key is not known here yet\n",
    )
}

/// Logs and counts a request that is rejected for its key.
fn record_rejected(
    context: &context::ProcessContext,
    table: &route_table::RouteTable,
    terms: &wire::CallerTerms,
    reason: &str,
) {
    let rejected = &context.metrics.rejected;
    rejected.with_label_values(&[reason]).inc();
    log::info!(
        "event=request_rejected request={} reason={reason} key={} version={}",
        terms.id.as_deref().unwrap_or("-"),
        terms.key,
        table.version()
    );
}

fn refused(
    status: StatusCode,
    delay: time::Duration,
    body: impl Into<String>,
) -> http_server::HttpResponse {
    actix_http::Response::build(status)
        .insert_header((header::RETRY_AFTER, format!("{:.3}", delay.as_secs_f64())))
        .body(body.into())
        .map_into_boxed_body()
}

/// When a request arrived, and for how long its caller waits from then on.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallerPatience {
    /// When the request arrived.
    pub(super) arrived: clock::BootInstant,
    /// Time for which the caller waits.
    pub(super) timeout: time::Duration,
}

/// Returns the maximum time for which a request may wait for a token: what the objective of
/// its route leaves, and no more than half of its caller's time.
fn max_token_wait(route: &route_table::Route, patience: CallerPatience) -> time::Duration {
    if protection::is_disabled("token_wait") {
        return time::Duration::ZERO;
    }
    let age = patience.arrived.elapsed();
    let planned = queue_limit::planned_wait(route.objective).saturating_sub(age);
    planned.min(patience.timeout.saturating_sub(age) / 2)
}

/// Spends a token of the rate limit of a request's workspace, if it has one. Waits for one
/// if the limit is used up and the wait fits into the objective of the route.
///
/// # Errors
/// The response that rejects the request.
pub(super) async fn admit(
    context: &rc::Rc<context::ProcessContext>,
    workspace: &CallerWorkspace,
    terms: &wire::CallerTerms,
    route: &route_table::Route,
    digest: ids::RequestDigest,
    patience: CallerPatience,
) -> Result<Option<SpentToken>, http_server::HttpResponse> {
    let Some(spec) = workspace else {
        return Ok(None);
    };
    let Some(limit) = spec.limit else {
        return Ok(None);
    };
    if protection::is_disabled("rate_limit") {
        return Ok(None);
    }
    let source = limit_links::LinkTokenSource::new(context);
    let clock = context.clock.as_ref();
    let request = limiter::LimitedRequest {
        workspace: &spec.id,
        limit,
        digest,
        priority: spec.priority.unwrap_or(route.priority),
        max_wait: max_token_wait(route, patience),
    };
    let verdict = context.limiter.admit(&request, &source, clock).await;
    let token = || SpentToken {
        context: context.clone(),
        workspace: spec.id.clone(),
    };
    let waits = &context.metrics.token_waits;
    let (reason, status, refusal) = match verdict {
        limiter::LimitVerdict::Admitted => return Ok(Some(token())),
        limiter::LimitVerdict::AdmittedLate(waited) => {
            waits.with_label_values(&["granted"]).inc();
            log::info!(
                "event=token_waited request={} workspace={} limit={limit} waited_ms={} max_wait_ms={}",
                terms.id.as_deref().unwrap_or("-"),
                spec.id,
                waited.as_millis(),
                request.max_wait.as_millis()
            );
            return Ok(Some(token()));
        }
        limiter::LimitVerdict::Exceeded(refusal) => {
            ("rate_limited", StatusCode::TOO_MANY_REQUESTS, refusal)
        }
        limiter::LimitVerdict::Unchecked(refusal) => {
            ("limit_unchecked", StatusCode::SERVICE_UNAVAILABLE, refusal)
        }
    };
    waits.with_label_values(&[refusal.reason.label()]).inc();
    let delay = refusal.retry_after;
    let rejected = &context.metrics.rejected;
    rejected.with_label_values(&[reason]).inc();
    log::info!(
        "event=request_rejected request={} reason={reason} workspace={} limit={limit} version={} why={} waited_ms={} expected_ms={} ahead={} retry_after_ms={}",
        terms.id.as_deref().unwrap_or("-"),
        spec.id,
        context.fleet.table().version(),
        refusal.reason.label(),
        refusal.waited.as_millis(),
        refusal.expected.as_millis(),
        refusal.ahead,
        delay.as_millis()
    );
    let body = match status {
        StatusCode::TOO_MANY_REQUESTS => format!("rate limit of {limit} exceeded\n"),
        _ => "the rate limit cannot be checked now\n".to_owned(),
    };
    let inputs = format!("workspace={} limit={limit}", spec.id);
    Err(refusals::mark(refused(status, delay, body), reason, inputs))
}

/// Number of digits of a workspace's digest in the ids of its jobs.
const SCOPE_DIGITS: usize = 16;

/// Returns the id under which a job is stored.
///
/// It includes a digest of the workspace, so that jobs of the same name in different
/// workspaces stay separate.
///
/// # Errors
/// The resulting id is too long.
pub(super) fn scoped_job(
    job: &ids::JobId,
    workspace: Option<&ids::WorkspaceId>,
) -> Result<ids::JobId, ids::IdError> {
    let Some(workspace) = workspace else {
        return Ok(job.clone());
    };
    let mut scope = api_key::KeyDigest::of(workspace.as_str().as_bytes()).to_string();
    scope.truncate(SCOPE_DIGITS);
    format!("{job}.{scope}").parse()
}
