//! A place for an online request: asked of an owner, or taken on this process's own counts.

use std::{net, rc, time};

use rand::Rng as _;

use super::{directory, peer_calls, peers, process};
use crate::{decisions::admission, ids};

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
}

/// Where a permit is to be released.
enum HeldPermit {
    Here(admission::PermitNumber),
    Peer(net::SocketAddr, admission::PermitNumber),
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        self.context.loads.borrow_mut().end(&self.endpoint.id);
        match self.permit {
            None => {}
            Some(HeldPermit::Here(number)) => peer_calls::release(&self.context, number),
            Some(HeldPermit::Peer(peer, number)) => self.context.links.release(peer, number),
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
    Full,
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
        let mut full = 0;
        let owners = owners_by_room(context, service);
        for owner in owners.iter().take(OWNERS_ASKED) {
            match ask(context, owner, service, tried).await {
                OwnerWord::Place(place) => return Ok(place),
                OwnerWord::Full => full += 1,
                OwnerWord::Silent => {}
            }
        }
        if full > 0 && full == owners.len().min(OWNERS_ASKED) {
            log::info!(
                "event=no_place service={service} owners_asked={full} owners={}",
                owners.len()
            );
            return Err(NoPlace::Full);
        }
    }
    go_ahead(context, service, tried)
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
    })
}

/// The owners, the one with the most room first; near ones among equals.
fn owners_by_room(
    context: &process::ProcessContext,
    service: &ids::ServiceName,
) -> Vec<ids::InstanceId> {
    let rooms = context.rooms.borrow();
    let mut rng = rand::rng();
    let mut owners: Vec<_> = context
        .owners()
        .iter()
        .filter(|owner| owner.id == *context.id() || context.hears(&owner.id))
        .map(|owner| {
            let key = (owner.id.clone(), service.clone());
            let room = rooms.get(&key).copied().unwrap_or(UNKNOWN_ROOM);
            let far = owner.domain != *context.domain();
            (
                std::cmp::Reverse(room),
                far,
                rng.random::<u32>(),
                owner.id.clone(),
            )
        })
        .collect();
    owners.sort();
    owners.into_iter().map(|(_, _, _, id)| id).collect()
}

fn place_ask(
    context: &process::ProcessContext,
    service: &ids::ServiceName,
    tried: &[ids::EndpointId],
) -> peers::PlaceAsk {
    peers::PlaceAsk {
        number: rand::random(),
        instance: context.id().clone(),
        domain: context.domain().clone(),
        service: service.clone(),
        tried: tried.to_vec(),
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
    let wish = place_ask(context, service, tried);
    let permit = HeldPermit::Peer(relay.address, wish.number);
    match context
        .links
        .acquire(relay.address, wish, OWNER_TIMEOUT * 2)
        .await
    {
        Ok(answer) => take_answer(context, &relay.id, answer, permit),
        Err(e) => {
            log::info!("event=relay_silent relay={} why=\"{e}\"", relay.id);
            drop_permit(context, permit);
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
    for owner in owners_by_room(context, &wish.service)
        .iter()
        .take(OWNERS_ASKED)
    {
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
            Err(_) => context.links.release(address, number),
        }
    }
    None
}

async fn ask(
    context: &rc::Rc<process::ProcessContext>,
    owner: &ids::InstanceId,
    service: &ids::ServiceName,
    tried: &[ids::EndpointId],
) -> OwnerWord {
    let wish = place_ask(context, service, tried);
    let number = wish.number;
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
                context.links.release(address, number);
                log::info!("event=owner_silent owner={owner} why=\"{e}\"");
                return OwnerWord::Silent;
            }
        }
    };
    set_room(context, owner, service, answer.room);
    if answer.endpoint.is_none() {
        count_permit(context, "full");
        return OwnerWord::Full;
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
        drop_permit(context, permit);
        return None;
    };
    count_permit(context, "granted");
    context.loads.borrow_mut().begin(&endpoint.id);
    Some(HeldPlace {
        context: context.clone(),
        endpoint,
        permit: Some(permit),
    })
}

fn drop_permit(context: &process::ProcessContext, permit: HeldPermit) {
    match permit {
        HeldPermit::Here(number) => peer_calls::release(context, number),
        HeldPermit::Peer(peer, number) => context.links.release(peer, number),
    }
}
