//! Writes whose answers are lost, on a small fake of the object service.

use std::{collections::VecDeque, sync::Mutex, time};

use futures::{future, FutureExt as _};
use jayhollow::{
    decisions::call_budget::CallClass,
    platform, settle,
    store::{self, ObjectStore, StoreError, StoreResult, VersionedObject, WriteCondition},
};
use rstest::rstest;

/// What becomes of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Done,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It is lost on its way.
    Lost,
    Refused,
}

/// One object, and the fates of the calls to come; the last fate goes on.
struct FakeStore {
    object: Mutex<Option<VersionedObject>>,
    writes: Mutex<VecDeque<Fate>>,
    readable: bool,
}

impl FakeStore {
    fn write(
        &self,
        value: bytes::Bytes,
        condition: WriteCondition,
    ) -> StoreResult<store::ObjectRevision> {
        let mut writes = self.writes.lock().expect("no test thread panicked");
        let fate = if writes.len() > 1 {
            writes.pop_front()
        } else {
            writes.front().copied()
        };
        let fate = fate.expect("there is a fate");
        if fate == Fate::Refused {
            return Err(StoreError::Unavailable("out".into()));
        }
        if fate == Fate::Lost {
            return Err(StoreError::Unknown);
        }
        let mut object = self.object.lock().expect("no test thread panicked");
        let found = object.as_ref().map(|o| o.revision);
        let holds = match condition {
            WriteCondition::Always => true,
            WriteCondition::Absent => found.is_none(),
            WriteCondition::Match(revision) => found == Some(revision),
        };
        if !holds {
            return Err(StoreError::Conflict);
        }
        let revision = store::ObjectRevision(found.map_or(1, |r| r.0 + 1));
        *object = Some(VersionedObject { revision, value });
        match fate {
            Fate::AnswerLost => Err(StoreError::Unknown),
            _ => Ok(revision),
        }
    }
}

impl ObjectStore for FakeStore {
    fn get(
        &self,
        _: CallClass,
        _: &str,
    ) -> future::BoxFuture<'static, StoreResult<Option<VersionedObject>>> {
        let found = match self.readable {
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

fn put(fates: &[Fate], readable: bool) -> StoreResult<settle::SettledWrite> {
    let fake = FakeStore {
        object: Mutex::new(None),
        writes: Mutex::new(fates.iter().copied().collect()),
        readable,
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
#[case::done(&[Fate::Done])]
#[case::answer_lost(&[Fate::AnswerLost, Fate::Refused])]
#[case::lost_then_done(&[Fate::Lost, Fate::Lost, Fate::Done])]
#[case::refused_then_done(&[Fate::Refused, Fate::Done])]
#[case::answer_lost_then_conflict(&[Fate::AnswerLost, Fate::Done])]
fn a_write_that_took_effect_is_known(#[case] fates: &[Fate]) {
    assert_eq!(
        put(fates, true),
        Ok(settle::SettledWrite::Done(store::ObjectRevision(1)))
    );
}

#[rstest]
#[case::refused(&[Fate::Refused], false)]
#[case::lost_and_unreadable(&[Fate::Lost], true)]
#[case::answer_lost_and_out(&[Fate::AnswerLost, Fate::Refused], true)]
fn a_write_is_refused_only_if_no_try_can_have_taken_effect(
    #[case] fates: &[Fate],
    #[case] may_have_taken_effect: bool,
) {
    let error = put(fates, false).expect_err("its outcome cannot be known");
    assert_eq!(
        error == StoreError::Unknown,
        may_have_taken_effect,
        "{error}"
    );
}
