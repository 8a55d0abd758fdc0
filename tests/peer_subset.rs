//! Subsets of dispatchers that processes probe, at the sizes of small and large fleets.
//!
//! At the start of 985 processes each opened a link to every other, as it probed all peers
//! until one had responded, and 150 ever after: 24 GB in the first three seconds.

use std::collections;

use jayhollow::{
    clock,
    decisions::{liveness, ownership, peer_subset},
    ids,
    serving::members,
};
use rand::{Rng as _, SeedableRng as _};
use rstest::rstest;

/// Failure domains of the fleets.
const DOMAINS: usize = 5;

fn member(role: &str, number: usize) -> ownership::OwnerCandidate {
    let domain = number % DOMAINS;
    ownership::OwnerCandidate {
        id: format!("{role}-z{domain}-{number}")
            .parse()
            .expect("a name"),
        domain: format!("z{domain}").parse().expect("a name"),
    }
}

fn fleet(role: &str, count: usize) -> Vec<ownership::OwnerCandidate> {
    (0..count).map(|number| member(role, number)).collect()
}

#[rstest]
#[case(1)]
#[case(13)]
#[case(16)]
fn a_small_fleet_is_probed_whole(#[case] count: usize) {
    let dispatchers = fleet("d", count);
    let own = member("g", 0);
    let subset = peer_subset::choose(&own, &dispatchers, peer_subset::GATEWAY_SUBSET);
    assert_eq!(subset.len(), count);
}

#[test]
fn probe_rate_is_bounded_for_any_number_of_peers() {
    let roles = [peer_subset::DISPATCHER_SUBSET, peer_subset::GATEWAY_SUBSET];
    let interval = members::PROBE_INTERVAL.as_secs_f64();
    let all = fleet("d", 400);
    for count in 1..400 {
        for (number, size) in roles.into_iter().enumerate() {
            let subset = peer_subset::choose(&all[number], &all[..count], size);
            let rate = subset.len() as f64 / interval;
            assert!(rate <= 64.0, "{rate} probes per second with {count} peers");
        }
    }
    // A gateway of a large fleet probes each at every second round.
    let timeout = members::PEER_TIMEOUT.as_secs_f64();
    assert!(timeout > 1.5 * 2.0 * interval, "lost between two probes");
}

/// Links of the gateways to the dispatcher that has most, over its fair share.
#[rstest]
#[case(50, 17)]
#[case(195, 195)]
#[case(835, 150)]
#[case(1700, 300)]
fn links_are_bounded_and_balanced(#[case] gateways: usize, #[case] dispatchers: usize) {
    let dispatchers = fleet("d", dispatchers);
    let size = peer_subset::GATEWAY_SUBSET;
    let mut links = collections::HashMap::<ids::InstanceId, usize>::new();
    for gateway in fleet("g", gateways) {
        let subset = peer_subset::choose(&gateway, &dispatchers, size);
        assert!(subset.len() <= size.same_domain + size.other_domains);
        let domain = format!("-{}-", gateway.domain);
        let same = subset.iter().filter(|id| id.as_str().contains(&domain));
        let possible = dispatchers.iter().filter(|d| d.domain == gateway.domain);
        assert_eq!(same.count(), possible.count().min(size.same_domain));
        for id in subset {
            *links.entry(id).or_default() += 1;
        }
    }
    let fair = (gateways * (size.same_domain + size.other_domains)) as f64;
    let fair = fair / dispatchers.len() as f64;
    let most = links.values().max().copied().unwrap_or_default() as f64;
    // Six standard deviations of the number that falls to one of them.
    assert!(
        most <= fair + 6.0 * fair.sqrt(),
        "{most} links, {fair:.0} is fair"
    );
}

/// A process that leaves or joins moves few links of the others.
#[test]
fn one_dispatcher_less_moves_only_its_own_links() {
    let dispatchers = fleet("d", 150);
    let size = peer_subset::GATEWAY_SUBSET;
    for gateway in fleet("g", 100) {
        let before = peer_subset::choose(&gateway, &dispatchers, size);
        let after = peer_subset::choose(&gateway, &dispatchers[1..], size);
        let moved = after.iter().filter(|id| !before.contains(id)).count();
        let had = before.contains(&dispatchers[0].id);
        assert_eq!(moved, usize::from(had));
    }
}

/// Dispatchers of an emulated fleet that exchange their beats by their subsets.
struct BeatFleet {
    dispatchers: Vec<ownership::OwnerCandidate>,
    subsets: Vec<Vec<usize>>,
    tables: Vec<liveness::BeatTable>,
    beats: Vec<u64>,
    round: usize,
    rng: rand::rngs::SmallRng,
}

const ROUND: std::time::Duration = std::time::Duration::from_millis(250);
const TIMEOUT: std::time::Duration = std::time::Duration::from_millis(1600);

impl BeatFleet {
    fn new(count: usize) -> Self {
        let dispatchers = fleet("d", count);
        let numbers: collections::HashMap<_, _> = dispatchers
            .iter()
            .enumerate()
            .map(|(number, d)| (d.id.clone(), number))
            .collect();
        let subsets = dispatchers.iter().map(|d| {
            let subset = peer_subset::choose(d, &dispatchers, peer_subset::DISPATCHER_SUBSET);
            subset.iter().map(|id| numbers[id]).collect()
        });
        Self {
            subsets: subsets.collect(),
            tables: (0..count).map(|_| liveness::BeatTable::default()).collect(),
            beats: vec![0; count],
            round: 0,
            dispatchers,
            rng: rand::rngs::SmallRng::seed_from_u64(7),
        }
    }

    fn hash(&self, number: usize) -> liveness::MemberHash {
        liveness::MemberHash::of(&self.dispatchers[number].id)
    }

    fn send(&mut self, from: usize, to: usize, is_full: bool, now: clock::MonotonicTime) {
        let mut beats = match is_full {
            true => self.tables[from].live(TIMEOUT, now),
            false => Vec::new(),
        };
        beats.push(liveness::MemberBeat {
            member: self.hash(from),
            beat: liveness::BeatNumber(self.beats[from]),
            state: liveness::BeatState::default(),
        });
        for beat in beats {
            self.tables[to].record(&beat, TIMEOUT, now);
        }
    }

    /// Plays one round; those in `dead` take no part, and a share of the messages is lost.
    fn play(&mut self, now: clock::MonotonicTime, dead: &[usize], lost: f64) {
        self.round += 1;
        for from in 0..self.subsets.len() {
            if dead.contains(&from) {
                continue;
            }
            self.beats[from] += 250;
            for (number, to) in self.subsets[from].clone().into_iter().enumerate() {
                // One of three probes exchanges the beats of others.
                let is_full = (number + self.round).is_multiple_of(3);
                let is_lost = self.rng.random_bool(lost);
                if !dead.contains(&to) && !is_lost {
                    self.send(from, to, is_full, now);
                    self.send(to, from, is_full, now);
                }
            }
        }
    }

    /// Returns the number of pairs of which one believes the other alive.
    fn believed(&self, about: &[usize], dead: &[usize], now: clock::MonotonicTime) -> usize {
        let observers = (0..self.tables.len()).filter(|n| !dead.contains(n));
        let pairs = observers.flat_map(|n| about.iter().map(move |other| (n, *other)));
        let alive = pairs.filter(|(n, other)| {
            let state = self.tables[*n].live_state(self.hash(*other), TIMEOUT, now);
            n != other && state.is_some()
        });
        alive.count()
    }
}

/// Each process sends nine heartbeats a round whatever the size; everyone is known to live
/// within a few rounds, and a dead one to be dead within its timeout and as many rounds.
#[rstest]
#[case(60, 0.0)]
#[case(150, 0.1)]
fn all_know_who_lives_although_each_probes_a_few(#[case] count: usize, #[case] lost: f64) {
    let mut fleet = BeatFleet::new(count);
    let all: Vec<_> = (0..count).collect();
    let mut now = clock::MonotonicTime(1_000_000);
    for _ in 0..4 {
        fleet.play(now, &[], lost);
        now = now + ROUND;
    }
    assert_eq!(fleet.believed(&all, &[], now), count * (count - 1));
    for _ in 0..8 {
        fleet.play(now, &[], lost);
        now = now + ROUND;
        assert_eq!(fleet.believed(&all, &[], now), count * (count - 1));
    }
    let dead = [3, 4, 5];
    for _ in 0..10 {
        fleet.play(now, &dead, lost);
        now = now + ROUND;
    }
    assert_eq!(
        fleet.believed(&dead, &dead, now),
        0,
        "beats in circles keep nobody alive"
    );
    let living: Vec<_> = all.into_iter().filter(|n| !dead.contains(n)).collect();
    let pairs = living.len() * (living.len() - 1);
    assert_eq!(fleet.believed(&living, &dead, now), pairs);
}

/// After a kill of all, 985 processes waited 4 s for a list that no peer had yet, and then
/// all read the store at once: none had the list 20 s later.
#[rstest]
#[case(985)]
#[case(2_000)]
fn processes_that_get_no_list_from_peers_read_the_store_one_after_another(#[case] count: usize) {
    let mut starts = collections::BTreeMap::<u64, usize>::new();
    for process in fleet("p", count) {
        let timeout = peer_subset::list_timeout(&process.id, count);
        *starts.entry(timeout.as_secs()).or_default() += 1;
    }
    let busiest = starts.values().max().copied().unwrap_or_default();
    assert!(busiest <= 80, "{busiest} of {count} in one second");
}

/// All processes of a fleet that the store sent no members for two seconds read the list of
/// endpoints from it at the same moment.
#[rstest]
#[case(985)]
#[case(2_000)]
fn processes_that_get_no_members_act_one_after_another(#[case] count: usize) {
    let mut starts = collections::BTreeMap::<u64, usize>::new();
    for process in fleet("p", count) {
        let timeout = peer_subset::member_timeout(&process.id);
        *starts.entry(timeout.as_secs()).or_default() += 1;
    }
    let busiest = starts.values().max().copied().unwrap_or_default();
    assert!(busiest <= 80, "{busiest} of {count} in one second");
}
