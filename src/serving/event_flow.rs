//! Streams to callers: each event once and in order, resumed where that is allowed.

use std::{io, time};

use actix_http::{body, StatusCode};
use futures::stream;

use super::{
    answer_copy, attempt_flow, connection, event_split,
    relay::{FinalError, RequestRelay, Served, ANSWERED},
    slow_attempt::{self, Waited},
};
use crate::http_server;

/// A stream that is open, and its first event.
pub(super) struct OpenStream {
    answered: attempt_flow::Answered,
    splitter: event_split::EventSplitter,
    first: Option<event_split::RawEvent>,
}

/// How the wait for an event ended.
enum EventEnd {
    Event(event_split::RawEvent),
    Finished,
    Cut(String),
}

impl RequestRelay {
    /// A stream whose first event is there, or another answer in whole.
    ///
    /// `sent` is an attempt that went out already, if there is one.
    pub(super) async fn open_stream(
        &mut self,
        mut sent: Option<Box<attempt_flow::SentAttempt>>,
    ) -> Result<Served, FinalError> {
        loop {
            let mut answered = self.next_answer(sent.take()).await?;
            if !answered.open.incoming.head.status.is_success() {
                return self.other_answer(answered).await;
            }
            let mut splitter = event_split::EventSplitter::default();
            let attempt_flow::Answered { slot, open } = &mut answered;
            let waiting = next_event(&mut open.incoming, &mut splitter);
            let awaited = slow_attempt::Awaited::FirstEvent;
            let first = match self.wait_or_move(slot, awaited, waiting).await {
                Waited::Came(end) => self.accept(end),
                Waited::Lost(waited) => EventEnd::Cut(no_event(waited)),
                Waited::Moved(next, waited) => {
                    self.record_attempt(&slot.endpoint.id, "cut", &no_event(waited));
                    sent = Some(next);
                    continue;
                }
            };
            let first = match first {
                EventEnd::Event(event) => Some(event),
                EventEnd::Finished => None,
                EventEnd::Cut(reason) => {
                    self.record_broken(slot, "cut", &reason);
                    slot.record_failed(false);
                    match self.after_unknown(reason) {
                        attempt_flow::NextStep::GiveUp(e) => return Err(e),
                        attempt_flow::NextStep::Again => continue,
                    }
                }
            };
            let head = answer_copy::copy_head(&answered.open.incoming.head);
            let stream = Box::new(OpenStream {
                answered,
                splitter,
                first,
            });
            return Ok(Served::Stream(head, stream));
        }
    }

    /// An answer that is no stream, in whole.
    async fn other_answer(
        &self,
        mut answered: attempt_flow::Answered,
    ) -> Result<Served, FinalError> {
        let reading = answer_copy::read_whole(&mut answered.open.incoming);
        let read = tokio::select! {
            biased;
            read = reading => read,
            () = self.sleep_remaining() => return Err(FinalError::Late),
        };
        let body = read.map_err(|e| FinalError::Failed(e.to_string()))?;
        let response = self.whole(&answered.open.incoming.head, body);
        self.give_back(answered);
        Ok(Served::Whole(response))
    }

    /// Checks that an event is the next one.
    fn accept(&mut self, end: EventEnd) -> EventEnd {
        let EventEnd::Event(event) = end else {
            return end;
        };
        let expected = self.last_event.map(|last| last + 1);
        match expected {
            Some(expected) if event.id != expected => {
                EventEnd::Cut(format!("event {} came in place of {expected}", event.id))
            }
            _ => {
                self.last_event = Some(event.id);
                EventEnd::Event(event)
            }
        }
    }

    pub(super) fn into_stream(
        mut self,
        head: actix_http::ResponseHead,
        open: Box<OpenStream>,
    ) -> http_server::HttpResponse {
        let mut response = actix_http::Response::build(head.status);
        answer_copy::copy_headers(&self.context, &head, &mut response);
        self.mark_close(&mut response);
        self.started = true;
        open.answered.slot.record_served();
        self.observe_first();
        let flow = EventFlow {
            relay: self,
            open: Some(open),
            is_over: false,
        };
        let pieces = stream::unfold(flow, |mut flow| async move {
            let piece = flow.next_piece().await?;
            Some((piece, flow))
        });
        response
            .body(body::BodyStream::new(Box::pin(pieces)))
            .map_into_boxed_body()
    }
}

/// The events of an answer that has begun.
struct EventFlow {
    relay: RequestRelay,
    open: Option<Box<OpenStream>>,
    /// Whether its end was noted.
    is_over: bool,
}

impl Drop for EventFlow {
    fn drop(&mut self) {
        if !self.is_over {
            self.relay.record_end("caller_left", 0);
        }
    }
}

impl EventFlow {
    /// The next bytes for the caller; nothing at the proper end of the answer.
    async fn next_piece(&mut self) -> Option<Result<bytes::Bytes, io::Error>> {
        loop {
            let open = self.open.as_mut()?;
            if let Some(first) = open.first.take() {
                return Some(Ok(first.bytes));
            }
            let attempt_flow::Answered {
                slot,
                open: response,
            } = &mut open.answered;
            let waiting = next_event(&mut response.incoming, &mut open.splitter);
            let awaited = slow_attempt::Awaited::NextEvent;
            let next = match self.relay.wait_or_move(slot, awaited, waiting).await {
                Waited::Came(end) => self.relay.accept(end),
                Waited::Lost(waited) => EventEnd::Cut(no_event(waited)),
                Waited::Moved(next, waited) => {
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
                EventEnd::Event(event) => {
                    slot.record_progress();
                    return Some(Ok(event.bytes));
                }
                EventEnd::Finished => {
                    if let Some(open) = self.open.take() {
                        self.relay.give_back(open.answered);
                    }
                    self.is_over = true;
                    self.relay.record_end(ANSWERED, StatusCode::OK.as_u16());
                    return None;
                }
                EventEnd::Cut(reason) => {
                    self.relay.record_broken(slot, "cut", &reason);
                    slot.record_failed(true);
                    self.open = None;
                    if let Err(reason) = self.go_on_after(reason).await {
                        return Some(Err(self.give_up(&reason)));
                    }
                }
            }
        }
    }

    /// Ends the answer so that the caller does not take what it has for all of it.
    fn give_up(&mut self, reason: &str) -> io::Error {
        let relay = &self.relay;
        log::info!(
            "event=stream_given_up request={} why=\"{reason}\" left_ms={}",
            relay.request.terms.id.as_deref().unwrap_or("-"),
            relay.left().as_millis(),
        );
        self.is_over = true;
        relay.record_end("cut", 0);
        io::Error::other(reason.to_owned())
    }

    /// Takes the stream up at another endpoint after its run was lost.
    async fn go_on_after(&mut self, reason: String) -> Result<(), String> {
        match self.relay.after_unknown(reason) {
            attempt_flow::NextStep::GiveUp(e) => Err(format!("{e:?}")),
            attempt_flow::NextStep::Again => self.resume(None).await,
        }
    }

    /// Takes the stream up after the last event that went out.
    async fn resume(&mut self, sent: Option<Box<attempt_flow::SentAttempt>>) -> Result<(), String> {
        let served = self.relay.open_stream(sent).await;
        match served {
            Ok(Served::Stream(_, open)) => {
                self.open = Some(open);
                Ok(())
            }
            Ok(Served::Whole(response)) => Err(format!("the resumption got {}", response.status())),
            Err(e) => Err(format!("{e:?}")),
        }
    }
}

/// Waits for the next whole event.
async fn next_event(
    incoming: &mut connection::IncomingAnswer,
    splitter: &mut event_split::EventSplitter,
) -> EventEnd {
    loop {
        match splitter.next_event() {
            Ok(Some(event)) => return EventEnd::Event(event),
            Ok(None) => {}
            Err(e) => return EventEnd::Cut(e.to_string()),
        }
        match incoming.next_bytes().await {
            Ok(Some(bytes)) => splitter.push(&bytes),
            Ok(None) if splitter.has_rest() => {
                return EventEnd::Cut("the stream ended within an event".into())
            }
            Ok(None) => return EventEnd::Finished,
            Err(e) => return EventEnd::Cut(e.to_string()),
        }
    }
}

fn no_event(waited: time::Duration) -> String {
    format!("no event within {} ms", waited.as_millis())
}
