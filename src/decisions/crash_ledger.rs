//! Tracking of requests that crash endpoints, and their quarantine.
//!
//! A request that runs on an endpoint when it crashes is not necessarily the cause. What
//! happens to the request on other endpoints decides: one that is served somewhere does not
//! crash every endpoint, so its earlier crashes no longer count. Only requests that crash
//! endpoint after endpoint and are served nowhere are quarantined.
//!
//! The crashes of a request form a grow-only set, and so do its cleared crashes. Sets of two
//! processes are merged in any order and any number of times, so a crash that one process has
//! cleared is not restored by an update from another.

use std::{collections, fmt, num, time};

use xxhash_rust::xxh3;

use crate::{clock, ids};

/// Number of crashes after which a request is quarantined. Up to the third, endpoints may
/// crash during a request by coincidence, or before the processes have exchanged updates.
pub const MAX_CRASHES: usize = 3;

/// Number of trials that a quarantined request gets in total, each after a longer quarantine.
/// Trials release requests that ran beside the one that crashed the endpoints, and requests
/// whose fault has been fixed at the endpoints. Each trial may crash one more endpoint.
pub const MAX_TRIALS: usize = 3;

/// Duration of the first quarantine. A crashed endpoint takes the other requests that run
/// there with it and is unavailable for seconds; ten minutes make that rare, and are short
/// enough for a caller whose request is harmless.
const INITIAL_QUARANTINE: time::Duration = time::Duration::from_secs(600);

/// Factor by which the quarantine grows after each trial that crashed an endpoint.
const QUARANTINE_GROWTH: u32 = 8;

/// Time after which another trial is allowed if the outcome of the last one is unknown;
/// longer than requests take.
const TRIAL_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Retention of the record of a quarantined request after its last crash.
const QUARANTINED_RETENTION: time::Duration = time::Duration::from_secs(7 * 24 * 3600);

/// Retention of the record of any other suspect: its next attempt comes within minutes or not
/// at all.
const SUSPECT_RETENTION: time::Duration = time::Duration::from_secs(3600);

/// Time before the end of its retention in which a record is no longer sent to other
/// processes. Two processes whose records expire at slightly different times would otherwise
/// restore them to each other indefinitely.
const SHARING_CUTOFF: time::Duration = time::Duration::from_secs(60);

/// Maximum number of records. Each crash adds up to eight, one for each request that was
/// running there, so 1024 records cover about 130 crashes within an hour and take about 200
/// KB.
const MAX_RECORDS: usize = 1024;

/// Delay before the first quarantine is reported to a caller, so that updates from other
/// processes can arrive. It protects a frequent request that was running on several endpoints
/// when they crashed together, before it was ever served: its runs elsewhere finish within
/// half a second and clear it. A request that does crash endpoints is refused that much
/// later, once for each counted crash.
const VERDICT_DELAY: time::Duration = time::Duration::from_millis(500);

/// Minimum time that an endpoint is unavailable after a crash. A request that is sent to it
/// earlier does not reach it: its address, or a proxy in front of it, may still accept
/// connections for a moment.
const MIN_DOWNTIME: time::Duration = time::Duration::from_secs(1);

/// Maximum number of endpoints whose last crash is remembered for that time.
const MAX_CRASHED_RUNS: num::NonZeroUsize =
    num::NonZeroUsize::new(256).expect("the capacity is not zero");

/// Time after a request was served during which no crash is attributed to it. Endpoints that
/// crash together, or because of another request, are back within seconds, and a frequent
/// request is served again by then. A request that is no longer served, for example after a
/// release that cannot handle it, is suspected soon enough.
const EXCUSE_DURATION: time::Duration = time::Duration::from_secs(30);

/// Maximum number of requests remembered as served; it covers those frequent enough to run on
/// several endpoints that crash at once.
const MAX_SERVED: num::NonZeroUsize =
    num::NonZeroUsize::new(4096).expect("the capacity is not zero");

/// Identifier of one crash of an endpoint.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct CrashId {
    /// Run of the endpoint, as listed.
    pub run: ids::EndpointRun,
    /// Sequence number of the crash within the run: an endpoint may return and crash again before
    /// it is listed with its new start time.
    pub ordinal: u32,
}

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.run, self.ordinal)
    }
}

/// Crash record of a request as sent between processes.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CrashUpdate {
    /// Digest of the request.
    pub digest: ids::RequestDigest,
    /// Crashes while the request was running.
    pub crashes: collections::BTreeSet<CrashId>,
    /// Subset of `crashes` that no longer counts, as the request was served since.
    pub cleared: collections::BTreeSet<CrashId>,
    /// Time since the last crash.
    pub age: time::Duration,
}

impl CrashUpdate {
    /// Returns the number of crashes that count.
    pub fn count(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }
}

/// Run of a request during which its endpoint crashed.
#[derive(Debug, Clone)]
pub struct CrashedRun {
    /// Digest of the request.
    pub digest: ids::RequestDigest,
    /// Run of the endpoint.
    pub endpoint: ids::EndpointRun,
    /// Time at which the request was sent to the endpoint.
    pub sent_at: clock::MonotonicTime,
}

/// Outcome of recording a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashOutcome {
    /// The request was served recently, so the crash is not attributed to it.
    Excused,
    /// The crash was recorded before.
    Known,
    /// The endpoint had crashed before the request was sent to it.
    Gone,
    /// The crash counts; holds the number of counted crashes of the request.
    Counted(usize),
}

/// Decision whether a request may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request may be sent.
    Allowed,
    /// The request may be sent once, as a trial.
    Trial,
    /// The request is quarantined; holds the remaining time.
    Quarantined(time::Duration),
}

impl fmt::Display for CrashVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Allowed => f.write_str("free"),
            Self::Trial => f.write_str("trial"),
            Self::Quarantined(left) => write!(f, "held for {} s", left.as_secs()),
        }
    }
}

/// Crash record of one request.
///
/// Invariant: `cleared` is a subset of `crashes`.
#[derive(Debug, Clone)]
struct CrashRecord {
    /// Crashes, with the time at which this process learned of each.
    crashes: collections::BTreeMap<CrashId, clock::MonotonicTime>,
    cleared: collections::BTreeSet<CrashId>,
    last_crash: clock::MonotonicTime,
    /// End of the current trial, if one was started.
    trial_until: Option<clock::MonotonicTime>,
    /// Whether the record is young enough to be sent to other processes.
    is_shared: bool,
}

impl CrashRecord {
    fn new(now: clock::MonotonicTime) -> Self {
        Self {
            crashes: collections::BTreeMap::new(),
            cleared: collections::BTreeSet::new(),
            last_crash: now,
            trial_until: None,
            is_shared: true,
        }
    }

    fn count(&self) -> usize {
        self.crashes.len() - self.cleared.len()
    }

    fn is_quarantined(&self) -> bool {
        self.count() >= MAX_CRASHES
    }

    fn retention(&self) -> time::Duration {
        match self.is_quarantined() {
            true => QUARANTINED_RETENTION,
            false => SUSPECT_RETENTION,
        }
    }

    /// Returns the end of the quarantine; once all trials are used up, the end of the record's
    /// retention.
    fn quarantined_until(&self) -> clock::MonotonicTime {
        let trials = self.count() - MAX_CRASHES;
        if trials >= MAX_TRIALS {
            return self.last_crash + QUARANTINED_RETENTION;
        }
        // `trials` is below MAX_TRIALS, so the power does not overflow.
        let growth = QUARANTINE_GROWTH.pow(trials as u32);
        self.last_crash + INITIAL_QUARANTINE * growth
    }

    fn update(&self, digest: ids::RequestDigest, now: clock::MonotonicTime) -> CrashUpdate {
        CrashUpdate {
            digest,
            crashes: self.crashes.keys().cloned().collect(),
            cleared: self.cleared.clone(),
            age: now.since(self.last_crash),
        }
    }

    /// Returns a hash of the record, or 0 for a record that is no longer shared.
    fn fingerprint(&self, digest: ids::RequestDigest) -> u64 {
        if !self.is_shared {
            return 0;
        }
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(digest.to_string().as_bytes());
        for id in self.crashes.keys() {
            hasher.update(format!("+{id}").as_bytes());
        }
        for id in &self.cleared {
            hasher.update(format!("-{id}").as_bytes());
        }
        hasher.digest()
    }

    /// Returns the identifier of the crash during `run`, or `None` if that crash is recorded
    /// already.
    ///
    /// A request that was sent after a recorded crash reached the endpoint after its return, so
    /// the crash during it is a new one.
    fn next_crash(&self, run: &CrashedRun) -> Option<CrashId> {
        let known = self.crashes.iter().filter(|(m, _)| m.run == run.endpoint);
        let latest = known.max_by_key(|(id, _)| id.ordinal);
        let ordinal = match latest {
            None => 1,
            Some((id, learned)) if run.sent_at > *learned + MIN_DOWNTIME => id.ordinal + 1,
            Some(_) => return None,
        };
        let run = run.endpoint.clone();
        Some(CrashId { run, ordinal })
    }
}

/// Crash records of all suspects.
///
/// Invariant: `fingerprint` is the wrapping sum of the fingerprints of `records`.
#[derive(Debug)]
pub struct CrashLedger {
    records: collections::HashMap<ids::RequestDigest, CrashRecord>,
    /// Time at which each request was last served by this process.
    served: lru::LruCache<ids::RequestDigest, clock::MonotonicTime>,
    /// Time at which each endpoint was last seen to crash, whichever request ran there.
    last_ends: lru::LruCache<ids::EndpointRun, clock::MonotonicTime>,
    fingerprint: u64,
}

impl Default for CrashLedger {
    fn default() -> Self {
        Self {
            records: collections::HashMap::new(),
            served: lru::LruCache::new(MAX_SERVED),
            last_ends: lru::LruCache::new(MAX_CRASHED_RUNS),
            fingerprint: 0,
        }
    }
}

impl CrashLedger {
    /// Records that an endpoint crashed during a request that this process had sent to it.
    pub fn record_crash(&mut self, run: &CrashedRun, now: clock::MonotonicTime) -> CrashOutcome {
        if self.record_end(run, now) {
            return CrashOutcome::Gone;
        }
        if self.is_excused(run, now) {
            return CrashOutcome::Excused;
        }
        let count = self.update_record(run.digest, now, |record| {
            let id = record.next_crash(run)?;
            record.crashes.insert(id, now);
            record.last_crash = now;
            record.trial_until = None;
            Some(record.count())
        });
        count.map_or(CrashOutcome::Known, CrashOutcome::Counted)
    }

    /// Records the crash of an endpoint, and returns whether it was known to have crashed before
    /// the request was sent.
    fn record_end(&mut self, run: &CrashedRun, now: clock::MonotonicTime) -> bool {
        let ended_at = self.last_ends.get(&run.endpoint).copied();
        let is_new = ended_at.is_none_or(|at| run.sent_at > at + MIN_DOWNTIME);
        if is_new {
            self.last_ends.put(run.endpoint.clone(), now);
        }
        ended_at.is_some_and(|at| !is_new && run.sent_at > at)
    }

    /// Returns whether a request was served so recently that a crash is not attributed to it.
    ///
    /// A frequent request runs on most of the endpoints that crash together, for example when
    /// their rack loses power, or that crash one by one because of another request.
    fn is_excused(&mut self, run: &CrashedRun, now: clock::MonotonicTime) -> bool {
        let served_at = self.served.get(&run.digest);
        served_at.is_some_and(|at| now.since(*at) < EXCUSE_DURATION)
    }

    /// Records that an endpoint completed a request; returns whether that clears it of crashes.
    pub fn record_served(&mut self, digest: ids::RequestDigest, now: clock::MonotonicTime) -> bool {
        self.served.put(digest, now);
        let is_suspect = self.records.get(&digest).is_some_and(|r| r.count() > 0);
        if is_suspect {
            self.update_record(digest, now, |record| {
                record.cleared.extend(record.crashes.keys().cloned());
            });
        }
        is_suspect
    }

    /// Clears a request of crashes that other processes reported, if this process saw it served
    /// recently; returns whether it did.
    pub fn exonerate(&mut self, digest: ids::RequestDigest, now: clock::MonotonicTime) -> bool {
        let served_at = self.served.peek(&digest);
        let was_served = served_at.is_some_and(|at| now.since(*at) < EXCUSE_DURATION);
        let is_suspect = self.records.get(&digest).is_some_and(|r| r.count() > 0);
        if was_served && is_suspect {
            self.update_record(digest, now, |record| {
                record.cleared.extend(record.crashes.keys().cloned());
            });
        }
        was_served && is_suspect
    }

    /// Decides whether a request may be sent now, and starts the trial if it is one.
    pub fn admit(&mut self, digest: ids::RequestDigest, now: clock::MonotonicTime) -> CrashVerdict {
        let verdict = self.verdict(digest, now);
        if verdict == CrashVerdict::Trial {
            if let Some(record) = self.records.get_mut(&digest) {
                record.trial_until = Some(now + TRIAL_TIMEOUT);
            }
        }
        verdict
    }

    /// Decides whether a request may be sent now, without starting a trial.
    pub fn verdict(&self, digest: ids::RequestDigest, now: clock::MonotonicTime) -> CrashVerdict {
        let quarantined = self
            .records
            .get(&digest)
            .filter(|record| record.is_quarantined());
        let Some(record) = quarantined else {
            return CrashVerdict::Allowed;
        };
        let until = record
            .quarantined_until()
            .max(record.trial_until.unwrap_or_default());
        match until > now {
            true => CrashVerdict::Quarantined(until.since(now)),
            false => CrashVerdict::Trial,
        }
    }

    /// Returns how long to wait before deciding on a request: zero, unless its last crash is very
    /// recent and quarantines it.
    pub fn verdict_delay(
        &self,
        digest: ids::RequestDigest,
        now: clock::MonotonicTime,
    ) -> time::Duration {
        let quarantined = self
            .records
            .get(&digest)
            .filter(|record| record.is_quarantined());
        let age = quarantined.map_or(VERDICT_DELAY, |record| now.since(record.last_crash));
        VERDICT_DELAY.saturating_sub(age)
    }

    /// Returns whether the crashes so far quarantine a request, even if a trial is due.
    pub fn is_quarantined(&self, digest: ids::RequestDigest) -> bool {
        let record = self.records.get(&digest);
        record.is_some_and(CrashRecord::is_quarantined)
    }

    /// Returns whether any request is quarantined.
    pub fn has_quarantined(&self) -> bool {
        self.records.values().any(CrashRecord::is_quarantined)
    }

    /// Returns the record of a request, to be sent to other processes.
    pub fn update_of(
        &self,
        digest: ids::RequestDigest,
        now: clock::MonotonicTime,
    ) -> Option<CrashUpdate> {
        let record = self.records.get(&digest)?;
        Some(record.update(digest, now))
    }

    /// Returns all records that are still shared with other processes.
    pub fn snapshot(&self, now: clock::MonotonicTime) -> Vec<CrashUpdate> {
        let shared = self.records.iter().filter(|(_, record)| record.is_shared);
        shared
            .map(|(digest, record)| record.update(*digest, now))
            .collect()
    }

    /// Merges an update from another process; returns whether it changed anything.
    pub fn merge(&mut self, update: CrashUpdate, now: clock::MonotonicTime) -> bool {
        let known = self.records.get(&update.digest);
        let is_expiring = update.age + SHARING_CUTOFF >= retention_of(&update);
        if known.is_none() && (is_expiring || update.crashes.is_empty()) {
            return false;
        }
        let is_new = known.is_none_or(|known| {
            let mut crashes = update.crashes.iter();
            crashes.any(|id| !known.crashes.contains_key(id))
                || !update.cleared.is_subset(&known.cleared)
        });
        if !is_new {
            return false;
        }
        let crashed_at = now.before(update.age);
        self.update_record(update.digest, now, |record| {
            let is_new_record = record.crashes.is_empty();
            for id in update
                .crashes
                .into_iter()
                .chain(update.cleared.iter().cloned())
            {
                record.crashes.entry(id).or_insert(now);
            }
            record.cleared.extend(update.cleared);
            record.last_crash = match is_new_record {
                true => crashed_at,
                false => record.last_crash.max(crashed_at),
            };
        });
        true
    }

    /// Removes expired records; returns the requests among them that were quarantined.
    pub fn expire(&mut self, now: clock::MonotonicTime) -> Vec<ids::RequestDigest> {
        let mut fingerprint = 0_u64;
        let mut released = Vec::new();
        self.records.retain(|digest, record| {
            let age = now.since(record.last_crash);
            record.is_shared = age + SHARING_CUTOFF < record.retention();
            fingerprint = fingerprint.wrapping_add(record.fingerprint(*digest));
            let is_retained = age < record.retention();
            if !is_retained && record.is_quarantined() {
                released.push(*digest);
            }
            is_retained
        });
        self.fingerprint = fingerprint;
        released
    }

    /// Returns a value that changes with the shared content of the ledger, to be compared between
    /// processes.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Applies `change` to the record of a request, which is created if absent, and updates the
    /// fingerprint.
    fn update_record<T>(
        &mut self,
        digest: ids::RequestDigest,
        now: clock::MonotonicTime,
        change: impl FnOnce(&mut CrashRecord) -> T,
    ) -> T {
        if !self.records.contains_key(&digest) {
            self.evict_oldest();
        }
        let record = self.records.entry(digest);
        let record = record.or_insert_with(|| CrashRecord::new(now));
        let before = match record.crashes.is_empty() {
            true => 0,
            false => record.fingerprint(digest),
        };
        let changed = change(record);
        record.is_shared = now.since(record.last_crash) + SHARING_CUTOFF < record.retention();
        let after = record.fingerprint(digest);
        self.fingerprint = self.fingerprint.wrapping_sub(before).wrapping_add(after);
        changed
    }

    /// Removes the oldest record if the ledger is full; records of quarantined requests go last.
    fn evict_oldest(&mut self) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let key = |record: &CrashRecord| (record.is_quarantined(), record.last_crash);
        let oldest = self.records.iter().min_by_key(|(_, record)| key(record));
        let Some(digest) = oldest.map(|(digest, _)| *digest) else {
            return;
        };
        if let Some(record) = self.records.remove(&digest) {
            self.fingerprint = self.fingerprint.wrapping_sub(record.fingerprint(digest));
        }
    }
}

/// Returns how long the record in an update is retained after its last crash.
fn retention_of(update: &CrashUpdate) -> time::Duration {
    match update.count() >= MAX_CRASHES {
        true => QUARANTINED_RETENTION,
        false => SUSPECT_RETENTION,
    }
}
