//! Admission of requests and batch streams at one endpoint, decided by its owner.
//!
//! Engines accept every request and have no priorities. The owner therefore counts the
//! sequences at an endpoint, keeps slots free for the next online requests, and cancels batch
//! streams at once when an online request needs their slots.

use std::{collections, time};

use super::step_model;
use crate::{clock, invariant};

/// Identifier of a permit for an online request.
pub type PermitNumber = u64;
/// Identifier of a batch stream within its ledger.
pub type StreamNumber = u64;

/// Limit on batch work at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchPolicy {
    /// No batch work.
    Off,
    /// No limit by the owner, without preemption.
    Uncontrolled,
    /// A fixed number of streams, without preemption.
    Fixed,
    /// A fixed number of streams, preempted by online requests.
    FixedPreempt,
    /// A number of streams derived from the measured step time, preempted by online requests.
    Adaptive,
    /// All slots while the endpoint serves no online request, and none otherwise; preempted by
    /// online requests.
    Reserved,
    /// A fixed number of streams less the number of online requests, without preemption; for
    /// plain services.
    Yielding,
}

/// Limits of an [`EndpointLedger`].
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionSpec {
    /// Limit on batch work.
    pub policy: BatchPolicy,
    /// Maximum number of sequences that the endpoint runs in one step.
    pub max_sequences: u32,
    /// Maximum number of online requests at the endpoint, including waiting ones.
    pub max_online: u32,
    /// Number of streams under the fixed policies.
    pub fixed_streams: u32,
    /// Percentage by which batch work may slow down steps.
    pub slowdown_percent: u32,
    /// Time after which a permit expires unless it is released.
    pub permit_ttl: time::Duration,
    /// Minimum time between two starts of batch streams.
    pub start_spacing: time::Duration,
    /// Slots that batch work leaves free for the next online requests, which get them without
    /// preemption.
    pub headroom: u32,
}

impl Default for AdmissionSpec {
    fn default() -> Self {
        Self {
            policy: BatchPolicy::Adaptive,
            max_sequences: 64,
            max_online: 128,
            fixed_streams: 32,
            slowdown_percent: 10,
            permit_ttl: time::Duration::from_secs(120),
            start_spacing: time::Duration::from_millis(5),
            headroom: HEADROOM,
        }
    }
}

/// Default number of slots that batch work leaves free.
///
/// Keeping the recent peak of online requests free instead cost a third of the batch
/// throughput and improved the p95 time to the first token by only two percent: see
/// `docs/design/batch-harm.md`.
const HEADROOM: u32 = 2;
/// Number of batch streams allowed until the step time is known.
const INITIAL_STREAMS: u32 = 8;

#[derive(Debug, Clone, Copy)]
struct BatchStream {
    started: clock::MonotonicTime,
    tokens: u32,
}

/// Permits and batch streams at one endpoint.
///
/// Invariant: each permit and each stream is counted from its creation until it ends, exactly
/// once.
#[derive(Debug, Clone)]
pub struct EndpointLedger {
    spec: AdmissionSpec,
    permits: collections::HashMap<PermitNumber, clock::MonotonicTime>,
    streams: collections::BTreeMap<StreamNumber, BatchStream>,
    next_stream: StreamNumber,
    model: step_model::StepModel,
    started_at: Option<clock::MonotonicTime>,
    leaving: bool,
}

/// Permit issued for an online request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IssuedPermit {
    /// Online requests at the endpoint, including this one.
    pub online: u32,
    /// Batch streams that remain at the endpoint.
    pub batch: u32,
    /// Online requests in excess of what the endpoint runs in one step.
    pub waiting: u32,
    /// Batch streams to cancel at once.
    pub preempt: Vec<StreamNumber>,
}

impl EndpointLedger {
    /// Creates an empty ledger.
    pub fn new(spec: AdmissionSpec) -> Self {
        Self {
            spec,
            permits: collections::HashMap::new(),
            streams: collections::BTreeMap::new(),
            next_stream: 0,
            model: step_model::StepModel::default(),
            started_at: None,
            leaving: false,
        }
    }

    /// Makes stream numbers start after `number`, so that they differ from those of another
    /// ledger for the same endpoint.
    pub fn number_streams_after(&mut self, number: StreamNumber) {
        self.next_stream = self.next_stream.max(number);
    }

    /// Replaces the limits.
    pub fn set_spec(&mut self, spec: AdmissionSpec) {
        self.spec = spec;
    }

    /// Sets whether the endpoint is leaving; no batch stream starts on a leaving endpoint.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Returns the number of online requests that hold a permit.
    pub fn online(&self) -> u32 {
        self.permits.len() as u32
    }

    /// Returns the number of batch streams.
    pub fn batch(&self) -> u32 {
        self.streams.len() as u32
    }

    /// Issues a permit and selects the batch streams that it preempts.
    ///
    /// Returns `None` if the endpoint already has the maximum number of online requests.
    pub fn request_permit(
        &mut self,
        number: PermitNumber,
        now: clock::MonotonicTime,
    ) -> Option<IssuedPermit> {
        self.expire(now);
        if self.online() >= self.spec.max_online {
            return None;
        }
        self.permits.insert(number, now + self.spec.permit_ttl);
        let preempt = self.choose_preempted();
        for stream in &preempt {
            self.streams.remove(stream);
        }
        Some(IssuedPermit {
            online: self.online(),
            batch: self.batch(),
            waiting: self.online().saturating_sub(self.spec.max_sequences),
            preempt,
        })
    }

    /// Releases a permit; does nothing if it was released before or has expired.
    pub fn release_permit(&mut self, number: PermitNumber) {
        self.permits.remove(&number);
    }

    fn expire(&mut self, now: clock::MonotonicTime) {
        self.permits.retain(|_, expiry| *expiry > now);
    }

    /// Returns how many batch streams may run beside `online` requests.
    fn stream_limit(&self, online: u32) -> u32 {
        let slots = self.spec.max_sequences.saturating_sub(online);
        match self.spec.policy {
            BatchPolicy::Off => 0,
            BatchPolicy::Uncontrolled => u32::MAX,
            BatchPolicy::Fixed => self.spec.fixed_streams,
            BatchPolicy::FixedPreempt => self.spec.fixed_streams.min(slots),
            BatchPolicy::Yielding => self.spec.fixed_streams.saturating_sub(online),
            BatchPolicy::Reserved if online > 0 => 0,
            BatchPolicy::Reserved => slots,
            BatchPolicy::Adaptive => self.adaptive_limit(online).min(slots),
        }
    }

    fn adaptive_limit(&self, online: u32) -> u32 {
        let slowdown = 1.0 + f64::from(self.spec.slowdown_percent) / 100.0;
        match self.model.sequences_at(online, slowdown) {
            Some(sequences) => sequences.saturating_sub(online),
            None => INITIAL_STREAMS,
        }
    }

    fn allows_preemption(&self) -> bool {
        use BatchPolicy as P;
        matches!(
            self.spec.policy,
            P::FixedPreempt | P::Adaptive | P::Reserved
        )
    }

    /// Selects the streams in excess of the limit, those with the fewest tokens first, as they
    /// lose the least work.
    fn choose_preempted(&self) -> Vec<StreamNumber> {
        if !self.allows_preemption() {
            return Vec::new();
        }
        let excess = self
            .batch()
            .saturating_sub(self.stream_limit(self.online()));
        let mut streams: Vec<_> = self.streams.iter().collect();
        streams.sort_by_key(|(number, s)| (s.tokens, std::cmp::Reverse((s.started, **number))));
        let preempted = streams.into_iter().take(excess as usize);
        preempted.map(|(number, _)| *number).collect()
    }

    /// Returns how many batch streams may start now, leaving `headroom` slots free.
    pub fn free_batch_slots(&mut self, now: clock::MonotonicTime) -> u32 {
        self.expire(now);
        if self.leaving {
            return 0;
        }
        let is_unpaced = matches!(
            self.spec.policy,
            BatchPolicy::Uncontrolled | BatchPolicy::Fixed
        );
        if is_unpaced {
            return self
                .stream_limit(self.online())
                .saturating_sub(self.batch());
        }
        let is_too_soon = |at| now.since(at) < self.spec.start_spacing;
        if self.started_at.is_some_and(is_too_soon) {
            return 0;
        }
        let online = self.online();
        let expected = online + self.spec.headroom;
        let limit = self.stream_limit(online);
        let free = self.spec.max_sequences.saturating_sub(expected);
        limit.min(free).saturating_sub(self.batch()).min(1)
    }

    /// Starts a batch stream.
    pub fn begin_stream(&mut self, now: clock::MonotonicTime) -> StreamNumber {
        invariant::check("no_batch_start_on_leaving_endpoint", !self.leaving);
        self.next_stream += 1;
        self.started_at = Some(now);
        let stream = BatchStream {
            started: now,
            tokens: 0,
        };
        self.streams.insert(self.next_stream, stream);
        self.next_stream
    }

    /// Records a token of a batch stream and the time since its previous token.
    pub fn record_token(&mut self, number: StreamNumber, gap: Option<time::Duration>) {
        let sequences = self.online() + self.batch();
        if let Some(gap) = gap {
            self.model.observe(sequences, gap);
        }
        if let Some(stream) = self.streams.get_mut(&number) {
            stream.tokens += 1;
        }
    }

    /// Ends a batch stream; does nothing if it was preempted.
    pub fn end_stream(&mut self, number: StreamNumber) {
        self.streams.remove(&number);
    }

    /// Returns the base and the slope of the step time in seconds, once known.
    pub fn step_line(&self) -> Option<(f64, f64)> {
        self.model.line()
    }
}
