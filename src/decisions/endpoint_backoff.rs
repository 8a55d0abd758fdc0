//! Exponential backoff for endpoints that refused a request.

use std::{collections, time};

use rand::Rng;

use crate::{clock, ids};

/// Range and jitter of the backoff.
#[derive(Debug, Clone, Copy)]
pub struct BackoffRange {
    /// Initial backoff.
    pub first: time::Duration,
    /// Maximum backoff, and the time after the end of a backoff at which the endpoint's entry is
    /// removed.
    pub last: time::Duration,
    /// Jitter as a fraction of the backoff, in both directions, so that processes that were
    /// refused together do not retry together.
    pub spread: f64,
}

#[derive(Debug, Clone, Copy)]
struct BackoffEntry {
    until: clock::MonotonicTime,
    delay: time::Duration,
    is_backed_off: bool,
}

/// Endpoints whose state in an [`EndpointBackoff`] has changed by the passing of time.
#[derive(Debug, Default)]
pub struct ExpiredBackoffs {
    /// Endpoints whose backoff ended.
    pub reopened: Vec<ids::EndpointId>,
    /// Endpoints whose last backoff ended long ago and that are no longer listed.
    pub forgotten: Vec<ids::EndpointId>,
}

/// Endpoints that are backed off, or were recently.
#[derive(Debug)]
pub struct EndpointBackoff {
    range: BackoffRange,
    entries: collections::HashMap<ids::EndpointId, BackoffEntry>,
}

impl EndpointBackoff {
    /// Creates a table without entries.
    pub fn new(range: BackoffRange) -> Self {
        Self {
            range,
            entries: collections::HashMap::new(),
        }
    }

    /// Backs off from an endpoint; returns whether it was not backed off before.
    ///
    /// A refusal of a request that was sent before the backoff began does not extend it.
    pub fn record(
        &mut self,
        id: &ids::EndpointId,
        now: clock::MonotonicTime,
        rng: &mut impl Rng,
    ) -> bool {
        let known = self.entries.get(id);
        if known.is_some_and(|entry| entry.is_backed_off) {
            return false;
        }
        let BackoffRange {
            first,
            last,
            spread,
        } = self.range;
        let delay = known.map_or(first, |entry| (entry.delay * 2).min(last));
        let jitter = rng.random_range(1.0 - spread..=1.0 + spread);
        let entry = BackoffEntry {
            until: now + delay.mul_f64(jitter),
            delay,
            is_backed_off: true,
        };
        self.entries.insert(id.clone(), entry);
        true
    }

    /// Removes the entry of an endpoint; returns whether the endpoint was backed off.
    pub fn forget(&mut self, id: &ids::EndpointId) -> bool {
        self.entries
            .remove(id)
            .is_some_and(|entry| entry.is_backed_off)
    }

    /// Returns whether an endpoint is backed off.
    pub fn is_backed_off(&self, id: &ids::EndpointId) -> bool {
        self.entries
            .get(id)
            .is_some_and(|entry| entry.is_backed_off)
    }

    /// Returns whether an endpoint is backed off, or was recently.
    pub fn contains(&self, id: &ids::EndpointId) -> bool {
        self.entries.contains_key(id)
    }

    /// Ends the backoffs that are over and removes old entries; returns whether any backoff
    /// ended.
    pub fn expire(&mut self, now: clock::MonotonicTime) -> bool {
        !self.take_expired(now).reopened.is_empty()
    }

    /// Ends the backoffs that are over and removes old entries; returns their endpoints.
    pub fn take_expired(&mut self, now: clock::MonotonicTime) -> ExpiredBackoffs {
        let mut expired = ExpiredBackoffs::default();
        for (id, entry) in &mut self.entries {
            if entry.is_backed_off && entry.until <= now {
                entry.is_backed_off = false;
                expired.reopened.push(id.clone());
            }
        }
        let last = self.range.last;
        self.entries.retain(|id, entry| {
            let is_kept = entry.is_backed_off || now.since(entry.until) < last;
            if !is_kept {
                expired.forgotten.push(id.clone());
            }
            is_kept
        });
        expired
    }

    /// Removes the entries of endpoints for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&ids::EndpointId) -> bool) {
        self.entries.retain(|id, _| is_kept(id));
    }
}
