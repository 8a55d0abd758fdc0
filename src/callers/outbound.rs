//! The sending side of a caller's connection: what waits to be written of one response.

use std::{io, pin, task};

use bytes::Buf as _;

use super::transport;

/// Size from which the response body is no longer asked for more, in bytes.
const FULL_BYTES: usize = 16 << 10;
/// Largest piece that is copied to the buffer, in bytes; a larger one is written as it is.
const MAX_COPIED_BYTES: usize = 4 << 10;
/// Largest buffer that is kept for the next response, in bytes.
const MAX_KEPT_BYTES: usize = 2 << 10;

/// Bytes that wait to be written.
///
/// Invariant: the bytes of `buffer` go before those of `piece`.
#[derive(Default)]
pub(super) struct Outbound {
    buffer: bytes::BytesMut,
    piece: bytes::Bytes,
    /// Size of the allocation behind `piece`, all of which is kept until it is written.
    piece_bytes: usize,
    /// Whether all was passed to the stream but not flushed.
    is_unflushed: bool,
}

impl Outbound {
    /// Returns the buffer for heads and small pieces, which is only appended to.
    pub(super) fn buffer(&mut self) -> &mut bytes::BytesMut {
        &mut self.buffer
    }

    /// Appends a piece of a body without framing.
    pub(super) fn push(&mut self, piece: bytes::Bytes) {
        match piece.len() <= MAX_COPIED_BYTES || !self.piece.is_empty() {
            true => self.buffer.extend_from_slice(&piece),
            false => {
                self.piece_bytes = piece.len();
                self.piece = piece;
            }
        }
    }

    /// Returns whether more of the body is asked for before these bytes are written.
    pub(super) fn has_room(&self) -> bool {
        self.piece.is_empty() && self.buffer.len() < FULL_BYTES
    }

    /// Returns the bytes that are held while the caller does not read.
    pub(super) fn held_bytes(&self) -> usize {
        match self.is_empty() {
            true => 0,
            false => self.buffer.capacity() + self.piece_bytes,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty() && self.piece.is_empty() && !self.is_unflushed
    }

    /// Writes until nothing is left or the stream takes no more; returns whether any bytes were
    /// taken.
    ///
    /// # Errors
    /// The connection is broken.
    pub(super) fn poll_write(
        &mut self,
        context: &mut task::Context<'_>,
        stream: &mut impl transport::CallerStream,
    ) -> io::Result<bool> {
        let mut has_written = false;
        while !self.buffer.is_empty() || !self.piece.is_empty() {
            let mut stream = pin::Pin::new(&mut *stream);
            let written = match (self.buffer.is_empty(), self.piece.is_empty()) {
                (true, _) => stream.as_mut().poll_write(context, &self.piece),
                (false, true) => stream.as_mut().poll_write(context, &self.buffer),
                (false, false) => {
                    let slices = [
                        io::IoSlice::new(&self.buffer),
                        io::IoSlice::new(&self.piece),
                    ];
                    stream.as_mut().poll_write_vectored(context, &slices)
                }
            };
            match written {
                task::Poll::Pending => return Ok(has_written),
                task::Poll::Ready(Err(e)) => return Err(e),
                task::Poll::Ready(Ok(0)) => return Err(io::ErrorKind::WriteZero.into()),
                task::Poll::Ready(Ok(count)) => self.advance(count),
            }
            has_written = true;
            self.is_unflushed = true;
        }
        if self.is_unflushed {
            match pin::Pin::new(stream).poll_flush(context)? {
                task::Poll::Ready(()) => self.is_unflushed = false,
                task::Poll::Pending => return Ok(has_written),
            }
        }
        if self.buffer.capacity() > MAX_KEPT_BYTES {
            self.buffer = bytes::BytesMut::new();
        }
        Ok(has_written)
    }

    fn advance(&mut self, count: usize) {
        let from_buffer = count.min(self.buffer.len());
        self.buffer.advance(from_buffer);
        self.piece.advance(count - from_buffer);
        if self.piece.is_empty() {
            self.piece = bytes::Bytes::new();
            self.piece_bytes = 0;
        }
    }
}
