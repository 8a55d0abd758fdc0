//! Tracking of requests that crash endpoints, and their quarantine.
//!
//! A request that runs on an endpoint when it crashes is not necessarily the cause. What
//! happens to the request on other endpoints decides: one that is served somewhere does not
//! crash every endpoint, so its earlier crashes no longer count. Only requests that crash
//! endpoint after endpoint and are served nowhere are quarantined.
//!
//! Many crashes alone do not convict a request: a frequent one is in flight wherever an
//! endpoint crashes. It is suspected then, and its next run is a trial; the quarantine is
//! long only after a trial has failed. Crashes that another request explains do not count.

use std::{collections, fmt, num, time};

pub use super::crash_record::{
    CrashId, CrashMessage, CrashUpdate, CrashedRun, MAX_CRASHES, MAX_TRIALS,
};
use super::crash_record::{CrashRecord, MIN_DOWNTIME};
use crate::{clock, ids};

/// Time after which another trial is allowed if the outcome of the last one is unknown;
/// longer than most requests take.
const TRIAL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

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
            let is_new = record.add_crash(run, now);
            is_new.then(|| record.count())
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

    /// Returns whether the endpoint of a run is known to have crashed before the request was
    /// sent to it under its start.
    ///
    /// If so, a new start that is listed during the run follows from that crash: it does not
    /// show that the endpoint crashed during the run.
    pub fn has_ended_before(&self, run: &CrashedRun) -> bool {
        let ended_at = self.last_ends.peek(&run.endpoint);
        let is_seen = ended_at.is_some_and(|at| run.sent_at > *at);
        is_seen || self.records.values().any(|r| r.has_crash_before(run))
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
            self.update_record(digest, now, CrashRecord::clear);
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
            self.update_record(digest, now, CrashRecord::clear);
        }
        was_served && is_suspect
    }

    /// Decides whether a request may be sent now, and starts the trial if one is due.
    pub fn admit(&mut self, digest: ids::RequestDigest, now: clock::MonotonicTime) -> CrashVerdict {
        let is_due = self.trial_delay(digest, now).is_some_and(|d| d.is_zero());
        if !is_due {
            return self.verdict(digest, now);
        }
        self.begin_trial(digest, now);
        CrashVerdict::Trial
    }

    /// Returns the time until a trial of a suspect may begin; `None` for other requests.
    ///
    /// The first trial is due long before the quarantine ends: too many crashes alone do not
    /// show that the request causes them.
    pub fn trial_delay(
        &self,
        digest: ids::RequestDigest,
        now: clock::MonotonicTime,
    ) -> Option<time::Duration> {
        let record = self.suspect(digest)?;
        let due_at = match self.is_convicted(digest) {
            true => record.quarantined_until(self.convictions(digest, record)),
            false => record.first_trial_at(),
        };
        Some(due_at.since(now))
    }

    /// Records that a trial of a request begins.
    pub fn begin_trial(&mut self, digest: ids::RequestDigest, now: clock::MonotonicTime) {
        if let Some(record) = self.records.get_mut(&digest) {
            record.begin_trial(now, TRIAL_TIMEOUT);
        }
    }

    /// Returns whether a trial of a request is under way.
    pub fn is_on_trial(&self, digest: ids::RequestDigest, now: clock::MonotonicTime) -> bool {
        let record = self.records.get(&digest);
        record.is_some_and(|record| record.is_on_trial(now))
    }

    /// Records that the trial of a request did not run, so that another may begin.
    pub fn cancel_trial(&mut self, digest: ids::RequestDigest) {
        if let Some(record) = self.records.get_mut(&digest) {
            record.cancel_trial();
        }
    }

    /// Decides whether a request may be sent now, without starting a trial.
    pub fn verdict(&self, digest: ids::RequestDigest, now: clock::MonotonicTime) -> CrashVerdict {
        let Some(record) = self.suspect(digest) else {
            return CrashVerdict::Allowed;
        };
        let until = record.quarantined_until(self.convictions(digest, record));
        match until > now {
            true => CrashVerdict::Quarantined(until.since(now)),
            false => CrashVerdict::Trial,
        }
    }

    /// Returns how long to wait before deciding on a request: zero, unless its last crash is very
    /// recent and makes it a suspect.
    pub fn verdict_delay(
        &self,
        digest: ids::RequestDigest,
        now: clock::MonotonicTime,
    ) -> time::Duration {
        let suspect = self.suspect(digest);
        let age = suspect.map_or(VERDICT_DELAY, |record| now.since(record.last_crash()));
        VERDICT_DELAY.saturating_sub(age)
    }

    /// Returns whether the crashes so far make a request a suspect, even if a trial is due.
    pub fn is_quarantined(&self, digest: ids::RequestDigest) -> bool {
        self.suspect(digest).is_some()
    }

    /// Returns the number of crashes of a request that count, explained ones included.
    pub fn count(&self, digest: ids::RequestDigest) -> usize {
        self.records.get(&digest).map_or(0, CrashRecord::count)
    }

    /// Returns whether a trial has shown that a suspect crashes endpoints, or no trial is left.
    pub fn is_convicted(&self, digest: ids::RequestDigest) -> bool {
        self.suspect(digest).is_some_and(|record| {
            let has_trials_left = record.failed_trials().count() < MAX_TRIALS;
            !has_trials_left || self.convictions(digest, record) > 0
        })
    }

    /// Returns whether any request may be quarantined.
    pub fn has_quarantined(&self) -> bool {
        self.records.values().any(CrashRecord::is_suspect)
    }

    /// Returns the numbers of requests that are suspected only, and that are convicted.
    pub fn suspect_counts(&self) -> (usize, usize) {
        let suspects = self.records.keys().filter(|d| self.is_quarantined(**d));
        let verdicts: Vec<_> = suspects.map(|d| self.is_convicted(*d)).collect();
        let convicted = verdicts.iter().filter(|verdict| **verdict).count();
        (verdicts.len() - convicted, convicted)
    }

    /// Returns the record of a request if enough crashes count that nothing else explains.
    fn suspect(&self, digest: ids::RequestDigest) -> Option<&CrashRecord> {
        let record = self.records.get(&digest).filter(|r| r.is_suspect())?;
        let unexplained = record.counted().filter(|id| {
            let mut others = self.others(digest);
            !others.any(|other| explains(other, record, id))
        });
        (unexplained.count() >= MAX_CRASHES).then_some(record)
    }

    /// Returns the number of failed trials that no other request may have caused.
    fn convictions(&self, digest: ids::RequestDigest, record: &CrashRecord) -> usize {
        let alone = record.failed_trials().filter(|id| {
            let mut others = self.others(digest);
            !others.any(|other| other.counts(id))
        });
        alone.count()
    }

    fn others(&self, digest: ids::RequestDigest) -> impl Iterator<Item = &CrashRecord> {
        let records = self.records.iter();
        records
            .filter(move |(other, _)| **other != digest)
            .map(|(_, record)| record)
    }

    /// Returns the message about a request for other processes.
    pub fn message_of(
        &self,
        digest: ids::RequestDigest,
        now: clock::MonotonicTime,
    ) -> Option<CrashMessage> {
        let record = self.records.get(&digest)?;
        Some(record.message(digest, now))
    }

    /// Returns all records that are still shared with other processes.
    pub fn snapshot(&self, now: clock::MonotonicTime) -> Vec<CrashUpdate> {
        let messages = self.messages(now).into_iter();
        messages.map(|message| message.update).collect()
    }

    /// Returns the messages that transfer all shared records to another process.
    pub fn messages(&self, now: clock::MonotonicTime) -> Vec<CrashMessage> {
        let shared = self.records.iter().filter(|(_, record)| record.is_shared());
        shared
            .map(|(digest, record)| record.message(*digest, now))
            .collect()
    }

    /// Merges a message from another process; returns whether it changed anything.
    pub fn merge_message(&mut self, message: CrashMessage, now: clock::MonotonicTime) -> bool {
        let digest = message.update.digest;
        let is_new = self.merge(message.update, now);
        if !self.records.contains_key(&digest) {
            return is_new;
        }
        let has_new_trials =
            self.update_record(digest, now, |record| record.merge_trials(&message.trials));
        is_new || has_new_trials
    }

    /// Merges an update from another process; returns whether it changed anything.
    pub fn merge(&mut self, update: CrashUpdate, now: clock::MonotonicTime) -> bool {
        let known = self.records.get(&update.digest);
        if known.is_none() && (update.is_expiring() || update.crashes.is_empty()) {
            return false;
        }
        if known.is_some_and(|known| !known.lacks(&update)) {
            return false;
        }
        self.update_record(update.digest, now, |record| record.merge(update, now));
        true
    }

    /// Removes expired records; returns the requests among them that were quarantined.
    pub fn expire(&mut self, now: clock::MonotonicTime) -> Vec<ids::RequestDigest> {
        let mut fingerprint = 0_u64;
        let mut released = Vec::new();
        self.records.retain(|digest, record| {
            let is_retained = record.expire(now);
            fingerprint = fingerprint.wrapping_add(record.fingerprint(*digest));
            if !is_retained && record.is_suspect() {
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
        let before = record.fingerprint(digest);
        let changed = change(record);
        record.expire(now);
        let after = record.fingerprint(digest);
        self.fingerprint = self.fingerprint.wrapping_sub(before).wrapping_add(after);
        changed
    }

    /// Removes the oldest record if the ledger is full; records of quarantined requests go last.
    fn evict_oldest(&mut self) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let key = |record: &CrashRecord| (record.is_suspect(), record.last_crash());
        let oldest = self.records.iter().min_by_key(|(_, record)| key(record));
        let Some(digest) = oldest.map(|(digest, _)| *digest) else {
            return;
        };
        if let Some(record) = self.records.remove(&digest) {
            self.fingerprint = self.fingerprint.wrapping_sub(record.fingerprint(digest));
        }
    }
}

/// Returns whether `other` explains a crash during the request of `record`: it is a suspect
/// itself, and more endpoints crashed during it.
fn explains(other: &CrashRecord, record: &CrashRecord, crash: &CrashId) -> bool {
    other.is_suspect() && other.count() > record.count() && other.counts(crash)
}
