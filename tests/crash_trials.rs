//! Trials of requests that are suspected of crashing endpoints, tested on the ledger alone.

use std::{collections, time};

use jayhollow::{
    clock,
    decisions::crash_ledger::{CrashLedger, CrashVerdict, CrashedRun, MAX_CRASHES, MAX_TRIALS},
    ids,
};
use proptest::prelude::*;

/// Time within which service must be back after the last fault.
const RECOVERY: time::Duration = time::Duration::from_secs(12);

fn at(seconds: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(seconds * 1_000_000)
}

fn digest(name: &str) -> ids::CrashSubject {
    ids::RequestDigest::of("POST", "users.example", name, b"q").into()
}

/// Records that an endpoint crashed during a request that was sent in the same second.
fn crash(ledger: &mut CrashLedger, name: &str, number: u64, second: u64) {
    let run = CrashedRun {
        subject: digest(name),
        endpoint: ids::EndpointRun {
            endpoint: format!("e{number}").parse().expect("the name is valid"),
            started: Some(ids::StartTime(number)),
        },
        sent_at: at(second),
    };
    ledger.record_crash(&run, at(second));
}

/// Transfers all records of a ledger to another.
fn transfer(from: &CrashLedger, to: &mut CrashLedger, second: u64) {
    for message in from.messages(at(second)) {
        to.merge_message(message, at(second));
    }
}

/// Advances to the next trial of a request and starts it; returns its second.
fn start_trial(ledger: &mut CrashLedger, name: &str, mut second: u64) -> u64 {
    let delay = ledger.trial_delay(digest(name), at(second));
    second += delay.expect("the request is a suspect").as_secs();
    assert_eq!(ledger.admit(digest(name), at(second)), CrashVerdict::Trial);
    second
}

/// Guards against ten minutes without a whole kind of request: all endpoints crashed before
/// it was served anywhere, three of them while they ran it, and it was quarantined at once.
#[test]
fn a_suspect_gets_its_first_trial_within_the_recovery_time() {
    let mut ledger = CrashLedger::default();
    for number in 1..=MAX_CRASHES as u64 {
        crash(&mut ledger, "popular", number, 1);
    }
    let delay = ledger.trial_delay(digest("popular"), at(1));
    let delay = delay.expect("the request is a suspect");
    assert!(delay < RECOVERY, "the first trial is due in {delay:?}");
    assert!(!ledger.is_convicted(digest("popular")));
    let trial = start_trial(&mut ledger, "popular", 1);
    assert!(ledger.is_on_trial(digest("popular"), at(trial)));
    ledger.record_served(digest("popular"), at(trial));
    let verdict = ledger.verdict(digest("popular"), at(trial));
    assert_eq!(verdict, CrashVerdict::Allowed);
}

/// Guards against blaming a frequent request for the crashes that another one causes: it was
/// in flight at three of the four endpoints that the other request crashed.
#[test]
fn crashes_that_another_request_explains_do_not_count() {
    let mut ledger = CrashLedger::default();
    for number in 1..=4 {
        crash(&mut ledger, "crasher", number, 1);
    }
    for number in 2..=4 {
        crash(&mut ledger, "popular", number, 1);
    }
    assert!(ledger.is_quarantined(digest("crasher")));
    assert!(!ledger.is_quarantined(digest("popular")));
    // Further crashes that the other request does not explain do count.
    for number in 5..=7 {
        crash(&mut ledger, "popular", number, 2);
    }
    assert!(ledger.is_quarantined(digest("popular")));
}

/// Neither of two requests with the same crashes explains those of the other: one of them
/// causes them.
#[test]
fn requests_with_the_same_crashes_are_both_suspected() {
    let mut ledger = CrashLedger::default();
    for number in 1..=3 {
        crash(&mut ledger, "crasher", number, 1);
        crash(&mut ledger, "popular", number, 1);
    }
    assert!(ledger.is_quarantined(digest("crasher")));
    assert!(ledger.is_quarantined(digest("popular")));
}

#[test]
fn a_failed_trial_convicts_at_all_processes() {
    let mut ledger = CrashLedger::default();
    for number in 1..=3 {
        crash(&mut ledger, "crasher", number, 1);
    }
    let trial = start_trial(&mut ledger, "crasher", 1);
    crash(&mut ledger, "crasher", 4, trial);
    assert!(ledger.is_convicted(digest("crasher")));
    let mut peer = CrashLedger::default();
    transfer(&ledger, &mut peer, trial);
    assert!(peer.is_convicted(digest("crasher")));
    assert_eq!(peer.fingerprint(), ledger.fingerprint());
    let verdict = peer.verdict(digest("crasher"), at(trial));
    let CrashVerdict::Quarantined(left) = verdict else {
        panic!("the request is quarantined");
    };
    assert!(left > RECOVERY);
}

/// A crash outside a trial convicts nobody, however many there are: a frequent request has
/// runs in flight at every endpoint that loses power.
#[test]
fn crashes_without_a_trial_do_not_convict() {
    let mut ledger = CrashLedger::default();
    for number in 1..=12 {
        crash(&mut ledger, "popular", number, 1);
    }
    assert!(!ledger.is_convicted(digest("popular")));
    // A run that was sent before the trial began tells nothing about the trial either.
    let trial = start_trial(&mut ledger, "popular", 1);
    let early = CrashedRun {
        subject: digest("popular"),
        endpoint: ids::EndpointRun {
            endpoint: "e13".parse().expect("the name is valid"),
            started: None,
        },
        sent_at: at(trial - 1),
    };
    ledger.record_crash(&early, at(trial));
    assert!(!ledger.is_convicted(digest("popular")));
}

/// The endpoint of a trial may crash because of another request that runs there. The trial is
/// repeated soon then, and the number of trials remains bounded.
#[test]
fn a_trial_that_another_suspect_may_have_failed_is_repeated() {
    let mut ledger = CrashLedger::default();
    for number in 1..=3 {
        crash(&mut ledger, "popular", number, 1);
    }
    let mut second = 1;
    for trial in 1..=MAX_TRIALS as u64 {
        assert!(!ledger.is_convicted(digest("popular")));
        second = start_trial(&mut ledger, "popular", second);
        crash(&mut ledger, "popular", 3 + trial, second);
        crash(&mut ledger, "other", 3 + trial, second);
        assert!(second < RECOVERY.as_secs());
    }
    assert!(ledger.is_convicted(digest("popular")), "no trial is left");
}

#[test]
fn a_trial_that_did_not_run_leaves_room_for_another() {
    let mut ledger = CrashLedger::default();
    for number in 1..=3 {
        crash(&mut ledger, "popular", number, 1);
    }
    let trial = start_trial(&mut ledger, "popular", 1);
    assert_ne!(
        ledger.admit(digest("popular"), at(trial)),
        CrashVerdict::Trial
    );
    ledger.cancel_trial(digest("popular"));
    assert_eq!(
        ledger.admit(digest("popular"), at(trial)),
        CrashVerdict::Trial
    );
}

proptest! {
    /// Whatever else crashes beside it, a request that crashes each endpoint gets no more than
    /// [`MAX_TRIALS`] trials, granted by one arbiter to processes that know what it knows.
    #[test]
    fn a_request_that_crashes_endpoints_gets_few_trials(
        beside in proptest::collection::vec((0..4_u8, 1..40_u64), 0..40),
    ) {
        let mut arbiter = CrashLedger::default();
        let mut runner = CrashLedger::default();
        for number in 1..=3 {
            crash(&mut runner, "crasher", number, 1);
        }
        let others: collections::BTreeMap<_, _> = beside.into_iter().map(|(n, s)| (s, n)).collect();
        let mut trials = 0;
        for second in 1..400 {
            if let Some(number) = others.get(&second) {
                let name = format!("beside-{number}");
                crash(&mut runner, &name, 1000 + second, second);
                if second % 3 == 0 {
                    runner.record_served(digest(&name), at(second));
                }
            }
            transfer(&runner, &mut arbiter, second);
            if arbiter.admit(digest("crasher"), at(second)) == CrashVerdict::Trial {
                trials += 1;
                runner.begin_trial(digest("crasher"), at(second));
                crash(&mut runner, "crasher", 1000 + second, second);
            }
            transfer(&arbiter, &mut runner, second);
        }
        prop_assert!(trials >= 1);
        prop_assert!(trials <= MAX_TRIALS, "{} trials", trials);
        prop_assert_eq!(arbiter.fingerprint(), runner.fingerprint());
    }
}
