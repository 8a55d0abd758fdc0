//! Judgement of prompt parts under which endpoints crash, tested on the ledger alone.

use std::time;

use jayhollow::{
    clock,
    decisions::crash_ledger::{
        CrashLedger, CrashOutcome, CrashVerdict, CrashedRun, MAX_CRASHES, MAX_TRIALS,
    },
    ids,
};

/// Longest time for which requests with a part that crashes nothing may wait.
const MAX_SUSPICION: time::Duration = time::Duration::from_secs(3);

fn at(millis: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(millis * 1000)
}

fn part(id: &str) -> ids::PartDigest {
    ids::PartDigest::of("m", id)
}

fn subject(id: &str) -> ids::CrashSubject {
    part(id).into()
}

fn request(name: &str) -> ids::CrashSubject {
    ids::RequestDigest::of("POST", "users.example", name, b"q").into()
}

/// Records that an endpoint crashed under a request that was sent 50 ms earlier.
fn crash(ledger: &mut CrashLedger, subjects: &[ids::CrashSubject], endpoint: u64, millis: u64) {
    for subject in subjects {
        let run = CrashedRun {
            subject: *subject,
            endpoint: ids::EndpointRun {
                endpoint: format!("e{endpoint}").parse().expect("the name is valid"),
                started: Some(ids::StartTime(endpoint)),
            },
            sent_at: at(millis - 50),
        };
        ledger.record_crash(&run, at(millis));
    }
}

/// Crashes [`MAX_CRASHES`] endpoints under different requests with these parts, one each second.
fn crash_under(ledger: &mut CrashLedger, parts: &[&str]) {
    for number in 1..=MAX_CRASHES as u64 {
        let mut subjects = vec![request(&format!("r{number}"))];
        subjects.extend(parts.iter().map(|id| subject(id)));
        crash(ledger, &subjects, number, 1000 * number);
    }
}

/// Runs the next trial of a part, under which an endpoint crashes; returns when.
fn fail_trial(ledger: &mut CrashLedger, parts: &[&str], endpoint: u64, mut millis: u64) -> u64 {
    let delay = ledger.trial_delay(subject(parts[0]), at(millis));
    millis += delay.expect("it is a suspect").as_millis() as u64;
    let verdict = ledger.admit(subject(parts[0]), at(millis));
    assert_eq!(verdict, CrashVerdict::Trial);
    let subjects: Vec<_> = parts.iter().map(|id| subject(id)).collect();
    crash(ledger, &subjects, endpoint, millis + 60);
    millis + 60
}

fn is_suspect(ledger: &CrashLedger, id: &str) -> bool {
    ledger.is_quarantined(subject(id))
}

#[test]
fn a_part_is_convicted_by_two_trials_and_tried_no_more_than_allowed() {
    let mut ledger = CrashLedger::default();
    crash_under(&mut ledger, &["bad"]);
    assert!(is_suspect(&ledger, "bad") && !ledger.is_convicted(subject("bad")));
    let mut now = fail_trial(&mut ledger, &["bad"], 11, 3000);
    assert!(!ledger.is_convicted(subject("bad")));
    now = fail_trial(&mut ledger, &["bad"], 12, now);
    assert!(time::Duration::from_millis(now - 3000) < MAX_SUSPICION);
    assert!(ledger.is_convicted(subject("bad")));
    let mut trials = 2;
    while trials < MAX_TRIALS as u64 {
        trials += 1;
        now = fail_trial(&mut ledger, &["bad"], 20 + trials, now);
    }
    let day = 24 * 3600 * 1000;
    let verdict = ledger.admit(subject("bad"), at(now + 5 * day));
    assert!(matches!(verdict, CrashVerdict::Quarantined(_)));
}

/// Guards against parts that were served for long and crash endpoints after a release.
#[test]
fn a_part_that_turned_bad_is_not_excused_by_earlier_service() {
    let mut ledger = CrashLedger::default();
    ledger.record_part_served(part("bad"), at(900), at(950));
    crash(&mut ledger, &[subject("bad")], 1, 1000);
    assert_eq!(
        ledger.count(subject("bad")),
        0,
        "it was served a moment ago"
    );
    for number in 2..5 {
        // An answer that began before the crash proves nothing.
        ledger.record_part_served(part("bad"), at(940), at(1000 * number + 10));
        crash(&mut ledger, &[subject("bad")], number, 1000 * number);
    }
    assert!(is_suspect(&ledger, "bad"));
}

#[test]
fn a_part_that_is_served_after_each_crash_is_no_suspect() {
    let mut ledger = CrashLedger::default();
    for number in 1..=10 {
        let crashed = 1000 * number;
        crash(
            &mut ledger,
            &[subject("first"), subject("bad")],
            number,
            crashed,
        );
        assert!(ledger.record_part_served(part("first"), at(crashed + 10), at(crashed + 60)));
    }
    assert!(is_suspect(&ledger, "bad") && !is_suspect(&ledger, "first"));
}

/// Guards against blame of a part by a process that does not see it served.
#[test]
fn a_process_that_serves_a_part_exonerates_it_for_all() {
    let (mut blaming, mut serving) = (CrashLedger::default(), CrashLedger::default());
    crash_under(&mut blaming, &["first"]);
    serving.record_part_served(part("first"), at(2900), at(2950));
    transfer(&blaming, &mut serving, 3010);
    assert!(
        !serving.exonerate(subject("first"), at(3010)),
        "it was served before"
    );
    serving.record_part_served(part("first"), at(3005), at(3020));
    assert!(serving.exonerate(subject("first"), at(3020)));
    transfer(&serving, &mut blaming, 3030);
    assert!(!is_suspect(&blaming, "first"));
}

/// Moves all records of a ledger to another.
fn transfer(from: &CrashLedger, to: &mut CrashLedger, millis: u64) {
    for message in from.messages(at(millis)) {
        to.merge_message(message, at(millis));
    }
}

/// Guards against a part that stays refused after its endpoints were mended.
#[test]
fn a_part_that_stops_crashing_endpoints_is_served_again_after_its_next_trial() {
    let (mut ledger, mut peer) = (CrashLedger::default(), CrashLedger::default());
    crash_under(&mut ledger, &["bad"]);
    let now = fail_trial(&mut ledger, &["bad"], 11, 3000);
    let now = fail_trial(&mut ledger, &["bad"], 12, now);
    transfer(&ledger, &mut peer, now);
    assert!(peer.is_convicted(subject("bad")));
    let delay = ledger
        .trial_delay(subject("bad"), at(now))
        .expect("it is a suspect");
    assert!(
        delay <= time::Duration::from_secs(600),
        "the trial is due in {delay:?}"
    );
    let due = now + delay.as_millis() as u64;
    assert_eq!(ledger.admit(subject("bad"), at(due)), CrashVerdict::Trial);
    assert!(ledger.record_part_served(part("bad"), at(due + 1), at(due + 60)));
    transfer(&ledger, &mut peer, due + 300);
    for ledger in [&ledger, &peer] {
        assert_eq!(
            ledger.verdict(subject("bad"), at(due + 300)),
            CrashVerdict::Allowed
        );
    }
}

/// Requests with a bad part that may reach endpoints after the fifth crash.
const MAX_LATE_RUNS: u64 = 3;

/// Guards against items that are held back for good as they share a part which was convicted by
/// bad luck, and against trials for them that crash one endpoint after another.
#[test]
fn trials_of_a_convicted_part_go_on_for_items_and_are_few() {
    let bad = subject("bad");
    let mut ledger = CrashLedger::default();
    crash_under(&mut ledger, &["bad"]);
    let now = fail_trial(&mut ledger, &["bad"], 11, 3000);
    let convicted = fail_trial(&mut ledger, &["bad"], 12, now);
    let next_trial = |ledger: &CrashLedger, now: u64| {
        let delay = ledger.owed_trial_delay(bad, at(now));
        now + delay.expect("it is a suspect").as_millis() as u64
    };
    let (mut due, mut late) = (next_trial(&ledger, convicted), 0);
    while due < convicted + 90_000 {
        let verdict = ledger.verdict(bad, at(due));
        assert!(matches!(verdict, CrashVerdict::Quarantined(_)));
        assert_eq!(ledger.grant_trial(bad, at(due)), CrashVerdict::Trial);
        assert_ne!(ledger.grant_trial(bad, at(due + 1)), CrashVerdict::Trial);
        late += 1;
        crash(&mut ledger, &[bad], 20 + late, due + 60);
        due = next_trial(&ledger, due + 60);
    }
    assert!((1..=MAX_LATE_RUNS).contains(&late), "{late} trials");
    assert_eq!(ledger.grant_trial(bad, at(due)), CrashVerdict::Trial);
    assert!(ledger.record_part_served(part("bad"), at(due + 1), at(due + 60)));
    assert_eq!(ledger.verdict(bad, at(due + 60)), CrashVerdict::Allowed);
}

/// Guards against trials that each side of a cut starts anew once the cut has healed.
#[test]
fn both_sides_of_a_cut_agree_on_a_part_once_it_has_healed() {
    let mut sides = [CrashLedger::default(), CrashLedger::default()];
    for (number, side) in sides.iter_mut().enumerate() {
        for crashed in 1..=MAX_CRASHES as u64 {
            let subjects = [request(&format!("r{number}-{crashed}")), subject("bad")];
            crash(
                side,
                &subjects,
                100 * number as u64 + crashed,
                1000 * crashed,
            );
        }
        fail_trial(side, &["bad"], 100 * number as u64 + 50, 3000);
        assert!(!side.is_convicted(subject("bad")));
    }
    let [left, right] = &mut sides;
    transfer(left, right, 3500);
    transfer(right, left, 3500);
    assert_eq!(left.fingerprint(), right.fingerprint());
    for side in &mut sides {
        assert!(side.is_convicted(subject("bad")));
        let verdict = side.admit(subject("bad"), at(60_000));
        assert!(matches!(verdict, CrashVerdict::Quarantined(_)));
    }
}

#[test]
fn a_trial_under_which_another_suspect_crashed_the_endpoint_convicts_nobody() {
    let mut ledger = CrashLedger::default();
    crash_under(&mut ledger, &["first", "bad"]);
    let now = fail_trial(&mut ledger, &["first", "bad"], 11, 3000);
    fail_trial(&mut ledger, &["first", "bad"], 12, now);
    assert!(!ledger.is_convicted(subject("first")) && !ledger.is_convicted(subject("bad")));
}

/// Guards against a suspicion of all parts of a request that alone crashes endpoints.
#[test]
fn crashes_under_one_request_are_not_attributed_to_its_parts() {
    let mut ledger = CrashLedger::default();
    for number in 1..=MAX_CRASHES as u64 {
        crash(
            &mut ledger,
            &[request("r"), subject("p")],
            number,
            1000 * number,
        );
    }
    assert!(ledger.is_quarantined(request("r")) && !is_suspect(&ledger, "p"));
    crash(&mut ledger, &[request("other"), subject("p")], 9, 9000);
    assert!(is_suspect(&ledger, "p"));
}

#[test]
fn a_flood_of_parts_does_not_displace_one_that_crashes_endpoints() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, &[subject("bad")], 1, 1000);
    crash(&mut ledger, &[subject("bad")], 2, 2000);
    for number in 0..5000 {
        crash(
            &mut ledger,
            &[subject(&format!("{number:x}"))],
            10 + number,
            3000 + number,
        );
    }
    assert!(ledger.len() <= 1024);
    crash(&mut ledger, &[subject("bad")], 3, 9000);
    assert!(is_suspect(&ledger, "bad"));
}

#[test]
fn a_part_that_is_served_between_many_crashes_has_a_bounded_record() {
    let mut ledger = CrashLedger::default();
    for number in 1..500 {
        crash(&mut ledger, &[subject("first")], number, 1000 * number);
        ledger.record_part_served(part("first"), at(1000 * number + 5), at(1000 * number + 50));
    }
    let updates = ledger.snapshot(at(70_000));
    assert!(updates.iter().all(|update| update.crashes.len() <= 64));
    ledger.expire(at(1_000_000));
    assert!(ledger.is_empty(), "a full record does not keep itself");
}

#[test]
fn the_kind_of_a_subject_survives_its_text() {
    for (subject, is_part) in [(subject("p"), true), (request("p"), false)] {
        let read: ids::CrashSubject = subject.to_string().parse().expect("it is valid");
        assert_eq!((read, read.is_part()), (subject, is_part));
    }
    let digest = ids::RequestDigest::of("POST", "users.example", "p", b"q");
    assert_eq!(request("p").to_string(), digest.to_string());
}

#[test]
fn a_crash_is_counted_once_for_a_part() {
    let mut ledger = CrashLedger::default();
    let run = CrashedRun {
        subject: subject("p"),
        endpoint: ids::EndpointRun {
            endpoint: "e1".parse().expect("the name is valid"),
            started: None,
        },
        sent_at: at(950),
    };
    assert_eq!(
        ledger.record_crash(&run, at(1000)),
        CrashOutcome::Counted(1)
    );
    assert_eq!(ledger.record_crash(&run, at(1001)), CrashOutcome::Known);
}
