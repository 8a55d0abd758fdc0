//! Permits that were requested from a peer and whose response is awaited.

use std::{net, rc};

use super::{context, peers};
use crate::decisions::admission;

/// A permit whose response is awaited; released on drop.
///
/// The response may be lost, or no longer awaited because the caller left. The owner may
/// have granted the slot all the same, and would hold it until the permit expires.
pub(super) struct PendingPermit {
    context: rc::Rc<context::ProcessContext>,
    peer: net::SocketAddr,
    /// Number of the permit; `None` once the response has arrived.
    number: Option<admission::PermitNumber>,
}

impl PendingPermit {
    /// Records that a permit is requested from a peer.
    pub(super) fn new(
        context: &rc::Rc<context::ProcessContext>,
        peer: net::SocketAddr,
        number: admission::PermitNumber,
    ) -> Self {
        Self {
            context: context.clone(),
            peer,
            number: Some(number),
        }
    }

    /// Ends the wait after the response; the permit is the caller's to release.
    pub(super) fn settle(mut self) {
        self.number = None;
    }
}

impl Drop for PendingPermit {
    fn drop(&mut self) {
        let Some(number) = self.number.take() else {
            return;
        };
        let release = peers::SlotRelease {
            number,
            is_served: false,
            observation: None,
        };
        self.context.links.release(self.peer, release);
    }
}
