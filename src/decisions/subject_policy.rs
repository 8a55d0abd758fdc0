//! How crashes are judged, by what they are attributed to.
//!
//! A request comes again as the same, and often beside others, so that its crashes may be a
//! coincidence for long. A part of prompts is shared by many requests and served all the time
//! unless it causes the crashes: its last service decides, and a trial may begin at once.

use std::time;

use crate::ids;

/// What differs between the kinds of subjects.
#[derive(Debug)]
pub(super) struct SubjectPolicy {
    /// Time after a subject was served here during which no crash is attributed to it.
    pub(super) excuse: time::Duration,
    /// Delay before the first quarantine is reported to a caller.
    pub(super) verdict_delay: time::Duration,
    /// Delay of the first trial after the last crash.
    pub(super) first_trial_delay: time::Duration,
    /// Delay of the next trial after one that decided nothing.
    pub(super) next_trial_delay: time::Duration,
    /// Time after which another trial is allowed if the outcome of the last one is unknown.
    pub(super) trial_timeout: time::Duration,
    /// Number of failed trials, with no other explanation, that convict a subject.
    pub(super) min_convictions: usize,
    /// Delays of further trials for owed items after the last crash, by the number of failed
    /// trials beyond `min_convictions`; the last one repeats. Empty if there are none.
    pub(super) owed_trial_delays: &'static [time::Duration],
    /// Retention of a record of which no crash counts any more.
    pub(super) cleared_retention: time::Duration,
    /// Maximum number of crashes in a record; further ones are ignored until it expires.
    pub(super) max_crashes: usize,
}

/// Endpoints that crash together, or because of another request, are back within seconds, and
/// a frequent request is served again by then. A request that is no longer served, for example
/// after a release that cannot handle it, is suspected soon enough.
///
/// The verdict is delayed so that updates from other processes can arrive. It protects a
/// frequent request that was running on several endpoints when they crashed together, before
/// it was ever served: its runs elsewhere finish within half a second and clear it. For the
/// same reason its first trial is delayed: a crashed endpoint is back within a few seconds, and
/// runs that were in flight elsewhere have ended by then.
const REQUEST_POLICY: SubjectPolicy = SubjectPolicy {
    excuse: time::Duration::from_secs(30),
    verdict_delay: time::Duration::from_millis(500),
    first_trial_delay: time::Duration::from_secs(2),
    next_trial_delay: time::Duration::from_secs(2),
    // Longer than most requests take.
    trial_timeout: time::Duration::from_secs(10),
    min_convictions: 1,
    owed_trial_delays: &[],
    cleared_retention: time::Duration::from_secs(3600),
    max_crashes: usize::MAX,
};

/// A part that was served a moment ago may turn bad with a release, so the excuse is short. A
/// popular part is in many prompts: a suspicion must end with the next request that is served,
/// and a trial that failed because another request crashed its endpoint must not convict it.
const PART_POLICY: SubjectPolicy = SubjectPolicy {
    excuse: time::Duration::from_millis(500),
    verdict_delay: time::Duration::ZERO,
    first_trial_delay: time::Duration::ZERO,
    next_trial_delay: time::Duration::from_secs(1),
    // An endpoint begins to answer, or crashes, within a few hundred milliseconds.
    trial_timeout: time::Duration::from_secs(2),
    min_convictions: 2,
    owed_trial_delays: &OWED_TRIAL_DELAYS,
    cleared_retention: time::Duration::from_secs(120),
    max_crashes: 64,
};

/// Items that share a part are owed until they are done, and endpoints may have crashed under
/// the part by bad luck, so its trials go on. Each may crash one more endpoint: three of them
/// take a minute and a half.
const OWED_TRIAL_DELAYS: [time::Duration; 4] = [
    time::Duration::from_secs(8),
    time::Duration::from_secs(16),
    time::Duration::from_secs(64),
    time::Duration::from_secs(600),
];

/// Returns how the crashes of a subject are judged.
pub(super) fn policy_of(subject: ids::CrashSubject) -> &'static SubjectPolicy {
    match subject.is_part() {
        true => &PART_POLICY,
        false => &REQUEST_POLICY,
    }
}
