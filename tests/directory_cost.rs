//! Cost of changes of the list of endpoints, and equality with a list made anew.
//!
//! At 10,002 endpoints each change of one entry cost every process 36 ms of a core: it
//! rebuilt the services, the state of all addresses and the digest, for which each entry
//! was formatted as text, and then weighed every endpoint against each of 150 dispatchers.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    cell, collections, net, rc, time,
};

use jayhollow::{
    clock,
    decisions::{endpoint_backoff, ownership},
    ids,
    serving::directory::{ChangeTiming, EndpointChange, EndpointDirectory, EndpointEntry},
};
use proptest::prelude::*;

thread_local! {
    static ALLOCATED: cell::Cell<u64> = const { cell::Cell::new(0) };
}

/// Allocator that counts the bytes that each thread allocates.
struct CountingAllocator;

// SAFETY: all calls are passed on unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.set(ALLOCATED.get() + layout.size() as u64);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn at(millis: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(millis * 1000)
}

fn id(number: u32) -> ids::EndpointId {
    format!("i-{number:06}").parse().expect("a name")
}

fn entry(number: u32) -> EndpointEntry {
    let address = net::Ipv4Addr::from(0x0a00_0000 + number);
    EndpointEntry {
        id: id(number),
        service: "llm".parse().expect("a name"),
        address: net::SocketAddr::from((address, 8080)),
        domain: format!("z-{}", number % 5).parse().expect("a name"),
        slots: 7,
        leaving: false,
        started: Some(ids::StartTime(1)),
        cold_ms: 0,
        software: None,
    }
}

fn directory(count: u32) -> EndpointDirectory {
    let mut directory = EndpointDirectory::default();
    let listed = (0..count).map(|n| EndpointChange::Listed(entry(n)));
    directory.apply(listed.collect(), ChangeTiming::default());
    directory.take_reassessed();
    directory
}

/// Returns the entries examined and the bytes allocated by one change of each kind.
fn cost_of_changes(count: u32) -> (u64, u64) {
    let mut directory = directory(count);
    let changed = EndpointEntry {
        slots: 6,
        ..entry(count / 2)
    };
    let draining = EndpointEntry {
        leaving: true,
        ..entry(count / 3)
    };
    let changes = [
        EndpointChange::Listed(changed),
        EndpointChange::Listed(draining),
        EndpointChange::Removed(id(count / 4)),
        EndpointChange::Listed(entry(count / 4)),
    ];
    let (examined, allocated) = (directory.examined(), ALLOCATED.get());
    for change in changes {
        directory.apply(vec![change], ChangeTiming::default());
        assert_ne!(directory.digest(), 0);
        assert!(directory.take_reassessed().len() <= 1);
    }
    let started = Some(ids::StartTime(1));
    directory.record_misidentified(&id(count / 5), started, at(0));
    directory.record_verified(&id(count / 5));
    (directory.examined() - examined, ALLOCATED.get() - allocated)
}

#[test]
fn a_change_costs_the_same_in_a_list_of_any_length() {
    let [small, large] = [1_000, 20_000].map(cost_of_changes);
    // Five changes search their place in a list of 20,000 instead of 1,000, twice each.
    assert!(large.0 <= small.0 + 10 * 6, "{small:?} {large:?}");
    assert!(large.1 <= small.1 + 1024, "{small:?} {large:?}");
    assert!(large.1 < 16 * 1024, "{large:?}");
}

#[test]
fn owners_in_other_domains_are_not_weighed() {
    let candidates: Vec<_> = (0..150)
        .map(|n| ownership::OwnerCandidate {
            id: format!("d-{n}").parse().expect("a name"),
            domain: format!("z-{}", n % 5).parse().expect("a name"),
        })
        .collect();
    let index = ownership::OwnerIndex::new(&candidates);
    for number in 0..500 {
        let EndpointEntry { id, domain, .. } = entry(number);
        let owner = ownership::owner_of(&id, &domain, &candidates).expect("there is one");
        for candidate in &candidates {
            let is_owner = index.is_owner(&candidate.id, &id, &domain);
            assert_eq!(is_owner, *candidate == *owner);
        }
    }
    let elsewhere = "z-9".parse().expect("a name");
    let owner = ownership::owner_of(&id(7), &elsewhere, &candidates).expect("there is one");
    assert!(index.is_owner(&owner.id, &id(7), &elsewhere));
}

/// A list of which everything is made anew after each step.
struct PlainList {
    entries: collections::BTreeMap<ids::EndpointId, EndpointEntry>,
    backoff: endpoint_backoff::EndpointBackoff,
    verified: collections::BTreeSet<ids::EndpointId>,
}

impl PlainList {
    fn new() -> Self {
        Self {
            entries: collections::BTreeMap::new(),
            backoff: endpoint_backoff::EndpointBackoff::new(endpoint_backoff::BackoffRange {
                first: time::Duration::from_secs(1),
                last: time::Duration::from_secs(8),
                spread: 0.0,
            }),
            verified: collections::BTreeSet::new(),
        }
    }

    fn usable(&self) -> Vec<&EndpointEntry> {
        let is_usable = |entry: &&EndpointEntry| {
            let later = self.entries.values().any(|other| {
                let is_backed_off = self.backoff.is_backed_off(&other.id);
                let is_holder = other.address == entry.address && !is_backed_off;
                let starts = entry.started.zip(other.started);
                is_holder && starts.is_some_and(|(own, other)| own < other)
            });
            !entry.leaving && !self.backoff.is_backed_off(&entry.id) && !later
        };
        self.entries.values().filter(is_usable).collect()
    }

    fn unverified(&self) -> Vec<ids::EndpointId> {
        let usable = self.usable();
        let is_unverified = |entry: &&&EndpointEntry| {
            let holders = usable.iter().filter(|e| e.address == entry.address);
            let is_shared = holders.count() > 1;
            (is_shared && !self.verified.contains(&entry.id)) || self.backoff.contains(&entry.id)
        };
        let unverified = usable.iter().filter(is_unverified);
        unverified.map(|entry| entry.id.clone()).collect()
    }
}

#[derive(Debug, Clone)]
enum Step {
    List {
        number: u32,
        address: u16,
        started: Option<u64>,
        leaving: bool,
    },
    Remove(u32),
    Misidentify(u32),
    Verify(u32),
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let number = 0_u32..8;
    let step = prop_oneof![
        4 => (number.clone(), 0_u16..4, proptest::option::of(1_u64..4), any::<bool>()).prop_map(
            |(number, address, started, leaving)| Step::List { number, address, started, leaving }
        ),
        2 => number.clone().prop_map(Step::Remove),
        2 => number.clone().prop_map(Step::Misidentify),
        2 => number.prop_map(Step::Verify),
        2 => (100_u64..4000).prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    /// Entries that share addresses, start again, leave, are misidentified and verified in
    /// any order: what is kept up to date is what is made anew.
    #[test]
    fn the_list_kept_up_to_date_equals_one_made_anew(steps in steps()) {
        let mut directory = EndpointDirectory::default();
        let mut plain = PlainList::new();
        let mut now = at(0);
        let timing = ChangeTiming::default();
        for step in steps {
            match step {
                Step::List { number, address, started, leaving } => {
                    let entry = EndpointEntry {
                        address: net::SocketAddr::from(([10, 0, 0, 1], address)),
                        started: started.map(ids::StartTime),
                        leaving,
                        ..entry(number)
                    };
                    plain.backoff.forget(&entry.id);
                    plain.verified.remove(&entry.id);
                    plain.entries.insert(entry.id.clone(), entry.clone());
                    directory.apply(vec![EndpointChange::Listed(entry)], timing);
                }
                Step::Remove(number) => {
                    plain.entries.remove(&id(number));
                    plain.verified.remove(&id(number));
                    directory.apply(vec![EndpointChange::Removed(id(number))], timing);
                }
                Step::Misidentify(number) => {
                    if let Some(entry) = plain.entries.get(&id(number)) {
                        plain.backoff.record(&entry.id, now, &mut rand::rng());
                        directory.record_misidentified(&entry.id, entry.started, now);
                    }
                }
                Step::Verify(number) => {
                    if plain.unverified().contains(&id(number)) {
                        plain.backoff.forget(&id(number));
                        plain.verified.insert(id(number));
                    }
                    directory.record_verified(&id(number));
                }
                Step::Pass(millis) => {
                    now = now + time::Duration::from_millis(millis);
                    plain.backoff.expire(now);
                    directory.retry_misidentified(now);
                }
            }
            let listed = directory.of_service(&"llm".parse().expect("a name"));
            let listed: Vec<_> = listed.iter().map(|e| (**e).clone()).collect();
            let usable: Vec<_> = plain.usable().into_iter().cloned().collect();
            prop_assert_eq!(&listed, &usable);
            let unverified = plain.unverified();
            for number in 0..8 {
                let is_unverified = directory.is_unverified(&id(number));
                prop_assert_eq!(is_unverified, unverified.contains(&id(number)));
            }
            let mut anew = EndpointDirectory::default();
            let entries = plain.entries.values().cloned().map(EndpointChange::Listed);
            anew.apply(entries.collect(), timing);
            prop_assert_eq!(directory.digest(), anew.digest());
        }
    }

    /// Who owns what, kept up by the changes alone, is what is computed from the whole list.
    #[test]
    fn ownership_kept_up_to_date_equals_one_made_anew(numbers in prop::collection::vec(0_u32..30, 1..60)) {
        use jayhollow::serving::permits;

        let candidates: Vec<_> = ["a", "b", "c"].map(|name| ownership::OwnerCandidate {
            id: name.parse().expect("a name"),
            domain: "z-1".parse().expect("a name"),
        }).to_vec();
        let owners = ownership::OwnerIndex::new(&candidates);
        let own = "a".parse().expect("a name");
        let is_owned = |e: &&rc::Rc<EndpointEntry>| owners.is_owner(&own, &e.id, &e.domain);
        let mut directory = EndpointDirectory::default();
        let mut permits = permits::PermitTable::default();
        for number in numbers {
            let change = match directory.usable(&id(number)) {
                Some(_) => EndpointChange::Removed(id(number)),
                None => EndpointChange::Listed(entry(number)),
            };
            directory.apply(vec![change], ChangeTiming::default());
            for id in directory.take_reassessed() {
                let owned = directory.usable(&id).filter(is_owned);
                permits.update_owned(&id, owned);
            }
            let mut kept: Vec<_> = permits.owned().map(|e| e.id.clone()).collect();
            let mut anew: Vec<_> = directory.all_usable().filter(is_owned).map(|e| e.id.clone()).collect();
            kept.sort();
            anew.sort();
            prop_assert_eq!(kept, anew);
        }
    }
}
