//! Permits that this process holds or has requested, and their release.

use std::{net, rc};

use super::{context, peer_calls, peers};
use crate::decisions::admission;

/// The process at which a permit is to be released.
#[derive(Debug, Clone, Copy)]
pub(super) enum HeldPermit {
    Here(admission::PermitNumber),
    Peer(net::SocketAddr, admission::PermitNumber),
}

/// Releases a permit at the process that granted it.
pub(super) fn release(context: &context::ProcessContext, permit: HeldPermit, is_served: bool) {
    let release = |number| peers::SlotRelease { number, is_served };
    match permit {
        HeldPermit::Here(number) => peer_calls::release(context, release(number)),
        HeldPermit::Peer(peer, number) => context.links.release(peer, release(number)),
    }
}

/// A permit that was requested and whose response is awaited; released on drop.
///
/// The response may be lost, or no longer awaited because the caller left. The owner may
/// have granted the slot all the same, and would hold it until the permit expires.
pub(super) struct PendingPermit {
    context: rc::Rc<context::ProcessContext>,
    permit: Option<HeldPermit>,
}

impl PendingPermit {
    /// Records that a permit is requested.
    pub(super) fn new(context: &rc::Rc<context::ProcessContext>, permit: HeldPermit) -> Self {
        Self {
            context: context.clone(),
            permit: Some(permit),
        }
    }

    /// Ends the wait after the response; the permit is the caller's to release.
    pub(super) fn settle(mut self) {
        self.permit = None;
    }
}

impl Drop for PendingPermit {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            release(&self.context, permit, false);
        }
    }
}
