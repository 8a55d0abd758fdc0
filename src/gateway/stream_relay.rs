//! Relay of event streams: forwards each event index once, across interruptions and endpoints.

use std::{collections, io, sync, time};

use actix_http::{body, StatusCode};
use futures::{stream, StreamExt as _};
use tokio::sync::mpsc;

use super::{admit, caller_request, context, once, route, whole_call};
use crate::{
    clock,
    decisions::{relay, retry},
    endpoint_client, error, http_server, ids, outcome, protection, wire,
};

/// Maximum number of events buffered for a slow caller.
const MAX_BUFFERED_EVENTS: usize = 32;
/// Time for which an engine keeps an interrupted stream so that it can be resumed.
const RESUME_WINDOW: time::Duration = time::Duration::from_millis(1000);

/// Output of the relay for the response to the caller.
enum RelayItem {
    /// Part of the response body.
    Piece(bytes::Bytes),
    /// Response of the endpoint that is not a stream, such as an error about the request.
    Whole(endpoint_client::EndpointResponse),
    /// Error after the last attempt.
    Failed(error::ApiError),
}

/// Reason why the relay of one attempt's events ended.
enum RelayEnd {
    Finished,
    CallerDisconnected,
    DeadlinePassed,
    Interrupted(String),
}

/// Point at which an attempt starts the response.
enum AttemptStart {
    /// At its first token.
    Begin,
    /// After the last relayed event, by resuming the stream of the given attempt at its endpoint.
    Resume(ids::AttemptId),
    /// After the relayed text, which is given to another endpoint to continue from.
    Continue,
}

/// Serves a request with a stream of events; returns when the first event is available.
///
/// # Errors
/// Returns the error for the caller if all attempts failed before the first event.
pub async fn serve(
    context: &sync::Arc<context::GatewayContext>,
    client: &awc::Client,
    terms: caller_request::CallerTerms,
    call: whole_call::WholeCall,
    slot: admit::WorkspaceSlot,
) -> error::ApiResult<http_server::HttpResponse> {
    let ticket = match terms.key.as_ref().filter(|_| !call.repeatable) {
        None => None,
        Some(key) => match once::begin(context, &terms, key, &call.path, &call.body).await? {
            once::OnceEntry::Replay(response) => return Ok(whole_call::to_http(&response)),
            once::OnceEntry::Send(ticket) => Some(ticket),
        },
    };
    let (sender, mut receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
    let now = context.clock.now();
    let relay = StreamRelay {
        context: context.clone(),
        client: client.clone(),
        deadline: now + terms.timeout,
        started: now,
        last_event_at: None,
        terms,
        call,
        cursor: relay::RelayCursor::default(),
        text: String::new(),
        sender,
        failed: collections::HashSet::new(),
        attempts: 0,
        may_have_run: false,
    };
    actix_rt::spawn(async move {
        relay.run(ticket).await;
        drop(slot);
    });
    match receiver.recv().await {
        Some(RelayItem::Piece(first)) => Ok(event_response(first, receiver)),
        Some(RelayItem::Whole(response)) => Ok(whole_call::to_http(&response)),
        Some(RelayItem::Failed(e)) => Err(e),
        None => Err(error::ApiError::ran(
            error::ErrorCode::Internal,
            error::RanReport::Unknown,
            "the relay ended without an answer",
        )),
    }
}

fn event_response(
    first: bytes::Bytes,
    receiver: mpsc::Receiver<RelayItem>,
) -> http_server::HttpResponse {
    let rest = stream::unfold(receiver, |mut receiver| async move {
        let piece = match receiver.recv().await? {
            RelayItem::Piece(piece) => piece,
            RelayItem::Failed(e) => error_event(&e),
            RelayItem::Whole(_) => return None,
        };
        Some((piece, receiver))
    });
    let pieces = stream::once(std::future::ready(first)).chain(rest);
    let pieces = pieces.map(Ok::<_, io::Error>);
    actix_http::Response::build(StatusCode::OK)
        .insert_header(("content-type", "text/event-stream"))
        .insert_header(("cache-control", "no-store"))
        .body(body::BodyStream::new(pieces))
        .map_into_boxed_body()
}

/// Formats an error after the first event, so that the caller can tell the response is incomplete.
fn error_event(error: &error::ApiError) -> bytes::Bytes {
    let text = serde_json::to_string(&error.body()).unwrap_or_default();
    format!("event: error\ndata: {text}\n\n").into()
}

struct StreamRelay {
    context: sync::Arc<context::GatewayContext>,
    client: awc::Client,
    terms: caller_request::CallerTerms,
    call: whole_call::WholeCall,
    cursor: relay::RelayCursor,
    /// Text that was relayed so far.
    text: String,
    sender: mpsc::Sender<RelayItem>,
    started: clock::MonotonicTime,
    deadline: clock::MonotonicTime,
    last_event_at: Option<clock::MonotonicTime>,
    failed: collections::HashSet<ids::EndpointId>,
    attempts: u32,
    may_have_run: bool,
}

impl StreamRelay {
    async fn run(mut self, ticket: Option<Box<once::OnceTicket>>) {
        let ended = self.relay().await;
        if let Err(e) = &ended {
            let _ = self.sender.send(RelayItem::Failed(e.clone())).await;
        }
        let Some(ticket) = ticket else { return };
        let outcome = match ended {
            // Streams are not stored: a resend gets an error that says the request ran.
            Ok(()) => Err(error::ApiError::ran(
                error::ErrorCode::OutcomeUnknown,
                error::RanReport::Yes,
                "the call ran and was answered as a stream",
            )),
            Err(e) => Err(e),
        };
        once::end(&self.context, *ticket, &outcome).await;
    }

    /// Relays the complete response, with retries as far as they are allowed.
    ///
    /// After an interruption, resumes the stream once at the same endpoint, then continues at
    /// another endpoint.
    async fn relay(&mut self) -> error::ApiResult<()> {
        loop {
            let reservation = self.choose().await?;
            if self.attempts == 0 {
                self.observe(
                    &self.context.metrics.queue_time,
                    self.terms.arrived.elapsed(),
                );
            }
            let mut attempt_start = match self.cursor.last_index() {
                None => AttemptStart::Begin,
                Some(_) => AttemptStart::Continue,
            };
            loop {
                self.attempts += 1;
                let (attempt, outcome) = self.attempt(&reservation, &attempt_start).await;
                let reason = match outcome {
                    Ok(RelayEnd::Finished | RelayEnd::CallerDisconnected) => return Ok(()),
                    Ok(RelayEnd::DeadlinePassed) => return Err(self.deadline_exceeded()),
                    Ok(RelayEnd::Interrupted(reason)) => reason,
                    Err(ended) => {
                        self.check_retry(&reservation, ended)?;
                        break;
                    }
                };
                if protection::is_disabled("take_up") {
                    return Ok(());
                }
                let resumed = matches!(attempt_start, AttemptStart::Resume(_));
                if !resumed && self.cursor.last_index().is_some() {
                    attempt_start = AttemptStart::Resume(attempt);
                    continue;
                }
                self.check_retry(&reservation, outcome::AttemptOutcome::Unknown(reason))?;
                break;
            }
        }
    }

    async fn choose(&self) -> error::ApiResult<route::EndpointReservation> {
        let query = route::RouteQuery {
            service: &self.call.service,
            kind: self.call.kind,
            key: self.call.affinity,
            failed: &self.failed,
        };
        let chosen = route::choose(&self.context, &query).await;
        chosen.map_err(|e| whole_call::with_earlier_attempts(e, self.may_have_run))
    }

    fn deadline_exceeded(&self) -> error::ApiError {
        let code = error::ErrorCode::DeadlineExceeded;
        error::ApiError::ran(code, error::RanReport::Yes, "the deadline passed")
    }

    /// Records a failed attempt; returns the error for the caller if it may not be retried.
    fn check_retry(
        &mut self,
        reservation: &route::EndpointReservation,
        ended: outcome::AttemptOutcome<()>,
    ) -> error::ApiResult<()> {
        whole_call::record(&self.context, reservation, &ended);
        self.failed.insert(reservation.endpoint.id.clone());
        if !matches!(ended, outcome::AttemptOutcome::NotRun(_)) {
            self.may_have_run = true;
        }
        let terms = retry::RetryTerms {
            repeatable: self.call.repeatable,
            deadline: self.deadline,
            max_attempts: self.context.settings.online.max_attempts,
        };
        let now = self.context.clock.now();
        let mut budget = self.context.retries();
        if retry::may_retry(&ended, self.attempts, &terms, &mut budget, now) {
            return Ok(());
        }
        drop(budget);
        let error = ended
            .into_result()
            .map_err(|e| whole_call::with_earlier_attempts(e, self.may_have_run));
        match error {
            Err(e) => Err(e),
            Ok(()) => Err(self.deadline_exceeded()),
        }
    }

    /// Makes one attempt; returns its identifier, for a later resume, and its outcome.
    async fn attempt(
        &mut self,
        reservation: &route::EndpointReservation,
        attempt_start: &AttemptStart,
    ) -> (
        ids::AttemptId,
        Result<RelayEnd, outcome::AttemptOutcome<()>>,
    ) {
        let call = self.endpoint_call(reservation, attempt_start);
        let attempt = call.attempt.clone();
        let event_timeout = self.event_timeout();
        let opening = endpoint_client::open_stream(&self.client, &call);
        let opened = match actix_rt::time::timeout(event_timeout, opening).await {
            Ok(opened) => opened,
            Err(_) => outcome::AttemptOutcome::Unknown("the endpoint was silent".into()),
        };
        use outcome::AttemptOutcome as O;
        let ended = match opened {
            O::Completed(endpoint_client::OpenedStream::Events(events)) => {
                self.may_have_run = true;
                let end = self.relay_events(reservation, events).await;
                if matches!(end, RelayEnd::CallerDisconnected) {
                    endpoint_client::cancel_stream(&self.client, call.address, &attempt).await;
                }
                Ok(end)
            }
            O::Completed(endpoint_client::OpenedStream::Whole(response)) => {
                let _ = self.sender.send(RelayItem::Whole(response)).await;
                Ok(RelayEnd::CallerDisconnected)
            }
            O::NotRun(proof) => Err(O::NotRun(proof)),
            O::Failed(reason) => Err(O::Failed(reason)),
            O::Unknown(reason) => Err(O::Unknown(reason)),
        };
        (attempt, ended)
    }

    fn endpoint_call(
        &self,
        reservation: &route::EndpointReservation,
        attempt_start: &AttemptStart,
    ) -> endpoint_client::EndpointCall {
        let attempt = match attempt_start {
            AttemptStart::Resume(attempt) => attempt.clone(),
            _ => ids::AttemptId::try_from(ids::unique("att")).expect("unique names are valid"),
        };
        let resume_after = match attempt_start {
            AttemptStart::Resume(_) => self.cursor.last_index(),
            _ => None,
        };
        let body = match attempt_start {
            AttemptStart::Continue => self.body_with_text(),
            _ => self.call.body.clone(),
        };
        endpoint_client::EndpointCall {
            address: reservation.endpoint.address,
            method: self.call.method.clone(),
            path: self.call.path.clone(),
            content_type: self.call.content_type.clone(),
            body,
            attempt,
            resume_after,
            keep: Some(RESUME_WINDOW),
            timeout: self.deadline.since(self.context.clock.now()),
        }
    }

    fn body_with_text(&self) -> bytes::Bytes {
        match serde_json::from_slice(&self.call.body) {
            Ok(body) => wire::with_given_text(&body, &self.text).to_string().into(),
            Err(_) => self.call.body.clone(),
        }
    }

    /// Returns the timeout for the next event, which does not exceed the time to the deadline.
    fn event_timeout(&self) -> time::Duration {
        let silence = self.context.settings.online.stream_silence_ms;
        let remaining = self.deadline.since(self.context.clock.now());
        time::Duration::from_millis(silence).min(remaining)
    }

    /// Relays events until the response is complete, the caller disconnects or the stream fails.
    async fn relay_events(
        &mut self,
        reservation: &route::EndpointReservation,
        mut events: endpoint_client::EventStream,
    ) -> RelayEnd {
        loop {
            let event_timeout = self.event_timeout();
            let next = tokio::select! {
                next = actix_rt::time::timeout(event_timeout, events.next()) => next,
                () = self.sender.closed() => return RelayEnd::CallerDisconnected,
            };
            let event = match next {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(reason))) => return RelayEnd::Interrupted(reason),
                Ok(None) => return RelayEnd::Interrupted("the stream ended early".into()),
                Err(_) if self.deadline <= self.context.clock.now() => {
                    return RelayEnd::DeadlinePassed
                }
                Err(_) => return RelayEnd::Interrupted("the endpoint was silent".into()),
            };
            match self.cursor.accept(event.index, event.last) {
                relay::RelayStep::Drop => continue,
                relay::RelayStep::Gap => return RelayEnd::Interrupted("events are missing".into()),
                relay::RelayStep::Forward => {}
            }
            self.observe_token();
            self.text.push_str(&event.text);
            let piece = self.format_event(&event);
            if self.sender.send(RelayItem::Piece(piece)).await.is_err() {
                return RelayEnd::CallerDisconnected;
            }
            if self.cursor.is_finished() {
                whole_call::record(
                    &self.context,
                    reservation,
                    &outcome::AttemptOutcome::Completed(()),
                );
                let elapsed = self.context.clock.now().since(self.started);
                self.observe(&self.context.metrics.full_response, elapsed);
                return RelayEnd::Finished;
            }
        }
    }

    /// Formats an event for the caller, with the request's identifier in place of the engine's.
    fn format_event(&self, event: &endpoint_client::StreamEvent) -> bytes::Bytes {
        let data = match serde_json::from_str::<serde_json::Value>(&event.data) {
            Ok(mut data) => {
                data["id"] = self.terms.request_id.as_str().into();
                data.to_string()
            }
            Err(_) => event.data.clone(),
        };
        let end = if event.last { "data: [DONE]\n\n" } else { "" };
        format!("id: {}\ndata: {data}\n\n{end}", event.index).into()
    }

    fn observe_token(&mut self) {
        let now = self.context.clock.now();
        let metrics = &self.context.metrics;
        let (histogram, since) = match self.last_event_at {
            None => (&metrics.first_token, self.started),
            Some(last_event_at) => (&metrics.between_tokens, last_event_at),
        };
        self.observe(histogram, now.since(since));
        self.last_event_at = Some(now);
    }

    fn observe(&self, histogram: &prometheus::HistogramVec, duration: time::Duration) {
        let workspace = self.terms.workspace.id.as_str();
        let class = self.terms.class.as_str();
        self.context
            .metrics
            .observe(histogram, workspace, class, duration);
    }
}
