//! Rate limits over an emulated fleet: the decision code of gateways and keepers in
//! virtual time, with keepers that are lost, cut off and frozen.

pub mod pooled;
mod referee;
pub mod world;

use std::time;

use rand::{rngs, Rng as _, SeedableRng as _};

use super::BenchResult;
use crate::decisions::rate_limits::rate_limit;

/// Flags of `jayhollow-bench limits`.
#[derive(Debug, Clone, clap::Args)]
pub struct LimitFlags {
    /// Seed of the first run.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Runs, each with the next seed.
    #[arg(long, default_value_t = 5)]
    pub runs: u64,
    /// Processes that serve callers.
    #[arg(long, default_value_t = 61)]
    pub gateways: usize,
    /// Processes that may keep pools.
    #[arg(long, default_value_t = 12)]
    pub dispatchers: usize,
    /// Workspaces.
    #[arg(long, default_value_t = 79)]
    pub workspaces: usize,
    /// Requests a second of all workspaces together.
    #[arg(long, default_value_t = 560.0)]
    pub rate: f64,
    /// Seconds of traffic.
    #[arg(long, default_value_t = 34)]
    pub seconds: u64,
}

/// What happens in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitScenario {
    /// Nothing.
    Calm,
    /// Some workspaces send many times their limit.
    Hot,
    /// A third of the gateways and of the keepers is cut off from the others, and some
    /// workspaces are hot.
    Cut,
    /// All keepers are killed at once, and some workspaces are hot.
    Killed,
    /// Faults from the seed, overlapping, beside hot workspaces.
    Mixed,
}

/// All scenarios.
pub const SCENARIOS: [LimitScenario; 5] = [
    LimitScenario::Calm,
    LimitScenario::Hot,
    LimitScenario::Cut,
    LimitScenario::Killed,
    LimitScenario::Mixed,
];

/// Step of virtual time.
const STEP: time::Duration = time::Duration::from_millis(10);
/// Time in which pools fill before traffic comes.
const LEAD: time::Duration = time::Duration::from_secs(10);
/// Limit of a workspace over its usual rate.
const LIMIT_FACTOR: f64 = 1.6;
/// Rate of a hot workspace over its usual rate.
const HOT_FACTOR: f64 = 8.0;
/// Of so many workspaces one is hot.
const HOT_EACH: usize = 8;
/// Most arrivals of a workspace in a step.
const MOST_ARRIVALS: usize = 1000;
/// Traffic comes in bursts: length of a cycle, part of it that is a burst, and the
/// factors of the burst and of the time between.
const CYCLE_S: f64 = 6.6;
const BURST_PART: f64 = 0.42;
const BURST_FACTORS: (f64, f64) = (1.84, 0.377);

/// One run.
#[derive(Debug, Clone)]
pub struct LimitPlan {
    /// Seed of its luck.
    pub seed: u64,
    /// What happens.
    pub scenario: LimitScenario,
    /// Size of the fleet.
    pub gateways: usize,
    /// Processes that may keep pools.
    pub dispatchers: usize,
    /// Workspaces.
    pub workspaces: usize,
    /// Requests a second of all workspaces together.
    pub rate: f64,
    /// Length of the traffic.
    pub traffic: time::Duration,
}

/// What a run showed.
#[derive(Debug, Clone, Default)]
pub struct LimitReport {
    /// Requests.
    pub asked: usize,
    /// Requests inside their limit, by a bucket for the whole fleet.
    pub owed: usize,
    /// Requests that could have been served inside the limits, and were not.
    pub refused_inside: usize,
    /// Largest count in a window over what the window may have.
    pub worst_window: f64,
    /// Time after the last fault from which on nothing inside the limit is refused for
    /// lack of an answer.
    pub unchecked_after: time::Duration,
    /// Messages that gateways sent.
    pub messages: usize,
    /// Bytes of them and of their answers, without those of the transport.
    pub bytes: usize,
}

/// How limits are kept.
pub trait LimitWay {
    /// Lets time pass.
    fn step(&mut self, world: &world::FleetWorld);
    /// Whether a request may be served.
    fn admits(&mut self, world: &world::FleetWorld, gateway: usize, workspace: usize)
        -> RequestEnd;
    /// Messages and bytes so far.
    fn traffic(&self) -> (usize, usize);
}

/// What a way says of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// It is served.
    Admitted,
    /// It is over the limit.
    Exceeded,
    /// Nobody could say.
    Unchecked,
}

/// The limits of a fleet's workspaces; a few are large.
pub fn limits_of(plan: &LimitPlan) -> Vec<rate_limit::RateLimit> {
    let weights: Vec<f64> = (1..=plan.workspaces)
        .map(|n| 1.0 / (n as f64).powf(0.9))
        .collect();
    let total: f64 = weights.iter().sum();
    let limits = weights.iter().map(|weight| {
        let rate = (plan.rate * weight / total * LIMIT_FACTOR).max(0.1);
        rate_limit::RateLimit::new(rate, rate).expect("the rate is positive")
    });
    limits.collect()
}

/// Plays a plan with one way of keeping limits.
pub fn simulate(
    plan: &LimitPlan,
    tolerance: &rate_limit::LimitTolerance,
    way: &mut dyn LimitWay,
) -> LimitReport {
    let mut rng = rngs::SmallRng::seed_from_u64(plan.seed);
    let limits = limits_of(plan);
    let mut world = world::FleetWorld::new(plan, &mut rng);
    let mut referee = referee::Referee::new(&limits, tolerance);
    let mut report = LimitReport::default();
    let end = LEAD + plan.traffic;
    let mut at = time::Duration::ZERO;
    while at < end {
        at += STEP;
        world.advance(at);
        way.step(&world);
        if at <= LEAD {
            continue;
        }
        for (workspace, limit) in limits.iter().enumerate() {
            let rate = demand(plan, workspace, limit, at - LEAD) * STEP.as_secs_f64();
            for _ in 0..draw_count(rate, &mut rng) {
                let gateway = gateway_of(plan, workspace, &mut rng);
                if !world.serves(gateway) {
                    continue;
                }
                report.asked += 1;
                let is_owed = referee.asks(workspace, world.now());
                report.owed += usize::from(is_owed);
                let ended = way.admits(&world, gateway, workspace);
                match ended {
                    RequestEnd::Admitted => referee.served(workspace, world.now()),
                    RequestEnd::Exceeded => {}
                    RequestEnd::Unchecked => {
                        let since = at.saturating_sub(world.last_fault_end());
                        report.unchecked_after = report.unchecked_after.max(since);
                    }
                }
            }
        }
    }
    report.worst_window = referee.worst_window();
    report.refused_inside = referee.refused_inside();
    (report.messages, report.bytes) = way.traffic();
    report
}

/// Requests a second of a workspace.
fn demand(
    plan: &LimitPlan,
    workspace: usize,
    limit: &rate_limit::RateLimit,
    at: time::Duration,
) -> f64 {
    let usual = limit.rate.per_second() / LIMIT_FACTOR;
    let in_cycle = (at.as_secs_f64() % CYCLE_S) / CYCLE_S;
    let shape = match in_cycle < BURST_PART {
        true => BURST_FACTORS.0,
        false => BURST_FACTORS.1,
    };
    let is_hot = plan.scenario != LimitScenario::Calm && workspace % HOT_EACH == 1;
    match is_hot {
        true => usual * HOT_FACTOR,
        false => usual * shape,
    }
}

/// A number of arrivals with this mean, by inversion of the Poisson distribution.
fn draw_count(mean: f64, rng: &mut rngs::SmallRng) -> usize {
    let point: f64 = rng.random();
    let mut term = (-mean).exp();
    let mut reached = term;
    let mut count = 0;
    while point > reached && count < MOST_ARRIVALS {
        count += 1;
        term *= mean / count as f64;
        reached += term;
    }
    count
}

/// The gateway that a request comes to: half of the workspaces sit at three of them.
fn gateway_of(plan: &LimitPlan, workspace: usize, rng: &mut rngs::SmallRng) -> usize {
    match workspace % 2 {
        0 => rng.random_range(0..plan.gateways),
        _ => (workspace * 7 + rng.random_range(0..3)) % plan.gateways,
    }
}

/// Runs the bench.
///
/// # Errors
/// A window had more requests than it may have.
pub fn run(flags: &LimitFlags) -> BenchResult<()> {
    let tolerance = rate_limit::LimitTolerance {
        window: time::Duration::from_secs(5),
        overage: 0.1,
        slack: 20.0,
    };
    let mut worst: f64 = 0.0;
    for scenario in SCENARIOS {
        for seed in flags.seed..flags.seed + flags.runs {
            let plan = LimitPlan {
                seed,
                scenario,
                gateways: flags.gateways,
                dispatchers: flags.dispatchers,
                workspaces: flags.workspaces,
                rate: flags.rate,
                traffic: time::Duration::from_secs(flags.seconds),
            };
            let mut way = pooled::PooledShares::new(&plan, &tolerance);
            let shown = simulate(&plan, &tolerance, &mut way);
            worst = worst.max(shown.worst_window);
            print(&plan, &shown);
        }
    }
    match worst <= 1.0 {
        true => Ok(()),
        false => Err(format!("a window had {worst:.2} times what it may have").into()),
    }
}

fn print(plan: &LimitPlan, shown: &LimitReport) {
    let seconds = (LEAD + plan.traffic).as_secs_f64() * plan.gateways as f64;
    let inside = shown.refused_inside as f64 / shown.owed.max(1) as f64;
    let line = serde_json::json!({
        "bench": "limits",
        "scenario": format!("{:?}", plan.scenario),
        "seed": plan.seed,
        "asked": shown.asked,
        "owed": shown.owed,
        "refused_inside": inside,
        "worst_window": shown.worst_window,
        "unchecked_after_ms": shown.unchecked_after.as_millis() as u64,
        "messages_per_gateway_second": shown.messages as f64 / seconds,
        "bytes_per_gateway_second": shown.bytes as f64 / seconds,
    });
    println!("{line}");
}
