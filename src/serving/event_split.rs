//! Cuts the bytes of a stream into whole events, and leaves each as it came.

use bytes::Buf as _;

/// Longest event that is accepted, in bytes; beyond it the stream is broken.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// One whole event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEvent {
    /// Its index.
    pub id: u64,
    /// The event with the blank line that ends it.
    pub bytes: bytes::Bytes,
}

impl RawEvent {
    /// The lines of data, joined by line feeds.
    pub fn data(&self) -> String {
        let text = String::from_utf8_lossy(&self.bytes);
        let lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
        let lines = lines.map(|data| data.strip_prefix(' ').unwrap_or(data));
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// Why a stream cannot be cut into events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SplitError {
    /// An event has no index.
    #[error("an event of the stream has no index")]
    NoId,
    /// An event is too long.
    #[error("an event of the stream is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

/// Bytes of a stream that are not yet a whole event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: bytes::BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Adds bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Whether part of an event is left.
    pub fn has_rest(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The next whole event, if there is one.
    ///
    /// # Errors
    /// See [`SplitError`].
    pub fn next_event(&mut self) -> Result<Option<RawEvent>, SplitError> {
        while self.pending.first() == Some(&b'\n') {
            self.pending.advance(1);
            self.scanned = 0;
        }
        let from = self.scanned.saturating_sub(1);
        let end = self.pending[from..].windows(2).position(|w| w == b"\n\n");
        let Some(end) = end else {
            self.scanned = self.pending.len();
            if self.scanned > MAX_EVENT_BYTES {
                return Err(SplitError::TooLong);
            }
            return Ok(None);
        };
        let bytes = self.pending.split_to(from + end + 2).freeze();
        self.scanned = 0;
        let id = event_id(&bytes).ok_or(SplitError::NoId)?;
        Ok(Some(RawEvent { id, bytes }))
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
