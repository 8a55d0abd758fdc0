//! Splits the bytes of a stream into complete events without changing them.

use bytes::Buf as _;

/// Longest event that is accepted, in bytes; a longer one ends the stream with an error.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Most blank lines between two events, in bytes; more of them end the stream with an error.
const MAX_BLANK_BYTES: usize = 4 << 10;

/// One complete event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEvent {
    /// Index from the event's `id` line.
    pub id: u64,
    /// The event, including the blank line that ends it.
    pub bytes: bytes::Bytes,
}

impl RawEvent {
    /// Returns the contents of the `data` lines, joined by line feeds.
    pub fn data(&self) -> String {
        let text = String::from_utf8_lossy(&self.bytes);
        let lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
        let lines = lines.map(|data| data.strip_prefix(' ').unwrap_or(data));
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// The reason why a stream cannot be split into events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SplitError {
    /// An event has no numeric `id` line.
    #[error("an event of the stream has no index")]
    NoId,
    /// An event is longer than `MAX_EVENT_BYTES`.
    #[error("an event of the stream is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// There are more than `MAX_BLANK_BYTES` of blank lines between two events.
    #[error("more than {MAX_BLANK_BYTES} blank lines follow an event of the stream")]
    Blank,
}

/// Buffer for the bytes of a stream that don't make up a complete event yet.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: bytes::BytesMut,
    /// Number of leading bytes of `pending` that were searched for the end of an event.
    scanned: usize,
    /// Number of blank lines since the last event.
    blank: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns whether the buffer holds an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the next complete event, if there is one.
    ///
    /// # Errors
    /// The event has no index or is too long, or only blank lines come, see [`SplitError`].
    pub fn next_event(&mut self) -> Result<Option<RawEvent>, SplitError> {
        while self.pending.first() == Some(&b'\n') {
            self.pending.advance(1);
            self.scanned = 0;
            self.blank += 1;
        }
        if self.blank > MAX_BLANK_BYTES {
            return Err(SplitError::Blank);
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
        self.blank = 0;
        let id = event_id(&bytes).ok_or(SplitError::NoId)?;
        Ok(Some(RawEvent { id, bytes }))
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
