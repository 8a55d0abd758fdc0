//! A place for an online request: asked of an owner, or taken on this process's own counts.

use std::{cell, net, rc, time};

use super::{directory, peer_calls, peers, process};
use crate::{
    decisions::{admission, health, owner_order},
    ids,
};

/// Longest wait for an owner; a round trip takes 1 to 4 ms, so it is lost or overloaded then.
const OWNER_TIMEOUT: time::Duration = time::Duration::from_millis(40);
/// Owners that are asked before the request goes ahead or is refused.
const OWNERS_ASKED: usize = 3;
/// Places that an owner is taken to have before it said so.
const UNKNOWN_ROOM: u32 = 8;

/// A place that is held until this is dropped.
pub struct HeldPlace {
    context: rc::Rc<process::ProcessContext>,
    /// The endpoint.
    pub endpoint: rc::Rc<directory::EndpointEntry>,
    permit: Option<HeldPermit>,
    is_served: cell::Cell<bool>,
}

impl HeldPlace {
    /// Notes that the endpoint served the request, or goes on doing so.
    pub fn note_served(&self) {
        let mut loads = self.context.loads.borrow_mut();
        loads.health.note_success(&self.endpoint.id);
        self.is_served.set(true);
    }

    /// Notes that the endpoint failed, or did not answer at all, and tells its owner.
    pub fn note_failed(&self, is_silent: bool) {
        let (id, now) = (&self.endpoint.id, self.context.clock.now());
        self.is_served.set(false);
        let mut loads = self.context.loads.borrow_mut();
        match is_silent {
            true => loads.health.note_silence(id, now),
            false => loads.health.note_failure(id, now),
        }
        drop(loads);
        let report = peers::EndpointReport {
            endpoint: id.clone(),
            failure: health::FailureReport {
                reporter: self.context.id().clone(),
                is_silent,
            },
        };
        match self.permit {
            None => {}
            Some(HeldPermit::Here(_)) => peer_calls::take_report(&self.context, &report),
            Some(HeldPermit::Peer(owner, _)) => self.context.links.report(owner, report),
        }
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
    /// There is none; so many places are left in queues.
    Full(u32),
    Silent,
}

/// Finds a place for a request of `service`, not at the endpoints of `tried`.
///
/// # Errors
/// See [`NoPlace`].
pub async fn acquire(
    context: &rc::Rc<process::ProcessContext>,
    service: &ids::ServiceName,
    tried: &[ids::EndpointId],
) -> Result<HeldPlace, NoPlace> {
    let table = context.fleet.table();
    let is_engine = table.service(service).is_some_and(|s| s.is_engine);
    if is_engine {
        if let Some(place) = ask_relay(context, service, tried).await {
            return Ok(place);
        }
        match ask_owners(context, service, tried).await {
            OwnerWord::Place(place) => return Ok(place),
            OwnerWord::Full(_) => return Err(NoPlace::Full),
            OwnerWord::Silent => {}
        }
    }
    go_ahead(context, service, tried)
}

/// Asks a few owners for a free place, and if all are full for one in a queue.
async fn ask_owners(
    context: &rc::Rc<process::ProcessContext>,
    service: &ids::ServiceName,
    tried: &[ids::EndpointId],
) -> OwnerWord {
    let owners = owner_order(context, service);
    let mut full = Vec::new();
    for owner in owners.iter().take(OWNERS_ASKED) {
        let wish = place_ask(context, service, tried);
        match ask(context, owner, wish).await {
            OwnerWord::Full(queue_room) => full.push((queue_room, owner)),
            OwnerWord::Silent => {}
            place => return place,
        }
    }
    if full.is_empty() || full.len() < owners.len().min(OWNERS_ASKED) {
        return OwnerWord::Silent;
    }
    let roomiest = full.iter().max().filter(|(queue_room, _)| *queue_room > 0);
    if let Some((_, owner)) = roomiest {
        let wish = peers::PlaceAsk {
            may_queue: true,
            ..place_ask(context, service, tried)
        };
        if let OwnerWord::Place(place) = ask(context, owner, wish).await {
            return OwnerWord::Place(place);
        }
    }
    log::info!(
        "event=no_place service={service} owners_asked={} owners={}",
        full.len(),
        owners.len()
    );
    OwnerWord::Full(0)
}

/// Chooses on this process's own counts.
///
/// # Errors
/// No endpoint is left.
pub fn go_ahead(
    context: &rc::Rc<process::ProcessContext>,
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
    })
}

/// The owners in the order in which they are asked.
fn owner_order(
    context: &process::ProcessContext,
    service: &ids::ServiceName,
) -> Vec<ids::InstanceId> {
    let rooms = context.rooms.borrow();
    let owners = context.owners();
    let heard = owners
        .iter()
        .filter(|owner| owner.id == *context.id() || context.hears(&owner.id));
    let known = heard.map(|owner| {
        let key = (owner.id.clone(), service.clone());
        owner_order::KnownOwner {
            id: owner.id.clone(),
            room: rooms.get(&key).copied().unwrap_or(UNKNOWN_ROOM),
            is_near: owner.domain == *context.domain(),
        }
    });
    owner_order::draw_order(known.collect(), &mut rand::rng())
}

fn place_ask(
    context: &process::ProcessContext,
    service: &ids::ServiceName,
    tried: &[ids::EndpointId],
) -> peers::PlaceAsk {
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
        instance: context.id().clone(),
        domain: context.domain().clone(),
        service: service.clone(),
        tried: unwanted,
        may_queue: false,
    }
}

/// Asks an owner through a gateway that hears it, if this process is cut off.
async fn ask_relay(
    context: &rc::Rc<process::ProcessContext>,
    service: &ids::ServiceName,
    tried: &[ids::EndpointId],
) -> Option<HeldPlace> {
    let relays = context.relays();
    let relay = relays.get(rand::random_range(0..relays.len().max(1)))?;
    let wish = peers::PlaceAsk {
        may_queue: true,
        ..place_ask(context, service, tried)
    };
    let permit = HeldPermit::Peer(relay.address, wish.number);
    match context
        .links
        .acquire(relay.address, wish, OWNER_TIMEOUT * 2)
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
    context: &rc::Rc<process::ProcessContext>,
    mut wish: peers::PlaceAsk,
) -> Option<peers::PlaceAnswer> {
    // The owners do not hear the peer, and would take its places back.
    wish.instance = context.id().clone();
    let number = wish.number;
    let owners = owner_order(context, &wish.service);
    for owner in owners.iter().take(OWNERS_ASKED) {
        let address = context.members.borrow().address_of(owner);
        let Some(address) = address else { continue };
        let answer = context
            .links
            .acquire(address, wish.clone(), OWNER_TIMEOUT)
            .await;
        match answer {
            Ok(answer) if answer.endpoint.is_some() => {
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
    context: &rc::Rc<process::ProcessContext>,
    owner: &ids::InstanceId,
    wish: peers::PlaceAsk,
) -> OwnerWord {
    let number = wish.number;
    let service = &wish.service.clone();
    let (answer, permit) = if owner == context.id() {
        (peer_calls::grant(context, &wish), HeldPermit::Here(number))
    } else {
        let Some(address) = context.members.borrow().address_of(owner) else {
            return OwnerWord::Silent;
        };
        match context.links.acquire(address, wish, OWNER_TIMEOUT).await {
            Ok(answer) => (answer, HeldPermit::Peer(address, number)),
            Err(e) => {
                count_permit(context, "silent");
                set_room(context, owner, service, 0);
                // The grant may come late: it must not hold a place until it expires.
                end_permit(context, &HeldPermit::Peer(address, number), false);
                log::info!("event=owner_silent owner={owner} why=\"{e}\"");
                return OwnerWord::Silent;
            }
        }
    };
    set_room(context, owner, service, answer.room);
    if answer.endpoint.is_none() {
        count_permit(context, "full");
        return OwnerWord::Full(answer.queue_room);
    }
    match take_answer(context, owner, answer, permit) {
        Some(place) => OwnerWord::Place(place),
        None => OwnerWord::Silent,
    }
}

fn set_room(
    context: &process::ProcessContext,
    owner: &ids::InstanceId,
    service: &ids::ServiceName,
    room: u32,
) {
    let key = (owner.clone(), service.clone());
    context.rooms.borrow_mut().insert(key, room);
}

fn count_permit(context: &process::ProcessContext, outcome: &str) {
    context.metrics.permits.with_label_values(&[outcome]).inc();
}

/// The place that an answer gives, if its endpoint is listed here.
fn take_answer(
    context: &rc::Rc<process::ProcessContext>,
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
    })
}

/// Gives a permit back.
fn end_permit(context: &process::ProcessContext, permit: &HeldPermit, is_served: bool) {
    let release = |number| peers::PlaceRelease { number, is_served };
    match *permit {
        HeldPermit::Here(number) => peer_calls::release(context, release(number)),
        HeldPermit::Peer(peer, number) => context.links.release(peer, release(number)),
    }
}
