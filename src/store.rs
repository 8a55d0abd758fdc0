//! The border to the platform's object service.

use std::{fmt, time};

use futures::future;

use crate::{decisions::call_budget, platform};

/// Version of an object: the store's revision at which it last changed.
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

/// When a write is to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object does not exist.
    Absent,
    /// The object is still at this revision.
    Match(ObjectRevision),
    /// Whatever there is.
    Always,
}

/// An object and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedObject {
    /// Its version.
    pub revision: ObjectRevision,
    /// Its value.
    pub value: bytes::Bytes,
}

impl VersionedObject {
    /// The value read as JSON.
    ///
    /// # Errors
    /// The value is not what is expected.
    pub fn decode<T: serde::de::DeserializeOwned>(&self) -> Result<T, StoreError> {
        serde_json::from_slice(&self.value).map_err(|e| StoreError::Corrupt(e.to_string()))
    }
}

/// The platform's list of endpoints at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointList {
    /// Its revision.
    pub revision: ObjectRevision,
    /// The endpoints.
    pub endpoints: Vec<platform::EndpointRecord>,
}

/// Why a call to the object service gave no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The condition of a write did not hold; nothing was changed.
    #[error("the object changed meanwhile")]
    Conflict,
    /// A write was sent and its answer lost: it may have taken effect.
    #[error("the answer to a write was lost")]
    Unknown,
    /// The call was refused or never sent; nothing was changed.
    #[error("the object service cannot be reached: {0}")]
    Unavailable(String),
    /// The value is too large.
    #[error("the value is larger than the object service holds")]
    TooLarge,
    /// The object holds something else than expected.
    #[error("an object cannot be read: {0}")]
    Corrupt(String),
}

/// Outcome of a call to the object service.
pub type StoreResult<T> = Result<T, StoreError>;

/// The platform's object service.
pub trait ObjectStore: Send + Sync {
    /// Reads an object.
    fn get(
        &self,
        class: call_budget::CallClass,
        key: &str,
    ) -> future::BoxFuture<'static, StoreResult<Option<VersionedObject>>>;

    /// Writes an object if the condition holds.
    fn put(
        &self,
        class: call_budget::CallClass,
        key: &str,
        value: bytes::Bytes,
        condition: WriteCondition,
    ) -> future::BoxFuture<'static, StoreResult<ObjectRevision>>;

    /// Removes an object if the condition holds.
    fn remove(
        &self,
        class: call_budget::CallClass,
        key: &str,
        condition: WriteCondition,
    ) -> future::BoxFuture<'static, StoreResult<()>>;

    /// One page of the objects under a prefix, after a key.
    fn list(
        &self,
        prefix: &str,
        after: &str,
    ) -> future::BoxFuture<'static, StoreResult<platform::ListResponse>>;

    /// Waits for changes under some prefixes after a revision.
    fn watch(
        &self,
        prefixes: &[&str],
        since: ObjectRevision,
        wait: time::Duration,
    ) -> future::BoxFuture<'static, StoreResult<platform::WatchResponse>>;

    /// The platform's lagging list of endpoints.
    ///
    /// Gives nothing if it still is at the revision that is known.
    fn endpoints(
        &self,
        known: Option<ObjectRevision>,
    ) -> future::BoxFuture<'static, StoreResult<Option<EndpointList>>>;
}

/// All objects under a prefix, page by page.
///
/// # Errors
/// A page cannot be read.
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
            // A page without anything readable names nothing to go on from.
            Some(last) if page.more && last.key == after => {
                return Err(StoreError::Corrupt(format!("no key after {after}")));
            }
            Some(last) if page.more => after.clone_from(&last.key),
            _ => return Ok(items),
        }
    }
}

/// A value as the JSON that objects hold.
pub fn encode(value: &impl serde::Serialize) -> bytes::Bytes {
    // Our own types hold no map with keys that JSON cannot have.
    serde_json::to_vec(value).map_or_else(|_| bytes::Bytes::new(), bytes::Bytes::from)
}
