//! Order in which batch items start, tested on single items and on simulated traces.

use jayhollow::{
    bench::placement,
    decisions::item_order::{DurationEstimate, ItemTiming, OrderPolicy},
};

#[test]
fn infeasible_items_go_last() {
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
fn remaining_time_follows_the_mean_and_is_never_zero() {
    let mut estimate = DurationEstimate::default();
    assert_eq!(estimate.remaining_ms(500), 0, "no duration is recorded");
    estimate.record(5_000);
    assert_eq!(
        estimate.remaining_ms(2_000),
        1_500,
        "half of the remaining time"
    );
    assert_eq!(estimate.remaining_ms(9_000), 250);
}

#[test]
fn feasible_first_keeps_far_more_items_on_time_under_overload() {
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
    assert!(
        share > 0.999,
        "{share} of the items without overload are on time"
    );
}
