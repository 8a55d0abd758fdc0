//! Evacuated failure domains: their endpoints get no new work, and count as cold afterwards.

use std::{collections, net, sync, time};

use jayhollow::{
    clock, ids,
    serving::{directory, evacuations, fleet_model, fleet_source::FleetUpdate, route_table},
};
use proptest::prelude::*;

/// Clock that the test advances.
#[derive(Default)]
struct TestClock(sync::atomic::AtomicU64);

impl TestClock {
    fn pass(&self, duration: time::Duration) {
        let duration = duration.as_micros() as u64;
        self.0.fetch_add(duration, sync::atomic::Ordering::Relaxed);
    }
}

impl clock::MonotonicClock for TestClock {
    fn now(&self) -> clock::MonotonicTime {
        clock::MonotonicTime(self.0.load(sync::atomic::Ordering::Relaxed))
    }
}

fn domain(name: &str) -> ids::DomainName {
    name.parse().expect("a name")
}

fn entry(id: &str, zone: &str) -> directory::EndpointEntry {
    directory::EndpointEntry {
        id: id.parse().expect("a name"),
        service: "s".parse().expect("a name"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: domain(zone),
        slots: 4,
        leaving: false,
        started: None,
        cold_ms: 0,
        software: None,
    }
}

fn evacuated(revision: u64, domains: &[&str]) -> FleetUpdate {
    FleetUpdate::Evacuations(evacuations::EvacuationSet {
        revision,
        domains: domains.iter().copied().map(domain).collect(),
    })
}

fn model(clock: &sync::Arc<TestClock>) -> fleet_model::FleetModel {
    let model = fleet_model::FleetModel::new(clock.clone());
    let entries = vec![entry("a", "z-1"), entry("b", "z-1"), entry("c", "z-2")];
    model.apply(FleetUpdate::Endpoints(1, entries));
    model
}

fn usable(model: &fleet_model::FleetModel) -> Vec<String> {
    let directory = model.directory.borrow();
    let listed = directory.of_service(&"s".parse().expect("a name"));
    listed.iter().map(|e| e.id.to_string()).collect()
}

fn is_cold(
    model: &fleet_model::FleetModel,
    clock: &TestClock,
    entry: &directory::EndpointEntry,
) -> bool {
    use clock::MonotonicClock as _;

    let until = model.directory.borrow().cold_until(entry);
    until.is_some_and(|until| clock.now() < until)
}

/// Requests were sent to the endpoints of an evacuated domain all the time, as nothing read
/// the evacuations: 484 and 538 of them on two days with two evacuations each.
#[test]
fn endpoints_of_an_evacuated_domain_get_nothing_and_are_cold_afterwards() {
    let clock = sync::Arc::new(TestClock::default());
    let model = model(&clock);
    model.apply(evacuated(5, &["z-1"]));
    assert_eq!(usable(&model), ["c"]);
    assert!(model
        .directory
        .borrow()
        .usable(&"a".parse().expect("a name"))
        .is_none());
    // A new endpoint of the domain gets nothing either, and a renewed list changes nothing.
    let listed = vec![entry("a", "z-1"), entry("c", "z-2"), entry("d", "z-1")];
    model.apply(FleetUpdate::Endpoints(6, listed));
    assert_eq!(usable(&model), ["c"]);
    model.apply(evacuated(9, &[]));
    assert_eq!(usable(&model), ["a", "c", "d"]);
    let (returned, other) = (entry("a", "z-1"), entry("c", "z-2"));
    assert!(is_cold(&model, &clock, &returned));
    assert!(!is_cold(&model, &clock, &other));
    clock.pass(time::Duration::from_millis(2600));
    assert!(
        !is_cold(&model, &clock, &returned),
        "its entry says otherwise by then"
    );
}

#[test]
fn an_older_set_of_a_peer_does_not_undo_a_newer_one() {
    let clock = sync::Arc::new(TestClock::default());
    let model = model(&clock);
    model.apply(evacuated(9, &["z-1"]));
    model.apply(evacuated(7, &[]));
    assert_eq!(usable(&model), ["c"]);
    model.apply(evacuated(7, &["z-1", "z-2"]));
    assert_eq!(usable(&model), ["c"]);
}

/// A process that starts during an evacuation must not send there until it knows of it.
#[test]
fn nothing_is_served_before_the_evacuations_are_known() {
    let clock = sync::Arc::new(TestClock::default());
    let model = model(&clock);
    model.apply(FleetUpdate::State(route_table::DesiredState {
        version: route_table::StateVersion(1),
        ..Default::default()
    }));
    assert!(model.is_known(), "the source has no evacuations");
    model.apply(FleetUpdate::EvacuationsExpected);
    assert!(!model.is_known());
    model.apply(evacuated(2, &[]));
    assert!(model.is_known());
}

proptest! {
    /// Whatever the order, and with repeats and losses, the set with the highest revision is
    /// in force.
    #[test]
    fn the_latest_set_is_in_force(updates in prop::collection::vec((1_u64..30, 0_u8..4), 1..40)) {
        let clock = sync::Arc::new(TestClock::default());
        let model = model(&clock);
        // A set is a function of its revision, as the store has one history.
        let mut history = collections::BTreeMap::new();
        for (revision, domains) in updates {
            let bits = *history.entry(revision).or_insert(domains);
            let names: Vec<_> = ["z-1", "z-2"].into_iter().enumerate()
                .filter(|(n, _)| bits & (1 << n) > 0).map(|(_, name)| name).collect();
            model.apply(evacuated(revision, &names));
            let (latest, bits) = history.last_key_value().expect("there is one");
            let known = model.evacuations();
            prop_assert_eq!(known.revision, *latest);
            prop_assert_eq!(known.domains.contains(&domain("z-1")), bits & 1 > 0);
            prop_assert_eq!(usable(&model).contains(&"c".to_owned()), bits & 2 == 0);
        }
    }
}
