//! Which endpoint an online request goes to.

use rand::Rng;
use xxhash_rust::xxh3;

use super::ownership;
use crate::ids;

/// How endpoints are ranked.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Default,
    serde::Serialize,
    serde::Deserialize,
    schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum RoutePolicy {
    /// Prefix affinity by rendezvous hashing, with bounded load.
    #[default]
    Affinity,
    /// The endpoint with the fewest requests under way.
    LeastOutstanding,
    /// The better of two at random.
    TwoChoices,
    /// Any.
    Random,
}

/// An endpoint that may take a request.
#[derive(Debug, Clone)]
pub struct RouteCandidate<'a> {
    /// The endpoint.
    pub id: &'a ids::EndpointId,
    /// Whether it is in the gateway's failure domain.
    pub near: bool,
    /// Requests under way, as far as the gateway knows.
    pub load: u32,
}

/// Bytes of a prompt that decide its affinity.
const PREFIX_BYTES: usize = 512;
/// How far above the mean load an endpoint may be and still be the first choice.
const LOAD_BOUND: f64 = 1.25;
/// Requests that a near endpoint may have more than a far one.
const NEAR_BONUS: u32 = 1;

/// Key of a prompt's affinity: its model, adapter and leading bytes.
pub fn affinity_key(service: &ids::ServiceName, prompt: &str) -> u64 {
    let seed = xxh3::xxh3_64(service.as_str().as_bytes());
    let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    xxh3::xxh3_64_with_seed(prefix, seed)
}

/// Indices into `candidates`, best first.
pub fn rank(
    policy: RoutePolicy,
    key: u64,
    candidates: &[RouteCandidate<'_>],
    rng: &mut impl Rng,
) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    let cost = |i: &usize| {
        let candidate = &candidates[*i];
        candidate.load + if candidate.near { 0 } else { NEAR_BONUS }
    };
    match policy {
        RoutePolicy::Affinity => sort_by_affinity(key, candidates, &mut order),
        RoutePolicy::LeastOutstanding => {
            shuffle(&mut order, rng);
            order.sort_by_key(cost);
        }
        RoutePolicy::TwoChoices => {
            shuffle(&mut order, rng);
            if order.len() > 1 && cost(&order[1]) < cost(&order[0]) {
                order.swap(0, 1);
            }
        }
        RoutePolicy::Random => shuffle(&mut order, rng),
    }
    order
}

/// Rendezvous order; endpoints over the load bound go last, least loaded first.
fn sort_by_affinity(key: u64, candidates: &[RouteCandidate<'_>], order: &mut [usize]) {
    let total: u32 = candidates.iter().map(|c| c.load).sum();
    let mean = f64::from(total + 1) / candidates.len().max(1) as f64;
    let bound = (mean * LOAD_BOUND).ceil() as u32;
    let key = format!("{key:016x}");
    order.sort_by_cached_key(|i| {
        let candidate = &candidates[*i];
        let over = candidate.load >= bound.max(1) + u32::from(candidate.near) * NEAR_BONUS;
        let weight = ownership::weight(candidate.id.as_str(), &key);
        let excess = if over { candidate.load } else { 0 };
        (over, excess, std::cmp::Reverse(weight))
    });
}

fn shuffle(order: &mut [usize], rng: &mut impl Rng) {
    for i in (1..order.len()).rev() {
        order.swap(i, rng.random_range(0..=i));
    }
}
