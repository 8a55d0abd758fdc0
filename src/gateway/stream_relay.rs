//! Relays a stream of events: each index once, over cuts and across endpoints.

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

/// Events that may wait for a slow caller.
const RING_EVENTS: usize = 32;
/// How long an engine keeps a stream that was cut.
const KEEP_AFTER_CUT: time::Duration = time::Duration::from_millis(1000);

/// What the relay hands to the answer.
enum RelayItem {
    /// A piece of the body.
    Piece(bytes::Bytes),
    /// The endpoint answered otherwise: a fault of the request.
    Whole(endpoint_client::EndpointResponse),
    /// The final error.
    Failed(error::ApiError),
}

/// How a stretch of events ended.
enum PumpEnd {
    Finished,
    CallerGone,
    Late,
    Cut(String),
}

/// How an attempt takes up the answer.
enum TakeUp {
    /// From its first token.
    Begin,
    /// At the same endpoint, after the last event.
    Resume(ids::AttemptId),
    /// Elsewhere, from the text that was relayed.
    Continue,
}

/// Answers with events once the first one is there.
///
/// # Errors
/// The final error, if no event was relayed.
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
    let (sender, mut receiver) = mpsc::channel(RING_EVENTS);
    let now = context.clock.now();
    let relay = StreamRelay {
        context: context.clone(),
        client: client.clone(),
        deadline: now + terms.timeout,
        started: now,
        latest: None,
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
        Some(RelayItem::Piece(first)) => Ok(event_answer(first, receiver)),
        Some(RelayItem::Whole(response)) => Ok(whole_call::to_http(&response)),
        Some(RelayItem::Failed(e)) => Err(e),
        None => Err(error::ApiError::ran(
            error::ErrorCode::Internal,
            error::RanReport::Unknown,
            "the relay ended without an answer",
        )),
    }
}

fn event_answer(
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

/// An error after the first event: the answer is not whole, and says so.
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
    /// Text relayed so far.
    text: String,
    sender: mpsc::Sender<RelayItem>,
    started: clock::MonotonicTime,
    deadline: clock::MonotonicTime,
    latest: Option<clock::MonotonicTime>,
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
            // A stream is not kept: a resend learns that it ran.
            Ok(()) => Err(error::ApiError::ran(
                error::ErrorCode::OutcomeUnknown,
                error::RanReport::Yes,
                "the call ran and was answered as a stream",
            )),
            Err(e) => Err(e),
        };
        once::end(&self.context, *ticket, &outcome).await;
    }

    /// Relays the whole answer, with as many attempts as it takes and is allowed.
    async fn relay(&mut self) -> error::ApiResult<()> {
        loop {
            let reservation = self.choose().await?;
            if self.attempts == 0 {
                self.observe(
                    &self.context.metrics.queue_time,
                    self.terms.arrived.elapsed(),
                );
            }
            let mut take_up = match self.cursor.last_index() {
                None => TakeUp::Begin,
                Some(_) => TakeUp::Continue,
            };
            loop {
                self.attempts += 1;
                let (attempt, outcome) = self.attempt(&reservation, &take_up).await;
                let reason = match outcome {
                    Ok(PumpEnd::Finished | PumpEnd::CallerGone) => return Ok(()),
                    Ok(PumpEnd::Late) => return Err(self.late()),
                    Ok(PumpEnd::Cut(reason)) => reason,
                    Err(ended) => {
                        self.decide(&reservation, ended)?;
                        break;
                    }
                };
                if protection::is_disabled("take_up") {
                    return Ok(());
                }
                let resumed = matches!(take_up, TakeUp::Resume(_));
                if !resumed && self.cursor.last_index().is_some() {
                    take_up = TakeUp::Resume(attempt);
                    continue;
                }
                self.decide(&reservation, outcome::AttemptOutcome::Unknown(reason))?;
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
        chosen.map_err(|e| whole_call::with_history(e, self.may_have_run))
    }

    fn late(&self) -> error::ApiError {
        let code = error::ErrorCode::DeadlineExceeded;
        error::ApiError::ran(code, error::RanReport::Yes, "the deadline passed")
    }

    /// Goes on to another endpoint, or gives the final error at once.
    fn decide(
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
            .map_err(|e| whole_call::with_history(e, self.may_have_run));
        match error {
            Err(e) => Err(e),
            Ok(()) => Err(self.late()),
        }
    }

    /// One attempt; gives its name for a later resume, and how it ended.
    async fn attempt(
        &mut self,
        reservation: &route::EndpointReservation,
        take_up: &TakeUp,
    ) -> (ids::AttemptId, Result<PumpEnd, outcome::AttemptOutcome<()>>) {
        let call = self.endpoint_call(reservation, take_up);
        let attempt = call.attempt.clone();
        let silence = self.silence();
        let opening = endpoint_client::open_stream(&self.client, &call);
        let opened = match actix_rt::time::timeout(silence, opening).await {
            Ok(opened) => opened,
            Err(_) => outcome::AttemptOutcome::Unknown("the endpoint was silent".into()),
        };
        use outcome::AttemptOutcome as O;
        let ended = match opened {
            O::Completed(endpoint_client::OpenedStream::Events(events)) => {
                self.may_have_run = true;
                let end = self.pump(reservation, events).await;
                if matches!(end, PumpEnd::CallerGone) {
                    endpoint_client::cancel_stream(&self.client, call.address, &attempt).await;
                }
                Ok(end)
            }
            O::Completed(endpoint_client::OpenedStream::Whole(response)) => {
                let _ = self.sender.send(RelayItem::Whole(response)).await;
                Ok(PumpEnd::CallerGone)
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
        take_up: &TakeUp,
    ) -> endpoint_client::EndpointCall {
        let attempt = match take_up {
            TakeUp::Resume(attempt) => attempt.clone(),
            _ => ids::AttemptId::try_from(ids::unique("att")).expect("unique names are valid"),
        };
        let resume_after = match take_up {
            TakeUp::Resume(_) => self.cursor.last_index(),
            _ => None,
        };
        let body = match take_up {
            TakeUp::Continue => self.body_with_text(),
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
            keep: Some(KEEP_AFTER_CUT),
            timeout: self.deadline.since(self.context.clock.now()),
        }
    }

    fn body_with_text(&self) -> bytes::Bytes {
        match serde_json::from_slice(&self.call.body) {
            Ok(body) => wire::with_given_text(&body, &self.text).to_string().into(),
            Err(_) => self.call.body.clone(),
        }
    }

    /// Longest wait for the next event.
    fn silence(&self) -> time::Duration {
        let silence = self.context.settings.online.stream_silence_ms;
        let left = self.deadline.since(self.context.clock.now());
        time::Duration::from_millis(silence).min(left)
    }

    /// Relays events until the answer, the caller or the stream ends.
    async fn pump(
        &mut self,
        reservation: &route::EndpointReservation,
        mut events: endpoint_client::EventStream,
    ) -> PumpEnd {
        loop {
            let silence = self.silence();
            let next = tokio::select! {
                next = actix_rt::time::timeout(silence, events.next()) => next,
                () = self.sender.closed() => return PumpEnd::CallerGone,
            };
            let event = match next {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(reason))) => return PumpEnd::Cut(reason),
                Ok(None) => return PumpEnd::Cut("the stream ended early".into()),
                Err(_) if self.deadline <= self.context.clock.now() => return PumpEnd::Late,
                Err(_) => return PumpEnd::Cut("the endpoint was silent".into()),
            };
            match self.cursor.accept(event.index, event.last) {
                relay::RelayStep::Drop => continue,
                relay::RelayStep::Gap => return PumpEnd::Cut("events are missing".into()),
                relay::RelayStep::Forward => {}
            }
            self.observe_token();
            self.text.push_str(&event.text);
            let piece = self.piece(&event);
            if self.sender.send(RelayItem::Piece(piece)).await.is_err() {
                return PumpEnd::CallerGone;
            }
            if self.cursor.is_finished() {
                whole_call::record(
                    &self.context,
                    reservation,
                    &outcome::AttemptOutcome::Completed(()),
                );
                let spent = self.context.clock.now().since(self.started);
                self.observe(&self.context.metrics.full_response, spent);
                return PumpEnd::Finished;
            }
        }
    }

    /// The event as the caller gets it: under the name of the request.
    fn piece(&self, event: &endpoint_client::StreamEvent) -> bytes::Bytes {
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
        let (histogram, since) = match self.latest {
            None => (&metrics.first_token, self.started),
            Some(latest) => (&metrics.between_tokens, latest),
        };
        self.observe(histogram, now.since(since));
        self.latest = Some(now);
    }

    fn observe(&self, histogram: &prometheus::HistogramVec, duration: time::Duration) {
        let workspace = self.terms.workspace.id.as_str();
        let class = self.terms.class.as_str();
        self.context
            .metrics
            .observe(histogram, workspace, class, duration);
    }
}
