//! Grants and releases of slots for online requests.

use std::collections;

use super::{GrantedSlot, PermitHolder, PermitTable, PERMIT_TTL};
use crate::{clock, decisions::admission, ids, serving::peers};

impl PermitTable {
    /// Grants a slot to an online request unless all endpoints are full.
    ///
    /// Prefers an endpoint with a free slot, a warm one first, then the one that is expected
    /// to complete the request first and among equals one in the domain of the requester. If
    /// none is free, the first of the endpoints in this order gives up a batch stream or queues
    /// the request. Among alike endpoints, the number of requests decides.
    ///
    /// A request whose number already holds a slot gets the same slot again.
    pub fn acquire(
        &mut self,
        request: &peers::OnlineSlotRequest,
        ejected: &collections::HashSet<ids::EndpointId>,
        now: clock::MonotonicTime,
    ) -> Option<GrantedSlot> {
        if self.take_early_release(request.number) {
            return None;
        }
        // A second grant would replace the holder of the first, whose slot then stays taken
        // until it expires.
        if let Some(held) = self.holders.get(&request.number) {
            return Some(GrantedSlot {
                endpoint: held.endpoint.clone(),
                preempted: Vec::new(),
            });
        }
        let scale = self.speed_scale(&request.service, now);
        let usable = self
            .of_service(&request.service, now)
            .filter(|owned| !request.excludes(&owned.entry))
            .filter(|owned| self.is_acceptable(owned, request, ejected, now));
        let best = usable.min_by_key(|owned| {
            let is_full = owned.spare_slots() <= 0;
            let load = match is_full {
                true => owned.ledger.online(),
                false => owned.ledger.online() + owned.ledger.batch(),
            };
            (
                // An endpoint without a slot cannot be chosen for its speed or health.
                owned.free_online_slots() == 0,
                ejected.contains(&owned.entry.id),
                is_full,
                owned.cold_gate.is_cold(now),
                scale.finish_cost(&owned.candidate(now).speed, load),
                owned.entry.domain != request.domain,
                owned.entry.id.clone(),
            )
        })?;
        let is_free = best.free_online_slots() > 0;
        let may_wait =
            request.may_queue && best.free_queue_slots(self.max_queued(best, request.wait)) > 0;
        if !is_free && !may_wait {
            return None;
        }
        let endpoint = best.entry.id.clone();
        let owned = self.ledgers.get_mut(&endpoint)?;
        let grant = owned.ledger.request_permit(request.number, now)?;
        owned.cold_gate.record(now);
        self.doubts.begin(&endpoint, request.number, now);
        let holder = PermitHolder {
            endpoint: endpoint.clone(),
            holder: request.holder.clone(),
            expiry: now + PERMIT_TTL,
            granted_at: is_free.then_some(now),
        };
        self.holders.insert(request.number, holder);
        Some(GrantedSlot {
            endpoint,
            preempted: grant.preempt,
        })
    }

    /// Releases the permit of a served request and records how long it was held.
    ///
    /// Returns its endpoint if the permit is known.
    pub fn release_served(
        &mut self,
        number: admission::PermitNumber,
        now: clock::MonotonicTime,
    ) -> Option<ids::EndpointId> {
        let granted_at = self.holders.get(&number)?.granted_at;
        let endpoint = self.release(number)?;
        if let (Some(granted_at), Some(owned)) = (granted_at, self.ledgers.get(&endpoint)) {
            let hold_time = self
                .hold_times
                .entry(owned.entry.service.clone())
                .or_default();
            hold_time.record(now.since(granted_at));
        }
        self.refusals.forget(&endpoint);
        Some(endpoint)
    }

    /// Releases a permit; returns its endpoint if the permit is known.
    pub fn release(&mut self, number: admission::PermitNumber) -> Option<ids::EndpointId> {
        let Some(holder) = self.holders.remove(&number) else {
            self.early_releases.put(number, ());
            return None;
        };
        if let Some(owned) = self.ledgers.get_mut(&holder.endpoint) {
            owned.release(number);
        }
        self.doubts.end(&holder.endpoint, number);
        Some(holder.endpoint)
    }

    /// Releases all permits and batch streams of processes that ended; returns their number.
    pub fn release_ended(&mut self, has_ended: impl Fn(&ids::InstanceRun) -> bool) -> usize {
        let held = self.holders.iter().filter(|(_, h)| has_ended(&h.holder));
        let held: Vec<_> = held.map(|(number, _)| *number).collect();
        let borrowed = self.borrowed.iter().filter(|(_, b)| has_ended(&b.holder));
        let borrowed: Vec<_> = borrowed.map(|(key, _)| key.clone()).collect();
        let released = held.len() + borrowed.len();
        for number in held {
            self.release(number);
        }
        for (endpoint, number) in borrowed {
            self.end_batch(&endpoint, number);
        }
        released
    }

    /// Releases the expired permits; returns their endpoints and holders.
    ///
    /// An expired permit is a fault of its holder or of the link to it. A ledger drops
    /// expired permits only when it grants a slot, which a full one never does.
    pub fn expire(
        &mut self,
        now: clock::MonotonicTime,
    ) -> Vec<(ids::EndpointId, ids::InstanceRun)> {
        let expired = self.holders.iter().filter(|(_, h)| h.expiry <= now);
        let expired: Vec<_> = expired.map(|(number, h)| (*number, h.clone())).collect();
        let ended = expired.into_iter().map(|(number, held)| {
            self.release(number);
            (held.endpoint, held.holder)
        });
        ended.collect()
    }

    /// Returns whether a number was released before its request arrived, and forgets it.
    pub fn take_early_release(&mut self, number: admission::PermitNumber) -> bool {
        self.early_releases.pop(&number).is_some()
    }
}
