//! Streams to callers: each event once and in order, resumed where that is allowed.

use std::{io, time};

use actix_http::{body, StatusCode};
use futures::stream;

use super::{
    answer_copy, connection, event_split,
    relay::{Answered, FinalError, NextStep, RequestRelay, Served},
};
use crate::http_server;

/// Part of the longest pause after which a stream is taken up elsewhere.
const GAP_SHARE: f64 = 0.5;

/// A stream that is open, and its first event.
pub(super) struct OpenStream {
    answered: Answered,
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
    /// Longest wait for the next event of a stream.
    fn gap_patience(&self) -> time::Duration {
        let left = self.left();
        match self.request.route.gap_objective {
            Some(gap) if self.attempts_left() > 0 => left.min(gap.mul_f64(GAP_SHARE)),
            _ => left,
        }
    }

    /// A stream whose first event is there, or another answer in whole.
    pub(super) async fn open_stream(&mut self) -> Result<Served, FinalError> {
        loop {
            let mut answered = self.next_answer().await?;
            if !answered.open.incoming.head.status.is_success() {
                let reading = answer_copy::read_whole(&mut answered.open.incoming);
                let read = tokio::time::timeout(self.left(), reading).await;
                let body = match read {
                    Ok(Ok(body)) => body,
                    Ok(Err(e)) => return Err(FinalError::Failed(e.to_string())),
                    Err(_) => return Err(FinalError::Late),
                };
                let answer = self.whole(&answered.open.incoming.head, body);
                self.give_back(answered);
                return Ok(Served::Whole(answer));
            }
            let mut splitter = event_split::EventSplitter::default();
            let patience = self.head_patience();
            let Answered { place, open } = &mut answered;
            let waiting = next_event(&mut open.incoming, &mut splitter, patience);
            let first = self.suspecting(place, waiting).await;
            match self.accept(first) {
                EventEnd::Event(event) => {
                    let head = answer_copy::copy_head(&answered.open.incoming.head);
                    let first = Some(event);
                    let stream = Box::new(OpenStream {
                        answered,
                        splitter,
                        first,
                    });
                    return Ok(Served::Stream(head, stream));
                }
                EventEnd::Finished => {
                    let head = answer_copy::copy_head(&answered.open.incoming.head);
                    let stream = Box::new(OpenStream {
                        answered,
                        splitter,
                        first: None,
                    });
                    return Ok(Served::Stream(head, stream));
                }
                EventEnd::Cut(why) => {
                    let id = answered.place.endpoint.id.clone();
                    self.note_attempt(&id, "cut", &why);
                    answered.place.note_failed(false);
                    drop(answered);
                    match self.after_unknown(why) {
                        Err(NextStep::GiveUp(e)) => return Err(e),
                        _ => continue,
                    }
                }
            }
        }
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
    ) -> http_server::HttpAnswer {
        let mut answer = actix_http::Response::build(head.status);
        answer_copy::copy_headers(&self.context, &head, &mut answer);
        self.mark_close(&mut answer);
        self.started = true;
        open.answered.place.note_served();
        self.observe_first();
        let flow = EventFlow {
            relay: self,
            open: Some(open),
        };
        let pieces = stream::unfold(flow, |mut flow| async move {
            let piece = flow.next_piece().await?;
            Some((piece, flow))
        });
        answer
            .body(body::BodyStream::new(Box::pin(pieces)))
            .map_into_boxed_body()
    }
}

/// The events of an answer that has begun.
struct EventFlow {
    relay: RequestRelay,
    open: Option<Box<OpenStream>>,
}

impl Drop for EventFlow {
    fn drop(&mut self) {
        if self.open.is_some() {
            self.relay.note_end("caller_left", 0);
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
            let patience = self.relay.gap_patience();
            let incoming = &mut open.answered.open.incoming;
            let next = next_event(incoming, &mut open.splitter, patience).await;
            match self.relay.accept(next) {
                EventEnd::Event(event) => return Some(Ok(event.bytes)),
                EventEnd::Finished => {
                    if let Some(open) = self.open.take() {
                        self.relay.give_back(open.answered);
                    }
                    self.relay.note_end("answered", StatusCode::OK.as_u16());
                    return None;
                }
                EventEnd::Cut(why) => {
                    let id = open.answered.place.endpoint.id.clone();
                    self.relay.note_attempt(&id, "cut", &why);
                    open.answered.place.note_failed(true);
                    if let Err(why) = self.resume(why).await {
                        self.relay.note_end("cut", 0);
                        // The caller must not take what it has for the whole answer.
                        return Some(Err(io::Error::other(why)));
                    }
                }
            }
        }
    }

    /// Takes the stream up at another endpoint, after the last event that went out.
    async fn resume(&mut self, why: String) -> Result<(), String> {
        self.open = None;
        if let Err(NextStep::GiveUp(e)) = self.relay.after_unknown(why) {
            return Err(format!("{e:?}"));
        }
        let served = self.relay.open_stream().await;
        match served {
            Ok(Served::Stream(_, open)) => {
                self.open = Some(open);
                Ok(())
            }
            Ok(Served::Whole(answer)) => Err(format!("the resumption got {}", answer.status())),
            Err(e) => Err(format!("{e:?}")),
        }
    }
}

/// Waits for the next whole event.
async fn next_event(
    incoming: &mut connection::IncomingAnswer,
    splitter: &mut event_split::EventSplitter,
    patience: time::Duration,
) -> EventEnd {
    let reading = async {
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
    };
    match tokio::time::timeout(patience, reading).await {
        Ok(end) => end,
        Err(_) => EventEnd::Cut(format!("no event within {} ms", patience.as_millis())),
    }
}
