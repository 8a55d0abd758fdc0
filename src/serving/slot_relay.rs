//! Slot requests that are forwarded for peers that are cut off from the owners.

use std::rc;

use super::{
    context,
    held_permit::{self, HeldPermit},
    peers, queried_owners,
};
use crate::decisions::endpoint_doubt;

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
    let owners = queried_owners::owner_order(context, &request.service, request.software.as_ref());
    let owners = &owners[..owners.len().min(queried_owners::MAX_QUERIED_OWNERS)];
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
            .acquire_relayed(address, request.clone(), queried_owners::OWNER_TIMEOUT)
            .await;
        match response {
            Ok(response) if response.endpoint.is_some() => {
                let permit = HeldPermit::Peer(address, number);
                if context.permits.borrow_mut().take_early_release(number) {
                    // The peer stopped waiting before the owner responded.
                    held_permit::release_permit(context, permit, false);
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
            Err(_) => {
                held_permit::release_permit(context, HeldPermit::Peer(address, number), false)
            }
        }
    }
    None
}
