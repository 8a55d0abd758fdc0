//! Requests around the restart of a process: which are held, and what the others are told.

use std::time;

use jayhollow::decisions::start_hold::{
    decide, retry_after, EarlyRequest, HeldLoad, HoldVerdict, MAX_HELD_BYTES, MAX_HELD_REQUESTS,
};
use rand::{Rng as _, SeedableRng as _};

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// What callers get from a process that becomes ready some time after its start.
#[derive(Default)]
struct Restart {
    served: usize,
    /// Times from the start of the process to each refusal, and to the retry.
    refused: Vec<(time::Duration, time::Duration)>,
}

/// Plays arrivals at an interval until the process is ready.
fn play(ready_at: time::Duration, interval: time::Duration, timeout: time::Duration) -> Restart {
    let mut rng = rand::rngs::SmallRng::seed_from_u64(7);
    let mut restart = Restart::default();
    let mut held = HeldLoad::default();
    // Requests that are held, by the ends of their holds.
    let mut ends = Vec::new();
    let mut now = time::Duration::ZERO;
    while now < ready_at {
        ends.retain(|end| {
            let is_held = *end > now;
            if !is_held {
                held = held.without(600);
            }
            is_held
        });
        let request = EarlyRequest {
            uptime: now,
            remaining: timeout,
            bytes: 600,
        };
        match decide(&request, held, rng.random()) {
            HoldVerdict::Hold(hold) => {
                assert!(hold <= (timeout / 4).min(ms(1000)), "held for {hold:?}");
                held = held.with(600);
                assert!(held.requests <= MAX_HELD_REQUESTS && held.bytes <= MAX_HELD_BYTES);
                let end = now + hold;
                ends.push(end);
                match end >= ready_at {
                    true => restart.served += 1,
                    false => {
                        let delay = retry_after(end, rng.random());
                        restart.refused.push((end, end + delay));
                    }
                }
            }
            HoldVerdict::Refuse(delay) => restart.refused.push((now, now + delay)),
        }
        now += interval;
    }
    restart
}

/// Every request of the first 0.6 s was refused, and so was its only retry.
#[rstest::rstest]
#[case::usual_start(300, 5000)]
#[case::slow_start(900, 5000)]
#[case::short_timeout(300, 1200)]
fn callers_around_a_restart_are_served(#[case] ready_ms: u64, #[case] timeout_ms: u64) {
    let restart = play(ms(ready_ms), ms(4), ms(timeout_ms));
    assert_eq!(restart.refused, []);
    assert_eq!(restart.served, ready_ms.div_ceil(4) as usize);
}

/// Guards against a hold that keeps callers until their time is over.
#[test]
fn a_caller_that_cannot_be_served_in_time_is_refused_at_once() {
    let request = EarlyRequest {
        uptime: ms(0),
        remaining: ms(400),
        bytes: 600,
    };
    let verdict = decide(&request, HeldLoad::default(), 0.0);
    assert_eq!(verdict, HoldVerdict::Refuse(ms(300)));
    // The store is down: the process is not ready for long, and holds nobody any more.
    let restart = play(ms(10_000), ms(4), ms(5000));
    let late = restart.refused.iter().filter(|(at, _)| *at > ms(2000));
    assert_eq!(late.count(), 1999);
}

/// Guards against refused callers that retry before the process is ready, or all at once.
#[test]
fn callers_beyond_the_bounds_retry_spread_out_after_readiness() {
    let ready_at = ms(300);
    let restart = play(ready_at, time::Duration::from_micros(50), ms(5000));
    assert_eq!(restart.served, MAX_HELD_REQUESTS);
    let retries = || restart.refused.iter().map(|(_, retry_at)| *retry_at);
    assert!(retries().all(|at| at >= ready_at));
    let count = restart.refused.len();
    for slot in 0..40 {
        let window = ms(slot * 25)..ms(slot * 25 + 25);
        let together = retries().filter(|at| window.contains(at)).count();
        assert!(together * 6 < count, "{together} of {count} in {window:?}");
    }
}

/// Guards against large heads that take the memory of the process.
#[test]
fn heads_are_held_up_to_their_bound() {
    let request = EarlyRequest {
        uptime: ms(0),
        remaining: ms(5000),
        bytes: 1001,
    };
    let verdict = |bytes| decide(&request, HeldLoad { requests: 1, bytes }, 0.5);
    assert_eq!(verdict(MAX_HELD_BYTES - 1001), HoldVerdict::Hold(ms(1000)));
    assert_eq!(verdict(MAX_HELD_BYTES - 1000), HoldVerdict::Refuse(ms(450)));
}
