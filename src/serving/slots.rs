//! Slots for online requests: requested from an owner, or chosen by this process's own
//! counts.

use std::{cell, collections, net, rc, time};

use rand::seq::IndexedRandom as _;

use super::{context, directory, endpoint_reports, peers, pending_permit, slot_grants};
use crate::{
    clock,
    decisions::{admission, endpoint_doubt, endpoint_speed, owner_order, ownership},
    ids, outcome,
};

/// Timeout of a request to an owner.
///
/// A round trip takes 1 to 4 ms, so an owner that takes longer is lost or overloaded.
const OWNER_TIMEOUT: time::Duration = time::Duration::from_millis(40);
/// Maximum number of owners queried before a request is sent without a permit or refused.
const MAX_QUERIED_OWNERS: usize = 3;
/// Maximum number of owners with suspect endpoints only that are queried in addition.
///
/// Each costs a round trip of 1 to 4 ms, and a request that is sent to a dead endpoint may
/// be lost.
const MAX_SUSPECT_OWNERS: usize = 3;
/// Number of endpoints whose owners are queried if no known owner has a free slot.
const SAMPLED_ENDPOINTS: usize = 16;

/// A slot that is held until this value is dropped.
pub struct HeldSlot {
    context: rc::Rc<context::ProcessContext>,
    /// The endpoint.
    pub endpoint: rc::Rc<directory::EndpointEntry>,
    permit: Option<HeldPermit>,
    is_served: cell::Cell<bool>,
    /// Whether the owner holds the endpoint suspect, so that a sign of life is reported
    /// before the release.
    is_doubted: cell::Cell<bool>,
    acquired_at: clock::MonotonicTime,
    progress: cell::Cell<RunProgress>,
}

/// Progress of the run in a slot.
#[derive(Debug, Clone, Copy, Default)]
struct RunProgress {
    /// Times of the first and the latest event.
    events_at: Option<(clock::MonotonicTime, clock::MonotonicTime)>,
    /// Number of events.
    events: u32,
    /// When a response that is no stream was complete.
    completed_at: Option<clock::MonotonicTime>,
    /// Slowdown that the endpoint reported, and when.
    slowdown: Option<(endpoint_speed::SlowdownPercent, clock::MonotonicTime)>,
}

impl HeldSlot {
    /// Returns when the slot was acquired.
    pub fn acquired_at(&self) -> clock::MonotonicTime {
        self.acquired_at
    }

    /// Records that the endpoint served the request, or has begun its response.
    pub fn record_served(&self) {
        let mut loads = self.context.loads.borrow_mut();
        loads.health.record_success(&self.endpoint.id);
        drop(loads);
        self.record_life();
        if !self.is_served.replace(true) {
            self.context.fleet.record_verified(&self.endpoint.id);
            let mut firsts = self.context.first_estimates.borrow_mut();
            let first = firsts.entry(self.endpoint.service.clone()).or_default();
            first.record(self.context.clock.now().since(self.acquired_at));
        }
    }

    /// Records that the endpoint has responded; reports it if the owner doubts it.
    fn record_life(&self) {
        let now = self.context.clock.now();
        let mut loads = self.context.loads.borrow_mut();
        loads.doubts.record_life(&self.endpoint.id, now);
        drop(loads);
        if self.is_doubted.replace(false) {
            self.report(peers::EndpointObservation::Alive);
        }
    }

    /// Records that a response or an event is overdue, and reports it to the owner.
    ///
    /// The endpoint counts as served only if it goes on.
    pub fn record_overdue(&self) {
        self.is_served.set(false);
        self.is_doubted.set(true);
        let observer = self.context.id().clone();
        self.report(peers::EndpointObservation::Overdue(observer));
    }

    /// Records that a response or an event is so late that it counts as a failure, and
    /// reports it to the owner. The request waits on.
    ///
    /// `is_silent` says that events stopped.
    pub fn record_slow(&self, is_silent: bool) {
        self.is_served.set(false);
        self.is_doubted.set(true);
        let report = endpoint_reports::report(&self.context, is_silent);
        self.report(peers::EndpointObservation::Slow(report));
    }

    /// Records that the endpoint responded that the request failed.
    pub fn record_fault(&self) {
        self.is_served.set(false);
        self.report(endpoint_reports::fault(&self.context));
    }

    /// Records that the endpoint makes progress after a failure was recorded.
    pub fn record_progress(&self) {
        if self.is_doubted.get() {
            self.record_life();
        }
        if !self.is_served.replace(true) {
            let mut loads = self.context.loads.borrow_mut();
            loads.health.record_success(&self.endpoint.id);
        }
    }

    /// Records an event of the response.
    pub fn record_event(&self) {
        let now = self.context.clock.now();
        let mut progress = self.progress.get();
        let first = progress.events_at.map_or(now, |(first, _)| first);
        progress.events_at = Some((first, now));
        progress.events += 1;
        self.progress.set(progress);
    }

    /// Records that a response that is no stream is complete.
    pub fn record_complete(&self) {
        let mut progress = self.progress.get();
        progress.completed_at = Some(self.context.clock.now());
        self.progress.set(progress);
    }

    /// Records the slowdown that the endpoint reported with its response, and tells the owner
    /// at once if it is unusual: it lasts only for a part of a run.
    pub fn record_slowdown(&self, percent: endpoint_speed::SlowdownPercent) {
        let mut progress = self.progress.get();
        progress.slowdown = Some((percent, self.context.clock.now()));
        self.progress.set(progress);
        if percent.is_unusual() {
            self.report(peers::EndpointObservation::Slowdown(percent));
        }
    }

    /// Returns what was observed of the run, if the response arrived at least in part.
    fn observation(&self) -> Option<endpoint_speed::RunObservation> {
        let progress = self.progress.get();
        let timing = match (progress.events_at, progress.completed_at) {
            (Some((first, last)), _) => endpoint_speed::RunTiming::Stream {
                first: first.since(self.acquired_at),
                gap: last.since(first) / progress.events.saturating_sub(1).max(1),
                events: progress.events,
            },
            (None, completed_at) => {
                endpoint_speed::RunTiming::Complete(completed_at?.since(self.acquired_at))
            }
        };
        let now = self.context.clock.now();
        let slowdown = progress.slowdown;
        let slowdown = slowdown.map(|(percent, at)| endpoint_speed::SlowdownReport {
            percent,
            age: now.since(at),
        });
        Some(endpoint_speed::RunObservation { timing, slowdown })
    }

    /// Records that the endpoint failed, and reports it to the owner.
    ///
    /// `is_silent` says that it gave no response at all.
    pub fn record_failed(&self, is_silent: bool) {
        self.is_served.set(false);
        self.is_doubted.set(true);
        self.report(endpoint_reports::failure(&self.context, is_silent));
    }

    /// Records that the endpoint did not run an attempt, and reports it to the owner.
    pub fn record_refused(&self, reason: outcome::NotRunReason) {
        self.is_served.set(false);
        endpoint_reports::count_refusal(&self.context, reason);
        if let Some(observation) = endpoint_reports::from_refusal(&self.context, reason) {
            self.report(observation);
        }
    }

    fn report(&self, observation: peers::EndpointObservation) {
        let grantor = match self.permit {
            None => endpoint_reports::SlotGrantor::NoOwner,
            Some(HeldPermit::Here(_)) => endpoint_reports::SlotGrantor::Local,
            Some(HeldPermit::Peer(owner, _)) => endpoint_reports::SlotGrantor::Peer(owner),
        };
        endpoint_reports::record(&self.context, &self.endpoint, grantor, observation);
    }
}

/// The process at which a permit is to be released.
#[derive(Debug, Clone, Copy)]
enum HeldPermit {
    Here(admission::PermitNumber),
    Peer(net::SocketAddr, admission::PermitNumber),
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        self.context.loads.borrow_mut().end(&self.endpoint.id);
        if let Some(permit) = self.permit {
            let is_served = self.is_served.get();
            let observation = self.observation().filter(|_| is_served);
            let release = |number| peers::SlotRelease {
                number,
                is_served,
                observation,
            };
            send_release(&self.context, permit, release);
        }
    }
}

/// The reason why there is no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SlotUnavailable {
    /// No endpoint of the service is listed, or all were tried.
    #[error("no endpoint of the service is left")]
    NoEndpoint,
    /// All endpoints are at their limits.
    #[error("all endpoints of the service are full")]
    Full,
    /// All endpoints are at their limits; a caller that retries after this time is expected.
    #[error("all endpoints of the service are full, a retry is expected in {} ms", .0.as_millis())]
    Booked(time::Duration),
}

/// The reply of one owner.
enum OwnerReply {
    Slot(HeldSlot),
    None(SlotReply),
    /// All slots are in use; a retry is expected after this time.
    Booked(time::Duration),
}

/// The reply of an owner that granted no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotReply {
    /// All slots are in use; holds how many more requests may queue.
    Full(u32),
    /// It owns no endpoint of the service.
    NotOwner,
    /// The request excludes all endpoints of the service that it owns, which says nothing
    /// about the endpoints of other owners.
    Excluded,
    /// Only endpoints with failures, which the request does not accept, have a free slot;
    /// holds how many more requests may queue at the others, and `None` if there are none.
    OnlySuspect(Option<u32>),
    /// It gave no usable response.
    Silent,
}

/// Returns whether a service is full: every queried owner of its endpoints replied so, or
/// that only suspect ones are free.
pub fn all_full(replies: &[SlotReply]) -> bool {
    let is_full =
        |reply: &SlotReply| matches!(reply, SlotReply::Full(_) | SlotReply::OnlySuspect(_));
    replies.iter().any(is_full) && !replies.contains(&SlotReply::Silent)
}

/// The parameters of a request for a slot.
#[derive(Debug, Clone, Copy)]
pub struct SlotParams<'a> {
    /// The service that is to serve it.
    pub service: &'a ids::ServiceName,
    /// Endpoints that were tried before and are excluded.
    pub tried: &'a [ids::EndpointId],
    /// Latency objective for the first event.
    pub objective: time::Duration,
    /// Whether the request may run only once.
    pub single_attempt: bool,
    /// Ticket for the wait queue of an owner, if the deployment uses them.
    pub ticket: Option<&'a peers::QueueTicket>,
}

/// Acquires a slot for a new request.
///
/// # Errors
/// All endpoints are full or were tried, see [`SlotUnavailable`].
pub async fn acquire(
    context: &rc::Rc<context::ProcessContext>,
    request: &SlotParams<'_>,
) -> Result<HeldSlot, SlotUnavailable> {
    if let Some(slot) = request_from_relay(context, request, true).await {
        return Ok(slot);
    }
    match query_owners(context, request).await {
        OwnerReply::Slot(slot) => Ok(slot),
        OwnerReply::None(SlotReply::Full(_)) => Err(SlotUnavailable::Full),
        OwnerReply::Booked(delay) => Err(SlotUnavailable::Booked(delay)),
        OwnerReply::None(_) => choose_locally(context, request.service, request.tried),
    }
}

/// Requests a free slot from a few owners in turn.
///
/// # Errors
/// None granted one; holds the reply of each.
pub(super) async fn request_slot<'a>(
    context: &rc::Rc<context::ProcessContext>,
    request: &SlotParams<'_>,
    owners: &'a [ids::InstanceId],
) -> Result<HeldSlot, Vec<(SlotReply, &'a ids::InstanceId)>> {
    let mut replies = Vec::new();
    let mut suspect_owners = 0;
    for owner in owners {
        let answered = replies.len() - suspect_owners;
        if answered >= MAX_QUERIED_OWNERS || suspect_owners >= MAX_SUSPECT_OWNERS {
            break;
        }
        let slot = online_slot_request(context, request, first_use(request));
        match send_request(context, owner, slot).await {
            OwnerReply::Slot(slot) => return Ok(slot),
            OwnerReply::None(reply) => {
                suspect_owners += usize::from(matches!(reply, SlotReply::OnlySuspect(_)));
                replies.push((reply, owner));
            }
            OwnerReply::Booked(_) => replies.push((SlotReply::Full(0), owner)),
        }
    }
    Err(replies)
}

/// Returns which endpoints with failures a request accepts after the replies of the owners.
pub fn use_after_denials(replies: &[SlotReply]) -> endpoint_doubt::SuspectUse {
    let has_trusted =
        |reply: &SlotReply| matches!(reply, SlotReply::Full(_) | SlotReply::OnlySuspect(Some(_)));
    match replies.iter().any(has_trusted) {
        true => endpoint_doubt::SuspectUse::Fallback,
        false => endpoint_doubt::SuspectUse::Any,
    }
}

/// Returns whether this process suspects endpoints of a service.
fn excludes_suspects(context: &context::ProcessContext, service: &ids::ServiceName) -> bool {
    let directory = context.fleet.directory.borrow();
    let loads = context.loads.borrow();
    let mut suspects = loads.doubts.suspects(context.clock.now());
    let is_listed = |id: &ids::EndpointId| {
        let entry = directory.usable(id);
        entry.is_some_and(|e| e.service == *service)
    };
    suspects.any(is_listed)
}

/// Requests a slot at a suspect endpoint from the owners that have no other free slot.
///
/// # Errors
/// None granted a usable one: [`SlotReply::Silent`] if one gave no usable response, which may
/// name an endpoint that is no longer listed here, and [`SlotReply::Full`] otherwise.
async fn request_suspect_slot(
    context: &rc::Rc<context::ProcessContext>,
    request: &SlotParams<'_>,
    denials: &[(SlotReply, &ids::InstanceId)],
    use_of_suspects: endpoint_doubt::SuspectUse,
) -> Result<HeldSlot, SlotReply> {
    let has_excluded = request.single_attempt && excludes_suspects(context, request.service);
    // In the second round, only owners that withheld a slot can have one.
    let is_first_round = use_of_suspects == endpoint_doubt::SuspectUse::Slow;
    let is_withheld = |reply: &SlotReply| match reply {
        SlotReply::OnlySuspect(_) => true,
        // The free endpoints may be suspect by the observations of this process only.
        SlotReply::Excluded => has_excluded,
        SlotReply::Full(_) => has_excluded && is_first_round,
        _ => false,
    };
    let withheld = denials.iter().filter(|(reply, _)| is_withheld(reply));
    let mut denial = SlotReply::Full(0);
    for (_, owner) in withheld.take(MAX_SUSPECT_OWNERS) {
        let slot = online_slot_request(context, request, use_of_suspects);
        match send_request(context, owner, slot).await {
            OwnerReply::Slot(slot) => return Ok(slot),
            OwnerReply::None(SlotReply::Silent) => denial = SlotReply::Silent,
            OwnerReply::None(_) | OwnerReply::Booked(_) => {}
        }
    }
    Err(denial)
}

/// Acquires a slot for a request that has run, even if a new request would be refused.
///
/// # Errors
/// No endpoint is left.
pub async fn acquire_or_choose_locally(
    context: &rc::Rc<context::ProcessContext>,
    request: &SlotParams<'_>,
) -> Result<HeldSlot, SlotUnavailable> {
    match acquire(context, request).await {
        Err(SlotUnavailable::Full | SlotUnavailable::Booked(_)) => {
            choose_locally(context, request.service, request.tried)
        }
        slot => slot,
    }
}

/// Requests a free slot from a few owners, and if all are full, a slot in a queue.
async fn query_owners(
    context: &rc::Rc<context::ProcessContext>,
    request: &SlotParams<'_>,
) -> OwnerReply {
    let service = request.service;
    let owners = owner_order(context, service);
    let denials = match request_slot(context, request, &owners).await {
        Ok(slot) => return OwnerReply::Slot(slot),
        Err(denials) => denials,
    };
    let replies: Vec<_> = denials.iter().map(|(reply, _)| *reply).collect();
    if !all_full(&replies) {
        let slot = match replies.contains(&SlotReply::Silent) {
            // The silent owner may have trusted endpoints, which are chosen without it.
            true => None,
            false => {
                let use_of_suspects = use_after_denials(&replies);
                let slot = request_suspect_slot(context, request, &denials, use_of_suspects);
                slot.await.ok()
            }
        };
        return slot.map_or(OwnerReply::None(SlotReply::Silent), OwnerReply::Slot);
    }
    let slow = endpoint_doubt::SuspectUse::Slow;
    if let Ok(slot) = request_suspect_slot(context, request, &denials, slow).await {
        return OwnerReply::Slot(slot);
    }
    let started_at = clock::BootInstant::now();
    if let Some(ticket) = request.ticket {
        let reply = wait_at_owner(context, request, ticket, &denials, &owners).await;
        match reply {
            Some(OwnerReply::Slot(slot)) => return OwnerReply::Slot(slot),
            Some(reply @ (OwnerReply::Booked(_) | OwnerReply::None(SlotReply::Full(_)))) => {
                let use_of_suspects = use_after_denials(&replies);
                let slot = request_suspect_slot(context, request, &denials, use_of_suspects).await;
                if slot.is_err() {
                    log_no_place(service, &replies, &owners);
                }
                return slot.map_or(reply, OwnerReply::Slot);
            }
            Some(OwnerReply::None(_)) | None => {}
        }
    }
    let with_queue = denials.iter().filter_map(|(reply, owner)| match reply {
        SlotReply::Full(free_queue_slots) | SlotReply::OnlySuspect(Some(free_queue_slots))
            if *free_queue_slots > 0 =>
        {
            Some((free_queue_slots, owner))
        }
        _ => None,
    });
    if let Some((_, owner)) = with_queue.max() {
        let queued = online_slot_request(context, request, slow);
        let queued = peers::OnlineSlotRequest {
            may_queue: true,
            wait: queued.wait.saturating_sub(started_at.elapsed()),
            ticket: None,
            ..queued
        };
        if let OwnerReply::Slot(slot) = send_request(context, owner, queued).await {
            return OwnerReply::Slot(slot);
        }
    }
    let use_of_suspects = use_after_denials(&replies);
    let denial = match request_suspect_slot(context, request, &denials, use_of_suspects).await {
        Ok(slot) => return OwnerReply::Slot(slot),
        Err(denial) => denial,
    };
    log_no_place(service, &replies, &owners);
    OwnerReply::None(denial)
}

fn log_no_place(service: &ids::ServiceName, replies: &[SlotReply], owners: &[ids::InstanceId]) {
    log::info!(
        "event=no_place service={service} owners_asked={} owners={}",
        replies.len(),
        owners.len()
    );
}

/// Requests a slot in the wait queue of one owner; `None` if there is no owner to wait at.
///
/// The owner follows from the digest, so that a retry reaches the one that booked its time.
/// One that has no room is asked only if no other has any: it books a time for the retry.
async fn wait_at_owner(
    context: &rc::Rc<context::ProcessContext>,
    request: &SlotParams<'_>,
    ticket: &peers::QueueTicket,
    denials: &[(SlotReply, &ids::InstanceId)],
    owners: &[ids::InstanceId],
) -> Option<OwnerReply> {
    let reply_of = |owner: &ids::InstanceId| {
        let denial = denials.iter().find(|(_, denied)| *denied == owner);
        denial.map(|(reply, _)| *reply)
    };
    let digest = ticket.digest.to_string();
    let candidates = owners.iter().filter_map(|owner| {
        let has_room = match reply_of(owner) {
            None => true,
            Some(
                SlotReply::Full(free_queue_slots) | SlotReply::OnlySuspect(Some(free_queue_slots)),
            ) => free_queue_slots > 0,
            Some(_) => return None,
        };
        Some((has_room, ownership::weight(owner.as_str(), &digest), owner))
    });
    let (_, _, owner) = candidates.max()?;
    let waiting = peers::OnlineSlotRequest {
        may_queue: true,
        ..online_slot_request(context, request, endpoint_doubt::SuspectUse::Slow)
    };
    let started_at = clock::BootInstant::now();
    let wait_ms = waiting.wait.as_millis();
    let number = waiting.number;
    let reply = send_request(context, owner, waiting).await;
    let outcome = match &reply {
        OwnerReply::Slot(_) => "granted",
        OwnerReply::Booked(_) => "booked",
        OwnerReply::None(SlotReply::Full(_)) => "full",
        OwnerReply::None(SlotReply::OnlySuspect(_)) => "only_suspect",
        OwnerReply::None(SlotReply::NotOwner) => "not_owner",
        OwnerReply::None(SlotReply::Excluded) => "excluded",
        OwnerReply::None(SlotReply::Silent) => "silent",
    };
    log::info!(
        "event=slot_waited number={number:016x} digest={digest} owner={owner} outcome={outcome} wait_ms={wait_ms} waited_ms={}",
        started_at.elapsed().as_millis()
    );
    Some(reply)
}

/// Chooses an endpoint by this process's own counts, without a permit.
///
/// # Errors
/// No endpoint is left.
pub fn choose_locally(
    context: &rc::Rc<context::ProcessContext>,
    service: &ids::ServiceName,
    tried: &[ids::EndpointId],
) -> Result<HeldSlot, SlotUnavailable> {
    let directory = context.fleet.directory.borrow();
    let candidates = directory.of_service(service);
    let now = context.clock.now();
    let table = context.fleet.table();
    let is_limited = table.service(service).is_some_and(|s| s.cold_rate > 0.0);
    // Only its owner can hold a cold endpoint to its rate.
    let is_excluded = |entry: &directory::EndpointEntry| {
        let is_cold = is_limited && directory.cold_until(entry).is_some_and(|at| now < at);
        is_cold || tried.contains(&entry.id)
    };
    let loads = context.loads.borrow();
    let domain = context.domain();
    let chosen = loads.choose(candidates, is_excluded, domain, now, &mut rand::rng());
    drop(loads);
    let endpoint = chosen.ok_or(SlotUnavailable::NoEndpoint)?;
    context.loads.borrow_mut().begin(&endpoint.id);
    Ok(HeldSlot {
        context: context.clone(),
        endpoint,
        permit: None,
        is_served: cell::Cell::new(false),
        is_doubted: cell::Cell::new(false),
        acquired_at: context.clock.now(),
        progress: cell::Cell::default(),
    })
}

/// Returns the owners in the order in which they are queried: those that have reported free
/// slots of the service or whose first report is awaited, then other owners of some of its
/// endpoints that have not reported any, then the full ones.
pub(super) fn owner_order(
    context: &context::ProcessContext,
    service: &ids::ServiceName,
) -> Vec<ids::InstanceId> {
    let owners = context.owners();
    let is_reachable = |id: &ids::InstanceId| id == context.id() || context.receives_from(id);
    let is_same_domain = |domain: &ids::DomainName| domain == context.domain();
    let free_slots = context.free_slots.borrow();
    let reported = |id: &ids::InstanceId| free_slots.get(id)?.get(service).copied();
    let reachable = owners.iter().filter(|owner| is_reachable(&owner.id));
    let known = reachable.filter_map(|owner| {
        let free_slots = match owner.id == *context.id() {
            true => context
                .permits
                .borrow()
                .free_online_slots(service, context.clock.now()),
            false => reported(&owner.id)?,
        };
        Some(owner_order::OwnerCapacity {
            id: owner.id.clone(),
            free_slots,
            is_same_domain: is_same_domain(&owner.domain),
        })
    });
    let known: Vec<_> = known.collect();
    let subset = context.subset();
    // A report names all services of which its sender owns endpoints.
    let awaits_report = |id: &ids::InstanceId| {
        id != context.id() && !free_slots.contains_key(id) && subset.contains(id)
    };
    let are_full = known.iter().all(|owner| owner.free_slots == 0);
    let mut reachable = owners.iter().filter(|owner| is_reachable(&owner.id));
    let unreported = match are_full || reachable.any(|owner| awaits_report(&owner.id)) {
        true => sampled_owners(context, service, &owners),
        false => Vec::new(),
    };
    let unreported = unreported
        .into_iter()
        .filter(|owner| is_reachable(&owner.id) && reported(&owner.id).is_none())
        .map(|owner| owner_order::UnreportedOwner {
            id: owner.id.clone(),
            is_same_domain: is_same_domain(&owner.domain),
            awaits_report: awaits_report(&owner.id),
        });
    let capacities = owner_order::with_unreported(known, unreported.collect());
    owner_order::random_order(capacities, &mut rand::rng())
}

/// Returns the owners of some endpoints of a service, drawn at random.
fn sampled_owners<'a>(
    context: &context::ProcessContext,
    service: &ids::ServiceName,
    owners: &'a [ownership::OwnerCandidate],
) -> Vec<&'a ownership::OwnerCandidate> {
    let directory = context.fleet.directory.borrow();
    let endpoints = directory.of_service(service);
    let index = ownership::OwnerIndex::new(owners);
    let drawn = endpoints.choose_multiple(&mut rand::rng(), SAMPLED_ENDPOINTS);
    let owners = drawn.filter_map(|e| index.owner_of(&e.id, &e.domain));
    let mut owners: Vec<_> = owners.collect();
    owners.sort_by(|a, b| a.id.cmp(&b.id));
    owners.dedup();
    owners
}

/// Returns which endpoints with failures a request accepts before all owners were asked.
fn first_use(request: &SlotParams<'_>) -> endpoint_doubt::SuspectUse {
    match request.single_attempt {
        true => endpoint_doubt::SuspectUse::Avoid,
        false => endpoint_doubt::SuspectUse::Probe,
    }
}

/// Builds a request for a slot that excludes the endpoints ejected by this process, and
/// the suspect ones if the request may run only once and does not accept them.
fn online_slot_request(
    context: &context::ProcessContext,
    request: &SlotParams<'_>,
    use_of_suspects: endpoint_doubt::SuspectUse,
) -> peers::OnlineSlotRequest {
    let SlotParams { service, tried, .. } = *request;
    let first = context.first_estimates.borrow().get(service).copied();
    let directory = context.fleet.directory.borrow();
    let count = directory.of_service(service).len();
    let is_listed = |id: &ids::EndpointId| {
        let entry = directory.usable(id);
        entry.is_some_and(|e| e.service == *service)
    };
    let loads = context.loads.borrow();
    // An endpoint that fails for this process may serve others, so it is excluded from
    // this request only.
    let now = context.clock.now();
    let mut avoided = loads.ejected(count, is_listed, now);
    // Repeatable requests probe suspect endpoints, which their owner permits.
    let suspects = || loads.suspects(count, is_listed, now).into_iter();
    match use_of_suspects {
        endpoint_doubt::SuspectUse::Avoid => avoided.extend(suspects()),
        endpoint_doubt::SuspectUse::Slow if request.single_attempt => {
            avoided.extend(suspects().filter(|id| loads.doubts.is_broken(id, now)));
        }
        _ => {}
    }
    let mut excluded = tried.to_vec();
    excluded.extend(avoided.into_iter().filter(|id| !tried.contains(id)));
    peers::OnlineSlotRequest {
        number: rand::random(),
        holder: context.run.clone(),
        domain: context.domain().clone(),
        service: service.clone(),
        tried: excluded,
        may_queue: false,
        wait: first.unwrap_or_default().max_wait(request.objective),
        single_attempt: request.single_attempt,
        use_of_suspects,
        ticket: request.ticket.cloned(),
    }
}

/// Requests a slot through a relay if this process is cut off from the owners.
///
/// The relay is a gateway that receives heartbeats from them.
pub(super) async fn request_from_relay(
    context: &rc::Rc<context::ProcessContext>,
    request: &SlotParams<'_>,
    may_queue: bool,
) -> Option<HeldSlot> {
    let relays = context.relays();
    let relay = relays.get(rand::random_range(0..relays.len().max(1)))?;
    let request = peers::OnlineSlotRequest {
        may_queue,
        // The relay waits only briefly for an owner.
        ticket: None,
        ..online_slot_request(context, request, first_use(request))
    };
    let permit = HeldPermit::Peer(relay.address, request.number);
    let pending = pending_permit::PendingPermit::new(context, relay.address, request.number);
    match context
        .links
        .acquire(relay.address, request, OWNER_TIMEOUT * 2)
        .await
    {
        Ok(response) => {
            pending.settle();
            accept_response(context, &relay.id, response, permit)
        }
        Err(e) => {
            log::info!("event=relay_silent relay={} why=\"{e}\"", relay.id);
            None
        }
    }
}

/// Requests a slot from the owners on behalf of a peer that is cut off from them.
pub async fn request_for_peer(
    context: &rc::Rc<context::ProcessContext>,
    mut request: peers::OnlineSlotRequest,
) -> Option<peers::OnlineSlotResponse> {
    // The owners receive no heartbeats from the peer, and would release its slots.
    request.holder = context.run.clone();
    // An owner is given too little time here for its wait queue.
    request.ticket = None;
    let number = request.number;
    let owners = owner_order(context, &request.service);
    let owners = &owners[..owners.len().min(MAX_QUERIED_OWNERS)];
    // A suspect endpoint qualifies once no queried owner has another one.
    let rounds = owners.iter().map(|owner| (owner, false));
    let rounds = rounds.chain(owners.iter().map(|owner| (owner, true)));
    let mut withheld = Vec::new();
    let mut has_trusted = false;
    for (owner, is_last_round) in rounds {
        if is_last_round && !withheld.contains(&owner) {
            continue;
        }
        if is_last_round {
            request.use_of_suspects = match has_trusted {
                true => endpoint_doubt::SuspectUse::Fallback,
                false => endpoint_doubt::SuspectUse::Any,
            };
        }
        let address = context.members.borrow().address_of(owner);
        let Some(address) = address else { continue };
        let response = context
            .links
            .acquire_relayed(address, request.clone(), OWNER_TIMEOUT)
            .await;
        match response {
            Ok(response) if response.endpoint.is_some() => {
                let permit = HeldPermit::Peer(address, number);
                if context.permits.borrow_mut().take_early_release(number) {
                    // The peer stopped waiting before the owner responded.
                    release_permit(context, permit, false);
                    return None;
                }
                context.relayed_slots.borrow_mut().put(number, address);
                return Some(response);
            }
            Ok(response) => {
                has_trusted |= response.owns && !response.excludes_all && !response.all_suspect;
                if response.only_suspect {
                    withheld.push(owner);
                }
            }
            Err(_) => release_permit(context, HeldPermit::Peer(address, number), false),
        }
    }
    None
}

/// Requests a slot from one owner and records its free slots.
async fn send_request(
    context: &rc::Rc<context::ProcessContext>,
    owner: &ids::InstanceId,
    request: peers::OnlineSlotRequest,
) -> OwnerReply {
    let number = request.number;
    let service = &request.service.clone();
    let (response, permit) = if owner == context.id() {
        let response = match slot_grants::may_wait(&request) {
            true => slot_grants::grant_or_wait(context, &request).await,
            false => slot_grants::grant(context, &request),
        };
        (response, HeldPermit::Here(number))
    } else {
        let Some(address) = context.members.borrow().address_of(owner) else {
            return OwnerReply::None(SlotReply::Silent);
        };
        let permit = HeldPermit::Peer(address, number);
        let pending = pending_permit::PendingPermit::new(context, address, number);
        let timeout = match slot_grants::may_wait(&request) {
            true => request.wait + OWNER_TIMEOUT,
            false => OWNER_TIMEOUT,
        };
        match context.links.acquire(address, request, timeout).await {
            Ok(response) => {
                pending.settle();
                (response, permit)
            }
            Err(e) => {
                count_permit(context, "silent");
                let now = context.clock.now();
                context.members.borrow_mut().record_failure(owner, now);
                set_free_slots(context, owner, service, 0);
                log::info!("event=owner_silent owner={owner} why=\"{e}\"");
                return OwnerReply::None(SlotReply::Silent);
            }
        }
    };
    if !response.owns {
        count_permit(context, "not_owner");
        let is_probed = context.subset().contains(owner);
        let mut free_slots = context.free_slots.borrow_mut();
        match free_slots.get_mut(owner) {
            Some(of_owner) => {
                of_owner.remove(service);
            }
            // An owner that has just started may not have read the list of endpoints: it
            // counts as full until its next heartbeat.
            None if is_probed => {
                let none = collections::HashMap::from([(service.clone(), 0)]);
                free_slots.insert(owner.clone(), none);
            }
            None => {}
        }
        return OwnerReply::None(SlotReply::NotOwner);
    }
    set_free_slots(context, owner, service, response.free_slots);
    if response.endpoint.is_none() && response.only_suspect {
        count_permit(context, "only_suspect");
        let free_queue_slots = (!response.all_suspect).then_some(response.free_queue_slots);
        return OwnerReply::None(SlotReply::OnlySuspect(free_queue_slots));
    }
    if response.endpoint.is_none() && response.excludes_all {
        count_permit(context, "excluded");
        return OwnerReply::None(SlotReply::Excluded);
    }
    if response.endpoint.is_none() {
        count_permit(context, "full");
        if let Some(delay) = response.retry_after {
            return OwnerReply::Booked(delay);
        }
        return OwnerReply::None(SlotReply::Full(response.free_queue_slots));
    }
    match accept_response(context, owner, response, permit) {
        Some(slot) => OwnerReply::Slot(slot),
        None => OwnerReply::None(SlotReply::Silent),
    }
}

/// Records the number of free slots that an owner has for a service.
fn set_free_slots(
    context: &context::ProcessContext,
    owner: &ids::InstanceId,
    service: &ids::ServiceName,
    free_slots: u32,
) {
    let mut all = context.free_slots.borrow_mut();
    let of_owner = all.entry(owner.clone()).or_default();
    of_owner.insert(service.clone(), free_slots);
}

fn count_permit(context: &context::ProcessContext, outcome: &str) {
    context.metrics.permits.with_label_values(&[outcome]).inc();
}

/// Returns the slot granted by a response, if its endpoint is listed here.
///
/// Otherwise the permit is released.
fn accept_response(
    context: &rc::Rc<context::ProcessContext>,
    from: &ids::InstanceId,
    response: peers::OnlineSlotResponse,
    permit: HeldPermit,
) -> Option<HeldSlot> {
    let id = response.endpoint?;
    let found = context.fleet.directory.borrow().usable(&id).cloned();
    let Some(endpoint) = found else {
        log::info!(
            "event=place_refused endpoint={id} from={from} why=\"the endpoint is not listed here\""
        );
        release_permit(context, permit, false);
        return None;
    };
    count_permit(context, "granted");
    if !context.subset().contains(from) && from != context.id() {
        let now = context.clock.now();
        context.granted_at.borrow_mut().insert(from.clone(), now);
    }
    context.loads.borrow_mut().begin(&endpoint.id);
    Some(HeldSlot {
        context: context.clone(),
        endpoint,
        permit: Some(permit),
        is_served: cell::Cell::new(false),
        is_doubted: cell::Cell::new(response.is_probe),
        acquired_at: context.clock.now(),
        progress: cell::Cell::default(),
    })
}

/// Releases a permit of which no run was observed.
fn release_permit(context: &context::ProcessContext, permit: HeldPermit, is_served: bool) {
    let release = |number| peers::SlotRelease {
        number,
        is_served,
        observation: None,
    };
    send_release(context, permit, release);
}

/// Releases a permit at the process that granted it.
fn send_release(
    context: &context::ProcessContext,
    permit: HeldPermit,
    release: impl Fn(admission::PermitNumber) -> peers::SlotRelease,
) {
    match permit {
        HeldPermit::Here(number) => slot_grants::release(context, release(number)),
        HeldPermit::Peer(peer, number) => context.links.release(peer, release(number)),
    }
}
