//! How the cost of decisions, of control and of batch work grows with the fleet.

use std::{collections, fmt::Write as _, fs, hint, net, thread, time};

use rand::{rngs, SeedableRng as _};

use super::{process_use, report, BenchResult};
use crate::{
    bundle,
    cli::{client, job_commands},
    clock,
    decisions::{
        job, job_order, ownership,
        rate_limits::{rate_limit, token_pools},
        routing, workspace_limit,
    },
    http_client, ids, local_fleet,
    serving::workspaces::{api_key, workspace_table},
    settings, standin,
};

/// Flags of `jayhollow-bench slopes`.
#[derive(Debug, clap::Args)]
pub struct SlopeFlags {
    /// What to measure.
    #[arg(value_enum)]
    pub part: SlopePart,
    /// Seconds of each measurement of control.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
}

/// Parts of the bench.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum SlopePart {
    /// Time of single decisions against endpoints, members, workspaces and jobs.
    Decisions,
    /// Calls, bytes, processor time and memory of idle daemons against their number.
    Control,
    /// Calls and processor time of batch work against items.
    Batch,
}

/// Runs the bench.
///
/// # Errors
/// A fleet cannot be started, or its figures cannot be read.
pub fn run(flags: &SlopeFlags) -> BenchResult<()> {
    match flags.part {
        SlopePart::Decisions => {
            decisions();
            Ok(())
        }
        SlopePart::Control => control(flags),
        SlopePart::Batch => batch(),
    }
}

/// A line through points, with the standard error of its slope.
struct FittedLine {
    base: f64,
    slope: f64,
    error: f64,
}

fn fit(points: &[(f64, f64)]) -> FittedLine {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let sxx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let sxy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let slope = sxy / sxx.max(f64::MIN_POSITIVE);
    let base = mean_y - slope * mean_x;
    let rest: f64 = points
        .iter()
        .map(|p| (p.1 - base - slope * p.0).powi(2))
        .sum();
    let error = (rest / (n - 2.0).max(1.0) / sxx.max(f64::MIN_POSITIVE)).sqrt();
    FittedLine { base, slope, error }
}

fn print_line(what: &str, unit: &str, points: &[(f64, f64)]) {
    let line = fit(points);
    println!(
        "{}",
        serde_json::json!({
            "bench": "slopes", "what": what, "unit": unit, "points": points,
            "base": line.base, "slope": line.slope, "slope_error": line.error,
        })
    );
}

/// Shortest time over which a decision is repeated.
const MIN_SPAN: time::Duration = time::Duration::from_millis(100);

/// Microseconds of one call.
fn time_of(mut call: impl FnMut()) -> f64 {
    let started = time::Instant::now();
    let mut calls = 0_u32;
    while started.elapsed() < MIN_SPAN {
        call();
        calls += 1;
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}

fn decisions() {
    let sizes = [10, 50, 200, 800, 1600];
    let points = sizes.map(|n| (n as f64, rank_time(n)));
    print_line(
        "rank endpoints of a model, affinity",
        "us per request",
        &points,
    );
    let sizes = [2, 6, 24, 96, 390];
    let points = sizes.map(|n| (n as f64, owner_time(n)));
    print_line(
        "owner of an endpoint among dispatchers",
        "us per look-up",
        &points,
    );
    let sizes = [10, 100, 1000, 10_000];
    let points = sizes.map(|n| (n as f64, limit_time(n)));
    print_line(
        "admit and end a request of a workspace",
        "us per request",
        &points,
    );
    let points = sizes.map(|n| (n as f64, key_time(n)));
    print_line("find a workspace by its key", "us per request", &points);
    let points = sizes.map(|n| (n as f64, table_time(n)));
    print_line("make a table of workspaces", "us per version", &points);
    let points = sizes.map(|n| (n as f64, pool_time(n)));
    print_line("draw from a pool of tokens", "us per draw", &points);
    let points = sizes.map(|n| (n as f64, bundle_time(n)));
    print_line(
        "read and index a bundle",
        "us per bundle, by workspaces",
        &points,
    );
    let points = sizes.map(|n| (n as f64, bundle_bytes(n)));
    print_line("size of a bundle", "bytes, by workspaces", &points);
    let sizes = [10, 100, 1000, 5000];
    let points = sizes.map(|n| (n as f64, order_time(n)));
    print_line("order active jobs", "us per ordering", &points);
}

fn rank_time(count: usize) -> f64 {
    let names: Vec<ids::EndpointId> = (0..count).map(|n| name(&format!("engine-{n}"))).collect();
    let candidates: Vec<routing::RouteCandidate<'_>> = names
        .iter()
        .map(|id| routing::RouteCandidate {
            id,
            is_same_domain: true,
            load: 1,
        })
        .collect();
    let mut rng = rngs::SmallRng::seed_from_u64(1);
    let mut key = 0;
    time_of(|| {
        key += 1;
        let order = routing::rank(routing::RoutePolicy::Affinity, key, &candidates, &mut rng);
        hint::black_box(order);
    })
}

fn name<T: std::str::FromStr>(text: &str) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(_) => unreachable!("names of the bench are valid"),
    }
}

fn members(count: usize) -> Vec<ownership::OwnerCandidate> {
    (0..count)
        .map(|n| ownership::OwnerCandidate {
            id: name(&format!("dispatcher-{n}")),
            domain: name(&format!("domain-{}", n % 17)),
        })
        .collect()
}

fn owner_time(count: usize) -> f64 {
    let members = members(count);
    let endpoint: ids::EndpointId = name("engine-7");
    let domain: ids::DomainName = name("domain-3");
    time_of(|| {
        hint::black_box(ownership::owner_of(&endpoint, &domain, &members));
    })
}

fn limit_time(count: usize) -> f64 {
    let names: Vec<ids::WorkspaceId> = (0..count).map(|n| name(&format!("w-{n}"))).collect();
    let mut board = workspace_limit::LimitTracker::default();
    let share = workspace_limit::WorkspaceShare {
        concurrency: 10,
        rate: 1e9,
    };
    let mut at = 0;
    time_of(|| {
        at += 1;
        let workspace = &names[at % names.len()];
        let admitted = board.begin(workspace, share, clock::MonotonicTime(at as u64));
        if hint::black_box(admitted).is_ok() {
            board.end(workspace);
        }
    })
}

/// Workspaces of two keys each.
fn specs(count: usize) -> Vec<workspace_table::WorkspaceSpec> {
    let specs = (0..count).map(|n| workspace_table::WorkspaceSpec {
        id: name(&format!("w-{n}")),
        keys: vec![key_of(2 * n), key_of(2 * n + 1)],
        priority: None,
        limit: rate_limit::RateLimit::new(10.0, 10.0),
    });
    specs.collect()
}

fn key_of(number: usize) -> api_key::KeyDigest {
    api_key::KeyDigest::of(format!("key-number-{number}").as_bytes())
}

fn key_time(count: usize) -> f64 {
    let table = workspace_table::WorkspaceTable::new(Some(&specs(count)));
    let mut at = 0;
    time_of(|| {
        at += 7;
        let found = table.find(&key_of(at % (2 * count)));
        hint::black_box(found.is_some());
    })
}

fn table_time(count: usize) -> f64 {
    let specs = specs(count);
    time_of(|| {
        hint::black_box(workspace_table::WorkspaceTable::new(Some(&specs)).len());
    })
}

fn pool_time(count: usize) -> f64 {
    let own: ids::InstanceId = name("d-0");
    let tolerance = rate_limit::LimitTolerance::default();
    let mut board = token_pools::PoolTable::new(own.clone(), tolerance, clock::MonotonicTime(0));
    board.set_quota_servers(&[own], |_| None, clock::MonotonicTime(0));
    let specs = specs(count);
    let mut at = 0;
    time_of(|| {
        at += 1;
        let spec = &specs[at % count];
        if let Some(limit) = &spec.limit {
            let now = clock::MonotonicTime(at as u64);
            hint::black_box(board.grant(&spec.id, limit, 1, now));
        }
    })
}

fn document(workspaces: usize) -> String {
    let mut document = local_fleet::local_bundle();
    document.workspaces = (0..workspaces)
        .map(|n| bundle::WorkspaceSpec {
            id: name(&format!("workspace-{n}")),
            key_hashes: vec![bundle::hash_key(&n.to_string())],
            max_concurrency: 10,
            max_requests_per_second: 10,
        })
        .collect();
    serde_json::to_string(&document).unwrap_or_default()
}

fn bundle_time(workspaces: usize) -> f64 {
    let text = document(workspaces);
    time_of(|| {
        if let Ok(document) = serde_json::from_str(&text) {
            hint::black_box(bundle::IndexedBundle::new(
                bundle::BundleGeneration(1),
                document,
            ));
        }
    })
}

fn bundle_bytes(workspaces: usize) -> f64 {
    document(workspaces).len() as f64
}

fn order_time(count: usize) -> f64 {
    let jobs: Vec<job::JobManifest> = (0..count).map(new_job).collect();
    let order = job_order::JobOrder::default();
    time_of(|| {
        let mut sorted: Vec<&job::JobManifest> = jobs.iter().collect();
        order.sort(&mut sorted, 500);
        hint::black_box(sorted);
    })
}

fn new_job(number: usize) -> job::JobManifest {
    job::JobManifest {
        id: name(&format!("job-{number}")),
        workspace: name(&format!("w-{}", number % 100)),
        input_file: name("file"),
        path: "/v1/chat/completions".into(),
        services: vec![name("m")],
        items: 400,
        chunk_items: vec![400],
        created_at: 0,
        due_at: 1000 + (number as u64 * 7919) % 86_400,
        completion_window: "24h".into(),
        metadata: collections::BTreeMap::new(),
        digest: String::new(),
        cancelling_at: None,
    }
}

/// Threads of a daemon that only control runs on while nothing is asked.
const DUTIES: [&str; 5] = ["fleet", "store", "link-server", "link-client", "batch"];

/// Seconds of processor time of this process's threads with the names of duties.
fn duty_seconds() -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let mut total = 0.0;
    for task in tasks.flatten() {
        let comm = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        if !DUTIES.contains(&comm.trim()) {
            continue;
        }
        let stat = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        let nanos = stat
            .split_whitespace()
            .next()
            .and_then(|n| n.parse::<f64>().ok());
        total += nanos.unwrap_or(0.0) / 1e9;
    }
    total
}

fn object_stats(objects: net::SocketAddr) -> BenchResult<standin::objects::ObjectStats> {
    let stats = actix_rt::System::new().block_on(async {
        let client = http_client::new_client(0);
        let mut response = client.get(format!("http://{objects}/stats")).send().await?;
        let stats = response.json::<standin::objects::ObjectStats>().await?;
        Ok::<_, super::BenchError>(stats)
    })?;
    Ok(stats)
}

/// Pairs of a gateway and a dispatcher that are measured.
const PAIRS: [usize; 5] = [1, 3, 6, 12, 24];

/// Measures idle daemons at the paces that daemons have by default.
fn control(flags: &SlopeFlags) -> BenchResult<()> {
    let mut rows = Vec::new();
    let mut series: [Vec<(f64, f64)>; 4] = Default::default();
    for pairs in PAIRS {
        let spec = local_fleet::LocalFleetSpec {
            gateways: pairs,
            dispatchers: pairs,
            workers: 1,
            pace: settings::common::PaceSettings::default(),
            ..local_fleet::LocalFleetSpec::default()
        };
        let fleet = local_fleet::LocalFleet::start(&spec)?;
        thread::sleep(time::Duration::from_secs(2));
        let before = object_stats(fleet.objects)?;
        let cpu_before = duty_seconds();
        thread::sleep(time::Duration::from_secs(flags.seconds));
        let after = object_stats(fleet.objects)?;
        let seconds = flags.seconds as f64;
        let daemons = (2 * pairs) as f64;
        let each = |total: f64| total / seconds / daemons;
        let cpu = each(duty_seconds() - cpu_before) * 100.0;
        let writes = each((after.writes - before.writes) as f64);
        let reads = each((after.reads - before.reads) as f64);
        let bytes = each((after.sent_bytes - before.sent_bytes) as f64) / 1000.0;
        let memory = process_use::resident_bytes(std::process::id())? as f64 / f64::from(1 << 20);
        let figures = [cpu, writes, reads, bytes];
        for (points, figure) in series.iter_mut().zip(figures) {
            points.push((daemons, figure));
        }
        rows.push(vec![
            format!("{daemons:.0}"),
            format!("{cpu:.3}"),
            report::two(writes),
            report::two(reads),
            report::two(bytes),
            format!("{memory:.1}"),
        ]);
        fleet.stop()?;
    }
    let names = [
        ("processor time of control", "percent of a core per daemon"),
        ("writes", "calls/s per daemon"),
        ("reads, watches counted as one", "calls/s per daemon"),
        ("answers of the object service", "KB/s per daemon"),
    ];
    for ((what, unit), points) in names.into_iter().zip(&series) {
        print_line(what, unit, points);
    }
    let header = [
        "daemons",
        "cpu %/daemon",
        "writes/s each",
        "reads/s each",
        "KB/s each",
        "process MiB",
    ];
    report::print_table(&header, &rows);
    Ok(())
}

/// Items of the measured jobs.
const JOB_ITEMS: [usize; 4] = [400, 2_000, 10_000, 40_000];

/// Measures jobs on engines that answer at once.
fn batch() -> BenchResult<()> {
    let mut rows = Vec::new();
    let mut points = Vec::new();
    let mut cpu_points = Vec::new();
    for items in JOB_ITEMS {
        let spec = local_fleet::LocalFleetSpec {
            dispatchers: 2,
            engine: standin::engine_terms::EngineOptions {
                instant: true,
                ..standin::engine_terms::EngineOptions::default()
            },
            policy: Some(crate::decisions::admission::BatchPolicy::Uncontrolled),
            ..local_fleet::LocalFleetSpec::default()
        };
        let fleet = local_fleet::LocalFleet::start(&spec)?;
        let before = object_stats(fleet.objects)?;
        let cpu_before = duty_seconds();
        let started = time::Instant::now();
        run_job(&fleet, items)?;
        let duration = started.elapsed().as_secs_f64();
        let cpu = duty_seconds() - cpu_before;
        let after = object_stats(fleet.objects)?;
        fleet.stop()?;
        let writes = (after.writes - before.writes) as f64;
        let reads = (after.reads - before.reads) as f64;
        points.push((items as f64, writes));
        cpu_points.push((items as f64, cpu * 1e6));
        let per_thousand = |calls: f64| report::two(calls / items as f64 * 1000.0);
        rows.push(vec![
            items.to_string(),
            report::two(duration),
            per_thousand(writes),
            per_thousand(reads),
            format!("{:.0}", cpu / items as f64 * 1e6),
        ]);
    }
    print_line("writes of a job", "calls, by items", &points);
    print_line(
        "processor time of a job in the dispatchers",
        "us, by items",
        &cpu_points,
    );
    let header = [
        "items",
        "seconds",
        "writes/1000",
        "reads/1000",
        "cpu us/item",
    ];
    report::print_table(&header, &rows);
    Ok(())
}

fn run_job(fleet: &local_fleet::LocalFleet, items: usize) -> BenchResult<()> {
    let mut lines = String::new();
    for number in 0..items {
        let item = serde_json::json!({
            "custom_id": format!("i{number}"), "url": "/v1/chat/completions",
            "body": {
                "model": local_fleet::MODEL, "max_tokens": 8,
                "messages": [{"role": "user", "content": format!("letter {number}")}],
            },
        });
        let _ = writeln!(lines, "{item}");
    }
    let profile = fleet.profile(local_fleet::CALLER_KEY);
    let job = actix_rt::System::new().block_on(async {
        let client = client::ApiClient::new(&profile);
        let job = job_commands::submit_items(
            &client,
            lines.as_bytes(),
            "/v1/chat/completions",
            "1h",
            None,
        )
        .await?;
        job_commands::wait(&client, &job).await
    })?;
    if job["request_counts"]["completed"].as_u64() != Some(items as u64) {
        return Err(format!("a job of {items} items ended as {job}").into());
    }
    Ok(())
}
