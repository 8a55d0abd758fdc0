//! Order in which owners are tried, tested on single decisions.

use jayhollow::decisions::owner_order::{random_order, OwnerCapacity};
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
