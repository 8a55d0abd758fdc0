//! Staged requests: which endpoint may take one, and a surge that is played through the
//! tables of an owner with the time that each message takes.

use std::{cmp, collections, net, rc, time};

use jayhollow::{
    clock,
    decisions::{
        endpoint_doubt::{FailureEvidence, SuspectUse},
        staging::{self, StagingCandidate},
    },
    ids,
    serving::{
        directory, peers, permits,
        slot_queue::{SlotQueues, WaitOutcome},
        waiting_grants,
    },
};
use rand::{Rng as _, SeedableRng as _};
use rstest::rstest;

const SLOTS: u32 = 8;
const HOLD: time::Duration = time::Duration::from_millis(500);
/// Half of an objective of 300 ms, less 40 ms to the first event.
const WAIT: time::Duration = time::Duration::from_millis(110);
/// Latest start of a run whose first event is within the objective.
const LATEST_START: time::Duration = time::Duration::from_millis(260);

fn millis(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

fn service() -> ids::ServiceName {
    "s".parse().expect("a name")
}

fn id(name: &str) -> ids::EndpointId {
    name.parse().expect("a name")
}

fn entry(name: &str, slots: u32) -> rc::Rc<directory::EndpointEntry> {
    rc::Rc::new(directory::EndpointEntry {
        id: id(name),
        service: service(),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: "z".parse().expect("a name"),
        slots,
        leaving: false,
        started: None,
        cold_ms: 0,
        software: None,
    })
}

fn request(number: u64, workspace: usize, priority: u32) -> peers::OnlineSlotRequest {
    let workspace: ids::WorkspaceId = format!("w{workspace}").parse().expect("a name");
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
        may_queue: true,
        wait: WAIT,
        single_attempt: false,
        use_of_suspects: SuspectUse::Probe,
        ticket: Some(peers::QueueTicket {
            digest: ids::RequestDigest::of("", "", &number.to_string(), b""),
            workspace: Some(workspace),
            priority,
            deadline: millis(5000),
        }),
    }
}

/// Returns a request that can wait for the release of a slot of four.
fn patient(number: u64) -> peers::OnlineSlotRequest {
    peers::OnlineSlotRequest {
        wait: millis(200),
        ..request(number, 0, 1)
    }
}

const FULL: StagingCandidate = StagingCandidate {
    held: SLOTS,
    slots: SLOTS,
    has_staged: false,
    hold_time: Some(HOLD),
};

/// Guards against a staged request at an endpoint where it would wait in vain, or behind
/// another one.
#[rstest]
#[case::full(FULL, 94, true)]
#[case::too_late(FULL, 93, false)]
#[case::a_slot_is_free(StagingCandidate { held: SLOTS - 1, ..FULL }, 200, false)]
#[case::has_a_queue(StagingCandidate { held: SLOTS + 1, ..FULL }, 200, false)]
#[case::has_a_staged_one(StagingCandidate { has_staged: true, ..FULL }, 200, false)]
#[case::unknown_hold_time(StagingCandidate { hold_time: None, ..FULL }, 200, false)]
#[case::no_slots(StagingCandidate { held: 0, slots: 0, ..FULL }, 200, false)]
fn a_full_endpoint_takes_one_request_in_time(
    #[case] candidate: StagingCandidate,
    #[case] wait_ms: u64,
    #[case] may_stage: bool,
) {
    assert_eq!(candidate.may_stage(millis(wait_ms)), may_stage);
}

/// Guards against a choice of an endpoint whose next slot is released later.
#[test]
fn the_earliest_release_is_chosen() {
    let slow = StagingCandidate {
        hold_time: Some(HOLD * 2),
        ..FULL
    };
    let busy = StagingCandidate {
        has_staged: true,
        ..FULL
    };
    let choose = |candidates: &[(StagingCandidate, &'static str)], wait| {
        staging::choose(candidates.iter().copied(), millis(wait))
    };
    let all = [(slow, "a"), (FULL, "c"), (FULL, "b")];
    assert_eq!(choose(&all, 200), Some("b"));
    assert_eq!(choose(&[(slow, "a"), (busy, "b")], 200), Some("a"));
    assert_eq!(choose(&[(slow, "a"), (busy, "b")], 150), None);
}

/// Returns a table of full endpoints whose runs are known to take half a second. The permits
/// are numbered from 1.
fn full_table(endpoints: &[&str], slots: u32) -> permits::PermitTable {
    let mut table = permits::PermitTable::default();
    let entries: Vec<_> = endpoints.iter().map(|name| entry(name, slots)).collect();
    table.set_owned(&entries);
    let none = collections::HashSet::new();
    let first = request(0, 0, 1);
    table.acquire(&first, &none, at(0)).expect("it is free");
    table.release_served(0, at(500)).expect("it is held");
    for number in 1..=u64::from(slots) * endpoints.len() as u64 {
        let slot = table.acquire(&request(number, 0, 1), &none, at(500));
        slot.expect("a slot is free");
    }
    table
}

/// Guards against a staged request at an endpoint that cannot be trusted to serve it.
#[rstest]
#[case::trusted(|_: &mut permits::PermitTable| {}, true)]
#[case::suspect(|table: &mut permits::PermitTable| {
    table.record_failure(&id("a"), FailureEvidence::Silent, at(500));
}, false)]
#[case::backed_off(|table: &mut permits::PermitTable| table.record_refused(&id("a"), at(500)), false)]
#[case::refused_staging(|table: &mut permits::PermitTable| {
    table.record_staging_refused(&id("a"), at(500));
}, false)]
#[case::unverified(|table: &mut permits::PermitTable| table.set_unverified(|_| true), false)]
fn only_trusted_endpoints_take_a_staged_request(
    #[case] prepare: fn(&mut permits::PermitTable),
    #[case] may_stage: bool,
) {
    let mut table = full_table(&["a"], 4);
    prepare(&mut table);
    let none = collections::HashSet::new();
    let staged = table.stage(&patient(9), &none, at(500));
    assert_eq!(staged.is_some(), may_stage);
}

/// Guards against a staged request where its endpoint is ejected or excluded, and against
/// one that is granted a second place.
#[test]
fn ejected_and_excluded_endpoints_and_granted_requests_are_not_staged() {
    let mut table = full_table(&["a"], 4);
    let (none, ejected) = (
        collections::HashSet::new(),
        collections::HashSet::from([id("a")]),
    );
    let excluding = peers::OnlineSlotRequest {
        tried: vec![id("a")],
        software: None,
        ..patient(9)
    };
    assert_eq!(table.stage(&patient(9), &ejected, at(500)), None);
    assert_eq!(table.stage(&excluding, &none, at(500)), None);
    assert_eq!(table.stage(&patient(1), &none, at(500)), None);
    assert!(table.stage(&patient(9), &none, at(500)).is_some());
}

/// Guards against a place that stays taken after its staged request has left, and against
/// a hold time that includes the wait in the queue of the endpoint.
#[test]
fn a_staged_request_leaves_its_place_to_the_next() {
    let mut table = full_table(&["a"], 4);
    let none = collections::HashSet::new();
    let stage = |table: &mut permits::PermitTable, number| {
        let slot = table.stage(&patient(number), &none, at(500));
        slot.is_some()
    };
    assert!(stage(&mut table, 9));
    assert!(table.is_staged(9));
    assert!(!stage(&mut table, 10), "one at a time");
    table.release(9);
    assert!(stage(&mut table, 10), "the caller of the first has left");
    let spacing = table.queue_capacity(&service(), at(500)).spacing;
    table.release(1);
    assert!(!table.is_staged(10), "it has the released slot");
    assert_eq!(table.free_online_slots(&service(), at(500)), 0);
    table.release_served(10, at(9000));
    assert_eq!(table.queue_capacity(&service(), at(9000)).spacing, spacing);
    assert_eq!(table.free_online_slots(&service(), at(9000)), 1);
}

/// Guards against more than one request at each endpoint that a later one of higher
/// priority cannot pass.
#[test]
fn a_high_priority_waits_for_one_staged_request_at_each_endpoint() {
    let mut owner = Owner {
        permits: full_table(&["a", "b"], 8),
        ..Owner::default()
    };
    for number in 20..24 {
        owner.enqueue(&request(number, 1, 5), at(500));
    }
    let staged: Vec<_> = owner.serve(at(500)).into_iter().map(|g| g.0).collect();
    assert_eq!(staged, [20, 21]);
    owner.enqueue(&request(30, 2, 0), at(501));
    assert_eq!(owner.serve(at(501)), Vec::new());
    owner.release(1, at(510));
    let next: Vec<_> = owner.serve(at(510)).into_iter().map(|g| g.0).collect();
    assert_eq!(next, [30], "it is next after the staged one");
}

/// The tables of an owner.
struct Owner {
    permits: permits::PermitTable,
    queues: SlotQueues,
    stages: bool,
}

impl Default for Owner {
    fn default() -> Self {
        Self {
            permits: permits::PermitTable::default(),
            queues: SlotQueues::default(),
            stages: true,
        }
    }
}

impl Owner {
    /// Adds a request to the queue; returns the refused ones.
    fn enqueue(
        &mut self,
        request: &peers::OnlineSlotRequest,
        now: clock::MonotonicTime,
    ) -> Vec<(u64, WaitOutcome)> {
        let ticket = request.ticket.clone().expect("it has one");
        let capacity = self.permits.queue_capacity(&service(), now);
        let mut enqueued = self.queues.enqueue(request, &ticket, capacity, now);
        let refused = enqueued.send_refusals();
        // The receiver must outlive the wait: a grant to a dropped one does not count.
        std::mem::forget(enqueued);
        refused
    }

    /// Serves the waiting requests as far as possible; returns the numbers with endpoints.
    fn serve(&mut self, now: clock::MonotonicTime) -> Vec<(u64, ids::EndpointId)> {
        let none = collections::HashSet::new();
        let mut granted = Vec::new();
        let (permits, queues) = (&mut self.permits, &mut self.queues);
        while let Some(grant) =
            waiting_grants::grant_free_slot(permits, queues, &service(), &none, now)
        {
            granted.push((grant.number, grant.slot.endpoint));
        }
        while let Some(grant) = self
            .stages
            .then_some(())
            .and_then(|()| waiting_grants::stage_request(permits, queues, &service(), &none, now))
        {
            granted.push((grant.number, grant.slot.endpoint));
        }
        granted
    }

    fn release(&mut self, number: u64, now: clock::MonotonicTime) {
        self.permits
            .release_served(number, now)
            .expect("it is held");
        self.queues.record_release(&service(), number);
    }
}

/// What happens at a time of the played load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PlayedEvent {
    /// A request reaches the owner.
    Arrival,
    /// A granted request reaches its endpoint.
    Sent,
    /// A run ends.
    End,
    /// The owner learns of the end.
    Release,
    /// The wait of a request is over.
    Expiry,
}

/// What a caller got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Served {
    OnTime,
    Late,
    Refused,
}

#[derive(Debug, Clone)]
struct PlayedCaller {
    workspace: usize,
    arrived_at: clock::MonotonicTime,
    endpoint: Option<ids::EndpointId>,
    served: Served,
}

/// The runs at an endpoint, and the requests in its own queue.
#[derive(Debug, Default)]
struct PlayedEndpoint {
    running: u32,
    waiting: collections::VecDeque<u64>,
}

struct PlayedSurge {
    owner: Owner,
    priorities: Vec<u32>,
    /// Time that each message between two processes takes.
    way: time::Duration,
    endpoints: collections::HashMap<ids::EndpointId, PlayedEndpoint>,
    callers: collections::HashMap<u64, PlayedCaller>,
    events: collections::BinaryHeap<cmp::Reverse<(clock::MonotonicTime, PlayedEvent, u64)>>,
    rng: rand::rngs::SmallRng,
}

/// What the callers of a played surge got, as shares of all.
#[derive(Debug, Default)]
struct PlayedOutcome {
    callers: usize,
    late: usize,
    refused: usize,
    /// Callers and those served on time, by workspace.
    shares: collections::BTreeMap<usize, (u32, u32)>,
}

impl PlayedOutcome {
    fn unserved(&self) -> f64 {
        (self.late + self.refused) as f64 / self.callers as f64
    }

    fn share(&self, workspaces: impl Iterator<Item = usize>) -> f64 {
        let shares = workspaces.map(|workspace| self.shares[&workspace]);
        let (callers, served) = shares.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        f64::from(served) / f64::from(callers)
    }
}

impl PlayedSurge {
    /// Plays 60 s for each of four seeds: a mean load of `load` times the capacity of five
    /// endpoints, which alternates between 0.39 and 1.91 times the mean. Each message takes
    /// 3 ms.
    fn play(weights: &[f64], priorities: &[u32], load: f64, stages: bool) -> PlayedOutcome {
        let mut outcome = PlayedOutcome::default();
        for seed in 1..=4 {
            let mut played = Self {
                owner: Owner {
                    stages,
                    ..Owner::default()
                },
                priorities: priorities.to_vec(),
                way: millis(3),
                endpoints: collections::HashMap::new(),
                callers: collections::HashMap::new(),
                events: collections::BinaryHeap::new(),
                rng: rand::rngs::SmallRng::seed_from_u64(seed),
            };
            played.run(weights, load);
            for caller in played.callers.values() {
                outcome.callers += 1;
                outcome.late += usize::from(caller.served == Served::Late);
                outcome.refused += usize::from(caller.served == Served::Refused);
                let share = outcome.shares.entry(caller.workspace).or_default();
                share.0 += 1;
                share.1 += u32::from(caller.served == Served::OnTime);
            }
        }
        outcome
    }

    fn run(&mut self, weights: &[f64], load: f64) {
        let entries: Vec<_> = ["a", "b", "c", "d", "e"]
            .map(|name| entry(name, SLOTS))
            .into();
        self.owner.permits.set_owned(&entries);
        self.draw_arrivals(weights, entries.len(), load);
        while let Some(cmp::Reverse((now, event, number))) = self.events.pop() {
            match event {
                PlayedEvent::Arrival => self.arrive(number, now),
                PlayedEvent::Sent => self.reach_endpoint(number, now),
                PlayedEvent::End => self.end_run(number, now),
                PlayedEvent::Release => {
                    self.owner.release(number, now);
                    self.serve(now);
                }
                PlayedEvent::Expiry => {
                    let capacity = self.owner.permits.queue_capacity(&service(), now);
                    self.owner.queues.expire(number, capacity, now);
                }
            }
        }
    }

    fn push(&mut self, when: clock::MonotonicTime, event: PlayedEvent, number: u64) {
        self.events.push(cmp::Reverse((when, event, number)));
    }

    fn draw_arrivals(&mut self, weights: &[f64], endpoints: usize, load: f64) {
        let total: f64 = weights.iter().sum();
        let mean = (f64::from(SLOTS) * endpoints as f64) / HOLD.as_secs_f64() * load;
        let (mut now, mut number) = (0.0, 0);
        while now < 60.0 {
            let factor = if now % 6.0 < 3.6 { 0.39 } else { 1.91 };
            now += -self.rng.random::<f64>().max(1e-9).ln() / (mean * factor);
            let mut point = self.rng.random_range(0.0..total);
            let workspace = weights.iter().position(|weight| {
                point -= weight;
                point < 0.0
            });
            let arrived_at = clock::MonotonicTime((now * 1e6) as u64);
            let caller = PlayedCaller {
                workspace: workspace.unwrap_or(0),
                arrived_at,
                endpoint: None,
                served: Served::Refused,
            };
            self.callers.insert(number, caller);
            self.push(arrived_at, PlayedEvent::Arrival, number);
            number += 1;
        }
    }

    fn arrive(&mut self, number: u64, now: clock::MonotonicTime) {
        let workspace = self.callers[&number].workspace;
        let priority = self.priorities[workspace % self.priorities.len()];
        let request = request(number, workspace, priority);
        let free_slot = peers::OnlineSlotRequest {
            may_queue: false,
            ..request.clone()
        };
        let none = collections::HashSet::new();
        if let Some(slot) = self.owner.permits.acquire(&free_slot, &none, now) {
            self.owner.queues.record_grant(&request);
            return self.send(number, slot.endpoint, now);
        }
        self.owner.enqueue(&request, now);
        self.push(now + WAIT, PlayedEvent::Expiry, number);
        self.serve(now);
    }

    fn serve(&mut self, now: clock::MonotonicTime) {
        for (number, endpoint) in self.owner.serve(now) {
            self.send(number, endpoint, now);
        }
    }

    /// Sends the grant to the requester, and from there the request to its endpoint.
    fn send(&mut self, number: u64, endpoint: ids::EndpointId, now: clock::MonotonicTime) {
        let caller = self.callers.get_mut(&number).expect("it is known");
        caller.endpoint = Some(endpoint);
        self.push(now + self.way * 2, PlayedEvent::Sent, number);
    }

    fn reach_endpoint(&mut self, number: u64, now: clock::MonotonicTime) {
        let endpoint = self.callers[&number].endpoint.clone().expect("it has one");
        let state = self.endpoints.entry(endpoint).or_default();
        state.waiting.push_back(number);
        self.start_runs(number, now);
        let endpoint = self.callers[&number].endpoint.clone().expect("it has one");
        assert!(
            self.endpoints[&endpoint].waiting.len() <= 1,
            "two are staged"
        );
    }

    /// Starts what waits at the endpoint of a request while there are free slots.
    fn start_runs(&mut self, number: u64, now: clock::MonotonicTime) {
        let endpoint = self.callers[&number].endpoint.clone().expect("it has one");
        let state = self.endpoints.entry(endpoint).or_default();
        while state.running < SLOTS {
            let Some(next) = state.waiting.pop_front() else {
                return;
            };
            state.running += 1;
            let caller = self.callers.get_mut(&next).expect("it is known");
            caller.served = match now.since(caller.arrived_at) <= LATEST_START {
                true => Served::OnTime,
                false => Served::Late,
            };
            let end = now + HOLD.mul_f64(self.rng.random_range(0.5..1.5));
            self.events
                .push(cmp::Reverse((end, PlayedEvent::End, next)));
        }
    }

    fn end_run(&mut self, number: u64, now: clock::MonotonicTime) {
        let endpoint = self.callers[&number].endpoint.clone().expect("it has one");
        self.endpoints.entry(endpoint).or_default().running -= 1;
        self.start_runs(number, now);
        self.push(now + self.way * 2, PlayedEvent::Release, number);
    }
}

fn one_busy_workspace() -> Vec<f64> {
    (0..20).map(|w| if w == 0 { 12.0 } else { 1.0 }).collect()
}

/// Guards against slots that are idle for the time of the messages from the end of a run to
/// the next request.
#[rstest]
#[case::surges_above_capacity(0.65, 0.92)]
#[case::mean_at_capacity(1.0, 0.98)]
fn fewer_callers_are_late_or_refused(#[case] load: f64, #[case] most: f64) {
    let weights = one_busy_workspace();
    let [without, with] =
        [false, true].map(|stages| PlayedSurge::play(&weights, &[1], load, stages).unserved());
    println!("load {load}: late or refused {without:.4} without, {with:.4} with");
    assert!(with < without * most, "{with:.4}, without {without:.4}");
}

/// Guards against a busy workspace at the expense of the others.
#[test]
fn staged_requests_are_fair_among_workspaces() {
    let weights = one_busy_workspace();
    let [without, with] = [false, true].map(|stages| {
        let outcome = PlayedSurge::play(&weights, &[1], 1.0, stages);
        let others: Vec<_> = (1..20).map(|w| outcome.share(w..=w)).collect();
        let mean = others.iter().sum::<f64>() / others.len() as f64;
        let worst = others.iter().copied().fold(1.0, f64::min);
        [mean, worst, outcome.share(0..1)]
    });
    println!("others, worst, busy: {without:.3?} without, {with:.3?} with");
    assert!(with[0] >= without[0], "{with:?}, without {without:?}");
    assert!(with[0] - with[1] <= 0.05, "{with:?}");
    assert!(with[2] < with[0], "the busy workspace is served last");
}

/// Guards against requests of high priority that are refused because others are staged.
#[test]
fn staged_requests_keep_the_order_of_priorities() {
    let [without, with] = [false, true].map(|stages| {
        let outcome = PlayedSurge::play(&[1.0; 12], &[0, 1, 2], 1.0, stages);
        [0, 1, 2].map(|priority| outcome.share((0..12).filter(|w| w % 3 == priority)))
    });
    println!("served by priority: {without:.3?} without, {with:.3?} with");
    assert!(with[0] > with[1] && with[1] > with[2], "{with:?}");
    for (with, without) in with.into_iter().zip(without) {
        assert!(with >= without - 0.01, "{with:.3}, without {without:.3}");
    }
}
