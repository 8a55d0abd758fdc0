//! Which endpoints are left out for failing, as plain values.

use std::time;

use jayhollow::{
    clock,
    decisions::health::{FailureReport, HealthTracker},
    ids,
};
use rand::{rngs, Rng as _, SeedableRng as _};
use rstest::rstest;

fn endpoint() -> ids::EndpointId {
    "e".parse().expect("a name")
}

fn instance(name: &str) -> ids::InstanceId {
    name.parse().expect("a name")
}

/// Share of the time that an endpoint is out which fails so often at ten requests a second.
fn share_out(failing: f64) -> f64 {
    let mut rng = rngs::SmallRng::seed_from_u64(3);
    let mut board = HealthTracker::default();
    let id = endpoint();
    let mut out = 0;
    const LOOKS: u64 = 20_000;
    for look in 0..LOOKS {
        let now = clock::MonotonicTime(1_000_000 + look * 100_000);
        if board.is_ejected(&id, now) {
            out += 1;
        } else if rng.random_bool(failing) {
            board.record_failure(&id, now);
        } else {
            board.record_success(&id);
        }
    }
    f64::from(out) / LOOKS as f64
}

#[test]
fn three_failures_in_a_row_eject_and_one_more_after_the_return() {
    let mut board = HealthTracker::default();
    let (id, now) = (endpoint(), clock::MonotonicTime(1));
    board.record_failure(&id, now);
    board.record_failure(&id, now);
    assert!(!board.is_ejected(&id, now));
    board.record_failure(&id, now);
    assert!(board.is_ejected(&id, now));
    let later = now + time::Duration::from_secs(3);
    assert!(!board.is_ejected(&id, later), "it is tried again");
    board.record_failure(&id, later);
    assert!(board.is_ejected(&id, later));
}

#[test]
fn the_first_time_out_is_short_and_doubles() {
    let mut board = HealthTracker::default();
    let (id, mut now) = (endpoint(), clock::MonotonicTime(1));
    for out_ms in [500, 1000, 2000, 4000] {
        board.record_silence(&id, now);
        let nearly = now + time::Duration::from_millis(out_ms - 1);
        assert!(board.is_ejected(&id, nearly), "out for {out_ms} ms");
        now = now + time::Duration::from_millis(out_ms);
        assert!(!board.is_ejected(&id, now), "back after {out_ms} ms");
    }
}

#[rstest]
#[case::dead(1.0, 0.9, 1.0)]
#[case::fails_four_in_ten(0.4, 0.6, 1.0)]
#[case::loses_one_in_twenty(0.05, 0.0, 0.02)]
#[case::sound(0.0, 0.0, 0.0)]
fn an_endpoint_is_out_by_how_often_it_fails(
    #[case] failing: f64,
    #[case] least: f64,
    #[case] most: f64,
) {
    let share = share_out(failing);
    assert!(
        (least..=most).contains(&share),
        "out for {share} of the time"
    );
}

#[test]
fn one_reporter_ejects_nothing_and_two_do() {
    let mut board = HealthTracker::default();
    let (id, now) = (endpoint(), clock::MonotonicTime(1));
    let report = |reporter: &str| FailureReport {
        reporter: instance(reporter),
        is_silent: true,
    };
    for _ in 0..20 {
        board.record_report(&id, &report("g1"), now);
    }
    assert!(!board.is_ejected(&id, now), "its own path may be cut");
    board.record_report(&id, &report("g2"), now);
    assert!(board.is_ejected(&id, now));
}

#[test]
fn a_success_of_another_clears_what_one_reports() {
    let mut board = HealthTracker::default();
    let (id, now) = (endpoint(), clock::MonotonicTime(1));
    for reporter in ["g1", "g2", "g1", "g2", "g1", "g2"] {
        let report = FailureReport {
            reporter: instance(reporter),
            is_silent: false,
        };
        board.record_report(&id, &report, now);
        for _ in 0..3 {
            board.record_success(&id);
        }
    }
    assert!(!board.is_ejected(&id, now));
}
