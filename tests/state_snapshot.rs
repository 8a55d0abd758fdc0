//! Unit tests of the transfer of the desired state: parts that are lost, reordered or
//! damaged, or of different snapshots.

use std::time;

use jayhollow::serving::{
    route_table,
    state_snapshot::{
        IncomingSnapshot, PartOutcome, SnapshotCache, StatePart, StatePartRequest, PART_BYTES,
    },
};

fn route(number: usize) -> route_table::Route {
    let random =
        |offset: usize| (number * 3 + offset + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
    route_table::Route {
        name: format!("r-{:x}", random(0)),
        host: format!("h{:x}.example", random(1)),
        prefix: format!("/p{:x}/", random(2)),
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

/// Adds parts until the state is complete; returns it and the number of parts.
fn transfer(
    incoming: &mut IncomingSnapshot,
    mut serve: impl FnMut(StatePartRequest) -> StatePart,
) -> (route_table::DesiredState, usize) {
    for count in 1..1000 {
        match incoming.add(serve(incoming.next_request())) {
            PartOutcome::Added => {}
            PartOutcome::Complete(state) => return (state, count),
            other => panic!("part {count}: {other:?}"),
        }
    }
    panic!("the transfer does not complete");
}

#[rstest::rstest]
#[case::small(3, 1)]
#[case::large(4000, 30)]
fn a_state_is_transferred_in_few_parts(#[case] routes: usize, #[case] max_parts: usize) {
    let (cache, newest) = (SnapshotCache::default(), state(7, routes));
    let serve = |request| {
        cache
            .part(request, &newest)
            .expect("the state can be encoded")
    };
    let (received, parts) = transfer(&mut IncomingSnapshot::default(), serve);
    assert_eq!(received.version, newest.version);
    assert_eq!(received.routes.len(), routes);
    assert_eq!(format!("{received:?}"), format!("{newest:?}"));
    assert!(parts <= max_parts, "{parts} parts of {PART_BYTES} bytes");
}

#[test]
fn a_transfer_completes_with_its_first_snapshot() {
    let cache = SnapshotCache::default();
    let mut incoming = IncomingSnapshot::default();
    let mut version = 7;
    let serve = |request| {
        version += 1;
        cache
            .part(request, &state(version, 2000))
            .expect("the state can be encoded")
    };
    let (received, parts) = transfer(&mut incoming, serve);
    assert!(parts > 5);
    assert_eq!(received.version.0, 8, "newer versions do not interrupt it");
}

#[test]
fn a_transfer_continues_with_another_peer() {
    let caches = [SnapshotCache::default(), SnapshotCache::default()];
    let newest = state(7, 2000);
    let expected = transfer(&mut IncomingSnapshot::default(), |request| {
        caches[0]
            .part(request, &newest)
            .expect("the state can be encoded")
    });
    // The second peer encodes the snapshot itself on its first request.
    caches[1]
        .part(StatePartRequest::First, &newest)
        .expect("the state can be encoded");
    let mut turn = 0;
    let (received, parts) = transfer(&mut IncomingSnapshot::default(), |request| {
        turn += 1;
        let cache = &caches[turn % 2];
        cache
            .part(request, &newest)
            .expect("the state can be encoded")
    });
    assert_eq!(received.version, newest.version);
    assert_eq!(parts, expected.1, "no part is sent twice");
}

#[test]
fn parts_of_another_snapshot_or_offset_are_not_added() {
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
    for mismatched in [first.clone(), other, at_third_offset(&second)] {
        assert!(matches!(
            incoming.add(mismatched),
            PartOutcome::Mismatched(_)
        ));
    }
    let request = StatePartRequest::Next(first.copy, PART_BYTES);
    assert_eq!(
        incoming.next_request(),
        request,
        "it continues at the same offset"
    );
    let (received, _) = transfer(&mut incoming, |request| {
        cache.part(request, &newest).expect("a part")
    });
    assert_eq!(received.version.0, 7);
}

/// Returns the part with a later offset.
fn at_third_offset(second: &StatePart) -> StatePart {
    StatePart {
        offset: 2 * PART_BYTES,
        ..second.clone()
    }
}

#[test]
fn a_damaged_state_is_rejected_and_the_next_one_accepted() {
    let cache = SnapshotCache::default();
    let newest = state(7, 3);
    let part = cache
        .part(StatePartRequest::First, &newest)
        .expect("a part");
    // Some of these still decompress to a state, but to a different one.
    let damaged = (0..part.bytes.len()).map(|index| {
        let mut damaged = part.clone();
        damaged.bytes[index] ^= 1;
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
