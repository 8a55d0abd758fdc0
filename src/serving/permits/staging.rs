//! Staged requests: one for each owned endpoint whose slots are all held.

use std::{collections, time};

use super::{GrantedSlot, PermitHolder, PermitTable, PERMIT_TTL};
use crate::{
    clock,
    decisions::{admission, endpoint_backoff, staging},
    ids, protection,
    serving::peers,
};

/// Backoff of staging at an endpoint that refused a staged request as full.
///
/// Such an endpoint has no queue, or work that its owner does not know of, and either lasts.
/// A refusal costs its request a round trip and its place in the wait queue.
pub(super) const STAGING_BACKOFF: endpoint_backoff::BackoffRange = endpoint_backoff::BackoffRange {
    first: time::Duration::from_millis(500),
    last: time::Duration::from_secs(16),
    spread: 0.3,
};

impl PermitTable {
    /// Grants a waiting request a place in the queue of an endpoint whose slots are all held,
    /// if its next slot is expected to be released in time.
    ///
    /// The endpoint must have no staged request, and be neither suspect, ejected, cold,
    /// unverified nor backed off.
    pub fn stage(
        &mut self,
        request: &peers::OnlineSlotRequest,
        ejected: &collections::HashSet<ids::EndpointId>,
        now: clock::MonotonicTime,
    ) -> Option<GrantedSlot> {
        if self.holds(request.number) || protection::is_disabled("staged_request") {
            return None;
        }
        let hold_time = self.hold_times.get(&request.service)?.mean()?;
        let scale = self.speed_scale(&request.service, now);
        let usable = self.of_service(&request.service, now).filter(|owned| {
            let id = &owned.entry.id;
            let is_distrusted = ejected.contains(id) || self.doubts.is_suspect(id, now);
            let is_limited = owned.is_unverified || owned.cold_gate.is_cold(now);
            let refuses = self.staging_refusals.is_backed_off(id);
            !request.excludes(&owned.entry) && !is_distrusted && !is_limited && !refuses
        });
        let candidates = usable.map(|owned| {
            let speed = owned.candidate(now).speed;
            let candidate = staging::StagingCandidate {
                held: owned.ledger.online(),
                slots: owned.entry.slots,
                has_staged: owned.staged.is_some(),
                hold_time: Some(hold_time.mul_f64(scale.time_ratio(&speed))),
            };
            let is_distant = owned.entry.domain != request.domain;
            (candidate, (is_distant, owned.entry.id.clone()))
        });
        let (_, endpoint) = staging::choose(candidates, request.wait)?;
        let owned = self.ledgers.get_mut(&endpoint)?;
        let grant = owned.ledger.request_permit(request.number, now)?;
        owned.staged = Some(request.number);
        let holder = PermitHolder {
            endpoint: endpoint.clone(),
            holder: request.holder.clone(),
            expiry: now + PERMIT_TTL,
            // When it gets its slot is known to the endpoint only.
            granted_at: None,
        };
        self.holders.insert(request.number, holder);
        Some(GrantedSlot {
            endpoint,
            preempted: grant.preempt,
        })
    }

    /// Returns whether a request is staged: all slots of its endpoint are held by others.
    pub fn is_staged(&self, number: admission::PermitNumber) -> bool {
        let holder = self.holders.get(&number);
        let owned = holder.and_then(|holder| self.ledgers.get(&holder.endpoint));
        owned.is_some_and(|owned| owned.staged == Some(number))
    }

    /// Returns the number of staged requests of a service.
    pub fn staged_count(&self, service: &ids::ServiceName) -> u32 {
        let owned = self.ledgers.values();
        let staged = owned.filter(|o| o.entry.service == *service && o.staged.is_some());
        staged.count() as u32
    }

    /// Records that an owned endpoint refused a staged request as full, and stages no
    /// further one there for a while.
    pub fn record_staging_refused(
        &mut self,
        endpoint: &ids::EndpointId,
        now: clock::MonotonicTime,
    ) {
        if self.ledgers.contains_key(endpoint) {
            self.staging_refusals
                .record(endpoint, now, &mut rand::rng());
        }
    }
}
