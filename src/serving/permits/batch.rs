//! Batch streams in the slots that online requests leave free, here and lent to peers.

use std::{collections, rc};

use super::{PermitTable, SlotBorrower};
use crate::{
    clock,
    decisions::admission,
    ids, protection,
    serving::{directory, peers},
};

impl PermitTable {
    /// Begins a batch stream at any owned endpoint of `service`, see [`Self::begin_batch_at`].
    pub fn begin_batch(
        &mut self,
        service: &ids::ServiceName,
        ejected: &collections::HashSet<ids::EndpointId>,
        now: clock::MonotonicTime,
    ) -> Option<(rc::Rc<directory::EndpointEntry>, admission::StreamNumber)> {
        self.begin_batch_at(service, |_| true, ejected, now)
    }

    /// Begins a batch stream at the owned endpoint of `service` with the most free slots,
    /// where those of slow endpoints count more. `accepts` returns whether the stream may run
    /// at an endpoint.
    pub fn begin_batch_at(
        &mut self,
        service: &ids::ServiceName,
        accepts: impl Fn(&directory::EndpointEntry) -> bool,
        ejected: &collections::HashSet<ids::EndpointId>,
        now: clock::MonotonicTime,
    ) -> Option<(rc::Rc<directory::EndpointEntry>, admission::StreamNumber)> {
        let scale = self.speed_scale(service, now);
        let (refusals, doubts) = (&self.refusals, &self.doubts);
        let is_broken = |id: &ids::EndpointId| {
            doubts.is_broken(id, now) && !protection::is_disabled("endpoint_doubt")
        };
        // Without a choice, the items would wait for endpoints that no batch stream probes.
        let mut of_service = self.ledgers.values();
        let has_choice = of_service.any(|o| o.entry.service == *service && !is_broken(&o.entry.id));
        let usable = self.ledgers.values_mut().filter(|owned| {
            let id = &owned.entry.id;
            let awaits_response = owned.is_unverified && owned.is_held();
            let is_open = !refusals.is_backed_off(id) && owned.cold_gate.is_open(now);
            let is_open = is_open && !awaits_response && !(has_choice && is_broken(id));
            let is_open = is_open && !ejected.contains(id);
            owned.entry.service == *service && is_open && accepts(&owned.entry)
        });
        let available = usable.filter_map(|owned| {
            let free_slots = owned.ledger.free_batch_slots(now);
            (free_slots > 0).then_some(owned)
        });
        let best = available.max_by_key(|owned| {
            let is_warm = !owned.cold_gate.is_cold(now);
            let speed = owned.candidate(now).speed;
            let preference = scale.batch_preference(&speed, owned.spare_slots());
            (is_warm, preference, owned.entry.id.clone())
        })?;
        let number = best.ledger.begin_stream(now);
        best.cold_gate.record(now);
        Some((best.entry.clone(), number))
    }

    /// Ends a batch stream; does nothing if it was preempted before.
    pub fn end_batch(&mut self, endpoint: &ids::EndpointId, number: admission::StreamNumber) {
        self.borrowed.remove(&(endpoint.clone(), number));
        if let Some(owned) = self.ledgers.get_mut(endpoint) {
            owned.ledger.end_stream(number);
        }
    }

    /// Lends slots for batch streams to a peer, up to the requested number.
    pub fn lend_batch(
        &mut self,
        request: &peers::BatchSlotRequest,
        ejected: &collections::HashSet<ids::EndpointId>,
        now: clock::MonotonicTime,
    ) -> Vec<(ids::EndpointId, admission::StreamNumber)> {
        let mut borrowed = Vec::new();
        if self.take_early_release(request.number) {
            return borrowed;
        }
        while borrowed.len() < request.count {
            let Some((entry, number)) = self.begin_batch(&request.service, ejected, now) else {
                break;
            };
            let key = (entry.id.clone(), number);
            let borrower = SlotBorrower {
                holder: request.holder.clone(),
                request: request.number,
            };
            self.borrowed.insert(key.clone(), borrower);
            borrowed.push(key);
        }
        borrowed
    }

    /// Ends the batch streams lent to a request whose response was lost.
    ///
    /// The cancellation may arrive before the request, and is then remembered.
    pub fn cancel_lent(&mut self, request: u64) {
        let borrowed = self.borrowed.iter().filter(|(_, b)| b.request == request);
        let borrowed: Vec<_> = borrowed.map(|(key, _)| key.clone()).collect();
        if borrowed.is_empty() {
            self.early_releases.put(request, ());
        }
        for (endpoint, number) in borrowed {
            self.end_batch(&endpoint, number);
        }
    }

    /// Removes and returns the borrower of a batch stream, if another instance runs it.
    pub fn borrower(
        &mut self,
        endpoint: &ids::EndpointId,
        number: admission::StreamNumber,
    ) -> Option<ids::InstanceId> {
        let borrower = self.borrowed.remove(&(endpoint.clone(), number))?;
        Some(borrower.holder.instance)
    }
}
