//! Which processes answer, who owns what, and which of their runs have ended.

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
fn owners_are_the_live_dispatchers_or_else_the_gateways() {
    let mut now = clock::MonotonicTime(1);
    let own = record("g0", members::MemberRole::Gateway);
    let mut table = members::MemberTable::default();
    table.upsert(record("d2", members::MemberRole::Dispatcher));
    table.upsert(record("d1", members::MemberRole::Dispatcher));
    let names = |table: &members::MemberTable, now| -> Vec<String> {
        let owners = table.owners(Some(&own), now);
        owners.into_iter().map(|o| o.id.to_string()).collect()
    };
    assert_eq!(names(&table, now), ["g0"], "nobody was heard yet");
    for id in ["d1", "d2"] {
        table.record_heartbeat(&id.parse().expect("a name"), Default::default(), now);
    }
    assert_eq!(names(&table, now), ["d1", "d2"]);
    let leaving = members::PeerHeartbeat {
        leaving: true,
        ..Default::default()
    };
    table.record_heartbeat(&"d1".parse().expect("a name"), leaving, now);
    assert_eq!(names(&table, now), ["d2"], "one that leaves owns nothing");
    now = now + members::PEER_TIMEOUT;
    assert_eq!(names(&table, now), ["g0"]);
    table.upsert(record("g1", members::MemberRole::Gateway));
    let g1 = "g1".parse().expect("a name");
    table.record_heartbeat(&g1, Default::default(), now);
    assert_eq!(
        names(&table, now),
        ["g0", "g1"],
        "no gateway hears a dispatcher; all name the same one first"
    );
    let receives_from = members::PeerHeartbeat {
        receives_from: vec![members::MemberHash::of(&"d1".parse().expect("a name"))],
        ..Default::default()
    };
    table.record_heartbeat(&g1, receives_from, now);
    assert_eq!(
        names(&table, now),
        ["d1"],
        "the path to it is cut, others hear it"
    );
    assert!(!table.receives_from(&"d1".parse().expect("a name"), now));
    assert_eq!(table.relays(now).len(), 1);
}

/// A gateway that was killed and was back within a second left its places held for 15 s.
#[test]
fn a_process_that_is_heard_in_another_run_has_ended_its_first() {
    let now = clock::MonotonicTime(1);
    let mut table = members::MemberTable::default();
    table.upsert(record("g1", members::MemberRole::Gateway));
    let id: ids::InstanceId = "g1".parse().expect("a name");
    let heard = |number: &str| members::PeerHeartbeat {
        run: number.parse().expect("a number"),
        ..Default::default()
    };
    let of = |number: &str| ids::InstanceRun {
        instance: id.clone(),
        run: number.parse().expect("a number"),
    };
    let mut hear = |number| table.record_heartbeat(&id, heard(number), now);
    assert_eq!(hear("1"), members::RunChange::First);
    assert_eq!(hear("1"), members::RunChange::Unchanged);
    assert!(!table.has_ended(&of("1"), now));
    assert_eq!(
        table.record_heartbeat(&id, heard("2"), now),
        members::RunChange::Restarted
    );
    assert!(table.has_ended(&of("1"), now));
    assert!(!table.has_ended(&of("2"), now));
    let later = now + 2 * members::PEER_TIMEOUT + time::Duration::from_millis(1);
    assert!(table.has_ended(&of("2"), later), "it is lost");
}
