//! Writes whose responses are lost, against a small fake of the object service.

use std::{collections::VecDeque, sync::Mutex, time};

use futures::{future, FutureExt as _};
use jayhollow::{
    decisions::call_budget::CallClass,
    platform, settle,
    store::{self, ObjectStore, StoreError, StoreResult, VersionedObject, WriteCondition},
};
use rstest::rstest;

/// Outcome of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallOutcome {
    Done,
    /// The call takes effect, but its response is lost.
    ResponseLost,
    /// The request is lost before it takes effect.
    RequestLost,
    Refused,
}

/// Fake store with one object, and the outcomes of the next writes; the last outcome repeats.
struct FakeStore {
    object: Mutex<Option<VersionedObject>>,
    writes: Mutex<VecDeque<CallOutcome>>,
    is_readable: bool,
}

impl FakeStore {
    fn write(
        &self,
        value: bytes::Bytes,
        condition: WriteCondition,
    ) -> StoreResult<store::ObjectRevision> {
        let mut writes = self.writes.lock().expect("no test thread panicked");
        let outcome = if writes.len() > 1 {
            writes.pop_front()
        } else {
            writes.front().copied()
        };
        let outcome = outcome.expect("there is at least one outcome");
        if outcome == CallOutcome::Refused {
            return Err(StoreError::Unavailable("out".into()));
        }
        if outcome == CallOutcome::RequestLost {
            return Err(StoreError::Unknown);
        }
        let mut object = self.object.lock().expect("no test thread panicked");
        let found = object.as_ref().map(|o| o.revision);
        let is_met = match condition {
            WriteCondition::Always => true,
            WriteCondition::Absent => found.is_none(),
            WriteCondition::Match(revision) => found == Some(revision),
        };
        if !is_met {
            return Err(StoreError::Conflict);
        }
        let revision = store::ObjectRevision(found.map_or(1, |r| r.0 + 1));
        *object = Some(VersionedObject { revision, value });
        match outcome {
            CallOutcome::ResponseLost => Err(StoreError::Unknown),
            _ => Ok(revision),
        }
    }
}

impl ObjectStore for FakeStore {
    fn max_value_size(&self) -> store::ValueSize {
        store::ValueSize::DEFAULT_LIMIT
    }

    fn get(
        &self,
        _: CallClass,
        _: &str,
    ) -> future::BoxFuture<'static, StoreResult<Option<VersionedObject>>> {
        let found = match self.is_readable {
            true => Ok(self.object.lock().expect("no test thread panicked").clone()),
            false => Err(StoreError::Unavailable("out".into())),
        };
        future::ready(found).boxed()
    }

    fn put(
        &self,
        _: CallClass,
        _: &str,
        value: bytes::Bytes,
        condition: WriteCondition,
    ) -> future::BoxFuture<'static, StoreResult<store::ObjectRevision>> {
        future::ready(self.write(value, condition)).boxed()
    }

    fn remove(
        &self,
        _: CallClass,
        _: &str,
        _: WriteCondition,
    ) -> future::BoxFuture<'static, StoreResult<()>> {
        future::ready(Ok(())).boxed()
    }

    fn list(
        &self,
        _: &str,
        _: &str,
    ) -> future::BoxFuture<'static, StoreResult<platform::ListResponse>> {
        future::ready(Ok(platform::ListResponse::default())).boxed()
    }

    fn watch(
        &self,
        _: &[&str],
        _: store::ObjectRevision,
        _: time::Duration,
    ) -> future::BoxFuture<'static, StoreResult<platform::WatchResponse>> {
        future::ready(Ok(platform::WatchResponse::default())).boxed()
    }

    fn endpoints(
        &self,
        _: Option<store::ObjectRevision>,
    ) -> future::BoxFuture<'static, StoreResult<Option<store::EndpointList>>> {
        future::ready(Ok(None)).boxed()
    }
}

fn put(outcomes: &[CallOutcome], is_readable: bool) -> StoreResult<settle::SettledWrite> {
    let fake = FakeStore {
        object: Mutex::new(None),
        writes: Mutex::new(outcomes.iter().copied().collect()),
        is_readable,
    };
    actix_rt::System::new().block_on(settle::put(
        &fake,
        CallClass::Commit,
        "key",
        bytes::Bytes::from_static(b"mine"),
        WriteCondition::Absent,
        time::Instant::now() + time::Duration::from_millis(400),
    ))
}

#[rstest]
#[case::done(&[CallOutcome::Done])]
#[case::response_lost(&[CallOutcome::ResponseLost, CallOutcome::Refused])]
#[case::request_lost_then_done(&[CallOutcome::RequestLost, CallOutcome::RequestLost, CallOutcome::Done])]
#[case::refused_then_done(&[CallOutcome::Refused, CallOutcome::Done])]
#[case::response_lost_then_conflict(&[CallOutcome::ResponseLost, CallOutcome::Done])]
fn completed_write_is_detected(#[case] outcomes: &[CallOutcome]) {
    assert_eq!(
        put(outcomes, true),
        Ok(settle::SettledWrite::Done(store::ObjectRevision(1)))
    );
}

#[rstest]
#[case::refused(&[CallOutcome::Refused], false)]
#[case::request_lost_and_unreadable(&[CallOutcome::RequestLost], true)]
#[case::response_lost_and_unavailable(&[CallOutcome::ResponseLost, CallOutcome::Refused], true)]
fn write_is_unavailable_only_if_no_attempt_can_have_taken_effect(
    #[case] outcomes: &[CallOutcome],
    #[case] may_have_taken_effect: bool,
) {
    let error = put(outcomes, false).expect_err("the object cannot be read");
    assert_eq!(
        error == StoreError::Unknown,
        may_have_taken_effect,
        "{error}"
    );
}
