//! Choice of the endpoint for an online request.

use rand::Rng;
use xxhash_rust::xxh3;

use super::ownership;
use crate::ids;

/// Policy by which endpoints are ranked.
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
    /// Prefix affinity by rendezvous hashing with bounded loads.
    #[default]
    Affinity,
    /// Endpoint with the fewest outstanding requests.
    LeastOutstanding,
    /// Less loaded of two random endpoints.
    TwoChoices,
    /// Random endpoint.
    Random,
}

/// Endpoint that may take a request.
#[derive(Debug, Clone)]
pub struct RouteCandidate<'a> {
    /// Identifier of the endpoint.
    pub id: &'a ids::EndpointId,
    /// Whether the endpoint is in the gateway's failure domain.
    pub is_same_domain: bool,
    /// Outstanding requests, as far as the gateway knows.
    pub load: u32,
}

/// Length of the prompt prefix that determines affinity, in bytes.
const PREFIX_BYTES: usize = 512;
/// Factor on the mean load above which an endpoint is no longer preferred.
const LOAD_BOUND: f64 = 1.25;
/// Number of requests that an endpoint in the same failure domain may have more than another
/// one.
const SAME_DOMAIN_BONUS: u32 = 1;

/// Returns the affinity key of a prompt: a hash of its service, which names model and
/// adapter, and of its prefix.
pub fn affinity_key(service: &ids::ServiceName, prompt: &str) -> u64 {
    let seed = xxh3::xxh3_64(service.as_str().as_bytes());
    let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    xxh3::xxh3_64_with_seed(prefix, seed)
}

/// Returns the indices of `candidates`, best first.
pub fn rank(
    policy: RoutePolicy,
    key: u64,
    candidates: &[RouteCandidate<'_>],
    rng: &mut impl Rng,
) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    let cost = |i: &usize| {
        let candidate = &candidates[*i];
        candidate.load
            + if candidate.is_same_domain {
                0
            } else {
                SAME_DOMAIN_BONUS
            }
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

/// Sorts in rendezvous order; endpoints above the load bound go last, least loaded first.
fn sort_by_affinity(key: u64, candidates: &[RouteCandidate<'_>], order: &mut [usize]) {
    let total: u32 = candidates.iter().map(|c| c.load).sum();
    let mean = f64::from(total + 1) / candidates.len().max(1) as f64;
    let bound = (mean * LOAD_BOUND).ceil() as u32;
    let key = format!("{key:016x}");
    order.sort_by_cached_key(|i| {
        let candidate = &candidates[*i];
        let is_over_bound = candidate.load
            >= bound.max(1) + u32::from(candidate.is_same_domain) * SAME_DOMAIN_BONUS;
        let weight = ownership::weight(candidate.id.as_str(), &key);
        let excess = if is_over_bound { candidate.load } else { 0 };
        (is_over_bound, excess, std::cmp::Reverse(weight))
    });
}

fn shuffle(order: &mut [usize], rng: &mut impl Rng) {
    for i in (1..order.len()).rev() {
        order.swap(i, rng.random_range(0..=i));
    }
}
