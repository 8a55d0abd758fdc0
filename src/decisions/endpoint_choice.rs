//! Choice among endpoints by the expected completion time of a request.
//!
//! Without a learned difference in speed the order is that of the numbers of requests.

use super::endpoint_speed;

/// Difference from the mean up to which endpoints count as alike.
const ALIKE_RANGE: f64 = 0.1;
/// Number of standard errors by which a learned difference must exceed zero.
const MIN_ERRORS: f64 = 2.0;
/// Weight of the learned speed while a service has many free slots.
///
/// Requests are on time everywhere then, and the load is spread instead: with speeds of
/// 0.6, 1 and 1.6 and slow periods the busiest endpoint works less than 1.15 times the mean at
/// 0.2 to 0.4 of the capacity, and up to 1.47 times with a weight of 1.
const CALM_WEIGHT: f64 = 0.25;
/// Share of slots held by online requests up to which [`CALM_WEIGHT`] applies.
const CALM_SHARE: f64 = 0.5;
/// Share of such slots from which the learned speed has its full weight. Surges fill the
/// rest, and what ends sooner leaves slots for them.
const BUSY_SHARE: f64 = 0.8;
/// Resolution of costs: a request at the mean speed costs this much.
const COST_UNIT: f64 = 1000.0;

/// Cost of a choice in thousandths of the time of a request at the mean speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FinishCost(pub u64);

/// An endpoint that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct EndpointCandidate {
    /// Estimate of its speed.
    pub speed: endpoint_speed::SpeedEstimate,
    /// Number of slots held by online requests; batch streams give theirs up.
    pub held: u32,
    /// Number of slots.
    pub slots: u32,
}

/// What the endpoints of a service have in common at the time of a choice.
#[derive(Debug, Clone, Copy)]
pub struct SpeedScale {
    /// Weighted mean of the learned ratios; an endpoint of which nothing is known is assumed
    /// to be there.
    mean: endpoint_speed::LogRatio,
    /// Weight of the learned speed in a choice, from [`CALM_WEIGHT`] to 1.
    weight: f64,
}

impl SpeedScale {
    /// Computes the scale of the endpoints of a service.
    pub fn new(candidates: impl Iterator<Item = EndpointCandidate>) -> Self {
        let (mut weight, mut base, mut held, mut slots) = (0.0, 0.0, 0.0, 0.0);
        for candidate in candidates {
            weight += candidate.speed.weight;
            base += candidate.speed.base.0 * candidate.speed.weight;
            held += f64::from(candidate.held);
            slots += f64::from(candidate.slots);
        }
        let share = held / f64::max(slots, 1.0);
        let busy = ((share - CALM_SHARE) / (BUSY_SHARE - CALM_SHARE)).clamp(0.0, 1.0);
        Self {
            mean: endpoint_speed::LogRatio(base / f64::max(weight, f64::MIN_POSITIVE)),
            weight: CALM_WEIGHT + (1.0 - CALM_WEIGHT) * busy,
        }
    }

    /// Returns how much slower than the mean an endpoint is, apart from its current
    /// slowdown; zero if that is not certain.
    pub fn base(&self, speed: &endpoint_speed::SpeedEstimate) -> endpoint_speed::LogRatio {
        let base = (speed.base.0 - self.mean.0) * speed.weight;
        let is_certain = base.abs() > MIN_ERRORS * speed.error;
        endpoint_speed::LogRatio(if is_certain { base } else { 0.0 })
    }

    /// Returns the expected completion time of a request at an endpoint that has `load`
    /// requests.
    pub fn finish_cost(&self, speed: &endpoint_speed::SpeedEstimate, load: u32) -> FinishCost {
        cost(load, self.time_ratio(speed))
    }

    /// Returns how long a request is expected to take at an endpoint, relative to the mean;
    /// 1 if the endpoint is like the others.
    pub fn time_ratio(&self, speed: &endpoint_speed::SpeedEstimate) -> f64 {
        let base = self.base(speed).0;
        let current = speed.current.0;
        match is_alike((base + current).exp()) {
            true => 1.0,
            false => (base * self.weight + current).exp(),
        }
    }

    /// Returns the preference of a batch stream for an endpoint with free slots: a slow one
    /// comes first, as the stream slows down the least online work there.
    ///
    /// A stream lasts for seconds, so the current slowdown does not count.
    pub fn batch_preference(&self, speed: &endpoint_speed::SpeedEstimate, spare_slots: i64) -> i64 {
        let ratio = self.base(speed).ratio();
        let ratio = if is_alike(ratio) { 1.0 } else { ratio };
        (spare_slots as f64 * ratio * COST_UNIT).round() as i64
    }
}

/// Returns the cost of an endpoint that a process chooses without its owner.
///
/// All such processes know about the same and none counts the choices of the others. So a
/// slow endpoint is avoided only by some of them, as many as its slowdown suggests, and none
/// prefers a fast one. `draw` is a random number from 0 to 1.
pub fn unowned_cost(
    report: Option<&endpoint_speed::SlowdownReport>,
    load: u32,
    draw: f64,
) -> FinishCost {
    let ratio = report.map_or(1.0, |report| report.expected().ratio());
    let is_avoided = !is_alike(ratio) && draw < 1.0 - 1.0 / ratio;
    cost(load, if is_avoided { ratio } else { 1.0 })
}

fn is_alike(ratio: f64) -> bool {
    (ratio - 1.0).abs() <= ALIKE_RANGE
}

fn cost(load: u32, ratio: f64) -> FinishCost {
    let requests = f64::from(load) + 1.0;
    FinishCost((requests * ratio * COST_UNIT).round() as u64)
}
