//! The ledger of one endpoint: what its owner admits, and what it takes back.
//!
//! Engines admit whatever comes and know no priority. The owner therefore
//! counts what an endpoint holds, keeps room for the next online burst, and
//! cancels batch streams at once when an online request needs their place.

use std::{collections, time};

use super::step_model;
use crate::{clock, invariant};

/// Names a permit of an online request.
pub type PermitNumber = u64;
/// Names a batch stream within its ledger.
pub type StreamNumber = u64;

/// How batch work is limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchPolicy {
    /// No batch work at all.
    Off,
    /// As much as the endpoint takes, never taken back.
    Uncontrolled,
    /// A fixed number of streams, never taken back.
    Fixed,
    /// A fixed number of streams, taken back for online requests.
    FixedPreempt,
    /// A number that follows the step time, taken back for online requests.
    Adaptive,
    /// Nothing while the endpoint serves any online request.
    Reserved,
    /// A fixed number less the online requests, never taken back; for plain services.
    Yielding,
}

/// Limits of a ledger.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionSpec {
    /// How batch work is limited.
    pub policy: BatchPolicy,
    /// Sequences that the endpoint runs in one step at most.
    pub max_sequences: u32,
    /// Online requests that the endpoint may hold, waiting ones included.
    pub max_online: u32,
    /// Streams under the fixed policies.
    pub fixed_streams: u32,
    /// By how many percent batch work may slow down steps.
    pub slowdown_percent: u32,
    /// After which a permit that was not released is taken as released.
    pub permit_ttl: time::Duration,
    /// Least time between two starts of batch streams.
    pub start_spacing: time::Duration,
    /// Places kept free for the next online requests, until streams are taken back for them.
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

/// Places kept free where no other figure is set.
///
/// Keeping the recent peak free instead cost a third of the batch throughput
/// and won two percent of the first token's p95: see `docs/design/batch-harm.md`.
const HEADROOM: u32 = 2;
/// Streams allowed until the step time is known.
const FIRST_STREAMS: u32 = 8;

#[derive(Debug, Clone, Copy)]
struct BatchStream {
    started: clock::MonotonicTime,
    tokens: u32,
}

/// The ledger of one endpoint.
///
/// Invariant: each permit and each stream is counted from its grant or start
/// to exactly one end.
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

/// The owner's word on a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitGrant {
    /// Online requests at the endpoint, this one included.
    pub online: u32,
    /// Batch streams at the endpoint that stay.
    pub batch: u32,
    /// Online requests beyond what the endpoint runs in one step.
    pub waiting: u32,
    /// Batch streams to cancel at once.
    pub preempt: Vec<StreamNumber>,
}

impl EndpointLedger {
    /// A ledger with nothing in it.
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

    /// Makes the numbers of streams begin after `number`, so that they differ
    /// from those of another ledger of the same endpoint.
    pub fn number_after(&mut self, number: StreamNumber) {
        self.next_stream = self.next_stream.max(number);
    }

    /// Changes the limits from now on.
    pub fn set_spec(&mut self, spec: AdmissionSpec) {
        self.spec = spec;
    }

    /// Says whether the endpoint is leaving: then no batch stream starts.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Online requests that hold a permit.
    pub fn online(&self) -> u32 {
        self.permits.len() as u32
    }

    /// Batch streams.
    pub fn batch(&self) -> u32 {
        self.streams.len() as u32
    }

    /// Grants a permit, and says which batch streams have to go for it.
    ///
    /// Gives nothing if the endpoint holds as many online requests as it may.
    pub fn request_permit(
        &mut self,
        number: PermitNumber,
        now: clock::MonotonicTime,
    ) -> Option<PermitGrant> {
        self.expire(now);
        if self.online() >= self.spec.max_online {
            return None;
        }
        self.permits.insert(number, now + self.spec.permit_ttl);
        let preempt = self.choose_preempted();
        for stream in &preempt {
            self.streams.remove(stream);
        }
        Some(PermitGrant {
            online: self.online(),
            batch: self.batch(),
            waiting: self.online().saturating_sub(self.spec.max_sequences),
            preempt,
        })
    }

    /// Ends a permit; a number that is not known was released or expired before.
    pub fn release_permit(&mut self, number: PermitNumber) {
        self.permits.remove(&number);
    }

    fn expire(&mut self, now: clock::MonotonicTime) {
        self.permits.retain(|_, expiry| *expiry > now);
    }

    /// Batch streams that the endpoint may hold next to `online` requests.
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
            None => FIRST_STREAMS,
        }
    }

    fn preempts(&self) -> bool {
        use BatchPolicy as P;
        matches!(
            self.spec.policy,
            P::FixedPreempt | P::Adaptive | P::Reserved
        )
    }

    /// The youngest streams beyond the limit: they lose the least work.
    fn choose_preempted(&self) -> Vec<StreamNumber> {
        if !self.preempts() {
            return Vec::new();
        }
        let excess = self
            .batch()
            .saturating_sub(self.stream_limit(self.online()));
        let mut streams: Vec<_> = self.streams.iter().collect();
        streams.sort_by_key(|(number, s)| (s.tokens, std::cmp::Reverse((s.started, **number))));
        let youngest = streams.into_iter().take(excess as usize);
        youngest.map(|(number, _)| *number).collect()
    }

    /// Batch streams that may start now, keeping room for the next burst.
    pub fn free_batch_slots(&mut self, now: clock::MonotonicTime) -> u32 {
        self.expire(now);
        if self.leaving {
            return 0;
        }
        let unspaced = matches!(
            self.spec.policy,
            BatchPolicy::Uncontrolled | BatchPolicy::Fixed
        );
        if unspaced {
            return self
                .stream_limit(self.online())
                .saturating_sub(self.batch());
        }
        let early = |at| now.since(at) < self.spec.start_spacing;
        if self.started_at.is_some_and(early) {
            return 0;
        }
        let online = self.online();
        let expected = online + self.spec.headroom;
        let limit = self.stream_limit(online);
        let free = self.spec.max_sequences.saturating_sub(expected);
        limit.min(free).saturating_sub(self.batch()).min(1)
    }

    /// Begins a batch stream.
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

    /// Notes a token of a batch stream and the time since the one before it.
    pub fn record_token(&mut self, number: StreamNumber, gap: Option<time::Duration>) {
        let sequences = self.online() + self.batch();
        if let Some(gap) = gap {
            self.model.observe(sequences, gap);
        }
        if let Some(stream) = self.streams.get_mut(&number) {
            stream.tokens += 1;
        }
    }

    /// Ends a batch stream; one that was taken back is not known any more.
    pub fn end_stream(&mut self, number: StreamNumber) {
        self.streams.remove(&number);
    }

    /// Base and slope of the step time in seconds, once known.
    pub fn step_line(&self) -> Option<(f64, f64)> {
        self.model.line()
    }
}
