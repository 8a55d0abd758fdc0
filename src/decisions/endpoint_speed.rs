//! Speed of an endpoint relative to the mean of its service, learned from runs and from the
//! slowdowns that the endpoint reports.
//!
//! The model has two parts. The base is what runs show over some seconds, such as the
//! hardware of the endpoint. The current slowdown is what the endpoint reports about itself;
//! it changes within a few hundred milliseconds and is forgotten as fast.

use std::{num, time};

use crate::clock;

/// Time constant with which a reported slowdown loses its weight.
///
/// Slow periods last some 600 ms, of which a report leaves 300 ms in the mean.
const REPORT_LIFETIME: time::Duration = time::Duration::from_millis(400);
/// Age of the latest run up to which the base keeps its weight, and the time constant of the
/// decay from then on. An endpoint that is avoided gets no runs, so it is tried again.
const BASE_LIFETIME: time::Duration = time::Duration::from_secs(5);
/// Factor by which the weight of earlier runs decays with each new one: about the last 33
/// count, which a loaded endpoint serves within 4 to 8 s.
const RUN_DECAY: f64 = 0.97;
/// Number of assumed runs at the mean speed; few real ones then count little.
const ASSUMED_RUNS: f64 = 4.0;
/// Least weight of a run in the reference of its service. It covers about 50 runs, so that
/// a change that concerns all endpoints is not attributed to single endpoints.
const REFERENCE_WEIGHT: f64 = 0.02;
/// Weight of a report in the mean of an endpoint's reports, which discounts a constant one.
const USUAL_WEIGHT: f64 = 0.02;
/// Largest ratio of a single run or report that is believed; a resumed or paused stream may
/// show any.
const MAX_RATIO: f64 = 4.0;
/// Variance of the logarithm of a run's ratio while it is unknown; runs vary by half.
const ASSUMED_VARIANCE: f64 = 0.25;
/// Least number of events of a stream whose mean time between events is used.
const MIN_EVENTS: u32 = 4;

/// Natural logarithm of a ratio of durations; it is positive for a slow endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct LogRatio(pub f64);

impl LogRatio {
    /// Returns the ratio; above 1 is slow.
    pub fn ratio(self) -> f64 {
        self.0.exp()
    }

    fn limited(self) -> Self {
        let limit = MAX_RATIO.ln();
        Self(self.0.clamp(-limit, limit))
    }
}

/// How long work takes at an endpoint by its own report, in percent of the usual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SlowdownPercent(num::NonZeroU32);

impl SlowdownPercent {
    /// Returns the slowdown of a report, or `None` for 0, which no endpoint can mean.
    pub fn new(percent: u32) -> Option<Self> {
        num::NonZeroU32::new(percent).map(Self)
    }

    /// Returns the slowdown as a ratio, at most [`MAX_RATIO`] from the usual.
    fn log_ratio(self) -> LogRatio {
        LogRatio((f64::from(self.0.get()) / 100.0).ln()).limited()
    }

    /// Returns whether work takes a tenth more or less than usual.
    pub fn is_unusual(self) -> bool {
        !(90..=110).contains(&self.0.get())
    }
}

/// A slowdown that was reported some time ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SlowdownReport {
    /// The slowdown.
    pub percent: SlowdownPercent,
    /// Time since the report.
    pub age: time::Duration,
}

impl SlowdownReport {
    /// Returns the slowdown that is expected now: the older the report, the closer to 1.
    pub fn expected(&self) -> LogRatio {
        LogRatio(self.percent.log_ratio().0 * report_weight(self.age))
    }
}

fn report_weight(age: time::Duration) -> f64 {
    (-age.as_secs_f64() / REPORT_LIFETIME.as_secs_f64()).exp()
}

/// Durations of a run, as seen by the holder of its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RunTiming {
    /// A stream of events.
    Stream {
        /// Time from the request to the first event.
        first: time::Duration,
        /// Mean time between two events; zero if there was only one.
        gap: time::Duration,
        /// Number of events.
        events: u32,
    },
    /// A complete response and the time from the request to its end.
    Complete(time::Duration),
}

/// What the holder of a slot observed of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RunObservation {
    /// Durations of the run.
    pub timing: RunTiming,
    /// Slowdown that the endpoint reported with its response.
    pub slowdown: Option<SlowdownReport>,
}

/// Kind of a duration; only durations of the same kind are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DurationKind {
    FirstEvent,
    EventGap,
    CompleteResponse,
}

impl RunTiming {
    /// Returns whether the time in a queue of the endpoint would count as time of the run.
    pub fn includes_queue(&self) -> bool {
        let sample = self.sample();
        sample.is_none_or(|(kind, _)| kind != DurationKind::EventGap)
    }

    /// Returns the duration that tells most about the speed, with its kind.
    ///
    /// The time to the first event includes a queue and the prompt, so it is used only for a
    /// stream of a few events.
    fn sample(&self) -> Option<(DurationKind, f64)> {
        let (kind, duration) = match *self {
            Self::Stream { gap, events, .. } if events >= MIN_EVENTS => {
                (DurationKind::EventGap, gap)
            }
            Self::Stream { first, .. } => (DurationKind::FirstEvent, first),
            Self::Complete(duration) => (DurationKind::CompleteResponse, duration),
        };
        let duration = duration.as_secs_f64();
        (duration > 0.0).then_some((kind, duration))
    }
}

/// Moving mean of the logarithm of one kind of duration at a service, in seconds.
#[derive(Debug, Clone, Copy, Default)]
struct MeanDuration {
    log_s: f64,
    runs: f64,
}

/// What runs of a service take, without what is due to single endpoints.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceReference {
    /// Mean durations, one for each [`DurationKind`].
    means: [MeanDuration; 3],
}

impl ServiceReference {
    /// Returns how much longer a run took than the mean, and adds it to the mean.
    ///
    /// `base` is what is due to its endpoint, so that the mean does not depend on which
    /// endpoints are chosen most.
    fn record(&mut self, kind: DurationKind, duration_s: f64, base: f64) -> f64 {
        let mean = &mut self.means[kind as usize];
        let log_s = duration_s.ln();
        if mean.runs == 0.0 {
            mean.log_s = log_s - base;
        }
        let difference = LogRatio(log_s - mean.log_s).limited().0;
        mean.runs += 1.0;
        mean.log_s += (difference - base) * (1.0 / mean.runs).max(REFERENCE_WEIGHT);
        difference
    }
}

/// Estimate of an endpoint's speed at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SpeedEstimate {
    /// Mean ratio of its run times to the reference of its service.
    pub base: LogRatio,
    /// Share, from 0 to 1, in which the base counts; the rest is the mean of the service.
    pub weight: f64,
    /// Standard error of the base.
    pub error: f64,
    /// Ratio of current run times to its own usual ones.
    pub current: LogRatio,
}

/// Model of one endpoint's speed; a restarted endpoint gets a new one.
#[derive(Debug, Clone, Default)]
pub struct EndpointSpeed {
    /// Mean logarithm of the ratio of run times to the reference.
    mean: f64,
    /// Mean square of the difference between a run and the mean.
    variance: f64,
    /// Number of runs, of which earlier ones count less.
    runs: f64,
    last_run: Option<clock::MonotonicTime>,
    /// Latest reported slowdown and when it was reported.
    reported: Option<(LogRatio, clock::MonotonicTime)>,
    /// Mean of the slowdowns reported with runs.
    usual: f64,
}

impl EndpointSpeed {
    /// Records a run of the endpoint; `reference` is that of its service.
    pub fn record_run(
        &mut self,
        reference: &mut ServiceReference,
        observation: &RunObservation,
        now: clock::MonotonicTime,
    ) {
        let mut slowdown = 0.0;
        if let Some(report) = observation.slowdown {
            self.record_slowdown(report, now);
            let reported = report.percent.log_ratio();
            self.usual += (reported.0 - self.usual) * USUAL_WEIGHT;
            slowdown = self.excess(reported);
        }
        let Some((kind, duration_s)) = observation.timing.sample() else {
            return;
        };
        // What the endpoint reported of this run is no part of its usual speed.
        let usual_s = duration_s / slowdown.exp();
        let difference = reference.record(kind, usual_s, self.mean * self.weight(now)) - self.mean;
        self.runs = self.runs * RUN_DECAY + 1.0;
        self.mean += difference / self.runs;
        self.variance += (difference * difference - self.variance) / self.runs;
        self.last_run = Some(now);
    }

    /// Records a reported slowdown, unless a later one is known.
    pub fn record_slowdown(&mut self, report: SlowdownReport, now: clock::MonotonicTime) {
        let reported_at = now.before(report.age);
        let slowdown = report.percent.log_ratio();
        if self.reported.is_some_and(|(_, at)| at >= reported_at) {
            return;
        }
        self.reported = Some((slowdown, reported_at));
    }

    /// Returns by how much a slowdown exceeds the mean of the endpoint's reports.
    ///
    /// A figure that is always the same says nothing about the present.
    fn excess(&self, slowdown: LogRatio) -> f64 {
        match slowdown.0 > 0.0 {
            true => (slowdown.0 - self.usual.max(0.0)).max(0.0),
            false => (slowdown.0 - self.usual.min(0.0)).min(0.0),
        }
    }

    /// Returns the weight of the base: few runs count little, and old ones decay.
    fn weight(&self, now: clock::MonotonicTime) -> f64 {
        let age = self
            .last_run
            .map_or(time::Duration::ZERO, |at| now.since(at));
        let overdue = age.saturating_sub(BASE_LIFETIME).as_secs_f64();
        let decay = (-overdue / BASE_LIFETIME.as_secs_f64()).exp();
        decay * self.runs / (self.runs + ASSUMED_RUNS)
    }

    /// Returns the estimate of the speed now.
    pub fn estimate(&self, now: clock::MonotonicTime) -> SpeedEstimate {
        if self.last_run.is_none() && self.reported.is_none() {
            return SpeedEstimate::default();
        }
        let current = self.reported.map_or(0.0, |(slowdown, at)| {
            self.excess(slowdown) * report_weight(now.since(at))
        });
        let assumed = ASSUMED_VARIANCE * ASSUMED_RUNS;
        let runs = self.runs + ASSUMED_RUNS;
        let variance = (self.variance * self.runs + assumed) / runs;
        SpeedEstimate {
            base: LogRatio(self.mean),
            weight: self.weight(now),
            error: (variance / runs).sqrt(),
            current: LogRatio(current),
        }
    }
}
