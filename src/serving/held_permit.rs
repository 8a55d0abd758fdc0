//! Permits that this process holds, and their release at the process that granted them.

use std::net;

use super::{context, peers, slot_grants};
use crate::decisions::admission;

/// The process at which a permit is to be released.
#[derive(Debug, Clone, Copy)]
pub(super) enum HeldPermit {
    Here(admission::PermitNumber),
    Peer(net::SocketAddr, admission::PermitNumber),
}

/// Releases a permit of which no run was observed.
pub(super) fn release_permit(
    context: &context::ProcessContext,
    permit: HeldPermit,
    is_served: bool,
) {
    let release = |number| peers::SlotRelease {
        number,
        is_served,
        observation: None,
    };
    send_release(context, permit, release);
}

/// Releases a permit at the process that granted it.
pub(super) fn send_release(
    context: &context::ProcessContext,
    permit: HeldPermit,
    release: impl Fn(admission::PermitNumber) -> peers::SlotRelease,
) {
    match permit {
        HeldPermit::Here(number) => slot_grants::release(context, release(number)),
        HeldPermit::Peer(peer, number) => context.links.release(peer, release(number)),
    }
}
