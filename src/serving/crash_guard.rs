//! Quarantines requests, and parts of prompts, that crash one endpoint after another, across all
//! processes.
//!
//! A process that sees an endpoint end during a request notifies the owners at once. The
//! other processes pull the update from them after a probe, within a quarter of a second.
//! What is quarantined is also recorded in the store, so that it outlives a restart of all
//! processes; the records are read at the start.

use std::{cell, collections, net, rc, time};

use super::{context, members, peers, single_flight, trial_state};
use crate::{
    clock,
    decisions::{call_budget::CallClass, crash_ledger, retry},
    ids, store,
};

/// Number of events of a response that prove that its endpoint went on after it had begun to
/// answer; a first one may have been sent right before a crash.
pub(super) const PROOF_EVENTS: u64 = 2;

/// Kind of the records of quarantined requests in the store.
const QUARANTINE_KIND: &str = "held-requests";

/// Timeout of the next bytes of a peer's crash updates. A round trip takes 1 to 4 ms.
const PULL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Backoff between two pulls from peers whose ledger differs. A crash must be known
/// everywhere within a second. A pull from a peer with an older ledger brings nothing new;
/// that peer will pull in turn.
const PULL_BACKOFF: retry::DelayRange = retry::DelayRange {
    first: time::Duration::from_millis(50),
    last: time::Duration::from_millis(500),
};

/// Backoff between two attempts to write a record while the store is unavailable.
const SAVE_BACKOFF: retry::DelayRange = retry::DelayRange {
    first: time::Duration::from_millis(700),
    last: time::Duration::from_secs(10),
};

/// Maximum number of attempts to write a record, which take about three minutes in all.
/// After that, other processes write the record at the next crash.
const MAX_SAVE_ATTEMPTS: u32 = 20;

/// Time after its start within which a gateway receives heartbeats from a dispatcher that
/// has read the records.
const PEER_SYNC_TIME: time::Duration = time::Duration::from_secs(1);

/// Backoff between two attempts to read the records while the store is unavailable.
const READ_BACKOFF: retry::DelayRange = SAVE_BACKOFF;

/// Record of a quarantined request in the store.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct QuarantineRecord {
    /// Crashes of endpoints during the request.
    pub crashes: collections::BTreeSet<crash_ledger::CrashId>,
    /// Crashes of which the request was cleared.
    pub cleared: collections::BTreeSet<crash_ledger::CrashId>,
    /// Crashes that ended a trial.
    #[serde(default)]
    pub trials: collections::BTreeSet<crash_ledger::CrashId>,
    /// Time of the last crash, in milliseconds since the epoch.
    pub last_ms: u64,
}

/// Crash ledger of a process, and the state of its exchange with peers and the store.
#[derive(Default)]
pub(super) struct CrashGuard {
    ledger: cell::RefCell<crash_ledger::CrashLedger>,
    /// Trials of suspects.
    pub(super) trials: trial_state::TrialState,
    /// Requests whose records are being written to the store.
    saving: cell::RefCell<collections::HashSet<ids::CrashSubject>>,
    /// Whether the records are being read from the store after a crash.
    is_reading: cell::Cell<bool>,
    /// Guard that allows one pull at a time.
    flight: single_flight::SingleFlight,
    /// Number of consecutive pulls that brought nothing new.
    empty_pulls: cell::Cell<u32>,
    /// Earliest time of the next pull from a peer.
    next_pull_at: cell::Cell<clock::MonotonicTime>,
}

impl CrashGuard {
    /// Returns a digest of the ledger, which differs between processes with different ledgers.
    pub(super) fn state_digest(&self) -> u64 {
        self.ledger.borrow().fingerprint()
    }

    /// Returns whether a request is quarantined because of the crashes so far.
    pub(super) fn is_blamed(&self, subject: ids::CrashSubject) -> bool {
        self.ledger.borrow().is_quarantined(subject)
    }

    /// Returns whether any request is quarantined.
    pub(super) fn has_held(&self) -> bool {
        self.ledger.borrow().has_quarantined()
    }

    /// Returns whether a suspect has a record in the store. A part has none before its first
    /// trial has failed: a popular one may be a suspect for a moment at each crash.
    pub(super) fn is_recorded(&self, subject: ids::CrashSubject) -> bool {
        !subject.is_part() || self.ledger.borrow().has_failed_trial(subject)
    }

    /// Returns the messages that transfer the whole ledger to a peer.
    pub(super) fn messages(&self, now: clock::MonotonicTime) -> Vec<crash_ledger::CrashMessage> {
        self.ledger.borrow().messages(now)
    }

    /// Returns the message about a request for a peer.
    pub(super) fn message_of(
        &self,
        subject: ids::CrashSubject,
        now: clock::MonotonicTime,
    ) -> Option<crash_ledger::CrashMessage> {
        self.ledger.borrow().message_of(subject, now)
    }

    /// Returns the subject that decides whether a request may run, and the time until a trial of
    /// it may begin; `None` if no subject is a suspect.
    pub(super) fn main_suspect(
        &self,
        subjects: &[ids::CrashSubject],
        now: clock::MonotonicTime,
    ) -> Option<(ids::CrashSubject, time::Duration)> {
        let ledger = self.ledger.borrow();
        main_of(&ledger, subjects, |subject| {
            ledger.trial_delay(subject, now)
        })
    }

    /// The same for an item, whose trials begin sooner as it is owed.
    pub(super) fn main_suspect_of_item(
        &self,
        parts: &[ids::CrashSubject],
        now: clock::MonotonicTime,
    ) -> Option<(ids::CrashSubject, time::Duration)> {
        let ledger = self.ledger.borrow();
        main_of(&ledger, parts, |part| ledger.owed_trial_delay(part, now))
    }

    /// Returns how long to wait until the verdict on a request has settled.
    pub(super) fn settling_time(
        &self,
        subject: ids::CrashSubject,
        now: clock::MonotonicTime,
    ) -> time::Duration {
        self.ledger.borrow().verdict_delay(subject, now)
    }

    /// Returns whether a trial has shown that a request crashes endpoints.
    pub(super) fn is_convicted(&self, subject: ids::CrashSubject) -> bool {
        self.ledger.borrow().is_convicted(subject)
    }

    /// Returns whether a trial of a request is under way, as far as this process knows.
    pub(super) fn is_on_trial(
        &self,
        subject: ids::CrashSubject,
        now: clock::MonotonicTime,
    ) -> bool {
        self.ledger.borrow().is_on_trial(subject, now)
    }

    /// Returns whether the endpoint of a run is known to have crashed before the request was
    /// sent to it under its start.
    pub(super) fn has_ended_before(&self, run: &crash_ledger::CrashedRun) -> bool {
        self.ledger.borrow().has_ended_before(run)
    }

    /// Grants the trial of a suspect if it is due, and returns the decision.
    pub(super) fn grant_trial(
        &self,
        subject: ids::CrashSubject,
        now: clock::MonotonicTime,
    ) -> crash_ledger::CrashVerdict {
        self.ledger.borrow_mut().grant_trial(subject, now)
    }

    /// Records that this process runs the trial of a request.
    pub(super) fn begin_trial(&self, subject: ids::CrashSubject, now: clock::MonotonicTime) {
        self.ledger.borrow_mut().begin_trial(subject, now);
    }

    /// Records that the trial of a request did not run.
    pub(super) fn cancel_trial(&self, subject: ids::CrashSubject) {
        self.ledger.borrow_mut().cancel_trial(subject);
    }
}

/// Returns the suspect that decides about a request, and the delay of its trial.
///
/// A convicted one comes first, then the one with the most crashes. Of equals it is the last
/// part, as fewer requests share it.
fn main_of(
    ledger: &crash_ledger::CrashLedger,
    subjects: &[ids::CrashSubject],
    trial_delay: impl Fn(ids::CrashSubject) -> Option<time::Duration>,
) -> Option<(ids::CrashSubject, time::Duration)> {
    if ledger.is_empty() {
        return None;
    }
    let suspects = subjects.iter().filter_map(|subject| {
        let delay = trial_delay(*subject)?;
        let rank = (ledger.is_convicted(*subject), ledger.count(*subject));
        Some((rank, (*subject, delay)))
    });
    let main = suspects.max_by_key(|(rank, _)| *rank);
    main.map(|(_, suspect)| suspect)
}

/// Records that an endpoint ended during a request, and notifies the owners.
pub(super) fn record_crash(
    context: &rc::Rc<context::ProcessContext>,
    run: &crash_ledger::CrashedRun,
) -> crash_ledger::CrashOutcome {
    let now = context.clock.now();
    let outcome = context.crashes.ledger.borrow_mut().record_crash(run, now);
    if let crash_ledger::CrashOutcome::Counted(count) = outcome {
        notify_owners(context, run.subject);
        read_if_isolated(context);
        if count >= crash_ledger::MAX_CRASHES && context.crashes.is_recorded(run.subject) {
            actix_rt::spawn(save(context.clone(), run.subject));
        }
    }
    outcome
}

/// Records that an endpoint completed a request, which proves that the request does not
/// crash every endpoint that starts it.
pub(super) fn record_served(context: &rc::Rc<context::ProcessContext>, subject: ids::CrashSubject) {
    record_service(context, subject, |ledger, now| {
        ledger.record_served(subject, now)
    });
}

/// Records that an endpoint answers on parts of a prompt, for a request that was sent to it at
/// `sent_at`.
pub(super) fn record_parts_served(
    context: &rc::Rc<context::ProcessContext>,
    parts: &[ids::PartDigest],
    sent_at: clock::MonotonicTime,
) {
    for part in parts {
        record_service(context, (*part).into(), |ledger, now| {
            ledger.record_part_served(*part, sent_at, now)
        });
    }
}

/// Records that a subject was served; if that clears it of crashes, notifies the owners and the
/// requests that wait, and updates its record in the store.
fn record_service(
    context: &rc::Rc<context::ProcessContext>,
    subject: ids::CrashSubject,
    record: impl FnOnce(&mut crash_ledger::CrashLedger, clock::MonotonicTime) -> bool,
) {
    let now = context.clock.now();
    let has_record = context.crashes.is_recorded(subject);
    let mut ledger = context.crashes.ledger.borrow_mut();
    let was_quarantined = ledger.is_quarantined(subject);
    let has_stored_record = has_record && ledger.count(subject) >= crash_ledger::MAX_CRASHES;
    let is_cleared = record(&mut ledger, now);
    drop(ledger);
    if !is_cleared {
        return;
    }
    let kind = subject.kind();
    log::info!("event=request_cleared digest={subject} kind={kind} held={was_quarantined}");
    context.crashes.trials.changed.notify_waiters();
    notify_owners(context, subject);
    if has_stored_record {
        actix_rt::spawn(save(context.clone(), subject));
    }
}

/// Sends the ledger's entry of a request to the owners. Other processes pull it from them.
fn notify_owners(context: &context::ProcessContext, subject: ids::CrashSubject) {
    let message = context.crashes.message_of(subject, context.clock.now());
    let Some(message) = message else { return };
    let owners = context.owners();
    let others = owners.iter().filter(|owner| owner.id != *context.id());
    for owner in others {
        if let Some(address) = context.members.borrow().address_of(&owner.id) {
            context.links.crash_news(address, message.clone());
        }
    }
}

/// Applies an update of another process, and returns whether it contained anything new.
///
/// Three crashes may have been seen by three processes, none of which knows of the others.
/// The owners receive all of them and thus record requests that are quarantined only by
/// the sum of the crashes.
pub(super) fn apply_update(
    context: &rc::Rc<context::ProcessContext>,
    message: crash_ledger::CrashMessage,
) -> bool {
    let subject = message.update.subject;
    let was_quarantined = context.crashes.is_blamed(subject);
    let is_new = merge(context, message);
    let now = context.clock.now();
    // A process that has just started has not seen the request succeed and may blame it
    // wrongly; a process that has seen it exonerates it here.
    if context.crashes.ledger.borrow_mut().exonerate(subject, now) {
        let kind = subject.kind();
        log::info!("event=request_cleared digest={subject} kind={kind} held={was_quarantined}");
        notify_owners(context, subject);
    }
    let is_quarantined = context.crashes.is_blamed(subject);
    let has_changed = was_quarantined != is_quarantined;
    if has_changed {
        context.crashes.trials.changed.notify_waiters();
    }
    let is_due = has_changed || (is_new && is_quarantined && subject.is_part());
    if is_due && context.crashes.is_recorded(subject) && is_writer(context) {
        actix_rt::spawn(save(context.clone(), subject));
    }
    is_new
}

/// Merges an update of another process or of the store into the ledger, and returns
/// whether it contained anything new.
fn merge(context: &context::ProcessContext, message: crash_ledger::CrashMessage) -> bool {
    let now = context.clock.now();
    let subject = message.update.subject;
    let mut ledger = context.crashes.ledger.borrow_mut();
    let was_quarantined = ledger.is_quarantined(subject);
    let was_convicted = ledger.is_convicted(subject);
    let is_new = ledger.merge_message(message, now);
    let is_quarantined = ledger.is_quarantined(subject);
    let is_convicted = ledger.is_convicted(subject);
    if was_quarantined != is_quarantined || was_convicted != is_convicted {
        let verdict = ledger.verdict(subject, now);
        log::info!(
            "event=held_elsewhere digest={subject} kind={} verdict=\"{verdict}\" convicted={is_convicted}",
            subject.kind()
        );
    }
    is_new
}

/// Returns whether this process writes records of crashes that other processes have seen.
/// Several processes do so, as the store may refuse one of them.
fn is_writer(context: &context::ProcessContext) -> bool {
    let owners = context.owners();
    let mut writers = owners.iter().take(members::STORE_FOLLOWERS);
    writers.any(|owner| owner.id == *context.id())
}

/// Starts to pull the crash updates of a peer whose ledger differs, at a bounded rate.
/// The pull is a task of its own, so that it does not delay the rest of the heartbeat.
pub(super) fn pull_from(
    context: &rc::Rc<context::ProcessContext>,
    peer: net::SocketAddr,
    heartbeat: &peers::HeartbeatMessage,
) {
    let guard = &context.crashes;
    let is_due = context.clock.now() >= guard.next_pull_at.get();
    if is_due && heartbeat.crashes != guard.state_digest() {
        let id = heartbeat.id.clone();
        actix_rt::spawn(pull_updates(context.clone(), peer, id));
    }
}

async fn pull_updates(
    context: rc::Rc<context::ProcessContext>,
    peer: net::SocketAddr,
    id: ids::InstanceId,
) {
    let guard = &context.crashes;
    let Some(_pull) = guard.flight.begin() else {
        return;
    };
    context.links.try_connect(peer).await;
    let is_new = match context.links.crashes(peer, PULL_TIMEOUT).await {
        Ok(all) => {
            let new = all
                .into_iter()
                .filter(|message| apply_update(&context, message.clone()));
            let count = new.count();
            log::info!("event=crashes_from_peer peer={id} new={count}");
            count > 0
        }
        Err(e) => {
            log::info!("event=peer_crashes_missing peer={id} why=\"{e}\"");
            false
        }
    };
    let empty_pulls = if is_new {
        0
    } else {
        guard.empty_pulls.get() + 1
    };
    guard.empty_pulls.set(empty_pulls);
    let delay = retry::backoff_delay(empty_pulls, &PULL_BACKOFF, &mut rand::rng());
    guard.next_pull_at.set(context.clock.now() + delay);
}

/// Removes expired entries from the ledger. The first owner also removes their records
/// from the store.
pub(super) fn expire(context: &rc::Rc<context::ProcessContext>) {
    let now = context.clock.now();
    let expired = context.crashes.ledger.borrow_mut().expire(now);
    let metrics = &context.metrics;
    for (of_parts, gauge) in [
        (false, &metrics.quarantined_requests),
        (true, &metrics.quarantined_parts),
    ] {
        let (suspected, convicted) = context.crashes.ledger.borrow().suspect_counts(of_parts);
        let suspected_gauge = gauge.with_label_values(&["suspected"]);
        suspected_gauge.set(suspected as i64);
        let convicted_gauge = gauge.with_label_values(&["convicted"]);
        convicted_gauge.set(convicted as i64);
    }
    let owners = context.owners();
    let is_first = owners.first().is_some_and(|o| o.id == *context.id());
    for subject in expired {
        log::info!("event=request_freed digest={subject}");
        if is_first {
            actix_rt::spawn(remove(context.clone(), subject));
        }
    }
}

fn record_key(subject: ids::CrashSubject) -> String {
    format!("{QUARANTINE_KIND}/{subject}")
}

/// Writes the record of a request to the store, again if it changes during the write.
async fn save(context: rc::Rc<context::ProcessContext>, subject: ids::CrashSubject) {
    let saving = &context.crashes.saving;
    if !saving.borrow_mut().insert(subject) {
        return;
    }
    let mut written = None;
    for attempt in 0..MAX_SAVE_ATTEMPTS {
        let now = context.clock.now();
        let Some(message) = context.crashes.message_of(subject, now) else {
            break;
        };
        let update = &message.update;
        let counts = (
            update.crashes.len(),
            update.cleared.len(),
            message.trials.len(),
        );
        // Another crash may have been recorded during the last write.
        if written == Some(counts) {
            break;
        }
        match write(&context, message).await {
            Ok(()) => written = Some(counts),
            Err(e) => {
                log::info!("event=held_request_unwritten digest={subject} why=\"{e}\"");
                let delay = retry::backoff_delay(attempt, &SAVE_BACKOFF, &mut rand::rng());
                actix_rt::time::sleep(delay).await;
            }
        }
    }
    saving.borrow_mut().remove(&subject);
}

async fn write(
    context: &context::ProcessContext,
    message: crash_ledger::CrashMessage,
) -> store::StoreResult<()> {
    let crash_ledger::CrashMessage { update, trials } = message;
    let key = record_key(update.subject);
    let age = update.age.as_millis() as u64;
    let record = QuarantineRecord {
        crashes: update.crashes,
        cleared: update.cleared,
        trials,
        last_ms: clock::epoch_ms().saturating_sub(age),
    };
    let value = store::encode(&record);
    let always = store::WriteCondition::Always;
    let written = context.store.put(CallClass::Commit, &key, value, always);
    written.await.map(drop)
}

async fn remove(context: rc::Rc<context::ProcessContext>, subject: ids::CrashSubject) {
    let always = store::WriteCondition::Always;
    let key = record_key(subject);
    let removed = context.store.remove(CallClass::Control, &key, always);
    if let Err(e) = removed.await {
        log::info!("event=held_request_left digest={subject} why=\"{e}\"");
    }
}

/// Reads the records of quarantined requests and parts from the store, at the start or while no
/// dispatcher is in reach.
///
/// Gateways pull them from dispatchers, and read the store only if there is no dispatcher.
pub(super) async fn read_quarantined(context: rc::Rc<context::ProcessContext>) {
    let is_gateway = context.options.member.role == members::MemberRole::Gateway;
    if is_gateway {
        actix_rt::time::sleep(PEER_SYNC_TIME).await;
    }
    for attempt in 0.. {
        let now = context.clock.now();
        let receives_from_dispatcher = !context.members.borrow().live_dispatchers(now).is_empty();
        if is_gateway && receives_from_dispatcher {
            return;
        }
        let prefix = format!("{QUARANTINE_KIND}/");
        match store::list_all(context.store.as_ref(), &prefix).await {
            Ok(records) => {
                log::info!("event=held_requests_listed count={}", records.len());
                for change in records {
                    apply_record(&context, &prefix, change);
                }
                return;
            }
            Err(e) => log::info!("event=held_requests_unread why=\"{e}\""),
        }
        let delay = retry::backoff_delay(attempt, &READ_BACKOFF, &mut rand::rng());
        actix_rt::time::sleep(delay).await;
    }
}

/// Reads the records from the store if no dispatcher is in reach: what other processes know may
/// be found nowhere else.
fn read_if_isolated(context: &rc::Rc<context::ProcessContext>) {
    let now = context.clock.now();
    let is_gateway = context.options.member.role == members::MemberRole::Gateway;
    let is_isolated = is_gateway && context.members.borrow().live_dispatchers(now).is_empty();
    if !is_isolated || context.crashes.is_reading.replace(true) {
        return;
    }
    let context = context.clone();
    actix_rt::spawn(async move {
        read_quarantined(context.clone()).await;
        context.crashes.is_reading.set(false);
    });
}

/// Applies a record of the store. An unreadable one is logged and skipped.
fn apply_record(
    context: &rc::Rc<context::ProcessContext>,
    prefix: &str,
    change: crate::platform::ObjectChange,
) {
    let name = change.key.strip_prefix(prefix).unwrap_or(&change.key);
    let Some(value) = change.value else { return };
    let subject = name.parse().map_err(|e| format!("invalid name: {e}"));
    let record = serde_json::from_str::<QuarantineRecord>(&value).map_err(|e| e.to_string());
    match subject.and_then(|subject| Ok((subject, record?))) {
        Ok((subject, record)) => {
            let age_ms = clock::epoch_ms().saturating_sub(record.last_ms);
            let update = crash_ledger::CrashUpdate {
                subject,
                crashes: record.crashes,
                cleared: record.cleared,
                age: time::Duration::from_millis(age_ms),
            };
            // The request has been served since, so the record is obsolete.
            if update.count() < crash_ledger::MAX_CRASHES {
                actix_rt::spawn(remove(context.clone(), subject));
            }
            let trials = record.trials;
            merge(context, crash_ledger::CrashMessage { update, trials });
        }
        Err(e) => log::warn!(
            "event=held_request_unreadable key={} why=\"{e}\"",
            change.key
        ),
    }
}
