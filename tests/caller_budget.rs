//! Budgets of a gateway for its callers, played with loads of large bodies and slow readers.

use std::collections;

use jayhollow::{
    decisions::caller_budget::{self, BudgetDenial, BudgetHolder, CallerBudget},
    ids,
};
use rand::{rngs, Rng as _, SeedableRng as _};
use rstest::rstest;

fn workspace(name: &str) -> BudgetHolder {
    Some(name.parse::<ids::WorkspaceId>().expect("the name is valid"))
}

#[rstest]
#[case::not_limited(None, 2000)]
#[case::large(Some(1_000_000), 2000)]
#[case::descriptors_4100(Some(4_100), 2000)]
#[case::descriptors_3075(Some(3_075), 1537)]
#[case::one(Some(1), 1)]
fn connections_take_at_most_half_of_the_descriptors(
    #[case] descriptors: Option<u64>,
    #[case] connections: usize,
) {
    assert_eq!(
        caller_budget::max_connections(descriptors, None),
        connections
    );
}

#[test]
fn without_a_limit_everything_is_admitted() {
    let mut budget = CallerBudget::new(None);
    budget.hold(&None, 1 << 40);
    assert_eq!(budget.admit(&None, 1 << 40), Ok(()));
}

/// Guards against more connections than fit into the memory, and against fewer than the pages
/// allow on an instance of the size that they name.
#[rstest::rstest]
#[case::small(4_000_000, 31)]
#[case::edge(260_000_000, 2_000)]
fn connections_fit_into_the_memory(#[case] memory_bytes: usize, #[case] connections: usize) {
    let found = caller_budget::max_connections(Some(4_200), Some(memory_bytes));
    assert_eq!(found, connections);
    let limits = caller_budget::MemoryLimits::of_instance(memory_bytes);
    let taken = connections * caller_budget::CONNECTION_BYTES;
    assert!(taken + limits.admitted <= limits.total);
    let buffers = caller_budget::socket_buffer_bytes(memory_bytes, connections);
    assert!(buffers <= memory_bytes / 8 / connections || buffers == 8 << 10);
}

/// Guards against a limit that a single workspace, or none, does not reach.
#[test]
fn a_single_workspace_is_served_up_to_the_whole_budget() {
    let mut budget = CallerBudget::new(Some(1_000));
    budget.hold(&None, 900);
    assert_eq!(budget.admit(&None, 100), Ok(()));
    let denial = budget.admit(&None, 101).expect_err("it does not fit");
    assert!(!denial.is_over_share);
    budget.hold(&None, 200);
    let denial: BudgetDenial = budget.admit(&None, 0).expect_err("the budget is exceeded");
    assert_eq!((denial.total, denial.limit), (1_100, 1_000));
    budget.release(&None, 200);
    assert_eq!(budget.admit(&None, 100), Ok(()));
}

/// Request of a played load.
struct PlayedRequest {
    holder: usize,
    bytes: usize,
    /// Response bytes that the caller reads only later.
    response_bytes: usize,
    body_until: u64,
    response_until: u64,
}

/// Result of a played load for a workspace.
#[derive(Debug, Default, Clone, Copy)]
struct PlayedShare {
    asked: usize,
    served: usize,
}

const STEP_MS: u64 = 10;
const LIMIT: usize = 30_000_000;

/// Plays 60 s of requests of the workspaces: the first one sends `busy` bodies of 1 MB per
/// second, each other one 5 of 100 kB. Every request is held for 1 s, and its response of a
/// tenth is read in `read_ms` more. Returns what each workspace got, and the largest number
/// of bytes held.
fn play(workspaces: usize, busy: f64, read_ms: u64) -> (Vec<PlayedShare>, usize) {
    let mut rng = rngs::SmallRng::seed_from_u64(7);
    let holders: Vec<_> = (0..workspaces)
        .map(|n| workspace(&format!("w{n}")))
        .collect();
    let mut budget = CallerBudget::new(Some(LIMIT));
    let mut shares = vec![PlayedShare::default(); workspaces];
    let mut active: Vec<PlayedRequest> = Vec::new();
    let mut max_held = 0;
    for now in (0..60_000).step_by(STEP_MS as usize) {
        for request in &mut active {
            let holder = &holders[request.holder];
            if request.bytes > 0 && request.body_until <= now {
                budget.hold(holder, request.response_bytes);
                budget.release(holder, std::mem::take(&mut request.bytes));
            }
            if request.response_until <= now {
                budget.release(holder, request.response_bytes);
            }
        }
        active.retain(|request| request.response_until > now);
        let mut order: Vec<usize> = (0..workspaces).collect();
        order.rotate_left(rng.random_range(0..workspaces));
        for holder in order {
            let (rate, bytes) = if holder == 0 {
                (busy, 1_000_000)
            } else {
                (5.0, 100_000)
            };
            let expected = rate * STEP_MS as f64 / 1000.0;
            let count = expected as usize + usize::from(rng.random_bool(expected.fract()));
            for _ in 0..count {
                shares[holder].asked += 1;
                if budget.admit(&holders[holder], bytes).is_err() {
                    continue;
                }
                shares[holder].served += 1;
                budget.hold(&holders[holder], bytes);
                active.push(PlayedRequest {
                    holder,
                    bytes,
                    response_bytes: bytes / 10,
                    body_until: now + 1_000,
                    response_until: now + 1_000 + read_ms,
                });
            }
        }
        max_held = max_held.max(budget.total());
    }
    (shares, max_held)
}

fn ratio(shares: &[PlayedShare]) -> f64 {
    let asked: usize = shares.iter().map(|share| share.asked).sum();
    let served: usize = shares.iter().map(|share| share.served).sum();
    served as f64 / asked as f64
}

/// Guards against a workspace whose large bodies or slow readers take the memory of all, and
/// against requests that are refused although there is memory.
#[rstest]
#[case::below_the_budget(8.0, 100)]
#[case::large_bodies(100.0, 100)]
#[case::slow_readers(60.0, 5_000)]
fn a_busy_workspace_does_not_take_the_memory_of_the_others(
    #[case] busy: f64,
    #[case] read_ms: u64,
) {
    let (shares, max_held) = play(8, busy, read_ms);
    let (first, others) = (ratio(&shares[..1]), ratio(&shares[1..]));
    println!(
        "busy {busy}/s, read in {read_ms} ms: busy {first:.3}, others {others:.3}, {max_held}"
    );
    assert!(others > 0.99, "{others}");
    // Responses are held beside the last bytes of their bodies, which may exceed the limit.
    assert!(max_held <= LIMIT + 1_000_000, "{max_held}");
    if busy < 20.0 {
        assert!(first > 0.999, "{first}: there was memory");
    } else {
        assert!(first > 0.1, "{first}: the busy workspace gets the rest");
    }
}

/// Guards against bytes that are lost or counted twice.
#[test]
fn all_bytes_are_free_after_they_were_released() {
    let mut rng = rngs::SmallRng::seed_from_u64(3);
    let mut budget = CallerBudget::new(Some(1_000));
    let mut held = collections::HashMap::<usize, Vec<usize>>::new();
    for _ in 0..10_000 {
        let number = rng.random_range(0..5);
        let holder = workspace(&format!("w{number}"));
        match rng.random_bool(0.5) {
            true => {
                let bytes = rng.random_range(0..300);
                if budget.admit(&holder, bytes).is_ok() {
                    budget.hold(&holder, bytes);
                    held.entry(number).or_default().push(bytes);
                }
            }
            false => {
                if let Some(bytes) = held.get_mut(&number).and_then(Vec::pop) {
                    budget.release(&holder, bytes);
                }
            }
        }
        let sum: usize = held.values().flatten().sum();
        assert_eq!(budget.total(), sum);
        assert!(sum <= 1_000);
    }
}
