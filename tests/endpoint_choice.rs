//! Loads played through the choice of endpoints, and what callers get.

use std::{collections, net, rc, time};

use jayhollow::{
    clock,
    decisions::{
        endpoint_doubt,
        endpoint_speed::{RunObservation, RunTiming, SlowdownPercent, SlowdownReport},
    },
    ids,
    serving::{directory, peers, permits, selection, wire},
};
use rand::{rngs, Rng as _, SeedableRng as _};

const SLOTS: u32 = 8;
/// Time between two events at the mean speed, in milliseconds; a run has 20 events.
const GAP_MS: f64 = 25.0;
const EVENTS: u32 = 20;

fn at_ms(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(1 + ms * 1000)
}

fn entry(id: String) -> rc::Rc<directory::EndpointEntry> {
    rc::Rc::new(directory::EndpointEntry {
        id: id.parse().expect("a name"),
        service: "s".parse().expect("a name"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: "z".parse().expect("a name"),
        slots: SLOTS,
        leaving: false,
        started: None,
        cold_ms: 0,
        software: None,
    })
}

fn slot_request(number: u64) -> peers::OnlineSlotRequest {
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
        single_attempt: false,
        use_of_suspects: endpoint_doubt::SuspectUse::Probe,
        ticket: None,
    }
}

/// A load on one owner with nine endpoints.
struct LoadReplay {
    /// Speeds of the endpoints in turn.
    speeds: [f64; 3],
    /// Share of periods in which an endpoint is 2.5 times slower.
    slow_share: f64,
    /// Length of a period in milliseconds.
    period_ms: u64,
    /// Number of endpoints that have slow periods.
    slow_endpoints: usize,
    /// Requests, in parts of what the endpoints can serve.
    load: f64,
    /// Whether the owner is told what was observed.
    is_told: bool,
    /// Figure that an endpoint reports, given the true one.
    figure: fn(u32, u64) -> u32,
    /// Time at which the owner loses what it has learned.
    lost_at_ms: Option<u64>,
}

/// What callers got, and how the work was spread.
#[derive(Debug)]
struct ReplayResult {
    mean_ms: f64,
    refused: u32,
    /// Time at work of the busiest endpoint over the mean.
    busiest: f64,
    /// The chosen endpoints.
    chosen: Vec<usize>,
}

impl LoadReplay {
    fn run(&self) -> ReplayResult {
        let mut rng = rngs::SmallRng::seed_from_u64(5);
        let entries: Vec<_> = (0..9).map(|n| entry(format!("e{n}"))).collect();
        let none = collections::HashSet::new();
        let mut table = permits::PermitTable::default();
        table.set_owned(&entries);
        let speed = |n: usize| self.speeds[n % 3];
        let capacity: f64 = (0..9).map(|n| speed(n) * f64::from(SLOTS)).sum();
        let rate = self.load * capacity / (GAP_MS * f64::from(EVENTS));
        let mut running: Vec<(u64, u64, usize, RunObservation)> = Vec::new();
        let (mut work, mut spent, mut refused) = ([0.0; 9], Vec::new(), 0);
        let mut chosen = Vec::new();
        for ms in 0..30_000 {
            if self.lost_at_ms == Some(ms) {
                table = permits::PermitTable::default();
                table.set_owned(&entries);
            }
            let ended = running.extract_if(.., |(end, ..)| *end <= ms);
            for (_, number, n, observation) in ended.collect::<Vec<_>>() {
                table.release_served(number, at_ms(ms));
                if self.is_told {
                    table.record_run(&entries[n].id, &observation, at_ms(ms));
                }
            }
            if rng.random::<f64>() >= rate {
                continue;
            }
            let number = rng.random();
            let Some(slot) = table.acquire(&slot_request(number), &none, at_ms(ms)) else {
                refused += 1;
                continue;
            };
            let n = entries.iter().position(|e| e.id == slot.endpoint);
            let n = n.expect("it is listed");
            chosen.push(n);
            let slowdown = |ms: f64| self.slowdown(n, ms as u64);
            let percent = SlowdownPercent::new((self.figure)(slowdown(ms as f64), ms));
            let percent = percent.expect("it is not 0");
            let spread = rng.random_range(0.8..1.2);
            let mut end = ms as f64;
            for _ in 0..EVENTS {
                end += GAP_MS * spread / speed(n) * f64::from(slowdown(end)) / 100.0;
            }
            let duration = end - ms as f64;
            let report = |age| SlowdownReport { percent, age };
            let observation = RunObservation {
                timing: RunTiming::Stream {
                    first: time::Duration::from_millis(40),
                    gap: time::Duration::from_secs_f64(duration / 1000.0 / f64::from(EVENTS)),
                    events: EVENTS,
                },
                slowdown: Some(report(time::Duration::from_secs_f64(duration / 1000.0))),
            };
            if self.is_told && percent.is_unusual() {
                table.record_slowdown(&slot.endpoint, report(time::Duration::ZERO), at_ms(ms));
            }
            running.push((end as u64, number, n, observation));
            // Whatever is learned is learned within the first seconds.
            if ms > self.lost_at_ms.unwrap_or(0) + 5000 {
                work[n] += duration;
                spent.push(duration);
            }
        }
        let mean_work = work.iter().sum::<f64>() / 9.0;
        ReplayResult {
            mean_ms: spent.iter().sum::<f64>() / spent.len() as f64,
            refused,
            busiest: work.iter().fold(0.0, |a: f64, b| a.max(*b)) / mean_work,
            chosen,
        }
    }

    fn slowdown(&self, endpoint: usize, ms: u64) -> u32 {
        let period = (ms + endpoint as u64 * 67) / self.period_ms;
        let mut rng = rngs::SmallRng::seed_from_u64(period * 9 + endpoint as u64);
        match endpoint < self.slow_endpoints && rng.random::<f64>() < self.slow_share {
            true => 250,
            false => 100,
        }
    }
}

/// A load like that of the second deployment: three speeds, one period in seven slow.
fn uneven_load(load: f64) -> LoadReplay {
    LoadReplay {
        speeds: [0.6, 1.0, 1.6],
        slow_share: 0.15,
        period_ms: 600,
        slow_endpoints: 9,
        load,
        is_told: true,
        figure: |slowdown, _| slowdown,
        lost_at_ms: None,
    }
}

fn untold(replay: LoadReplay) -> ReplayResult {
    let is_told = false;
    LoadReplay { is_told, ..replay }.run()
}

/// Guards against a choice by numbers of requests, for which a slow endpoint with five is
/// better than a fast one with six.
#[rstest::rstest]
#[case::calm(0.3, 0.96)]
#[case::mean(0.6, 0.94)]
#[case::surge(0.8, 0.95)]
fn callers_get_faster_responses_where_endpoints_differ(#[case] load: f64, #[case] most: f64) {
    let by_count = untold(uneven_load(load));
    let by_time = uneven_load(load).run();
    let ratio = by_time.mean_ms / by_count.mean_ms;
    assert!(ratio < most, "{ratio:.3} of the time by count");
    assert!(by_time.refused <= by_count.refused);
}

/// Guards against fast endpoints that work while others are idle.
#[rstest::rstest]
fn work_is_spread_in_calm(#[values(0.2, 0.3, 0.4)] load: f64) {
    let busiest = uneven_load(load).run().busiest;
    assert!(busiest < 1.15, "the busiest works {busiest:.3} of the mean");
}

/// Guards against a change for deployments whose endpoints are alike: runs that vary by a
/// fifth and reports of the usual speed leave each single choice as it was.
#[rstest::rstest]
fn alike_endpoints_are_chosen_as_without_observations(#[values(0.3, 0.8, 1.2)] load: f64) {
    let alike = || LoadReplay {
        speeds: [1.0; 3],
        slow_share: 0.0,
        ..uneven_load(load)
    };
    assert_eq!(alike().run().chosen, untold(alike()).chosen);
}

/// Guards against figures that are believed although nothing follows from them.
#[rstest::rstest]
#[case::always_slow(|_, _| 250)]
#[case::random(|_, ms| if ms % 7 < 3 { 250 } else { 100 })]
#[case::absurd(|_, ms| if ms % 2 == 0 { 1 } else { u32::MAX })]
fn wrong_figures_cost_callers_little(#[case] figure: fn(u32, u64) -> u32) {
    let wrong = || LoadReplay {
        figure,
        ..uneven_load(0.6)
    };
    let ratio = wrong().run().mean_ms / untold(wrong()).mean_ms;
    assert!(ratio < 1.05, "{ratio:.3} of the time by count");
}

/// Guards against a choice that follows an endpoint whose speed changes several times a second
/// when the change is over.
#[rstest::rstest]
fn a_changing_endpoint_costs_callers_nothing(#[values(0.3, 0.6, 0.8)] load: f64) {
    let changing = || LoadReplay {
        speeds: [1.0; 3],
        slow_share: 0.5,
        period_ms: 200,
        slow_endpoints: 1,
        ..uneven_load(load)
    };
    let ratio = changing().run().mean_ms / untold(changing()).mean_ms;
    assert!(ratio < 1.0, "{ratio:.3} of the time by count");
}

/// Guards against a model that takes long to learn after an endpoint got another owner.
#[test]
fn a_lost_model_is_learned_again_within_five_seconds() {
    let lost = || LoadReplay {
        lost_at_ms: Some(15_000),
        ..uneven_load(0.6)
    };
    let ratio = lost().run().mean_ms / untold(lost()).mean_ms;
    assert!(ratio < 0.95, "{ratio:.3} of the time by count");
}

/// Guards against gateways that all choose the one endpoint that reports to be fast, as none
/// of them counts the choices of the others.
#[rstest::rstest]
#[case::one_is_fast(40, 100)]
#[case::all_others_are_slow(100, 250)]
fn gateways_of_equal_knowledge_do_not_choose_the_same_endpoint(
    #[case] first: u32,
    #[case] others: u32,
) {
    let entries: Vec<_> = (0..8).map(|n| entry(format!("e{n}"))).collect();
    let mut rng = rngs::SmallRng::seed_from_u64(3);
    let mut counts = [0; 8];
    for _ in 0..59 {
        let mut loads = selection::LoadTable::default();
        for (n, entry) in entries.iter().enumerate() {
            let report = wire::ReportedLoad {
                running: 3,
                waiting: 0,
                slowdown: SlowdownPercent::new(if n == 0 { first } else { others }),
            };
            loads.record_report(&entry.id, report, at_ms(0));
        }
        let domain = "z".parse().expect("a name");
        let chosen = loads.choose(&entries, |_| false, &domain, at_ms(10), &mut rng);
        let chosen = chosen.expect("there are some");
        counts[entries
            .iter()
            .position(|e| e.id == chosen.id)
            .expect("listed")] += 1;
    }
    // An eighth is 7; the only one that is not slow deserves 2.5 times the share of others.
    let most = if others == 100 { 14 } else { 25 };
    assert!(counts[0] <= most, "{counts:?}");
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
}

/// Owner of endpoints whose events take as many milliseconds each.
fn learned_table(
    gaps_ms: [u64; 3],
    entries: &[rc::Rc<directory::EndpointEntry>],
) -> permits::PermitTable {
    let mut table = permits::PermitTable::default();
    table.set_owned(entries);
    for run in 0..60 {
        let observation = RunObservation {
            timing: RunTiming::Stream {
                first: time::Duration::from_millis(40),
                gap: time::Duration::from_millis(gaps_ms[run % 3]),
                events: EVENTS,
            },
            slowdown: None,
        };
        table.record_run(&entries[run % 3].id, &observation, at_ms(run as u64));
    }
    table
}

/// Guards against a queue at a fast endpoint while a slow one has a free slot, and against a
/// model that outlives the run of an endpoint that it describes.
#[test]
fn a_free_slot_comes_before_a_queue_and_a_restart_forgets() {
    let mut entries: Vec<_> = (0..3).map(|n| entry(format!("e{n}"))).collect();
    let mut table = learned_table([200, 25, 25], &entries);
    let none = collections::HashSet::new();
    let acquire = |table: &mut permits::PermitTable, number| {
        let request = peers::OnlineSlotRequest {
            may_queue: true,
            wait: time::Duration::from_millis(200),
            ..slot_request(number)
        };
        let slot = table.acquire(&request, &none, at_ms(60));
        slot.expect("there is a slot").endpoint.to_string()
    };
    let chosen: Vec<_> = (0..24).map(|number| acquire(&mut table, number)).collect();
    assert!(!chosen[..2].contains(&"e0".to_owned()), "{chosen:?}");
    let slow = chosen.iter().filter(|id| *id == "e0").count();
    assert_eq!(slow, SLOTS as usize, "{chosen:?}");
    let restarted = directory::EndpointEntry {
        started: Some(ids::StartTime(5)),
        ..(*entries[0]).clone()
    };
    entries[0] = rc::Rc::new(restarted);
    let mut table = learned_table([200, 25, 25], &entries[..]);
    let again = directory::EndpointEntry {
        started: Some(ids::StartTime(6)),
        ..(*entries[0]).clone()
    };
    entries[0] = rc::Rc::new(again);
    table.set_owned(&entries);
    assert_eq!(acquire(&mut table, 90), "e0", "it is as good as any");
}

/// Guards against a refusal for a fast endpoint without a slot while batch work at a slow one
/// would give way.
#[test]
fn a_slot_of_batch_work_comes_before_a_fast_endpoint_without_one() {
    let entries: Vec<_> = (0..3).map(|n| entry(format!("e{n}"))).collect();
    let mut table = learned_table([200, 25, 25], &entries);
    let none = collections::HashSet::new();
    let service = "s".parse().expect("a name");
    let acquire = |table: &mut permits::PermitTable, number| {
        let slot = table.acquire(&slot_request(number), &none, at_ms(60));
        slot.map(|slot| slot.endpoint.to_string())
    };
    while table
        .begin_batch(&service, &collections::HashSet::new(), at_ms(60))
        .is_some()
    {}
    let chosen: Vec<_> = (0..3 * u64::from(SLOTS))
        .map(|number| acquire(&mut table, number))
        .collect();
    assert!(chosen.iter().all(Option::is_some), "{chosen:?}");
    assert_eq!(acquire(&mut table, 90), None, "all slots are in use");
}

/// Guards against batch streams that slow down the endpoints that serve online requests best,
/// and against an order that holds against any number of free slots.
#[test]
fn batch_streams_start_at_the_slowest_endpoint() {
    let entries: Vec<_> = (0..3).map(|n| entry(format!("e{n}"))).collect();
    let mut table = learned_table([42, 25, 16], &entries);
    let begun = (0..6).filter_map(|_| {
        let none = collections::HashSet::new();
        table.begin_batch(&"s".parse().expect("a name"), &none, at_ms(60))
    });
    let begun: Vec<_> = begun.map(|(entry, _)| entry.id.to_string()).collect();
    assert_eq!(begun, ["e0", "e0", "e0", "e1", "e0", "e1"]);
}
