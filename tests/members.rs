//! Membership: liveness of processes, owners, and ended runs.

use std::{net, time};

use jayhollow::{clock, ids, serving::members};

fn record(id: &str, role: members::MemberRole) -> members::MemberRecord {
    members::MemberRecord {
        id: id.parse().expect("a name"),
        role,
        domain: "z".parse().expect("a name"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
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
    let receives_from = members::PeerHeartbeat {
        receives_from: vec![members::MemberHash::of(&"d1".parse().expect("a name"))],
        ..Default::default()
    };
    table.record_heartbeat(&g1, receives_from, now);
    assert_eq!(
        names(&table, now),
        ["d1"],
        "only the path from here is lost; a peer receives its heartbeats"
    );
    assert!(!table.receives_from(&"d1".parse().expect("a name"), now));
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
