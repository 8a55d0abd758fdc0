//! Order in which owners are tried, tested on single decisions.

use jayhollow::decisions::owner_order::{
    random_order, with_unreported, OwnerCapacity, UnreportedOwner,
};
use rand::{rngs, SeedableRng as _};

fn owner(id: &str, free_slots: u32, is_same_domain: bool) -> OwnerCapacity {
    OwnerCapacity {
        id: id.parse().expect("the name is valid"),
        free_slots,
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
