//! Slots at the endpoints that this process owns: permits for online requests, and batch
//! streams in the slots that these leave free.

use std::{collections, fmt, num, rc, time};

use super::{directory, peers, selection};
use crate::{
    clock,
    decisions::{
        admission, cold_start, endpoint_backoff, endpoint_choice, endpoint_doubt, endpoint_speed,
        queue_limit, wait_queue,
    },
    ids, protection,
};

/// TTL of a permit that is not released; longer than the longest request timeout.
pub(super) const PERMIT_TTL: time::Duration = time::Duration::from_secs(15);
/// Maximum number of remembered releases that arrived before their request.
///
/// Covers an owner that was suspended for a second at some hundred requests a second.
const MAX_EARLY_RELEASES: num::NonZeroUsize = num::NonZeroUsize::new(1024).expect("it is not zero");
/// Number of slots that batch work leaves free at each endpoint.
///
/// The next online request gets one without a cancellation; for further ones, batch
/// streams are preempted.
const HEADROOM: u32 = 1;

/// Backoff of an endpoint that refused a request as full although its ledger shows a free
/// slot.
///
/// Such an endpoint has work that its owner does not know of, or fewer slots than before.
/// It refuses within a round trip and then appears free, so without a backoff it would be
/// chosen again at once.
///
/// Requests last about half a second, so one of eight slots becomes free about every
/// 60 ms. The work of a lost owner ends after a few seconds, and an endpoint with free
/// slots must not be idle for longer than a request lasts.
const REFUSAL_BACKOFF: endpoint_backoff::BackoffRange = endpoint_backoff::BackoffRange {
    first: time::Duration::from_millis(60),
    last: time::Duration::from_millis(960),
    spread: 0.3,
};

/// Factor by which an endpoint's learned run times must change to be logged.
const LOGGED_SPEED_FACTOR: f64 = 1.25;
/// Minimum interval between two log lines about the speed of one endpoint.
const SPEED_LOG_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// A slot granted to an online request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantedSlot {
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Batch streams at the endpoint that must be cancelled for it.
    pub preempted: Vec<admission::StreamNumber>,
}

/// Diagnosis of a denied request: the state of the service's endpoints at this owner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotDenial {
    /// Number of owned endpoints of the service.
    pub endpoints: usize,
    /// Number of these that the request excludes.
    pub excluded: usize,
    /// Number of these that are backed off after a refusal, are unverified and in use, or
    /// are cold and had a request just now.
    pub unavailable: usize,
    /// Number of online requests that hold slots at them.
    pub online: u32,
    /// Number of processes that hold these slots.
    pub holders: usize,
    /// Age of the oldest held slot.
    pub oldest: time::Duration,
}

impl fmt::Display for SlotDenial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "endpoints={} unwanted={} closed={} online={} holders={} oldest_ms={}",
            self.endpoints,
            self.excluded,
            self.unavailable,
            self.online,
            self.holders,
            self.oldest.as_millis(),
        )
    }
}

/// The endpoint and the holder of a permit.
#[derive(Debug, Clone)]
struct PermitHolder {
    endpoint: ids::EndpointId,
    holder: ids::InstanceRun,
    expiry: clock::MonotonicTime,
    /// When it was granted; `None` if the request had to queue at the endpoint.
    granted_at: Option<clock::MonotonicTime>,
}

/// The borrower of a slot for a batch stream.
#[derive(Debug, Clone)]
struct SlotBorrower {
    holder: ids::InstanceRun,
    /// Number of the request by which it was borrowed.
    request: u64,
}

/// The ledgers of the owned endpoints, with the holders of their slots.
///
/// Invariant: each permit of `holders` is in the ledger of its endpoint.
#[derive(Debug)]
pub struct PermitTable {
    ledgers: collections::HashMap<ids::EndpointId, OwnedLedger>,
    holders: collections::HashMap<admission::PermitNumber, PermitHolder>,
    /// Batch streams that other instances run in borrowed slots.
    borrowed: collections::HashMap<(ids::EndpointId, admission::StreamNumber), SlotBorrower>,
    /// Estimates of how long online requests of a service hold a slot.
    hold_times: collections::HashMap<ids::ServiceName, queue_limit::HoldTimeEstimate>,
    /// What runs of a service take at the mean of its owned endpoints.
    references: collections::HashMap<ids::ServiceName, endpoint_speed::ServiceReference>,
    /// Numbers of permits and of batch requests that were released before they arrived.
    ///
    /// An owner that was suspended may read a newer link first, and so receive the release
    /// of a slot before the request for it.
    early_releases: lru::LruCache<admission::PermitNumber, ()>,
    /// Endpoints that are backed off after a refusal.
    refusals: endpoint_backoff::EndpointBackoff,
    /// Owned endpoints that are suspect after a failure.
    ///
    /// Invariant: each of them is in `ledgers`.
    doubts: endpoint_doubt::DoubtTable,
}

/// Base speed of an endpoint as it was last logged.
#[derive(Debug, Clone, Copy, Default)]
struct LoggedSpeed {
    base: endpoint_speed::LogRatio,
    at: Option<clock::MonotonicTime>,
}

/// Change of an endpoint's learned speed that is worth a log line.
#[derive(Debug, Clone, PartialEq)]
pub struct SpeedChange {
    /// Service of the endpoint.
    pub service: ids::ServiceName,
    /// Ratio of its run times to the mean before.
    pub before: f64,
    /// Ratio of its run times to the mean now.
    pub now: f64,
}

/// An owned endpoint and the ledger of its slots.
#[derive(Debug)]
struct OwnedLedger {
    entry: rc::Rc<directory::EndpointEntry>,
    ledger: admission::EndpointLedger,
    /// Whether its identity is not confirmed; it gets one request at a time until then.
    is_unverified: bool,
    cold_gate: cold_start::ColdGate,
    speed: endpoint_speed::EndpointSpeed,
    logged_speed: LoggedSpeed,
}

impl OwnedLedger {
    fn new(entry: &rc::Rc<directory::EndpointEntry>) -> Self {
        let mut ledger = admission::EndpointLedger::new(admission_spec(entry));
        ledger.number_streams_after(u64::from(rand::random::<u32>()) << 16);
        Self {
            entry: entry.clone(),
            ledger,
            is_unverified: false,
            cold_gate: cold_start::ColdGate::default(),
            speed: endpoint_speed::EndpointSpeed::default(),
            logged_speed: LoggedSpeed::default(),
        }
    }

    /// Returns the number of slots for online requests, including those of batch streams.
    fn free_online_slots(&self) -> u32 {
        self.entry.slots.saturating_sub(self.ledger.online())
    }

    /// Returns how many more requests may queue at the endpoint if `queue` may in total.
    fn free_queue_slots(&self, queue: u32) -> u32 {
        let limit = self.entry.slots + queue;
        limit.saturating_sub(self.ledger.online().max(self.entry.slots))
    }

    /// Returns the endpoint as a candidate for a choice.
    fn candidate(&self, now: clock::MonotonicTime) -> endpoint_choice::EndpointCandidate {
        let speed = match protection::is_disabled("expected_finish") {
            true => endpoint_speed::SpeedEstimate::default(),
            false => self.speed.estimate(now),
        };
        endpoint_choice::EndpointCandidate {
            speed,
            held: self.ledger.online(),
            slots: self.entry.slots,
        }
    }

    /// Returns whether any slot is held.
    fn is_held(&self) -> bool {
        self.ledger.online() + self.ledger.batch() > 0
    }

    /// Returns the number of unused slots; negative while requests queue.
    fn spare_slots(&self) -> i64 {
        let held = self.ledger.online() + self.ledger.batch();
        i64::from(self.entry.slots) - i64::from(held)
    }
}

fn admission_spec(entry: &directory::EndpointEntry) -> admission::AdmissionSpec {
    admission::AdmissionSpec {
        policy: admission::BatchPolicy::FixedPreempt,
        max_sequences: entry.slots,
        // The length of the queue depends on the objective of each request, and is
        // checked in `acquire`.
        max_online: u32::MAX,
        fixed_streams: entry.slots,
        permit_ttl: PERMIT_TTL,
        start_spacing: time::Duration::ZERO,
        headroom: HEADROOM,
        ..admission::AdmissionSpec::default()
    }
}

impl Default for PermitTable {
    fn default() -> Self {
        Self {
            ledgers: collections::HashMap::new(),
            holders: collections::HashMap::new(),
            borrowed: collections::HashMap::new(),
            hold_times: collections::HashMap::new(),
            references: collections::HashMap::new(),
            early_releases: lru::LruCache::new(MAX_EARLY_RELEASES),
            refusals: endpoint_backoff::EndpointBackoff::new(REFUSAL_BACKOFF),
            doubts: endpoint_doubt::DoubtTable::default(),
        }
    }
}

impl PermitTable {
    /// Replaces the list of owned endpoints.
    ///
    /// Returns the endpoints that are no longer owned or have restarted; their permits and
    /// streams are dropped.
    pub fn set_owned(
        &mut self,
        owned: &[rc::Rc<directory::EndpointEntry>],
    ) -> Vec<ids::EndpointId> {
        let listed: collections::HashMap<_, _> = owned.iter().map(|e| (&e.id, e.started)).collect();
        let is_dropped = |(id, owned): &(&ids::EndpointId, &OwnedLedger)| {
            listed.get(id) != Some(&owned.entry.started)
        };
        let dropped = self.ledgers.iter().filter(is_dropped);
        let dropped: Vec<_> = dropped.map(|(id, _)| id.clone()).collect();
        for id in &dropped {
            self.ledgers.remove(id);
            self.doubts.clear_probe(id);
        }
        let ledgers = &self.ledgers;
        self.holders
            .retain(|_, holder| ledgers.contains_key(&holder.endpoint));
        self.borrowed
            .retain(|(endpoint, _), _| ledgers.contains_key(endpoint));
        self.refusals.retain(|id| ledgers.contains_key(id));
        for entry in owned {
            let ledger = self.ledgers.entry(entry.id.clone());
            let ledger = ledger.or_insert_with(|| OwnedLedger::new(entry));
            ledger.entry = entry.clone();
        }
        // A restarted endpoint stays suspect until the new run gives a sign of life.
        let ledgers = &self.ledgers;
        self.doubts.retain(|id| ledgers.contains_key(id));
        dropped
    }

    /// Updates one endpoint: `owned` is its entry if this process owns it. Returns whether
    /// it is no longer owned or has restarted; its permits and streams are dropped then.
    ///
    /// The cost does not depend on the number of owned endpoints.
    pub fn update_owned(
        &mut self,
        id: &ids::EndpointId,
        owned: Option<&rc::Rc<directory::EndpointEntry>>,
    ) -> bool {
        let started = owned.map(|entry| entry.started);
        let known = self.ledgers.get(id);
        let is_dropped = known.is_some_and(|known| started != Some(known.entry.started));
        if is_dropped {
            self.ledgers.remove(id);
            self.holders.retain(|_, holder| holder.endpoint != *id);
            self.borrowed.retain(|(endpoint, _), _| endpoint != id);
            self.refusals.forget(id);
            self.doubts.clear_probe(id);
        }
        if let Some(entry) = owned {
            let ledger = self.ledgers.entry(id.clone());
            let ledger = ledger.or_insert_with(|| OwnedLedger::new(entry));
            ledger.entry = entry.clone();
        } else {
            self.doubts.forget(id);
        }
        is_dropped
    }

    /// Sets at which owned endpoints another endpoint may respond.
    pub fn set_unverified(&mut self, is_unverified: impl Fn(&ids::EndpointId) -> bool) {
        for (id, owned) in &mut self.ledgers {
            owned.is_unverified = is_unverified(id);
        }
    }

    /// Sets the limit of each owned endpoint that is cold.
    pub fn set_cold(
        &mut self,
        limit_of: impl Fn(&directory::EndpointEntry) -> Option<cold_start::ColdLimit>,
    ) {
        for owned in self.ledgers.values_mut() {
            owned.cold_gate.set_limit(limit_of(&owned.entry));
        }
    }

    /// Grants a slot to an online request unless all endpoints are full.
    ///
    /// Prefers an endpoint with a free slot, a warm one first, then the one that is expected
    /// to complete the request first and among equals one in the domain of the requester. If
    /// none is free, the first of the endpoints in this order gives up a batch stream or queues
    /// the request. Among alike endpoints, the number of requests decides.
    ///
    /// A request whose number already holds a slot gets the same slot again.
    pub fn acquire(
        &mut self,
        request: &peers::OnlineSlotRequest,
        ejected: &collections::HashSet<ids::EndpointId>,
        now: clock::MonotonicTime,
    ) -> Option<GrantedSlot> {
        if self.take_early_release(request.number) {
            return None;
        }
        // A second grant would replace the holder of the first, whose slot then stays taken
        // until it expires.
        if let Some(held) = self.holders.get(&request.number) {
            return Some(GrantedSlot {
                endpoint: held.endpoint.clone(),
                preempted: Vec::new(),
            });
        }
        let scale = self.speed_scale(&request.service, now);
        let usable = self
            .of_service(&request.service, now)
            .filter(|owned| !request.tried.contains(&owned.entry.id))
            .filter(|owned| self.is_acceptable(owned, request, ejected, now));
        let best = usable.min_by_key(|owned| {
            let is_full = owned.spare_slots() <= 0;
            let load = match is_full {
                true => owned.ledger.online(),
                false => owned.ledger.online() + owned.ledger.batch(),
            };
            (
                // An endpoint without a slot cannot be chosen for its speed or health.
                owned.free_online_slots() == 0,
                ejected.contains(&owned.entry.id),
                is_full,
                owned.cold_gate.is_cold(now),
                scale.finish_cost(&owned.candidate(now).speed, load),
                owned.entry.domain != request.domain,
                owned.entry.id.clone(),
            )
        })?;
        let is_free = best.free_online_slots() > 0;
        let may_wait =
            request.may_queue && best.free_queue_slots(self.max_queued(best, request.wait)) > 0;
        if !is_free && !may_wait {
            return None;
        }
        let endpoint = best.entry.id.clone();
        let owned = self.ledgers.get_mut(&endpoint)?;
        let grant = owned.ledger.request_permit(request.number, now)?;
        owned.cold_gate.record(now);
        self.doubts.begin(&endpoint, request.number, now);
        let holder = PermitHolder {
            endpoint: endpoint.clone(),
            holder: request.holder.clone(),
            expiry: now + PERMIT_TTL,
            granted_at: is_free.then_some(now),
        };
        self.holders.insert(request.number, holder);
        Some(GrantedSlot {
            endpoint,
            preempted: grant.preempt,
        })
    }

    /// Returns what the owned endpoints of a service have in common in their speed.
    fn speed_scale(
        &self,
        service: &ids::ServiceName,
        now: clock::MonotonicTime,
    ) -> endpoint_choice::SpeedScale {
        let owned = self
            .ledgers
            .values()
            .filter(|o| o.entry.service == *service);
        endpoint_choice::SpeedScale::new(owned.map(|owned| owned.candidate(now)))
    }

    /// Records what the holder of a slot observed of a run at an owned endpoint.
    ///
    /// Returns the change of its learned speed if it is large, at most once in
    /// [`SPEED_LOG_INTERVAL`].
    pub fn record_run(
        &mut self,
        endpoint: &ids::EndpointId,
        observation: &endpoint_speed::RunObservation,
        now: clock::MonotonicTime,
    ) -> Option<SpeedChange> {
        let owned = self.ledgers.get_mut(endpoint)?;
        let service = owned.entry.service.clone();
        let reference = self.references.entry(service.clone()).or_default();
        owned.speed.record_run(reference, observation, now);
        let logged = owned.logged_speed;
        if logged
            .at
            .is_some_and(|at| now.since(at) < SPEED_LOG_INTERVAL)
        {
            return None;
        }
        let scale = self.speed_scale(&service, now);
        let owned = self.ledgers.get_mut(endpoint)?;
        let base = scale.base(&owned.speed.estimate(now));
        if (base.0 - logged.base.0).abs() < LOGGED_SPEED_FACTOR.ln() {
            return None;
        }
        owned.logged_speed = LoggedSpeed {
            base,
            at: Some(now),
        };
        Some(SpeedChange {
            service,
            before: logged.base.ratio(),
            now: base.ratio(),
        })
    }

    /// Records a slowdown that an endpoint reported; does nothing if it is not owned.
    pub fn record_slowdown(
        &mut self,
        endpoint: &ids::EndpointId,
        report: endpoint_speed::SlowdownReport,
        now: clock::MonotonicTime,
    ) {
        if let Some(owned) = self.ledgers.get_mut(endpoint) {
            owned.speed.record_slowdown(report, now);
        }
    }

    /// Returns the speeds of the slowest and the fastest owned endpoint of each service,
    /// relative to their mean.
    pub fn speed_ratios(&self, now: clock::MonotonicTime) -> Vec<(ids::ServiceName, f64, f64)> {
        let mut ratios = collections::BTreeMap::new();
        let mut scales = collections::HashMap::new();
        for owned in self.ledgers.values() {
            let service = &owned.entry.service;
            let scale = scales
                .entry(service)
                .or_insert_with(|| self.speed_scale(service, now));
            let speed = 1.0 / scale.base(&owned.speed.estimate(now)).ratio();
            let (slowest, fastest) = ratios.entry(service).or_insert((speed, speed));
            *slowest = speed.min(*slowest);
            *fastest = speed.max(*fastest);
        }
        let ratios = ratios.into_iter();
        let ratios =
            ratios.map(|(service, (slowest, fastest))| (service.clone(), slowest, fastest));
        ratios.collect()
    }

    /// Returns why a request got no slot.
    pub fn denial(
        &self,
        request: &peers::OnlineSlotRequest,
        now: clock::MonotonicTime,
    ) -> SlotDenial {
        let ledgers = self.ledgers.values();
        let owned: Vec<_> = ledgers
            .filter(|o| o.entry.service == request.service)
            .collect();
        let is_excluded = |owned: &&&OwnedLedger| request.tried.contains(&owned.entry.id);
        let is_of_service = |h: &&PermitHolder| {
            let ledger = self.ledgers.get(&h.endpoint);
            ledger.is_some_and(|o| o.entry.service == request.service)
        };
        let held: Vec<_> = self.holders.values().filter(is_of_service).collect();
        let holders: collections::HashSet<_> = held.iter().map(|h| &h.holder).collect();
        let ages = held
            .iter()
            .map(|h| PERMIT_TTL.saturating_sub(h.expiry.since(now)));
        SlotDenial {
            endpoints: owned.len(),
            excluded: owned.iter().filter(is_excluded).count(),
            unavailable: owned.len() - self.of_service(&request.service, now).count(),
            online: owned.iter().map(|o| o.ledger.online()).sum(),
            holders: holders.len(),
            oldest: ages.max().unwrap_or_default(),
        }
    }

    /// Returns how many requests may queue at an endpoint if each may wait for `wait`.
    fn max_queued(&self, owned: &OwnedLedger, wait: time::Duration) -> u32 {
        let hold_time = self.hold_times.get(&owned.entry.service).copied();
        hold_time
            .unwrap_or_default()
            .max_waiting(owned.entry.slots, wait)
    }

    /// Releases the permit of a served request and records how long it was held.
    ///
    /// Returns its endpoint if the permit is known.
    pub fn release_served(
        &mut self,
        number: admission::PermitNumber,
        now: clock::MonotonicTime,
    ) -> Option<ids::EndpointId> {
        let granted_at = self.holders.get(&number)?.granted_at;
        let endpoint = self.release(number)?;
        if let (Some(granted_at), Some(owned)) = (granted_at, self.ledgers.get(&endpoint)) {
            let hold_time = self
                .hold_times
                .entry(owned.entry.service.clone())
                .or_default();
            hold_time.record(now.since(granted_at));
        }
        self.refusals.forget(&endpoint);
        Some(endpoint)
    }

    /// Releases a permit; returns its endpoint if the permit is known.
    pub fn release(&mut self, number: admission::PermitNumber) -> Option<ids::EndpointId> {
        let Some(holder) = self.holders.remove(&number) else {
            self.early_releases.put(number, ());
            return None;
        };
        if let Some(owned) = self.ledgers.get_mut(&holder.endpoint) {
            owned.ledger.release_permit(number);
        }
        self.doubts.end(&holder.endpoint, number);
        Some(holder.endpoint)
    }

    /// Releases all permits and batch streams of processes that ended; returns their number.
    pub fn release_ended(&mut self, has_ended: impl Fn(&ids::InstanceRun) -> bool) -> usize {
        let held = self.holders.iter().filter(|(_, h)| has_ended(&h.holder));
        let held: Vec<_> = held.map(|(number, _)| *number).collect();
        let borrowed = self.borrowed.iter().filter(|(_, b)| has_ended(&b.holder));
        let borrowed: Vec<_> = borrowed.map(|(key, _)| key.clone()).collect();
        let released = held.len() + borrowed.len();
        for number in held {
            self.release(number);
        }
        for (endpoint, number) in borrowed {
            self.end_batch(&endpoint, number);
        }
        released
    }

    /// Removes and returns the borrower of a batch stream, if another instance runs it.
    pub fn borrower(
        &mut self,
        endpoint: &ids::EndpointId,
        number: admission::StreamNumber,
    ) -> Option<ids::InstanceId> {
        let borrower = self.borrowed.remove(&(endpoint.clone(), number))?;
        Some(borrower.holder.instance)
    }

    /// Returns the owned endpoints.
    pub fn owned(&self) -> impl Iterator<Item = &rc::Rc<directory::EndpointEntry>> {
        self.ledgers.values().map(|owned| &owned.entry)
    }

    /// Returns the owned endpoints that are ejected for failures.
    ///
    /// `listed` returns the number of endpoints of a service at all owners. The maximum
    /// share of ejected endpoints applies to these: an owner that has mostly ejected ones
    /// does not ignore the ejections while other owners have most of the service.
    pub fn ejected(
        &self,
        loads: &selection::LoadTable,
        listed: impl Fn(&ids::ServiceName) -> usize,
        now: clock::MonotonicTime,
    ) -> collections::HashSet<ids::EndpointId> {
        let mut ejected = loads.ejected_uncapped(|id| self.ledgers.contains_key(id), now);
        let service_of = |id: &ids::EndpointId| self.ledgers.get(id).map(|o| &o.entry.service);
        let mut counts = collections::HashMap::<_, usize>::new();
        for service in ejected.iter().filter_map(service_of) {
            *counts.entry(service).or_default() += 1;
        }
        let is_capped = |service| {
            let count = counts.get(service).copied().unwrap_or_default();
            let listed = listed(service);
            // One of two endpoints may be ejected, but not the only one.
            count >= listed || (count > 1 && selection::exceeds_ejection_limit(count, listed))
        };
        ejected.retain(|id| service_of(id).is_some_and(|service| !is_capped(service)));
        ejected
    }

    /// Returns whether a request may be sent to an owned endpoint, considering what is
    /// known of the endpoint's failures.
    fn is_acceptable(
        &self,
        owned: &OwnedLedger,
        request: &peers::OnlineSlotRequest,
        ejected: &collections::HashSet<ids::EndpointId>,
        now: clock::MonotonicTime,
    ) -> bool {
        use endpoint_doubt::SuspectUse as S;

        if protection::is_disabled("endpoint_doubt") {
            return true;
        }
        let id = &owned.entry.id;
        let use_of_suspects = request.use_of_suspects;
        let accepts_ejected = matches!(use_of_suspects, S::Fallback | S::Any);
        let is_ejected = ejected.contains(id) && !accepts_ejected;
        !is_ejected && self.doubts.admits(id, use_of_suspects, now)
    }

    /// Returns whether the request would get a free slot if it accepted suspect endpoints.
    pub fn has_only_suspect(
        &self,
        request: &peers::OnlineSlotRequest,
        ejected: &collections::HashSet<ids::EndpointId>,
        now: clock::MonotonicTime,
    ) -> bool {
        let candidates = self
            .of_service(&request.service, now)
            .filter(|owned| !request.tried.contains(&owned.entry.id));
        let mut free = candidates
            .filter(|owned| owned.free_online_slots() > 0)
            .map(|owned| self.is_acceptable(owned, request, ejected, now))
            .peekable();
        free.peek().is_some() && !free.any(|is_acceptable| is_acceptable)
    }

    /// Returns whether all owned endpoints of the service that a request does not exclude
    /// are suspect or ejected.
    pub fn are_all_suspect(
        &self,
        request: &peers::OnlineSlotRequest,
        ejected: &collections::HashSet<ids::EndpointId>,
        now: clock::MonotonicTime,
    ) -> bool {
        let owned = self.owned().filter(|e| e.service == request.service);
        let mut candidates = owned.filter(|e| !request.tried.contains(&e.id));
        candidates.all(|e| ejected.contains(&e.id) || self.is_suspect(&e.id, now))
    }

    /// Returns whether an owned endpoint is suspect.
    pub fn is_suspect(&self, id: &ids::EndpointId, now: clock::MonotonicTime) -> bool {
        self.doubts.is_suspect(id, now)
    }

    /// Returns the number of owned endpoints that are suspect.
    pub fn suspect_count(&self, now: clock::MonotonicTime) -> usize {
        self.doubts.suspects(now).count()
    }

    /// Records a failure of an owned endpoint; returns whether it has become suspect by it.
    pub fn record_failure(
        &mut self,
        id: &ids::EndpointId,
        evidence: endpoint_doubt::FailureEvidence,
        now: clock::MonotonicTime,
    ) -> bool {
        self.ledgers.contains_key(id) && self.doubts.record_failure(id, evidence, now)
    }

    /// Records a sign of life of an endpoint; returns for how long it was suspect, if it was.
    pub fn record_life(
        &mut self,
        id: &ids::EndpointId,
        now: clock::MonotonicTime,
    ) -> Option<time::Duration> {
        self.doubts.record_life(id, now)
    }

    /// Removes and returns the endpoints that are no longer suspect by the passing of time.
    pub fn take_expired_doubts(&mut self, now: clock::MonotonicTime) -> Vec<ids::EndpointId> {
        self.doubts.take_expired(now)
    }

    /// Lends slots for batch streams to a peer, up to the requested number.
    pub fn lend_batch(
        &mut self,
        request: &peers::BatchSlotRequest,
        ejected: &collections::HashSet<ids::EndpointId>,
        now: clock::MonotonicTime,
    ) -> Vec<(ids::EndpointId, admission::StreamNumber)> {
        let mut borrowed = Vec::new();
        if self.take_early_release(request.number) {
            return borrowed;
        }
        while borrowed.len() < request.count {
            let Some((entry, number)) = self.begin_batch(&request.service, ejected, now) else {
                break;
            };
            let key = (entry.id.clone(), number);
            let borrower = SlotBorrower {
                holder: request.holder.clone(),
                request: request.number,
            };
            self.borrowed.insert(key.clone(), borrower);
            borrowed.push(key);
        }
        borrowed
    }

    /// Ends the batch streams lent to a request whose response was lost.
    ///
    /// The cancellation may arrive before the request, and is then remembered.
    pub fn cancel_lent(&mut self, request: u64) {
        let borrowed = self.borrowed.iter().filter(|(_, b)| b.request == request);
        let borrowed: Vec<_> = borrowed.map(|(key, _)| key.clone()).collect();
        if borrowed.is_empty() {
            self.early_releases.put(request, ());
        }
        for (endpoint, number) in borrowed {
            self.end_batch(&endpoint, number);
        }
    }

    /// Records that an owned endpoint refused a request that held a slot, and backs the
    /// endpoint off, as it has fewer free slots than its ledger shows.
    pub fn record_refused(&mut self, endpoint: &ids::EndpointId, now: clock::MonotonicTime) {
        if self.ledgers.contains_key(endpoint) {
            self.refusals.record(endpoint, now, &mut rand::rng());
        }
    }

    /// Records that an endpoint served a request that held a slot, which ends its backoff.
    pub fn record_served(&mut self, endpoint: &ids::EndpointId) {
        self.refusals.forget(endpoint);
    }

    /// Ends the backoffs that have expired; returns whether there were any.
    pub fn reopen(&mut self, now: clock::MonotonicTime) -> bool {
        self.refusals.expire(now)
    }

    /// Returns whether no slot is held.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty() && self.borrowed.is_empty()
    }

    /// Releases the expired permits; returns their endpoints and holders.
    ///
    /// An expired permit is a fault of its holder or of the link to it. A ledger drops
    /// expired permits only when it grants a slot, which a full one never does.
    pub fn expire(
        &mut self,
        now: clock::MonotonicTime,
    ) -> Vec<(ids::EndpointId, ids::InstanceRun)> {
        let expired = self.holders.iter().filter(|(_, h)| h.expiry <= now);
        let expired: Vec<_> = expired.map(|(number, h)| (*number, h.clone())).collect();
        let ended = expired.into_iter().map(|(number, held)| {
            self.release(number);
            (held.endpoint, held.holder)
        });
        ended.collect()
    }

    /// Returns whether a number was released before its request arrived, and forgets it.
    pub fn take_early_release(&mut self, number: admission::PermitNumber) -> bool {
        self.early_releases.pop(&number).is_some()
    }

    /// Returns whether this process owns endpoints of a service.
    pub fn owns(&self, service: &ids::ServiceName) -> bool {
        self.owned().any(|entry| entry.service == *service)
    }

    /// Returns whether this process owns endpoints of the requested service and the request
    /// excludes all of them.
    pub fn are_all_excluded(&self, request: &peers::OnlineSlotRequest) -> bool {
        let mut owned = self.owned().filter(|e| e.service == request.service);
        self.owns(&request.service) && owned.all(|e| request.tried.contains(&e.id))
    }

    /// Returns the number of slots of a service that online requests can get now, without
    /// those of endpoints that lost a request.
    pub fn free_online_slots(&self, service: &ids::ServiceName, now: clock::MonotonicTime) -> u32 {
        self.of_service(service, now)
            .filter(|owned| !self.doubts.is_broken(&owned.entry.id, now))
            .map(OwnedLedger::free_online_slots)
            .sum()
    }

    /// Returns the number of free queue slots of a service, without those of endpoints that
    /// lost a request, for requests that may wait for `wait`.
    pub fn free_queue_slots(
        &self,
        service: &ids::ServiceName,
        wait: time::Duration,
        now: clock::MonotonicTime,
    ) -> u32 {
        let owned = self.of_service(service, now);
        let trusted = owned.filter(|owned| !self.doubts.is_broken(&owned.entry.id, now));
        let free_slots = trusted.map(|owned| owned.free_queue_slots(self.max_queued(owned, wait)));
        free_slots.sum()
    }

    /// Returns the capacity of a service for which requests wait in a wait queue, without
    /// endpoints that may grant no slots or lost a request.
    pub fn queue_capacity(
        &self,
        service: &ids::ServiceName,
        now: clock::MonotonicTime,
    ) -> wait_queue::QueueCapacity {
        let owned = self.of_service(service, now);
        let usable = owned.filter(|owned| !self.doubts.is_broken(&owned.entry.id, now));
        let slots = usable.map(|owned| owned.entry.slots).sum::<u32>();
        let hold_time = self.hold_times.get(service).copied().unwrap_or_default();
        let spacing = hold_time.mean().filter(|_| slots > 0);
        wait_queue::QueueCapacity {
            spacing: spacing.map(|mean| mean / slots),
            slots,
            // The expected turn bounds the queue further; each entry has its own wait.
            limit: hold_time.max_waiting(slots, time::Duration::MAX) as usize,
        }
    }

    /// Returns whether a permit is held.
    pub fn holds(&self, number: admission::PermitNumber) -> bool {
        self.holders.contains_key(&number)
    }

    /// Returns the service of an owned endpoint.
    pub fn service_of(&self, endpoint: &ids::EndpointId) -> Option<&ids::ServiceName> {
        let owned = self.ledgers.get(endpoint)?;
        Some(&owned.entry.service)
    }

    /// Returns the owned endpoints of a service that may grant slots.
    fn of_service<'a>(
        &'a self,
        service: &'a ids::ServiceName,
        now: clock::MonotonicTime,
    ) -> impl Iterator<Item = &'a OwnedLedger> {
        let owned = self.ledgers.values();
        owned.filter(move |owned| {
            let id = &owned.entry.id;
            let awaits_response = owned.is_unverified && owned.is_held();
            let is_open = !self.refusals.is_backed_off(id) && owned.cold_gate.is_open(now);
            owned.entry.service == *service && is_open && !awaits_response
        })
    }

    /// Returns the free slots of each service with owned endpoints.
    pub fn free_slots(&self, now: clock::MonotonicTime) -> Vec<(ids::ServiceName, u32)> {
        let mut services: Vec<_> = self.owned().map(|entry| entry.service.clone()).collect();
        services.sort();
        services.dedup();
        let free_slots = services.into_iter().map(|service| {
            let free_slots = self.free_online_slots(&service, now);
            (service, free_slots)
        });
        free_slots.collect()
    }

    /// Begins a batch stream at the owned endpoint of `service` with the most free slots,
    /// where those of slow endpoints count more.
    pub fn begin_batch(
        &mut self,
        service: &ids::ServiceName,
        ejected: &collections::HashSet<ids::EndpointId>,
        now: clock::MonotonicTime,
    ) -> Option<(rc::Rc<directory::EndpointEntry>, admission::StreamNumber)> {
        let scale = self.speed_scale(service, now);
        let (refusals, doubts) = (&self.refusals, &self.doubts);
        let is_broken = |id: &ids::EndpointId| {
            doubts.is_broken(id, now) && !protection::is_disabled("endpoint_doubt")
        };
        // Without a choice, the items would wait for endpoints that no batch stream probes.
        let mut of_service = self.ledgers.values();
        let has_choice = of_service.any(|o| o.entry.service == *service && !is_broken(&o.entry.id));
        let usable = self.ledgers.values_mut().filter(|owned| {
            let id = &owned.entry.id;
            let awaits_response = owned.is_unverified && owned.is_held();
            let is_open = !refusals.is_backed_off(id) && owned.cold_gate.is_open(now);
            let is_open = is_open && !awaits_response && !(has_choice && is_broken(id));
            owned.entry.service == *service && !ejected.contains(id) && is_open
        });
        let available = usable.filter_map(|owned| {
            let free_slots = owned.ledger.free_batch_slots(now);
            (free_slots > 0).then_some(owned)
        });
        let best = available.max_by_key(|owned| {
            let is_warm = !owned.cold_gate.is_cold(now);
            let speed = owned.candidate(now).speed;
            let preference = scale.batch_preference(&speed, owned.spare_slots());
            (is_warm, preference, owned.entry.id.clone())
        })?;
        let number = best.ledger.begin_stream(now);
        best.cold_gate.record(now);
        Some((best.entry.clone(), number))
    }

    /// Ends a batch stream; does nothing if it was preempted before.
    pub fn end_batch(&mut self, endpoint: &ids::EndpointId, number: admission::StreamNumber) {
        self.borrowed.remove(&(endpoint.clone(), number));
        if let Some(owned) = self.ledgers.get_mut(endpoint) {
            owned.ledger.end_stream(number);
        }
    }

    /// Returns the numbers of online requests and of batch streams at all owned endpoints.
    pub fn totals(&self) -> (u32, u32) {
        let ledgers = self.ledgers.values().map(|owned| &owned.ledger);
        ledgers.fold((0, 0), |(online, batch), ledger| {
            (online + ledger.online(), batch + ledger.batch())
        })
    }
}
