//! Ejection of failing endpoints, tested on the tracker alone.

use std::time;

use jayhollow::{
    clock,
    decisions::health::{FailureReport, HealthTracker},
    ids,
};
use rand::{rngs, Rng as _, SeedableRng as _};
use rstest::rstest;

fn endpoint() -> ids::EndpointId {
    "e".parse().expect("the name is valid")
}

fn instance(name: &str) -> ids::InstanceId {
    name.parse().expect("the name is valid")
}

/// Returns the fraction of time for which an endpoint with this failure rate is ejected, at
/// ten requests per second.
fn ejected_fraction(failure_rate: f64) -> f64 {
    let mut rng = rngs::SmallRng::seed_from_u64(3);
    let mut tracker = HealthTracker::default();
    let id = endpoint();
    let mut ejected = 0;
    const PROBES: u64 = 20_000;
    for probe in 0..PROBES {
        let now = clock::MonotonicTime(1_000_000 + probe * 100_000);
        if tracker.is_ejected(&id, now) {
            ejected += 1;
        } else if rng.random_bool(failure_rate) {
            tracker.record_failure(&id, now);
        } else {
            tracker.record_success(&id);
        }
    }
    f64::from(ejected) / PROBES as f64
}

#[test]
fn three_consecutive_failures_eject_and_one_more_ejects_again() {
    let mut tracker = HealthTracker::default();
    let (id, now) = (endpoint(), clock::MonotonicTime(1));
    tracker.record_failure(&id, now);
    tracker.record_failure(&id, now);
    assert!(!tracker.is_ejected(&id, now));
    tracker.record_failure(&id, now);
    assert!(tracker.is_ejected(&id, now));
    let later = now + time::Duration::from_secs(3);
    assert!(
        !tracker.is_ejected(&id, later),
        "the endpoint is used again"
    );
    tracker.record_failure(&id, later);
    assert!(tracker.is_ejected(&id, later));
}

#[test]
fn first_ejection_is_short_and_doubles() {
    let mut tracker = HealthTracker::default();
    let (id, mut now) = (endpoint(), clock::MonotonicTime(1));
    for ejected_ms in [500, 1000, 2000, 4000] {
        tracker.record_silence(&id, now);
        let nearly = now + time::Duration::from_millis(ejected_ms - 1);
        assert!(
            tracker.is_ejected(&id, nearly),
            "ejected for {ejected_ms} ms"
        );
        now = now + time::Duration::from_millis(ejected_ms);
        assert!(
            !tracker.is_ejected(&id, now),
            "returned after {ejected_ms} ms"
        );
    }
}

#[rstest]
#[case::unreachable(1.0, 0.9, 1.0)]
#[case::forty_percent_failures(0.4, 0.6, 1.0)]
#[case::five_percent_failures(0.05, 0.0, 0.02)]
#[case::healthy(0.0, 0.0, 0.0)]
fn ejected_time_follows_the_failure_rate(
    #[case] failure_rate: f64,
    #[case] least: f64,
    #[case] most: f64,
) {
    let share = ejected_fraction(failure_rate);
    assert!(
        (least..=most).contains(&share),
        "ejected for {share} of the time"
    );
}

#[test]
fn reports_eject_only_from_two_reporters() {
    let mut tracker = HealthTracker::default();
    let (id, now) = (endpoint(), clock::MonotonicTime(1));
    let report = |reporter: &str| FailureReport {
        reporter: instance(reporter),
        is_silent: true,
    };
    for _ in 0..20 {
        tracker.record_report(&id, &report("g1"), now);
    }
    assert!(
        !tracker.is_ejected(&id, now),
        "the reporter may have lost its own connection"
    );
    tracker.record_report(&id, &report("g2"), now);
    assert!(tracker.is_ejected(&id, now));
}

#[test]
fn success_clears_the_reporters() {
    let mut tracker = HealthTracker::default();
    let (id, now) = (endpoint(), clock::MonotonicTime(1));
    for reporter in ["g1", "g2", "g1", "g2", "g1", "g2"] {
        let report = FailureReport {
            reporter: instance(reporter),
            is_silent: false,
        };
        tracker.record_report(&id, &report, now);
        for _ in 0..3 {
            tracker.record_success(&id);
        }
    }
    assert!(!tracker.is_ejected(&id, now));
}
