//! Order in which owners are tried, tested on single decisions.

use std::{cmp, collections, time};

use jayhollow::decisions::owner_order::{
    random_order, with_unreported, OwnerCapacity, UnreportedOwner,
};
use rand::{rngs, Rng as _, SeedableRng as _};

fn owner(id: &str, free_slots: u32, is_same_domain: bool) -> OwnerCapacity {
    OwnerCapacity {
        id: id.parse().expect("the name is valid"),
        free_slots,
        slots: 64,
        hold_time: None,
        is_same_domain,
    }
}

/// Returns how often each owner is tried first.
fn count_first_choices(owners: &[OwnerCapacity], rounds: usize) -> Vec<usize> {
    let mut rng = rngs::SmallRng::seed_from_u64(7);
    let mut counts = vec![0; owners.len()];
    for _ in 0..rounds {
        let order = random_order(owners.to_vec(), &mut rng);
        assert_eq!(order.len(), owners.len());
        let first = owners.iter().position(|o| o.id == order[0]);
        counts[first.expect("the first owner is one of the candidates")] += 1;
    }
    counts
}

#[test]
fn gateways_with_the_same_snapshot_share_the_owners() {
    // One has slightly more free slots than the others. It must not get all requests until the
    // next probe.
    let owners: Vec<_> = (0..10)
        .map(|n| owner(&format!("d{n}"), 30 + n, false))
        .collect();
    let counts = count_first_choices(&owners, 10_000);
    assert!(counts.iter().all(|c| (700..1300).contains(c)), "{counts:?}");
}

#[test]
fn owners_are_tried_in_proportion_to_free_slots_and_full_ones_last() {
    let owners = [
        owner("a", 60, false),
        owner("b", 20, false),
        owner("c", 0, true),
    ];
    let counts = count_first_choices(&owners, 10_000);
    assert!((7000..8000).contains(&counts[0]), "{counts:?}");
    assert_eq!(counts[2], 0);
}

#[test]
fn owners_in_the_same_domain_are_tried_more_often() {
    let owners = [owner("same", 20, true), owner("other", 20, false)];
    let counts = count_first_choices(&owners, 10_000);
    assert!((7000..8000).contains(&counts[0]), "{counts:?}");
}

fn unreported(id: &str, awaits_report: bool) -> UnreportedOwner {
    UnreportedOwner {
        id: id.parse().expect("the name is valid"),
        is_same_domain: false,
        awaits_report,
    }
}

/// Guards against a start after which all requests go to the owner that reported first: of
/// two owners, one got all 12 requests in CI.
#[test]
fn an_owner_whose_first_report_is_awaited_gets_its_share() {
    let reported = vec![owner("a", 8, false)];
    let owners = with_unreported(reported, vec![unreported("b", true)]);
    assert_eq!(owners.len(), 2, "{owners:?}");
    let counts = count_first_choices(&owners, 10_000);
    assert!((4700..5300).contains(&counts[1]), "{counts:?}");
}

/// In a large fleet a gateway is linked to a few owners, and asks the others only if these
/// are full.
#[test]
fn an_owner_without_heartbeats_is_tried_only_if_the_others_are_full() {
    let others = || vec![unreported("b", false)];
    let free = vec![owner("a", 1, false)];
    assert_eq!(with_unreported(free.clone(), others()), free);
    let owners = with_unreported(vec![owner("a", 0, false)], others());
    let counts = count_first_choices(&owners, 100);
    assert_eq!(counts, [0, 100]);
}

fn timed(id: &str, free_slots: u32, hold_ms: u64) -> OwnerCapacity {
    OwnerCapacity {
        hold_time: Some(time::Duration::from_millis(hold_ms)),
        ..owner(id, free_slots, false)
    }
}

/// Guards against owners of slow endpoints that get as many requests for each free slot as
/// those of fast ones.
#[test]
fn free_slots_with_a_long_hold_time_count_less() {
    // Their mean is 500 ms, so the weights are 40 / 1.5 and 40 / 0.5.
    let counts = count_first_choices(&[timed("slow", 40, 750), timed("fast", 40, 250)], 10_000);
    assert!((2300..2700).contains(&counts[0]), "{counts:?}");
    let full = [timed("slow", 60, 5000), timed("full", 0, 50)];
    assert_eq!(
        count_first_choices(&full, 100)[1],
        0,
        "a full one goes last"
    );
}

/// Guards against fast owners that are full while others have the last free slots.
#[test]
fn hold_times_do_not_count_where_few_slots_are_free() {
    let counts = count_first_choices(&[timed("slow", 12, 750), timed("fast", 12, 250)], 10_000);
    assert!((4700..5300).contains(&counts[0]), "{counts:?}");
}

/// Guards against a preference by differences that the spread of runs explains, or for
/// owners that have reported no hold time.
#[test]
fn alike_and_unknown_owners_are_weighted_by_count() {
    let unknown = owner("unknown", 30, false);
    let owners = [timed("a", 30, 460), unknown, timed("b", 30, 540)];
    let counts = count_first_choices(&owners, 12_000);
    assert!(
        counts.iter().all(|c| (3700..4300).contains(c)),
        "{counts:?}"
    );
}

/// An owner of the played load: 64 slots that are held for a time that depends on it.
struct PlayedOwner {
    hold_ms: u64,
    ends: collections::BinaryHeap<cmp::Reverse<u64>>,
}

impl PlayedOwner {
    const SLOTS: usize = 64;

    fn free_slots(&mut self, now: u64) -> u32 {
        while self.ends.peek().is_some_and(|end| end.0 <= now) {
            self.ends.pop();
        }
        (Self::SLOTS - self.ends.len()) as u32
    }
}

/// What the requests of the played load got.
#[derive(Debug, Default)]
struct PlayedOutcome {
    requests: u64,
    /// Requests that found the first owner full, and all of three.
    denied: u64,
    refused: u64,
    /// Sum of the times of the runs.
    run_ms: u64,
    /// Highest share of its requests between two reports that an owner denied.
    worst: f64,
}

impl PlayedOutcome {
    fn mean_run(&self) -> f64 {
        self.run_ms as f64 / (self.requests - self.refused) as f64
    }

    fn denied_share(&self) -> f64 {
        self.denied as f64 / self.requests as f64
    }
}

/// Adds up the outcomes of four seeds; `worst` is their mean.
fn play_seeds(load: f64, reports_hold_time: bool) -> PlayedOutcome {
    let outcomes = (11..15).map(|seed| play(seed, load, reports_hold_time));
    outcomes.fold(PlayedOutcome::default(), |sum, next| PlayedOutcome {
        requests: sum.requests + next.requests,
        denied: sum.denied + next.denied,
        refused: sum.refused + next.refused,
        run_ms: sum.run_ms + next.run_ms,
        worst: sum.worst + next.worst / 4.0,
    })
}

/// Plays 30 s of requests of 59 gateways to 11 owners of different speeds. All gateways have
/// the same reports, up to 200 ms old.
fn play(seed: u64, load: f64, reports_hold_time: bool) -> PlayedOutcome {
    // The same requests arrive whatever the owners do.
    let mut arrivals_rng = rngs::SmallRng::seed_from_u64(seed);
    let mut rng = rngs::SmallRng::seed_from_u64(7);
    let mut owners: Vec<_> = [833, 833, 833, 700, 500, 500, 500, 400, 313, 313, 313]
        .map(|hold_ms| PlayedOwner {
            hold_ms,
            ends: collections::BinaryHeap::new(),
        })
        .into();
    let capacity: f64 = owners.iter().map(|o| 64.0 / o.hold_ms as f64).sum();
    let mut outcome = PlayedOutcome::default();
    let mut reports = Vec::new();
    let mut asked = vec![(0_u32, 0_u32); owners.len()];
    for now in 0..30_000 {
        if now % 200 == 0 {
            let shares = asked.iter().filter(|(asked, _)| *asked >= 20);
            let shares = shares.map(|(asked, denied)| f64::from(*denied) / f64::from(*asked));
            outcome.worst = shares.fold(outcome.worst, f64::max);
            asked.fill((0, 0));
            let known = owners.iter_mut().enumerate().map(|(index, played)| {
                let free_slots = played.free_slots(now);
                match reports_hold_time {
                    true => timed(&index.to_string(), free_slots, played.hold_ms),
                    false => owner(&index.to_string(), free_slots, false),
                }
            });
            reports = known.collect();
        }
        let arrivals =
            (0..59).filter(|_| arrivals_rng.random_bool((capacity * load / 59.0).min(1.0)));
        let arrivals = arrivals.count();
        for _ in 0..arrivals {
            outcome.requests += 1;
            let order = random_order(reports.clone(), &mut rng);
            let mut tried = order.iter().take(3).enumerate().map(|(place, id)| {
                let index: usize = id.as_str().parse().expect("a number");
                (place, index)
            });
            let granted = tried.find(|(place, index)| {
                let is_full = owners[*index].free_slots(now) == 0;
                if *place == 0 {
                    outcome.denied += u64::from(is_full);
                    asked[*index].0 += 1;
                    asked[*index].1 += u32::from(is_full);
                }
                !is_full
            });
            let Some((_, index)) = granted else {
                outcome.refused += 1;
                continue;
            };
            let run_ms = owners[index].hold_ms * rng.random_range(50..150) / 100;
            outcome.run_ms += run_ms;
            owners[index].ends.push(cmp::Reverse(now + run_ms));
        }
    }
    outcome
}

/// Guards against gateways that all ask the fast owners because they know the same, and
/// against hold times that make no request faster.
#[test]
fn fifty_nine_gateways_that_know_the_same_do_not_herd() {
    for load in [0.5, 0.7, 0.9] {
        let [without, with] = [false, true].map(|reports| play_seeds(load, reports));
        println!("load {load}\n  without {without:?}\n  with    {with:?}");
        assert!(
            with.mean_run() < without.mean_run(),
            "load {load}: {with:?}"
        );
        let most_denied = without.denied_share() + 0.005;
        assert!(with.denied_share() <= most_denied, "load {load}: {with:?}");
        let most_refused = without.refused + without.refused / 50;
        assert!(with.refused <= most_refused, "load {load}: {with:?}");
        assert!(with.worst <= without.worst + 0.1, "load {load}: {with:?}");
    }
}
