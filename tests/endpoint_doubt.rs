//! Requests that allow only one attempt while endpoints go dark or reset connections.
//!
//! A load is played against the slot tables of several owners, without a network: holders
//! report failures when they observe them, and the checks count what callers lose.

use std::{collections, net, rc, time};

use jayhollow::{
    clock,
    decisions::endpoint_doubt::{self, FailureEvidence, SuspectUse},
    ids,
    serving::{directory, peers, permits, selection, slot_requests::SlotReply, slots},
};
use rand::{rngs::StdRng, seq::SliceRandom as _, Rng as _, SeedableRng as _};

/// A failure that lost its request.
const BROKEN: FailureEvidence = FailureEvidence::Broken;

fn id(name: &str) -> ids::EndpointId {
    name.parse().expect("a name")
}

fn at_ms(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

fn entry(name: &str, started: Option<u64>) -> rc::Rc<directory::EndpointEntry> {
    rc::Rc::new(directory::EndpointEntry {
        id: id(name),
        service: "s".parse().expect("a name"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: "z".parse().expect("a name"),
        slots: 8,
        leaving: false,
        started: started.map(ids::StartTime),
        cold_ms: 0,
        software: None,
    })
}

fn slot_request(number: u64, single_attempt: bool) -> peers::OnlineSlotRequest {
    peers::OnlineSlotRequest {
        number,
        holder: ids::InstanceRun {
            instance: "g".parse().expect("a name"),
            run: ids::RunNumber::default(),
        },
        domain: "z".parse().expect("a name"),
        service: "s".parse().expect("a name"),
        tried: Vec::new(),
        software: None,
        may_queue: false,
        wait: time::Duration::ZERO,
        single_attempt,
        use_of_suspects: match single_attempt {
            true => SuspectUse::Avoid,
            false => SuspectUse::Probe,
        },
        ticket: None,
    }
}

/// How endpoints fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultKind {
    /// They reset each connection after 2 ms.
    Resets,
    /// They accept requests and never respond.
    GoesDark,
}

/// Time from the request to the response of a healthy endpoint, in ms.
const HOLD_MS: u64 = 150;
/// Time from an observation to its arrival at the owner, in ms.
const DELAY_MS: u64 = 2;
/// Time after which a holder reports a missing response: 0.8 of an objective of 300 ms.
const OVERDUE_MS: u64 = 240;
/// Number of owners.
const OWNERS: usize = 4;
/// Endpoints that fail at `FAULT_AT_MS`: six of the eight of the first owner, and some of
/// the others; a third in all.
const FAILING: [&[usize]; OWNERS] = [&[0, 1, 2, 3, 4, 5], &[0, 1], &[0, 1], &[0]];
const ENDPOINTS_PER_OWNER: usize = 8;
const FAULT_AT_MS: u64 = 1000;
const END_MS: u64 = 4000;
/// Requests per second: they take 60 of the 168 slots that work.
const LOAD: u64 = 400;
/// Requests per second that take a quarter more slots than work.
const OVERLOAD: u64 = 1400;

/// A message to an owner.
enum OwnerMessage {
    Failed(ids::EndpointId),
    Served(ids::EndpointId, u64),
    Released(u64),
}

/// What callers got.
#[derive(Debug, Default)]
struct LoadResult {
    /// Single-attempt requests lost at failing endpoints, by endpoint.
    lost: collections::HashMap<ids::EndpointId, usize>,
    /// Requests of any kind that were under way when their endpoint failed.
    interrupted: usize,
    /// Repeatable requests that had to run elsewhere.
    repeated: usize,
    refused: usize,
    served: usize,
}

/// Requests a slot as a gateway does: from each owner in turn, and if none grants one, from
/// those that withhold their suspect endpoints.
fn acquire(
    owners: &mut [permits::PermitTable],
    order: &[usize],
    request: &peers::OnlineSlotRequest,
    now: clock::MonotonicTime,
) -> Option<(usize, ids::EndpointId)> {
    let none = collections::HashSet::new();
    let mut replies = Vec::new();
    for owner in order {
        let table = &mut owners[*owner];
        if let Some(slot) = table.acquire(request, &none, now) {
            return Some((*owner, slot.endpoint));
        }
        let has_trusted = !table.are_all_suspect(request, &none, now);
        replies.push(match table.has_only_suspect(request, &none, now) {
            true => SlotReply::OnlySuspect(has_trusted.then_some(0)),
            false => SlotReply::Full(0),
        });
    }
    let uses = [SuspectUse::Slow, slots::use_after_denials(&replies)];
    uses.into_iter().find_map(|use_of_suspects| {
        let request = peers::OnlineSlotRequest {
            use_of_suspects,
            ..request.clone()
        };
        order.iter().zip(&replies).find_map(|(owner, reply)| {
            let is_withheld = matches!(reply, SlotReply::OnlySuspect(_));
            let table = is_withheld.then(|| &mut owners[*owner])?;
            let slot = table.acquire(&request, &none, now)?;
            Some((*owner, slot.endpoint))
        })
    })
}

/// Plays a load in which a third of the endpoints fail and 30 % of the requests are
/// repeatable.
fn play(fault: FaultKind, requests_per_second: u64, seed: u64) -> LoadResult {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut owners: Vec<permits::PermitTable> = Vec::new();
    let mut failing = collections::HashSet::new();
    for (owner, failing_here) in FAILING.iter().enumerate() {
        let name = |n: usize| format!("e{owner}-{n}");
        failing.extend(failing_here.iter().map(|n| id(&name(*n))));
        let endpoints: Vec<_> = (0..ENDPOINTS_PER_OWNER)
            .map(|n| entry(&name(n), None))
            .collect();
        let mut table = permits::PermitTable::default();
        table.set_owned(&endpoints);
        owners.push(table);
    }
    let evidence = match fault {
        FaultKind::Resets => BROKEN,
        FaultKind::GoesDark => FailureEvidence::Silent,
    };
    let mut messages = collections::BTreeMap::<u64, Vec<(usize, OwnerMessage)>>::new();
    let mut result = LoadResult::default();
    let mut number = 0;
    for ms in 0..END_MS {
        let now = at_ms(ms);
        for (owner, message) in messages.remove(&ms).unwrap_or_default() {
            let table = &mut owners[owner];
            match message {
                OwnerMessage::Failed(endpoint) => {
                    table.record_failure(&endpoint, evidence, now);
                }
                OwnerMessage::Served(endpoint, number) => {
                    table.release_served(number, now);
                    table.record_life(&endpoint, now);
                }
                OwnerMessage::Released(number) => {
                    table.release(number);
                }
            }
        }
        let mut arriving = requests_per_second / 1000;
        arriving += u64::from(rng.random_range(0..1000) < requests_per_second % 1000);
        for _ in 0..arriving {
            let is_single = rng.random_bool(0.7);
            let mut order: Vec<usize> = (0..OWNERS).collect();
            order.shuffle(&mut rng);
            number += 1;
            let request = slot_request(number, is_single);
            let granted = acquire(&mut owners, &order, &request, now);
            let Some((owner, endpoint)) = granted else {
                result.refused += 1;
                continue;
            };
            let mut send = |at, message| messages.entry(at).or_default().push((owner, message));
            if ms + HOLD_MS < FAULT_AT_MS || !failing.contains(&endpoint) {
                result.served += 1;
                let served_at = ms + HOLD_MS + DELAY_MS;
                send(served_at, OwnerMessage::Served(endpoint, number));
                continue;
            }
            match is_single {
                _ if ms < FAULT_AT_MS => result.interrupted += 1,
                true => *result.lost.entry(endpoint.clone()).or_default() += 1,
                false => result.repeated += 1,
            }
            let (observed, ended) = match (fault, is_single) {
                (FaultKind::Resets, _) => {
                    let reset_at = ms.max(FAULT_AT_MS) + 2;
                    (reset_at - ms, reset_at - ms)
                }
                // A repeatable request is handed off, the other one waits for its deadline.
                (FaultKind::GoesDark, false) => (OVERDUE_MS, OVERDUE_MS + 5),
                (FaultKind::GoesDark, true) => (OVERDUE_MS, 5000),
            };
            send(ms + observed + DELAY_MS, OwnerMessage::Failed(endpoint));
            send(ms + ended + DELAY_MS, OwnerMessage::Released(number));
        }
    }
    result
}

/// Guards against 40 requests that are sent in 0.4 s to an endpoint that resets each of them
/// at once, as its slot is free again within 2 ms.
#[test]
fn a_resetting_endpoint_costs_one_single_attempt_request() {
    for seed in 0..20 {
        let result = play(FaultKind::Resets, LOAD, seed);
        let failing: usize = FAILING.iter().map(|failing| failing.len()).sum();
        let lost: usize = result.lost.values().sum();
        assert!(
            lost <= failing,
            "seed {seed}: {lost} lost at {failing} endpoints: {result:?}"
        );
        // Repeatable requests find the failure as well, so that some endpoints cost nothing.
        assert_eq!(result.refused, 0, "seed {seed}: others have free slots");
        let per_second = (END_MS - FAULT_AT_MS) as usize / 1000;
        assert!(
            result.repeated <= failing * 10 * per_second,
            "seed {seed}: one probe in 100 ms at each endpoint: {result:?}"
        );
        assert!(result.served > 1000);
    }
}

/// Guards against endpoints that reset connections and get all requests beyond the capacity
/// of the others, as they are always free.
#[test]
fn an_overload_does_not_go_to_resetting_endpoints() {
    for seed in 0..5 {
        let result = play(FaultKind::Resets, OVERLOAD, seed);
        let failing: usize = FAILING.iter().map(|failing| failing.len()).sum();
        let lost: usize = result.lost.values().sum();
        assert!(lost <= failing, "seed {seed}: {lost} lost");
        assert!(result.refused > lost, "seed {seed}: the others are refused");
    }
}

/// A dark endpoint costs the requests that it got before the first one of them was overdue.
#[test]
fn a_dark_endpoint_costs_no_request_after_the_first_overdue_response() {
    for seed in 0..20 {
        let result = play(FaultKind::GoesDark, LOAD, seed);
        let lost: usize = result.lost.values().sum();
        let failing: usize = FAILING.iter().map(|failing| failing.len()).sum();
        // Its share of 240 ms, with a third more as it fills up while others empty.
        let arriving = LOAD as usize * OVERDUE_MS as usize / 1000;
        let expected = arriving * failing / (OWNERS * ENDPOINTS_PER_OWNER);
        assert!(
            lost <= expected * 4 / 3,
            "seed {seed}: {lost} lost, {expected} arrived in time: {result:?}"
        );
        assert_eq!(result.refused, 0, "seed {seed}: others have free slots");
    }
}

/// Without repeatable requests nothing probes, and the doubt ends after 5 s.
#[test]
fn an_endpoint_without_news_is_trusted_again_after_the_longest_request() {
    let mut doubts = endpoint_doubt::DoubtTable::default();
    assert!(doubts.record_failure(&id("a"), BROKEN, at_ms(0)));
    assert!(
        !doubts.record_failure(&id("a"), BROKEN, at_ms(1000)),
        "it was suspect"
    );
    let admits = |doubts: &endpoint_doubt::DoubtTable, ms| {
        doubts.admits(&id("a"), SuspectUse::Avoid, at_ms(ms))
    };
    assert!(!admits(&doubts, 5999));
    assert!(admits(&doubts, 6000));
    assert_eq!(doubts.take_expired(at_ms(6000)), [id("a")]);
    assert!(
        doubts.record_failure(&id("a"), BROKEN, at_ms(7000)),
        "it is new"
    );
}

#[test]
fn one_repeatable_request_at_a_time_probes_until_a_sign_of_life() {
    let mut table = permits::PermitTable::default();
    table.set_owned(&[entry("a", None)]);
    let none = collections::HashSet::new();
    assert!(table.record_failure(&id("a"), BROKEN, at_ms(0)));
    let asks = |table: &mut permits::PermitTable, number, single_attempt, ms| {
        let request = slot_request(number, single_attempt);
        let slot = table.acquire(&request, &none, at_ms(ms));
        let is_withheld = slot.is_none() && table.has_only_suspect(&request, &none, at_ms(ms));
        (slot.is_some(), is_withheld)
    };
    assert_eq!(asks(&mut table, 1, true, 200), (false, true));
    assert_eq!(asks(&mut table, 2, false, 50), (false, true), "too early");
    assert_eq!(asks(&mut table, 3, false, 200), (true, false), "the probe");
    assert_eq!(asks(&mut table, 4, false, 200), (false, true));
    table.release(3);
    assert_eq!(
        asks(&mut table, 5, false, 210),
        (true, false),
        "the next probe"
    );
    let doubted = table.record_life(&id("a"), at_ms(300));
    assert_eq!(doubted, Some(time::Duration::from_millis(300)));
    assert_eq!(asks(&mut table, 6, true, 300), (true, false));
    assert_eq!(asks(&mut table, 7, true, 300), (true, false));
}

/// If everything is suspect, the endpoints are used as without the doubt.
#[test]
fn a_request_without_a_choice_gets_a_suspect_endpoint() {
    let mut table = permits::PermitTable::default();
    table.set_owned(&[entry("a", None), entry("b", None)]);
    let none = collections::HashSet::new();
    table.record_failure(&id("a"), BROKEN, at_ms(0));
    table.record_failure(&id("b"), BROKEN, at_ms(0));
    assert_eq!(
        table.free_slots(at_ms(1))[0].free_slots,
        0,
        "others rank behind it"
    );
    assert!(table
        .acquire(&slot_request(1, true), &none, at_ms(1))
        .is_none());
    let last_resort = peers::OnlineSlotRequest {
        use_of_suspects: SuspectUse::Any,
        ..slot_request(2, true)
    };
    assert!(table.acquire(&last_resort, &none, at_ms(1)).is_some());
    let service = "s".parse().expect("a name");
    assert!(
        table.begin_batch(&service, &none, at_ms(1)).is_some(),
        "batch streams have no choice either"
    );
    table.record_life(&id("b"), at_ms(2));
    let batch = table.begin_batch(&service, &none, at_ms(2));
    assert_eq!(batch.map(|(entry, _)| entry.id.clone()), Some(id("b")));
}

/// An endpoint that starts again after a failure may not serve yet.
#[test]
fn a_restarted_endpoint_is_suspect_until_its_first_sign_of_life() {
    let mut table = permits::PermitTable::default();
    table.set_owned(&[entry("a", Some(1))]);
    table.record_failure(&id("a"), BROKEN, at_ms(0));
    assert!(table.update_owned(&id("a"), Some(&entry("a", Some(2)))));
    assert!(table.is_suspect(&id("a"), at_ms(100)));
    table.record_life(&id("a"), at_ms(200));
    assert!(!table.is_suspect(&id("a"), at_ms(200)));
    table.record_failure(&id("a"), BROKEN, at_ms(300));
    assert!(!table.update_owned(&id("b"), None));
    table.update_owned(&id("a"), None);
    assert!(!table.is_suspect(&id("a"), at_ms(300)), "it is not owned");
}

/// Guards against an owner that ignores its ejections as most of its endpoints are ejected,
/// although the service has many others.
#[test]
fn an_owner_of_mostly_ejected_endpoints_sends_requests_elsewhere() {
    let endpoints: Vec<_> = (0..4).map(|n| entry(&format!("e{n}"), None)).collect();
    let mut table = permits::PermitTable::default();
    table.set_owned(&endpoints);
    let mut loads = selection::LoadTable::default();
    for endpoint in &endpoints[..3] {
        loads.health.record_silence(&endpoint.id, at_ms(1));
    }
    let whole_service = |_: &ids::ServiceName| 40;
    let ejected = table.ejected(&loads, whole_service, at_ms(2));
    assert_eq!(ejected.len(), 3, "3 of the 40 endpoints of the service");
    let first = table.acquire(&slot_request(1, true), &ejected, at_ms(2));
    assert_eq!(first.map(|slot| slot.endpoint), Some(id("e3")));
    let without_last = peers::OnlineSlotRequest {
        tried: vec![id("e3")],
        software: None,
        ..slot_request(2, true)
    };
    assert!(table.acquire(&without_last, &ejected, at_ms(2)).is_none());
    assert!(table.has_only_suspect(&without_last, &ejected, at_ms(2)));
    // It is the whole service: the cause is elsewhere.
    assert!(table.ejected(&loads, |_| 4, at_ms(2)).is_empty());
}

/// Guards against a surge that leaves slots unused: responses are late then, and endpoints
/// that are only slow were refused to all requests.
#[test]
fn a_slow_endpoint_is_used_before_a_request_is_refused() {
    let mut table = permits::PermitTable::default();
    table.set_owned(&[entry("a", None)]);
    let none = collections::HashSet::new();
    let mut number = 0;
    let mut is_granted = |table: &mut permits::PermitTable, use_of_suspects| {
        number += 1;
        let request = peers::OnlineSlotRequest {
            use_of_suspects,
            ..slot_request(number, true)
        };
        table.acquire(&request, &none, at_ms(1)).is_some()
    };
    table.record_failure(&id("a"), FailureEvidence::Silent, at_ms(0));
    assert_eq!(
        table.free_slots(at_ms(1))[0].free_slots,
        8,
        "its slots are offered"
    );
    assert!(!is_granted(&mut table, SuspectUse::Avoid));
    for _ in 0..4 {
        assert!(is_granted(&mut table, SuspectUse::Slow));
    }
    table.record_failure(&id("a"), BROKEN, at_ms(1));
    assert!(
        !is_granted(&mut table, SuspectUse::Slow),
        "it lost a request"
    );
    table.record_life(&id("a"), at_ms(1));
    table.record_failure(&id("a"), FailureEvidence::Silent, at_ms(1));
    assert!(
        is_granted(&mut table, SuspectUse::Slow),
        "it gave a sign of life"
    );
}

/// Guards against an endpoint that gets no probe for 5 s: it restarted while a request probed
/// its earlier run.
#[test]
fn a_restarted_endpoint_is_probed_though_its_last_probe_was_lost() {
    let mut table = permits::PermitTable::default();
    table.set_owned(&[entry("a", Some(1))]);
    let none = collections::HashSet::new();
    table.record_failure(&id("a"), BROKEN, at_ms(0));
    let probe = |table: &mut permits::PermitTable, number, ms| {
        let slot = table.acquire(&slot_request(number, false), &none, at_ms(ms));
        slot.is_some()
    };
    assert!(probe(&mut table, 1, 200));
    assert!(!probe(&mut table, 2, 300), "one at a time");
    assert!(table.update_owned(&id("a"), Some(&entry("a", Some(2)))));
    assert!(probe(&mut table, 3, 400));
}
