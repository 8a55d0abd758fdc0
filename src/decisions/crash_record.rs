//! Crash record of one subject, and how it is exchanged between processes.
//!
//! The crashes of a subject form a grow-only set, and so do those that were cleared and those
//! that ended a trial. Sets of two processes are merged in any order and any number of times,
//! so a crash that one process has cleared is not restored by an update from another.

use std::{collections, fmt, time};

use xxhash_rust::xxh3;

use super::subject_policy::{self, SubjectPolicy};
use crate::{clock, ids};

/// Number of crashes after which a request is suspected of causing them. Up to the third,
/// endpoints may crash during a request by coincidence, or before the processes have exchanged
/// updates.
pub const MAX_CRASHES: usize = 3;

/// Number of trials that a suspected request gets in total, each after a longer quarantine.
/// Trials release requests that ran beside the one that crashed the endpoints, and requests
/// whose fault has been fixed at the endpoints. Each trial may crash one more endpoint.
pub const MAX_TRIALS: usize = 3;

/// Quarantine of a suspect until its first trial has failed, and after that. A crashed endpoint
/// takes the other requests that run there with it and is unavailable for seconds; ten minutes
/// make that rare, and are short enough for a caller whose request is harmless.
const INITIAL_QUARANTINE: time::Duration = time::Duration::from_secs(600);

/// Factor by which the quarantine grows after each further failed trial.
const QUARANTINE_GROWTH: u32 = 8;

/// Retention of the record of a suspected request after its last crash.
const SUSPECT_RETENTION: time::Duration = time::Duration::from_secs(7 * 24 * 3600);

/// Retention of any other record: the next attempt of the request comes within minutes or not
/// at all.
const CRASH_RETENTION: time::Duration = time::Duration::from_secs(3600);

/// Time before the end of its retention in which a record is no longer sent to other
/// processes. Two processes whose records expire at slightly different times would otherwise
/// restore them to each other indefinitely.
const SHARING_CUTOFF: time::Duration = time::Duration::from_secs(60);

/// Minimum time that an endpoint is unavailable after a crash. A request that is sent to it
/// earlier does not reach it: its address, or a proxy in front of it, may still accept
/// connections for a moment.
pub const MIN_DOWNTIME: time::Duration = time::Duration::from_secs(1);

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
    pub subject: ids::CrashSubject,
    /// Crashes while the request was running.
    pub crashes: collections::BTreeSet<CrashId>,
    /// Subset of `crashes` that no longer counts, as the request was served since.
    pub cleared: collections::BTreeSet<CrashId>,
    /// Time since the last crash.
    pub age: time::Duration,
}

/// Message from one process to another about a request during which endpoints crashed.
///
/// Invariant: `trials` is a subset of the crashes in `update`.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CrashMessage {
    /// Crash record of the request.
    pub update: CrashUpdate,
    /// Crashes that ended a trial of the request.
    pub trials: collections::BTreeSet<CrashId>,
}

impl CrashUpdate {
    /// Returns the number of crashes that count.
    pub fn count(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }

    /// Returns whether the record in the update is about to expire.
    pub fn is_expiring(&self) -> bool {
        let policy = subject_policy::policy_of(self.subject);
        self.age + SHARING_CUTOFF >= retention_of(policy, self.count())
    }
}

/// Run of a request during which its endpoint crashed.
#[derive(Debug, Clone)]
pub struct CrashedRun {
    /// Digest of the request.
    pub subject: ids::CrashSubject,
    /// Run of the endpoint.
    pub endpoint: ids::EndpointRun,
    /// Time at which the request was sent to the endpoint.
    pub sent_at: clock::MonotonicTime,
}

/// A trial that is under way.
#[derive(Debug, Clone, Copy)]
struct TrialWindow {
    begun_at: clock::MonotonicTime,
    /// When another trial may begin, if the outcome of this one is still unknown.
    expires_at: clock::MonotonicTime,
}

/// Crash record of one request.
///
/// Invariant: `cleared` and `trials` are subsets of `crashes`.
#[derive(Debug, Clone)]
pub(super) struct CrashRecord {
    policy: &'static SubjectPolicy,
    /// Crashes, with the time at which this process learned of each.
    crashes: collections::BTreeMap<CrashId, clock::MonotonicTime>,
    cleared: collections::BTreeSet<CrashId>,
    trials: collections::BTreeSet<CrashId>,
    last_crash: clock::MonotonicTime,
    /// When this process learned of the last clearing.
    cleared_at: clock::MonotonicTime,
    trial: Option<TrialWindow>,
    /// Whether the record is young enough to be sent to other processes.
    is_shared: bool,
}

impl CrashRecord {
    pub(super) fn new(subject: ids::CrashSubject, now: clock::MonotonicTime) -> Self {
        Self {
            policy: subject_policy::policy_of(subject),
            crashes: collections::BTreeMap::new(),
            cleared: collections::BTreeSet::new(),
            trials: collections::BTreeSet::new(),
            last_crash: now,
            cleared_at: clock::MonotonicTime::default(),
            trial: None,
            is_shared: true,
        }
    }

    /// Returns the number of crashes that count.
    pub(super) fn count(&self) -> usize {
        self.crashes.len() - self.cleared.len()
    }

    /// Returns whether the number of crashes makes the request a suspect.
    pub(super) fn is_suspect(&self) -> bool {
        self.count() >= MAX_CRASHES
    }

    /// Returns the crashes that count.
    pub(super) fn counted(&self) -> impl Iterator<Item = &CrashId> {
        let counts = |id: &&CrashId| !self.cleared.contains(*id);
        self.crashes.keys().filter(counts)
    }

    /// Returns the crashes that ended a trial and count.
    pub(super) fn failed_trials(&self) -> impl Iterator<Item = &CrashId> {
        self.trials.difference(&self.cleared)
    }

    /// Returns whether a crash is recorded and counts.
    pub(super) fn counts(&self, id: &CrashId) -> bool {
        self.crashes.contains_key(id) && !self.cleared.contains(id)
    }

    pub(super) fn last_crash(&self) -> clock::MonotonicTime {
        self.last_crash
    }

    pub(super) fn is_shared(&self) -> bool {
        self.is_shared
    }

    fn retention(&self) -> time::Duration {
        retention_of(self.policy, self.count())
    }

    /// Returns the number of crashes that were cleared.
    pub(super) fn cleared_count(&self) -> usize {
        self.cleared.len()
    }

    /// Records when this process learned of a clearing.
    pub(super) fn record_clearing(&mut self, now: clock::MonotonicTime) {
        self.cleared_at = now;
    }

    /// Updates whether the record is shared; returns whether it is still retained.
    ///
    /// A clearing may come long after the last crash, and must reach the other processes.
    pub(super) fn expire(&mut self, now: clock::MonotonicTime) -> bool {
        let age = now.since(self.last_crash.max(self.cleared_at));
        self.is_shared = age + SHARING_CUTOFF < self.retention();
        age < self.retention()
    }

    /// Returns the end of the quarantine after so many trials that count against the request;
    /// once all trials are used up, the end of the record's retention.
    pub(super) fn quarantined_until(&self, convictions: usize) -> clock::MonotonicTime {
        let duration = if self.failed_trials().count() >= MAX_TRIALS {
            SUSPECT_RETENTION
        } else {
            quarantine_after(convictions)
        };
        self.after_trial(self.last_crash + duration)
    }

    /// Returns when a trial may begin while none has convicted the subject.
    pub(super) fn early_trial_at(&self) -> clock::MonotonicTime {
        let delay = match self.failed_trials().next() {
            None => self.policy.first_trial_delay,
            Some(_) => self.policy.next_trial_delay,
        };
        self.after_trial(self.last_crash + delay)
    }

    /// Returns when a trial for an owed item may begin after the trials so far have failed;
    /// `None` if the subject has no such trials.
    pub(super) fn owed_trial_at(&self) -> Option<clock::MonotonicTime> {
        let delays = self.policy.owed_trial_delays;
        let failed = self.failed_trials().count();
        let excess = failed.saturating_sub(self.policy.min_convictions);
        let delay = delays.get(excess).or(delays.last())?;
        Some(self.after_trial(self.last_crash + *delay))
    }

    /// Returns the later of a time and the end of the trial that is under way.
    fn after_trial(&self, at: clock::MonotonicTime) -> clock::MonotonicTime {
        let trial_end = self.trial.map(|trial| trial.expires_at);
        at.max(trial_end.unwrap_or_default())
    }

    /// Records a crash during a run of this process; returns whether it was unknown.
    pub(super) fn add_crash(&mut self, run: &CrashedRun, now: clock::MonotonicTime) -> bool {
        let is_trial = self
            .trial
            .is_some_and(|trial| run.sent_at >= trial.begun_at);
        if is_trial {
            self.trial = None;
        }
        let Some(id) = self.next_crash(run) else {
            return false;
        };
        if is_trial {
            self.trials.insert(id.clone());
        }
        self.crashes.insert(id, now);
        self.last_crash = now;
        true
    }

    /// Marks all crashes so far as cleared.
    pub(super) fn clear(&mut self) {
        self.cleared.extend(self.crashes.keys().cloned());
        self.trial = None;
    }

    /// Marks the crashes as cleared that became known before a time; returns whether any of
    /// them counted.
    pub(super) fn clear_before(&mut self, time: clock::MonotonicTime) -> bool {
        let before = self.count();
        let earlier = self.crashes.iter().filter(|(_, learned)| **learned < time);
        self.cleared.extend(earlier.map(|(id, _)| id.clone()));
        if self.count() == 0 {
            self.trial = None;
        }
        self.count() < before
    }

    pub(super) fn begin_trial(&mut self, now: clock::MonotonicTime) {
        self.trial = Some(TrialWindow {
            begun_at: now,
            expires_at: now + self.policy.trial_timeout,
        });
    }

    pub(super) fn is_on_trial(&self, now: clock::MonotonicTime) -> bool {
        self.trial.is_some_and(|trial| now < trial.expires_at)
    }

    /// Ends a trial that did not run, so that another may begin.
    pub(super) fn cancel_trial(&mut self) {
        self.trial = None;
    }

    /// Returns whether an update contains anything unknown.
    pub(super) fn lacks(&self, update: &CrashUpdate) -> bool {
        let mut crashes = update.crashes.iter();
        crashes.any(|id| !self.crashes.contains_key(id)) || !update.cleared.is_subset(&self.cleared)
    }

    /// Merges an update from another process.
    pub(super) fn merge(&mut self, update: CrashUpdate, now: clock::MonotonicTime) {
        let crashed_at = now.before(update.age);
        self.last_crash = match self.crashes.is_empty() {
            true => crashed_at,
            false => self.last_crash.max(crashed_at),
        };
        for id in update.crashes.iter().chain(&update.cleared) {
            self.crashes.entry(id.clone()).or_insert(now);
        }
        self.cleared.extend(update.cleared);
        if self.count() == 0 {
            self.trial = None;
        }
    }

    /// Merges failed trials that another process has seen; returns whether any was unknown.
    ///
    /// Those of crashes that are not recorded are ignored.
    pub(super) fn merge_trials(&mut self, trials: &collections::BTreeSet<CrashId>) -> bool {
        let known = trials.iter().filter(|id| self.crashes.contains_key(id));
        let unknown: Vec<_> = known.filter(|id| !self.trials.contains(id)).collect();
        if unknown.is_empty() {
            return false;
        }
        self.trial = None;
        self.trials.extend(unknown.into_iter().cloned());
        true
    }

    pub(super) fn update(
        &self,
        subject: ids::CrashSubject,
        now: clock::MonotonicTime,
    ) -> CrashUpdate {
        CrashUpdate {
            subject,
            crashes: self.crashes.keys().cloned().collect(),
            cleared: self.cleared.clone(),
            age: now.since(self.last_crash),
        }
    }

    pub(super) fn message(
        &self,
        subject: ids::CrashSubject,
        now: clock::MonotonicTime,
    ) -> CrashMessage {
        CrashMessage {
            update: self.update(subject, now),
            trials: self.trials.clone(),
        }
    }

    /// Returns a hash of the record, or 0 for one that is empty or no longer shared.
    pub(super) fn fingerprint(&self, subject: ids::CrashSubject) -> u64 {
        if !self.is_shared || self.crashes.is_empty() {
            return 0;
        }
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(subject.to_string().as_bytes());
        for id in self.crashes.keys() {
            hasher.update(format!("+{id}").as_bytes());
        }
        for id in &self.cleared {
            hasher.update(format!("-{id}").as_bytes());
        }
        for id in &self.trials {
            hasher.update(format!("!{id}").as_bytes());
        }
        hasher.digest()
    }

    /// Returns whether a crash of the endpoint of `run` became known before the request was
    /// sent.
    pub fn has_crash_before(&self, run: &CrashedRun) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|(id, learned)| id.run == run.endpoint && run.sent_at > *learned)
    }

    /// Returns the identifier of the crash during `run`, or `None` if that crash is recorded
    /// already or the record is full.
    ///
    /// A request that was sent after a recorded crash reached the endpoint after its return, so
    /// the crash during it is a new one.
    fn next_crash(&self, run: &CrashedRun) -> Option<CrashId> {
        if self.crashes.len() >= self.policy.max_crashes {
            return None;
        }
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

/// Returns the quarantine after so many trials that count against a request.
fn quarantine_after(convictions: usize) -> time::Duration {
    // Fewer than MAX_TRIALS, so the power does not overflow.
    let growth = QUARANTINE_GROWTH.pow(convictions.saturating_sub(1) as u32);
    INITIAL_QUARANTINE * growth
}

/// Returns how long a record with so many counted crashes is retained after the last one.
fn retention_of(policy: &SubjectPolicy, count: usize) -> time::Duration {
    match count {
        0 => policy.cleared_retention,
        1..MAX_CRASHES => CRASH_RETENTION,
        _ => SUSPECT_RETENTION,
    }
}
