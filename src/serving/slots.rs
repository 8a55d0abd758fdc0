//! A place for an online request: asked of an owner, or taken on this process's own counts.

use std::{cell, net, rc, time};

use super::{context, directory, endpoint_reports, peer_calls, peers};
use crate::{
    clock,
    decisions::{admission, owner_order},
    ids, outcome,
};

/// Longest wait for an owner; a round trip takes 1 to 4 ms, so it is lost or overloaded then.
const OWNER_TIMEOUT: time::Duration = time::Duration::from_millis(40);
/// Owners that are asked before the request goes ahead or is refused.
const OWNERS_ASKED: usize = 3;
/// Places that an owner is taken to have before it said so.
const UNKNOWN_ROOM: u32 = 8;

/// A place that is held until this is dropped.
pub struct HeldSlot {
    context: rc::Rc<context::ProcessContext>,
    /// The endpoint.
    pub endpoint: rc::Rc<directory::EndpointEntry>,
    permit: Option<HeldPermit>,
    is_served: cell::Cell<bool>,
    taken: clock::MonotonicTime,
}

impl HeldSlot {
    /// When it was taken.
    pub fn taken(&self) -> clock::MonotonicTime {
        self.taken
    }

    /// Notes that the endpoint served the request, or goes on doing so.
    pub fn record_served(&self) {
        let mut loads = self.context.loads.borrow_mut();
        loads.health.record_success(&self.endpoint.id);
        if !self.is_served.replace(true) {
            self.context.fleet.record_verified(&self.endpoint.id);
            let mut firsts = self.context.firsts.borrow_mut();
            let first = firsts.entry(self.endpoint.service.clone()).or_default();
            first.record(self.context.clock.now().since(self.taken));
        }
    }

    /// Notes that the endpoint goes on, if it was taken for failed.
    pub fn record_progress(&self) {
        if !self.is_served.replace(true) {
            let mut loads = self.context.loads.borrow_mut();
            loads.health.record_success(&self.endpoint.id);
        }
    }

    /// Notes that the endpoint failed, or did not answer at all, and tells its owner.
    pub fn record_failed(&self, is_silent: bool) {
        self.is_served.set(false);
        self.tell(endpoint_reports::failure(&self.context, is_silent));
    }

    /// Notes that the endpoint did not run an attempt, and tells its owner.
    pub fn record_refused(&self, reason: outcome::NotRunReason) {
        self.is_served.set(false);
        endpoint_reports::count_refusal(&self.context, reason);
        if let Some(observation) = endpoint_reports::from_refusal(&self.context, reason) {
            self.tell(observation);
        }
    }

    fn tell(&self, observation: peers::EndpointObservation) {
        let grantor = match self.permit {
            None => endpoint_reports::SlotGrantor::NoOwner,
            Some(HeldPermit::Here(_)) => endpoint_reports::SlotGrantor::Local,
            Some(HeldPermit::Peer(owner, _)) => endpoint_reports::SlotGrantor::Peer(owner),
        };
        endpoint_reports::record(&self.context, &self.endpoint, grantor, observation);
    }
}

/// Where a permit is to be released.
enum HeldPermit {
    Here(admission::PermitNumber),
    Peer(net::SocketAddr, admission::PermitNumber),
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        self.context.loads.borrow_mut().end(&self.endpoint.id);
        if let Some(permit) = &self.permit {
            end_permit(&self.context, permit, self.is_served.get());
        }
    }
}

/// Why there is no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SlotUnavailable {
    /// No endpoint of the service is listed, or all were tried.
    #[error("no endpoint of the service is left")]
    NoEndpoint,
    /// All endpoints hold as much as they may.
    #[error("all endpoints of the service are full")]
    Full,
}

/// What one owner said.
enum OwnerReply {
    Slot(HeldSlot),
    None(SlotReply),
}

/// What an owner said that gave no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotReply {
    /// There is none; so many places are left in queues.
    Full(u32),
    /// It owns no endpoint of the service.
    NotOwner,
    /// It gave no answer.
    Silent,
}

/// Whether a service is full: all owners that were asked and own a part of it say so.
pub fn all_full(replies: &[SlotReply]) -> bool {
    let is_full = |word: &SlotReply| matches!(word, SlotReply::Full(_));
    replies.iter().any(is_full) && !replies.contains(&SlotReply::Silent)
}

/// What a place is to be for.
#[derive(Debug, Clone, Copy)]
pub struct SlotParams<'a> {
    /// The service that is to serve it.
    pub service: &'a ids::ServiceName,
    /// Endpoints that were tried.
    pub tried: &'a [ids::EndpointId],
    /// Time within which its first event is to come.
    pub objective: time::Duration,
}

/// Finds a place for a request.
///
/// # Errors
/// See [`SlotUnavailable`].
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
        OwnerReply::None(_) => go_ahead(context, request.service, request.tried),
    }
}

/// Asks a few owners for a free slot.
///
/// # Errors
/// None gave one: what each of them said.
pub(super) async fn request_slot<'a>(
    context: &rc::Rc<context::ProcessContext>,
    request: &SlotParams<'_>,
    owners: &'a [ids::InstanceId],
) -> Result<HeldSlot, Vec<(SlotReply, &'a ids::InstanceId)>> {
    let mut replies = Vec::new();
    for owner in owners.iter().take(OWNERS_ASKED) {
        let slot = online_slot_request(context, request);
        match send_request(context, owner, slot).await {
            OwnerReply::Slot(slot) => return Ok(slot),
            OwnerReply::None(word) => replies.push((word, owner)),
        }
    }
    Err(replies)
}

/// Finds a place where a new request would be refused too, for one that has begun.
///
/// # Errors
/// No endpoint is left.
pub async fn any_slot(
    context: &rc::Rc<context::ProcessContext>,
    request: &SlotParams<'_>,
) -> Result<HeldSlot, SlotUnavailable> {
    match acquire(context, request).await {
        Err(SlotUnavailable::Full) => go_ahead(context, request.service, request.tried),
        slot => slot,
    }
}

/// Asks a few owners for a free place, and if all are full for one in a queue.
async fn query_owners(
    context: &rc::Rc<context::ProcessContext>,
    request: &SlotParams<'_>,
) -> OwnerReply {
    let service = request.service;
    let owners = owner_order(context, service);
    let told = match request_slot(context, request, &owners).await {
        Ok(slot) => return OwnerReply::Slot(slot),
        Err(told) => told,
    };
    let replies: Vec<_> = told.iter().map(|(word, _)| *word).collect();
    if !all_full(&replies) {
        return OwnerReply::None(SlotReply::Silent);
    }
    let roomy = told.iter().filter_map(|(word, owner)| match word {
        SlotReply::Full(free_queue_slots) if *free_queue_slots > 0 => {
            Some((free_queue_slots, owner))
        }
        _ => None,
    });
    if let Some((_, owner)) = roomy.max() {
        let queued = peers::OnlineSlotRequest {
            may_queue: true,
            ..online_slot_request(context, request)
        };
        if let OwnerReply::Slot(slot) = send_request(context, owner, queued).await {
            return OwnerReply::Slot(slot);
        }
    }
    log::info!(
        "event=no_place service={service} owners_asked={} owners={}",
        replies.len(),
        owners.len()
    );
    OwnerReply::None(SlotReply::Full(0))
}

/// Chooses on this process's own counts.
///
/// # Errors
/// No endpoint is left.
pub fn go_ahead(
    context: &rc::Rc<context::ProcessContext>,
    service: &ids::ServiceName,
    tried: &[ids::EndpointId],
) -> Result<HeldSlot, SlotUnavailable> {
    let directory = context.fleet.directory.borrow();
    let candidates = directory.of_service(service);
    let now = context.clock.now();
    let loads = context.loads.borrow();
    let chosen = loads.choose(candidates, tried, context.domain(), now, &mut rand::rng());
    drop(loads);
    let endpoint = chosen.ok_or(SlotUnavailable::NoEndpoint)?;
    context.loads.borrow_mut().begin(&endpoint.id);
    Ok(HeldSlot {
        context: context.clone(),
        endpoint,
        permit: None,
        is_served: cell::Cell::new(false),
        taken: context.clock.now(),
    })
}

/// The owners in the order in which they are asked.
pub(super) fn owner_order(
    context: &context::ProcessContext,
    service: &ids::ServiceName,
) -> Vec<ids::InstanceId> {
    let free_slots = context.free_slots.borrow();
    let owners = context.owners();
    let is_heard = |id: &ids::InstanceId| id == context.id() || context.receives_from(id);
    // A service of few endpoints has few owners: the others need not be asked.
    let owns = |id: &ids::InstanceId| free_slots.contains_key(&(id.clone(), service.clone()));
    let is_told = owners.iter().any(|owner| owns(&owner.id));
    let asked = owners.iter().filter(|owner| is_heard(&owner.id));
    let asked = asked.filter(|o| !is_told || o.id == *context.id() || owns(&o.id));
    let known = asked.map(|owner| {
        let key = (owner.id.clone(), service.clone());
        owner_order::OwnerCapacity {
            id: owner.id.clone(),
            free_slots: free_slots.get(&key).copied().unwrap_or(UNKNOWN_ROOM),
            is_same_domain: owner.domain == *context.domain(),
        }
    });
    owner_order::draw_order(known.collect(), &mut rand::rng())
}

fn online_slot_request(
    context: &context::ProcessContext,
    request: &SlotParams<'_>,
) -> peers::OnlineSlotRequest {
    let SlotParams { service, tried, .. } = *request;
    let first = context.firsts.borrow().get(service).copied();
    let directory = context.fleet.directory.borrow();
    let count = directory.of_service(service).len();
    let is_listed = |id: &ids::EndpointId| {
        let entry = directory.usable(id);
        entry.is_some_and(|e| e.service == *service)
    };
    let loads = context.loads.borrow();
    // What failed this process may serve others: its owner need not know.
    let shunned = loads.shunned(count, is_listed, context.clock.now());
    let mut unwanted = tried.to_vec();
    unwanted.extend(shunned.into_iter().filter(|id| !tried.contains(id)));
    peers::OnlineSlotRequest {
        number: rand::random(),
        holder: context.run.clone(),
        domain: context.domain().clone(),
        service: service.clone(),
        tried: unwanted,
        may_queue: false,
        wait: first.unwrap_or_default().wait(request.objective),
    }
}

/// Asks an owner through a gateway that hears it, if this process is cut off.
pub(super) async fn request_from_relay(
    context: &rc::Rc<context::ProcessContext>,
    request: &SlotParams<'_>,
    may_queue: bool,
) -> Option<HeldSlot> {
    let relays = context.relays();
    let relay = relays.get(rand::random_range(0..relays.len().max(1)))?;
    let request = peers::OnlineSlotRequest {
        may_queue,
        ..online_slot_request(context, request)
    };
    let permit = HeldPermit::Peer(relay.address, request.number);
    match context
        .links
        .acquire(relay.address, request, OWNER_TIMEOUT * 2)
        .await
    {
        Ok(response) => take_answer(context, &relay.id, response, permit),
        Err(e) => {
            log::info!("event=relay_silent relay={} why=\"{e}\"", relay.id);
            end_permit(context, &permit, false);
            None
        }
    }
}

/// Asks the owners for a peer that is cut off from them.
pub async fn request_for_peer(
    context: &rc::Rc<context::ProcessContext>,
    mut request: peers::OnlineSlotRequest,
) -> Option<peers::OnlineSlotResponse> {
    // The owners do not hear the peer, and would take its places back.
    request.holder = context.run.clone();
    let number = request.number;
    let owners = owner_order(context, &request.service);
    for owner in owners.iter().take(OWNERS_ASKED) {
        let address = context.members.borrow().address_of(owner);
        let Some(address) = address else { continue };
        let response = context
            .links
            .acquire(address, request.clone(), OWNER_TIMEOUT)
            .await;
        match response {
            Ok(response) if response.endpoint.is_some() => {
                let permit = HeldPermit::Peer(address, number);
                if context.permits.borrow_mut().take_returned(number) {
                    // The peer gave up waiting before the owner answered.
                    end_permit(context, &permit, false);
                    return None;
                }
                context.relayed.borrow_mut().put(number, address);
                return Some(response);
            }
            Ok(_) => {}
            Err(_) => end_permit(context, &HeldPermit::Peer(address, number), false),
        }
    }
    None
}

async fn send_request(
    context: &rc::Rc<context::ProcessContext>,
    owner: &ids::InstanceId,
    request: peers::OnlineSlotRequest,
) -> OwnerReply {
    let number = request.number;
    let service = &request.service.clone();
    let (response, permit) = if owner == context.id() {
        (
            peer_calls::grant(context, &request),
            HeldPermit::Here(number),
        )
    } else {
        let Some(address) = context.members.borrow().address_of(owner) else {
            return OwnerReply::None(SlotReply::Silent);
        };
        match context.links.acquire(address, request, OWNER_TIMEOUT).await {
            Ok(response) => (response, HeldPermit::Peer(address, number)),
            Err(e) => {
                count_permit(context, "silent");
                set_free_slots(context, owner, service, 0);
                // The grant may come late: it must not hold a place until it expires.
                end_permit(context, &HeldPermit::Peer(address, number), false);
                log::info!("event=owner_silent owner={owner} why=\"{e}\"");
                return OwnerReply::None(SlotReply::Silent);
            }
        }
    };
    if !response.owns {
        count_permit(context, "not_owner");
        let key = (owner.clone(), service.clone());
        context.free_slots.borrow_mut().remove(&key);
        return OwnerReply::None(SlotReply::NotOwner);
    }
    set_free_slots(context, owner, service, response.free_slots);
    if response.endpoint.is_none() {
        count_permit(context, "full");
        return OwnerReply::None(SlotReply::Full(response.free_queue_slots));
    }
    match take_answer(context, owner, response, permit) {
        Some(slot) => OwnerReply::Slot(slot),
        None => OwnerReply::None(SlotReply::Silent),
    }
}

fn set_free_slots(
    context: &context::ProcessContext,
    owner: &ids::InstanceId,
    service: &ids::ServiceName,
    free_slots: u32,
) {
    let key = (owner.clone(), service.clone());
    context.free_slots.borrow_mut().insert(key, free_slots);
}

fn count_permit(context: &context::ProcessContext, outcome: &str) {
    context.metrics.permits.with_label_values(&[outcome]).inc();
}

/// The place that an answer gives, if its endpoint is listed here.
fn take_answer(
    context: &rc::Rc<context::ProcessContext>,
    from: &ids::InstanceId,
    response: peers::OnlineSlotResponse,
    permit: HeldPermit,
) -> Option<HeldSlot> {
    let id = response.endpoint?;
    let found = context.fleet.directory.borrow().usable(&id).cloned();
    let Some(endpoint) = found else {
        log::info!("event=place_refused endpoint={id} from={from} why=\"not listed here\"");
        end_permit(context, &permit, false);
        return None;
    };
    count_permit(context, "granted");
    context.loads.borrow_mut().begin(&endpoint.id);
    Some(HeldSlot {
        context: context.clone(),
        endpoint,
        permit: Some(permit),
        is_served: cell::Cell::new(false),
        taken: context.clock.now(),
    })
}

/// Gives a permit back.
fn end_permit(context: &context::ProcessContext, permit: &HeldPermit, is_served: bool) {
    let release = |number| peers::SlotRelease { number, is_served };
    match *permit {
        HeldPermit::Here(number) => peer_calls::release(context, release(number)),
        HeldPermit::Peer(peer, number) => context.links.release(peer, release(number)),
    }
}
