//! Transfer of the list of endpoints from process to process.
//!
//! Each change of one endpoint sent the whole list to every process, 1 MB at 10,002
//! endpoints, and only the few processes that watch the store sent it: 985 MB for a change.

use std::{collections, net, sync, time};

use jayhollow::{
    clock, ids,
    serving::{
        directory::{DirectoryUpdate, EndpointChange, EndpointEntry},
        directory_transfer, fleet_model,
        fleet_source::FleetUpdate,
    },
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

fn id(number: u32) -> ids::EndpointId {
    format!("i-{number:06}").parse().expect("a name")
}

fn entry(number: u32, slots: u32) -> EndpointEntry {
    let address = net::Ipv4Addr::from(0x0a00_0000 + number);
    EndpointEntry {
        id: id(number),
        service: "llm".parse().expect("a name"),
        address: net::SocketAddr::from((address, 8080)),
        domain: "z".parse().expect("a name"),
        slots,
        leaving: false,
        started: Some(ids::StartTime(1)),
        cold_ms: 0,
        software: None,
    }
}

/// Returns a model that watches the store or gets its list from peers.
fn model(clock: &sync::Arc<TestClock>, follows: bool) -> fleet_model::FleetModel {
    let model = fleet_model::FleetModel::new(clock.clone());
    model.set_follows_store(follows);
    if follows {
        model.apply(FleetUpdate::Reachable(true));
    }
    model
}

/// Does what a process does at a heartbeat of a peer; returns what was sent.
fn sync(from: &fleet_model::FleetModel, to: &fleet_model::FleetModel) -> Option<DirectoryUpdate> {
    if from.digest() == to.digest() || from.revision() <= to.revision() {
        return None;
    }
    let update = from.update_since(to.list_base());
    to.apply(FleetUpdate::PeerEndpoints(update.clone()));
    Some(update)
}

fn bytes(update: &DirectoryUpdate) -> usize {
    postcard::to_stdvec(update).expect("it is encoded").len()
}

/// Returns the bytes of the first transfer of a list, and of the one after a change.
fn transfers(count: u32) -> (usize, usize) {
    let clock = sync::Arc::default();
    let [source, relay, end] = [true, false, false].map(|follows| model(&clock, follows));
    let entries = (0..count).map(|n| entry(n, 7)).collect();
    source.apply(FleetUpdate::Endpoints(5, entries));
    let whole = sync(&source, &relay).expect("the relay has no list");
    sync(&relay, &end).expect("nor has the end");
    let change = EndpointChange::Listed(entry(count / 2, 6));
    source.apply(FleetUpdate::EndpointChanges(6, vec![change]));
    let delta = sync(&source, &relay).expect("the relay misses the change");
    let passed_on = sync(&relay, &end).expect("so does the end");
    assert_eq!(end.digest(), source.digest());
    assert_eq!(
        bytes(&passed_on),
        bytes(&delta),
        "a relay passes on the change alone"
    );
    (bytes(&whole), bytes(&delta))
}

#[test]
fn a_change_takes_the_same_bytes_in_a_list_of_any_length() {
    let [small, large] = [1_000, 20_000].map(transfers);
    assert!(small.0 > 1_000 * 20 && large.0 > 20 * small.0 - 100_000);
    assert_eq!(small.1, large.1);
    assert!(large.1 < 200, "{} bytes", large.1);
}

/// A log that does not reach back far enough must not pass for complete.
#[test]
fn a_peer_that_missed_too_much_gets_the_whole_list() {
    let clock = sync::Arc::default();
    let [source, end] = [true, false].map(|follows| model(&clock, follows));
    source.apply(FleetUpdate::Endpoints(1, vec![entry(1, 7), entry(2, 7)]));
    sync(&source, &end).expect("the end has no list");
    source.apply(FleetUpdate::EndpointChanges(
        2,
        vec![EndpointChange::Removed(id(2))],
    ));
    for revision in 3..5_000 {
        let change = EndpointChange::Listed(entry(1, revision as u32));
        source.apply(FleetUpdate::EndpointChanges(revision, vec![change]));
    }
    let update = sync(&source, &end).expect("it has changed");
    assert!(matches!(update, DirectoryUpdate::Whole(_)), "{update:?}");
    assert_eq!(end.digest(), source.digest());
}

/// Whole lists to many peers at once exceeded the memory of the process that sent them.
#[test]
fn whole_lists_are_spaced_and_changes_are_not() {
    let clock = sync::Arc::<TestClock>::default();
    let source = model(&clock, true);
    let entries = (0..10_000).map(|n| entry(n, 7)).collect();
    source.apply(FleetUpdate::Endpoints(5, entries));
    assert!(source.may_send_list(0));
    assert!(!source.may_send_list(0));
    assert!(source.may_send_list(source.revision()));
    clock.pass(time::Duration::from_millis(51));
    assert!(source.may_send_list(0));
}

/// A relay must pass on that an entry is kept only for a grace period: a process that has
/// removed it would send requests to an endpoint that is gone.
#[test]
fn a_relay_does_not_restore_an_entry_that_its_source_keeps_for_a_while() {
    let clock = sync::Arc::<TestClock>::default();
    let [source, relay, other] = [true, false, true].map(|follows| model(&clock, follows));
    let entries = || vec![entry(1, 7), entry(2, 7)];
    for follower in [&source, &other] {
        follower.apply(FleetUpdate::Endpoints(1, entries()));
    }
    sync(&source, &relay).expect("the relay has no list");
    // Only this one sees an outage, after which it keeps what has expired.
    source.apply(FleetUpdate::Reachable(false));
    clock.pass(time::Duration::from_secs(5));
    source.apply(FleetUpdate::Reachable(true));
    source.apply(FleetUpdate::Endpoints(3, vec![entry(1, 7), entry(3, 7)]));
    other.apply(FleetUpdate::EndpointChanges(
        2,
        vec![EndpointChange::Removed(id(2))],
    ));
    sync(&source, &relay).expect("there is a new endpoint");
    sync(&relay, &other).expect("it is passed on");
    let usable =
        |model: &fleet_model::FleetModel, n| model.directory.borrow().usable(&id(n)).is_some();
    assert!(usable(&relay, 2), "it may be renewed");
    assert!(!usable(&other, 2));
    assert!(usable(&other, 3));
}

/// Changes of the platform's list, and which process has followed up to which of them.
struct ListHistory {
    changes: Vec<EndpointChange>,
    /// Endpoints that were removed; none is listed again.
    removed: collections::BTreeSet<u32>,
}

impl ListHistory {
    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    fn add(&mut self, change: EndpointChange) {
        self.changes.push(change);
    }

    /// Returns the whole list as the store has it.
    fn entries(&self) -> Vec<EndpointEntry> {
        let mut entries = collections::BTreeMap::new();
        for change in &self.changes {
            match change {
                EndpointChange::Listed(entry) => {
                    entries.insert(entry.id.clone(), entry.clone());
                }
                EndpointChange::Removed(id) => {
                    entries.remove(id);
                }
            }
        }
        entries.into_values().collect()
    }

    /// Has a process that watches the store read what it has missed.
    fn follow(&self, model: &fleet_model::FleetModel) {
        let known = model.revision() as usize;
        for (number, change) in self.changes.iter().enumerate().skip(known) {
            let change = vec![change.clone()];
            model.apply(FleetUpdate::EndpointChanges(number as u64 + 1, change));
        }
    }

    /// Has a process read the whole list after an outage of the store.
    fn follow_after_outage(&self, model: &fleet_model::FleetModel, clock: &TestClock) {
        model.apply(FleetUpdate::Reachable(false));
        clock.pass(time::Duration::from_secs(5));
        model.apply(FleetUpdate::Reachable(true));
        model.apply(FleetUpdate::Endpoints(self.revision(), self.entries()));
    }
}

/// Endpoints that a model lists, by number.
fn listed(model: &fleet_model::FleetModel) -> collections::BTreeSet<u32> {
    let directory = model.directory.borrow();
    (0..REMOVABLE)
        .filter(|n| directory.entry(&id(*n)).is_some())
        .collect()
}

/// Endpoints of the test that are removed one after another.
const REMOVABLE: u32 = 8;

/// Changes after which a log no longer reaches back to the one before.
const OVERFLOW: u32 = 5_000;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against requests to an endpoint that is gone: a process took a removed entry back
    /// from a peer that had missed the removal in an outage and had a newer list.
    #[test]
    fn a_removed_entry_never_comes_back_from_a_peer(
        steps in prop::collection::vec((0_u32..12, 0_usize..4, 0_usize..4), 1..60),
    ) {
        let clock = sync::Arc::<TestClock>::default();
        let mut models = [true, true, false, false].map(|follows| model(&clock, follows));
        let mut history = ListHistory { changes: vec![], removed: collections::BTreeSet::new() };
        // One endpoint stays, as a process without any accepts all that a peer has.
        for number in (0..REMOVABLE).chain([100]) {
            history.add(EndpointChange::Listed(entry(number, 7)));
        }
        models[..2].iter().for_each(|follower| history.follow(follower));
        let mut dropped = [(); 4].map(|()| collections::BTreeSet::new());
        for (kind, from, to) in steps {
            let before = [0, 1, 2, 3].map(|n| listed(&models[n]));
            let is_follower = to < 2;
            match kind {
                0 | 1 => {
                    let number = history.removed.len() as u32;
                    if number < REMOVABLE {
                        history.removed.insert(number);
                        history.add(EndpointChange::Removed(id(number)));
                    }
                }
                2 => history.add(EndpointChange::Listed(entry(100, history.revision() as u32))),
                3 | 4 if is_follower => history.follow(&models[to]),
                5 if is_follower => history.follow_after_outage(&models[to], &clock),
                6 => {
                    clock.pass(time::Duration::from_millis(700));
                    models.iter().for_each(fleet_model::FleetModel::expire);
                }
                7 if from == 0 => {
                    for slots in 0..OVERFLOW {
                        history.add(EndpointChange::Listed(entry(100, slots + 10)));
                    }
                }
                8 if !is_follower => {
                    models[to] = model(&clock, false);
                    dropped[to].clear();
                    continue;
                }
                _ if !is_follower => {
                    sync(&models[from], &models[to]);
                }
                _ => {}
            }
            for number in 0..models.len() {
                let now = listed(&models[number]);
                let gone = before[number].difference(&now);
                dropped[number].extend(gone.filter(|n| history.removed.contains(n)).copied());
                let back: Vec<_> = dropped[number].intersection(&now).collect();
                prop_assert!(back.is_empty(), "{:?} came back at process {}", back, number);
            }
        }
    }
}

proptest! {
    /// Messages that are lost, late or repeated, over a chain of relays: nobody goes back to
    /// an older list, and all are equal when messages get through again.
    #[test]
    fn all_lists_are_equal_in_the_end(
        steps in prop::collection::vec((0_u32..6, 0_u32..30, 1_u32..9), 1..120),
    ) {
        let clock = sync::Arc::default();
        let models: Vec<_> = [true, true, false, false, false]
            .map(|follows| model(&clock, follows)).into_iter().collect();
        let entries: Vec<_> = (0..10).map(|n| entry(n, 7)).collect();
        for follower in &models[..2] {
            follower.apply(FleetUpdate::Endpoints(1, entries.clone()));
        }
        let mut history = vec![];
        let mut late: Option<(usize, DirectoryUpdate)> = None;
        for (revision, (kind, number, value)) in (2..).zip(steps) {
            let (from, to) = (number as usize % 5, value as usize % 5);
            match kind {
                0 | 1 => {
                    let change = match kind {
                        0 => EndpointChange::Listed(entry(number, value)),
                        _ => EndpointChange::Removed(id(number)),
                    };
                    history.push((revision, change.clone()));
                    models[0].apply(FleetUpdate::EndpointChanges(revision, vec![change]));
                }
                2 => {
                    // The second follower reads what it has missed.
                    for (revision, change) in history.drain(..) {
                        models[1].apply(FleetUpdate::EndpointChanges(revision, vec![change]));
                    }
                }
                3 => late = Some((to, models[from].update_since(models[to].list_base()))),
                4 => if let Some((to, update)) = &late {
                    let before = models[*to].revision();
                    if !models[*to].follows_store() {
                        models[*to].apply(FleetUpdate::PeerEndpoints(update.clone()));
                    }
                    prop_assert!(models[*to].revision() >= before);
                },
                _ => if !models[to].follows_store() {
                    sync(&models[from], &models[to]);
                },
            }
        }
        let last = EndpointChange::Listed(entry(99, 1));
        models[0].apply(FleetUpdate::EndpointChanges(10_000, vec![last]));
        for pair in [(0, 2), (2, 3), (3, 4), (0, 2), (2, 3), (3, 4)] {
            sync(&models[pair.0], &models[pair.1]);
        }
        let last = EndpointChange::Listed(entry(99, 2));
        models[0].apply(FleetUpdate::EndpointChanges(10_001, vec![last]));
        for pair in [(0, 2), (2, 3), (3, 4)] {
            sync(&models[pair.0], &models[pair.1]);
            prop_assert_eq!(models[pair.1].digest(), models[0].digest());
        }
    }

    /// The changes since any revision, applied to the list of that revision, give the list.
    #[test]
    fn a_log_knows_all_changes_or_says_that_it_does_not(
        changes in prop::collection::vec((0_u64..3, 0_u32..20), 1..60),
        since in 0_u64..100,
    ) {
        let mut log = directory_transfer::ChangeLog::default();
        log.restart(5);
        let mut revision = 5;
        let mut expected = collections::BTreeSet::new();
        for (step, number) in changes {
            revision += step;
            log.record(revision, id(number));
            if revision > since {
                expected.insert(id(number));
            }
        }
        match log.since(since) {
            None => prop_assert!(since < 5),
            Some(known) => {
                let known: collections::BTreeSet<_> = known.into_iter().cloned().collect();
                prop_assert_eq!(known, expected);
            }
        }
    }
}
