//! Model of an endpoint's step time as a function of its sequences, fitted to observations.

use std::time;

/// Factor by which the weight of earlier samples decays with each new one.
const DECAY: f64 = 0.995;
/// Minimum weight of the samples for the model to be used.
const MIN_WEIGHT: f64 = 20.0;
/// Minimum variance of the sequence count for the slope to be fitted.
const MIN_VARIANCE: f64 = 0.5;
/// Slope assumed until one is fitted, as a fraction of the mean step time.
const ASSUMED_SLOPE: f64 = 0.01;
/// Multiple of the mean above which a sample is ignored, as it includes prefill rather than
/// only decoding.
const OUTLIER_FACTOR: f64 = 2.5;

/// Line `step = base + slope * sequences`, fitted by least squares with exponential decay.
///
/// `n` stands for the number of sequences and `y` for the step time in seconds. Invariant:
/// all fields are sums over the same samples with the same weights.
#[derive(Debug, Clone, Default)]
pub struct StepModel {
    weight: f64,
    n: f64,
    n2: f64,
    y: f64,
    ny: f64,
}

impl StepModel {
    /// Records a step of `duration` that ran `sequences` sequences.
    pub fn observe(&mut self, sequences: u32, duration: time::Duration) {
        let n = f64::from(sequences);
        let y = duration.as_secs_f64();
        if self.weight > MIN_WEIGHT && y > OUTLIER_FACTOR * self.y / self.weight {
            return;
        }
        self.weight = self.weight * DECAY + 1.0;
        self.n = self.n * DECAY + n;
        self.n2 = self.n2 * DECAY + n * n;
        self.y = self.y * DECAY + y;
        self.ny = self.ny * DECAY + n * y;
    }

    /// Returns the base and the slope in seconds, once there are enough samples.
    pub fn line(&self) -> Option<(f64, f64)> {
        if self.weight < MIN_WEIGHT {
            return None;
        }
        let mean_n = self.n / self.weight;
        let mean_y = self.y / self.weight;
        let variance = self.n2 / self.weight - mean_n * mean_n;
        let covariance = self.ny / self.weight - mean_n * mean_y;
        let fitted = covariance / variance.max(f64::MIN_POSITIVE);
        let assumed = mean_y * ASSUMED_SLOPE;
        let slope = if variance < MIN_VARIANCE || fitted <= 0.0 {
            assumed
        } else {
            fitted
        };
        let base = (mean_y - slope * mean_n).max(mean_y * 0.1);
        Some((base, slope))
    }

    /// Returns the number of sequences at which a step takes `slowdown` times as long as with
    /// `online` sequences alone.
    pub fn sequences_at(&self, online: u32, slowdown: f64) -> Option<u32> {
        let (base, slope) = self.line()?;
        let alone = base + slope * f64::from(online.max(1));
        let sequences = (alone * slowdown - base) / slope;
        Some(sequences.clamp(0.0, f64::from(u32::MAX)) as u32)
    }
}
