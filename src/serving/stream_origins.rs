//! Origins of streams: which software version wrote the first event of each.
//!
//! A stream may go on only at that version. The origin is kept by the process that relayed
//! the first event and, while endpoints of several versions serve, by its holders as well
//! (`origin_exchange`).

use std::{collections, time};

use super::{directory, endpoint_entry};
use crate::{clock, ids};

/// Maximum number of origins that a process keeps; beyond it, the least recently used one is
/// dropped. Each takes about 200 bytes.
const MAX_ORIGINS: usize = 16_384;

/// Difference between the clocks of two machines, in milliseconds, up to which it is not decided
/// whether an event came before an endpoint started.
const CLOCK_MARGIN_MS: u64 = 50;

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StreamOrigin {
    /// Software of the endpoint.
    pub software: endpoint_entry::ServiceSoftware,
    /// Run of the endpoint, as it was listed; `None` if all endpoints of the service have had
    /// this software for long.
    pub run: Option<ids::EndpointRun>,
    /// When its first event arrived, in milliseconds since the epoch.
    pub began_ms: u64,
    /// Whether the endpoint had another start than the listed one, so that its software is unknown.
    #[serde(default)]
    pub is_unlisted: bool,
}

impl StreamOrigin {
    /// Returns the origin of a stream whose first event comes from an endpoint now; `None` if
    /// the version of its software is unknown.
    pub fn at(endpoint: &directory::EndpointEntry) -> Option<Self> {
        Some(Self {
            software: endpoint.service_software()?,
            run: Some(endpoint.run()),
            began_ms: clock::epoch_ms(),
            is_unlisted: false,
        })
    }

    /// Returns whether the first event is sure to come from the listed software: the endpoint
    /// has not started again with other software before it, unnoticed by the list.
    pub fn is_certain(&self, directory: &directory::EndpointDirectory) -> bool {
        let Some(run) = &self.run else {
            return true;
        };
        let Some(entry) = directory.entry(&run.endpoint) else {
            return true;
        };
        let is_same = entry.service_software().as_ref() == Some(&self.software);
        let began_before = entry.started.is_some_and(|started| {
            started != run.started.unwrap_or(started) && self.began_before(started)
        });
        is_same || began_before
    }

    /// Returns whether the first event came before an endpoint started.
    pub fn began_before(&self, started: ids::StartTime) -> bool {
        self.began_ms.saturating_add(CLOCK_MARGIN_MS) < started.0
    }
}

/// Origin of a stream as it goes between processes.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct OriginRecord {
    /// The stream.
    pub key: ids::StreamKey,
    /// Its origin.
    pub origin: StreamOrigin,
    /// For how long its caller may still resume it.
    pub remaining: time::Duration,
}

/// How many other processes know an origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginReach {
    /// None, as far as is known; this process relayed the first event.
    Unshared,
    /// A holder has confirmed it, or sent it.
    Shared,
}

/// An origin that is kept here.
#[derive(Debug, Clone)]
struct KeptOrigin {
    origin: StreamOrigin,
    expires: clock::BootInstant,
    reach: OriginReach,
}

/// Origins that a process keeps.
#[derive(Debug)]
pub struct OriginTable {
    origins: lru::LruCache<ids::StreamKey, KeptOrigin>,
}

impl Default for OriginTable {
    fn default() -> Self {
        Self {
            origins: lru::LruCache::unbounded(),
        }
    }
}

impl OriginTable {
    /// Keeps an origin until its caller no longer resumes the stream.
    pub fn insert(&mut self, record: OriginRecord, reach: OriginReach) {
        let kept = KeptOrigin {
            origin: record.origin,
            expires: clock::BootInstant::now() + record.remaining,
            reach,
        };
        self.origins.put(record.key, kept);
        if self.origins.len() > MAX_ORIGINS {
            self.origins.pop_lru();
        }
    }

    /// Returns the origin of a stream, if it is known.
    pub fn get(&mut self, key: ids::StreamKey) -> Option<OriginRecord> {
        let now = clock::BootInstant::now();
        let kept = self.origins.get(&key).filter(|kept| kept.expires > now)?;
        Some(record_of(key, kept, now))
    }

    /// Records that a holder keeps the origin of a stream.
    pub fn set_shared(&mut self, key: ids::StreamKey) {
        if let Some(kept) = self.origins.peek_mut(&key) {
            kept.reach = OriginReach::Shared;
        }
    }

    /// Returns up to `limit` unshared origins of streams of some services.
    pub fn unshared(
        &self,
        services: &collections::HashSet<ids::ServiceName>,
        limit: usize,
    ) -> Vec<OriginRecord> {
        let now = clock::BootInstant::now();
        let origins = self.origins.iter().filter(|(_, kept)| {
            let is_open = kept.reach == OriginReach::Unshared && kept.expires > now;
            is_open && services.contains(&kept.origin.software.service)
        });
        let records = origins.map(|(key, kept)| record_of(*key, kept, now));
        records.take(limit).collect()
    }

    /// Drops the origins of streams that no caller resumes any more.
    pub fn expire(&mut self) {
        let now = clock::BootInstant::now();
        let expired = self.origins.iter().filter(|(_, kept)| kept.expires <= now);
        let expired: Vec<_> = expired.map(|(key, _)| *key).collect();
        for key in expired {
            self.origins.pop(&key);
        }
    }

    /// Returns the number of origins.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether there are no origins.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }
}

fn record_of(key: ids::StreamKey, kept: &KeptOrigin, now: clock::BootInstant) -> OriginRecord {
    OriginRecord {
        key,
        origin: kept.origin.clone(),
        remaining: kept.expires.duration_since(now),
    }
}
