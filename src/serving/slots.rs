//! Slots for online requests: requested from an owner, or chosen by this process's own
//! counts.

use std::{rc, time};

use super::{
    context, continuations, directory,
    held_slot::{GrantState, HeldSlot},
    peers, queried_owners,
    slot_requests::{self, OwnerReply, SlotParams, SlotReply},
};
use crate::{
    clock,
    decisions::{endpoint_doubt, ownership},
    ids,
};

/// Maximum number of owners with suspect endpoints only that are queried in addition.
///
/// Each costs a round trip of 1 to 4 ms, and a request that is sent to a dead endpoint may
/// be lost.
const MAX_SUSPECT_OWNERS: usize = 3;

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

/// Acquires a slot for a new request.
///
/// # Errors
/// All endpoints are full or were tried, see [`SlotUnavailable`].
pub async fn acquire(
    context: &rc::Rc<context::ProcessContext>,
    request: &SlotParams<'_>,
) -> Result<HeldSlot, SlotUnavailable> {
    if let Some(slot) = slot_requests::request_from_relay(context, request, true).await {
        return Ok(slot);
    }
    match query_owners(context, request).await {
        OwnerReply::Slot(slot) => Ok(slot),
        OwnerReply::None(SlotReply::Full(_)) => Err(SlotUnavailable::Full),
        OwnerReply::Booked(delay) => Err(SlotUnavailable::Booked(delay)),
        OwnerReply::None(SlotReply::Excluded) => Err(SlotUnavailable::NoEndpoint),
        OwnerReply::None(_) => choose_locally(context, request),
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
        if answered >= queried_owners::MAX_QUERIED_OWNERS || suspect_owners >= MAX_SUSPECT_OWNERS {
            break;
        }
        let slot =
            slot_requests::online_slot_request(context, request, slot_requests::first_use(request));
        match slot_requests::send_request(context, owner, slot).await {
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

/// Returns whether a service is full: every queried owner of its endpoints replied so, or
/// that only suspect ones are free.
pub fn all_full(replies: &[SlotReply]) -> bool {
    let is_full =
        |reply: &SlotReply| matches!(reply, SlotReply::Full(_) | SlotReply::OnlySuspect(_));
    replies.iter().any(is_full) && !replies.contains(&SlotReply::Silent)
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
        let slot = slot_requests::online_slot_request(context, request, use_of_suspects);
        match slot_requests::send_request(context, owner, slot).await {
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
    let result = acquire(context, request).await;
    let Err(SlotUnavailable::Full | SlotUnavailable::Booked(_)) = result else {
        return result;
    };
    // An owner may know of endpoints at which a begun stream may not go on.
    match continuations::may_start_unlisted(context, request.service, request.software) {
        true => result,
        false => choose_locally(context, request),
    }
}

/// Requests a free slot from a few owners, and if all are full, a slot in a queue.
async fn query_owners(
    context: &rc::Rc<context::ProcessContext>,
    request: &SlotParams<'_>,
) -> OwnerReply {
    let service = request.service;
    let owners = queried_owners::owner_order(context, service, request.software);
    let denials = match request_slot(context, request, &owners).await {
        Ok(slot) => return OwnerReply::Slot(slot),
        Err(denials) => denials,
    };
    let replies: Vec<_> = denials.iter().map(|(reply, _)| *reply).collect();
    let is_excluded = |reply: &SlotReply| *reply == SlotReply::Excluded;
    if request.software.is_some() && !replies.is_empty() && replies.iter().all(is_excluded) {
        return OwnerReply::None(SlotReply::Excluded);
    }
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
        let queued = slot_requests::online_slot_request(context, request, slow);
        let queued = peers::OnlineSlotRequest {
            may_queue: true,
            wait: queued.wait.saturating_sub(started_at.elapsed()),
            ticket: None,
            ..queued
        };
        if let OwnerReply::Slot(slot) = slot_requests::send_request(context, owner, queued).await {
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
        ..slot_requests::online_slot_request(context, request, endpoint_doubt::SuspectUse::Slow)
    };
    let started_at = clock::BootInstant::now();
    let wait_ms = waiting.wait.as_millis();
    let number = waiting.number;
    let reply = slot_requests::send_request(context, owner, waiting).await;
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
    request: &SlotParams<'_>,
) -> Result<HeldSlot, SlotUnavailable> {
    let SlotParams { service, tried, .. } = *request;
    let directory = context.fleet.directory.borrow();
    let candidates = directory.of_version(service, request.software);
    let now = context.clock.now();
    let table = context.fleet.table();
    let is_limited = table.service(service).is_some_and(|s| s.cold_rate > 0.0);
    // Only its owner can hold a cold endpoint to its rate.
    let is_excluded = |entry: &directory::EndpointEntry| {
        let is_cold = is_limited && directory.cold_until(entry).is_some_and(|at| now < at);
        let is_uncertain = request.software.is_some() && continuations::is_excluded(context, entry);
        is_cold || tried.contains(&entry.id) || is_uncertain
    };
    let loads = context.loads.borrow();
    let domain = context.domain();
    let chosen = loads.choose(candidates, is_excluded, domain, now, &mut rand::rng());
    drop(loads);
    let endpoint = chosen.ok_or(SlotUnavailable::NoEndpoint)?;
    context.loads.borrow_mut().begin(&endpoint.id);
    Ok(HeldSlot::new(
        context,
        endpoint,
        None,
        GrantState::default(),
    ))
}
