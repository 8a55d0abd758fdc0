//! Exhaustive exploration of a small fleet up to a number of steps: three gateways and two
//! quota servers of one limit, running the decision code of the product.
//!
//! Each step lasts a second and combines one of four partitions, one of nine events, and
//! callers that take either all available tokens or none. Nothing is left to chance. The start
//! records of the quota servers are durable: they outlive restarts.

use std::{cell, time};

use jayhollow::{
    clock::MonotonicTime,
    decisions::rate_limits::{
        rate_limit::{LimitTolerance, RateLimit},
        share_clock::{QuotaServerView, ShareClock, ShareTime},
        start_credit::{decide_on_record, EpochMs, GatewayFraction, StartRecord},
        token_pools::{PoolDeposit, PoolTable, TokenGrant},
    },
    ids,
};
use rand::{rngs, Rng as _, SeedableRng as _};
use rstest::rstest;

const GATEWAYS: usize = 3;
const QUOTA_SERVERS: usize = 2;
/// Number of steps by default; `LIMIT_MODEL_STEPS=4` sets another one.
const STEPS: usize = 3;
/// Time without faults before the first step, in which the pools fill.
const WARM_UP_MS: u64 = 4_000;
const STEP_MS: u64 = 1_000;
const TICK_MS: u64 = 250;
/// Time after a start for which all listed quota servers count, as in the product.
const LISTED_MS: u64 = 1_500;
/// Wall-clock time at the start of the model.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Side of each partition that a process is on: gateways first, then quota servers.
const PARTITIONS: [[bool; GATEWAYS + QUOTA_SERVERS]; 4] = [
    [false, false, false, false, false],
    [true, false, false, true, false],
    [true, true, false, false, true],
    [true, true, true, false, false],
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StepEvent {
    Nothing,
    QuotaServerRestarts,
    GatewayRestarts,
    /// A quota server is suspended; messages to it are processed when it resumes.
    QuotaServerFreezes,
    /// Deposits arrive one step late.
    DepositsAreLate,
    /// Deposits arrive twice.
    DepositsAreRepeated,
    /// All processes restart; the gateways learn of the quota servers one after the other.
    AllRestart,
    /// All processes restart, and know all quota servers of the member records at first.
    AllRestartListed,
    /// All gateways restart.
    AllGatewaysRestart,
}

const EVENTS: [StepEvent; 9] = [
    StepEvent::Nothing,
    StepEvent::QuotaServerRestarts,
    StepEvent::GatewayRestarts,
    StepEvent::QuotaServerFreezes,
    StepEvent::DepositsAreLate,
    StepEvent::DepositsAreRepeated,
    StepEvent::AllRestart,
    StepEvent::AllRestartListed,
    StepEvent::AllGatewaysRestart,
];

/// What a step may combine.
struct StepChoices {
    partitions: &'static [[bool; GATEWAYS + QUOTA_SERVERS]],
    events: &'static [StepEvent],
    /// Whether callers take all available tokens.
    demands: &'static [bool],
}

const ALL_CHOICES: StepChoices = StepChoices {
    partitions: &PARTITIONS,
    events: &EVENTS,
    demands: &[true, false],
};

/// Choices that bring start credits, for runs of more steps.
const RESTARTS: StepChoices = StepChoices {
    partitions: &[PARTITIONS[0]],
    events: &[
        StepEvent::Nothing,
        StepEvent::QuotaServerRestarts,
        StepEvent::AllRestartListed,
        StepEvent::AllGatewaysRestart,
    ],
    demands: &[true],
};

/// Choices that bring most start credits, for as many restarts in a row as possible.
const FULL_RESTARTS: StepChoices = StepChoices {
    events: &[StepEvent::Nothing, StepEvent::AllRestartListed],
    ..RESTARTS
};

/// Defect injected into the model, to show that the exploration detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InjectedDefect {
    None,
    /// A gateway repeats a deposit that may have arrived.
    RepeatedDeposits,
    /// A quota server accepts start credits whatever its start record says.
    StartCreditsWithoutRecord,
}

#[derive(Clone)]
struct GatewayState {
    run: ids::RunNumber,
    shares: ShareClock,
    rng: rngs::SmallRng,
}

#[derive(Clone)]
struct FleetState {
    now_ms: u64,
    gateways: Vec<GatewayState>,
    tables: Vec<PoolTable>,
    /// Deposits in flight, each with the quota server that it goes to.
    in_flight: Vec<(usize, PoolDeposit)>,
    /// Start record on the disk of each quota server.
    records: [StartRecord; QUOTA_SERVERS],
    /// Time until which all listed quota servers count.
    listed_until_ms: u64,
    spent: u32,
}

struct FleetModel {
    limit: RateLimit,
    tolerance: LimitTolerance,
    defect: InjectedDefect,
    step_ms: u64,
    runs: cell::Cell<u64>,
    most_spent: cell::Cell<u32>,
}

fn quota_server_id(quota_server: usize) -> ids::InstanceId {
    format!("d-{quota_server}")
        .parse()
        .expect("the identifier is valid")
}

fn fresh_gateway(seed: u64, now: MonotonicTime) -> GatewayState {
    GatewayState {
        run: ids::RunNumber::random(),
        shares: ShareClock::starting_at(now),
        rng: rngs::SmallRng::seed_from_u64(seed),
    }
}

impl FleetState {
    fn now(&self) -> MonotonicTime {
        MonotonicTime((1_000_000 + self.now_ms) * 1000)
    }

    fn epoch(&self) -> EpochMs {
        EpochMs(EPOCH_MS + self.now_ms)
    }
}

impl FleetModel {
    fn new(steps: usize, defect: InjectedDefect) -> Self {
        Self::with_step(steps, STEP_MS, defect)
    }

    fn with_step(steps: usize, step_ms: u64, defect: InjectedDefect) -> Self {
        Self {
            limit: RateLimit::new(40.0, 40.0).expect("the rate is positive"),
            tolerance: LimitTolerance {
                window: time::Duration::from_millis(steps as u64 * step_ms),
                overage: 0.1,
                slack: 20.0,
            },
            defect,
            step_ms,
            runs: cell::Cell::new(0),
            most_spent: cell::Cell::new(0),
        }
    }

    fn new_table(&self, quota_server: usize, now: MonotonicTime) -> PoolTable {
        PoolTable::new(quota_server_id(quota_server), self.tolerance, now)
    }

    /// Starts a quota server, which reads and replaces its start record.
    fn start_quota_server(&self, state: &mut FleetState, quota_server: usize) {
        let mut table = self.new_table(quota_server, state.now());
        table.reserve_start_credits(state.now());
        let epoch = state.epoch();
        let record = &mut state.records[quota_server];
        let decision = decide_on_record(*record, epoch, self.tolerance.window);
        if decision.writes {
            *record = StartRecord::StartedAt(epoch);
        }
        let permission = match self.defect {
            InjectedDefect::StartCreditsWithoutRecord => Ok(()),
            _ => decision.permission,
        };
        table.permit_start_credits(permission, state.now());
        state.tables[quota_server] = table;
    }

    fn begin(&self) -> FleetState {
        let mut state = FleetState {
            now_ms: 0,
            gateways: Vec::new(),
            tables: (0..QUOTA_SERVERS)
                .map(|k| self.new_table(k, MonotonicTime::default()))
                .collect(),
            in_flight: Vec::new(),
            records: [StartRecord::Missing; QUOTA_SERVERS],
            listed_until_ms: 0,
            spent: 0,
        };
        self.restart_all(&mut state);
        while state.now_ms < WARM_UP_MS {
            self.tick(&mut state, &PARTITIONS[0], StepEvent::Nothing, false);
        }
        // The warm-up stands for a long time without a start.
        state.records = [StartRecord::StartedAt(EpochMs(0)); QUOTA_SERVERS];
        state
    }

    /// Restarts all processes. Messages in flight are lost with their connections.
    fn restart_all(&self, state: &mut FleetState) {
        let now = state.now();
        let gateways = 0..GATEWAYS;
        state.gateways = gateways.map(|g| fresh_gateway(g as u64, now)).collect();
        for quota_server in 0..QUOTA_SERVERS {
            self.start_quota_server(state, quota_server);
        }
        state.in_flight.clear();
    }

    /// Returns the quota servers that a process counts: those on its side of the partition, and
    /// soon after a restart of all processes those of the member records.
    fn known_quota_servers(
        state: &FleetState,
        partition: &[bool; GATEWAYS + QUOTA_SERVERS],
        process: usize,
    ) -> Vec<ids::InstanceId> {
        let is_known = |k: &usize| {
            let is_reachable = partition[GATEWAYS + k] == partition[process];
            is_reachable || state.now_ms < state.listed_until_ms
        };
        let known = (0..QUOTA_SERVERS).filter(is_known);
        known.map(quota_server_id).collect()
    }

    fn tick(
        &self,
        state: &mut FleetState,
        partition: &[bool; GATEWAYS + QUOTA_SERVERS],
        event: StepEvent,
        is_saturated: bool,
    ) {
        state.now_ms += TICK_MS;
        let now = state.now();
        for quota_server in 0..QUOTA_SERVERS {
            let quota_servers =
                Self::known_quota_servers(state, partition, GATEWAYS + quota_server);
            let table = &mut state.tables[quota_server];
            table.set_quota_servers(&quota_servers, |_| Some(self.limit), now);
            table.complete_list();
        }
        for gateway in 0..GATEWAYS {
            let quota_servers = Self::known_quota_servers(state, partition, gateway);
            state.gateways[gateway]
                .shares
                .set_quota_servers(&quota_servers, now);
            for quota_server in 0..QUOTA_SERVERS {
                if partition[GATEWAYS + quota_server] == partition[gateway] {
                    self.deposit(
                        state,
                        (gateway, quota_server),
                        QuotaServerView::of(&quota_servers),
                        event,
                    );
                    if is_saturated
                        && !(event == StepEvent::QuotaServerFreezes && quota_server == 0)
                    {
                        self.request_tokens(state, quota_server);
                    }
                }
            }
        }
    }

    fn deposit(
        &self,
        state: &mut FleetState,
        (gateway, quota_server): (usize, usize),
        view: QuotaServerView,
        event: StepEvent,
    ) {
        let now = state.now();
        let sender = &mut state.gateways[gateway];
        let Some(due) = sender
            .shares
            .take(&quota_server_id(quota_server), now, &mut sender.rng)
        else {
            return;
        };
        let deposit = PoolDeposit {
            run: sender.run,
            number: due.number,
            time: ShareTime::of(due.time, GATEWAYS),
            view,
            stamp: now,
            start_credit: due.is_first.then(|| GatewayFraction::of(GATEWAYS)),
        };
        if self.defect == InjectedDefect::RepeatedDeposits {
            sender.shares.put_back(&quota_server_id(quota_server), &due);
        }
        let is_frozen = event == StepEvent::QuotaServerFreezes && quota_server == 0;
        if is_frozen || event == StepEvent::DepositsAreLate {
            state.in_flight.push((quota_server, deposit));
            return;
        }
        state.tables[quota_server].receive(&deposit, now);
        if event == StepEvent::DepositsAreRepeated {
            state.tables[quota_server].receive(&deposit, now);
            state.in_flight.push((quota_server, deposit));
        }
    }

    fn request_tokens(&self, state: &mut FleetState, quota_server: usize) {
        let workspace = "w".parse().expect("the identifier is valid");
        let now = state.now();
        let grant = state.tables[quota_server].grant(&workspace, &self.limit, 10_000, now);
        if let TokenGrant::Tokens(count) = grant {
            state.spent += count;
        }
    }

    fn step(
        &self,
        state: &mut FleetState,
        partition: &[bool; GATEWAYS + QUOTA_SERVERS],
        event: StepEvent,
        is_saturated: bool,
    ) {
        let now = state.now();
        for (quota_server, deposit) in std::mem::take(&mut state.in_flight) {
            state.tables[quota_server].receive(&deposit, now);
        }
        match event {
            StepEvent::QuotaServerRestarts => self.start_quota_server(state, 0),
            StepEvent::GatewayRestarts => state.gateways[0] = fresh_gateway(7, now),
            StepEvent::AllGatewaysRestart => {
                for (number, gateway) in state.gateways.iter_mut().enumerate() {
                    *gateway = fresh_gateway(7 + number as u64, now);
                }
            }
            StepEvent::AllRestartListed => {
                self.restart_all(state);
                state.listed_until_ms = state.now_ms + LISTED_MS;
            }
            StepEvent::AllRestart => {
                self.restart_all(state);
                // The gateways first know one quota server only.
                for gateway in &mut state.gateways {
                    let first = [quota_server_id(0)];
                    gateway.shares.set_quota_servers(&first, now);
                }
            }
            _ => {}
        }
        for _ in 0..self.step_ms / TICK_MS {
            self.tick(state, partition, event, is_saturated);
        }
    }

    /// Explores all runs from a state.
    fn explore(&self, state: &FleetState, steps: usize, choices: &StepChoices) {
        self.most_spent.set(self.most_spent.get().max(state.spent));
        if steps == 0 {
            return self.runs.set(self.runs.get() + 1);
        }
        for partition in choices.partitions {
            for event in choices.events {
                for is_saturated in choices.demands {
                    let mut next = state.clone();
                    self.step(&mut next, partition, *event, *is_saturated);
                    self.explore(&next, steps - 1, choices);
                }
            }
        }
    }

    fn explore_all(&self, steps: usize) {
        self.explore_choices(steps, &ALL_CHOICES);
    }

    fn explore_choices(&self, steps: usize, choices: &StepChoices) {
        self.explore(&self.begin(), steps, choices);
        println!(
            "steps={steps} runs={} most_spent={} bound={:.0}",
            self.runs.get(),
            self.most_spent.get(),
            self.tolerance.bound(&self.limit)
        );
    }
}

fn steps() -> usize {
    let override_steps = std::env::var("LIMIT_MODEL_STEPS").ok();
    override_steps
        .and_then(|steps| steps.parse().ok())
        .unwrap_or(STEPS)
}

#[test]
fn spent_tokens_stay_within_the_bound_in_all_runs() {
    let model = FleetModel::new(steps(), InjectedDefect::None);
    model.explore_all(steps());
    let bound = model.tolerance.bound(&model.limit);
    assert!(f64::from(model.most_spent.get()) <= bound);
    // The pools are useful: the whole burst is available at once.
    assert!(f64::from(model.most_spent.get()) > model.limit.burst);
}

#[test]
fn repeated_deposits_are_detected() {
    let model = FleetModel::new(2, InjectedDefect::RepeatedDeposits);
    model.explore_all(2);
    let without_defect = FleetModel::new(2, InjectedDefect::None);
    without_defect.explore_all(2);
    assert!(model.most_spent.get() > without_defect.most_spent.get());
}

/// Returns the most that is spent in any run of restarts in a row, and the bound.
fn most_spent_over_restarts(
    (steps, step_ms): (usize, u64),
    choices: &StepChoices,
    defect: InjectedDefect,
) -> (f64, f64) {
    let model = FleetModel::with_step(steps, step_ms, defect);
    model.explore_choices(steps, choices);
    let bound = model.tolerance.bound(&model.limit);
    (f64::from(model.most_spent.get()), bound)
}

/// Guards against start credits that exceed the bound when processes restart repeatedly.
#[rstest]
#[case::some_or_all((8, 500), &RESTARTS)]
#[case::all((12, TICK_MS), &FULL_RESTARTS)]
fn spent_tokens_stay_within_the_bound_over_restarts_in_a_row(
    #[case] steps: (usize, u64),
    #[case] choices: &StepChoices,
) {
    let (most_spent, bound) = most_spent_over_restarts(steps, choices, InjectedDefect::None);
    assert!(most_spent <= bound);
}

#[test]
fn start_credits_without_a_record_are_detected() {
    let defect = InjectedDefect::StartCreditsWithoutRecord;
    let steps = (12, TICK_MS);
    let (most_spent, bound) = most_spent_over_restarts(steps, &FULL_RESTARTS, defect);
    assert!(most_spent > bound);
}

/// Admitted requests per second of the rate, in each quarter of a second after a restart of
/// all processes. A gateway probes at its own pace, first knows a part of the quota servers,
/// and knows all of them half a second after its start.
fn admitted_after_restart(seed: u64) -> Vec<f64> {
    const PROCESSES: u64 = 40;
    let model = FleetModel::new(5, InjectedDefect::None);
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let at = |ms: u64| MonotonicTime((1_000_000 + ms) * 1000);
    let mut tables: Vec<_> = (0..QUOTA_SERVERS)
        .map(|k| model.new_table(k, at(0)))
        .collect();
    let all: Vec<_> = (0..QUOTA_SERVERS).map(quota_server_id).collect();
    for table in &mut tables {
        table.set_quota_servers(&all, |_| Some(model.limit), at(0));
    }
    let mut gateways: Vec<_> = (0..PROCESSES)
        .map(|g| (fresh_gateway(seed + g, at(0)), rng.random_range(450..550)))
        .collect();
    let workspace = "w".parse().expect("the identifier is valid");
    let mut admitted = [0.0; 16];
    for ms in 0..admitted.len() as u64 * 250 {
        for (gateway, knows_at) in &mut gateways {
            match ms {
                100 => gateway.shares.set_quota_servers(&all[..1], at(ms)),
                _ if ms == *knows_at => gateway.shares.set_quota_servers(&all, at(ms)),
                _ => {}
            }
            if ms < *knows_at || (ms - *knows_at) % 250 != 0 {
                continue;
            }
            for (table, id) in tables.iter_mut().zip(&all) {
                let Some(due) = gateway.shares.take(id, at(ms), &mut gateway.rng) else {
                    continue;
                };
                let deposit = PoolDeposit {
                    run: gateway.run,
                    number: due.number,
                    time: ShareTime::of(due.time, PROCESSES as usize),
                    view: due.view,
                    stamp: at(ms),
                    start_credit: None,
                };
                table.deposit(&deposit, at(ms));
            }
        }
        for table in &mut tables {
            if let TokenGrant::Tokens(count) = table.grant(&workspace, &model.limit, 99, at(ms)) {
                admitted[ms as usize / 250] += f64::from(count);
            }
        }
    }
    let due = model.limit.rate.per_second() / 4.0;
    admitted.iter().map(|count| count / due).collect()
}

/// Guards against pools that stay empty after a power loss: deposits that cover only the
/// time since the last change of the list of quota servers.
#[test]
fn the_rate_is_admitted_soon_after_a_restart_of_all_processes() {
    for seed in 0..8 {
        let admitted = admitted_after_restart(seed);
        println!("seed={seed} admitted={admitted:.2?}");
        let afterwards: f64 = admitted[8..].iter().sum::<f64>() / 8.0;
        assert!(afterwards >= 0.95, "{afterwards}");
    }
}

/// Guards against a first deposit that covers only the time since the last change of the
/// list of quota servers.
#[test]
fn the_first_deposit_covers_the_time_since_the_start() {
    let started_at = MonotonicTime(1_000_000);
    let after_ms = |ms: u64| MonotonicTime(started_at.0 + ms * 1000);
    let mut gateway = fresh_gateway(0, started_at);
    let all: Vec<_> = (0..QUOTA_SERVERS).map(quota_server_id).collect();
    gateway.shares.set_quota_servers(&all[..1], after_ms(100));
    gateway.shares.set_quota_servers(&all, after_ms(500));
    for quota_server in &all {
        let rng = &mut gateway.rng;
        let due = gateway.shares.take(quota_server, after_ms(510), rng);
        let due = due.expect("the first deposit is due at once");
        assert_eq!(due.time, time::Duration::from_millis(510));
    }
    // From then on a change forfeits the time before it, as a workspace may have moved.
    gateway.shares.set_quota_servers(&all[1..], after_ms(700));
    let rng = &mut gateway.rng;
    let due = gateway.shares.take(&all[1], after_ms(1200), rng);
    let time = due.map(|due| due.time);
    assert_eq!(time, Some(time::Duration::from_millis(500)));
}
