//! Relays one request of a caller to endpoints and returns the final response.

use std::{cell, rc, time};

use actix_http::{header, StatusCode};

use super::{
    attempt, attempt_flow, context, crash_guard,
    crash_trials::{self, TrialAdmission},
    event_flow, held_slot, refusals, request_admission, response_copy, route_table, slow_attempt,
    stream_origins, stream_resumption, suspension, wire,
};
use crate::{callers::memory, clock, http_server, ids};

/// Outcome of a request that got a complete response from an endpoint.
pub(super) const ANSWERED: &str = "answered";

/// Response body for a request that is quarantined for crashing endpoints.
const QUARANTINED_BODY: &str = "held back: each endpoint that began to run this request crashed\n";

/// Response body for a request whose trial is pending.
const SUSPECTED_BODY: &str = "suspected: endpoints crashed while they ran this request\n";

/// Response body for a request that shares a quarantined part of its prompt.
const QUARANTINED_PART_BODY: &str =
    "held back: endpoints crash when they begin to answer a part of this prompt\n";

/// Response body for a request that shares a part of its prompt whose trial is pending.
const SUSPECTED_PART_BODY: &str =
    "suspected: endpoints crashed while they ran requests with a part of this prompt\n";

/// An active request of a caller.
pub struct CallerRequest {
    /// Route that the request matched.
    pub route: std::sync::Arc<route_table::Route>,
    /// The request as it is forwarded to endpoints.
    pub forwarded: rc::Rc<attempt::ForwardedRequest>,
    /// Terms from the head of the request.
    pub terms: wire::CallerTerms,
    /// Deadline of the final response.
    pub deadline: clock::BootInstant,
    /// When the request arrived.
    pub arrived: clock::BootInstant,
    /// Token spent for it from the rate limit of its workspace.
    pub(super) token: Option<request_admission::SpentToken>,
    /// Account of its body.
    pub(super) held: memory::HeldBytes,
    /// Workspace that the request is served for.
    pub workspace: Option<ids::WorkspaceId>,
}

/// Time after the end of a caller's patience for which the origin of its stream is kept.
const ORIGIN_GRACE: time::Duration = time::Duration::from_secs(1);
/// Maximum time for which the origin of a stream is kept.
const MAX_ORIGIN_TIME: time::Duration = time::Duration::from_secs(300);

impl CallerRequest {
    /// Returns for how long the caller may resume the stream of the request.
    pub(super) fn resumable_for(&self) -> time::Duration {
        let patience = self.terms.timeout.unwrap_or(self.route.timeout);
        let left = patience.saturating_sub(self.arrived.elapsed());
        (left + ORIGIN_GRACE).min(MAX_ORIGIN_TIME)
    }
}

/// Guard that counts an active request until its response was sent or its caller left.
pub struct ActiveRequest {
    context: rc::Rc<context::ProcessContext>,
}

impl ActiveRequest {
    /// Counts a request until the guard is dropped.
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
    /// It did not run and will not; the caller may retry after this time.
    NotRun(time::Duration, String),
    /// It did not run; it is quarantined for this time, as it or a part of its prompt crashes
    /// endpoints.
    Held(ids::CrashSubject, time::Duration),
    /// It did not run; endpoints crashed during it or requests with a part of its prompt, and a
    /// trial within this time decides whether it is quarantined.
    Suspected(ids::CrashSubject, time::Duration),
    /// It did not run: it resumes a stream that can go on nowhere; the caller may retry after
    /// this time.
    NotResumed(stream_resumption::ResumeDenial, time::Duration),
    /// It may have run, and failed.
    Failed(String),
    /// Its deadline has passed.
    Late,
}

impl FinalError {
    /// Returns the reason under which a refusal is counted.
    fn label(&self) -> &'static str {
        match self {
            Self::NotRun(..) => "no_slot",
            Self::Held(..) => "quarantined",
            Self::Suspected(..) => "suspected",
            Self::NotResumed(denial, _) => denial.label(),
            Self::Failed(_) | Self::Late => "failed",
        }
    }

    /// Returns after which time the caller may retry, if the request did not run.
    fn retry_after(&self) -> Option<time::Duration> {
        match self {
            Self::NotRun(delay, _)
            | Self::NotResumed(_, delay)
            | Self::Held(_, delay)
            | Self::Suspected(_, delay) => Some(*delay),
            Self::Failed(_) | Self::Late => None,
        }
    }
}

/// The state of one request over all its attempts.
pub(super) struct RequestRelay {
    pub(super) context: rc::Rc<context::ProcessContext>,
    pub(super) request: CallerRequest,
    pub(super) log: attempt_flow::AttemptLog,
    /// Index of the last event sent to the caller, or of the one after which the caller
    /// resumes a stream.
    pub(super) last_event: Option<u64>,
    /// Whether the head of a stream was sent to the caller.
    pub(super) is_started: bool,
    /// Where the stream began, at whose software version alone it goes on; `None` before its
    /// first event.
    pub(super) origin: Option<stream_origins::StreamOrigin>,
    /// Whether the endpoint at which the stream began was asked for its start.
    pub(super) is_origin_checked: cell::Cell<bool>,
    /// Time from the arrival of the request to the first event sent to the caller.
    first_event: std::cell::Cell<Option<time::Duration>>,
    /// What crashes during the request may be attributed to.
    pub(super) subjects: Vec<ids::CrashSubject>,
    /// Trial that this request is, if it is suspected of crashing endpoints.
    pub(super) trial: Option<crash_trials::TrialGuard>,
    _active: ActiveRequest,
}

/// Serves a request and returns its final response.
pub async fn serve(
    context: rc::Rc<context::ProcessContext>,
    request: CallerRequest,
    active: ActiveRequest,
) -> http_server::HttpResponse {
    let last_event = request.terms.resume_after;
    let mut relay = RequestRelay {
        context,
        subjects: request.forwarded.subjects(),
        request,
        log: attempt_flow::AttemptLog::default(),
        last_event,
        is_started: false,
        origin: None,
        is_origin_checked: cell::Cell::new(false),
        first_event: std::cell::Cell::new(None),
        trial: None,
        _active: active,
    };
    let is_stream = relay.request.route.kind.is_stream();
    if is_stream && stream_resumption::is_resumed(&relay.request) {
        match stream_resumption::resolve(&relay.context, &relay.request).await {
            Ok(origin) => relay.origin = Some(origin),
            Err(denial) => {
                let error = relay.not_resumable(denial);
                return relay.refuse(&error);
            }
        }
    }
    // A quarantined request must not wait for a slot.
    if let Err(e) = relay.pass_trial().await {
        return relay.refuse(&e);
    }
    let outcome = match is_stream {
        true => relay.open_stream(None).await,
        false => relay.full_response().await,
    };
    match outcome {
        Ok(ServedResponse::Full(response)) => {
            relay.record_end(ANSWERED, response.status().as_u16());
            response
        }
        Ok(ServedResponse::Stream(head, stream)) => relay.into_stream(head, stream),
        Err(e) => relay.refuse(&e),
    }
}

/// Returns the index of an event for a log line; -1 for none.
pub(super) fn event_label(event: Option<u64>) -> i64 {
    event.map_or(-1, |index| index as i64)
}

/// The response of a request.
pub(super) enum ServedResponse {
    Full(http_server::HttpResponse),
    Stream(actix_http::ResponseHead, Box<event_flow::OpenStream>),
}

impl RequestRelay {
    /// Returns the time left until the deadline.
    pub(super) fn time_left(&self) -> time::Duration {
        let now = clock::BootInstant::now();
        self.request.deadline.duration_since(now)
    }

    /// Resolves when the deadline of the request has passed.
    pub(super) async fn wait_for_deadline(&self) {
        suspension::sleep_remaining(&self.context, || self.time_left()).await;
    }

    /// Waits until the request may run, with regard to the crashes that are attributed to it or
    /// to a part of its prompt.
    ///
    /// # Errors
    /// It is quarantined, or may not run yet.
    pub(super) async fn pass_trial(&mut self) -> Result<(), FinalError> {
        let id = self.request.terms.id.as_deref().unwrap_or("-");
        let time_left = self.time_left();
        match crash_trials::admit(&self.context, &self.subjects, id, time_left).await {
            TrialAdmission::Allowed => {}
            TrialAdmission::Trial(guard) => self.trial = Some(guard),
            TrialAdmission::Suspected(subject, left) => {
                return Err(FinalError::Suspected(subject, left))
            }
            TrialAdmission::Quarantined(subject, left) => {
                return Err(FinalError::Held(subject, left))
            }
        }
        Ok(())
    }

    /// Records that the endpoint of the current attempt answers on the parts of the prompt.
    pub(super) fn record_parts_served(&self) {
        let parts = &self.request.forwarded.parts;
        crash_guard::record_parts_served(&self.context, parts, self.log.acquired_at);
    }

    /// Returns whether the request may run more than once.
    pub(super) fn may_repeat(&self) -> bool {
        self.request.route.kind.is_repeatable()
    }

    /// Returns how many more attempts may run.
    pub(super) fn attempts_left(&self) -> u32 {
        let allowed = match self.may_repeat() {
            true => self.request.route.max_attempts,
            false => 1,
        };
        allowed.saturating_sub(self.log.ran)
    }

    /// Waits for an endpoint, reports it as overdue after a share of the objective, and as
    /// slow after the whole objective.
    ///
    /// The wait goes on, as the request may not run elsewhere; the reports let other
    /// requests avoid the endpoint.
    pub(super) async fn report_if_slow<T>(
        &self,
        slot: &held_slot::HeldSlot,
        waiting: impl std::future::Future<Output = T>,
    ) -> T {
        tokio::pin!(waiting);
        let objective = self.request.route.objective;
        let overdue_after = objective.mul_f64(slow_attempt::SILENCE_SHARE);
        if let Ok(done) = tokio::time::timeout(overdue_after, &mut waiting).await {
            return done;
        }
        slot.record_overdue();
        let rest = objective.saturating_sub(overdue_after);
        if let Ok(done) = tokio::time::timeout(rest, &mut waiting).await {
            return done;
        }
        log::info!(
            "event=endpoint_suspected request={} endpoint={} silent_ms={}",
            self.request.terms.id.as_deref().unwrap_or("-"),
            slot.endpoint.id,
            objective.as_millis()
        );
        slot.record_slow(false);
        waiting.await
    }

    /// Returns a response that is buffered until it is complete.
    ///
    /// # Errors
    /// No attempt succeeded, or no further one is allowed.
    async fn full_response(&mut self) -> Result<ServedResponse, FinalError> {
        loop {
            let mut responding = self.next_response(None).await?;
            let mut held = self.no_held_bytes();
            let reading = response_copy::read_full_body(&mut responding.open.incoming, &mut held);
            let read = tokio::select! {
                biased;
                read = reading => read,
                () = self.wait_for_deadline() => return Err(FinalError::Late),
            };
            match read {
                Ok(body) => {
                    let response = self.build_response(&responding.open.incoming.head, body, held);
                    self.finish_response(responding);
                    return Ok(ServedResponse::Full(response));
                }
                Err(e) => {
                    self.record_truncated(&responding.slot, "cut", &e.to_string());
                    responding.slot.record_failed(false);
                    drop(responding);
                    match self.after_unknown(e.to_string()) {
                        attempt_flow::NextStep::GiveUp(e) => return Err(e),
                        attempt_flow::NextStep::Retry => continue,
                    }
                }
            }
        }
    }

    /// Builds the caller's response from an endpoint's head and full body.
    pub(super) fn build_response(
        &self,
        head: &actix_http::ResponseHead,
        body: bytes::Bytes,
        held: memory::HeldBytes,
    ) -> http_server::HttpResponse {
        let mut response = actix_http::Response::build(head.status);
        response_copy::copy_forwarded_headers(&self.context, head, &mut response);
        self.close_if_stopping(&mut response);
        let body = response_copy::HeldBody::new(body, held);
        response.body(body).map_into_boxed_body()
    }

    /// Returns an account for the response of the request, of no bytes yet.
    pub(super) fn no_held_bytes(&self) -> memory::HeldBytes {
        self.request.held.sibling()
    }

    /// Closes the caller's connection after the response if the process is stopping.
    pub(super) fn close_if_stopping(&self, response: &mut actix_http::ResponseBuilder) {
        if self.context.is_stopping() {
            response.force_close();
        }
    }

    /// Records a complete response and returns its connection to the pool.
    pub(super) fn finish_response(&self, responding: attempt_flow::RespondingAttempt) {
        if !attempt::is_failure(responding.open.incoming.head.status) {
            responding.slot.record_served();
            if !self.request.route.kind.is_stream() {
                responding.slot.record_complete();
            }
        }
        let limit = responding.open.metadata.idle_limit;
        if let Some(connection) = responding.open.incoming.into_connection() {
            self.context.pool.put(connection, limit);
        }
    }

    /// Records the time to the first event.
    pub(super) fn record_first_event(&self) {
        let duration = self.request.arrived.elapsed();
        self.first_event.set(Some(duration));
        let metrics = &self.context.metrics;
        metrics.observe(
            &metrics.first_token,
            self.metric_series(),
            self.label(),
            duration,
        );
    }

    /// Returns the label of its metric series: its workspace, or its route if it has none.
    fn metric_series(&self) -> &str {
        let workspace = self.request.workspace.as_ref();
        workspace.map_or(&self.request.route.name, |id| id.as_str())
    }

    fn label(&self) -> &'static str {
        self.request.route.kind.label()
    }

    /// Logs and counts the end of a request.
    pub(super) fn record_end(&self, outcome: &str, status: u16) {
        let duration = self.request.arrived.elapsed();
        if outcome == ANSWERED {
            crash_guard::record_served(&self.context, self.request.forwarded.digest.into());
            if (200..300).contains(&status) {
                self.record_parts_served();
            }
        }
        let metrics = &self.context.metrics;
        metrics.responses.with_label_values(&[outcome]).inc();
        metrics.observe(
            &metrics.full_response,
            self.metric_series(),
            self.label(),
            duration,
        );
        log::info!(
            "event=request_end request={} digest={} workspace={} route={} version={} outcome={outcome} status={status} ms={} first_ms={} objective_ms={} ran={} not_run={} endpoint={} last_event={}",
            self.request.terms.id.as_deref().unwrap_or("-"),
            self.request.forwarded.digest,
            self.request.workspace.as_ref().map_or("-", |id| id.as_str()),
            self.request.route.name,
            self.context.fleet.table().version(),
            duration.as_millis(),
            self.first_event.get().unwrap_or(duration).as_millis(),
            self.request.route.objective.as_millis(),
            self.log.ran,
            self.log.not_run,
            self.log.last.as_ref().map_or("-", |id| id.as_str()),
            event_label(self.last_event),
        );
    }

    /// Builds the response for an error; refunds the token if the request did not run.
    fn refuse(&mut self, error: &FinalError) -> http_server::HttpResponse {
        let (outcome, status) = match error {
            FinalError::NotRun(..) => ("refused", StatusCode::SERVICE_UNAVAILABLE),
            FinalError::Held(..) => ("held", StatusCode::SERVICE_UNAVAILABLE),
            FinalError::Suspected(..) => ("suspected", StatusCode::SERVICE_UNAVAILABLE),
            FinalError::NotResumed(..) => ("not_resumed", StatusCode::SERVICE_UNAVAILABLE),
            FinalError::Failed(_) => ("failed", StatusCode::BAD_GATEWAY),
            FinalError::Late => ("late", StatusCode::GATEWAY_TIMEOUT),
        };
        log::info!(
            "event=request_given_up request={} error=\"{error:?}\"",
            self.request.terms.id.as_deref().unwrap_or("-")
        );
        let retry_after = error.retry_after();
        if retry_after.is_some() {
            if let Some(token) = self.request.token.take() {
                token.refund();
            }
        }
        self.record_end(outcome, status.as_u16());
        let mut response = actix_http::Response::build(status);
        self.close_if_stopping(&mut response);
        if let Some(delay) = retry_after {
            response.insert_header((header::RETRY_AFTER, format!("{:.3}", delay.as_secs_f64())));
        }
        let body = match error {
            FinalError::Held(subject, _) => match subject.is_part() {
                true => QUARANTINED_PART_BODY.to_owned(),
                false => QUARANTINED_BODY.to_owned(),
            },
            FinalError::Suspected(subject, _) => match subject.is_part() {
                true => SUSPECTED_PART_BODY.to_owned(),
                false => SUSPECTED_BODY.to_owned(),
            },
            FinalError::NotResumed(denial, _) => format!("not resumed: {denial}\n"),
            _ => outcome.to_owned(),
        };
        let response = response.body(body).map_into_boxed_body();
        match retry_after {
            Some(_) => refusals::mark(response, error.label(), self.refusal_inputs(error)),
            None => response,
        }
    }

    /// Returns the inputs of the decision to refuse, as `key=value` pairs.
    fn refusal_inputs(&self, error: &FinalError) -> String {
        let left = self
            .request
            .deadline
            .duration_since(clock::BootInstant::now());
        let why = match error {
            FinalError::NotRun(_, why) => why.clone(),
            FinalError::NotResumed(denial, _) => denial.to_string(),
            FinalError::Held(subject, _) | FinalError::Suspected(subject, _) => {
                format!("endpoints crashed under {} {subject}", subject.kind())
            }
            FinalError::Failed(_) | FinalError::Late => "it may have run".to_owned(),
        };
        format!(
            "route={} left_ms={} not_run={} why=\"{why}\"",
            self.request.route.name,
            left.as_millis(),
            self.log.not_run
        )
    }
}
