//! What a gateway adds to an engine asked directly, in one run.

use std::{net, sync, thread, time};

use super::{report, BenchResult};
use crate::{http_client, local_fleet, settings, standin};

/// Flags of `jayhollow-bench overhead`.
#[derive(Debug, clap::Args)]
pub struct OverheadFlags {
    /// Seconds of each measurement.
    #[arg(long, default_value_t = 5)]
    pub seconds: u64,
    /// Requests a second while latency is measured.
    #[arg(long, default_value_t = 400)]
    pub rate: u64,
    /// Requests at once while throughput is measured.
    #[arg(long, default_value_t = 64)]
    pub concurrency: usize,
}

/// One way to reach the engine.
struct OverheadTarget {
    name: &'static str,
    address: net::SocketAddr,
}

/// Runs the bench.
///
/// # Errors
/// A fleet cannot be started.
pub fn run(flags: &OverheadFlags) -> BenchResult<()> {
    let spec = |permits| local_fleet::LocalFleetSpec {
        engines: 1,
        workers: 1,
        engine: standin::engine_terms::EngineOptions {
            instant: true,
            ..standin::engine_terms::EngineOptions::default()
        },
        online: settings::gateway::OnlineSettings {
            permits,
            ..settings::gateway::OnlineSettings::default()
        },
        ..local_fleet::LocalFleetSpec::default()
    };
    let with = local_fleet::LocalFleet::start(&spec(true))?;
    let without = local_fleet::LocalFleet::start(&spec(false))?;
    let targets = [
        OverheadTarget {
            name: "direct",
            address: with.engines[0],
        },
        OverheadTarget {
            name: "gateway",
            address: without.address(),
        },
        OverheadTarget {
            name: "gateway+permit",
            address: with.address(),
        },
    ];
    let mut rows = Vec::new();
    let mut direct = None;
    for target in &targets {
        let latency = measure_latency(flags, target.address);
        let throughput = measure_throughput(flags, target.address);
        let base = direct.get_or_insert_with(|| latency.clone());
        let added = |q| latency.quantile_ms(q) - base.quantile_ms(q);
        println!(
            "{}",
            serde_json::json!({
                "bench": "overhead", "target": target.name, "latency": latency.json(),
                "added_p50_ms": added(0.5), "added_p99_ms": added(0.99),
                "requests_per_second": throughput,
            })
        );
        rows.push(vec![
            target.name.to_owned(),
            report::two(latency.quantile_ms(0.5)),
            report::two(latency.quantile_ms(0.99)),
            report::two(added(0.5)),
            report::two(added(0.99)),
            format!("{throughput:.0}"),
        ]);
    }
    let header = [
        "target",
        "p50 ms",
        "p99 ms",
        "added p50",
        "added p99",
        "requests/s",
    ];
    report::print_table(&header, &rows);
    with.stop()?;
    without.stop()?;
    Ok(())
}

/// Sends at a steady rate, one request at a time per slot.
fn measure_latency(flags: &OverheadFlags, address: net::SocketAddr) -> report::TimeSeries {
    let gap = time::Duration::from_secs(1) / flags.rate.max(1) as u32;
    let count = flags.seconds * flags.rate;
    actix_rt::System::new().block_on(async {
        let client = http_client::new_client(0);
        let started = time::Instant::now();
        let mut running = Vec::new();
        for number in 0..count {
            let at = gap * number as u32;
            actix_rt::time::sleep(at.saturating_sub(started.elapsed())).await;
            let client = client.clone();
            running.push(actix_rt::spawn(async move {
                let sent = time::Instant::now();
                let right = ask(&client, address).await;
                right.then(|| sent.elapsed())
            }));
        }
        let mut series = report::TimeSeries::default();
        for request in running {
            if let Ok(Some(duration)) = request.await {
                series.add(duration);
            }
        }
        series
    })
}

/// Threads that press a target.
const PRESS_THREADS: usize = 2;

/// Keeps so many requests under way; gives answers a second.
fn measure_throughput(flags: &OverheadFlags, address: net::SocketAddr) -> f64 {
    let done = sync::atomic::AtomicU64::new(0);
    let duration = time::Duration::from_secs(flags.seconds);
    let until = time::Instant::now() + duration;
    thread::scope(|scope| {
        for _ in 0..PRESS_THREADS {
            scope.spawn(|| {
                actix_rt::System::new().block_on(async {
                    let client = http_client::new_client(0);
                    let slots = (0..flags.concurrency / PRESS_THREADS).map(|_| async {
                        while time::Instant::now() < until {
                            if ask(&client, address).await {
                                done.fetch_add(1, sync::atomic::Ordering::Relaxed);
                            }
                        }
                    });
                    futures::future::join_all(slots).await;
                });
            });
        }
    });
    done.into_inner() as f64 / duration.as_secs_f64()
}

/// A small request; says whether it was answered.
async fn ask(client: &awc::Client, address: net::SocketAddr) -> bool {
    let body = serde_json::json!({
        "model": local_fleet::MODEL, "max_tokens": 1,
        "messages": [{"role": "user", "content": "a small question"}],
    });
    let response = client
        .post(format!("http://{address}/v1/chat/completions"))
        .insert_header((
            "authorization",
            format!("Bearer {}", local_fleet::CALLER_KEY),
        ))
        .insert_header(("content-type", "application/json"))
        .send_body(body.to_string())
        .await;
    match response {
        Ok(mut response) => response.status().is_success() && response.body().await.is_ok(),
        Err(_) => false,
    }
}
