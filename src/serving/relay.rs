//! Carries one request of a caller to its answer.

use std::{rc, time};

use actix_http::{header, StatusCode};

use super::{
    answer_copy, attempt, attempt_flow, context, crash_guard, event_flow, request_admission,
    route_table, slots, suspension, wire,
};
use crate::{clock, decisions::crash_ledger::CrashVerdict, http_server, ids};

/// Outcome of a request whose answer an endpoint gave to its end.
pub(super) const ANSWERED: &str = "answered";

/// What the caller of a request is told that is held back.
const HELD_BODY: &str = "held back: each endpoint that began to run this request crashed\n";

/// A request of a caller under way.
pub struct CallerRequest {
    /// Its route.
    pub route: std::sync::Arc<route_table::Route>,
    /// What goes to endpoints.
    pub forwarded: rc::Rc<attempt::ForwardedRequest>,
    /// What the caller said.
    pub terms: wire::CallerTerms,
    /// When its final answer is due.
    pub deadline: clock::BootInstant,
    /// When it came.
    pub arrived: clock::BootInstant,
    /// What was spent of its workspace's limit.
    pub(super) token: Option<request_admission::SpentToken>,
    /// The workspace that it is served for.
    pub workspace: Option<ids::WorkspaceId>,
}

/// Counts a request under way until its answer has gone or its caller has left.
pub struct ActiveRequest {
    context: rc::Rc<context::ProcessContext>,
}

impl ActiveRequest {
    /// Begins to count.
    pub fn begin(context: &rc::Rc<context::ProcessContext>) -> Self {
        context.active.set(context.active.get() + 1);
        Self {
            context: context.clone(),
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.context.active.set(self.context.active.get() - 1);
    }
}

/// The final refusal or failure of a request.
#[derive(Debug)]
pub enum FinalError {
    /// It did not run and will not: the caller may come back after this time.
    NotRun(time::Duration, String),
    /// It did not run: it is held back for so long, as it crashes endpoints.
    Held(time::Duration),
    /// It may have run and failed.
    Failed(String),
    /// Its time is over.
    Late,
}

/// One request on its way through attempts.
pub(super) struct RequestRelay {
    pub(super) context: rc::Rc<context::ProcessContext>,
    pub(super) request: CallerRequest,
    pub(super) log: attempt_flow::AttemptLog,
    /// Index of the last event that went to the caller, or that it named itself.
    pub(super) last_event: Option<u64>,
    pub(super) started: bool,
    /// Time from its arrival to the first event that went to the caller.
    first_event: std::cell::Cell<Option<time::Duration>>,
    _active: ActiveRequest,
}

/// Serves a request to its final answer.
pub async fn serve(
    context: rc::Rc<context::ProcessContext>,
    request: CallerRequest,
    active: ActiveRequest,
) -> http_server::HttpResponse {
    let last_event = request.terms.resume_after;
    let mut relay = RequestRelay {
        context,
        request,
        log: attempt_flow::AttemptLog::default(),
        last_event,
        started: false,
        first_event: std::cell::Cell::new(None),
        _active: active,
    };
    let id = relay.request.terms.id.as_deref().unwrap_or("-");
    let digest = relay.request.forwarded.digest;
    // Known to be in vain, so it is not let wait for a place.
    let verdict = crash_guard::admit_settled(&relay.context, digest, id).await;
    if let CrashVerdict::Held(left) = verdict {
        return relay.refuse(&FinalError::Held(left));
    }
    let outcome = match relay.request.route.kind.is_stream() {
        true => relay.open_stream(None).await,
        false => relay.full_response().await,
    };
    match outcome {
        Ok(Served::Whole(response)) => {
            relay.record_end(ANSWERED, response.status().as_u16());
            response
        }
        Ok(Served::Stream(head, stream)) => relay.into_stream(head, stream),
        Err(e) => relay.refuse(&e),
    }
}

/// What a request came to.
pub(super) enum Served {
    Whole(http_server::HttpResponse),
    Stream(actix_http::ResponseHead, Box<event_flow::OpenStream>),
}

impl RequestRelay {
    pub(super) fn left(&self) -> time::Duration {
        let now = clock::BootInstant::now();
        self.request.deadline.duration_since(now)
    }

    /// Resolves when the caller's time is over.
    pub(super) async fn sleep_remaining(&self) {
        suspension::sleep_remaining(&self.context, || self.left()).await;
    }

    pub(super) fn may_repeat(&self) -> bool {
        self.request.route.kind.is_repeatable()
    }

    /// Attempts that may still run.
    pub(super) fn attempts_left(&self) -> u32 {
        let allowed = match self.may_repeat() {
            true => self.request.route.max_attempts,
            false => 1,
        };
        allowed.saturating_sub(self.log.ran)
    }

    /// Waits for an endpoint, and suspects it when it takes longer than the objective.
    ///
    /// A request that may run once has to go on waiting; others can be spared
    /// the endpoint by then.
    pub(super) async fn suspecting<T>(
        &self,
        slot: &slots::HeldSlot,
        waiting: impl std::future::Future<Output = T>,
    ) -> T {
        tokio::pin!(waiting);
        let objective = self.request.route.objective;
        if let Ok(done) = tokio::time::timeout(objective, &mut waiting).await {
            return done;
        }
        log::info!(
            "event=endpoint_suspected request={} endpoint={} silent_ms={}",
            self.request.terms.id.as_deref().unwrap_or("-"),
            slot.endpoint.id,
            objective.as_millis()
        );
        slot.record_failed(false);
        waiting.await
    }

    /// A whole answer, held back until it is complete.
    async fn full_response(&mut self) -> Result<Served, FinalError> {
        loop {
            let mut answered = self.next_answer(None).await?;
            let reading = answer_copy::read_whole(&mut answered.open.incoming);
            let read = tokio::select! {
                biased;
                read = reading => read,
                () = self.sleep_remaining() => return Err(FinalError::Late),
            };
            match read {
                Ok(body) => {
                    let response = self.whole(&answered.open.incoming.head, body);
                    self.give_back(answered);
                    return Ok(Served::Whole(response));
                }
                Err(e) => {
                    self.record_broken(&answered.slot, "cut", &e.to_string());
                    answered.slot.record_failed(false);
                    drop(answered);
                    match self.after_unknown(e.to_string()) {
                        attempt_flow::NextStep::GiveUp(e) => return Err(e),
                        attempt_flow::NextStep::Again => continue,
                    }
                }
            }
        }
    }

    pub(super) fn whole(
        &self,
        head: &actix_http::ResponseHead,
        body: bytes::Bytes,
    ) -> http_server::HttpResponse {
        let mut response = actix_http::Response::build(head.status);
        answer_copy::copy_headers(&self.context, head, &mut response);
        self.mark_close(&mut response);
        response.body(body).map_into_boxed_body()
    }

    pub(super) fn mark_close(&self, response: &mut actix_http::ResponseBuilder) {
        if self.context.is_stopping() {
            response.force_close();
        }
    }

    /// Keeps the connection of an answer that is complete.
    pub(super) fn give_back(&self, answered: attempt_flow::Answered) {
        if !attempt::is_failure(answered.open.incoming.head.status) {
            answered.slot.record_served();
        }
        let limit = answered.open.notes.idle_limit;
        if let Some(connection) = answered.open.incoming.into_connection() {
            self.context.pool.put(connection, limit);
        }
    }

    pub(super) fn observe_first(&self) {
        let duration = self.request.arrived.elapsed();
        self.first_event.set(Some(duration));
        let metrics = &self.context.metrics;
        metrics.observe(&metrics.first_token, self.series(), self.label(), duration);
    }

    /// Whose series of metrics it counts in: those of its workspace, or of its route.
    fn series(&self) -> &str {
        let workspace = self.request.workspace.as_ref();
        workspace.map_or(&self.request.route.name, |id| id.as_str())
    }

    fn label(&self) -> &'static str {
        self.request.route.kind.label()
    }

    /// One line and one count for the end of a request.
    pub(super) fn record_end(&self, outcome: &str, status: u16) {
        let spent = self.request.arrived.elapsed();
        if outcome == ANSWERED {
            crash_guard::record_served(&self.context, self.request.forwarded.digest);
        }
        let metrics = &self.context.metrics;
        metrics.responses.with_label_values(&[outcome]).inc();
        metrics.observe(&metrics.full_response, self.series(), self.label(), spent);
        log::info!(
            "event=request_end request={} digest={} workspace={} route={} version={} outcome={outcome} status={status} ms={} first_ms={} objective_ms={} ran={} not_run={} endpoint={} last_event={}",
            self.request.terms.id.as_deref().unwrap_or("-"),
            self.request.forwarded.digest,
            self.request.workspace.as_ref().map_or("-", |id| id.as_str()),
            self.request.route.name,
            self.context.fleet.table().version(),
            spent.as_millis(),
            self.first_event.get().unwrap_or(spent).as_millis(),
            self.request.route.objective.as_millis(),
            self.log.ran,
            self.log.not_run,
            self.log.last.as_ref().map_or("-", |id| id.as_str()),
            self.last_event.map_or(-1, |id| id as i64),
        );
    }

    fn refuse(&mut self, error: &FinalError) -> http_server::HttpResponse {
        let (outcome, status) = match error {
            FinalError::NotRun(..) => ("refused", StatusCode::SERVICE_UNAVAILABLE),
            FinalError::Held(_) => ("held", StatusCode::SERVICE_UNAVAILABLE),
            FinalError::Failed(_) => ("failed", StatusCode::BAD_GATEWAY),
            FinalError::Late => ("late", StatusCode::GATEWAY_TIMEOUT),
        };
        log::info!(
            "event=request_given_up request={} error=\"{error:?}\"",
            self.request.terms.id.as_deref().unwrap_or("-")
        );
        if matches!(error, FinalError::NotRun(..) | FinalError::Held(_)) {
            if let Some(token) = self.request.token.take() {
                token.give_back();
            }
        }
        self.record_end(outcome, status.as_u16());
        let mut response = actix_http::Response::build(status);
        self.mark_close(&mut response);
        if let FinalError::NotRun(delay, _) | FinalError::Held(delay) = error {
            response.insert_header((header::RETRY_AFTER, format!("{:.2}", delay.as_secs_f64())));
        }
        let told = match error {
            FinalError::Held(_) => HELD_BODY,
            _ => outcome,
        };
        response.body(told).map_into_boxed_body()
    }
}
