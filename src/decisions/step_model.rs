//! How the step time of an endpoint grows with its sequences, learned from what is seen.

use std::time;

/// Weight of the past at each new sample.
const FORGETTING: f64 = 0.995;
/// Samples before the model is used.
const MIN_SAMPLES: f64 = 20.0;
/// Least variance of the sequence count for a slope to be told.
const MIN_VARIANCE: f64 = 0.5;
/// Slope assumed until one is learned, as a share of the step time.
const ASSUMED_SLOPE: f64 = 0.01;
/// Samples longer than this many times the mean are left out: prefill, not decoding.
const OUTLIER_FACTOR: f64 = 2.5;

/// A line `step = base + slope * sequences`, fitted with forgetting.
///
/// Invariant: `weight`, `n2`, `y` and `n` are sums over the same samples.
#[derive(Debug, Clone, Default)]
pub struct StepModel {
    weight: f64,
    n: f64,
    n2: f64,
    y: f64,
    ny: f64,
}

impl StepModel {
    /// Takes a sample: a step of `span` with `sequences` in it.
    pub fn observe(&mut self, sequences: u32, duration: time::Duration) {
        let n = f64::from(sequences);
        let y = duration.as_secs_f64();
        if self.weight > MIN_SAMPLES && y > OUTLIER_FACTOR * self.y / self.weight {
            return;
        }
        self.weight = self.weight * FORGETTING + 1.0;
        self.n = self.n * FORGETTING + n;
        self.n2 = self.n2 * FORGETTING + n * n;
        self.y = self.y * FORGETTING + y;
        self.ny = self.ny * FORGETTING + n * y;
    }

    /// Base and slope in seconds, once enough was seen.
    pub fn line(&self) -> Option<(f64, f64)> {
        if self.weight < MIN_SAMPLES {
            return None;
        }
        let mean_n = self.n / self.weight;
        let mean_y = self.y / self.weight;
        let variance = self.n2 / self.weight - mean_n * mean_n;
        let covariance = self.ny / self.weight - mean_n * mean_y;
        let learned = covariance / variance.max(f64::MIN_POSITIVE);
        let assumed = mean_y * ASSUMED_SLOPE;
        let slope = if variance < MIN_VARIANCE || learned <= 0.0 {
            assumed
        } else {
            learned
        };
        let base = (mean_y - slope * mean_n).max(mean_y * 0.1);
        Some((base, slope))
    }

    /// Sequences at which a step is `slowdown` times as long as with `online` alone.
    pub fn sequences_at(&self, online: u32, slowdown: f64) -> Option<u32> {
        let (base, slope) = self.line()?;
        let alone = base + slope * f64::from(online.max(1));
        let sequences = (alone * slowdown - base) / slope;
        Some(sequences.clamp(0.0, f64::from(u32::MAX)) as u32)
    }
}
