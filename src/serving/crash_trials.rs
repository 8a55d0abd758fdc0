//! Trials of requests, and of parts of prompts, that are suspected of crashing endpoints.
//!
//! A suspect runs once, and the outcome decides: it is cleared if it is served, and
//! quarantined if its endpoint crashes as well. One owner, chosen by the digest of the
//! suspect, grants the trial, so that of all processes only one runs it. Requests that
//! arrive meanwhile wait for the outcome for a short time.

use std::{cell, rc, time};

use super::{context, crash_guard};
use crate::{
    decisions::{
        crash_ledger::{self, CrashVerdict},
        ownership,
    },
    ids,
};

/// Timeout of a request for a trial. A round trip takes 1 to 4 ms.
const CLAIM_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Longest time that a request waits for the outcome of a trial.
const MAX_WAIT: time::Duration = time::Duration::from_secs(1);

/// Share of its remaining time that a request waits; the rest is for its run.
const WAIT_SHARE: f64 = 0.5;

/// Interval at which a waiting request claims the trial itself: the process that was to
/// run it may have ended.
const CLAIM_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// `Retry-After` of a request that was refused while a trial runs elsewhere.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Whether a request may run, with regard to the crashes during it.
pub(super) enum TrialAdmission {
    Allowed,
    /// The request runs as a trial.
    Trial(TrialGuard),
    /// A trial of the subject is pending; the caller may retry after this time.
    Suspected(ids::CrashSubject, time::Duration),
    /// Trials of the subject have failed; holds the remaining quarantine.
    Quarantined(ids::CrashSubject, time::Duration),
}

/// A granted trial. It is returned on drop unless the request may have run.
pub(super) struct TrialGuard {
    context: rc::Rc<context::ProcessContext>,
    subject: ids::CrashSubject,
    has_run: cell::Cell<bool>,
}

impl TrialGuard {
    fn new(context: &rc::Rc<context::ProcessContext>, subject: ids::CrashSubject) -> Self {
        Self {
            context: context.clone(),
            subject,
            has_run: cell::Cell::new(false),
        }
    }

    /// Returns what the trial decides about.
    pub(super) fn subject(&self) -> ids::CrashSubject {
        self.subject
    }

    /// Sets whether the request has run or may have.
    pub(super) fn set_run(&self, has_run: bool) {
        self.has_run.set(has_run);
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        if !self.has_run.get() {
            return_trial(&self.context, self.subject);
        }
    }
}

/// Decides whether a caller's request may run; waits for the outcome of a trial if that is
/// expected within the request's time.
pub(super) async fn admit(
    context: &rc::Rc<context::ProcessContext>,
    subjects: &[ids::CrashSubject],
    id: &str,
    time_left: time::Duration,
) -> TrialAdmission {
    let now = context.clock.now();
    let settling_times = subjects
        .iter()
        .map(|s| context.crashes.settling_time(*s, now));
    let settling_time = settling_times.max().unwrap_or_default();
    if !settling_time.is_zero() {
        actix_rt::time::sleep(settling_time).await;
    }
    let wait_until = context.clock.now() + time_left.mul_f64(WAIT_SHARE).min(MAX_WAIT);
    loop {
        let changed = context.crashes.trials.changed.notified();
        let now = context.clock.now();
        let Some((subject, trial_delay)) = context.crashes.main_suspect(subjects, now) else {
            return TrialAdmission::Allowed;
        };
        if trial_delay.is_zero() {
            if let Some(trial) = claim(context, subject).await {
                log::info!("event=trial_begun request={id} digest={subject}");
                return TrialAdmission::Trial(trial);
            }
        }
        if context.crashes.is_convicted(subject) {
            let left = trial_delay.max(RETRY_AFTER);
            log_refusal(subject, id, "quarantined", left);
            return TrialAdmission::Quarantined(subject, left);
        }
        let is_on_trial = context.crashes.is_on_trial(subject, now);
        if now >= wait_until || (!is_on_trial && now + trial_delay >= wait_until) {
            let retry_after = match is_on_trial {
                true => RETRY_AFTER,
                false => trial_delay.max(RETRY_AFTER),
            };
            log_refusal(subject, id, "suspected", retry_after);
            return TrialAdmission::Suspected(subject, retry_after);
        }
        tokio::select! {
            () = changed => {}
            () = actix_rt::time::sleep(CLAIM_INTERVAL) => {}
        }
    }
}

fn log_refusal(subject: ids::CrashSubject, id: &str, verdict: &str, left: time::Duration) {
    log::info!(
        "event=request_held request={id} digest={subject} kind={} verdict={verdict} left_ms={}",
        subject.kind(),
        left.as_millis()
    );
}

/// Decides whether an item with these parts may run. Claims their trial in the background if
/// one is due.
pub(super) fn admit_item(
    context: &rc::Rc<context::ProcessContext>,
    parts: &[ids::CrashSubject],
    id: &str,
) -> CrashVerdict {
    let now = context.clock.now();
    let Some((subject, trial_delay)) = context.crashes.main_suspect_of_item(parts, now) else {
        return CrashVerdict::Allowed;
    };
    if context.crashes.trials.is_granted(subject, id, now) {
        return CrashVerdict::Trial;
    }
    if trial_delay.is_zero() {
        actix_rt::spawn(claim_for_item(context.clone(), subject, id.to_owned()));
        return CrashVerdict::Quarantined(CLAIM_INTERVAL);
    }
    log_refusal(subject, id, "quarantined", trial_delay);
    CrashVerdict::Quarantined(trial_delay)
}

async fn claim_for_item(
    context: rc::Rc<context::ProcessContext>,
    subject: ids::CrashSubject,
    item: String,
) {
    if let Some(trial) = claim(&context, subject).await {
        // Returned by `expire` if the item gets no slot.
        trial.set_run(true);
        let trials = &context.crashes.trials;
        trials.keep_for_item(subject, &item, context.clock.now());
        context.jobs.work.notify_one();
    }
}

/// Returns the granted trials of items that got no slot in time.
pub(super) fn expire(context: &context::ProcessContext) {
    let expired = context.crashes.trials.take_expired(context.clock.now());
    for subject in expired {
        return_trial(context, subject);
    }
}

/// Requests the trial of a suspect from its arbiter, unless a request is under way.
///
/// The request is a task of its own: if the caller leaves meanwhile, a trial that is granted
/// all the same is returned.
async fn claim(
    context: &rc::Rc<context::ProcessContext>,
    subject: ids::CrashSubject,
) -> Option<TrialGuard> {
    if !context.crashes.trials.begin_claim(subject) {
        return None;
    }
    let context = context.clone();
    let claiming = actix_rt::spawn(async move {
        let is_granted = request_grant(&context, subject).await;
        context.crashes.trials.end_claim(subject);
        is_granted.then(|| TrialGuard::new(&context, subject))
    });
    match claiming.await {
        Ok(trial) => trial,
        Err(e) => {
            log::warn!("event=trial_unclaimed digest={subject} why=\"{e}\"");
            None
        }
    }
}

async fn request_grant(
    context: &rc::Rc<context::ProcessContext>,
    subject: ids::CrashSubject,
) -> bool {
    let Some(arbiter) = arbiter_of(context, subject) else {
        log::info!("event=trial_unclaimed digest={subject} why=\"no owner is live\"");
        return false;
    };
    let Some(message) = context.crashes.message_of(subject, context.clock.now()) else {
        return false;
    };
    if arbiter == *context.id() {
        return grant(context, message);
    }
    let Some(address) = context.members.borrow().address_of(&arbiter) else {
        log::info!("event=trial_unclaimed digest={subject} why=\"{arbiter} has no address\"");
        return false;
    };
    let claimed = context.links.claim_trial(address, message, CLAIM_TIMEOUT);
    match claimed.await {
        Ok(is_granted) => {
            if is_granted {
                context.crashes.begin_trial(subject, context.clock.now());
            }
            is_granted
        }
        Err(e) => {
            log::info!("event=trial_unclaimed digest={subject} arbiter={arbiter} why=\"{e}\"");
            false
        }
    }
}

/// Grants the trial of a suspect if none is under way; the requester's record is merged
/// first. A part that is no suspect here, as it was served since, may run.
pub(super) fn grant(
    context: &rc::Rc<context::ProcessContext>,
    message: crash_ledger::CrashMessage,
) -> bool {
    let subject = message.update.subject;
    crash_guard::apply_update(context, message);
    let verdict = context.crashes.grant_trial(subject, context.clock.now());
    let is_granted = match verdict {
        CrashVerdict::Trial => true,
        CrashVerdict::Allowed => subject.is_part(),
        CrashVerdict::Quarantined(_) => false,
    };
    if is_granted {
        log::info!("event=trial_granted digest={subject} verdict=\"{verdict}\"");
    }
    is_granted
}

/// Returns a trial that did not run or has no outcome, so that another process may claim it.
pub(super) fn return_trial(context: &context::ProcessContext, subject: ids::CrashSubject) {
    log::info!("event=trial_returned digest={subject}");
    cancel(context, subject);
    let Some(arbiter) = arbiter_of(context, subject) else {
        return;
    };
    if let Some(address) = context.members.borrow().address_of(&arbiter) {
        context.links.return_trial(address, subject);
    }
}

/// Allows another trial in place of one that did not run.
pub(super) fn cancel(context: &context::ProcessContext, subject: ids::CrashSubject) {
    context.crashes.cancel_trial(subject);
    context.crashes.trials.changed.notify_waiters();
}

/// Returns the owner that grants the trials of a request.
fn arbiter_of(
    context: &context::ProcessContext,
    subject: ids::CrashSubject,
) -> Option<ids::InstanceId> {
    let owners = context.owners();
    let subject = subject.to_string();
    let weight =
        |owner: &&ownership::OwnerCandidate| ownership::weight(&subject, owner.id.as_str());
    owners
        .iter()
        .max_by_key(weight)
        .map(|owner| owner.id.clone())
}
