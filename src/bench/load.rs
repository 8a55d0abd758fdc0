//! Load on gateways: seeded traces of streamed requests, timed at the caller.

use std::{collections, net, sync, thread, time};

use eventsource_stream::Eventsource as _;
use futures::StreamExt as _;
use rand::{rngs, Rng as _, SeedableRng as _};

use super::report;
use crate::{http_client, local_fleet};

/// Longest wait for one request.
const TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// A request of a trace.
#[derive(Debug, Clone)]
pub struct TraceRequest {
    /// When it is sent, from the start of the run.
    pub at: time::Duration,
    /// What it asks.
    pub content: String,
    /// Tokens of its answer.
    pub tokens: u32,
}

/// Shape of a trace.
#[derive(Debug, Clone)]
pub struct TraceShape {
    /// Length of the trace.
    pub duration: time::Duration,
    /// Requests a second between bursts.
    pub rate: f64,
    /// Time between bursts; no bursts if zero.
    pub burst_every: time::Duration,
    /// Requests of a burst, all within 50 ms.
    pub burst_size: usize,
    /// Different beginnings of prompts.
    pub templates: usize,
    /// Characters of a beginning.
    pub template_chars: usize,
    /// Least and most tokens of an answer.
    pub tokens: (u32, u32),
}

/// Span of a burst.
const BURST_SPAN: time::Duration = time::Duration::from_millis(50);

/// A seeded trace in the order of time.
pub fn make_trace(shape: &TraceShape, seed: u64) -> Vec<TraceRequest> {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut times = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / shape.rate.max(f64::MIN_POSITIVE);
        if at >= shape.duration.as_secs_f64() {
            break;
        }
        times.push(time::Duration::from_secs_f64(at));
    }
    let mut burst = shape.burst_every;
    while !shape.burst_every.is_zero() && burst + BURST_SPAN < shape.duration {
        for _ in 0..shape.burst_size {
            times.push(burst + BURST_SPAN.mul_f64(rng.random::<f64>()));
        }
        burst += shape.burst_every;
    }
    times.sort();
    let templates: Vec<String> = (0..shape.templates.max(1))
        .map(|n| template(n, shape.template_chars))
        .collect();
    let requests = times.into_iter().enumerate().map(|(number, at)| {
        let template = &templates[rng.random_range(0..templates.len())];
        TraceRequest {
            at,
            content: format!("{template} request {number} of seed {seed}"),
            tokens: rng.random_range(shape.tokens.0..=shape.tokens.1),
        }
    });
    requests.collect()
}

fn template(number: usize, chars: usize) -> String {
    let word = format!("template-{number} ");
    word.repeat(chars.div_ceil(word.len()))
}

/// What callers saw of a run.
#[derive(Clone, Default)]
pub struct LoadReport {
    /// Time to the first token.
    pub first_token: report::TimeSeries,
    /// Times between tokens.
    pub between_tokens: report::TimeSeries,
    /// Answers that were whole.
    pub whole: u64,
    /// Requests without a whole answer, by why.
    pub failed: collections::BTreeMap<String, u64>,
    /// Tokens received.
    pub tokens: u64,
}

impl LoadReport {
    fn merge(&mut self, other: &Self) {
        self.first_token.merge(&other.first_token);
        self.between_tokens.merge(&other.between_tokens);
        self.whole += other.whole;
        self.tokens += other.tokens;
        for (reason, count) in &other.failed {
            *self.failed.entry(reason.clone()).or_default() += count;
        }
    }

    /// Requests without a whole answer.
    pub fn failures(&self) -> u64 {
        self.failed.values().sum()
    }

    /// The report as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::json!({
            "whole": self.whole, "failed": self.failed, "tokens": self.tokens,
            "first_token": self.first_token.json(),
            "between_tokens": self.between_tokens.json(),
        })
    }
}

/// Sends a trace to gateways from a few threads; requests sent before `warm_up` are not counted.
pub fn run_trace(
    trace: &[TraceRequest],
    gateways: &[net::SocketAddr],
    threads: usize,
    warm_up: time::Duration,
) -> LoadReport {
    let started = time::Instant::now();
    let total = sync::Mutex::new(LoadReport::default());
    thread::scope(|scope| {
        for number in 0..threads {
            let part: Vec<(net::SocketAddr, TraceRequest)> = trace
                .iter()
                .enumerate()
                .filter(|(i, _)| i % threads == number)
                .map(|(i, r)| (gateways[i / threads % gateways.len()], r.clone()))
                .collect();
            let total = &total;
            scope.spawn(move || {
                let report = actix_rt::System::new().block_on(run_part(part, started, warm_up));
                let mut total = total.lock().unwrap_or_else(|e| e.into_inner());
                total.merge(&report);
            });
        }
    });
    total.into_inner().unwrap_or_else(|e| e.into_inner())
}

async fn run_part(
    part: Vec<(net::SocketAddr, TraceRequest)>,
    started: time::Instant,
    warm_up: time::Duration,
) -> LoadReport {
    let client = http_client::new_client(0);
    let mut running = Vec::new();
    for (gateway, request) in part {
        let wait = request.at.saturating_sub(started.elapsed());
        actix_rt::time::sleep(wait).await;
        let counted = request.at >= warm_up;
        let client = client.clone();
        running.push((counted, actix_rt::spawn(run_one(client, gateway, request))));
    }
    let mut report = LoadReport::default();
    for (counted, request) in running {
        match request.await {
            Ok(one) if counted => report.merge(&one),
            _ => {}
        }
    }
    report
}

async fn run_one(
    client: awc::Client,
    gateway: net::SocketAddr,
    request: TraceRequest,
) -> LoadReport {
    let mut report = LoadReport::default();
    match read_stream(&client, gateway, &request, &mut report).await {
        Ok(()) => report.whole = 1,
        Err(reason) => {
            report.failed.insert(reason, 1);
        }
    }
    report
}

async fn read_stream(
    client: &awc::Client,
    gateway: net::SocketAddr,
    request: &TraceRequest,
    report: &mut LoadReport,
) -> Result<(), String> {
    let body = serde_json::json!({
        "model": local_fleet::MODEL, "stream": true, "max_tokens": request.tokens,
        "messages": [{"role": "user", "content": request.content}],
    });
    let sent = time::Instant::now();
    let response = client
        .post(format!("http://{gateway}/v1/chat/completions"))
        .timeout(TIMEOUT)
        .insert_header((
            "authorization",
            format!("Bearer {}", local_fleet::CALLER_KEY),
        ))
        .insert_header(("content-type", "application/json"))
        .send_body(body.to_string())
        .await
        .map_err(|e| e.to_string())?;
    if !response.status().is_success() {
        return Err(response.status().to_string());
    }
    let mut events = response.eventsource();
    let mut latest: Option<time::Instant> = None;
    let mut tokens = 0;
    while let Some(event) = events.next().await {
        let event = event.map_err(|_| "cut".to_owned())?;
        if event.data == "[DONE]" {
            let right = tokens == request.tokens;
            return right
                .then_some(())
                .ok_or_else(|| "tokens missing or doubled".to_owned());
        }
        if event.event == "error" {
            return Err("error after the first token".to_owned());
        }
        let now = time::Instant::now();
        match latest {
            None => report.first_token.add(now - sent),
            Some(at) => report.between_tokens.add(now - at),
        }
        latest = Some(now);
        tokens += 1;
        report.tokens += 1;
    }
    Err("ended without its end".to_owned())
}
