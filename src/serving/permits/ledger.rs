//! Ledger of the slots of one owned endpoint, with what limits and ranks the endpoint.

use std::{rc, time};

use crate::{
    clock,
    decisions::{admission, cold_start, endpoint_choice, endpoint_speed},
    protection,
    serving::directory,
};

/// Number of slots that batch work leaves free at each endpoint.
///
/// The next online request gets one without a cancellation; for further ones, batch
/// streams are preempted.
const HEADROOM: u32 = 1;

/// Base speed of an endpoint as it was last logged.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LoggedSpeed {
    pub(super) base: endpoint_speed::LogRatio,
    pub(super) at: Option<clock::MonotonicTime>,
}

/// An owned endpoint and the ledger of its slots.
#[derive(Debug)]
pub(super) struct OwnedLedger {
    pub(super) entry: rc::Rc<directory::EndpointEntry>,
    pub(super) ledger: admission::EndpointLedger,
    /// Whether its identity is not confirmed; it gets one request at a time until then.
    pub(super) is_unverified: bool,
    /// Staged request, which waits in the queue of the endpoint.
    pub(super) staged: Option<admission::PermitNumber>,
    pub(super) cold_gate: cold_start::ColdGate,
    pub(super) speed: endpoint_speed::EndpointSpeed,
    pub(super) logged_speed: LoggedSpeed,
}

impl OwnedLedger {
    pub(super) fn new(entry: &rc::Rc<directory::EndpointEntry>) -> Self {
        let mut ledger = admission::EndpointLedger::new(admission_spec(entry));
        ledger.number_streams_after(u64::from(rand::random::<u32>()) << 16);
        Self {
            entry: entry.clone(),
            ledger,
            is_unverified: false,
            staged: None,
            cold_gate: cold_start::ColdGate::default(),
            speed: endpoint_speed::EndpointSpeed::default(),
            logged_speed: LoggedSpeed::default(),
        }
    }

    /// Returns the number of slots for online requests, including those of batch streams.
    pub(super) fn free_online_slots(&self) -> u32 {
        self.entry.slots.saturating_sub(self.ledger.online())
    }

    /// Returns how many more requests may queue at the endpoint if `queue` may in total.
    pub(super) fn free_queue_slots(&self, queue: u32) -> u32 {
        let limit = self.entry.slots + queue;
        limit.saturating_sub(self.ledger.online().max(self.entry.slots))
    }

    /// Releases a permit; the staged request has a slot once no more are held than exist.
    pub(super) fn release(&mut self, number: admission::PermitNumber) {
        self.ledger.release_permit(number);
        if self.staged == Some(number) || self.ledger.online() <= self.entry.slots {
            self.staged = None;
        }
    }

    /// Returns the endpoint as a candidate for a choice.
    pub(super) fn candidate(
        &self,
        now: clock::MonotonicTime,
    ) -> endpoint_choice::EndpointCandidate {
        let speed = match protection::is_disabled("expected_finish") {
            true => endpoint_speed::SpeedEstimate::default(),
            false => self.speed.estimate(now),
        };
        endpoint_choice::EndpointCandidate {
            speed,
            held: self.ledger.online(),
            slots: self.entry.slots,
        }
    }

    /// Returns whether any slot is held.
    pub(super) fn is_held(&self) -> bool {
        self.ledger.online() + self.ledger.batch() > 0
    }

    /// Returns the number of unused slots; negative while requests queue.
    pub(super) fn spare_slots(&self) -> i64 {
        let held = self.ledger.online() + self.ledger.batch();
        i64::from(self.entry.slots) - i64::from(held)
    }
}

fn admission_spec(entry: &directory::EndpointEntry) -> admission::AdmissionSpec {
    admission::AdmissionSpec {
        policy: admission::BatchPolicy::FixedPreempt,
        max_sequences: entry.slots,
        // The length of the queue depends on the objective of each request, and is
        // checked in `acquire`.
        max_online: u32::MAX,
        fixed_streams: entry.slots,
        permit_ttl: super::PERMIT_TTL,
        start_spacing: time::Duration::ZERO,
        headroom: HEADROOM,
        ..admission::AdmissionSpec::default()
    }
}
