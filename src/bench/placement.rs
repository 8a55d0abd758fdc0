//! Orders of batch items on one trace of places in virtual time.
//!
//! Online requests take a number of places that jumps in bursts; batch work
//! has the rest. Jobs come steadily, with one burst of them; each item holds a
//! place for a span that is not known before. A place that is taken back stops
//! the youngest stream, which goes on later where it stopped.

use rand::{rngs, Rng as _, SeedableRng as _};

use super::{report, BenchResult};
use crate::decisions::item_order::{DurationEstimate, ItemTiming, OrderPolicy};

/// Flags of `jayhollow-bench placement`.
#[derive(Debug, Clone, clap::Args)]
pub struct PlacementFlags {
    /// Seed of the first trace.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Traces, each with the next seed.
    #[arg(long, default_value_t = 10)]
    pub traces: u64,
    /// Places of all endpoints.
    #[arg(long = "places", default_value_t = 144)]
    pub slots: usize,
    /// Jobs a second, of ten items on the mean.
    #[arg(long, default_value_t = 1.03)]
    pub jobs: f64,
    /// How many times as many jobs come in the burst of four seconds.
    #[arg(long, default_value_t = 10.0)]
    pub burst: f64,
    /// Milliseconds that an item holds a place, on the mean.
    #[arg(long, default_value_t = 5_100)]
    pub span_ms: u64,
    /// Milliseconds from submission until an item is due.
    #[arg(long, default_value_t = 18_000)]
    pub due_ms: u64,
}

impl Default for PlacementFlags {
    /// The size of one deployment that was measured, with a burst far over capacity.
    fn default() -> Self {
        Self {
            seed: 1,
            traces: 10,
            slots: 144,
            jobs: 1.03,
            burst: 10.0,
            span_ms: 5_100,
            due_ms: 18_000,
        }
    }
}

/// Length of a step of virtual time.
const STEP_MS: u64 = 20;
/// Time in which jobs come.
const TRAFFIC_MS: u64 = 34_000;
/// Time after which a trace ends.
const END_MS: u64 = TRAFFIC_MS + 18_000;
/// When the burst of jobs begins, and how long it lasts.
const BURST: (u64, u64) = (5_000, 4_000);
/// Places that online requests hold, by the place in a cycle of six seconds.
const ONLINE_CALM: usize = 25;
const ONLINE_BURST: usize = 115;
const CYCLE_MS: u64 = 6_000;
const CALM_MS: u64 = 3_600;
/// Worth of an item that is late, of one in time.
const LATE_WORTH: f64 = 0.1;

#[derive(Debug, Clone)]
struct TraceItem {
    arrived_ms: u64,
    span_ms: u64,
    spent_ms: u64,
    /// Since when it holds a place.
    started_ms: Option<u64>,
    done_ms: Option<u64>,
}

/// What an order came to.
#[derive(Debug, Default)]
struct TraceEnd {
    items: usize,
    in_time: usize,
    done: usize,
    preempted: usize,
}

fn online_at(now_ms: u64) -> usize {
    match now_ms % CYCLE_MS < CALM_MS {
        true => ONLINE_CALM,
        false => ONLINE_BURST,
    }
}

fn trace(flags: &PlacementFlags, seed: u64) -> Vec<TraceItem> {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut items = Vec::new();
    for now_ms in (0..TRAFFIC_MS).step_by(STEP_MS as usize) {
        let in_burst = now_ms >= BURST.0 && now_ms < BURST.0 + BURST.1;
        let factor = if in_burst { flags.burst } else { 1.0 };
        let chance = flags.jobs * factor * STEP_MS as f64 / 1000.0;
        if !rng.random_bool(chance.min(1.0)) {
            continue;
        }
        for _ in 0..rng.random_range(4..=16) {
            let part = rng.random_range(0.6..1.4);
            items.push(TraceItem {
                arrived_ms: now_ms,
                span_ms: (flags.span_ms as f64 * part) as u64,
                spent_ms: 0,
                started_ms: None,
                done_ms: None,
            });
        }
    }
    items
}

fn play(flags: &PlacementFlags, policy: OrderPolicy, mut items: Vec<TraceItem>) -> TraceEnd {
    let mut estimate = DurationEstimate::default();
    let mut end = TraceEnd::default();
    for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
        finish_items(&mut items, now_ms, &mut estimate);
        let free = flags.slots.saturating_sub(online_at(now_ms));
        end.preempted += preempt(&mut items, free, now_ms);
        start_items(flags, policy, &mut items, free, now_ms, &estimate);
    }
    end.items = items.len();
    end.done = items.iter().filter(|i| i.done_ms.is_some()).count();
    let in_time = items.iter().filter(|i| {
        let due = i.arrived_ms + flags.due_ms;
        i.done_ms.is_some_and(|done| done <= due)
    });
    end.in_time = in_time.count();
    end
}

fn finish_items(items: &mut [TraceItem], now_ms: u64, estimate: &mut DurationEstimate) {
    for item in items.iter_mut() {
        let Some(started) = item.started_ms else {
            continue;
        };
        if item.spent_ms + now_ms.saturating_sub(started) >= item.span_ms {
            item.started_ms = None;
            item.done_ms = Some(now_ms);
            estimate.record(item.span_ms);
        }
    }
}

/// Stops the youngest streams beyond the places; gives their number.
fn preempt(items: &mut [TraceItem], free: usize, now_ms: u64) -> usize {
    let mut running: Vec<_> = (0..items.len())
        .filter(|i| items[*i].started_ms.is_some())
        .collect();
    running.sort_by_key(|i| std::cmp::Reverse(items[*i].started_ms));
    let excess = running.len().saturating_sub(free);
    for index in running.into_iter().take(excess) {
        let item = &mut items[index];
        let started = item.started_ms.take().unwrap_or(now_ms);
        item.spent_ms += now_ms - started;
    }
    excess
}

fn start_items(
    flags: &PlacementFlags,
    policy: OrderPolicy,
    items: &mut [TraceItem],
    free: usize,
    now_ms: u64,
    estimate: &DurationEstimate,
) {
    let running = items.iter().filter(|i| i.started_ms.is_some()).count();
    let mut waiting: Vec<usize> = (0..items.len())
        .filter(|i| items[*i].arrived_ms <= now_ms)
        .filter(|i| items[*i].started_ms.is_none() && items[*i].done_ms.is_none())
        .collect();
    waiting.sort_by_key(|i| {
        let timing = ItemTiming {
            due_ms: items[*i].arrived_ms + flags.due_ms,
            remaining_ms: estimate.remaining_ms(items[*i].spent_ms),
        };
        policy.start_key(&timing, now_ms)
    });
    for index in waiting.into_iter().take(free.saturating_sub(running)) {
        items[index].started_ms = Some(now_ms);
    }
}

/// Plays all traces under one order.
fn play_all(flags: &PlacementFlags, policy: OrderPolicy) -> TraceEnd {
    let mut sum = TraceEnd::default();
    for seed in flags.seed..flags.seed + flags.traces {
        let end = play(flags, policy, trace(flags, seed));
        sum.items += end.items;
        sum.in_time += end.in_time;
        sum.done += end.done;
        sum.preempted += end.preempted;
    }
    sum
}

/// Share of the items that are in time under one order, over all traces.
pub fn share_in_time(flags: &PlacementFlags, policy: OrderPolicy) -> f64 {
    let end = play_all(flags, policy);
    end.in_time as f64 / end.items.max(1) as f64
}

/// Runs the bench.
///
/// # Errors
/// None.
pub fn run(flags: &PlacementFlags) -> BenchResult<()> {
    use clap::ValueEnum as _;

    let row = |policy: &OrderPolicy| {
        let end = play_all(flags, *policy);
        let items = end.items.max(1) as f64;
        let late = (end.done - end.in_time) as f64;
        let worth = (end.in_time as f64 + late * LATE_WORTH) / items;
        vec![
            format!("{policy:?}"),
            end.items.to_string(),
            format!("{:.3}", end.in_time as f64 / items),
            format!("{:.3}", end.done as f64 / items),
            format!("{worth:.3}"),
            end.preempted.to_string(),
        ]
    };
    let rows: Vec<_> = OrderPolicy::value_variants().iter().map(row).collect();
    let head = ["order", "items", "in time", "done", "worth", "preempted"];
    report::print_table(&head, &rows);
    Ok(())
}
