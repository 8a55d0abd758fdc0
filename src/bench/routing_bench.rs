//! Routing policies on one trace in virtual time, at several numbers of gateways.
//!
//! Engines are the stand-in's arithmetic with its prefix caches; each gateway
//! knows its own requests only. The approximate prefix tree is the one of the
//! SGLang Router: each gateway remembers which endpoint it sent a prefix to,
//! so that it sees one part in N of the traffic at N gateways.

use std::{collections, time};

use rand::{rngs, Rng as _, SeedableRng as _};
use xxhash_rust::xxh3;

use super::{load, report, BenchResult};
use crate::{decisions::routing, ids, standin::engine_model};

/// Flags of `jayhollow-bench routing`.
#[derive(Debug, clap::Args)]
pub struct RoutingFlags {
    /// Seed of the trace.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seconds of virtual time.
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Model engines.
    #[arg(long, default_value_t = 20)]
    pub engines: usize,
    /// Requests a second over all gateways.
    #[arg(long, default_value_t = 60.0)]
    pub rate: f64,
}

/// Ways that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RoutingWay {
    Policy(routing::RoutePolicy),
    PrefixTree,
}

const WAYS: [RoutingWay; 5] = [
    RoutingWay::Policy(routing::RoutePolicy::Affinity),
    RoutingWay::PrefixTree,
    RoutingWay::Policy(routing::RoutePolicy::LeastOutstanding),
    RoutingWay::Policy(routing::RoutePolicy::TwoChoices),
    RoutingWay::Policy(routing::RoutePolicy::Random),
];

/// Numbers of gateways.
const GATEWAYS: [usize; 3] = [1, 6, 24];
/// Blocks that an engine's prefix cache holds: a part of all templates.
const CACHE_BLOCKS: usize = 600;
/// Bytes of a block of the prefix tree.
const TREE_BLOCK_BYTES: usize = 64;
/// Share of a prompt that must be known for the tree to decide.
const TREE_THRESHOLD: f64 = 0.5;
/// Difference of loads above which the tree gives way to the least loaded.
const TREE_IMBALANCE: u32 = 32;

/// One gateway's approximate prefix tree, as hashes of the prefixes of prompts.
#[derive(Default)]
struct PrefixTree {
    seen: collections::HashMap<u64, usize>,
}

impl PrefixTree {
    fn prefixes(prompt: &str) -> Vec<u64> {
        let mut hash = 0;
        let blocks = prompt.as_bytes().chunks_exact(TREE_BLOCK_BYTES);
        blocks
            .map(|block| {
                hash = xxh3::xxh3_64_with_seed(block, hash);
                hash
            })
            .collect()
    }

    fn choose(&mut self, prompt: &str, loads: &[u32]) -> usize {
        let prefixes = Self::prefixes(prompt);
        let known = prefixes
            .iter()
            .take_while(|p| self.seen.contains_key(p))
            .count();
        let least = (0..loads.len()).min_by_key(|i| loads[*i]).unwrap_or(0);
        let most = loads.iter().max().copied().unwrap_or(0);
        let balanced = most - loads[least] <= TREE_IMBALANCE;
        let matched = known as f64 >= TREE_THRESHOLD * prefixes.len() as f64 && known > 0;
        let chosen = match prefixes
            .get(known.wrapping_sub(1))
            .and_then(|p| self.seen.get(p))
        {
            Some(endpoint) if matched && balanced => *endpoint,
            _ => least,
        };
        for prefix in prefixes {
            self.seen.insert(prefix, chosen);
        }
        chosen
    }
}

struct SimEngine {
    model: engine_model::EngineModel,
    /// When its step under way ends, and what that step makes.
    step: Option<(time::Duration, Vec<engine_model::MadeToken>)>,
    running: collections::HashMap<u64, SimRequest>,
    served: u64,
}

struct SimRequest {
    gateway: usize,
    arrived: time::Duration,
    begun: bool,
}

/// Figures of one way at one number of gateways.
struct RoutingRun {
    hit_share: f64,
    first_token: report::TimeSeries,
    most_over_mean: f64,
}

/// Runs the bench.
///
/// # Errors
/// None; the bench runs in virtual time.
pub fn run(flags: &RoutingFlags) -> BenchResult<()> {
    let shape = load::TraceShape {
        duration: time::Duration::from_secs(flags.seconds),
        rate: flags.rate,
        burst_every: time::Duration::ZERO,
        burst_size: 0,
        templates: 200,
        template_chars: 2_000,
        tokens: (20, 80),
    };
    let trace = load::make_trace(&shape, flags.seed);
    let mut rows = Vec::new();
    for way in WAYS {
        for gateways in GATEWAYS {
            let run = simulate(flags, way, gateways, &trace);
            let name = match way {
                RoutingWay::Policy(policy) => format!("{policy:?}").to_lowercase(),
                RoutingWay::PrefixTree => "prefixtree".into(),
            };
            println!(
                "{}",
                serde_json::json!({
                    "bench": "routing", "way": name, "gateways": gateways, "seed": flags.seed,
                    "cache_hit_share": run.hit_share, "first_token": run.first_token.json(),
                    "most_over_mean": run.most_over_mean,
                })
            );
            rows.push(vec![
                name,
                gateways.to_string(),
                format!("{:.0}%", run.hit_share * 100.0),
                format!("{:.1}", run.first_token.quantile_ms(0.5)),
                format!("{:.1}", run.first_token.quantile_ms(0.95)),
                report::two(run.most_over_mean),
            ]);
        }
    }
    let header = [
        "way",
        "gateways",
        "cache hits",
        "first p50 ms",
        "first p95 ms",
        "most/mean",
    ];
    report::print_table(&header, &rows);
    Ok(())
}

fn simulate(
    flags: &RoutingFlags,
    way: RoutingWay,
    gateways: usize,
    trace: &[load::TraceRequest],
) -> RoutingRun {
    let spec = engine_model::EngineSpec {
        cache_blocks: CACHE_BLOCKS,
        step_base_us: 20_000,
        ..engine_model::EngineSpec::default()
    };
    let mut sim = RoutingSim {
        way,
        rng: rngs::SmallRng::seed_from_u64(flags.seed),
        names: (0..flags.engines).map(engine_name).collect(),
        engines: (0..flags.engines)
            .map(|_| SimEngine::new(spec.clone()))
            .collect(),
        loads: vec![vec![0; flags.engines]; gateways],
        trees: (0..gateways).map(|_| PrefixTree::default()).collect(),
        first_token: report::TimeSeries::default(),
    };
    for request in trace {
        sim.run_until(request.at);
        sim.arrive(request);
    }
    let served: Vec<u64> = sim.engines.iter().map(|e| e.served).collect();
    let mean = served.iter().sum::<u64>() as f64 / served.len() as f64;
    let total = |field: fn(&engine_model::EngineModel) -> u64| -> u64 {
        sim.engines.iter().map(|e| field(&e.model)).sum()
    };
    RoutingRun {
        hit_share: total(|m| m.cached_tokens) as f64 / total(|m| m.prompt_tokens).max(1) as f64,
        most_over_mean: served.iter().max().copied().unwrap_or(0) as f64 / mean.max(1.0),
        first_token: sim.first_token,
    }
}

fn engine_name(number: usize) -> ids::EndpointId {
    ids::EndpointId::try_from(format!("engine-{number}")).expect("the name is valid")
}

impl SimEngine {
    fn new(spec: engine_model::EngineSpec) -> Self {
        Self {
            model: engine_model::EngineModel::new(spec),
            step: None,
            running: collections::HashMap::new(),
            served: 0,
        }
    }

    fn begin_step(&mut self, now: time::Duration) {
        if self.step.is_none() && !self.model.is_idle() {
            let (duration, made) = self.model.step();
            self.step = Some((now + duration, made));
        }
    }
}

struct RoutingSim {
    way: RoutingWay,
    rng: rngs::SmallRng,
    names: Vec<ids::EndpointId>,
    engines: Vec<SimEngine>,
    /// Requests under way at each engine, by gateway.
    loads: Vec<Vec<u32>>,
    trees: Vec<PrefixTree>,
    first_token: report::TimeSeries,
}

impl RoutingSim {
    /// Ends all steps up to `now`.
    fn run_until(&mut self, now: time::Duration) {
        loop {
            let ends = self.engines.iter().enumerate();
            let ends = ends.filter_map(|(i, e)| e.step.as_ref().map(|(at, _)| (*at, i)));
            let Some((at, index)) = ends.min().filter(|(at, _)| *at <= now) else {
                return;
            };
            self.end_step(index, at);
        }
    }

    fn end_step(&mut self, index: usize, at: time::Duration) {
        let engine = &mut self.engines[index];
        let Some((_, made)) = engine.step.take() else {
            return;
        };
        for token in made {
            let Some(request) = engine.running.get_mut(&token.number) else {
                continue;
            };
            if !request.begun {
                request.begun = true;
                self.first_token.add(at - request.arrived);
            }
            if token.last {
                self.loads[request.gateway][index] -= 1;
                engine.running.remove(&token.number);
            }
        }
        engine.begin_step(at);
    }

    fn arrive(&mut self, request: &load::TraceRequest) {
        let gateway = self.rng.random_range(0..self.loads.len());
        let index = self.choose(gateway, &request.content);
        self.loads[gateway][index] += 1;
        let engine = &mut self.engines[index];
        let number = engine.model.submit(&engine_model::SequenceRequest {
            prompt: request.content.clone(),
            first_token: 0,
            end_token: request.tokens,
        });
        engine.served += 1;
        let arrived = SimRequest {
            gateway,
            arrived: request.at,
            begun: false,
        };
        engine.running.insert(number, arrived);
        engine.begin_step(request.at);
    }

    fn choose(&mut self, gateway: usize, prompt: &str) -> usize {
        let loads = &self.loads[gateway];
        let policy = match self.way {
            RoutingWay::Policy(policy) => policy,
            RoutingWay::PrefixTree => return self.trees[gateway].choose(prompt, loads),
        };
        let candidates: Vec<routing::RouteCandidate<'_>> = self
            .names
            .iter()
            .zip(loads)
            .map(|(id, load)| routing::RouteCandidate {
                id,
                is_same_domain: true,
                load: *load,
            })
            .collect();
        let service = "m".parse().expect("the name is valid");
        let key = routing::affinity_key(&service, prompt);
        routing::rank(policy, key, &candidates, &mut self.rng)[0]
    }
}
