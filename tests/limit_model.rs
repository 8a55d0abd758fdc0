//! Every run of a small fleet up to a number of steps: three gateways and two keepers of
//! one limit, over the decision code of the product.
//!
//! Each step lasts a second and has one of four cuts, one of six events, and callers
//! that take all that there is, or nothing. Nothing is drawn by chance.

use std::{cell, time};

use jayhollow::{
    clock::MonotonicTime,
    decisions::rate_limits::{
        rate_limit::{LimitTolerance, RateLimit},
        share_clock::{QuotaServerView, ShareClock, ShareTime},
        token_pools::{PoolDeposit, PoolTable, TokenGrant},
    },
    ids,
};
use rand::{rngs, SeedableRng as _};

const GATEWAYS: usize = 3;
const KEEPERS: usize = 2;
/// Steps of the runs with the tests; more by the environment: `LIMIT_MODEL_STEPS=4`.
const STEPS: usize = 3;
/// Time without faults before the first step, in which pools fill.
const WARM_UP_MS: u64 = 4_000;
const STEP_MS: u64 = 1_000;
const TICK_MS: u64 = 250;

/// Which processes stand on the other side of a cut: gateways, then keepers.
const CUTS: [[bool; GATEWAYS + KEEPERS]; 4] = [
    [false, false, false, false, false],
    [true, false, false, true, false],
    [true, true, false, false, true],
    [true, true, true, false, false],
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StepEvent {
    Nothing,
    KeeperRestarts,
    GatewayRestarts,
    /// A keeper stands still; what was sent to it comes when it goes on.
    KeeperFreezes,
    /// Deposits come a step later.
    DepositsAreLate,
    /// Deposits come twice.
    DepositsAreRepeated,
}

const EVENTS: [StepEvent; 6] = [
    StepEvent::Nothing,
    StepEvent::KeeperRestarts,
    StepEvent::GatewayRestarts,
    StepEvent::KeeperFreezes,
    StepEvent::DepositsAreLate,
    StepEvent::DepositsAreRepeated,
];

/// What the model does wrong, to show that it is noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SeededFault {
    None,
    /// A gateway makes a deposit that may have arrived once more.
    DepositsAgain,
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
    boards: Vec<PoolTable>,
    /// Deposits on their way, with the keepers that they go to.
    held: Vec<(usize, PoolDeposit)>,
    spent: u32,
}

struct FleetModel {
    limit: RateLimit,
    tolerance: LimitTolerance,
    fault: SeededFault,
    runs: cell::Cell<u64>,
    worst: cell::Cell<u32>,
}

fn keeper_id(quota_server: usize) -> ids::InstanceId {
    format!("d-{quota_server}")
        .parse()
        .expect("it is an identifier")
}

fn fresh_gateway(seed: u64) -> GatewayState {
    GatewayState {
        run: ids::RunNumber::random(),
        shares: ShareClock::default(),
        rng: rngs::SmallRng::seed_from_u64(seed),
    }
}

impl FleetState {
    fn now(&self) -> MonotonicTime {
        MonotonicTime((1_000_000 + self.now_ms) * 1000)
    }
}

impl FleetModel {
    fn new(steps: usize, fault: SeededFault) -> Self {
        Self {
            limit: RateLimit::new(40.0, 40.0).expect("the rate is positive"),
            tolerance: LimitTolerance {
                window: time::Duration::from_secs(steps as u64),
                overage: 0.1,
                slack: 20.0,
            },
            fault,
            runs: cell::Cell::new(0),
            worst: cell::Cell::new(0),
        }
    }

    fn board(&self, quota_server: usize, now: MonotonicTime) -> PoolTable {
        PoolTable::new(keeper_id(quota_server), self.tolerance, now)
    }

    fn begin(&self) -> FleetState {
        let mut state = FleetState {
            now_ms: 0,
            gateways: (0..GATEWAYS).map(|g| fresh_gateway(g as u64)).collect(),
            boards: Vec::new(),
            held: Vec::new(),
            spent: 0,
        };
        state.boards = (0..KEEPERS).map(|k| self.board(k, state.now())).collect();
        while state.now_ms < WARM_UP_MS {
            self.tick(&mut state, &CUTS[0], StepEvent::Nothing, false);
        }
        state
    }

    /// The keepers on the side of a process.
    fn keepers_beside(cut: &[bool; GATEWAYS + KEEPERS], process: usize) -> Vec<ids::InstanceId> {
        let beside = (0..KEEPERS).filter(|k| cut[GATEWAYS + k] == cut[process]);
        beside.map(keeper_id).collect()
    }

    fn tick(
        &self,
        state: &mut FleetState,
        cut: &[bool; GATEWAYS + KEEPERS],
        event: StepEvent,
        is_hot: bool,
    ) {
        state.now_ms += TICK_MS;
        let now = state.now();
        for quota_server in 0..KEEPERS {
            let quota_servers = Self::keepers_beside(cut, GATEWAYS + quota_server);
            state.boards[quota_server].set_quota_servers(&quota_servers, |_| Some(self.limit), now);
        }
        for gateway in 0..GATEWAYS {
            let quota_servers = Self::keepers_beside(cut, gateway);
            state.gateways[gateway]
                .shares
                .set_quota_servers(&quota_servers, now);
            for quota_server in 0..KEEPERS {
                if cut[GATEWAYS + quota_server] == cut[gateway] {
                    self.deposit(
                        state,
                        (gateway, quota_server),
                        QuotaServerView::of(&quota_servers),
                        event,
                    );
                    if is_hot && !(event == StepEvent::KeeperFreezes && quota_server == 0) {
                        self.draw(state, quota_server);
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
            .take(&keeper_id(quota_server), now, &mut sender.rng)
        else {
            return;
        };
        let deposit = PoolDeposit {
            run: sender.run,
            number: due.number,
            time: ShareTime::of(due.time, GATEWAYS),
            view,
            stamp: now,
        };
        if self.fault == SeededFault::DepositsAgain {
            sender.shares.put_back(&keeper_id(quota_server), &due);
        }
        let is_frozen = event == StepEvent::KeeperFreezes && quota_server == 0;
        if is_frozen || event == StepEvent::DepositsAreLate {
            state.held.push((quota_server, deposit));
            return;
        }
        state.boards[quota_server].deposit(&deposit, now);
        if event == StepEvent::DepositsAreRepeated {
            state.boards[quota_server].deposit(&deposit, now);
            state.held.push((quota_server, deposit));
        }
    }

    fn draw(&self, state: &mut FleetState, quota_server: usize) {
        let workspace = "w".parse().expect("it is an identifier");
        let now = state.now();
        let drawn = state.boards[quota_server].grant(&workspace, &self.limit, 10_000, now);
        if let TokenGrant::Tokens(count) = drawn {
            state.spent += count;
        }
    }

    fn step(
        &self,
        state: &mut FleetState,
        cut: &[bool; GATEWAYS + KEEPERS],
        event: StepEvent,
        is_hot: bool,
    ) {
        let now = state.now();
        for (quota_server, deposit) in std::mem::take(&mut state.held) {
            state.boards[quota_server].deposit(&deposit, now);
        }
        match event {
            StepEvent::KeeperRestarts => state.boards[0] = self.board(0, now),
            StepEvent::GatewayRestarts => state.gateways[0] = fresh_gateway(7),
            _ => {}
        }
        for _ in 0..STEP_MS / TICK_MS {
            self.tick(state, cut, event, is_hot);
        }
    }

    /// Plays all runs from a state on.
    fn explore(&self, state: &FleetState, steps: usize) {
        self.worst.set(self.worst.get().max(state.spent));
        if steps == 0 {
            return self.runs.set(self.runs.get() + 1);
        }
        for cut in &CUTS {
            for event in EVENTS {
                for is_hot in [true, false] {
                    let mut next = state.clone();
                    self.step(&mut next, cut, event, is_hot);
                    self.explore(&next, steps - 1);
                }
            }
        }
    }

    fn explore_all(&self, steps: usize) {
        self.explore(&self.begin(), steps);
        println!(
            "steps={steps} runs={} most_spent={} bound={:.0}",
            self.runs.get(),
            self.worst.get(),
            self.tolerance.bound(&self.limit)
        );
    }
}

fn steps() -> usize {
    let named = std::env::var("LIMIT_MODEL_STEPS").ok();
    named.and_then(|steps| steps.parse().ok()).unwrap_or(STEPS)
}

#[test]
fn no_run_spends_more_than_the_bound() {
    let model = FleetModel::new(steps(), SeededFault::None);
    model.explore_all(steps());
    let bound = model.tolerance.bound(&model.limit);
    assert!(f64::from(model.worst.get()) <= bound);
    // The pools are of use: the burst can be had at once.
    assert!(f64::from(model.worst.get()) > model.limit.burst);
}

#[test]
fn deposits_that_are_made_again_are_found() {
    let model = FleetModel::new(2, SeededFault::DepositsAgain);
    model.explore_all(2);
    let sound = FleetModel::new(2, SeededFault::None);
    sound.explore_all(2);
    assert!(model.worst.get() > sound.worst.get());
}
