//! Relays event streams to callers: each event once and in order, resumed at another
//! endpoint where the route allows it.

use std::{io, rc, time};

use actix_http::{body, StatusCode};
use futures::stream;

use super::{
    attempt_flow, connection, continuations, crash_guard, crash_watch, directory, event_split,
    origin_exchange,
    relay::{FinalError, RequestRelay, ServedResponse, ANSWERED},
    response_copy,
    slow_attempt::{self, Waited},
    stream_origins, stream_resumption,
};
use crate::{callers, clock, http_server};

/// An open stream with its first event, which is `None` if the stream is empty.
pub(super) struct OpenStream {
    responding: attempt_flow::RespondingAttempt,
    splitter: event_split::EventSplitter,
    first: Option<event_split::RawEvent>,
}

/// Result of the wait for an event.
enum EventResult {
    Event(event_split::RawEvent),
    Finished,
    Truncated(String),
}

impl RequestRelay {
    /// Returns a stream whose first event has arrived, or any other response in full.
    ///
    /// `sent` is an attempt that is already under way, if there is one.
    ///
    /// # Errors
    /// No attempt succeeded, or no further one is allowed.
    pub(super) async fn open_stream(
        &mut self,
        mut sent: Option<Box<attempt_flow::SentAttempt>>,
    ) -> Result<ServedResponse, FinalError> {
        loop {
            let mut responding = self.next_response(sent.take()).await?;
            if !responding.open.incoming.head.status.is_success() {
                return self.read_non_stream(responding).await;
            }
            let mut splitter = event_split::EventSplitter::default();
            let attempt_flow::RespondingAttempt { slot, open } = &mut responding;
            let waiting = next_event(&mut open.incoming, &mut splitter);
            let awaited = slow_attempt::Awaited::FirstEvent;
            let first = match self.wait_or_hand_off(slot, awaited, waiting).await {
                Waited::Done(result) => {
                    let result = self.check_software(&slot.endpoint, result);
                    self.check_order(result)
                }
                Waited::Lost(waited) => EventResult::Truncated(no_event(waited)),
                Waited::HandedOff(next, waited) => {
                    self.record_attempt(&slot.endpoint.id, "cut", &no_event(waited));
                    sent = Some(next);
                    continue;
                }
            };
            let is_resumed = self.last_event.is_some();
            let incoming = &responding.open.incoming;
            let endpoint = &responding.slot.endpoint;
            let first = match first {
                EventResult::Finished
                    if !crash_watch::is_empty_stream_complete(incoming, endpoint, is_resumed)
                        .await =>
                {
                    EventResult::Truncated("the connection ended before the first event".into())
                }
                first => first,
            };
            let slot = &responding.slot;
            let first = match first {
                EventResult::Event(event) => {
                    slot.record_event();
                    self.record_origin(&slot.endpoint).await;
                    Some(event)
                }
                EventResult::Finished => None,
                EventResult::Truncated(reason) => {
                    self.record_truncated(slot, "cut", &reason);
                    slot.record_failed(false);
                    match self.after_unknown(reason) {
                        attempt_flow::NextStep::GiveUp(e) => return Err(e),
                        attempt_flow::NextStep::Retry => continue,
                    }
                }
            };
            let head = response_copy::clone_head(&responding.open.incoming.head);
            let stream = Box::new(OpenStream {
                responding,
                splitter,
                first,
            });
            return Ok(ServedResponse::Stream(head, stream));
        }
    }

    /// Reads a response that is not a stream in full.
    ///
    /// # Errors
    /// The body is truncated, or the deadline passed.
    async fn read_non_stream(
        &self,
        mut responding: attempt_flow::RespondingAttempt,
    ) -> Result<ServedResponse, FinalError> {
        let mut held = self.no_held_bytes();
        let reading = response_copy::read_full_body(&mut responding.open.incoming, &mut held);
        let read = tokio::select! {
            biased;
            read = reading => read,
            () = self.wait_for_deadline() => return Err(FinalError::Late),
        };
        let body = read.map_err(|e| FinalError::Failed(e.to_string()))?;
        let response = self.build_response(&responding.open.incoming.head, body, held);
        self.finish_response(responding);
        Ok(ServedResponse::Full(response))
    }

    /// Checks that the first event of a run that goes on with a stream comes from the software
    /// that began it: the endpoint may have started again with another one since it was chosen.
    fn check_software(
        &self,
        endpoint: &directory::EndpointEntry,
        result: EventResult,
    ) -> EventResult {
        let Some(origin) = &self.origin else {
            return result;
        };
        let directory = self.context.fleet.directory.borrow();
        let listed = directory.entry(&endpoint.id);
        let is_same = listed.is_none_or(|listed| {
            listed.started == endpoint.started && listed.software == endpoint.software
        });
        match is_same && endpoint.service_software().as_ref() == Some(&origin.software) {
            true => result,
            false => EventResult::Truncated("the endpoint has other software by now".into()),
        }
    }

    /// Records where the stream begins, and shares it before the first event is sent.
    async fn record_origin(&mut self, endpoint: &rc::Rc<directory::EndpointEntry>) {
        if self.origin.is_some() {
            return;
        }
        let Some(mut origin) = stream_origins::StreamOrigin::at(endpoint) else {
            return;
        };
        origin.is_unlisted = continuations::is_unlisted(&self.context, endpoint);
        self.origin = Some(origin.clone());
        let name = self.request.terms.id.as_ref();
        let name = name.and_then(|id| id.parse().ok());
        let Some(name) = name.filter(|_| self.may_repeat()) else {
            return;
        };
        let record = stream_origins::OriginRecord {
            key: stream_resumption::stream_key(&self.request, &name),
            origin,
            remaining: self.request.resumable_for(),
        };
        let timeout = self.request.route.timeout;
        origin_exchange::record(&self.context, endpoint, record, timeout).await;
    }

    /// Checks that an event follows the last one, and records it.
    ///
    /// Any other event is treated as a truncated stream.
    fn check_order(&mut self, result: EventResult) -> EventResult {
        let EventResult::Event(event) = result else {
            return result;
        };
        let expected = self.last_event.map(|last| last + 1);
        match expected {
            Some(expected) if event.id != expected => {
                EventResult::Truncated(format!("event {} instead of {expected}", event.id))
            }
            _ => {
                self.last_event = Some(event.id);
                self.log.events += 1;
                if self.log.events == crash_guard::PROOF_EVENTS {
                    self.record_parts_served();
                }
                EventResult::Event(event)
            }
        }
    }

    /// Builds the response that sends the events of a stream to the caller.
    pub(super) fn into_stream(
        mut self,
        head: actix_http::ResponseHead,
        open: Box<OpenStream>,
    ) -> http_server::HttpResponse {
        let mut response = actix_http::Response::build(head.status);
        response_copy::copy_forwarded_headers(&self.context, &head, &mut response);
        self.close_if_stopping(&mut response);
        self.is_started = true;
        open.responding.slot.record_served();
        self.record_first_event();
        let left = self.request.deadline + MAX_OVERRUN;
        let left = left.duration_since(clock::BootInstant::now());
        let end = callers::ResponseDeadline(tokio::time::Instant::now() + left);
        let flow = EventFlow {
            relay: self,
            open: Some(open),
            is_end_recorded: false,
        };
        let chunks = stream::unfold(flow, |mut flow| async move {
            let chunk = flow.next_chunk().await?;
            Some((chunk, flow))
        });
        let mut response = response
            .body(body::BodyStream::new(Box::pin(chunks)))
            .map_into_boxed_body();
        response.extensions_mut().insert(end);
        response
    }
}

/// Time after the deadline of a request in which events that have arrived are still sent on.
const MAX_OVERRUN: time::Duration = time::Duration::from_millis(200);

/// The remaining events of a response whose head was sent.
struct EventFlow {
    relay: RequestRelay,
    open: Option<Box<OpenStream>>,
    /// Whether its end was recorded.
    is_end_recorded: bool,
}

impl Drop for EventFlow {
    fn drop(&mut self) {
        if !self.is_end_recorded {
            self.relay.record_end("caller_left", 0);
        }
    }
}

impl EventFlow {
    /// Returns the next bytes for the caller, or `None` at the end of the stream.
    ///
    /// An error closes the caller's connection.
    async fn next_chunk(&mut self) -> Option<Result<bytes::Bytes, io::Error>> {
        loop {
            let open = self.open.as_mut()?;
            if let Some(first) = open.first.take() {
                return Some(Ok(first.bytes));
            }
            // Events that arrive without a pause leave no wait in which the deadline is noticed.
            let now = clock::BootInstant::now();
            if now > self.relay.request.deadline + MAX_OVERRUN {
                self.open = None;
                return Some(Err(self.give_up("the deadline has passed")));
            }
            let attempt_flow::RespondingAttempt {
                slot,
                open: response,
            } = &mut open.responding;
            let waiting = next_event(&mut response.incoming, &mut open.splitter);
            let awaited = slow_attempt::Awaited::NextEvent;
            let next = match self.relay.wait_or_hand_off(slot, awaited, waiting).await {
                Waited::Done(result) => self.relay.check_order(result),
                Waited::Lost(waited) => EventResult::Truncated(no_event(waited)),
                Waited::HandedOff(next, waited) => {
                    let reason = no_event(waited);
                    self.relay.record_attempt(&slot.endpoint.id, "cut", &reason);
                    self.open = None;
                    if let Err(reason) = self.resume(Some(next)).await {
                        return Some(Err(self.give_up(&reason)));
                    }
                    continue;
                }
            };
            match next {
                EventResult::Event(event) => {
                    slot.record_progress();
                    slot.record_event();
                    return Some(Ok(event.bytes));
                }
                EventResult::Finished => {
                    if let Some(open) = self.open.take() {
                        self.relay.finish_response(open.responding);
                    }
                    self.is_end_recorded = true;
                    self.relay.record_end(ANSWERED, StatusCode::OK.as_u16());
                    return None;
                }
                EventResult::Truncated(reason) => {
                    self.relay.record_truncated(slot, "cut", &reason);
                    slot.record_failed(true);
                    self.open = None;
                    if let Err(reason) = self.resume_after(reason).await {
                        return Some(Err(self.give_up(&reason)));
                    }
                }
            }
        }
    }

    /// Returns the error that closes the caller's connection, so that the caller does not
    /// take the truncated stream for a complete one.
    fn give_up(&mut self, reason: &str) -> io::Error {
        let relay = &self.relay;
        log::info!(
            "event=stream_given_up request={} why=\"{reason}\" left_ms={}",
            relay.request.terms.id.as_deref().unwrap_or("-"),
            relay.time_left().as_millis(),
        );
        self.is_end_recorded = true;
        relay.record_end("cut", 0);
        io::Error::other(reason.to_owned())
    }

    /// Resumes the stream at another endpoint after its run failed.
    async fn resume_after(&mut self, reason: String) -> Result<(), String> {
        match self.relay.after_unknown(reason) {
            attempt_flow::NextStep::GiveUp(e) => Err(format!("{e:?}")),
            attempt_flow::NextStep::Retry => self.resume(None).await,
        }
    }

    /// Resumes the stream after the last event that was sent to the caller.
    async fn resume(&mut self, sent: Option<Box<attempt_flow::SentAttempt>>) -> Result<(), String> {
        let served = self.relay.open_stream(sent).await;
        match served {
            Ok(ServedResponse::Stream(_, open)) => {
                self.open = Some(open);
                Ok(())
            }
            Ok(ServedResponse::Full(response)) => Err(format!(
                "the attempt to resume got status {}",
                response.status()
            )),
            Err(e) => Err(format!("{e:?}")),
        }
    }
}

/// Waits for the next complete event.
async fn next_event(
    incoming: &mut connection::IncomingResponse,
    splitter: &mut event_split::EventSplitter,
) -> EventResult {
    loop {
        match splitter.next_event() {
            Ok(Some(event)) => return EventResult::Event(event),
            Ok(None) => {}
            Err(e) => return EventResult::Truncated(e.to_string()),
        }
        match incoming.next_bytes().await {
            Ok(Some(bytes)) => splitter.push(&bytes),
            Ok(None) if splitter.has_partial_event() => {
                return EventResult::Truncated("the stream ended within an event".into())
            }
            Ok(None) => return EventResult::Finished,
            Err(e) => return EventResult::Truncated(e.to_string()),
        }
    }
}

fn no_event(waited: time::Duration) -> String {
    format!("no event within {} ms", waited.as_millis())
}
