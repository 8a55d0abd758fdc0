//! Results of a job that was ended while its owner was frozen are read again.

use std::{thread, time};

use jayhollow_testkit::Caller;

use crate::{
    ended_results::{check, owner, read_all, read_until, start, submit, ITEMS, JOB},
    record::Record,
    Verdict,
};

/// How long a store machine freezes: `for_s` of `node_freeze` on the sheet's site file.
const FREEZE_TIME: time::Duration = time::Duration::from_millis(3200);
/// `ContactMs` and `SettleMs` of the sheet, and some reserve.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(4500);
/// Time after the submission before the freeze.
const RUN_TIME: time::Duration = time::Duration::from_secs(5);
/// Results beyond those before the freeze after which the client ends the job.
const MORE_RESULTS: usize = 5;

/// Runs the case.
pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let system = start(record);
    submit(&system, record);
    let owner = owner(&system);
    thread::sleep(RUN_TIME);
    let before = read_until(&system, 5, record).len();
    let frozen_at = time::Instant::now();
    if has_trouble {
        system.dispatchers[owner].signal(libc::SIGSTOP);
        record.line(&format!("dispatcher-{owner} freezes (SIGSTOP)"));
    }
    let mut expected = Vec::new();
    while expected.len() < before + MORE_RESULTS && frozen_at.elapsed() < FREEZE_TIME {
        thread::sleep(time::Duration::from_millis(100));
        let results = read_all(&system, 1, record).unwrap_or_default();
        if results.len() > expected.len() {
            expected = results;
        }
    }
    assert!(
        expected.len() > before,
        "more results came while the owner was frozen"
    );
    let ended = Caller::call(system.front(1), "DELETE", &format!("/lots/{JOB}"), &[], "");
    record.line(&format!("DELETE /lots/{JOB} gateway=1 -> {}", ended.status));
    assert_eq!(ended.status, 200);
    thread::sleep(FREEZE_TIME.saturating_sub(frozen_at.elapsed()));
    if has_trouble {
        system.dispatchers[owner].signal(libc::SIGCONT);
        record.line(&format!("dispatcher-{owner} wakes (SIGCONT)"));
    }
    record.line(&format!("results read so far: {}", expected.len()));
    assert!(
        expected.len() < ITEMS,
        "the job was ended before it was done"
    );
    thread::sleep(SETTLE_TIME);
    check(&system, &expected, record)
}
