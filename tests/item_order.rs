//! Which batch item starts next, as plain values and on traces of places.

use jayhollow::{
    bench::placement,
    decisions::item_order::{DurationEstimate, ItemTiming, OrderPolicy},
};

#[test]
fn what_cannot_be_in_time_goes_last() {
    let item = |due_ms, remaining_ms| ItemTiming {
        due_ms,
        remaining_ms,
    };
    let mut items = [item(1_000, 900), item(2_000, 900), item(1_500, 900)];
    let policy = OrderPolicy::FeasibleFirst;
    items.sort_by_key(|i| policy.start_key(i, 50));
    assert_eq!(items.map(|i| i.due_ms), [1_000, 1_500, 2_000]);
    items.sort_by_key(|i| policy.start_key(i, 400));
    assert_eq!(items.map(|i| i.due_ms), [1_500, 2_000, 1_000]);
}

#[test]
fn the_rest_of_a_span_is_told_from_the_mean_and_never_nothing() {
    let mut estimate = DurationEstimate::default();
    assert_eq!(estimate.remaining_ms(500), 0, "nothing is known yet");
    estimate.record(5_000);
    assert_eq!(estimate.remaining_ms(2_000), 1_500, "half of what is left");
    assert_eq!(estimate.remaining_ms(9_000), 250);
}

#[test]
fn over_capacity_far_more_items_are_in_time() {
    let flags = placement::PlacementFlags::default();
    let share = |policy| placement::share_in_time(&flags, policy);
    let due_first = share(OrderPolicy::DueFirst);
    let feasible_first = share(OrderPolicy::FeasibleFirst);
    assert!(
        feasible_first > due_first + 0.15,
        "{feasible_first} against {due_first}"
    );
    let calm = placement::PlacementFlags {
        burst: 1.0,
        ..flags
    };
    let share = placement::share_in_time(&calm, OrderPolicy::FeasibleFirst);
    assert!(share > 0.999, "{share} of a calm day's items");
}
