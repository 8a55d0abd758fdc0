//! Slots at the endpoints that this process owns: permits for online requests, and batch
//! streams in the slots that these leave free.

mod batch;
mod capacity;
mod failures;
mod grants;
mod ledger;
mod speeds;
mod staging;

use std::{collections, fmt, num, rc, time};

use super::{directory, peers};
use crate::{
    clock,
    decisions::{
        admission, cold_start, endpoint_backoff, endpoint_doubt, endpoint_speed, queue_limit,
    },
    ids,
};

/// TTL of a permit that is not released; longer than the longest request timeout.
pub(super) const PERMIT_TTL: time::Duration = time::Duration::from_secs(15);
/// Maximum number of remembered releases that arrived before their request.
///
/// Covers an owner that was suspended for a second at some hundred requests a second.
const MAX_EARLY_RELEASES: num::NonZeroUsize = num::NonZeroUsize::new(1024).expect("it is not zero");
/// Backoff of an endpoint that refused a request as full although its ledger shows a free
/// slot.
///
/// Such an endpoint has work that its owner does not know of, or fewer slots than before.
/// It refuses within a round trip and then appears free, so without a backoff it would be
/// chosen again at once.
///
/// Requests last about half a second, so one of eight slots becomes free about every
/// 60 ms. The work of a lost owner ends after a few seconds, and an endpoint with free
/// slots must not be idle for longer than a request lasts.
const REFUSAL_BACKOFF: endpoint_backoff::BackoffRange = endpoint_backoff::BackoffRange {
    first: time::Duration::from_millis(60),
    last: time::Duration::from_millis(960),
    spread: 0.3,
};

/// A slot granted to an online request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantedSlot {
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Batch streams at the endpoint that must be cancelled for it.
    pub preempted: Vec<admission::StreamNumber>,
}

/// Diagnosis of a denied request: the state of the service's endpoints at this owner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotDenial {
    /// Number of owned endpoints of the service.
    pub endpoints: usize,
    /// Number of these that the request excludes.
    pub excluded: usize,
    /// Number of these that are backed off after a refusal, are unverified and in use, or
    /// are cold and had a request just now.
    pub unavailable: usize,
    /// Number of online requests that hold slots at them.
    pub online: u32,
    /// Number of processes that hold these slots.
    pub holders: usize,
    /// Age of the oldest held slot.
    pub oldest: time::Duration,
}

impl fmt::Display for SlotDenial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "endpoints={} unwanted={} closed={} online={} holders={} oldest_ms={}",
            self.endpoints,
            self.excluded,
            self.unavailable,
            self.online,
            self.holders,
            self.oldest.as_millis(),
        )
    }
}

/// The endpoint and the holder of a permit.
#[derive(Debug, Clone)]
struct PermitHolder {
    endpoint: ids::EndpointId,
    holder: ids::InstanceRun,
    expiry: clock::MonotonicTime,
    /// When it was granted; `None` if the request had to queue at the endpoint.
    granted_at: Option<clock::MonotonicTime>,
}

/// The borrower of a slot for a batch stream.
#[derive(Debug, Clone)]
struct SlotBorrower {
    holder: ids::InstanceRun,
    /// Number of the request by which it was borrowed.
    request: u64,
}

/// The ledgers of the owned endpoints, with the holders of their slots.
///
/// Invariant: each permit of `holders` is in the ledger of its endpoint.
#[derive(Debug)]
pub struct PermitTable {
    ledgers: collections::HashMap<ids::EndpointId, ledger::OwnedLedger>,
    holders: collections::HashMap<admission::PermitNumber, PermitHolder>,
    /// Batch streams that other instances run in borrowed slots.
    borrowed: collections::HashMap<(ids::EndpointId, admission::StreamNumber), SlotBorrower>,
    /// Estimates of how long online requests of a service hold a slot.
    hold_times: collections::HashMap<ids::ServiceName, queue_limit::HoldTimeEstimate>,
    /// What runs of a service take at the mean of its owned endpoints.
    references: collections::HashMap<ids::ServiceName, endpoint_speed::ServiceReference>,
    /// Numbers of permits and of batch requests that were released before they arrived.
    ///
    /// An owner that was suspended may read a newer link first, and so receive the release
    /// of a slot before the request for it.
    early_releases: lru::LruCache<admission::PermitNumber, ()>,
    /// Endpoints that are backed off after a refusal.
    refusals: endpoint_backoff::EndpointBackoff,
    /// Endpoints at which no request is staged after one was refused.
    staging_refusals: endpoint_backoff::EndpointBackoff,
    /// Owned endpoints that are suspect after a failure.
    ///
    /// Invariant: each of them is in `ledgers`.
    doubts: endpoint_doubt::DoubtTable,
}

/// Change of an endpoint's learned speed that is worth a log line.
#[derive(Debug, Clone, PartialEq)]
pub struct SpeedChange {
    /// Service of the endpoint.
    pub service: ids::ServiceName,
    /// Ratio of its run times to the mean before.
    pub before: f64,
    /// Ratio of its run times to the mean now.
    pub now: f64,
}

impl Default for PermitTable {
    fn default() -> Self {
        Self {
            ledgers: collections::HashMap::new(),
            holders: collections::HashMap::new(),
            borrowed: collections::HashMap::new(),
            hold_times: collections::HashMap::new(),
            references: collections::HashMap::new(),
            early_releases: lru::LruCache::new(MAX_EARLY_RELEASES),
            refusals: endpoint_backoff::EndpointBackoff::new(REFUSAL_BACKOFF),
            staging_refusals: endpoint_backoff::EndpointBackoff::new(staging::STAGING_BACKOFF),
            doubts: endpoint_doubt::DoubtTable::default(),
        }
    }
}

impl PermitTable {
    /// Replaces the list of owned endpoints.
    ///
    /// Returns the endpoints that are no longer owned or have restarted; their permits and
    /// streams are dropped.
    pub fn set_owned(
        &mut self,
        owned: &[rc::Rc<directory::EndpointEntry>],
    ) -> Vec<ids::EndpointId> {
        let listed: collections::HashMap<_, _> = owned.iter().map(|e| (&e.id, e.started)).collect();
        let is_dropped = |(id, owned): &(&ids::EndpointId, &ledger::OwnedLedger)| {
            listed.get(id) != Some(&owned.entry.started)
        };
        let dropped = self.ledgers.iter().filter(is_dropped);
        let dropped: Vec<_> = dropped.map(|(id, _)| id.clone()).collect();
        for id in &dropped {
            self.ledgers.remove(id);
            self.doubts.clear_probe(id);
        }
        let ledgers = &self.ledgers;
        self.holders
            .retain(|_, holder| ledgers.contains_key(&holder.endpoint));
        self.borrowed
            .retain(|(endpoint, _), _| ledgers.contains_key(endpoint));
        self.refusals.retain(|id| ledgers.contains_key(id));
        self.staging_refusals.retain(|id| ledgers.contains_key(id));
        for entry in owned {
            let ledger = self.ledgers.entry(entry.id.clone());
            let ledger = ledger.or_insert_with(|| ledger::OwnedLedger::new(entry));
            ledger.entry = entry.clone();
        }
        // A restarted endpoint stays suspect until the new run gives a sign of life.
        let ledgers = &self.ledgers;
        self.doubts.retain(|id| ledgers.contains_key(id));
        dropped
    }

    /// Updates one endpoint: `owned` is its entry if this process owns it. Returns whether
    /// it is no longer owned or has restarted; its permits and streams are dropped then.
    ///
    /// The cost does not depend on the number of owned endpoints.
    pub fn update_owned(
        &mut self,
        id: &ids::EndpointId,
        owned: Option<&rc::Rc<directory::EndpointEntry>>,
    ) -> bool {
        let started = owned.map(|entry| entry.started);
        let known = self.ledgers.get(id);
        let is_dropped = known.is_some_and(|known| started != Some(known.entry.started));
        if is_dropped {
            self.ledgers.remove(id);
            self.holders.retain(|_, holder| holder.endpoint != *id);
            self.borrowed.retain(|(endpoint, _), _| endpoint != id);
            self.refusals.forget(id);
            self.staging_refusals.forget(id);
            self.doubts.clear_probe(id);
        }
        if let Some(entry) = owned {
            let ledger = self.ledgers.entry(id.clone());
            let ledger = ledger.or_insert_with(|| ledger::OwnedLedger::new(entry));
            ledger.entry = entry.clone();
        } else {
            self.doubts.forget(id);
        }
        is_dropped
    }

    /// Sets at which owned endpoints another endpoint may respond.
    pub fn set_unverified(&mut self, is_unverified: impl Fn(&ids::EndpointId) -> bool) {
        for (id, owned) in &mut self.ledgers {
            owned.is_unverified = is_unverified(id);
        }
    }

    /// Sets the limit of each owned endpoint that is cold.
    pub fn set_cold(
        &mut self,
        limit_of: impl Fn(&directory::EndpointEntry) -> Option<cold_start::ColdLimit>,
    ) {
        for owned in self.ledgers.values_mut() {
            owned.cold_gate.set_limit(limit_of(&owned.entry));
        }
    }

    /// Returns the owned endpoints.
    pub fn owned(&self) -> impl Iterator<Item = &rc::Rc<directory::EndpointEntry>> {
        self.ledgers.values().map(|owned| &owned.entry)
    }

    /// Returns whether this process owns endpoints of a service.
    pub fn owns(&self, service: &ids::ServiceName) -> bool {
        self.owned().any(|entry| entry.service == *service)
    }

    /// Returns the service of an owned endpoint.
    pub fn service_of(&self, endpoint: &ids::EndpointId) -> Option<&ids::ServiceName> {
        let owned = self.ledgers.get(endpoint)?;
        Some(&owned.entry.service)
    }

    /// Returns whether this process owns endpoints of the requested service and the request
    /// excludes all of them.
    pub fn are_all_excluded(&self, request: &peers::OnlineSlotRequest) -> bool {
        let mut owned = self.owned().filter(|e| e.service == request.service);
        self.owns(&request.service) && owned.all(|e| request.excludes(e))
    }

    /// Returns whether a permit is held.
    pub fn holds(&self, number: admission::PermitNumber) -> bool {
        self.holders.contains_key(&number)
    }

    /// Returns whether no slot is held.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty() && self.borrowed.is_empty()
    }

    /// Returns the numbers of online requests and of batch streams at all owned endpoints.
    pub fn totals(&self) -> (u32, u32) {
        let ledgers = self.ledgers.values().map(|owned| &owned.ledger);
        ledgers.fold((0, 0), |(online, batch), ledger| {
            (online + ledger.online(), batch + ledger.batch())
        })
    }
}
