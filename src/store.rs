//! Interface to the platform's object service.

use std::{fmt, io, time};

use futures::future;

use crate::{decisions::call_budget, platform};

/// Version of an object: the store revision at which it last changed.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct ObjectRevision(pub u64);

impl fmt::Display for ObjectRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::str::FromStr for ObjectRevision {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim_matches('"').parse().map(Self)
    }
}

/// Size of an object's value in bytes, in the form in which it is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ValueSize(pub usize);

impl ValueSize {
    /// Limit of a platform that names none.
    pub const DEFAULT_LIMIT: Self = Self(1 << 20);
}

impl fmt::Display for ValueSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.0)
    }
}

impl std::str::FromStr for ValueSize {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim_end_matches(" bytes").parse().map(Self)
    }
}

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object must not exist.
    Absent,
    /// The object must still be at this revision.
    Match(ObjectRevision),
    /// The write is unconditional.
    Always,
}

/// Object value with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedObject {
    /// Version of the object.
    pub revision: ObjectRevision,
    /// Value of the object.
    pub value: bytes::Bytes,
}

impl VersionedObject {
    /// Decodes the value from JSON.
    ///
    /// # Errors
    /// Returns [`StoreError::Corrupt`] if the value cannot be decoded as `T`.
    pub fn decode<T: serde::de::DeserializeOwned>(&self) -> Result<T, StoreError> {
        serde_json::from_slice(&self.value).map_err(|e| StoreError::Corrupt(e.to_string()))
    }
}

/// Platform's list of endpoints at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointList {
    /// Revision of the list.
    pub revision: ObjectRevision,
    /// Listed endpoints.
    pub endpoints: Vec<platform::EndpointRecord>,
}

/// Error of a call to the object service.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The precondition of a write failed; nothing was changed.
    #[error("the object changed meanwhile")]
    Conflict,
    /// A write was sent but its outcome is unknown: it may have taken effect.
    #[error("the answer to a write was lost")]
    Unknown,
    /// The call was rejected, was never sent, or is a read that failed; nothing was changed.
    #[error("the object service cannot be reached: {0}")]
    Unavailable(String),
    /// The value exceeds the size limit of the object service.
    #[error("the value is larger than the object service holds")]
    TooLarge,
    /// The object has unexpected content.
    #[error("an object cannot be read: {0}")]
    Corrupt(String),
}

/// Result of a call to the object service.
pub type StoreResult<T> = Result<T, StoreError>;

/// Operations of the platform's object service.
pub trait ObjectStore: Send + Sync {
    /// Returns the largest value that an object may have. A larger one is refused with
    /// [`StoreError::TooLarge`], however often it is sent.
    fn max_value_size(&self) -> ValueSize;

    /// Reads an object; returns `None` if it does not exist.
    fn get(
        &self,
        class: call_budget::CallClass,
        key: &str,
    ) -> future::BoxFuture<'static, StoreResult<Option<VersionedObject>>>;

    /// Writes an object if the precondition holds, and returns its new revision.
    fn put(
        &self,
        class: call_budget::CallClass,
        key: &str,
        value: bytes::Bytes,
        condition: WriteCondition,
    ) -> future::BoxFuture<'static, StoreResult<ObjectRevision>>;

    /// Removes an object if the precondition holds.
    fn remove(
        &self,
        class: call_budget::CallClass,
        key: &str,
        condition: WriteCondition,
    ) -> future::BoxFuture<'static, StoreResult<()>>;

    /// Lists one page of the objects under a prefix, after the key `after`.
    fn list(
        &self,
        prefix: &str,
        after: &str,
    ) -> future::BoxFuture<'static, StoreResult<platform::ListResponse>>;

    /// Waits up to `wait` for changes under the prefixes after the revision `since`.
    fn watch(
        &self,
        prefixes: &[&str],
        since: ObjectRevision,
        wait: time::Duration,
    ) -> future::BoxFuture<'static, StoreResult<platform::WatchResponse>>;

    /// Reads the platform's list of endpoints, which may lag behind.
    ///
    /// Returns `None` if the list is still at the revision `known`.
    fn endpoints(
        &self,
        known: Option<ObjectRevision>,
    ) -> future::BoxFuture<'static, StoreResult<Option<EndpointList>>>;
}

/// Reads all objects under a prefix, one page at a time.
///
/// # Errors
/// Returns an error if a page cannot be read or if paging makes no progress.
pub async fn list_all(
    store: &dyn ObjectStore,
    prefix: &str,
) -> StoreResult<Vec<platform::ObjectChange>> {
    let mut items = Vec::new();
    let mut after = String::new();
    loop {
        let page = store.list(prefix, &after).await?;
        items.extend(page.items);
        match items.last() {
            // A page without new items provides no key from which to continue.
            Some(last) if page.more && last.key == after => {
                return Err(StoreError::Corrupt(format!("no key after {after}")));
            }
            Some(last) if page.more => after.clone_from(&last.key),
            _ => return Ok(items),
        }
    }
}

/// Encodes a value as JSON for storage in an object.
pub fn encode(value: &impl serde::Serialize) -> bytes::Bytes {
    // The stored types contain no maps with keys that JSON cannot represent.
    serde_json::to_vec(value).map_or_else(|_| bytes::Bytes::new(), bytes::Bytes::from)
}

/// Returns the size of [`encode`]'s result without allocating it.
///
/// JSON may be six times as large as the text in it: a control character takes six bytes, and a
/// quote, a backslash or a line feed two.
pub fn encoded_size(value: &(impl serde::Serialize + ?Sized)) -> ValueSize {
    let mut counter = ByteCounter::default();
    // Counting cannot fail, and the stored types are those of `encode`.
    match serde_json::to_writer(&mut counter, value) {
        Ok(()) => ValueSize(counter.bytes),
        Err(_) => ValueSize::default(),
    }
}

/// Returns the longest prefix of a text whose encoded form has up to `limit`, without the quotes,
/// but at least one character.
pub fn prefix_within(text: &str, limit: ValueSize) -> &str {
    let mut bytes = 0;
    let end = text.char_indices().find(|(index, character)| {
        bytes += encoded_bytes(*character);
        bytes > limit.0 && *index > 0
    });
    end.map_or(text, |(index, _)| &text[..index])
}

/// Returns how many bytes a character takes in a JSON string.
fn encoded_bytes(character: char) -> usize {
    match character {
        '"' | '\\' | '\n' | '\r' | '\t' | '\u{8}' | '\u{c}' => 2,
        '\0'..='\u{1f}' => 6,
        _ => character.len_utf8(),
    }
}

/// Writer that counts the bytes written to it.
#[derive(Debug, Default)]
struct ByteCounter {
    bytes: usize,
}

impl io::Write for ByteCounter {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        self.bytes += text.len();
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
