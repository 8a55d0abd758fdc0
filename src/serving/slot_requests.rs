//! Requests for a slot to one owner or through a relay, and their replies.

use std::{rc, time};

use super::{
    context, continuations, directory,
    held_permit::{self, HeldPermit},
    held_slot::{GrantState, HeldSlot},
    peers, pending_permit, queried_owners, slot_grants,
};
use crate::{decisions::endpoint_doubt, ids};

/// The parameters of a request for a slot.
#[derive(Debug, Clone, Copy)]
pub struct SlotParams<'a> {
    /// The service that is to serve it.
    pub service: &'a ids::ServiceName,
    /// Endpoints that were tried before and are excluded.
    pub tried: &'a [ids::EndpointId],
    /// Software version at which the stream goes on; `None` for any.
    pub software: Option<&'a ids::SoftwareVersion>,
    /// Latency objective for the first event.
    pub objective: time::Duration,
    /// Whether the request may run only once.
    pub single_attempt: bool,
    /// Ticket for the wait queue of an owner, if the deployment uses them.
    pub ticket: Option<&'a peers::QueueTicket>,
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

/// The reply of one owner.
pub(super) enum OwnerReply {
    Slot(HeldSlot),
    None(SlotReply),
    /// All slots are in use; a retry is expected after this time.
    Booked(time::Duration),
}

/// Returns which endpoints with failures a request accepts before all owners were asked.
///
/// An endpoint that has just failed may have started again with other software, which the list
/// does not show yet.
pub(super) fn first_use(request: &SlotParams<'_>) -> endpoint_doubt::SuspectUse {
    match request.single_attempt || request.software.is_some() {
        true => endpoint_doubt::SuspectUse::Avoid,
        false => endpoint_doubt::SuspectUse::Probe,
    }
}

/// Builds a request for a slot that excludes the endpoints ejected by this process, and
/// the suspect ones if the request may run only once and does not accept them.
pub(super) fn online_slot_request(
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
    avoided.extend(continuations::excluded(context, service, request.software));
    let mut excluded = tried.to_vec();
    excluded.extend(avoided.into_iter().filter(|id| !tried.contains(id)));
    peers::OnlineSlotRequest {
        number: rand::random(),
        holder: context.run.clone(),
        domain: context.domain().clone(),
        service: service.clone(),
        tried: excluded,
        software: request.software.cloned(),
        may_queue: false,
        wait: first.unwrap_or_default().max_wait(request.objective),
        single_attempt: request.single_attempt,
        use_of_suspects,
        ticket: request.ticket.cloned(),
    }
}

/// Requests a slot from one owner and records its free slots.
pub(super) async fn send_request(
    context: &rc::Rc<context::ProcessContext>,
    owner: &ids::InstanceId,
    request: peers::OnlineSlotRequest,
) -> OwnerReply {
    let number = request.number;
    let software = request.software.clone();
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
            true => request.wait + queried_owners::OWNER_TIMEOUT,
            false => queried_owners::OWNER_TIMEOUT,
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
                queried_owners::set_free_slots(context, owner, service, 0);
                log::info!("event=owner_silent owner={owner} why=\"{e}\"");
                return OwnerReply::None(SlotReply::Silent);
            }
        }
    };
    if !response.owns {
        count_permit(context, "not_owner");
        queried_owners::record_not_owner(context, owner, service);
        return OwnerReply::None(SlotReply::NotOwner);
    }
    queried_owners::set_free_slots(context, owner, service, response.free_slots);
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
    match accept_response(context, owner, response, permit, software.as_ref()) {
        Some(slot) => OwnerReply::Slot(slot),
        None => OwnerReply::None(SlotReply::Silent),
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
    let software = request.software.clone();
    let pending = pending_permit::PendingPermit::new(context, relay.address, request.number);
    match context
        .links
        .acquire(relay.address, request, queried_owners::OWNER_TIMEOUT * 2)
        .await
    {
        Ok(response) => {
            pending.settle();
            accept_response(context, &relay.id, response, permit, software.as_ref())
        }
        Err(e) => {
            log::info!("event=relay_silent relay={} why=\"{e}\"", relay.id);
            None
        }
    }
}

fn count_permit(context: &context::ProcessContext, outcome: &str) {
    context.metrics.permits.with_label_values(&[outcome]).inc();
}

/// Returns the slot granted by a response, if its endpoint is listed here with the software
/// version at which the stream goes on.
///
/// Otherwise the permit is released.
fn accept_response(
    context: &rc::Rc<context::ProcessContext>,
    from: &ids::InstanceId,
    response: peers::OnlineSlotResponse,
    permit: HeldPermit,
    software: Option<&ids::SoftwareVersion>,
) -> Option<HeldSlot> {
    let id = response.endpoint?;
    let found = context.fleet.directory.borrow().usable(&id).cloned();
    let Some(endpoint) = found.filter(|endpoint| endpoint.continues(software)) else {
        log::info!(
            "event=place_refused endpoint={id} from={from} software={} why=\"the endpoint is not listed here\"",
            directory::software_label(software)
        );
        held_permit::release_permit(context, permit, false);
        return None;
    };
    count_permit(context, "granted");
    if !context.subset().contains(from) && from != context.id() {
        let now = context.clock.now();
        context.granted_at.borrow_mut().insert(from.clone(), now);
    }
    context.loads.borrow_mut().begin(&endpoint.id);
    let state = GrantState {
        is_doubted: response.is_probe,
        is_staged: response.is_staged,
    };
    let slot = HeldSlot::new(context, endpoint, Some(permit), state);
    Some(slot)
}
