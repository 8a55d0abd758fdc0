//! Return times of refused callers.

use std::{num, time};

use jayhollow::{clock, decisions::return_schedule, ids};

fn ms(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

fn at(count: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(count * 1000)
}

fn request(number: u32) -> ids::RequestDigest {
    ids::RequestDigest::of("POST", "host", "/", &number.to_le_bytes())
}

fn schedule(capacity: usize) -> return_schedule::ReturnSchedule {
    return_schedule::ReturnSchedule::new(num::NonZeroUsize::new(capacity).unwrap())
}

/// Guards against callers that are told to return at the same moment, and against places
/// that stay empty because they passed or lie before a later one.
#[test]
fn places_are_spaced_and_reused() {
    let mut returns = schedule(100);
    for number in 0..5 {
        let delay = returns.book(request(number), at(1000), ms(40), ms(20));
        assert_eq!(delay, ms(40 + 20 * u64::from(number)));
    }
    // A later earliest place does not block the ones before it.
    assert_eq!(returns.book(request(5), at(1000), ms(400), ms(20)), ms(400));
    assert_eq!(returns.book(request(6), at(1000), ms(40), ms(20)), ms(140));
    // All places passed: the schedule starts again.
    assert_eq!(returns.book(request(7), at(1500), ms(0), ms(20)), ms(0));
    // A booking that was redeemed leaves its place to the next caller.
    assert!(returns.redeem(request(7), at(1500)));
    assert_eq!(returns.book(request(8), at(1500), ms(0), ms(20)), ms(0));
}

/// Guards against a preference for callers that return early, far too late or twice.
#[test]
fn only_a_return_on_time_is_redeemed_once() {
    let mut returns = schedule(100);
    returns.book(request(1), at(0), ms(100), ms(10));
    assert!(!returns.redeem(request(1), at(50)), "early");
    assert!(!returns.redeem(request(2), at(100)), "another request");
    assert!(returns.redeem(request(1), at(105)));
    assert!(!returns.redeem(request(1), at(105)), "twice");
    returns.book(request(1), at(200), ms(100), ms(10));
    assert!(!returns.redeem(request(1), at(2000)), "late");
    // Two callers with the same content have a place each.
    returns.book(request(3), at(2000), ms(10), ms(10));
    returns.book(request(3), at(2000), ms(10), ms(10));
    assert!(returns.redeem(request(3), at(2020)) && returns.redeem(request(3), at(2020)));
}

/// Guards against memory that grows with the number of refusals.
#[test]
fn records_are_bounded_in_number_and_age() {
    let mut returns = schedule(8);
    for number in 0..100 {
        returns.book(request(number), at(0), ms(9), ms(9));
    }
    assert_eq!(returns.len(), 8);
    let kept = (0..100).filter(|&n| returns.redeem(request(n), at(400)));
    assert!(kept.count() <= 8);
    assert!(returns.book(request(200), at(1000), ms(60_000), ms(9)) >= ms(60_000));
    assert!(!returns.redeem(request(200), at(61_000)));
    returns.book(request(201), at(1000), ms(9_900), ms(9));
    returns.book(request(202), at(20_000), ms(9), ms(9));
    assert_eq!(returns.len(), 1);
}
