//! The receiving side of a caller's connection: one request at a time, and bytes read ahead up to
//! a limit.

use std::{cell, io, pin, rc, task};

use actix_http::{error, h1};
use tokio_util::codec::Decoder as _;

use super::transport;

/// Initial size of the read buffer, in bytes. An idle connection has one of this size.
const INITIAL_BYTES: usize = 2 << 10;
/// Number of bytes read at once, and of a body that is read before its handler takes it.
const PIECE_BYTES: usize = 8 << 10;
/// Number of bytes that are read beyond a complete request while it is served.
const READ_AHEAD_BYTES: usize = 4 << 10;

/// How far the body of the current request was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyProgress {
    /// More of it is expected.
    Pending,
    /// It was read to its end, or there is none.
    Finished,
    /// It is malformed.
    Malformed,
}

/// Whether further bytes may come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadProgress {
    /// All that has come was read.
    Waiting,
    /// The buffer is full, and nothing more is read.
    Full,
    /// The caller closed its side, or the connection broke.
    Closed,
}

/// Read buffer and parser of a connection.
///
/// Invariant: a head is parsed only when the request before it is finished.
pub(super) struct Inbound {
    pub(super) codec: h1::Codec,
    buffer: bytes::BytesMut,
    body: BodyProgress,
    is_closed: bool,
    /// Number of the current request.
    request: u64,
    /// Wakes the reader of the body when bytes have come.
    body_waker: Option<task::Waker>,
    /// Wakes the connection when a full buffer has room.
    room_waker: Option<task::Waker>,
}

/// The receiving side, shared with the body of the current request.
pub(super) type SharedInbound = rc::Rc<cell::RefCell<Inbound>>;

impl Inbound {
    pub(super) fn new(config: actix_http::ServiceConfig) -> SharedInbound {
        rc::Rc::new(cell::RefCell::new(Self {
            codec: h1::Codec::new(config),
            buffer: bytes::BytesMut::new(),
            body: BodyProgress::Finished,
            is_closed: false,
            request: 0,
            body_waker: None,
            room_waker: None,
        }))
    }

    /// Returns the size of the read buffer, in bytes.
    pub(super) fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns the number of bytes that were read and not parsed.
    pub(super) fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Releases the read buffer if nothing is in it and it is larger than an idle connection needs.
    pub(super) fn shrink(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > INITIAL_BYTES {
            self.buffer = bytes::BytesMut::new();
        }
    }

    pub(super) fn body(&self) -> BodyProgress {
        self.body
    }

    /// Returns whether the handler waits for bytes of the body.
    pub(super) fn is_awaited(&self) -> bool {
        self.body == BodyProgress::Pending && self.body_waker.is_some()
    }

    /// Returns the limit up to which bytes are read while a request is served.
    pub(super) fn serving_limit(&self) -> usize {
        match self.body {
            BodyProgress::Pending => PIECE_BYTES,
            BodyProgress::Finished | BodyProgress::Malformed => READ_AHEAD_BYTES,
        }
    }

    /// Reads as long as bytes come and fewer than `limit` are in the buffer.
    pub(super) fn poll_read(
        &mut self,
        context: &mut task::Context<'_>,
        stream: &mut impl transport::CallerStream,
        limit: usize,
    ) -> ReadProgress {
        let before = self.buffer.len();
        while !self.is_closed {
            if self.buffer.len() >= limit {
                self.room_waker = Some(context.waker().clone());
                break;
            }
            let room = self.buffer.capacity() - self.buffer.len();
            if room < INITIAL_BYTES / 2 {
                let is_large = self.buffer.len() >= INITIAL_BYTES / 2;
                let is_large = is_large || self.body == BodyProgress::Pending;
                self.buffer
                    .reserve(if is_large { PIECE_BYTES } else { INITIAL_BYTES });
            }
            let stream = pin::Pin::new(&mut *stream);
            match tokio_util::io::poll_read_buf(stream, context, &mut self.buffer) {
                task::Poll::Ready(Ok(0) | Err(_)) => self.is_closed = true,
                task::Poll::Ready(Ok(_)) => {}
                task::Poll::Pending => break,
            }
        }
        let has_read = self.buffer.len() > before;
        if has_read || self.is_closed {
            if let Some(waker) = self.body_waker.take() {
                waker.wake();
            }
        }
        match (self.is_closed, self.buffer.len() >= limit) {
            (true, _) => ReadProgress::Closed,
            (false, true) => ReadProgress::Full,
            (false, false) => ReadProgress::Waiting,
        }
    }

    /// Takes the next request if its head is complete.
    ///
    /// # Errors
    /// The head is malformed, or larger than the parser allows.
    pub(super) fn next_request(
        this: &SharedInbound,
    ) -> Result<Option<actix_http::Request>, error::ParseError> {
        let mut inbound = this.borrow_mut();
        let inbound = &mut *inbound;
        if inbound.buffer.is_empty() {
            return Ok(None);
        }
        let Some(h1::Message::Item(mut request)) = inbound.codec.decode(&mut inbound.buffer)?
        else {
            return Ok(None);
        };
        inbound.request += 1;
        inbound.body_waker = None;
        inbound.body = match inbound.codec.message_type() {
            h1::MessageType::Payload => BodyProgress::Pending,
            // Nothing is served on an upgraded connection, which is closed after the response.
            h1::MessageType::None | h1::MessageType::Stream => BodyProgress::Finished,
        };
        if inbound.body == BodyProgress::Finished {
            return Ok(Some(request));
        }
        let body = RequestBody {
            inbound: this.clone(),
            request: inbound.request,
        };
        *request.payload() = actix_http::Payload::Stream {
            payload: Box::pin(body),
        };
        Ok(Some(request))
    }

    /// Takes the next piece of the body from the buffer; `None` without a complete one, or at the
    /// end.
    fn next_piece(&mut self) -> Option<bytes::Bytes> {
        if self.body != BodyProgress::Pending {
            return None;
        }
        match self.codec.decode(&mut self.buffer) {
            Ok(Some(h1::Message::Chunk(Some(piece)))) => return Some(piece),
            Ok(Some(h1::Message::Chunk(None))) => self.body = BodyProgress::Finished,
            Ok(None) => {}
            Ok(Some(h1::Message::Item(_))) | Err(_) => self.body = BodyProgress::Malformed,
        }
        None
    }

    /// Discards what has come of the body; returns the number of bytes.
    pub(super) fn discard_body(&mut self) -> usize {
        let before = self.buffer.len();
        while self.next_piece().is_some() {}
        before - self.buffer.len()
    }

    /// Discards all that has come; returns the number of bytes.
    pub(super) fn discard_all(&mut self) -> usize {
        let count = self.buffer.len();
        self.buffer.clear();
        count
    }

    /// Ends the body for whoever still reads it.
    pub(super) fn end(&mut self) {
        self.is_closed = true;
        if let Some(waker) = self.body_waker.take() {
            waker.wake();
        }
    }
}

/// The body of a request, as its handler reads it.
struct RequestBody {
    inbound: SharedInbound,
    request: u64,
}

impl futures::Stream for RequestBody {
    type Item = Result<bytes::Bytes, error::PayloadError>;

    fn poll_next(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Self::Item>> {
        let mut inbound = self.inbound.borrow_mut();
        if inbound.request != self.request {
            return task::Poll::Ready(None);
        }
        let piece = inbound.next_piece();
        if let Some(waker) = inbound.room_waker.take() {
            waker.wake();
        }
        if let Some(piece) = piece {
            return task::Poll::Ready(Some(Ok(piece)));
        }
        let error = match inbound.body {
            BodyProgress::Finished => return task::Poll::Ready(None),
            BodyProgress::Malformed => error::PayloadError::EncodingCorrupted,
            BodyProgress::Pending if inbound.is_closed => {
                let error = io::Error::from(io::ErrorKind::UnexpectedEof);
                error::PayloadError::Incomplete(Some(error))
            }
            BodyProgress::Pending => {
                inbound.body_waker = Some(context.waker().clone());
                return task::Poll::Pending;
            }
        };
        task::Poll::Ready(Some(Err(error)))
    }
}
