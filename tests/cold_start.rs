//! Rate of requests to cold endpoints.

use std::{collections, net, rc, time};

use jayhollow::{
    clock,
    decisions::{cold_start, endpoint_doubt},
    ids,
    serving::{directory, peers, permits, selection},
};
use rstest::rstest;

/// Requests per second that a cold endpoint accepts.
const RATE: f64 = 6.9;

fn entry(id: &str) -> directory::EndpointEntry {
    directory::EndpointEntry {
        id: id.parse().expect("a name"),
        service: service(),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: "z".parse().expect("a name"),
        slots: 8,
        leaving: false,
        started: None,
        cold_ms: 3000,
        software: None,
    }
}

fn service() -> ids::ServiceName {
    "s".parse().expect("a name")
}

fn at_ms(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

fn table(endpoints: &[&str], cold: &[&str]) -> permits::PermitTable {
    let mut table = permits::PermitTable::default();
    let owned: Vec<_> = endpoints.iter().map(|id| rc::Rc::new(entry(id))).collect();
    table.set_owned(&owned);
    table.set_cold(|entry| {
        let is_cold = cold.contains(&entry.id.as_str());
        let limit = cold_start::ColdLimit::new(at_ms(3000), RATE);
        limit.filter(|_| is_cold)
    });
    table
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

/// Plays requests that last 50 ms, ten times as many as the endpoint accepts while cold;
/// returns when it got one.
fn play(table: &mut permits::PermitTable, with_batch: bool) -> Vec<u64> {
    let none = collections::HashSet::new();
    let mut ends = collections::VecDeque::new();
    let mut sent = Vec::new();
    for ms in (0..4000).step_by(14) {
        while ends.front().is_some_and(|(at, _)| *at <= ms) {
            let (_, number) = ends.pop_front().expect("there is one");
            table.release(number);
        }
        let number = ms + 1;
        let is_online = !with_batch || (ms / 14) % 2 == 0;
        let is_sent = match is_online {
            true => {
                let granted = table.acquire(&request(number), &none, at_ms(ms));
                ends.extend(granted.iter().map(|_| (ms + 50, number)));
                granted.is_some()
            }
            false => {
                let begun = table.begin_batch(&service(), &none, at_ms(ms));
                if let Some((endpoint, stream)) = &begun {
                    table.end_batch(&endpoint.id, *stream);
                }
                begun.is_some()
            }
        };
        if is_sent {
            sent.push(ms);
        }
    }
    sent
}

fn most_in_a_second(sent: &[u64]) -> usize {
    let counts = sent.iter().map(|from| {
        let in_window = |ms: &&u64| (*from..from + 1000).contains(*ms);
        sent.iter().filter(in_window).count()
    });
    counts.max().unwrap_or_default()
}

/// Cold endpoints got 16 to 19 requests within a second, where 15 were allowed, as only
/// their slots bounded what they got.
#[rstest]
#[case::online(false)]
#[case::online_and_batch(true)]
fn a_cold_endpoint_gets_no_more_than_its_rate(#[case] with_batch: bool) {
    let sent = play(&mut table(&["a"], &["a"]), with_batch);
    let (cold, warm): (Vec<_>, Vec<_>) = sent.iter().partition(|ms| **ms < 3000);
    let most = most_in_a_second(&cold);
    assert!(most <= RATE.ceil() as usize, "{most} within a second");
    assert!(cold.len() >= 18, "{} in three seconds", cold.len());
    assert!(
        warm.len() > 60,
        "{} in the first second after it",
        warm.len()
    );
}

/// Two processes may both own an endpoint for some seconds.
#[test]
fn two_owners_together_stay_below_twice_the_rate() {
    let sent: Vec<_> = (0..2)
        .flat_map(|_| play(&mut table(&["a"], &["a"]), false))
        .filter(|ms| *ms < 3000)
        .collect();
    let most = most_in_a_second(&sent);
    assert!(
        most <= (2.0 * RATE).ceil() as usize,
        "{most} within a second"
    );
}

#[test]
fn warm_endpoints_come_first_and_a_service_without_limit_has_none() {
    let none = collections::HashSet::new();
    let mut table = table(&["a", "b"], &["a"]);
    for number in 1..=8 {
        let granted = table.acquire(&request(number), &none, at_ms(0));
        let endpoint = granted.expect("there is a slot").endpoint;
        assert_eq!(endpoint.as_str(), "b", "the warm one has slots");
    }
    let ninth = table.acquire(&request(9), &none, at_ms(0));
    assert_eq!(ninth.expect("there is a slot").endpoint.as_str(), "a");
    assert_eq!(table.acquire(&request(10), &none, at_ms(1)), None);
    assert_eq!(cold_start::ColdLimit::new(at_ms(3000), 0.0), None);
}

#[test]
fn a_choice_without_a_permit_leaves_out_what_is_excluded() {
    let loads = selection::LoadTable::default();
    let candidates: Vec<_> = ["a", "b"].iter().map(|id| rc::Rc::new(entry(id))).collect();
    let domain = "z".parse().expect("a name");
    let is_excluded = |entry: &directory::EndpointEntry| entry.id.as_str() == "a";
    for _ in 0..20 {
        let rng = &mut rand::rng();
        let chosen = loads.choose(&candidates, is_excluded, &domain, at_ms(0), rng);
        assert_eq!(chosen.expect("one is left").id.as_str(), "b");
    }
}
