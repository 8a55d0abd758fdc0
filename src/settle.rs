//! Writes whose lost answers are settled by reading the object back.

use std::time;

use rand::Rng as _;

use crate::{decisions::call_budget, protection, store};

/// How a settled write ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettledWrite {
    /// It took effect, now or in a try whose answer was lost.
    Done(store::ObjectRevision),
    /// Another write came first; this is what there is now, if anything.
    Lost(Option<store::VersionedObject>),
}

/// Shortest pause between tries.
const INITIAL_DELAY: time::Duration = time::Duration::from_millis(50);
/// Longest pause between tries.
const MAX_DELAY: time::Duration = time::Duration::from_secs(5);

/// A pause that doubles, with jitter so that a fleet does not return as a herd.
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
    /// The next pause: between half and all of a span that doubles each time.
    pub fn next_delay(&mut self) -> time::Duration {
        let duration = self.delay;
        self.delay = (self.delay * 2).min(self.last);
        duration.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}

/// Writes an object whose value names its writer, until the outcome is known.
///
/// `value` must differ from every other writer's value for the key, so that a
/// read tells whether an earlier try took effect. Gives up at `deadline`.
///
/// # Errors
/// The outcome is still not known at `deadline`: [`store::StoreError::Unknown`]
/// if any try may have taken effect. Or the value is too large.
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
        // A conflict may be with our own earlier try.
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
            // A refusal of the last try says nothing of the ones before.
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

/// Removes an object until it is known to be gone.
///
/// # Errors
/// The outcome is still not known at `deadline`.
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
