//! Limit on waiting requests at an endpoint, for services of various speeds.

use std::time;

use rand::{Rng as _, SeedableRng as _};

use jayhollow::decisions::queue_limit::{FirstEventEstimate, HoldTimeEstimate};

fn millis(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// Returns the queue limit after runs of one length.
fn queue(slots: u32, hold: u64, first: u64, objective: u64) -> u32 {
    let (mut holds, mut firsts) = (HoldTimeEstimate::default(), FirstEventEstimate::default());
    for _ in 0..200 {
        holds.record(millis(hold));
        firsts.record(millis(first));
    }
    holds.max_waiting(slots, firsts.max_wait(millis(objective)))
}

#[rstest::rstest]
#[case::streams_of_three_quarters_of_a_second(8, 750, 70, 300, 1)]
#[case::ten_times_slower(8, 7500, 700, 3000, 1)]
#[case::ten_times_faster(8, 75, 7, 30, 1)]
#[case::short_calls(6, 60, 60, 300, 9)]
#[case::two_slots_and_a_long_objective(2, 750, 70, 5000, 6)]
#[case::many_slots(64, 750, 70, 300, 7)]
#[case::objective_too_short_for_any_wait(8, 750, 90, 100, 0)]
fn queue_limit_follows_the_estimates(
    #[case] slots: u32,
    #[case] hold: u64,
    #[case] first: u64,
    #[case] objective: u64,
    #[case] expected: u32,
) {
    assert_eq!(queue(slots, hold, first, objective), expected);
}

/// Returns the share of requests whose first event is on time, if they arrive `load` times as
/// fast as the slots serve them and `queue` of them may wait.
fn on_time_share(slots: u32, hold: f64, first: f64, objective: f64, queue: u32, load: f64) -> f64 {
    let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    let mut ends = vec![0.0_f64; slots as usize];
    let mut begins: Vec<f64> = Vec::new();
    let (mut on_time, count) = (0, 4_000);
    for n in 0..count {
        let now = f64::from(n) * hold / f64::from(slots) / load;
        begins.retain(|begin| *begin > now);
        if begins.len() >= queue as usize && ends.iter().all(|end| *end > now) {
            continue;
        }
        let next = (0..ends.len()).min_by(|a, b| ends[*a].total_cmp(&ends[*b]));
        let slot = &mut ends[next.expect("there are slots")];
        let begin = slot.max(now);
        // Runs vary by half of their mean in both directions.
        *slot = begin + hold * rng.random_range(0.5..1.5);
        begins.push(begin);
        on_time += u32::from(begin + first - now <= objective);
    }
    f64::from(on_time) / f64::from(count)
}

#[rstest::rstest]
#[case::as_they_are(8, 0.75, 0.07, 0.3)]
#[case::ten_times_slower(8, 7.5, 0.7, 3.0)]
#[case::ten_times_faster(8, 0.075, 0.007, 0.03)]
#[case::short_calls(6, 0.06, 0.06, 0.3)]
#[case::two_slots(2, 0.75, 0.07, 0.3)]
#[case::many_slots(64, 0.75, 0.07, 0.3)]
#[case::long_objective(8, 0.75, 0.07, 5.0)]
#[case::short_objective(8, 0.75, 0.07, 0.1)]
fn queue_limit_is_nearly_as_good_as_the_best_fixed_queue_under_overload(
    #[case] slots: u32,
    #[case] hold: f64,
    #[case] first: f64,
    #[case] objective: f64,
) {
    let ms = |seconds: f64| (seconds * 1000.0) as u64;
    let estimated = queue(slots, ms(hold), ms(first), ms(objective));
    let share = |queue| on_time_share(slots, hold, first, objective, queue, 1.5);
    let candidates = (0..=slots).chain((1..=8).map(|n| n * slots));
    let best = candidates.map(share).fold(0.0, f64::max);
    let reached = share(estimated);
    assert!(
        reached >= 0.9 * best,
        "{reached} of {best}, queue {estimated}"
    );
}

#[test]
fn default_queue_limit_is_a_quarter_of_the_slots() {
    let holds = HoldTimeEstimate::default();
    assert_eq!(holds.max_waiting(8, millis(200)), 2);
    assert_eq!(
        FirstEventEstimate::default().max_wait(millis(300)),
        millis(150)
    );
}
