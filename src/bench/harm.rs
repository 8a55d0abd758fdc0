//! What batch work does to the online tail: the same trace under each policy.

use std::{collections, fmt::Write as _, path, thread, time};

use super::{load, report, BenchResult};
use crate::{
    bundle,
    cli::{client, job_commands},
    decisions::admission,
    http_client, local_fleet, settings, standin,
};

/// Flags of `jayhollow-bench harm`.
#[derive(Debug, clap::Args)]
pub struct HarmFlags {
    /// Seed of the trace.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seconds of each run that are counted.
    #[arg(long, default_value_t = 12)]
    pub seconds: u64,
    /// Model engines.
    #[arg(long, default_value_t = 20)]
    pub engines: usize,
    /// Gateways, and as many dispatchers.
    #[arg(long, default_value_t = 6)]
    pub instances: usize,
    /// Only this policy, beside the run without batch work.
    #[arg(long, value_enum)]
    pub policy: Option<HarmPolicy>,
    /// Write the frontier as a picture, in SVG.
    #[arg(long, value_name = "FILE")]
    pub plot: Option<path::PathBuf>,
}

/// Policies that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum HarmPolicy {
    /// No batch work: the online traffic alone.
    Off,
    /// Batch work as it comes, without any control.
    Uncontrolled,
    /// A fixed half of the places, never taken back.
    Fixed,
    /// A fixed half of the places, taken back for online requests.
    FixedPreempt,
    /// No batch work where an online request is.
    Reserved,
    /// Following the step time, 5 percent slower.
    Adaptive5,
    /// Following the step time, 10 percent slower.
    Adaptive10,
    /// Following the step time, 25 percent slower.
    Adaptive25,
    /// Following the step time, 100 percent slower.
    Adaptive100,
}

const ALL: [HarmPolicy; 9] = [
    HarmPolicy::Off,
    HarmPolicy::Uncontrolled,
    HarmPolicy::Fixed,
    HarmPolicy::FixedPreempt,
    HarmPolicy::Reserved,
    HarmPolicy::Adaptive5,
    HarmPolicy::Adaptive10,
    HarmPolicy::Adaptive25,
    HarmPolicy::Adaptive100,
];

impl HarmPolicy {
    fn admission(self) -> (admission::BatchPolicy, u32) {
        use admission::BatchPolicy as P;
        match self {
            Self::Off => (P::Off, 10),
            Self::Uncontrolled => (P::Uncontrolled, 10),
            Self::Fixed => (P::Fixed, 10),
            Self::FixedPreempt => (P::FixedPreempt, 10),
            Self::Reserved => (P::Reserved, 10),
            Self::Adaptive5 => (P::Adaptive, 5),
            Self::Adaptive10 => (P::Adaptive, 10),
            Self::Adaptive25 => (P::Adaptive, 25),
            Self::Adaptive100 => (P::Adaptive, 100),
        }
    }

    fn name(self) -> String {
        format!("{self:?}").to_lowercase()
    }
}

/// Sequences of an engine in this bench: few, so that one machine carries twenty engines.
const ENGINE_SEQUENCES: usize = 16;
/// Time before the counted part, for batch work to reach its pace.
const WARM_UP: time::Duration = time::Duration::from_secs(3);
/// Threads of the load.
const LOAD_THREADS: usize = 2;
/// Tokens of a batch item.
const ITEM_TOKENS: u32 = 64;

/// Figures of one run.
struct HarmRun {
    policy: HarmPolicy,
    online: load::LoadReport,
    batch_tokens_per_second: f64,
    preempted: u64,
}

fn engine_spec() -> standin::engine_model::EngineSpec {
    standin::engine_model::EngineSpec {
        max_running: ENGINE_SEQUENCES,
        step_base_us: 20_000,
        step_per_sequence_us: 300,
        prefill_per_token_us: 20,
        ..standin::engine_model::EngineSpec::default()
    }
}

fn fleet_spec(flags: &HarmFlags, policy: HarmPolicy) -> local_fleet::LocalFleetSpec {
    let (admission, slowdown) = policy.admission();
    let mut document = local_fleet::local_bundle();
    document.batch = bundle::BatchSpec {
        online_slowdown_percent: slowdown,
        ..bundle::BatchSpec::default()
    };
    local_fleet::LocalFleetSpec {
        gateways: flags.instances,
        dispatchers: flags.instances,
        engines: flags.engines,
        plains: 3,
        domains: 3,
        workers: 1,
        engine: standin::engine_terms::EngineOptions {
            spec: engine_spec(),
            report_lag_ms: 500,
            ..standin::engine_terms::EngineOptions::default()
        },
        batch: settings::dispatcher::BatchSettings {
            engine_sequences: ENGINE_SEQUENCES as u32,
            ..settings::dispatcher::BatchSettings::default()
        },
        policy: Some(admission),
        bundle: document,
        ..local_fleet::LocalFleetSpec::default()
    }
}

/// About a third of the places in use, and bursts of half of them.
fn trace_shape(flags: &HarmFlags) -> load::TraceShape {
    load::TraceShape {
        duration: WARM_UP + time::Duration::from_secs(flags.seconds),
        rate: flags.engines as f64 * 2.5,
        burst_every: time::Duration::from_secs(3),
        burst_size: flags.engines * ENGINE_SEQUENCES / 2,
        templates: 40,
        template_chars: 600,
        tokens: (20, 80),
    }
}

/// Runs the bench.
///
/// # Errors
/// A fleet cannot be started, or its figures cannot be read.
pub fn run(flags: &HarmFlags) -> BenchResult<()> {
    let policies: Vec<HarmPolicy> = match flags.policy {
        None => ALL.to_vec(),
        Some(HarmPolicy::Off) => vec![HarmPolicy::Off],
        Some(policy) => vec![HarmPolicy::Off, policy],
    };
    let mut runs = Vec::new();
    for policy in policies {
        let run = run_policy(flags, policy)?;
        println!("{}", run.json(flags));
        runs.push(run);
    }
    print_table(&runs);
    if let Some(file) = &flags.plot {
        plot(&runs, file)?;
    }
    Ok(())
}

fn run_policy(flags: &HarmFlags, policy: HarmPolicy) -> BenchResult<HarmRun> {
    let fleet = local_fleet::LocalFleet::start(&fleet_spec(flags, policy))?;
    if policy != HarmPolicy::Off {
        submit_batch(&fleet, flags)?;
    }
    let trace = load::make_trace(&trace_shape(flags), flags.seed);
    let gateways: Vec<_> = fleet.gateways.iter().map(|g| g.address).collect();
    let engines = fleet.engines.clone();
    let duration = time::Duration::from_secs(flags.seconds);
    let (online, made) = thread::scope(|scope| {
        let counting = scope.spawn(|| count_made(&engines, duration));
        let online = load::run_trace(&trace, &gateways, LOAD_THREADS, WARM_UP);
        (online, counting.join())
    });
    let made = made.map_err(|_| "the counting thread panicked")?;
    let preempted = fleet
        .dispatchers
        .iter()
        .map(|d| d.context.metrics.preempted.get())
        .sum();
    fleet.stop()?;
    let batch = (made as f64 - online.tokens as f64).max(0.0) / flags.seconds as f64;
    Ok(HarmRun {
        policy,
        batch_tokens_per_second: if policy == HarmPolicy::Off {
            0.0
        } else {
            batch
        },
        online,
        preempted,
    })
}

/// Tokens that the engines made in the counted part of a run.
fn count_made(engines: &[std::net::SocketAddr], duration: time::Duration) -> u64 {
    thread::sleep(WARM_UP);
    let before = total_made(engines);
    thread::sleep(duration);
    total_made(engines) - before
}

fn total_made(engines: &[std::net::SocketAddr]) -> u64 {
    actix_rt::System::new().block_on(async {
        let client = http_client::new_client(0);
        let mut total = 0;
        for engine in engines {
            let response = client.get(format!("http://{engine}/load")).send().await;
            let Ok(mut response) = response else { continue };
            if let Ok(report) = response.json::<standin::engine_terms::LoadReport>().await {
                total += report.made_tokens;
            }
        }
        total
    })
}

/// Submits more items than a run can do.
fn submit_batch(fleet: &local_fleet::LocalFleet, flags: &HarmFlags) -> BenchResult<()> {
    let seconds = flags.seconds + WARM_UP.as_secs() + 2;
    // An engine makes at most this many tokens a second.
    let step = 0.02 + 0.0003 * ENGINE_SEQUENCES as f64;
    let most = flags.engines as f64 * ENGINE_SEQUENCES as f64 / step * seconds as f64;
    let items = (most / f64::from(ITEM_TOKENS)).ceil() as usize;
    let mut lines = String::new();
    for number in 0..items {
        let item = serde_json::json!({
            "custom_id": format!("item-{number}"), "url": "/v1/chat/completions",
            "body": {
                "model": local_fleet::MODEL, "max_tokens": ITEM_TOKENS,
                "messages": [{"role": "user", "content": format!(
                    "an offer letter for trainee {number}, in the form of the year {}",
                    flags.seed
                )}],
            },
        });
        let _ = writeln!(lines, "{item}");
    }
    let profile = fleet.profile(local_fleet::CALLER_KEY);
    actix_rt::System::new().block_on(async {
        let client = client::ApiClient::new(&profile);
        job_commands::submit_items(
            &client,
            lines.as_bytes(),
            "/v1/chat/completions",
            "1h",
            None,
        )
        .await
    })?;
    Ok(())
}

impl HarmRun {
    fn json(&self, flags: &HarmFlags) -> serde_json::Value {
        serde_json::json!({
            "bench": "harm", "policy": self.policy.name(), "seed": flags.seed,
            "seconds": flags.seconds, "engines": flags.engines,
            "batch_tokens_per_second": self.batch_tokens_per_second,
            "preempted": self.preempted, "online": self.online.json(),
        })
    }
}

/// Capacity that the online traffic leaves, as the uncontrolled run used it.
fn idle_capacity(runs: &[HarmRun]) -> f64 {
    runs.iter()
        .map(|r| r.batch_tokens_per_second)
        .fold(0.0, f64::max)
}

fn print_table(runs: &[HarmRun]) {
    let base = &runs[0].online;
    let idle = idle_capacity(runs).max(1.0);
    let ratio = |run: f64, base: f64| format!("{run:.1} ({:.2}x)", run / base.max(0.001));
    let rows: Vec<Vec<String>> = runs
        .iter()
        .map(|run| {
            let first = |q| {
                let series = &run.online.first_token;
                ratio(series.quantile_ms(q), base.first_token.quantile_ms(q))
            };
            let between = |q| {
                let series = &run.online.between_tokens;
                ratio(series.quantile_ms(q), base.between_tokens.quantile_ms(q))
            };
            vec![
                run.policy.name(),
                first(0.5),
                first(0.95),
                first(0.99),
                between(0.5),
                between(0.95),
                between(0.99),
                format!("{:.0}", run.batch_tokens_per_second),
                format!("{:.0}%", run.batch_tokens_per_second / idle * 100.0),
                run.preempted.to_string(),
                run.online.failures().to_string(),
            ]
        })
        .collect();
    let header = [
        "policy",
        "first p50 ms",
        "first p95 ms",
        "first p99 ms",
        "between p50 ms",
        "between p95 ms",
        "between p99 ms",
        "batch tok/s",
        "of most",
        "preempted",
        "failed",
    ];
    report::print_table(&header, &rows);
}

/// Draws batch throughput against the online tail, both relative.
fn plot(runs: &[HarmRun], file: &path::Path) -> BenchResult<()> {
    use plotters::prelude as draw;
    use plotters::style::Color as _;
    let base = runs[0].online.first_token.quantile_ms(0.99).max(0.001);
    let idle = idle_capacity(runs).max(1.0);
    let points: collections::BTreeMap<String, (f64, f64)> = runs
        .iter()
        .map(|run| {
            let share = run.batch_tokens_per_second / idle * 100.0;
            let tail = run.online.first_token.quantile_ms(0.99) / base;
            (run.policy.name(), (share, tail))
        })
        .collect();
    let most = points.values().map(|p| p.1).fold(1.0, f64::max) * 1.1;
    use draw::IntoDrawingArea as _;
    let area = draw::SVGBackend::new(file, (800, 500)).into_drawing_area();
    area.fill(&draw::WHITE)?;
    let mut chart = draw::ChartBuilder::on(&area)
        .caption(
            "batch throughput against the online tail",
            ("sans-serif", 20),
        )
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..110.0, 0.0..most)?;
    chart
        .configure_mesh()
        .x_desc("batch tokens/s, percent of the most")
        .y_desc("first token p99, times the run without batch")
        .draw()?;
    chart.draw_series(
        points
            .values()
            .map(|p| draw::Circle::new(*p, 4, draw::BLUE.filled())),
    )?;
    chart.draw_series(
        points
            .iter()
            .map(|(name, p)| draw::Text::new(name.clone(), (p.0 + 1.0, p.1), ("sans-serif", 13))),
    )?;
    area.present()?;
    Ok(())
}
