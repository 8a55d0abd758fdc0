//! Free slots and queue slots of the owned endpoints.

use std::{collections, num, time};

use super::{ledger::OwnedLedger, PermitHolder, PermitTable, SlotDenial, PERMIT_TTL};
use crate::{clock, decisions::wait_queue, ids, serving::peers};

impl PermitTable {
    /// Returns the number of slots of a service that online requests can get now, without
    /// those of endpoints that lost a request.
    pub fn free_online_slots(&self, service: &ids::ServiceName, now: clock::MonotonicTime) -> u32 {
        self.of_service(service, now)
            .filter(|owned| !self.doubts.is_broken(&owned.entry.id, now))
            .map(OwnedLedger::free_online_slots)
            .sum()
    }

    /// Returns the number of free queue slots of a service, without those of endpoints that
    /// lost a request, for requests that may wait for `wait`.
    pub fn free_queue_slots(
        &self,
        service: &ids::ServiceName,
        wait: time::Duration,
        now: clock::MonotonicTime,
    ) -> u32 {
        let owned = self.of_service(service, now);
        let trusted = owned.filter(|owned| !self.doubts.is_broken(&owned.entry.id, now));
        let free_slots = trusted.map(|owned| owned.free_queue_slots(self.max_queued(owned, wait)));
        free_slots.sum()
    }

    /// Returns the number of slots of a service, with those that are held.
    pub fn slots(&self, service: &ids::ServiceName) -> u32 {
        let owned = self.owned().filter(|entry| entry.service == *service);
        owned.map(|entry| entry.slots).sum()
    }

    /// Returns the learned mean time for which a request of a service holds a slot.
    pub fn hold_time(&self, service: &ids::ServiceName) -> Option<time::Duration> {
        self.hold_times.get(service)?.mean()
    }

    /// Returns the capacity of a service for which requests wait in a wait queue, without
    /// endpoints that may grant no slots or lost a request.
    pub fn queue_capacity(
        &self,
        service: &ids::ServiceName,
        now: clock::MonotonicTime,
    ) -> wait_queue::QueueCapacity {
        let owned = self.of_service(service, now);
        let usable = owned.filter(|owned| !self.doubts.is_broken(&owned.entry.id, now));
        let slots = usable.map(|owned| owned.entry.slots).sum::<u32>();
        let hold_time = self.hold_times.get(service).copied().unwrap_or_default();
        let spacing = hold_time.mean().filter(|_| slots > 0);
        wait_queue::QueueCapacity {
            spacing: spacing.map(|mean| mean / slots),
            slots,
            // The expected turn bounds the queue further; each entry has its own wait.
            limit: hold_time.max_waiting(slots, time::Duration::MAX) as usize,
        }
    }

    /// Returns the free slots of each service with owned endpoints, and the learned hold time.
    pub fn free_slots(&self, now: clock::MonotonicTime) -> Vec<peers::FreeSlotReport> {
        let mut services: Vec<_> = self.owned().map(|entry| entry.service.clone()).collect();
        services.sort();
        services.dedup();
        let free_slots = services.into_iter().map(|service| {
            let hold_time = self.hold_time(&service);
            let millis = hold_time.map_or(0, |hold_time| hold_time.as_millis());
            peers::FreeSlotReport {
                free_slots: self.free_online_slots(&service, now),
                slots: self.slots(&service),
                hold_ms: num::NonZeroU32::new(millis.try_into().unwrap_or(u32::MAX)),
                service,
            }
        });
        free_slots.collect()
    }

    /// Returns why a request got no slot.
    pub fn denial(
        &self,
        request: &peers::OnlineSlotRequest,
        now: clock::MonotonicTime,
    ) -> SlotDenial {
        let ledgers = self.ledgers.values();
        let owned: Vec<_> = ledgers
            .filter(|o| o.entry.service == request.service)
            .collect();
        let is_excluded = |owned: &&&OwnedLedger| request.excludes(&owned.entry);
        let is_of_service = |h: &&PermitHolder| {
            let ledger = self.ledgers.get(&h.endpoint);
            ledger.is_some_and(|o| o.entry.service == request.service)
        };
        let held: Vec<_> = self.holders.values().filter(is_of_service).collect();
        let holders: collections::HashSet<_> = held.iter().map(|h| &h.holder).collect();
        let ages = held
            .iter()
            .map(|h| PERMIT_TTL.saturating_sub(h.expiry.since(now)));
        SlotDenial {
            endpoints: owned.len(),
            excluded: owned.iter().filter(is_excluded).count(),
            unavailable: owned.len() - self.of_service(&request.service, now).count(),
            online: owned.iter().map(|o| o.ledger.online()).sum(),
            holders: holders.len(),
            oldest: ages.max().unwrap_or_default(),
        }
    }

    /// Returns how many requests may queue at an endpoint if each may wait for `wait`.
    pub(super) fn max_queued(&self, owned: &OwnedLedger, wait: time::Duration) -> u32 {
        let hold_time = self.hold_times.get(&owned.entry.service).copied();
        hold_time
            .unwrap_or_default()
            .max_waiting(owned.entry.slots, wait)
    }

    /// Returns the owned endpoints of a service that may grant slots.
    pub(super) fn of_service<'a>(
        &'a self,
        service: &'a ids::ServiceName,
        now: clock::MonotonicTime,
    ) -> impl Iterator<Item = &'a OwnedLedger> {
        let owned = self.ledgers.values();
        owned.filter(move |owned| {
            let id = &owned.entry.id;
            let awaits_response = owned.is_unverified && owned.is_held();
            let is_open = !self.refusals.is_backed_off(id) && owned.cold_gate.is_open(now);
            owned.entry.service == *service && is_open && !awaits_response
        })
    }
}
