//! Membership: liveness of processes, owners, and ended runs.

use std::{net, time};

use jayhollow::{clock, decisions::liveness, ids, serving::members};

fn record(id: &str, role: members::MemberRole) -> members::MemberRecord {
    members::MemberRecord {
        id: id.parse().expect("a name"),
        role,
        domain: "z".parse().expect("a name"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
    }
}

fn beat(id: &ids::InstanceId, beat: u64) -> liveness::MemberBeat {
    liveness::MemberBeat {
        member: liveness::MemberHash::of(id),
        beat: liveness::BeatNumber(beat),
        state: liveness::BeatState {
            run: 1,
            ..Default::default()
        },
    }
}

#[test]
fn owners_are_live_dispatchers_or_gateways_if_there_are_none() {
    let mut now = clock::MonotonicTime(1);
    let own = record("g0", members::MemberRole::Gateway);
    let mut table = members::MemberTable::default();
    table.upsert(record("d2", members::MemberRole::Dispatcher));
    table.upsert(record("d1", members::MemberRole::Dispatcher));
    let names = |table: &members::MemberTable, now| -> Vec<String> {
        let owners = table.owners(Some(&own), now);
        owners.into_iter().map(|o| o.id.to_string()).collect()
    };
    assert_eq!(names(&table, now), ["g0"], "no heartbeat was received yet");
    for id in ["d1", "d2"] {
        table.record_heartbeat(&id.parse().expect("a name"), Default::default(), now);
    }
    assert_eq!(names(&table, now), ["d1", "d2"]);
    let leaving = members::PeerHeartbeat {
        leaving: true,
        ..Default::default()
    };
    table.record_heartbeat(&"d1".parse().expect("a name"), leaving, now);
    assert_eq!(
        names(&table, now),
        ["d2"],
        "a draining process owns nothing"
    );
    now = now + members::PEER_TIMEOUT;
    assert_eq!(names(&table, now), ["g0"]);
    table.upsert(record("g1", members::MemberRole::Gateway));
    let g1 = "g1".parse().expect("a name");
    table.record_heartbeat(&g1, Default::default(), now);
    assert_eq!(
        names(&table, now),
        ["g0", "g1"],
        "no gateway receives heartbeats of a dispatcher; the order is by name"
    );
    let hears_dispatchers = members::PeerHeartbeat {
        hears_dispatchers: true,
        ..Default::default()
    };
    table.record_heartbeat(&g1, hears_dispatchers, now);
    let d1 = "d1".parse().expect("a name");
    table.record_failure(&d1, now);
    table.record_beats(&g1, [beat(&d1, 1)], now);
    assert_eq!(
        names(&table, now),
        ["d1"],
        "only the path from here is lost; a peer receives its heartbeats"
    );
    assert!(!table.receives_from(&d1, now));
    assert_eq!(table.relays(now).len(), 1);
}

/// The slots of a gateway that was killed and had restarted within a second stayed held
/// for 15 s, because its previous run did not count as ended.
#[test]
fn a_heartbeat_of_a_new_run_ends_the_previous_run() {
    let now = clock::MonotonicTime(1);
    let mut table = members::MemberTable::default();
    table.upsert(record("g1", members::MemberRole::Gateway));
    let id: ids::InstanceId = "g1".parse().expect("a name");
    let heartbeat = |number: &str| members::PeerHeartbeat {
        run: number.parse().expect("a number"),
        ..Default::default()
    };
    let run = |number: &str| ids::InstanceRun {
        instance: id.clone(),
        run: number.parse().expect("a number"),
    };
    let mut receive = |number| table.record_heartbeat(&id, heartbeat(number), now);
    assert_eq!(receive("1"), members::RunChange::First);
    assert_eq!(receive("1"), members::RunChange::Unchanged);
    assert!(!table.has_ended(&run("1"), now));
    assert_eq!(
        table.record_heartbeat(&id, heartbeat("2"), now),
        members::RunChange::Restarted
    );
    assert!(table.has_ended(&run("1"), now));
    assert!(!table.has_ended(&run("2"), now));
    let later = now + 2 * members::PEER_TIMEOUT + time::Duration::from_millis(1);
    assert!(table.has_ended(&run("2"), later), "its process is lost");
}

/// In a large fleet a dispatcher releases what a borrower holds that it does not probe: its
/// beats through others say whether the run still lasts.
#[test]
fn a_run_that_is_known_by_its_beats_alone_ends_with_them() {
    let mut now = clock::MonotonicTime(1);
    let mut table = members::MemberTable::default();
    table.upsert(record("d1", members::MemberRole::Dispatcher));
    let (d1, other): (ids::InstanceId, ids::InstanceId) =
        ("d1".parse().expect("a name"), "d2".parse().expect("a name"));
    let holder = |number: &str| ids::InstanceRun {
        instance: d1.clone(),
        run: number.parse().expect("a number"),
    };
    assert!(!table.receives_from(&d1, now));
    table.record_beats(&other, [beat(&d1, 1)], now);
    assert!(table.receives_from(&d1, now));
    assert!(!table.has_ended(&holder("1"), now));
    assert!(table.has_ended(&holder("2"), now), "it is another run");
    now = now + 2 * members::PEER_TIMEOUT;
    table.record_beats(&other, [beat(&d1, 1)], now);
    assert!(
        !table.receives_from(&d1, now),
        "the same beat again is no life"
    );
    now = now + time::Duration::from_millis(1);
    assert!(table.has_ended(&holder("1"), now));
}

/// A holder that this process does not probe is not lost while it requests slots.
#[test]
fn a_request_shows_that_its_sender_lives_but_not_an_earlier_run() {
    let now = clock::MonotonicTime(1);
    let mut table = members::MemberTable::default();
    table.upsert(record("g1", members::MemberRole::Gateway));
    let holder = |number: &str| ids::InstanceRun {
        instance: "g1".parse().expect("a name"),
        run: number.parse().expect("a number"),
    };
    assert!(table.has_ended(&holder("1"), now));
    table.record_contact(&holder("1"), now);
    assert!(!table.has_ended(&holder("1"), now));
    let heartbeat = members::PeerHeartbeat {
        run: "2".parse().expect("a number"),
        ..Default::default()
    };
    table.record_heartbeat(&holder("2").instance, heartbeat, now);
    table.record_contact(&holder("1"), now);
    assert!(table.has_ended(&holder("1"), now), "its request came late");
}

/// A list of members was counted and hashed anew for each record of it: half a million
/// hashes for a list of a thousand.
#[test]
fn the_digest_kept_up_equals_one_made_anew() {
    let mut table = members::MemberTable::default();
    let name = |n: u32| format!("d{n}");
    for n in 0..40 {
        table.upsert(record(&name(n), members::MemberRole::Dispatcher));
    }
    for n in (0..40).step_by(3) {
        table.remove(&name(n).parse().expect("a name"));
    }
    for n in (0..40).step_by(6) {
        table.upsert(record(&name(n), members::MemberRole::Gateway));
    }
    let own = record("own", members::MemberRole::Gateway);
    let mut anew = members::MemberTable::default();
    anew.merge(table.records().cloned().collect(), clock::MonotonicTime(1));
    assert_eq!(anew.digest(&own), table.digest(&own));
    assert_eq!(anew.len(), table.len());
}

/// A process forgot members that it had read itself while the older records of a peer were on
/// their way.
#[test]
fn records_of_a_peer_undo_no_newer_ones() {
    let now = clock::MonotonicTime(1);
    let mut table = members::MemberTable::default();
    let older = || vec![record("d1", members::MemberRole::Dispatcher)];
    table.upsert(record("d1", members::MemberRole::Dispatcher));
    table.upsert(record("d2", members::MemberRole::Dispatcher));
    table.advance_revision(5);
    assert!(!table.merge_newer(older(), 4, now));
    assert!(!table.merge_newer(older(), 5, now));
    assert_eq!(table.records().count(), 2);
    assert!(table.merge_newer(older(), 6, now));
    assert_eq!((table.records().count(), table.revision()), (1, 6));
}
