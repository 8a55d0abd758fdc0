//! Liveness of instances, as determined by one observer without comparing clocks.
//!
//! An instance renews its record in the object service. An observer counts, on its own clock,
//! the time in which it could have seen a renewal but saw none. Time in which the observer
//! could not read the object service does not count, so an outage makes no instance appear
//! dead.

use std::{collections, time};

use crate::{clock, ids};

#[derive(Debug, Clone)]
struct ObservedLease {
    heartbeat: u64,
    silent_for: time::Duration,
    leaving: bool,
}

/// Leases as seen by one observer.
#[derive(Debug, Clone)]
pub struct LeaseObserver {
    lease_timeout: time::Duration,
    leases: collections::BTreeMap<ids::InstanceId, ObservedLease>,
    ticked_at: clock::MonotonicTime,
}

impl LeaseObserver {
    /// Creates an observer for which a lease expires after `lease_timeout` without renewal.
    pub fn new(lease_timeout: time::Duration, now: clock::MonotonicTime) -> Self {
        Self {
            lease_timeout,
            leases: collections::BTreeMap::new(),
            ticked_at: now,
        }
    }

    /// Records the state of an instance's record; `heartbeat` differs for each renewal.
    pub fn record(&mut self, id: &ids::InstanceId, heartbeat: u64, leaving: bool) {
        let lease = self.leases.entry(id.clone()).or_insert(ObservedLease {
            heartbeat,
            silent_for: time::Duration::ZERO,
            leaving,
        });
        if lease.heartbeat != heartbeat {
            lease.silent_for = time::Duration::ZERO;
        }
        lease.heartbeat = heartbeat;
        lease.leaving = leaving;
    }

    /// Removes the lease of an instance whose record was deleted.
    pub fn remove(&mut self, id: &ids::InstanceId) {
        self.leases.remove(id);
    }

    /// Advances time; `is_readable` tells whether the object service could be read since the last
    /// tick.
    pub fn tick(&mut self, now: clock::MonotonicTime, is_readable: bool) {
        let passed = now.since(self.ticked_at);
        self.ticked_at = now;
        if !is_readable {
            return;
        }
        // A gap as long as the lease timeout means that this observer was paused itself.
        if passed >= self.lease_timeout {
            return;
        }
        for lease in self.leases.values_mut() {
            lease.silent_for += passed;
        }
    }

    /// Returns whether the instance's lease is valid.
    pub fn is_live(&self, id: &ids::InstanceId) -> bool {
        self.leases
            .get(id)
            .is_some_and(|l| l.silent_for < self.lease_timeout)
    }

    /// Returns whether the instance's lease is valid and the instance is not leaving.
    pub fn accepts_work(&self, id: &ids::InstanceId) -> bool {
        self.is_live(id) && self.leases.get(id).is_some_and(|l| !l.leaving)
    }

    /// Returns the instances whose leases expired so long ago that their records may be deleted.
    pub fn removable_instances(&self) -> Vec<ids::InstanceId> {
        let threshold = self.lease_timeout * REMOVAL_TIMEOUTS;
        let removable = self
            .leases
            .iter()
            .filter(|(_, l)| l.silent_for >= threshold);
        removable.map(|(id, _)| id.clone()).collect()
    }
}

/// Number of lease timeouts after which a record may be deleted.
const REMOVAL_TIMEOUTS: u32 = 20;
