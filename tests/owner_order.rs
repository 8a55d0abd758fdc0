//! In which order owners are asked, as plain values.

use jayhollow::decisions::owner_order::{random_order, OwnerCapacity};
use rand::{rngs, SeedableRng as _};

fn owner(id: &str, free_slots: u32, is_same_domain: bool) -> OwnerCapacity {
    OwnerCapacity {
        id: id.parse().expect("a name"),
        free_slots,
        is_same_domain,
    }
}

/// How often each owner is asked first.
fn firsts(owners: &[OwnerCapacity], draws: usize) -> Vec<usize> {
    let mut rng = rngs::SmallRng::seed_from_u64(7);
    let mut counts = vec![0; owners.len()];
    for _ in 0..draws {
        let order = random_order(owners.to_vec(), &mut rng);
        assert_eq!(order.len(), owners.len());
        let first = owners.iter().position(|o| o.id == order[0]);
        counts[first.expect("it is one of them")] += 1;
    }
    counts
}

#[test]
fn many_gateways_with_the_same_news_share_the_owners() {
    // One has a little more room: it must not get all requests until the next probe.
    let owners: Vec<_> = (0..10)
        .map(|n| owner(&format!("d{n}"), 30 + n, false))
        .collect();
    let counts = firsts(&owners, 10_000);
    assert!(counts.iter().all(|c| (700..1300).contains(c)), "{counts:?}");
}

#[test]
fn owners_are_asked_in_proportion_to_their_room_and_full_ones_last() {
    let owners = [
        owner("a", 60, false),
        owner("b", 20, false),
        owner("c", 0, true),
    ];
    let counts = firsts(&owners, 10_000);
    assert!((7000..8000).contains(&counts[0]), "{counts:?}");
    assert_eq!(counts[2], 0);
}

#[test]
fn near_owners_are_asked_more_often() {
    let owners = [owner("near", 20, true), owner("far", 20, false)];
    let counts = firsts(&owners, 10_000);
    assert!((7000..8000).contains(&counts[0]), "{counts:?}");
}
