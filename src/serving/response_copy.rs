//! Copies an endpoint's response for the caller.

use std::{convert, pin, task};

use actix_http::body;

use super::{connection, context};
use crate::callers::memory;

/// Largest response that is buffered until it is complete, in bytes.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Body of a response, counted as held until it is copied to the write buffer of the
/// connection, which counts it from then on.
pub(super) struct HeldBody {
    body: bytes::Bytes,
    held: memory::HeldBytes,
}

impl HeldBody {
    pub(super) fn new(body: bytes::Bytes, held: memory::HeldBytes) -> Self {
        Self { body, held }
    }
}

impl body::MessageBody for HeldBody {
    type Error = convert::Infallible;

    fn size(&self) -> body::BodySize {
        body::BodySize::Sized(self.body.len() as u64)
    }

    fn poll_next(
        mut self: pin::Pin<&mut Self>,
        _context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<bytes::Bytes, Self::Error>>> {
        self.held.set(0);
        let body = std::mem::take(&mut self.body);
        task::Poll::Ready((!body.is_empty()).then_some(Ok(body)))
    }
}

/// Reads the body of a response to its end. Its bytes are always admitted: the endpoint has
/// produced them, and the caller gets them.
///
/// # Errors
/// The body was truncated, is malformed or exceeds `MAX_BUFFERED_BYTES`.
pub(super) async fn read_full_body(
    incoming: &mut connection::IncomingResponse,
    held: &mut memory::HeldBytes,
) -> Result<bytes::Bytes, connection::ExchangeError> {
    let declared = http_length(&incoming.head).unwrap_or(0);
    // Sized in advance, as growing by doubling would take up to twice as much.
    let mut body = bytes::BytesMut::with_capacity(declared.min(MAX_BUFFERED_BYTES));
    held.set(body.capacity());
    while let Some(bytes) = incoming.next_bytes().await? {
        if body.len() + bytes.len() > MAX_BUFFERED_BYTES {
            let reason = format!("the response is larger than {MAX_BUFFERED_BYTES} bytes");
            return Err(connection::ExchangeError::Malformed(reason));
        }
        body.extend_from_slice(&bytes);
        held.set(body.capacity());
    }
    Ok(body.freeze())
}

/// Returns the length of a body as its head declares it, in bytes.
fn http_length(head: &actix_http::ResponseHead) -> Option<usize> {
    let length = head.headers().get(actix_http::header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

/// Clones the head of a response, which the library's type doesn't.
pub(super) fn clone_head(head: &actix_http::ResponseHead) -> actix_http::ResponseHead {
    let mut copy = actix_http::ResponseHead::new(head.status);
    copy.headers = head.headers.clone();
    copy
}

/// Copies the headers that are forwarded to the caller.
pub(super) fn copy_forwarded_headers(
    context: &context::ProcessContext,
    head: &actix_http::ResponseHead,
    response: &mut actix_http::ResponseBuilder,
) {
    for (name, value) in head.headers() {
        if context.wire.is_forwarded(name) {
            response.append_header((name.clone(), value.clone()));
        }
    }
}
