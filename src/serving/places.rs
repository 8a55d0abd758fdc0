//! A place for an online request: asked of an owner, or taken on this process's own counts.

use std::{cell, net, rc, time};

use super::{context, directory, endpoint_news, peer_calls, peers};
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
pub struct HeldPlace {
    context: rc::Rc<context::ProcessContext>,
    /// The endpoint.
    pub endpoint: rc::Rc<directory::EndpointEntry>,
    permit: Option<HeldPermit>,
    is_served: cell::Cell<bool>,
    taken: clock::MonotonicTime,
}

impl HeldPlace {
    /// When it was taken.
    pub fn taken(&self) -> clock::MonotonicTime {
        self.taken
    }

    /// Notes that the endpoint served the request, or goes on doing so.
    pub fn note_served(&self) {
        let mut loads = self.context.loads.borrow_mut();
        loads.health.note_success(&self.endpoint.id);
        if !self.is_served.replace(true) {
            self.context.fleet.note_named(&self.endpoint.id);
            let mut firsts = self.context.firsts.borrow_mut();
            let first = firsts.entry(self.endpoint.service.clone()).or_default();
            first.note(self.context.clock.now().since(self.taken));
        }
    }

    /// Notes that the endpoint goes on, if it was taken for failed.
    pub fn note_going_on(&self) {
        if !self.is_served.replace(true) {
            let mut loads = self.context.loads.borrow_mut();
            loads.health.note_success(&self.endpoint.id);
        }
    }

    /// Notes that the endpoint failed, or did not answer at all, and tells its owner.
    pub fn note_failed(&self, is_silent: bool) {
        self.is_served.set(false);
        self.tell(endpoint_news::failure(&self.context, is_silent));
    }

    /// Notes that the endpoint did not run an attempt, and tells its owner.
    pub fn note_refused(&self, reason: outcome::NotRunReason) {
        self.is_served.set(false);
        endpoint_news::count_refusal(&self.context, reason);
        if let Some(news) = endpoint_news::of_refusal(&self.context, reason) {
            self.tell(news);
        }
    }

    fn tell(&self, news: peers::EndpointNews) {
        let giver = match self.permit {
            None => endpoint_news::PlaceGiver::Nobody,
            Some(HeldPermit::Here(_)) => endpoint_news::PlaceGiver::Here,
            Some(HeldPermit::Peer(owner, _)) => endpoint_news::PlaceGiver::Peer(owner),
        };
        endpoint_news::note(&self.context, &self.endpoint, giver, news);
    }
}

/// Where a permit is to be released.
enum HeldPermit {
    Here(admission::PermitNumber),
    Peer(net::SocketAddr, admission::PermitNumber),
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        self.context.loads.borrow_mut().end(&self.endpoint.id);
        if let Some(permit) = &self.permit {
            end_permit(&self.context, permit, self.is_served.get());
        }
    }
}

/// Why there is no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NoPlace {
    /// No endpoint of the service is listed, or all were tried.
    #[error("no endpoint of the service is left")]
    NoEndpoint,
    /// All endpoints hold as much as they may.
    #[error("all endpoints of the service are full")]
    Full,
}

/// What one owner said.
enum OwnerWord {
    Place(HeldPlace),
    None(SlotWord),
}

/// What an owner said that gave no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotWord {
    /// There is none; so many places are left in queues.
    Full(u32),
    /// It owns no endpoint of the service.
    NotOwner,
    /// It gave no answer.
    Silent,
}

/// Whether a service is full: all owners that were asked and own a part of it say so.
pub fn all_full(words: &[SlotWord]) -> bool {
    let is_full = |word: &SlotWord| matches!(word, SlotWord::Full(_));
    words.iter().any(is_full) && !words.contains(&SlotWord::Silent)
}

/// What a place is to be for.
#[derive(Debug, Clone, Copy)]
pub struct PlaceRequest<'a> {
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
/// See [`NoPlace`].
pub async fn acquire(
    context: &rc::Rc<context::ProcessContext>,
    request: &PlaceRequest<'_>,
) -> Result<HeldPlace, NoPlace> {
    if let Some(place) = ask_relay(context, request, true).await {
        return Ok(place);
    }
    match ask_owners(context, request).await {
        OwnerWord::Place(place) => Ok(place),
        OwnerWord::None(SlotWord::Full(_)) => Err(NoPlace::Full),
        OwnerWord::None(_) => go_ahead(context, request.service, request.tried),
    }
}

/// Asks a few owners for a free slot.
///
/// # Errors
/// None gave one: what each of them said.
pub(super) async fn ask_for_slot<'a>(
    context: &rc::Rc<context::ProcessContext>,
    request: &PlaceRequest<'_>,
    owners: &'a [ids::InstanceId],
) -> Result<HeldPlace, Vec<(SlotWord, &'a ids::InstanceId)>> {
    let mut words = Vec::new();
    for owner in owners.iter().take(OWNERS_ASKED) {
        let place = place_ask(context, request);
        match ask(context, owner, place).await {
            OwnerWord::Place(place) => return Ok(place),
            OwnerWord::None(word) => words.push((word, owner)),
        }
    }
    Err(words)
}

/// Finds a place where a new request would be refused too, for one that has begun.
///
/// # Errors
/// No endpoint is left.
pub async fn any_place(
    context: &rc::Rc<context::ProcessContext>,
    request: &PlaceRequest<'_>,
) -> Result<HeldPlace, NoPlace> {
    match acquire(context, request).await {
        Err(NoPlace::Full) => go_ahead(context, request.service, request.tried),
        place => place,
    }
}

/// Asks a few owners for a free place, and if all are full for one in a queue.
async fn ask_owners(
    context: &rc::Rc<context::ProcessContext>,
    request: &PlaceRequest<'_>,
) -> OwnerWord {
    let service = request.service;
    let owners = owner_order(context, service);
    let told = match ask_for_slot(context, request, &owners).await {
        Ok(place) => return OwnerWord::Place(place),
        Err(told) => told,
    };
    let words: Vec<_> = told.iter().map(|(word, _)| *word).collect();
    if !all_full(&words) {
        return OwnerWord::None(SlotWord::Silent);
    }
    let roomy = told.iter().filter_map(|(word, owner)| match word {
        SlotWord::Full(queue_room) if *queue_room > 0 => Some((queue_room, owner)),
        _ => None,
    });
    if let Some((_, owner)) = roomy.max() {
        let queued = peers::PlaceAsk {
            may_queue: true,
            ..place_ask(context, request)
        };
        if let OwnerWord::Place(place) = ask(context, owner, queued).await {
            return OwnerWord::Place(place);
        }
    }
    log::info!(
        "event=no_place service={service} owners_asked={} owners={}",
        words.len(),
        owners.len()
    );
    OwnerWord::None(SlotWord::Full(0))
}

/// Chooses on this process's own counts.
///
/// # Errors
/// No endpoint is left.
pub fn go_ahead(
    context: &rc::Rc<context::ProcessContext>,
    service: &ids::ServiceName,
    tried: &[ids::EndpointId],
) -> Result<HeldPlace, NoPlace> {
    let directory = context.fleet.directory.borrow();
    let candidates = directory.of_service(service);
    let now = context.clock.now();
    let loads = context.loads.borrow();
    let chosen = loads.choose(candidates, tried, context.domain(), now, &mut rand::rng());
    drop(loads);
    let endpoint = chosen.ok_or(NoPlace::NoEndpoint)?;
    context.loads.borrow_mut().begin(&endpoint.id);
    Ok(HeldPlace {
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
    let rooms = context.rooms.borrow();
    let owners = context.owners();
    let is_heard = |id: &ids::InstanceId| id == context.id() || context.hears(id);
    // A service of few endpoints has few owners: the others need not be asked.
    let owns = |id: &ids::InstanceId| rooms.contains_key(&(id.clone(), service.clone()));
    let is_told = owners.iter().any(|owner| owns(&owner.id));
    let asked = owners.iter().filter(|owner| is_heard(&owner.id));
    let asked = asked.filter(|o| !is_told || o.id == *context.id() || owns(&o.id));
    let known = asked.map(|owner| {
        let key = (owner.id.clone(), service.clone());
        owner_order::OwnerCapacity {
            id: owner.id.clone(),
            room: rooms.get(&key).copied().unwrap_or(UNKNOWN_ROOM),
            is_same_domain: owner.domain == *context.domain(),
        }
    });
    owner_order::draw_order(known.collect(), &mut rand::rng())
}

fn place_ask(context: &context::ProcessContext, request: &PlaceRequest<'_>) -> peers::PlaceAsk {
    let PlaceRequest { service, tried, .. } = *request;
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
    peers::PlaceAsk {
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
pub(super) async fn ask_relay(
    context: &rc::Rc<context::ProcessContext>,
    request: &PlaceRequest<'_>,
    may_queue: bool,
) -> Option<HeldPlace> {
    let relays = context.relays();
    let relay = relays.get(rand::random_range(0..relays.len().max(1)))?;
    let ask = peers::PlaceAsk {
        may_queue,
        ..place_ask(context, request)
    };
    let permit = HeldPermit::Peer(relay.address, ask.number);
    match context
        .links
        .acquire(relay.address, ask, OWNER_TIMEOUT * 2)
        .await
    {
        Ok(answer) => take_answer(context, &relay.id, answer, permit),
        Err(e) => {
            log::info!("event=relay_silent relay={} why=\"{e}\"", relay.id);
            end_permit(context, &permit, false);
            None
        }
    }
}

/// Asks the owners for a peer that is cut off from them.
pub async fn ask_for_peer(
    context: &rc::Rc<context::ProcessContext>,
    mut ask: peers::PlaceAsk,
) -> Option<peers::PlaceAnswer> {
    // The owners do not hear the peer, and would take its places back.
    ask.holder = context.run.clone();
    let number = ask.number;
    let owners = owner_order(context, &ask.service);
    for owner in owners.iter().take(OWNERS_ASKED) {
        let address = context.members.borrow().address_of(owner);
        let Some(address) = address else { continue };
        let answer = context
            .links
            .acquire(address, ask.clone(), OWNER_TIMEOUT)
            .await;
        match answer {
            Ok(answer) if answer.endpoint.is_some() => {
                let permit = HeldPermit::Peer(address, number);
                if context.permits.borrow_mut().take_returned(number) {
                    // The peer gave up waiting before the owner answered.
                    end_permit(context, &permit, false);
                    return None;
                }
                context.relayed.borrow_mut().put(number, address);
                return Some(answer);
            }
            Ok(_) => {}
            Err(_) => end_permit(context, &HeldPermit::Peer(address, number), false),
        }
    }
    None
}

async fn ask(
    context: &rc::Rc<context::ProcessContext>,
    owner: &ids::InstanceId,
    ask: peers::PlaceAsk,
) -> OwnerWord {
    let number = ask.number;
    let service = &ask.service.clone();
    let (answer, permit) = if owner == context.id() {
        (peer_calls::grant(context, &ask), HeldPermit::Here(number))
    } else {
        let Some(address) = context.members.borrow().address_of(owner) else {
            return OwnerWord::None(SlotWord::Silent);
        };
        match context.links.acquire(address, ask, OWNER_TIMEOUT).await {
            Ok(answer) => (answer, HeldPermit::Peer(address, number)),
            Err(e) => {
                count_permit(context, "silent");
                set_room(context, owner, service, 0);
                // The grant may come late: it must not hold a place until it expires.
                end_permit(context, &HeldPermit::Peer(address, number), false);
                log::info!("event=owner_silent owner={owner} why=\"{e}\"");
                return OwnerWord::None(SlotWord::Silent);
            }
        }
    };
    if !answer.owns {
        count_permit(context, "not_owner");
        let key = (owner.clone(), service.clone());
        context.rooms.borrow_mut().remove(&key);
        return OwnerWord::None(SlotWord::NotOwner);
    }
    set_room(context, owner, service, answer.room);
    if answer.endpoint.is_none() {
        count_permit(context, "full");
        return OwnerWord::None(SlotWord::Full(answer.queue_room));
    }
    match take_answer(context, owner, answer, permit) {
        Some(place) => OwnerWord::Place(place),
        None => OwnerWord::None(SlotWord::Silent),
    }
}

fn set_room(
    context: &context::ProcessContext,
    owner: &ids::InstanceId,
    service: &ids::ServiceName,
    room: u32,
) {
    let key = (owner.clone(), service.clone());
    context.rooms.borrow_mut().insert(key, room);
}

fn count_permit(context: &context::ProcessContext, outcome: &str) {
    context.metrics.permits.with_label_values(&[outcome]).inc();
}

/// The place that an answer gives, if its endpoint is listed here.
fn take_answer(
    context: &rc::Rc<context::ProcessContext>,
    from: &ids::InstanceId,
    answer: peers::PlaceAnswer,
    permit: HeldPermit,
) -> Option<HeldPlace> {
    let id = answer.endpoint?;
    let found = context.fleet.directory.borrow().usable(&id).cloned();
    let Some(endpoint) = found else {
        log::info!("event=place_refused endpoint={id} from={from} why=\"not listed here\"");
        end_permit(context, &permit, false);
        return None;
    };
    count_permit(context, "granted");
    context.loads.borrow_mut().begin(&endpoint.id);
    Some(HeldPlace {
        context: context.clone(),
        endpoint,
        permit: Some(permit),
        is_served: cell::Cell::new(false),
        taken: context.clock.now(),
    })
}

/// Gives a permit back.
fn end_permit(context: &context::ProcessContext, permit: &HeldPermit, is_served: bool) {
    let release = |number| peers::PlaceRelease { number, is_served };
    match *permit {
        HeldPermit::Here(number) => peer_calls::release(context, release(number)),
        HeldPermit::Peer(peer, number) => context.links.release(peer, release(number)),
    }
}
