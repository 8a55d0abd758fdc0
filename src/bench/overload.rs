//! Goodput under more load than the engines can carry.

use std::time;

use super::{load, report, BenchResult};
use crate::{local_fleet, settings, standin};

/// Flags of `jayhollow-bench overload`.
#[derive(Debug, clap::Args)]
pub struct OverloadFlags {
    /// Seed of the trace.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seconds of each run that are counted.
    #[arg(long, default_value_t = 8)]
    pub seconds: u64,
    /// Model engines.
    #[arg(long, default_value_t = 8)]
    pub engines: usize,
    /// Gateways, and as many dispatchers.
    #[arg(long, default_value_t = 3)]
    pub instances: usize,
}

/// Loads, as parts of the capacity.
const LOADS: [f64; 5] = [0.5, 1.0, 1.5, 2.0, 4.0];
/// Places of an engine.
const SLOTS: usize = 16;
/// Online requests that an engine may hold, waiting ones included.
const ONLINE: u32 = 24;
/// Least and most tokens of an answer.
const TOKENS: (u32, u32) = (20, 60);
/// Time before the counted part.
const WARM_UP: time::Duration = time::Duration::from_secs(2);
/// Threads of the load.
const LOAD_THREADS: usize = 2;

fn fleet_spec(flags: &OverloadFlags) -> local_fleet::LocalFleetSpec {
    local_fleet::LocalFleetSpec {
        gateways: flags.instances,
        dispatchers: flags.instances,
        engines: flags.engines,
        domains: 3,
        workers: 1,
        engine: standin::engine_terms::EngineOptions {
            spec: standin::engine_model::EngineSpec {
                max_running: SLOTS,
                step_base_us: 20_000,
                ..standin::engine_model::EngineSpec::default()
            },
            ..standin::engine_terms::EngineOptions::default()
        },
        batch: settings::dispatcher::BatchSettings {
            engine_sequences: SLOTS as u32,
            engine_online: ONLINE,
            ..settings::dispatcher::BatchSettings::default()
        },
        ..local_fleet::LocalFleetSpec::default()
    }
}

/// Requests a second that the engines can answer, by their arithmetic.
fn capacity(flags: &OverloadFlags) -> f64 {
    let spec = standin::engine_model::EngineSpec::default();
    let step = 0.02 + spec.step_per_sequence_us as f64 * SLOTS as f64 / 1e6;
    let mean_tokens = f64::from(TOKENS.0 + TOKENS.1) / 2.0;
    flags.engines as f64 * SLOTS as f64 / step / mean_tokens
}

/// Runs the bench.
///
/// # Errors
/// A fleet cannot be started.
pub fn run(flags: &OverloadFlags) -> BenchResult<()> {
    let mut rows = Vec::new();
    for part in LOADS {
        let fleet = local_fleet::LocalFleet::start(&fleet_spec(flags))?;
        let shape = load::TraceShape {
            duration: WARM_UP + time::Duration::from_secs(flags.seconds),
            rate: capacity(flags) * part,
            burst_every: time::Duration::ZERO,
            burst_size: 0,
            templates: 40,
            template_chars: 200,
            tokens: TOKENS,
        };
        let trace = load::make_trace(&shape, flags.seed);
        let gateways: Vec<_> = fleet.gateways.iter().map(|g| g.address).collect();
        let report = load::run_trace(&trace, &gateways, LOAD_THREADS, WARM_UP);
        fleet.stop()?;
        let goodput = report.whole as f64 / flags.seconds as f64;
        println!(
            "{}",
            serde_json::json!({
                "bench": "overload", "load": part, "seed": flags.seed,
                "goodput_per_second": goodput, "report": report.json(),
            })
        );
        rows.push(vec![
            format!("{part}"),
            format!("{:.0}", shape.rate),
            format!("{goodput:.0}"),
            report.failures().to_string(),
            format!("{:.0}", report.first_token.quantile_ms(0.5)),
            format!("{:.0}", report.first_token.quantile_ms(0.95)),
            format!("{:.0}", report.between_tokens.quantile_ms(0.95)),
        ]);
    }
    let header = [
        "load",
        "offered/s",
        "whole/s",
        "refused",
        "first p50 ms",
        "first p95 ms",
        "between p95 ms",
    ];
    report::print_table(&header, &rows);
    Ok(())
}
