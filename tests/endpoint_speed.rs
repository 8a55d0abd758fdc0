//! What is learned of the speed of an endpoint, and how soon it is forgotten.

use std::time;

use jayhollow::{
    clock,
    decisions::{
        endpoint_choice::{EndpointCandidate, SpeedScale},
        endpoint_speed::{
            EndpointSpeed, RunObservation, RunTiming, ServiceReference, SlowdownPercent,
            SlowdownReport,
        },
    },
};

fn at_ms(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(1 + ms * 1000)
}

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn stream(gap_ms: u64) -> RunTiming {
    RunTiming::Stream {
        first: ms(40),
        gap: ms(gap_ms),
        events: 20,
    }
}

fn report(percent: u32, age_ms: u64) -> SlowdownReport {
    SlowdownReport {
        percent: SlowdownPercent::new(percent).expect("it is not 0"),
        age: ms(age_ms),
    }
}

/// Ratios of the run times of endpoints to their mean.
fn ratios(speeds: &[EndpointSpeed], now: clock::MonotonicTime) -> Vec<f64> {
    let speeds: Vec<_> = speeds.iter().map(|speed| speed.estimate(now)).collect();
    let candidates = speeds.iter().map(|speed| EndpointCandidate {
        speed: *speed,
        held: 0,
        slots: 8,
    });
    let scale = SpeedScale::new(candidates);
    let ratios = speeds.iter().map(|speed| scale.base(speed).ratio());
    ratios.collect()
}

/// Ratio of two endpoints after so many runs each, one every 100 ms.
fn learned_ratio(runs: u64, timings: [RunTiming; 2]) -> f64 {
    let mut reference = ServiceReference::default();
    let mut speeds = [EndpointSpeed::default(), EndpointSpeed::default()];
    for run in 0..runs {
        for (speed, timing) in speeds.iter_mut().zip(timings) {
            let slowdown = None;
            let observation = RunObservation { timing, slowdown };
            speed.record_run(&mut reference, &observation, at_ms(run * 100));
        }
    }
    let ratios = ratios(&speeds, at_ms(runs * 100));
    ratios[0] / ratios[1]
}

/// Guards against decisions on a few runs, and against kinds of runs that teach nothing.
#[rstest::rstest]
#[case::streams(stream(50), stream(25))]
#[case::complete(RunTiming::Complete(ms(800)), RunTiming::Complete(ms(400)))]
#[case::one_event(
    RunTiming::Stream { first: ms(80), gap: ms(0), events: 1 },
    RunTiming::Stream { first: ms(40), gap: ms(0), events: 1 }
)]
fn differences_are_learned_within_some_runs(#[case] slow: RunTiming, #[case] fast: RunTiming) {
    let ratio = |runs| learned_ratio(runs, [slow, fast]);
    assert!(ratio(1) < 1.2, "{}", ratio(1));
    assert!((1.5..2.05).contains(&ratio(15)), "{}", ratio(15));
    assert!((1.7..2.05).contains(&ratio(60)), "{}", ratio(60));
}

/// Guards against an endpoint that is avoided forever for what it was once.
#[test]
fn what_is_learned_decays_without_runs() {
    let mut reference = ServiceReference::default();
    let mut speeds = [EndpointSpeed::default(), EndpointSpeed::default()];
    for run in 0..100 {
        for (speed, gap_ms) in speeds.iter_mut().zip([50, 25]) {
            let observation = RunObservation {
                timing: stream(gap_ms),
                slowdown: None,
            };
            speed.record_run(&mut reference, &observation, at_ms(run * 20));
        }
    }
    let ratio = |at| ratios(&speeds, at_ms(at))[0];
    assert!(ratio(2000) > 1.3, "{}", ratio(2000));
    assert_eq!(ratio(2000), ratio(6000), "it is kept for 5 s");
    assert!(ratio(22_000) < 1.1, "{}", ratio(22_000));
}

/// Guards against a load that changes for all endpoints and is taken for a slow endpoint.
#[test]
fn a_change_of_all_endpoints_is_none_of_one() {
    let mut reference = ServiceReference::default();
    let mut speeds = [(); 8].map(|()| EndpointSpeed::default());
    for run in 0..400 {
        let observation = RunObservation {
            timing: stream(if run < 200 { 20 } else { 60 }),
            slowdown: None,
        };
        speeds[run % 8].record_run(&mut reference, &observation, at_ms(run as u64 * 10));
    }
    let ratios = ratios(&speeds, at_ms(4000));
    let is_alike = |ratio: &f64| (0.95..1.05).contains(ratio);
    assert!(ratios.iter().all(is_alike), "{ratios:?}");
}

/// Guards against stale reports: a late one does not replace a newer one, and each loses its
/// weight within a second.
#[test]
fn reports_are_weighted_by_their_age() {
    let mut speed = EndpointSpeed::default();
    speed.record_slowdown(report(100, 0), at_ms(1000));
    speed.record_slowdown(report(250, 300), at_ms(1100));
    assert_eq!(speed.estimate(at_ms(1100)).current.0, 0.0);
    speed.record_slowdown(report(250, 100), at_ms(1300));
    let ratio = |at| speed.estimate(at_ms(at)).current.ratio();
    assert!((1.9..2.5).contains(&ratio(1300)), "{}", ratio(1300));
    assert!(ratio(2400) < 1.1, "{}", ratio(2400));
}

/// Guards against an endpoint whose figure is always the same, and so says nothing.
#[test]
fn a_constant_report_is_discounted() {
    let mut reference = ServiceReference::default();
    let mut speed = EndpointSpeed::default();
    for run in 0..200 {
        let observation = RunObservation {
            timing: stream(25),
            slowdown: Some(report(250, 0)),
        };
        speed.record_run(&mut reference, &observation, at_ms(run * 50));
    }
    let estimate = speed.estimate(at_ms(10_000));
    assert!(estimate.current.ratio() < 1.1, "{estimate:?}");
}
