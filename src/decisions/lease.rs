//! Who is alive, as far as one observer can tell without comparing clocks.
//!
//! An instance renews its record in the object service. An observer counts, on
//! its own clock, the time in which it could have seen a renewal and saw none.
//! The time in which the observer could not read the service does not count,
//! so an outage makes nobody look dead.

use std::{collections, time};

use crate::{clock, ids};

#[derive(Debug, Clone)]
struct ObservedLease {
    beat: u64,
    silent: time::Duration,
    leaving: bool,
}

/// Leases as one observer sees them.
#[derive(Debug, Clone)]
pub struct LeaseObserver {
    lease_timeout: time::Duration,
    leases: collections::BTreeMap<ids::InstanceId, ObservedLease>,
    ticked_at: clock::MonotonicTime,
}

impl LeaseObserver {
    /// An observer that takes an instance for gone after `lapse` without renewal.
    pub fn new(lease_timeout: time::Duration, now: clock::MonotonicTime) -> Self {
        Self {
            lease_timeout,
            leases: collections::BTreeMap::new(),
            ticked_at: now,
        }
    }

    /// Notes a record: `beat` differs at each renewal.
    pub fn record(&mut self, id: &ids::InstanceId, beat: u64, leaving: bool) {
        let lease = self.leases.entry(id.clone()).or_insert(ObservedLease {
            beat,
            silent: time::Duration::ZERO,
            leaving,
        });
        if lease.beat != beat {
            lease.silent = time::Duration::ZERO;
        }
        lease.beat = beat;
        lease.leaving = leaving;
    }

    /// Notes that a record was removed.
    pub fn remove(&mut self, id: &ids::InstanceId) {
        self.leases.remove(id);
    }

    /// Lets time pass; `readable` says whether the service could be read since the last tick.
    pub fn tick(&mut self, now: clock::MonotonicTime, readable: bool) {
        let passed = now.since(self.ticked_at);
        self.ticked_at = now;
        if !readable {
            return;
        }
        // A gap longer than a lease means that this observer itself was paused.
        if passed >= self.lease_timeout {
            return;
        }
        for lease in self.leases.values_mut() {
            lease.silent += passed;
        }
    }

    /// Whether the instance renewed in time.
    pub fn is_live(&self, id: &ids::InstanceId) -> bool {
        self.leases
            .get(id)
            .is_some_and(|l| l.silent < self.lease_timeout)
    }

    /// Whether the instance renewed in time and is not leaving.
    pub fn takes_work(&self, id: &ids::InstanceId) -> bool {
        self.is_live(id) && self.leases.get(id).is_some_and(|l| !l.leaving)
    }

    /// Instances whose records are so old that they may be swept.
    pub fn long_gone(&self) -> Vec<ids::InstanceId> {
        let old = self.lease_timeout * SWEEP_LAPSES;
        let gone = self.leases.iter().filter(|(_, l)| l.silent >= old);
        gone.map(|(id, _)| id.clone()).collect()
    }
}

/// Lapses after which a record may be swept.
const SWEEP_LAPSES: u32 = 20;
