//! What is known of failures and refusals of the owned endpoints.

use std::{collections, time};

use super::{ledger::OwnedLedger, PermitTable};
use crate::{
    clock,
    decisions::endpoint_doubt,
    ids, protection,
    serving::{peers, selection},
};

impl PermitTable {
    /// Returns the owned endpoints that are ejected for failures.
    ///
    /// `listed` returns the number of endpoints of a service at all owners. The maximum
    /// share of ejected endpoints applies to these: an owner that has mostly ejected ones
    /// does not ignore the ejections while other owners have most of the service.
    pub fn ejected(
        &self,
        loads: &selection::LoadTable,
        listed: impl Fn(&ids::ServiceName) -> usize,
        now: clock::MonotonicTime,
    ) -> collections::HashSet<ids::EndpointId> {
        let mut ejected = loads.ejected_uncapped(|id| self.ledgers.contains_key(id), now);
        let service_of = |id: &ids::EndpointId| self.ledgers.get(id).map(|o| &o.entry.service);
        let mut counts = collections::HashMap::<_, usize>::new();
        for service in ejected.iter().filter_map(service_of) {
            *counts.entry(service).or_default() += 1;
        }
        let is_capped = |service| {
            let count = counts.get(service).copied().unwrap_or_default();
            let listed = listed(service);
            // One of two endpoints may be ejected, but not the only one.
            count >= listed || (count > 1 && selection::exceeds_ejection_limit(count, listed))
        };
        ejected.retain(|id| service_of(id).is_some_and(|service| !is_capped(service)));
        ejected
    }

    /// Returns whether a request may be sent to an owned endpoint, considering what is
    /// known of the endpoint's failures.
    pub(super) fn is_acceptable(
        &self,
        owned: &OwnedLedger,
        request: &peers::OnlineSlotRequest,
        ejected: &collections::HashSet<ids::EndpointId>,
        now: clock::MonotonicTime,
    ) -> bool {
        use endpoint_doubt::SuspectUse as S;

        if protection::is_disabled("endpoint_doubt") {
            return true;
        }
        let id = &owned.entry.id;
        let use_of_suspects = request.use_of_suspects;
        let accepts_ejected = matches!(use_of_suspects, S::Fallback | S::Any);
        let is_ejected = ejected.contains(id) && !accepts_ejected;
        !is_ejected && self.doubts.admits(id, use_of_suspects, now)
    }

    /// Returns whether the request would get a free slot if it accepted suspect endpoints.
    pub fn has_only_suspect(
        &self,
        request: &peers::OnlineSlotRequest,
        ejected: &collections::HashSet<ids::EndpointId>,
        now: clock::MonotonicTime,
    ) -> bool {
        let candidates = self
            .of_service(&request.service, now)
            .filter(|owned| !request.excludes(&owned.entry));
        let mut free = candidates
            .filter(|owned| owned.free_online_slots() > 0)
            .map(|owned| self.is_acceptable(owned, request, ejected, now))
            .peekable();
        free.peek().is_some() && !free.any(|is_acceptable| is_acceptable)
    }

    /// Returns whether all owned endpoints of the service that a request does not exclude
    /// are suspect or ejected.
    pub fn are_all_suspect(
        &self,
        request: &peers::OnlineSlotRequest,
        ejected: &collections::HashSet<ids::EndpointId>,
        now: clock::MonotonicTime,
    ) -> bool {
        let owned = self.owned().filter(|e| e.service == request.service);
        let mut candidates = owned.filter(|e| !request.excludes(e));
        candidates.all(|e| ejected.contains(&e.id) || self.is_suspect(&e.id, now))
    }

    /// Returns whether an owned endpoint is suspect.
    pub fn is_suspect(&self, id: &ids::EndpointId, now: clock::MonotonicTime) -> bool {
        self.doubts.is_suspect(id, now)
    }

    /// Returns the number of owned endpoints that are suspect.
    pub fn suspect_count(&self, now: clock::MonotonicTime) -> usize {
        self.doubts.suspects(now).count()
    }

    /// Records a failure of an owned endpoint; returns whether it has become suspect by it.
    pub fn record_failure(
        &mut self,
        id: &ids::EndpointId,
        evidence: endpoint_doubt::FailureEvidence,
        now: clock::MonotonicTime,
    ) -> bool {
        self.ledgers.contains_key(id) && self.doubts.record_failure(id, evidence, now)
    }

    /// Records a sign of life of an endpoint; returns for how long it was suspect, if it was.
    pub fn record_life(
        &mut self,
        id: &ids::EndpointId,
        now: clock::MonotonicTime,
    ) -> Option<time::Duration> {
        self.doubts.record_life(id, now)
    }

    /// Removes and returns the endpoints that are no longer suspect by the passing of time.
    pub fn take_expired_doubts(&mut self, now: clock::MonotonicTime) -> Vec<ids::EndpointId> {
        self.doubts.take_expired(now)
    }

    /// Records that an owned endpoint refused a request that held a slot, and backs the
    /// endpoint off, as it has fewer free slots than its ledger shows.
    pub fn record_refused(&mut self, endpoint: &ids::EndpointId, now: clock::MonotonicTime) {
        if self.ledgers.contains_key(endpoint) {
            self.refusals.record(endpoint, now, &mut rand::rng());
        }
    }

    /// Records that an endpoint served a request that held a slot, which ends its backoff.
    pub fn record_served(&mut self, endpoint: &ids::EndpointId) {
        self.refusals.forget(endpoint);
    }

    /// Ends the backoffs that have expired; returns whether there were any.
    pub fn reopen(&mut self, now: clock::MonotonicTime) -> bool {
        let has_reopened = self.refusals.expire(now);
        self.staging_refusals.expire(now) || has_reopened
    }
}
