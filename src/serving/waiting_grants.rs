//! Grants to requests in a wait queue: free slots, and staged requests at full endpoints.

use std::{collections, time};

use super::{peers, permits, slot_queue};
use crate::{clock, decisions::admission, ids};

/// A grant to a waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitGrant {
    /// Number of the request.
    pub number: admission::PermitNumber,
    /// The slot, or the place in the queue of its endpoint.
    pub slot: permits::GrantedSlot,
    /// How long the request has waited; `None` if its caller has left, so that the slot is
    /// free again.
    pub waited: Option<time::Duration>,
}

/// Gives a free slot to the first waiting request that can use it.
pub fn grant_free_slot(
    permits: &mut permits::PermitTable,
    queues: &mut slot_queue::SlotQueues,
    service: &ids::ServiceName,
    ejected: &collections::HashSet<ids::EndpointId>,
    now: clock::MonotonicTime,
) -> Option<WaitGrant> {
    if permits.free_online_slots(service, now) == 0 {
        return None;
    }
    let candidates = queues.candidates(service);
    let (number, slot) = candidates.into_iter().find_map(|number| {
        let waiting = queues.get(number)?;
        let request = peers::OnlineSlotRequest {
            may_queue: false,
            ..waiting.request.clone()
        };
        Some((number, permits.acquire(&request, ejected, now)?))
    })?;
    Some(settle(permits, queues, service, (number, slot), now))
}

/// Stages the first waiting request, if an endpoint may take it.
///
/// No other request is staged instead: while the first one may not be staged, the next slot
/// that is released must stay free for it.
pub fn stage_request(
    permits: &mut permits::PermitTable,
    queues: &mut slot_queue::SlotQueues,
    service: &ids::ServiceName,
    ejected: &collections::HashSet<ids::EndpointId>,
    now: clock::MonotonicTime,
) -> Option<WaitGrant> {
    let number = *queues.candidates(service).first()?;
    let waiting = queues.get(number)?;
    let slot = permits.stage(&waiting.request, ejected, now)?;
    Some(settle(permits, queues, service, (number, slot), now))
}

/// Moves a request from its queue to its slot, which is released if its caller has left.
fn settle(
    permits: &mut permits::PermitTable,
    queues: &mut slot_queue::SlotQueues,
    service: &ids::ServiceName,
    (number, slot): (admission::PermitNumber, permits::GrantedSlot),
    now: clock::MonotonicTime,
) -> WaitGrant {
    let waited = queues.grant(service, number, slot.endpoint.clone(), now);
    if waited.is_none() {
        permits.release(number);
        queues.record_release(service, number);
    }
    WaitGrant {
        number,
        slot,
        waited,
    }
}
