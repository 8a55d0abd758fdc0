//! Trials of requests that are suspected of crashing endpoints.
//!
//! A suspect runs once, and the outcome decides: it is cleared if it is served, and
//! quarantined if its endpoint crashes as well. One owner, chosen by the digest of the
//! request, grants the trial, so that of all processes only one runs it. Requests that
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
    /// A trial is pending; the caller may retry after this time.
    Suspected(time::Duration),
    /// A trial has failed; holds the remaining quarantine.
    Quarantined(time::Duration),
}

/// A granted trial. It is returned on drop unless the request may have run.
pub(super) struct TrialGuard {
    context: rc::Rc<context::ProcessContext>,
    digest: ids::RequestDigest,
    has_run: cell::Cell<bool>,
}

impl TrialGuard {
    fn new(context: &rc::Rc<context::ProcessContext>, digest: ids::RequestDigest) -> Self {
        Self {
            context: context.clone(),
            digest,
            has_run: cell::Cell::new(false),
        }
    }

    /// Sets whether the request has run or may have.
    pub(super) fn set_run(&self, has_run: bool) {
        self.has_run.set(has_run);
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        if !self.has_run.get() {
            return_trial(&self.context, self.digest);
        }
    }
}

/// Decides whether a caller's request may run; waits for the outcome of a trial if that is
/// expected within the request's time.
pub(super) async fn admit(
    context: &rc::Rc<context::ProcessContext>,
    digest: ids::RequestDigest,
    id: &str,
    time_left: time::Duration,
) -> TrialAdmission {
    let settling_time = context.crashes.settling_time(digest, context.clock.now());
    if !settling_time.is_zero() {
        actix_rt::time::sleep(settling_time).await;
    }
    let wait_until = context.clock.now() + time_left.mul_f64(WAIT_SHARE).min(MAX_WAIT);
    loop {
        let changed = context.crashes.trials.changed.notified();
        let now = context.clock.now();
        let Some(trial_delay) = context.crashes.trial_delay(digest, now) else {
            return TrialAdmission::Allowed;
        };
        if trial_delay.is_zero() {
            if let Some(trial) = claim(context, digest).await {
                log::info!("event=trial_begun request={id} digest={digest}");
                return TrialAdmission::Trial(trial);
            }
        }
        if context.crashes.is_convicted(digest) {
            let left = trial_delay.max(RETRY_AFTER);
            log_refusal(digest, id, "quarantined", left);
            return TrialAdmission::Quarantined(left);
        }
        let is_on_trial = context.crashes.is_on_trial(digest, now);
        if now >= wait_until || (!is_on_trial && now + trial_delay >= wait_until) {
            let retry_after = match is_on_trial {
                true => RETRY_AFTER,
                false => trial_delay.max(RETRY_AFTER),
            };
            log_refusal(digest, id, "suspected", retry_after);
            return TrialAdmission::Suspected(retry_after);
        }
        tokio::select! {
            () = changed => {}
            () = actix_rt::time::sleep(CLAIM_INTERVAL) => {}
        }
    }
}

fn log_refusal(digest: ids::RequestDigest, id: &str, verdict: &str, left: time::Duration) {
    log::info!(
        "event=request_held request={id} digest={digest} verdict={verdict} left_ms={}",
        left.as_millis()
    );
}

/// Decides whether an item may run. Claims its trial in the background if one is due.
pub(super) fn admit_item(
    context: &rc::Rc<context::ProcessContext>,
    digest: ids::RequestDigest,
    id: &str,
) -> CrashVerdict {
    let now = context.clock.now();
    if context.crashes.trials.is_granted(digest, now) {
        return CrashVerdict::Trial;
    }
    match context.crashes.trial_delay(digest, now) {
        None => CrashVerdict::Allowed,
        Some(time::Duration::ZERO) => {
            actix_rt::spawn(claim_for_item(context.clone(), digest));
            CrashVerdict::Quarantined(CLAIM_INTERVAL)
        }
        Some(left) => {
            log_refusal(digest, id, "quarantined", left);
            CrashVerdict::Quarantined(left)
        }
    }
}

async fn claim_for_item(context: rc::Rc<context::ProcessContext>, digest: ids::RequestDigest) {
    if let Some(trial) = claim(&context, digest).await {
        // Returned by `expire` if the item gets no slot.
        trial.set_run(true);
        let trials = &context.crashes.trials;
        trials.keep_for_item(digest, context.clock.now());
        context.jobs.work.notify_one();
    }
}

/// Returns the granted trials of items that got no slot in time.
pub(super) fn expire(context: &context::ProcessContext) {
    let expired = context.crashes.trials.take_expired(context.clock.now());
    for digest in expired {
        return_trial(context, digest);
    }
}

/// Requests the trial of a suspect from its arbiter, unless a request is under way.
///
/// The request is a task of its own: if the caller leaves meanwhile, a trial that is granted
/// all the same is returned.
async fn claim(
    context: &rc::Rc<context::ProcessContext>,
    digest: ids::RequestDigest,
) -> Option<TrialGuard> {
    if !context.crashes.trials.begin_claim(digest) {
        return None;
    }
    let context = context.clone();
    let claiming = actix_rt::spawn(async move {
        let is_granted = request_grant(&context, digest).await;
        context.crashes.trials.end_claim(digest);
        is_granted.then(|| TrialGuard::new(&context, digest))
    });
    match claiming.await {
        Ok(trial) => trial,
        Err(e) => {
            log::warn!("event=trial_unclaimed digest={digest} why=\"{e}\"");
            None
        }
    }
}

async fn request_grant(
    context: &rc::Rc<context::ProcessContext>,
    digest: ids::RequestDigest,
) -> bool {
    let Some(arbiter) = arbiter_of(context, digest) else {
        log::info!("event=trial_unclaimed digest={digest} why=\"no owner is live\"");
        return false;
    };
    let Some(message) = context.crashes.message_of(digest, context.clock.now()) else {
        return false;
    };
    if arbiter == *context.id() {
        return grant(context, message);
    }
    let Some(address) = context.members.borrow().address_of(&arbiter) else {
        log::info!("event=trial_unclaimed digest={digest} why=\"{arbiter} has no address\"");
        return false;
    };
    let claimed = context.links.claim_trial(address, message, CLAIM_TIMEOUT);
    match claimed.await {
        Ok(is_granted) => {
            if is_granted {
                context.crashes.begin_trial(digest, context.clock.now());
            }
            is_granted
        }
        Err(e) => {
            log::info!("event=trial_unclaimed digest={digest} arbiter={arbiter} why=\"{e}\"");
            false
        }
    }
}

/// Grants the trial of a suspect if none is under way; the requester's record is merged
/// first.
pub(super) fn grant(
    context: &rc::Rc<context::ProcessContext>,
    message: crash_ledger::CrashMessage,
) -> bool {
    let digest = message.update.digest;
    crash_guard::apply_update(context, message);
    let is_granted = context.crashes.grant_trial(digest, context.clock.now());
    if is_granted {
        log::info!("event=trial_granted digest={digest}");
    }
    is_granted
}

/// Returns a trial that did not run or has no outcome, so that another process may claim it.
pub(super) fn return_trial(context: &context::ProcessContext, digest: ids::RequestDigest) {
    log::info!("event=trial_returned digest={digest}");
    cancel(context, digest);
    let Some(arbiter) = arbiter_of(context, digest) else {
        return;
    };
    if let Some(address) = context.members.borrow().address_of(&arbiter) {
        context.links.return_trial(address, digest);
    }
}

/// Allows another trial in place of one that did not run.
pub(super) fn cancel(context: &context::ProcessContext, digest: ids::RequestDigest) {
    context.crashes.cancel_trial(digest);
    context.crashes.trials.changed.notify_waiters();
}

/// Returns the owner that grants the trials of a request.
fn arbiter_of(
    context: &context::ProcessContext,
    digest: ids::RequestDigest,
) -> Option<ids::InstanceId> {
    let owners = context.owners();
    let digest = digest.to_string();
    let weight = |owner: &&ownership::OwnerCandidate| ownership::weight(&digest, owner.id.as_str());
    owners
        .iter()
        .max_by_key(weight)
        .map(|owner| owner.id.clone())
}
