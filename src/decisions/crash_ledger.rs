//! Tracking of requests, and of parts of prompts, that crash endpoints, and their quarantine.
//!
//! A request that runs on an endpoint when it crashes is not necessarily the cause. What
//! happens to the request on other endpoints decides: one that is served somewhere does not
//! crash every endpoint, so its earlier crashes no longer count. Only requests that crash
//! endpoint after endpoint and are served nowhere are quarantined.
//!
//! Many crashes alone do not convict a request: a frequent one is in flight wherever an
//! endpoint crashes. It is suspected then, and its next run is a trial; the quarantine is
//! long only after a trial has failed. Crashes that another request explains do not count.
//!
//! A part is judged in the same way, by its crashes since it was last served: see
//! `subject_policy`.

use std::{collections, fmt, num, time};

pub use super::crash_record::{
    CrashId, CrashMessage, CrashUpdate, CrashedRun, MAX_CRASHES, MAX_TRIALS,
};
use super::{
    crash_record::{CrashRecord, MIN_DOWNTIME},
    subject_policy,
};
use crate::{clock, ids};

/// Maximum number of records. Each crash adds up to eight, one for each request that was
/// running there, so 1024 records cover about 130 crashes within an hour and take about 200
/// KB.
const MAX_RECORDS: usize = 1024;

/// Maximum number of endpoints whose last crash is remembered.
const MAX_CRASHED_RUNS: num::NonZeroUsize =
    num::NonZeroUsize::new(256).expect("the capacity is not zero");

/// Maximum number of requests, and of parts, remembered as served; it covers those frequent
/// enough to run on several endpoints that crash at once.
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

impl fmt::Display for CrashOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
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
    records: collections::HashMap<ids::CrashSubject, CrashRecord>,
    /// Time at which each request was last served by this process.
    served: lru::LruCache<ids::CrashSubject, clock::MonotonicTime>,
    /// Time at which the last request with each part was sent that was served by this process.
    served_parts: lru::LruCache<ids::CrashSubject, clock::MonotonicTime>,
    /// Time at which each endpoint was last seen to crash, whichever request ran there.
    last_ends: lru::LruCache<ids::EndpointRun, clock::MonotonicTime>,
    fingerprint: u64,
}

impl Default for CrashLedger {
    fn default() -> Self {
        Self {
            records: collections::HashMap::new(),
            served: lru::LruCache::new(MAX_SERVED),
            served_parts: lru::LruCache::new(MAX_SERVED),
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
        let count = self.update_record(run.subject, now, |record| {
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

    /// Returns whether a subject was served so recently that a crash is not attributed to it.
    ///
    /// A frequent request runs on most of the endpoints that crash together, for example when
    /// their rack loses power, or that crash one by one because of another request.
    fn is_excused(&mut self, run: &CrashedRun, now: clock::MonotonicTime) -> bool {
        let served_at = match run.subject.is_part() {
            true => self.served_parts.get(&run.subject),
            false => self.served.get(&run.subject),
        };
        let excuse = subject_policy::policy_of(run.subject).excuse;
        served_at.is_some_and(|at| now.since(*at) < excuse)
    }

    /// Records that an endpoint completed a request; returns whether that clears it of crashes.
    pub fn record_served(&mut self, subject: ids::CrashSubject, now: clock::MonotonicTime) -> bool {
        self.served.put(subject, now);
        let is_suspect = self.records.get(&subject).is_some_and(|r| r.count() > 0);
        if is_suspect {
            self.update_record(subject, now, CrashRecord::clear);
        }
        is_suspect
    }

    /// Records that an endpoint went on after it had begun to answer a request with a part;
    /// returns whether that clears the part of crashes.
    ///
    /// It clears the part of those that were known when the request was sent: a part that has
    /// turned bad since is in answers that began before.
    pub fn record_part_served(
        &mut self,
        part: ids::PartDigest,
        sent_at: clock::MonotonicTime,
        now: clock::MonotonicTime,
    ) -> bool {
        let subject = part.into();
        let last = self.served_parts.get_or_insert_mut(subject, || sent_at);
        *last = sent_at.max(*last);
        let is_blamed = self.records.get(&subject).is_some_and(|r| r.count() > 0);
        is_blamed && self.update_record(subject, now, |record| record.clear_before(sent_at))
    }

    /// Clears a subject of crashes that other processes reported, if this process saw it served
    /// recently, or after the last of them if it is a part; returns whether it did.
    pub fn exonerate(&mut self, subject: ids::CrashSubject, now: clock::MonotonicTime) -> bool {
        let Some(record) = self.records.get(&subject).filter(|r| r.count() > 0) else {
            return false;
        };
        let was_served = match subject.is_part() {
            true => {
                let sent_at = self.served_parts.peek(&subject);
                sent_at.is_some_and(|at| *at > record.last_crash())
            }
            false => {
                let excuse = subject_policy::policy_of(subject).excuse;
                let served_at = self.served.peek(&subject);
                served_at.is_some_and(|at| now.since(*at) < excuse)
            }
        };
        if was_served {
            self.update_record(subject, now, CrashRecord::clear);
        }
        was_served
    }

    /// Decides whether a request may be sent now, and starts the trial if one is due.
    pub fn admit(&mut self, subject: ids::CrashSubject, now: clock::MonotonicTime) -> CrashVerdict {
        let is_due = self.trial_delay(subject, now).is_some_and(|d| d.is_zero());
        if !is_due {
            return self.verdict(subject, now);
        }
        self.begin_trial(subject, now);
        CrashVerdict::Trial
    }

    /// Returns the time until a trial of a suspect may begin; `None` for other requests.
    ///
    /// The first trial is due long before the quarantine ends: too many crashes alone do not
    /// show that the request causes them.
    pub fn trial_delay(
        &self,
        subject: ids::CrashSubject,
        now: clock::MonotonicTime,
    ) -> Option<time::Duration> {
        let record = self.suspect(subject)?;
        let due_at = match self.is_convicted(subject) {
            true => record.quarantined_until(self.excess_convictions(subject, record)),
            false => record.early_trial_at(),
        };
        Some(due_at.since(now))
    }

    /// Returns the time until a trial of a suspect may begin for an item, which is owed until it
    /// is done; `None` if the subject is no suspect.
    pub fn owed_trial_delay(
        &self,
        subject: ids::CrashSubject,
        now: clock::MonotonicTime,
    ) -> Option<time::Duration> {
        let delay = self.trial_delay(subject, now)?;
        let owed_at = self.suspect(subject)?.owed_trial_at();
        Some(owed_at.map_or(delay, |at| delay.min(at.since(now))))
    }

    /// Grants a trial if one is due, for a request or for an item; returns whether it did.
    pub fn grant_trial(
        &mut self,
        subject: ids::CrashSubject,
        now: clock::MonotonicTime,
    ) -> CrashVerdict {
        let is_due = self.owed_trial_delay(subject, now);
        if !is_due.is_some_and(|delay| delay.is_zero()) {
            return self.verdict(subject, now);
        }
        self.begin_trial(subject, now);
        CrashVerdict::Trial
    }

    /// Records that a trial of a request begins.
    pub fn begin_trial(&mut self, subject: ids::CrashSubject, now: clock::MonotonicTime) {
        if let Some(record) = self.records.get_mut(&subject) {
            record.begin_trial(now);
        }
    }

    /// Returns whether a trial of a request is under way.
    pub fn is_on_trial(&self, subject: ids::CrashSubject, now: clock::MonotonicTime) -> bool {
        let record = self.records.get(&subject);
        record.is_some_and(|record| record.is_on_trial(now))
    }

    /// Records that the trial of a request did not run, so that another may begin.
    pub fn cancel_trial(&mut self, subject: ids::CrashSubject) {
        if let Some(record) = self.records.get_mut(&subject) {
            record.cancel_trial();
        }
    }

    /// Decides whether a request may be sent now, without starting a trial.
    pub fn verdict(&self, subject: ids::CrashSubject, now: clock::MonotonicTime) -> CrashVerdict {
        let Some(record) = self.suspect(subject) else {
            return CrashVerdict::Allowed;
        };
        let until = record.quarantined_until(self.excess_convictions(subject, record));
        match until > now {
            true => CrashVerdict::Quarantined(until.since(now)),
            false => CrashVerdict::Trial,
        }
    }

    /// Returns how long to wait before deciding on a request: zero, unless its last crash is very
    /// recent and makes it a suspect.
    pub fn verdict_delay(
        &self,
        subject: ids::CrashSubject,
        now: clock::MonotonicTime,
    ) -> time::Duration {
        let delay = subject_policy::policy_of(subject).verdict_delay;
        let suspect = self.suspect(subject);
        let age = suspect.map_or(delay, |record| now.since(record.last_crash()));
        delay.saturating_sub(age)
    }

    /// Returns whether the crashes so far make a request a suspect, even if a trial is due.
    pub fn is_quarantined(&self, subject: ids::CrashSubject) -> bool {
        self.suspect(subject).is_some()
    }

    /// Returns the number of crashes of a request that count, explained ones included.
    pub fn count(&self, subject: ids::CrashSubject) -> usize {
        self.records.get(&subject).map_or(0, CrashRecord::count)
    }

    /// Returns whether a trial of a subject has failed, with any explanation.
    pub fn has_failed_trial(&self, subject: ids::CrashSubject) -> bool {
        let record = self.records.get(&subject);
        record.is_some_and(|record| record.failed_trials().next().is_some())
    }

    /// Returns whether a trial has shown that a suspect crashes endpoints, or no trial is left.
    pub fn is_convicted(&self, subject: ids::CrashSubject) -> bool {
        self.suspect(subject).is_some_and(|record| {
            let has_trials_left = record.failed_trials().count() < MAX_TRIALS;
            let min_convictions = subject_policy::policy_of(subject).min_convictions;
            !has_trials_left || self.convictions(subject, record) >= min_convictions
        })
    }

    /// Returns whether any request may be quarantined.
    pub fn has_quarantined(&self) -> bool {
        self.records.values().any(CrashRecord::is_suspect)
    }

    /// Returns the numbers of requests, or of parts, that are suspected only, and that are
    /// convicted.
    pub fn suspect_counts(&self, of_parts: bool) -> (usize, usize) {
        let subjects = self.records.keys().filter(|s| s.is_part() == of_parts);
        let suspects = subjects.filter(|s| self.is_quarantined(**s));
        let verdicts: Vec<_> = suspects.map(|d| self.is_convicted(*d)).collect();
        let convicted = verdicts.iter().filter(|verdict| **verdict).count();
        (verdicts.len() - convicted, convicted)
    }

    /// Returns the record of a subject if enough crashes count that nothing else explains.
    fn suspect(&self, subject: ids::CrashSubject) -> Option<&CrashRecord> {
        let record = self.records.get(&subject).filter(|r| r.is_suspect())?;
        if subject.is_part() {
            return (!self.is_one_request(subject, record)).then_some(record);
        }
        let unexplained = record.counted().filter(|id| {
            let mut others = self.others(subject);
            !others.any(|(_, other)| explains(other, record, id))
        });
        (unexplained.count() >= MAX_CRASHES).then_some(record)
    }

    /// Returns whether a part crashed endpoints under one request only, which is a suspect
    /// itself.
    fn is_one_request(&self, part: ids::CrashSubject, record: &CrashRecord) -> bool {
        let mut requests = self.others(part).filter(|(other, _)| !other.is_part());
        requests.any(|(_, other)| other.is_suspect() && record.counted().all(|id| other.counts(id)))
    }

    /// Returns the number of failed trials that no other request, or no other suspected part,
    /// may have caused.
    fn convictions(&self, subject: ids::CrashSubject, record: &CrashRecord) -> usize {
        let is_part = subject.is_part();
        let alone = record.failed_trials().filter(|id| {
            let mut rivals = self
                .others(subject)
                .filter(|(other, _)| other.is_part() == is_part);
            !rivals.any(|(_, other)| other.counts(id) && (!is_part || other.is_suspect()))
        });
        alone.count()
    }

    /// Returns the convictions, of which the first one that suffices counts as one.
    fn excess_convictions(&self, subject: ids::CrashSubject, record: &CrashRecord) -> usize {
        let min_convictions = subject_policy::policy_of(subject).min_convictions;
        (self.convictions(subject, record) + 1).saturating_sub(min_convictions)
    }

    fn others(
        &self,
        subject: ids::CrashSubject,
    ) -> impl Iterator<Item = (&ids::CrashSubject, &CrashRecord)> {
        let records = self.records.iter();
        records.filter(move |(other, _)| **other != subject)
    }

    /// Returns the message about a request for other processes.
    pub fn message_of(
        &self,
        subject: ids::CrashSubject,
        now: clock::MonotonicTime,
    ) -> Option<CrashMessage> {
        let record = self.records.get(&subject)?;
        Some(record.message(subject, now))
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
            .map(|(subject, record)| record.message(*subject, now))
            .collect()
    }

    /// Merges a message from another process; returns whether it changed anything.
    pub fn merge_message(&mut self, message: CrashMessage, now: clock::MonotonicTime) -> bool {
        let subject = message.update.subject;
        let is_new = self.merge(message.update, now);
        if !self.records.contains_key(&subject) {
            return is_new;
        }
        let has_new_trials =
            self.update_record(subject, now, |record| record.merge_trials(&message.trials));
        is_new || has_new_trials
    }

    /// Merges an update from another process; returns whether it changed anything.
    pub fn merge(&mut self, update: CrashUpdate, now: clock::MonotonicTime) -> bool {
        let known = self.records.get(&update.subject);
        if known.is_none() && (update.is_expiring() || update.crashes.is_empty()) {
            return false;
        }
        if known.is_some_and(|known| !known.lacks(&update)) {
            return false;
        }
        self.update_record(update.subject, now, |record| record.merge(update, now));
        true
    }

    /// Removes expired records; returns the requests among them that were quarantined.
    pub fn expire(&mut self, now: clock::MonotonicTime) -> Vec<ids::CrashSubject> {
        let mut fingerprint = 0_u64;
        let mut released = Vec::new();
        self.records.retain(|subject, record| {
            let is_retained = record.expire(now);
            fingerprint = fingerprint.wrapping_add(record.fingerprint(*subject));
            if !is_retained && record.is_suspect() {
                released.push(*subject);
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
        subject: ids::CrashSubject,
        now: clock::MonotonicTime,
        change: impl FnOnce(&mut CrashRecord) -> T,
    ) -> T {
        if !self.records.contains_key(&subject) {
            self.evict_oldest();
        }
        let record = self.records.entry(subject);
        let record = record.or_insert_with(|| CrashRecord::new(subject, now));
        let before = record.fingerprint(subject);
        let cleared_count = record.cleared_count();
        let changed = change(record);
        if record.cleared_count() > cleared_count {
            record.record_clearing(now);
        }
        record.expire(now);
        let after = record.fingerprint(subject);
        self.fingerprint = self.fingerprint.wrapping_sub(before).wrapping_add(after);
        changed
    }

    /// Removes a record if the ledger is full: one with the fewest crashes that count, of these
    /// the oldest. Records of suspects go last.
    fn evict_oldest(&mut self) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let key = |record: &CrashRecord| (record.count().min(MAX_CRASHES), record.last_crash());
        let oldest = self.records.iter().min_by_key(|(_, record)| key(record));
        let Some(subject) = oldest.map(|(subject, _)| *subject) else {
            return;
        };
        if let Some(record) = self.records.remove(&subject) {
            self.fingerprint = self.fingerprint.wrapping_sub(record.fingerprint(subject));
        }
    }
}

/// Returns whether `other` explains a crash during the request of `record`: it is a suspect
/// itself, and more endpoints crashed during it.
fn explains(other: &CrashRecord, record: &CrashRecord, crash: &CrashId) -> bool {
    other.is_suspect() && other.count() > record.count() && other.counts(crash)
}
