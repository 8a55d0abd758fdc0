//! Copies an endpoint's response for the caller.

use super::{connection, context};

/// Largest response that is buffered until it is complete, in bytes.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Reads the body of a response to its end.
///
/// # Errors
/// The body was truncated, is malformed or exceeds `MAX_BUFFERED_BYTES`.
pub(super) async fn read_full_body(
    incoming: &mut connection::IncomingResponse,
) -> Result<bytes::Bytes, connection::ExchangeError> {
    let mut body = bytes::BytesMut::new();
    while let Some(bytes) = incoming.next_bytes().await? {
        if body.len() + bytes.len() > MAX_BUFFERED_BYTES {
            let reason = format!("the response is larger than {MAX_BUFFERED_BYTES} bytes");
            return Err(connection::ExchangeError::Malformed(reason));
        }
        body.extend_from_slice(&bytes);
    }
    Ok(body.freeze())
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
