//! Order in which waiting batch items start, and in which streams are preempted.
//!
//! Earliest deadline first is optimal while all items can be on time. Under overload it makes
//! nearly all of them slightly late, as items that can no longer meet their deadline take the
//! slots of those that can. Such items therefore go last.
//!
//! Where jobs belong to several workspaces, items that can wait take turns by workspace, so
//! that a workspace that submits many items at once does not delay those of the others.

use std::{cmp, collections};

use crate::protection;

/// Deadline and remaining work of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ItemTiming {
    /// Deadline in milliseconds since the epoch.
    pub due_ms: u64,
    /// Estimated time that the item's stream still needs a slot, in milliseconds.
    pub remaining_ms: u64,
}

impl ItemTiming {
    /// Returns whether the item would miss its deadline even if it started now.
    pub fn is_infeasible(&self, now_ms: u64) -> bool {
        now_ms + self.remaining_ms > self.due_ms
    }
}

/// Scheduling policies, compared by `jayhollow-bench placement`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum OrderPolicy {
    /// Earliest deadline first.
    DueFirst,
    /// Earliest deadline first; items that cannot be on time go last.
    FeasibleFirst,
    /// Shortest remaining time first; items that cannot be on time go last.
    ShortestFirst,
}

/// Sort key of an item; the smallest starts first.
pub type StartKey = (bool, u64, u64);

impl OrderPolicy {
    /// Returns the sort key of an item.
    pub fn start_key(self, item: &ItemTiming, now_ms: u64) -> StartKey {
        match self {
            Self::DueFirst => (false, item.due_ms, 0),
            Self::FeasibleFirst => (item.is_infeasible(now_ms), item.due_ms, item.remaining_ms),
            Self::ShortestFirst => (item.is_infeasible(now_ms), item.remaining_ms, item.due_ms),
        }
    }
}

/// Waiting item as [`start_order`] sees it.
#[derive(Debug, Clone, Copy)]
pub struct WaitingItem {
    /// Deadline and remaining work.
    pub timing: ItemTiming,
    /// Mean time for which an item of the service holds slots, in milliseconds; 0 if unknown.
    pub duration_ms: u64,
    /// Whose item it is, and where it runs.
    pub share: WorkspaceShare,
}

/// The items of one workspace for one service, by numbers that the caller assigns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkspaceShare {
    /// Number of the service.
    pub service: usize,
    /// Number of the workspace; all jobs without one count as one workspace.
    pub workspace: usize,
}

/// Number of running streams of each share at this owner.
pub type RunningStreams = collections::HashMap<WorkspaceShare, usize>;

/// Why an item has its place in the start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartTurn {
    /// There is a single workspace: the order of the policy.
    Policy,
    /// Would be late if others went first: goes by deadline, before all others.
    Urgent,
    /// Goes when its workspace has fewer streams than others.
    Shared,
    /// Cannot be on time.
    Infeasible,
}

impl StartTurn {
    /// Returns the name in metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Policy => "policy",
            Self::Urgent => "urgent",
            Self::Shared => "shared",
            Self::Infeasible => "infeasible",
        }
    }
}

/// Place in the start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacedItem {
    /// Position of the item among those given.
    pub index: usize,
    /// Why it has this place.
    pub turn: StartTurn,
}

/// Returns the items in the order in which they start.
///
/// With a single workspace this is the order of the policy. Otherwise, items that would be
/// late if they started one duration after their turn by deadline go first, by deadline. The
/// other feasible items follow: at each place the first item of the workspace that has the
/// fewest streams, counting those that run and those placed before. Items that cannot be on
/// time go last.
pub fn start_order(
    policy: OrderPolicy,
    items: &[WaitingItem],
    running: &RunningStreams,
    now_ms: u64,
) -> Vec<PlacedItem> {
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_by_key(|i| policy.start_key(&items[*i].timing, now_ms));
    let mut workspaces = items.iter().map(|item| item.share.workspace);
    let first = workspaces.next();
    if workspaces.all(|w| Some(w) == first) || protection::is_disabled("workspace_turns") {
        let turn = StartTurn::Policy;
        let placed = order.into_iter().map(|index| PlacedItem { index, turn });
        return placed.collect();
    }
    let turns = turns(items, &order, running, now_ms);
    let of_turn = |turn| {
        let pairs = order.iter().zip(&turns).filter(move |(_, t)| **t == turn);
        pairs.map(|(index, _)| *index)
    };
    let mut streams = running.clone();
    for index in of_turn(StartTurn::Urgent) {
        *streams.entry(items[index].share).or_default() += 1;
    }
    let shared: Vec<usize> = of_turn(StartTurn::Shared).collect();
    let shared = take_turns(items, &shared, streams);
    let placed = |turn| move |index| PlacedItem { index, turn };
    let urgent = of_turn(StartTurn::Urgent).map(placed(StartTurn::Urgent));
    let shared = shared.into_iter().map(placed(StartTurn::Shared));
    let infeasible = of_turn(StartTurn::Infeasible).map(placed(StartTurn::Infeasible));
    urgent.chain(shared).chain(infeasible).collect()
}

/// Returns the kind of turn of each item, in the given order.
///
/// Slots are counted as the running streams of the service. While this is accurate, the
/// items that are protected stay on time in deadline order at each moment, so that turns
/// make none of them late.
fn turns(
    items: &[WaitingItem],
    order: &[usize],
    running: &RunningStreams,
    now_ms: u64,
) -> Vec<StartTurn> {
    let mut slots = collections::HashMap::<usize, u64>::new();
    for (share, count) in running {
        *slots.entry(share.service).or_default() += *count as u64;
    }
    let mut ahead_ms = collections::HashMap::<usize, u64>::new();
    let turn_of = |index: &usize| {
        let item = &items[*index];
        if item.timing.is_infeasible(now_ms) {
            return StartTurn::Infeasible;
        }
        let service = item.share.service;
        let slots = slots.get(&service).copied().unwrap_or(0).max(1);
        let ahead_ms = ahead_ms.entry(service).or_default();
        let end_ms = now_ms + *ahead_ms / slots + item.duration_ms;
        *ahead_ms += item.duration_ms;
        let due_ms = item.timing.due_ms;
        // An item that is late even in deadline order is not late because of the turns.
        match end_ms <= due_ms && end_ms + item.duration_ms > due_ms {
            true => StartTurn::Urgent,
            false => StartTurn::Shared,
        }
    };
    order.iter().map(turn_of).collect()
}

/// Returns the items, sorted by the policy, in the order of turns by workspace.
fn take_turns(items: &[WaitingItem], sorted: &[usize], mut streams: RunningStreams) -> Vec<usize> {
    let mut queues = collections::BTreeMap::<WorkspaceShare, collections::VecDeque<usize>>::new();
    for (rank, index) in sorted.iter().enumerate() {
        queues
            .entry(items[*index].share)
            .or_default()
            .push_back(rank);
    }
    let count = |streams: &RunningStreams, share| streams.get(share).copied().unwrap_or(0);
    // Among workspaces with equally many streams, the item that the policy prefers goes first.
    let mut heads: collections::BinaryHeap<_> = queues
        .iter()
        .map(|(share, queue)| cmp::Reverse((count(&streams, share), queue[0], *share)))
        .collect();
    let mut placed = Vec::with_capacity(sorted.len());
    while let Some(cmp::Reverse((held, rank, share))) = heads.pop() {
        placed.push(sorted[rank]);
        streams.insert(share, held + 1);
        let Some(queue) = queues.get_mut(&share) else {
            continue;
        };
        queue.pop_front();
        if let Some(next) = queue.front() {
            heads.push(cmp::Reverse((held + 1, *next, share)));
        }
    }
    placed
}

/// Estimate of the time that streams of one kind need a slot, from which the remaining time
/// of an item is derived.
#[derive(Debug, Clone, Copy, Default)]
pub struct DurationEstimate {
    mean_ms: f64,
}

/// Weight of the latest duration in the mean, which covers about the last ten.
const DURATION_WEIGHT: f64 = 0.1;
/// Minimum remaining time of a stream as a fraction of the mean, for streams that have run
/// longer than the mean.
const MIN_REMAINING_FRACTION: f64 = 0.1;
/// Fraction of the estimated remaining time that an item is assumed to need.
///
/// A mean that is too high, for example after a fault, would make items look infeasible that
/// are not. On the traces of `jayhollow-bench placement`, a share of 0.73 of the items is on
/// time with a factor of 0.5, and 0.74 with a factor of 1.
const REMAINING_FACTOR: f64 = 0.5;

impl DurationEstimate {
    /// Records the time that an item held slots from its start to its end.
    pub fn record(&mut self, duration_ms: u64) {
        let duration = duration_ms as f64;
        match self.mean_ms > 0.0 {
            true => self.mean_ms += (duration - self.mean_ms) * DURATION_WEIGHT,
            false => self.mean_ms = duration,
        }
    }

    /// Returns the mean duration in milliseconds; 0 while no duration is recorded.
    pub fn mean_ms(&self) -> u64 {
        self.mean_ms as u64
    }

    /// Returns a lower estimate of the time that an item still needs after it has held slots for
    /// `spent_ms`; 0 while no duration is recorded.
    pub fn remaining_ms(&self, spent_ms: u64) -> u64 {
        let left = (self.mean_ms - spent_ms as f64).max(self.mean_ms * MIN_REMAINING_FRACTION);
        (left * REMAINING_FACTOR) as u64
    }
}
