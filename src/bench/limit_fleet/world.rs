//! Processes, who reaches whom, and faults in virtual time.

use std::{ops, time};

use rand::{rngs, Rng as _};

use super::{LimitPlan, LimitScenario, LEAD};
use crate::clock;

/// Pause between two probes of a keeper.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Silence after which a keeper counts as lost.
const SILENCE: time::Duration = time::Duration::from_millis(1500);
/// Silence after which a keeper is asked last.
const ASK_SILENCE: time::Duration = time::Duration::from_millis(800);
/// Time without faults at the end of a run, in which the fleet is to recover.
const CALM_END: time::Duration = time::Duration::from_secs(8);

/// What is wrong with a process for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultKind {
    /// It is down, and begins anew.
    Down,
    /// It stands still, and goes on.
    Frozen,
    /// It is on the other side of a cut.
    Cut,
}

/// A fault of one process; keepers come after the gateways.
#[derive(Debug, Clone)]
struct ProcessFault {
    process: usize,
    kind: FaultKind,
    duration: ops::Range<time::Duration>,
}

/// The fleet as it is at a moment.
pub struct FleetWorld {
    at: time::Duration,
    gateways: usize,
    quota_servers: usize,
    faults: Vec<ProcessFault>,
    /// Time of the last answered probe, by process and keeper.
    last_seen: Vec<Vec<Option<time::Duration>>>,
    /// Phase of each process's probes.
    phases: Vec<time::Duration>,
}

impl FleetWorld {
    pub(super) fn new(plan: &LimitPlan, rng: &mut rngs::SmallRng) -> Self {
        let processes = plan.gateways + plan.dispatchers;
        let draw_phase = |_| PROBE_INTERVAL.mul_f64(rng.random());
        let phases: Vec<_> = (0..processes).map(draw_phase).collect();
        Self {
            at: time::Duration::ZERO,
            gateways: plan.gateways,
            quota_servers: plan.dispatchers,
            faults: draw_faults(plan, rng),
            last_seen: vec![vec![None; plan.dispatchers]; processes],
            phases,
        }
    }

    /// The time now, by the clock of all processes.
    pub fn now(&self) -> clock::MonotonicTime {
        clock::MonotonicTime(self.at.as_micros() as u64)
    }

    /// Lets time pass, and processes probe the keepers.
    pub(super) fn advance(&mut self, at: time::Duration) {
        let before = std::mem::replace(&mut self.at, at);
        for process in 0..self.gateways + self.quota_servers {
            if !self.is_probing(process, before) {
                continue;
            }
            for quota_server in 0..self.quota_servers {
                if self.reaches(process, quota_server) {
                    self.last_seen[process][quota_server] = Some(at);
                }
            }
        }
    }

    /// Whether a gateway's probes go out in the step that began at a moment.
    pub fn probes(&self, gateway: usize, step: time::Duration) -> bool {
        self.is_probing(gateway, self.at.saturating_sub(step))
    }

    fn is_probing(&self, process: usize, before: time::Duration) -> bool {
        let turn = |at: time::Duration| {
            (at + self.phases[process]).as_micros() / PROBE_INTERVAL.as_micros()
        };
        self.is_up(process) && turn(before) != turn(self.at)
    }

    fn has(&self, process: usize, kinds: &[FaultKind]) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|f| {
            f.process == process && kinds.contains(&f.kind) && f.duration.contains(&self.at)
        })
    }

    fn is_up(&self, process: usize) -> bool {
        !self.has(process, &[FaultKind::Down, FaultKind::Frozen])
    }

    /// Whether callers get answers from a gateway.
    pub fn serves(&self, gateway: usize) -> bool {
        self.is_up(gateway)
    }

    /// Whether a keeper answers a process.
    pub fn reaches(&self, process: usize, quota_server: usize) -> bool {
        let quota_server = self.gateways + quota_server;
        let sides = [process, quota_server].map(|p| self.has(p, &[FaultKind::Cut]));
        self.is_up(process) && self.is_up(quota_server) && sides[0] == sides[1]
    }

    /// The keepers that a gateway knows to be alive.
    pub fn seen_by_gateway(&self, gateway: usize) -> Vec<usize> {
        self.seen(gateway)
    }

    /// The keepers that a keeper knows to be alive, itself among them.
    pub fn seen_by_keeper(&self, quota_server: usize) -> Vec<usize> {
        let mut seen = self.seen(self.gateways + quota_server);
        if !seen.contains(&quota_server) {
            seen.push(quota_server);
            seen.sort_unstable();
        }
        seen
    }

    /// Whether a keeper answered a probe of a gateway within [`ASK_SILENCE`].
    pub fn receives_from(&self, gateway: usize, quota_server: usize) -> bool {
        let heard = self.last_seen[gateway][quota_server];
        heard.is_some_and(|at| self.at - at < ASK_SILENCE)
    }

    fn seen(&self, process: usize) -> Vec<usize> {
        let is_fresh = |at: &Option<time::Duration>| at.is_some_and(|at| self.at - at < SILENCE);
        let heard = self.last_seen[process].iter().enumerate();
        heard
            .filter(|(_, at)| is_fresh(at))
            .map(|(k, _)| k)
            .collect()
    }

    /// Whether a gateway begins anew in the step that began so long ago.
    pub fn gateway_begins(&self, gateway: usize, step: time::Duration) -> bool {
        self.begins(gateway, step)
    }

    /// Whether a keeper begins anew in the step that began so long ago.
    pub fn keeper_begins(&self, quota_server: usize, step: time::Duration) -> bool {
        self.begins(self.gateways + quota_server, step)
    }

    fn begins(&self, process: usize, step: time::Duration) -> bool {
        let before = self.at.saturating_sub(step);
        let mut faults = self.faults.iter();
        faults.any(|f| {
            let ended = before < f.duration.end && f.duration.end <= self.at;
            f.process == process && f.kind == FaultKind::Down && ended
        })
    }

    /// When the last fault ends that has begun.
    pub(super) fn last_fault_end(&self) -> time::Duration {
        let begun = self.faults.iter().filter(|f| f.duration.start <= self.at);
        begun
            .map(|f| f.duration.end.min(self.at))
            .max()
            .unwrap_or_default()
    }
}

/// The faults of a plan.
fn draw_faults(plan: &LimitPlan, rng: &mut rngs::SmallRng) -> Vec<ProcessFault> {
    let processes = plan.gateways + plan.dispatchers;
    let duration = |from: u64, for_ms: u64| {
        let from = LEAD + time::Duration::from_millis(from);
        from..from + time::Duration::from_millis(for_ms)
    };
    let fault = |process, kind, duration: ops::Range<time::Duration>| ProcessFault {
        process,
        kind,
        duration,
    };
    match plan.scenario {
        LimitScenario::Calm | LimitScenario::Hot => Vec::new(),
        LimitScenario::Cut => {
            let cut = (0..processes).filter(|p| p % 3 == 0);
            cut.map(|p| fault(p, FaultKind::Cut, duration(5_000, 12_000)))
                .collect()
        }
        LimitScenario::Killed => {
            let quota_servers = plan.gateways..processes;
            quota_servers
                .map(|p| fault(p, FaultKind::Down, duration(12_000, 1_000)))
                .collect()
        }
        LimitScenario::Mixed => {
            let end = plan.traffic.saturating_sub(CALM_END).as_millis() as u64;
            let mut faults = Vec::new();
            for _ in 0..12 {
                let kinds = [FaultKind::Down, FaultKind::Frozen, FaultKind::Cut];
                let kind = kinds[rng.random_range(0..kinds.len())];
                let from = rng.random_range(0..end.max(1));
                let for_ms = rng.random_range(200..6_000).min(end.saturating_sub(from));
                let share = [0.05, 0.35, 1.0][rng.random_range(0..3)];
                let is_hit = |_: &usize| rng.random_bool(share);
                let hit: Vec<_> = (0..processes).filter(is_hit).collect();
                faults.extend(
                    hit.into_iter()
                        .map(|p| fault(p, kind, duration(from, for_ms))),
                );
            }
            faults
        }
    }
}
