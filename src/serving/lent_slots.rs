//! Places for items at the endpoints of other owners.

use std::{net, rc, time};

use super::{context, job_runner, peer_links, peers, ready_items, route_table};
use crate::ids;

/// Longest wait for an owner that may lend places.
const LEND_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Longest wait for an answer that comes too late for its places to be used:
/// the owner holds them until they are given back. A link that gives no answers
/// is ended after a probe and its longest answer, 0.65 s, so this is far above.
const LATE_LEND_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Pause between two rounds of asking for places.
const LEND_PAUSE: time::Duration = time::Duration::from_millis(60);

/// Owners that are asked in one round.
const LENDERS_ASKED: usize = 4;

/// Places that one owner is asked for at once.
const MAX_LENT: usize = 16;

/// Asks the other owners for places for items that wait here.
pub(super) fn borrow_slots(
    context: &rc::Rc<context::ProcessContext>,
    service: ids::ServiceName,
    waiting: usize,
) {
    if context.jobs.borrowing.replace(true) {
        return;
    }
    let context = context.clone();
    actix_rt::spawn(async move {
        let mut waiting = waiting;
        let mut owners = (*context.owners()).clone();
        owners.retain(|o| o.id != *context.id() && context.receives_from(&o.id));
        for i in (1..owners.len()).rev() {
            owners.swap(i, rand::random_range(0..=i));
        }
        for owner in owners.into_iter().take(LENDERS_ASKED) {
            if waiting == 0 {
                break;
            }
            let address = context.members.borrow().address_of(&owner.id);
            let Some(address) = address else { continue };
            let request = peers::BatchSlotRequest {
                number: rand::random(),
                holder: context.run.clone(),
                service: service.clone(),
                count: waiting.min(MAX_LENT),
            };
            if let Some(slots) = request_slots(&context, &owner.id, address, request).await {
                waiting = waiting.saturating_sub(slots.len());
                use_slots(&context, address, slots);
            }
        }
        actix_rt::time::sleep(LEND_PAUSE).await;
        context.jobs.borrowing.set(false);
    });
}

/// Asks one owner for places; what it lends too late is given back.
async fn request_slots(
    context: &rc::Rc<context::ProcessContext>,
    owner: &ids::InstanceId,
    address: net::SocketAddr,
    request: peers::BatchSlotRequest,
) -> Option<Vec<peers::BorrowedSlot>> {
    let lending = lend(context.clone(), owner.clone(), address, request);
    let mut lending = Box::pin(lending);
    if let Ok(slots) = tokio::time::timeout(LEND_TIMEOUT, &mut lending).await {
        return slots;
    }
    let context = context.clone();
    actix_rt::spawn(async move {
        for slot in lending.await.unwrap_or_default() {
            context.links.give_back(address, slot);
        }
    });
    None
}

/// The places that an owner lends; nothing if it does not answer at all.
async fn lend(
    context: rc::Rc<context::ProcessContext>,
    owner: ids::InstanceId,
    address: net::SocketAddr,
    request: peers::BatchSlotRequest,
) -> Option<Vec<peers::BorrowedSlot>> {
    let number = request.number;
    let response = context
        .links
        .lend(address, request, LATE_LEND_TIMEOUT)
        .await;
    response
        .inspect_err(|e| {
            log::info!("event=lend_failed owner={owner} why=\"{e}\"");
            if *e != peer_links::PeerError::NotSent {
                context.links.cancel_lent(address, number);
            }
        })
        .ok()
}

/// Starts the first waiting items in lent places; gives the places left over back.
fn use_slots(
    context: &rc::Rc<context::ProcessContext>,
    lender: net::SocketAddr,
    slots: Vec<peers::BorrowedSlot>,
) {
    let mut ready = ready_items::ready_items(context);
    for slot in slots {
        let endpoint = context
            .fleet
            .directory
            .borrow()
            .usable(&slot.endpoint)
            .cloned();
        let fitting = endpoint.as_ref().and_then(|e| {
            let goes_there = |item: &ready_items::ReadyItem| is_target(&item.route, &e.service);
            ready.iter().position(goes_there)
        });
        let (Some(endpoint), Some(position)) = (endpoint, fitting) else {
            context.links.give_back(lender, slot);
            continue;
        };
        let slot = job_runner::StreamSlot {
            endpoint,
            number: slot.number,
            lender: Some(lender),
        };
        job_runner::begin_run(context, &ready.remove(position), slot);
    }
}

fn is_target(route: &route_table::Route, service: &ids::ServiceName) -> bool {
    let mut targets = route.targets.iter();
    targets.any(|t| t.service == *service && t.weight > 0)
}
