//! Runs of endpoints: restarts under the same name, two names at one address, refusals.

use std::{net, rc, time};

use jayhollow::{
    clock,
    decisions::{endpoint_backoff, endpoint_doubt, retry},
    ids,
    serving::{
        directory::{ChangeTiming, EndpointChange, EndpointDirectory, EndpointEntry},
        peers, permits,
    },
};
use rand::SeedableRng as _;

fn entry(id: &str, port: u16, started: Option<u64>) -> EndpointEntry {
    EndpointEntry {
        id: id.parse().expect("a name"),
        service: service(),
        address: net::SocketAddr::from(([127, 0, 0, 1], port)),
        domain: "z".parse().expect("a name"),
        slots: 4,
        leaving: false,
        started: started.map(ids::StartTime),
        cold_ms: 0,
        software: None,
    }
}

fn service() -> ids::ServiceName {
    "s".parse().expect("a name")
}

fn id(name: &str) -> ids::EndpointId {
    name.parse().expect("a name")
}

fn at(millis: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(millis * 1000)
}

/// Returns the timing of changes that the store delivers at a time.
fn from_store(millis: u64) -> ChangeTiming {
    ChangeTiming {
        now: at(millis),
        remove_at: None,
        apply_earlier_at: Some(at(millis + 2500)),
    }
}

fn names(directory: &EndpointDirectory) -> Vec<String> {
    let listed = directory.of_service(&service()).iter();
    listed
        .map(|e| format!("{}:{}", e.id, e.address.port()))
        .collect()
}

#[rstest::rstest]
#[case::later_start_last(&[("a", Some(5)), ("b", Some(9))], &["b:1"])]
#[case::later_start_first(&[("b", Some(9)), ("a", Some(5))], &["b:1"])]
#[case::starts_unknown(&[("a", None), ("b", None)], &["a:1", "b:1"])]
#[case::one_start_unknown(&[("a", None), ("b", Some(9))], &["a:1", "b:1"])]
fn the_later_start_owns_a_shared_address(
    #[case] listed_entries: &[(&str, Option<u64>)],
    #[case] usable: &[&str],
) {
    let mut directory = EndpointDirectory::default();
    for (name, started) in listed_entries {
        let change = EndpointChange::Listed(entry(name, 1, *started));
        directory.apply(vec![change], from_store(0));
    }
    assert_eq!(names(&directory), usable);
    for (name, _) in listed_entries {
        let is_usable = usable.contains(&format!("{name}:1").as_str());
        assert_eq!(directory.usable(&id(name)).is_some(), is_usable);
    }
}

#[test]
fn the_earlier_start_is_usable_once_the_later_one_is_removed_or_misidentified() {
    let mut directory = EndpointDirectory::default();
    let entries = [entry("a", 1, Some(5)), entry("b", 1, Some(9))];
    let entries = entries.map(EndpointChange::Listed).to_vec();
    directory.apply(entries, from_store(0));
    assert!(directory.record_misidentified(&id("b"), Some(ids::StartTime(9)), at(0)));
    assert_eq!(names(&directory), ["a:1"]);
    assert!(directory.retry_misidentified(at(1000)));
    assert_eq!(names(&directory), ["b:1"]);
    directory.apply(vec![EndpointChange::Removed(id("b"))], from_store(1000));
    assert_eq!(names(&directory), ["a:1"]);
}

#[test]
fn an_entry_of_an_earlier_start_is_applied_only_if_it_persists() {
    let mut directory = EndpointDirectory::default();
    let listed = |entry| vec![EndpointChange::Listed(entry)];
    directory.apply(listed(entry("a", 2, Some(9))), from_store(0));
    // A late write of the previous run, at another address.
    directory.apply(listed(entry("a", 1, Some(5))), from_store(100));
    assert_eq!(names(&directory), ["a:2"]);
    directory.apply(listed(entry("a", 2, Some(9))), from_store(900));
    assert_eq!(directory.apply_earlier(at(9000)), [], "it was overwritten");
    assert_eq!(names(&directory), ["a:2"]);
    // The clock of the endpoint was set back, so the entry persists.
    directory.apply(listed(entry("a", 1, Some(5))), from_store(10_000));
    assert_eq!(directory.apply_earlier(at(12_400)), []);
    assert_eq!(directory.apply_earlier(at(12_500)), [id("a")]);
    assert_eq!(names(&directory), ["a:1"]);
}

#[test]
fn draining_is_accepted_from_an_earlier_start() {
    let mut directory = EndpointDirectory::default();
    let listed = |entry| vec![EndpointChange::Listed(entry)];
    directory.apply(listed(entry("a", 1, Some(9))), from_store(0));
    let leaving = EndpointEntry {
        leaving: true,
        ..entry("a", 1, Some(5))
    };
    directory.apply(listed(leaving), from_store(100));
    assert!(directory.usable(&id("a")).is_none());
}

#[test]
fn only_a_new_start_ends_the_previous_run() {
    let mut directory = EndpointDirectory::default();
    let listed = |entry| vec![EndpointChange::Listed(entry)];
    directory.apply(listed(entry("a", 1, Some(5))), from_store(0));
    let wider = EndpointEntry {
        slots: 9,
        ..entry("a", 1, Some(5))
    };
    directory.apply(listed(wider), from_store(0));
    assert!(directory.take_ended_runs().is_empty());
    directory.apply(listed(entry("a", 2, Some(6))), from_store(0));
    let ended = directory.take_ended_runs();
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].address.port(), 1);
}

#[test]
fn a_misidentified_endpoint_is_usable_after_a_second_or_a_renewed_entry() {
    let mut directory = EndpointDirectory::default();
    let listed = |entry| vec![EndpointChange::Listed(entry)];
    directory.apply(listed(entry("a", 1, Some(5))), from_store(0));
    let earlier = Some(ids::StartTime(4));
    assert!(
        !directory.record_misidentified(&id("a"), earlier, at(0)),
        "the report is of another start"
    );
    assert!(directory.record_misidentified(&id("a"), Some(ids::StartTime(5)), at(0)));
    assert!(names(&directory).is_empty());
    assert!(!directory.retry_misidentified(at(900)));
    assert!(directory.retry_misidentified(at(1000)));
    assert_eq!(names(&directory), ["a:1"]);
    assert!(directory.record_misidentified(&id("a"), Some(ids::StartTime(5)), at(1100)));
    directory.apply(listed(entry("a", 1, Some(5))), from_store(1200));
    assert_eq!(
        names(&directory),
        ["a:1"],
        "the renewed entry shows that it is alive"
    );
}

#[test]
fn backoff_doubles_up_to_a_maximum_and_is_reset() {
    let mut rng = rand::rngs::SmallRng::seed_from_u64(7);
    let mut backoff = endpoint_backoff::EndpointBackoff::new(endpoint_backoff::BackoffRange {
        first: time::Duration::from_secs(1),
        last: time::Duration::from_secs(8),
        spread: 0.0,
    });
    let mut now = 0;
    let mut durations = Vec::new();
    for _ in 0..6 {
        assert!(backoff.record(&id("a"), at(now), &mut rng));
        let start = now;
        while !backoff.expire(at(now)) {
            now += 100;
        }
        durations.push((now - start) / 1000);
    }
    assert_eq!(durations, [1, 2, 4, 8, 8, 8]);
    backoff.expire(at(now + 9000));
    assert!(backoff.record(&id("a"), at(now + 9000), &mut rng));
    assert!(
        backoff.expire(at(now + 10_000)),
        "the backoff starts at its minimum again"
    );
}

fn board(endpoints: &[EndpointEntry]) -> permits::PermitTable {
    let mut board = permits::PermitTable::default();
    let owned: Vec<_> = endpoints.iter().cloned().map(rc::Rc::new).collect();
    board.set_owned(&owned);
    board
}

fn request(number: u64) -> peers::OnlineSlotRequest {
    peers::OnlineSlotRequest {
        number,
        holder: ids::InstanceRun {
            instance: "g".parse().expect("a name"),
            run: ids::RunNumber::default(),
        },
        domain: "z".parse().expect("a name"),
        service: service(),
        tried: Vec::new(),
        software: None,
        may_queue: false,
        wait: time::Duration::ZERO,
        single_attempt: false,
        use_of_suspects: endpoint_doubt::SuspectUse::Probe,
        ticket: None,
    }
}

#[test]
fn an_endpoint_that_refuses_gets_no_requests_until_it_serves_or_its_backoff_ends() {
    let none = std::collections::HashSet::new();
    let mut board = board(&[entry("a", 1, None)]);
    let granted = |board: &mut permits::PermitTable, number, now| {
        board.acquire(&request(number), &none, now).is_some()
    };
    assert!(granted(&mut board, 1, at(0)));
    board.record_refused(&id("a"), at(0));
    assert!(!granted(&mut board, 2, at(1)));
    assert!(board.begin_batch(&service(), &none, at(1)).is_none());
    assert_eq!(
        board.free_online_slots(&service(), at(1)),
        0,
        "other processes get the same count"
    );
    assert!(board.reopen(at(100)));
    assert!(granted(&mut board, 3, at(100)));
    board.record_refused(&id("a"), at(100));
    assert!(!granted(&mut board, 4, at(101)));
    let number = 1;
    board.release_served(number, at(101));
    assert!(granted(&mut board, 5, at(101)), "it has served a request");
}

/// One refusal is enough to identify a wrong entry. Without this limit, a late entry cost
/// as many attempts as its endpoint has slots, each time it was tried.
#[test]
fn unverified_endpoints_get_one_request_at_a_time() {
    let none = std::collections::HashSet::new();
    let mut directory = EndpointDirectory::default();
    let entries = [
        entry("a", 1, None),
        entry("b", 1, None),
        entry("c", 2, None),
    ];
    let entries = entries.map(EndpointChange::Listed).to_vec();
    directory.apply(entries, from_store(0));
    let mut unverified: Vec<_> = directory
        .all_usable()
        .map(|entry| &entry.id)
        .filter(|id| directory.is_unverified(id))
        .map(|id| id.to_string())
        .collect();
    unverified.sort();
    assert_eq!(unverified, ["a", "b"]);
    let mut board = board(&[entry("a", 1, None), entry("b", 1, None)]);
    board.set_unverified(|id| directory.is_unverified(id));
    for number in 0..2 {
        assert!(board.acquire(&request(number), &none, at(0)).is_some());
    }
    assert!(board.acquire(&request(2), &none, at(0)).is_none());
    assert!(board.begin_batch(&service(), &none, at(0)).is_none());
    assert!(directory.record_verified(&id("b")));
    assert!(directory.record_misidentified(&id("a"), None, at(0)));
    board.set_unverified(|id| directory.is_unverified(id));
    assert!(board.acquire(&request(3), &none, at(0)).is_some());
    assert!(directory.retry_misidentified(at(1000)));
    assert!(directory.is_unverified(&id("a")), "it was rejected before");
    assert!(!directory.is_unverified(&id("b")));
}

#[test]
fn a_restarted_endpoint_has_all_its_slots_free() {
    let none = std::collections::HashSet::new();
    let mut board = board(&[entry("a", 1, Some(5))]);
    for number in 0..4 {
        assert!(board.acquire(&request(number), &none, at(0)).is_some());
    }
    assert!(board.acquire(&request(4), &none, at(0)).is_none());
    let again = rc::Rc::new(entry("a", 1, Some(6)));
    assert_eq!(board.set_owned(std::slice::from_ref(&again)), [id("a")]);
    assert!(board.acquire(&request(5), &none, at(0)).is_some());
    // Releases of the previous run add no free slots.
    board.release(0);
    assert_eq!(board.free_online_slots(&service(), at(0)), 3);
}

#[test]
fn backoff_after_refusals_doubles_within_bounds_with_jitter() {
    let mut rng = rand::rngs::SmallRng::seed_from_u64(7);
    let mut refusals = endpoint_backoff::EndpointBackoff::new(endpoint_backoff::BackoffRange {
        first: time::Duration::from_millis(60),
        last: time::Duration::from_millis(960),
        spread: 0.3,
    });
    let mut now = 0;
    let mut longest = 0;
    for _ in 0..8 {
        refusals.record(&id("a"), at(now), &mut rng);
        let start = now;
        while !refusals.expire(at(now)) {
            now += 1;
        }
        longest = longest.max(now - start);
    }
    assert!((900..=1250).contains(&longest), "{longest} ms");
    let range = retry::DelayRange {
        first: time::Duration::from_millis(100),
        last: time::Duration::from_millis(800),
    };
    for (earlier, least, most) in [
        (0, 100, 150),
        (1, 200, 300),
        (3, 800, 1200),
        (90, 800, 1200),
    ] {
        let delay = retry::backoff_delay(earlier, &range, &mut rng).as_millis();
        assert!(
            (least..=most).contains(&delay),
            "{delay} ms after {earlier} failures"
        );
    }
}
