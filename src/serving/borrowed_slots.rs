//! Borrows slots for batch items at the endpoints of other owners.

use std::{net, rc, time};

use super::{context, job_runner, peer_links, peers, ready_items};
use crate::ids;

/// Maximum wait for a lender before the next one is asked.
const BORROW_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Maximum wait for a response that is too late for its slots to be used; the lender
/// holds them until they are returned. A link without responses is closed after a probe
/// and its longest response time, 0.65 s, which is far below this limit.
const LATE_RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Delay between two rounds of borrowing.
const BORROW_INTERVAL: time::Duration = time::Duration::from_millis(60);

/// Maximum number of owners asked per round.
const MAX_LENDERS: usize = 4;

/// Maximum number of slots requested from one owner at a time.
const MAX_SLOTS_PER_REQUEST: usize = 16;

/// Borrows slots from other owners for items that wait here.
pub(super) fn borrow_slots(
    context: &rc::Rc<context::ProcessContext>,
    service: ids::ServiceName,
    waiting: usize,
) {
    if context.jobs.is_borrowing.replace(true) {
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
        for owner in owners.into_iter().take(MAX_LENDERS) {
            if waiting == 0 {
                break;
            }
            let address = context.members.borrow().address_of(&owner.id);
            let Some(address) = address else { continue };
            let request = peers::BatchSlotRequest {
                number: rand::random(),
                holder: context.run.clone(),
                service: service.clone(),
                count: waiting.min(MAX_SLOTS_PER_REQUEST),
            };
            if let Some(slots) = request_slots(&context, &owner.id, address, request).await {
                waiting = waiting.saturating_sub(slots.len());
                use_slots(&context, address, slots);
            }
        }
        actix_rt::time::sleep(BORROW_INTERVAL).await;
        context.jobs.is_borrowing.set(false);
    });
}

/// Requests slots from one owner; slots that arrive too late are returned.
async fn request_slots(
    context: &rc::Rc<context::ProcessContext>,
    owner: &ids::InstanceId,
    address: net::SocketAddr,
    request: peers::BatchSlotRequest,
) -> Option<Vec<peers::BorrowedSlot>> {
    let borrowing = borrow_from(context.clone(), owner.clone(), address, request);
    let mut borrowing = Box::pin(borrowing);
    if let Ok(slots) = tokio::time::timeout(BORROW_TIMEOUT, &mut borrowing).await {
        return slots;
    }
    let context = context.clone();
    actix_rt::spawn(async move {
        for slot in borrowing.await.unwrap_or_default() {
            context.links.give_back(address, slot);
        }
    });
    None
}

/// Returns the slots that an owner lends, or `None` if it does not respond.
async fn borrow_from(
    context: rc::Rc<context::ProcessContext>,
    owner: ids::InstanceId,
    address: net::SocketAddr,
    request: peers::BatchSlotRequest,
) -> Option<Vec<peers::BorrowedSlot>> {
    let number = request.number;
    let response = context
        .links
        .lend(address, request, LATE_RESPONSE_TIMEOUT)
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

/// Starts the first waiting items in borrowed slots and returns unused slots.
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
        let matching_item = endpoint.as_ref().and_then(|e| {
            let fits = |item: &ready_items::ReadyItem| {
                item.route.leads_to(&e.service) && ready_items::accepts(context, item, e)
            };
            ready.iter().position(fits)
        });
        let (Some(endpoint), Some(position)) = (endpoint, matching_item) else {
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
