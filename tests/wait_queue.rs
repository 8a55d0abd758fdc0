//! Wait queue of an owner: its order, and a load that is played through it.

use std::{cmp, collections, time};

use jayhollow::{
    clock,
    decisions::{
        endpoint_doubt,
        wait_queue::{QueueCapacity, QueueEntry, QueueRefusal, WaitQueue},
    },
    ids,
    serving::{
        peers,
        slot_queue::{SlotQueues, WaitOutcome},
    },
};
use proptest::prelude::*;
use rand::{Rng as _, SeedableRng as _};

fn millis(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

fn workspace(name: &str) -> Option<ids::WorkspaceId> {
    Some(name.parse().expect("a name"))
}

fn entry(number: u64, name: &str, priority: u32) -> QueueEntry {
    QueueEntry {
        number,
        workspace: workspace(name),
        priority,
        deadline: at(5000 + number),
        grant_by: at(1000),
        is_return: false,
    }
}

const WIDE: QueueCapacity = QueueCapacity {
    spacing: Some(time::Duration::from_millis(10)),
    slots: 10,
    limit: 100,
};

/// Returns the order in which entries get a slot, with the slots still held.
fn served(entries: Vec<QueueEntry>, capacity: QueueCapacity) -> Vec<u64> {
    let mut queue = WaitQueue::default();
    for entry in entries {
        assert_eq!(queue.enqueue(entry, capacity, at(0)), Vec::new());
    }
    let mut order = Vec::new();
    while let Some(number) = queue.candidates(1).first().copied() {
        queue.grant(number).expect("it waits");
        order.push(number);
    }
    order
}

/// Guards against a FIFO queue, in which one busy workspace delays all others.
#[test]
fn entries_are_ordered_by_priority_workspace_return_and_deadline() {
    let urgent = entry(9, "c", 0);
    let early = QueueEntry {
        deadline: at(100),
        ..entry(4, "a", 1)
    };
    let returning = QueueEntry {
        is_return: true,
        ..entry(5, "b", 1)
    };
    let busy = [1, 2, 3].map(|number| entry(number, "a", 1));
    let entries = [busy.to_vec(), vec![early, returning, urgent]].concat();
    assert_eq!(served(entries, WIDE), [9, 5, 4, 1, 2, 3]);
}

/// Guards against starvation of a priority below one that always has waiting requests.
#[test]
fn one_grant_in_ten_goes_to_lower_priorities() {
    let urgent = (0..40).map(|number| entry(number, "a", 0));
    let low = [entry(50, "b", 3), entry(51, "c", 7)];
    let order = served(urgent.chain(low).collect(), WIDE);
    assert_eq!((order[9], order[19]), (50, 51));
}

/// Guards against callers that wait although their turn comes after their latest time, when
/// they arrive or because a more urgent request overtakes them.
#[test]
fn late_entries_are_refused_at_once() {
    let mut queue = WaitQueue::default();
    let soon = |number, name, priority| QueueEntry {
        grant_by: at(30),
        ..entry(number, name, priority)
    };
    for number in 0..3 {
        let refused = queue.enqueue(soon(number, "a", 1), WIDE, at(0));
        assert_eq!(refused, Vec::new());
    }
    let late = queue.enqueue(soon(3, "b", 2), WIDE, at(0));
    assert_eq!(
        (late[0].entry.number, late[0].reason, late[0].ahead),
        (3, QueueRefusal::TooLate, 3)
    );
    let overtaken = queue.enqueue(soon(4, "b", 0), WIDE, at(0));
    let numbers: Vec<_> = overtaken
        .iter()
        .map(|refused| refused.entry.number)
        .collect();
    assert_eq!((numbers, queue.len()), (vec![2], 3));
}

#[derive(Debug, Clone)]
enum Step {
    Enqueue(u8, u32, u64),
    Grant,
    Release(usize),
    Remove(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..5u8, 0..3u32, 1..200u64).prop_map(|(w, p, d)| Step::Enqueue(w, p, d)),
        3 => Just(Step::Grant),
        2 => any::<usize>().prop_map(Step::Release),
        1 => any::<usize>().prop_map(Step::Remove),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    /// Guards against entries that are lost or granted twice, and against an order that
    /// differs from the one by which late entries are refused.
    #[test]
    fn each_entry_leaves_once_in_the_projected_order(steps in steps()) {
        let mut queue = WaitQueue::default();
        let (mut waiting, mut held) = (Vec::new(), Vec::new());
        for (number, step) in (0_u64..).zip(steps) {
            match step {
                Step::Enqueue(name, priority, latest) => {
                    let entry = QueueEntry {
                        grant_by: at(latest),
                        ..entry(number, &name.to_string(), priority)
                    };
                    waiting.push(number);
                    for refused in queue.enqueue(entry, WIDE, at(0)) {
                        waiting.retain(|n| *n != refused.entry.number);
                    }
                }
                Step::Grant => {
                    let next = queue.candidates(1).first().copied();
                    prop_assert_eq!(next, queue.projected_order().first().copied());
                    if let Some(next) = next {
                        queue.grant(next);
                        waiting.retain(|n| *n != next);
                        held.push(next);
                    }
                }
                Step::Release(index) if !held.is_empty() => {
                    queue.record_release(held.swap_remove(index % held.len()));
                }
                Step::Remove(index) if !waiting.is_empty() => {
                    let removed = waiting.swap_remove(index % waiting.len());
                    prop_assert!(queue.remove(removed).is_some());
                    prop_assert!(queue.remove(removed).is_none());
                }
                Step::Release(_) | Step::Remove(_) => {}
            }
            let mut order = queue.projected_order();
            order.sort_unstable();
            waiting.sort_unstable();
            prop_assert_eq!(&order, &waiting);
        }
    }
}

/// A caller of the played load.
#[derive(Debug, Clone, Copy)]
struct PlayedCaller {
    workspace: usize,
    is_retry: bool,
    returns_on_time: bool,
}

/// What happens at a time of the played load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PlayedEvent {
    Arrival,
    Release,
    Expiry,
}

/// What the callers of the played load got.
#[derive(Debug, Default)]
struct PlayedOutcome {
    /// Callers and served callers by workspace.
    shares: collections::BTreeMap<usize, (u32, u32)>,
    /// Callers that returned at their booked time, and served ones of these.
    returns: (u32, u32),
}

impl PlayedOutcome {
    fn share(&self, workspace: usize) -> f64 {
        let (callers, served) = self.shares[&workspace];
        f64::from(served) / f64::from(callers)
    }
}

const SLOTS: u32 = 40;
const HOLD: time::Duration = time::Duration::from_millis(500);
const WAIT: time::Duration = time::Duration::from_millis(100);
/// Time that remains to a caller that retries is 5 s, of which it waits a third at most.
const MAX_RETRY: time::Duration = time::Duration::from_millis(1600);

/// The load and the owner through which it is played.
struct PlayedLoad {
    queues: SlotQueues,
    service: ids::ServiceName,
    events: collections::BinaryHeap<cmp::Reverse<(clock::MonotonicTime, PlayedEvent, u64)>>,
    callers: collections::HashMap<u64, PlayedCaller>,
    free_slots: u32,
    rng: rand::rngs::SmallRng,
    outcome: PlayedOutcome,
}

impl PlayedLoad {
    /// Plays 60 s of arrivals: `weights` are the shares of the workspaces in a mean load of
    /// `load` times the capacity, which alternates between 0.39 and 1.91 times the mean.
    fn play(weights: &[f64], priorities: &[u32], load: f64) -> PlayedOutcome {
        let mut played = Self {
            queues: SlotQueues::default(),
            service: "s".parse().expect("a name"),
            events: collections::BinaryHeap::new(),
            callers: collections::HashMap::new(),
            free_slots: SLOTS,
            rng: rand::rngs::SmallRng::seed_from_u64(7),
            outcome: PlayedOutcome::default(),
        };
        played.draw_arrivals(weights, load);
        while let Some(cmp::Reverse((now, event, number))) = played.events.pop() {
            match event {
                PlayedEvent::Arrival => played.arrive(number, priorities, now),
                PlayedEvent::Expiry => {
                    let ended = played.queues.expire(number, Self::capacity(), now);
                    if let Some((outcome, _)) = ended {
                        played.refuse(number, &outcome, now);
                    }
                }
                PlayedEvent::Release => {
                    played.free_slots += 1;
                    played.queues.record_release(&played.service, number);
                    played.serve_waiting(now);
                }
            }
        }
        played.outcome
    }

    fn capacity() -> QueueCapacity {
        QueueCapacity {
            spacing: Some(HOLD / SLOTS),
            slots: SLOTS,
            limit: 4 * SLOTS as usize,
        }
    }

    fn draw_arrivals(&mut self, weights: &[f64], load: f64) {
        let total: f64 = weights.iter().sum();
        let mean = f64::from(SLOTS) / HOLD.as_secs_f64() * load;
        let (mut now, mut number) = (0.0, 0);
        while now < 60.0 {
            let factor = if now % 6.0 < 3.6 { 0.39 } else { 1.91 };
            now += -self.rng.random::<f64>().max(1e-9).ln() / (mean * factor);
            let mut point = self.rng.random_range(0.0..total);
            let workspace = weights.iter().position(|weight| {
                point -= weight;
                point < 0.0
            });
            let caller = PlayedCaller {
                workspace: workspace.unwrap_or(0),
                is_retry: false,
                returns_on_time: false,
            };
            self.outcome.shares.entry(caller.workspace).or_default().0 += 1;
            self.callers.insert(number, caller);
            self.push(at((now * 1000.0) as u64), PlayedEvent::Arrival, number);
            number += 1;
        }
    }

    fn push(&mut self, when: clock::MonotonicTime, event: PlayedEvent, number: u64) {
        self.events.push(cmp::Reverse((when, event, number)));
    }

    fn request(&self, number: u64, priorities: &[u32]) -> peers::OnlineSlotRequest {
        let caller = self.callers[&number];
        // A retry has another number and the same digest.
        let digest = ids::RequestDigest::of("", "", &(number % (1 << 32)).to_string(), b"");
        peers::OnlineSlotRequest {
            number,
            holder: ids::InstanceRun {
                instance: "g".parse().expect("a name"),
                run: ids::RunNumber::default(),
            },
            domain: "z".parse().expect("a name"),
            service: self.service.clone(),
            tried: Vec::new(),
            software: None,
            may_queue: true,
            wait: WAIT,
            single_attempt: false,
            use_of_suspects: endpoint_doubt::SuspectUse::Probe,
            ticket: Some(peers::QueueTicket {
                digest,
                workspace: workspace(&format!("w{}", caller.workspace)),
                priority: priorities[caller.workspace % priorities.len()],
                deadline: millis(5000),
            }),
        }
    }

    fn arrive(&mut self, number: u64, priorities: &[u32], now: clock::MonotonicTime) {
        let request = self.request(number, priorities);
        let ticket = request.ticket.clone().expect("it has one");
        if self.free_slots > 0 {
            self.queues.record_grant(&request);
            return self.begin(number, now);
        }
        let mut enqueued = self
            .queues
            .enqueue(&request, &ticket, Self::capacity(), now);
        self.push(now + WAIT, PlayedEvent::Expiry, number);
        for (refused, outcome) in enqueued.send_refusals() {
            self.refuse(refused, &outcome, now);
        }
        // The receiver must outlive the wait: a grant to a dropped one does not count.
        std::mem::forget(enqueued);
    }

    fn begin(&mut self, number: u64, now: clock::MonotonicTime) {
        self.free_slots -= 1;
        let caller = self.callers[&number];
        self.outcome.shares.entry(caller.workspace).or_default().1 += 1;
        self.outcome.returns.1 += u32::from(caller.returns_on_time);
        let end = now + HOLD.mul_f64(self.rng.random_range(0.5..1.5));
        self.push(end, PlayedEvent::Release, number);
    }

    fn serve_waiting(&mut self, now: clock::MonotonicTime) {
        while self.free_slots > 0 {
            let next = self.queues.candidates(&self.service).first().copied();
            let Some(number) = next else { return };
            let endpoint = "e".parse().expect("a name");
            let granted = self.queues.grant(&self.service, number, endpoint, now);
            assert!(
                granted.is_some_and(|waited| waited <= WAIT),
                "it waits too long"
            );
            self.begin(number, now);
        }
    }

    fn refuse(&mut self, number: u64, outcome: &WaitOutcome, now: clock::MonotonicTime) {
        let WaitOutcome::Refused(_, Some(delay)) = outcome else {
            panic!("no return time: {outcome:?}");
        };
        let caller = self.callers[&number];
        if caller.is_retry {
            return;
        }
        let retry = PlayedCaller {
            is_retry: true,
            returns_on_time: *delay <= MAX_RETRY,
            ..caller
        };
        self.outcome.returns.0 += u32::from(retry.returns_on_time);
        let number = number + (1 << 32);
        self.callers.insert(number, retry);
        let way = millis(self.rng.random_range(2..8));
        self.push(
            now + (*delay).min(MAX_RETRY) + way,
            PlayedEvent::Arrival,
            number,
        );
    }
}

/// Guards against a busy workspace at the expense of the others, and against callers that
/// are told to return at a time at which they are refused again.
#[test]
fn a_hot_workspace_does_not_take_the_slots_of_the_others() {
    let weights: Vec<_> = (0..20).map(|w| if w == 0 { 12.0 } else { 1.0 }).collect();
    let outcome = PlayedLoad::play(&weights, &[1], 1.0);
    let others: Vec<_> = (1..20).map(|workspace| outcome.share(workspace)).collect();
    let mean = others.iter().sum::<f64>() / others.len() as f64;
    let worst = others.iter().copied().fold(1.0, f64::min);
    assert!(mean - worst <= 0.05, "mean {mean:.3} worst {worst:.3}");
    assert!(mean >= 0.95, "mean {mean:.3}");
    assert!(outcome.share(0) < mean, "the hot workspace is served last");
    let (returned, served) = outcome.returns;
    assert!(returned > 500, "{returned} returned");
    let share = f64::from(served) / f64::from(returned);
    assert!(share >= 0.9, "{share:.3} of {returned} returns are served");
}

/// Guards against a low priority that is never served, and a high one that is not preferred.
#[test]
fn higher_priorities_are_served_first_and_none_starves() {
    let outcome = PlayedLoad::play(&[1.0; 12], &[0, 1, 2], 1.3);
    let share = |priority: usize| {
        let of_priority = (0..12).filter(|workspace| workspace % 3 == priority);
        of_priority.map(|w| outcome.share(w)).sum::<f64>() / 4.0
    };
    let shares = [share(0), share(1), share(2)];
    assert!(shares[0] > shares[1] && shares[1] > shares[2], "{shares:?}");
    assert!(shares[2] >= 0.1, "{shares:?}");
}
