//! Writes whose outcome, if unknown, is resolved by reading the object back.

use std::time;

use rand::Rng as _;

use crate::{decisions::call_budget, protection, store};

/// Known outcome of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettledWrite {
    /// The write took effect, in the last try or in an earlier one whose response was lost.
    Done(store::ObjectRevision),
    /// Another write took effect first; contains the current object, if any.
    Lost(Option<store::VersionedObject>),
}

/// Initial delay between tries, before jitter.
const INITIAL_DELAY: time::Duration = time::Duration::from_millis(50);
/// Maximum delay between tries.
const MAX_DELAY: time::Duration = time::Duration::from_secs(5);

/// Exponential backoff with jitter, so that processes do not all retry at the same time.
#[derive(Debug, Clone)]
pub struct JitteredBackoff {
    delay: time::Duration,
    last: time::Duration,
}

impl Default for JitteredBackoff {
    fn default() -> Self {
        Self {
            delay: INITIAL_DELAY,
            last: MAX_DELAY,
        }
    }
}

impl JitteredBackoff {
    /// Returns the next delay: 50 to 100 % of a duration that doubles up to the maximum.
    pub fn next_delay(&mut self) -> time::Duration {
        let duration = self.delay;
        self.delay = (self.delay * 2).min(self.last);
        duration.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}

/// Writes an object, retrying until the outcome is known.
///
/// `value` must identify its writer and differ from every other writer's value for the
/// key, so that a read shows whether an earlier try took effect. Gives up at `deadline`.
///
/// # Errors
/// Returns an error if the value is too large or if the outcome is still unknown at
/// `deadline`; [`store::StoreError::Unknown`] if any try may have taken effect.
pub async fn put(
    store: &dyn store::ObjectStore,
    class: call_budget::CallClass,
    key: &str,
    value: bytes::Bytes,
    condition: store::WriteCondition,
    deadline: time::Instant,
) -> store::StoreResult<SettledWrite> {
    let mut backoff = JitteredBackoff::default();
    let mut may_have_taken_effect = false;
    loop {
        let outcome = store.put(class, key, value.clone(), condition).await;
        let error = match outcome {
            Ok(revision) => return Ok(SettledWrite::Done(revision)),
            Err(e @ store::StoreError::TooLarge) => return Err(e),
            Err(e) => e,
        };
        // A conflict may be caused by an earlier try of this write.
        let unclear = matches!(
            error,
            store::StoreError::Conflict | store::StoreError::Unknown
        );
        may_have_taken_effect |= error == store::StoreError::Unknown;
        if unclear && !protection::is_disabled("read_back") {
            match store.get(class, key).await {
                Ok(Some(found)) if found.value == value => {
                    return Ok(SettledWrite::Done(found.revision))
                }
                Ok(found) if !condition_holds(condition, found.as_ref()) => {
                    return Ok(SettledWrite::Lost(found))
                }
                _ => {}
            }
        }
        let delay = backoff.next_delay();
        if time::Instant::now() + delay >= deadline {
            // An error of the last try does not show whether an earlier one took effect.
            return Err(match may_have_taken_effect {
                true => store::StoreError::Unknown,
                false => error,
            });
        }
        actix_rt::time::sleep(delay).await;
    }
}

fn condition_holds(
    condition: store::WriteCondition,
    found: Option<&store::VersionedObject>,
) -> bool {
    match condition {
        store::WriteCondition::Always => true,
        store::WriteCondition::Absent => found.is_none(),
        store::WriteCondition::Match(revision) => found.is_some_and(|f| f.revision == revision),
    }
}

/// Removes an object, retrying until the removal is confirmed.
///
/// # Errors
/// Returns the last error if the removal is still not confirmed at `deadline`.
pub async fn remove(
    store: &dyn store::ObjectStore,
    class: call_budget::CallClass,
    key: &str,
    deadline: time::Instant,
) -> store::StoreResult<()> {
    let mut backoff = JitteredBackoff::default();
    loop {
        match store
            .remove(class, key, store::WriteCondition::Always)
            .await
        {
            Ok(()) => return Ok(()),
            Err(e) if time::Instant::now() >= deadline => return Err(e),
            Err(_) => actix_rt::time::sleep(backoff.next_delay()).await,
        }
    }
}
