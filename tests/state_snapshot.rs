//! Parts of the desired state as plain values: lost, crossed, damaged, of several copies.

use std::time;

use jayhollow::serving::{
    route_table,
    state_snapshot::{
        IncomingSnapshot, PartOutcome, SnapshotCache, StatePart, StatePartRequest, PART_BYTES,
    },
};

fn route(number: usize) -> route_table::Route {
    let word = |salt: usize| (number * 3 + salt + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
    route_table::Route {
        name: format!("r-{:x}", word(0)),
        host: format!("h{:x}.example", word(1)),
        prefix: format!("/p{:x}/", word(2)),
        kind: route_table::RouteKind::ResumableStream,
        timeout: time::Duration::from_secs(3),
        objective: time::Duration::from_millis(300),
        gap_objective: Some(time::Duration::from_millis(300)),
        priority: 0,
        targets: vec![route_table::RouteTarget {
            service: "engines".parse().expect("a name"),
            weight: 100,
        }],
        max_attempts: 3,
        completion_objective: time::Duration::from_secs(60),
        retention: time::Duration::from_secs(3600),
        is_public: false,
    }
}

fn state(version: u64, routes: usize) -> route_table::DesiredState {
    route_table::DesiredState {
        version: route_table::StateVersion(version),
        routes: (0..routes).map(route).collect(),
        ..Default::default()
    }
}

fn version(outcome: &PartOutcome) -> Option<u64> {
    match outcome {
        PartOutcome::Complete(state) => Some(state.version.0),
        _ => None,
    }
}

/// Adds parts until the state is whole; gives its version and the parts it took.
fn transfer(
    incoming: &mut IncomingSnapshot,
    mut tell: impl FnMut(StatePartRequest) -> StatePart,
) -> (route_table::DesiredState, usize) {
    for count in 1..1000 {
        match incoming.add(tell(incoming.next_request())) {
            PartOutcome::Added => {}
            PartOutcome::Complete(state) => return (state, count),
            other => panic!("part {count}: {other:?}"),
        }
    }
    panic!("the transfer does not end");
}

#[rstest::rstest]
#[case::small(3, 1)]
#[case::large(4000, 30)]
fn a_state_arrives_whole_in_few_parts(#[case] routes: usize, #[case] most: usize) {
    let (cache, newest) = (SnapshotCache::default(), state(7, routes));
    let tell = |request| cache.part(request, &newest).expect("it can be encoded");
    let (arrived, parts) = transfer(&mut IncomingSnapshot::default(), tell);
    assert_eq!(arrived.version, newest.version);
    assert_eq!(arrived.routes.len(), routes);
    assert_eq!(format!("{arrived:?}"), format!("{newest:?}"));
    assert!(parts <= most, "{parts} parts of {PART_BYTES} bytes");
}

#[test]
fn a_transfer_ends_with_the_copy_that_it_began_with() {
    let cache = SnapshotCache::default();
    let mut incoming = IncomingSnapshot::default();
    let mut number = 7;
    let tell = |request| {
        number += 1;
        cache
            .part(request, &state(number, 2000))
            .expect("it can be encoded")
    };
    let (arrived, parts) = transfer(&mut incoming, tell);
    assert!(parts > 5);
    assert_eq!(
        arrived.version.0, 8,
        "versions that come meanwhile do not end it"
    );
}

#[test]
fn a_transfer_goes_on_at_another_peer() {
    let caches = [SnapshotCache::default(), SnapshotCache::default()];
    let newest = state(7, 2000);
    let whole = transfer(&mut IncomingSnapshot::default(), |request| {
        caches[0].part(request, &newest).expect("it can be encoded")
    });
    // The second peer encodes the copy itself, when it is first asked.
    caches[1]
        .part(StatePartRequest::First, &newest)
        .expect("it can be encoded");
    let mut turn = 0;
    let (arrived, parts) = transfer(&mut IncomingSnapshot::default(), |request| {
        turn += 1;
        let cache = &caches[turn % 2];
        cache.part(request, &newest).expect("it can be encoded")
    });
    assert_eq!(arrived.version, newest.version);
    assert_eq!(parts, whole.1, "no part is told twice");
}

#[test]
fn parts_of_another_copy_or_place_add_nothing() {
    let cache = SnapshotCache::default();
    let newest = state(7, 2000);
    let first = cache
        .part(StatePartRequest::First, &newest)
        .expect("a part");
    let second = cache
        .part(StatePartRequest::Next(first.copy, PART_BYTES), &newest)
        .expect("a part");
    let other = cache.part(StatePartRequest::First, &state(8, 2000));
    let other = other.expect("a part");
    let mut incoming = IncomingSnapshot::default();
    assert!(matches!(incoming.add(first.clone()), PartOutcome::Added));
    for unfit in [first.clone(), other, third_of(&second)] {
        assert!(matches!(incoming.add(unfit), PartOutcome::Mismatched(_)));
    }
    let request = StatePartRequest::Next(first.copy, PART_BYTES);
    assert_eq!(incoming.next_request(), request, "it goes on where it was");
    let (arrived, _) = transfer(&mut incoming, |request| {
        cache.part(request, &newest).expect("a part")
    });
    assert_eq!(arrived.version.0, 7);
}

/// The same bytes as of a later place.
fn third_of(second: &StatePart) -> StatePart {
    StatePart {
        offset: 2 * PART_BYTES,
        ..second.clone()
    }
}

#[test]
fn a_damaged_state_is_refused_and_the_next_one_taken() {
    let cache = SnapshotCache::default();
    let newest = state(7, 3);
    let part = cache
        .part(StatePartRequest::First, &newest)
        .expect("a part");
    // Some of these still inflate to a state, but to another one.
    let damaged = (0..part.bytes.len()).map(|slot| {
        let mut damaged = part.clone();
        damaged.bytes[slot] ^= 1;
        damaged
    });
    let mut huge = part.clone();
    huge.copy.total = usize::MAX;
    let mut incoming = IncomingSnapshot::default();
    for bad in damaged.chain([huge]) {
        assert!(matches!(incoming.add(bad), PartOutcome::Invalid(_)));
        assert_eq!(incoming.next_request(), StatePartRequest::First);
    }
    assert_eq!(version(&incoming.add(part)), Some(7));
}
