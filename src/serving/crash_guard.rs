//! Keeps requests back that crash endpoint after endpoint, at all processes.
//!
//! Who sees an endpoint end under a request tells the owners at once; the others learn
//! it from them by the probes, within a quarter of a second. What is held back is in
//! the store as well, so that it outlives all processes; it is read at the start.

use std::{cell, collections, net, rc, time};

use super::{context, members, peers, single_flight};
use crate::{
    clock,
    decisions::{call_budget::CallClass, crash_ledger, retry},
    ids, store,
};

/// Kind of the records of requests that are held back.
const HELD_KIND: &str = "held-requests";

/// Longest wait for the next bytes of what a peer knows; a round trip takes 1 to 4 ms.
const PULL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Pauses between two questions to peers that know something else. A crash is to be
/// known everywhere within a second; a peer that knows less than this process brings
/// nothing, and asks in its turn.
const PULL_PACE: retry::DelayRange = retry::DelayRange {
    first: time::Duration::from_millis(50),
    last: time::Duration::from_millis(500),
};

/// Pauses between two tries to write a record while the store is away.
const SAVE_PACE: retry::DelayRange = retry::DelayRange {
    first: time::Duration::from_millis(700),
    last: time::Duration::from_secs(10),
};

/// Tries to write a record, some three minutes in all; others write it at the next crash.
const SAVE_TRIES: u32 = 20;

/// Time after its start in which a gateway hears a dispatcher that has read the records.
const PEER_TIME: time::Duration = time::Duration::from_secs(1);

/// Pauses before the records are read again, while the store is away.
const READ_PACE: retry::DelayRange = SAVE_PACE;

/// A request that is held back, as it lies in the store.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HeldRecord {
    /// Crashes under it.
    pub crashes: collections::BTreeSet<crash_ledger::CrashMark>,
    /// Of these, those that count no more.
    pub cleared: collections::BTreeSet<crash_ledger::CrashMark>,
    /// When the last of them ended, in milliseconds since the epoch.
    pub last_ms: u64,
}

/// What a process keeps for all this.
#[derive(Default)]
pub(super) struct CrashGuard {
    ledger: cell::RefCell<crash_ledger::CrashLedger>,
    /// Requests whose records are on their way to the store.
    saving: cell::RefCell<collections::HashSet<ids::RequestDigest>>,
    flight: single_flight::SingleFlight,
    /// Answers of peers in a row that brought nothing.
    fruitless: cell::Cell<u32>,
    /// When a peer may be asked next.
    ask_at: cell::Cell<clock::MonotonicTime>,
}

impl CrashGuard {
    /// A number that differs for processes that know something else.
    pub(super) fn number(&self) -> u64 {
        self.ledger.borrow().number()
    }

    /// Whether a request is held back by the crashes so far.
    pub(super) fn is_blamed(&self, digest: ids::RequestDigest) -> bool {
        self.ledger.borrow().is_blamed(digest)
    }

    /// Whether any request is held back.
    pub(super) fn has_held(&self) -> bool {
        self.ledger.borrow().has_held()
    }

    /// What is known, for a peer.
    pub(super) fn copy(&self, now: clock::MonotonicTime) -> Vec<crash_ledger::CrashUpdate> {
        self.ledger.borrow().copy(now)
    }
}

/// The same as [`admit`] for a caller's request, which is judged once it is settled.
pub(super) async fn admit_settled(
    context: &context::ProcessContext,
    digest: ids::RequestDigest,
    id: &str,
) -> crash_ledger::CrashVerdict {
    let now = context.clock.now();
    let young = context.crashes.ledger.borrow().settles_in(digest, now);
    if !young.is_zero() {
        actix_rt::time::sleep(young).await;
    }
    admit(context, digest, id)
}

/// Whether a request may be sent to an endpoint now, or only once as a trial.
pub(super) fn admit(
    context: &context::ProcessContext,
    digest: ids::RequestDigest,
    id: &str,
) -> crash_ledger::CrashVerdict {
    let now = context.clock.now();
    let verdict = context.crashes.ledger.borrow_mut().admit(digest, now);
    if verdict != crash_ledger::CrashVerdict::Free {
        log::info!("event=request_held request={id} digest={digest} verdict=\"{verdict}\"");
    }
    verdict
}

/// Notes that an endpoint ended under a request, and tells the others.
pub(super) fn record_crash(
    context: &rc::Rc<context::ProcessContext>,
    run: &crash_ledger::CrashedRun,
) -> crash_ledger::CrashOutcome {
    let now = context.clock.now();
    let outcome = context.crashes.ledger.borrow_mut().record_crash(run, now);
    if let crash_ledger::CrashOutcome::Counted(count) = outcome {
        tell(context, run.digest);
        if count >= crash_ledger::MAX_CRASHES {
            actix_rt::spawn(save(context.clone(), run.digest));
        }
    }
    outcome
}

/// Notes that an endpoint ran a request to its end: it does not crash each that begins it.
pub(super) fn record_served(context: &rc::Rc<context::ProcessContext>, digest: ids::RequestDigest) {
    let now = context.clock.now();
    let mut ledger = context.crashes.ledger.borrow_mut();
    let was_held = ledger.is_blamed(digest);
    let is_cleared = ledger.record_served(digest, now);
    drop(ledger);
    if !is_cleared {
        return;
    }
    log::info!("event=request_cleared digest={digest} held={was_held}");
    tell(context, digest);
    if was_held {
        actix_rt::spawn(save(context.clone(), digest));
    }
}

/// Tells the owners what is known of a request; the others ask them.
fn tell(context: &context::ProcessContext, digest: ids::RequestDigest) {
    let update = context.crashes.ledger.borrow();
    let Some(update) = update.update_of(digest, context.clock.now()) else {
        return;
    };
    let owners = context.owners();
    let others = owners.iter().filter(|owner| owner.id != *context.id());
    for owner in others {
        if let Some(address) = context.members.borrow().address_of(&owner.id) {
            context.links.crash_news(address, update.clone());
        }
    }
}

/// Takes what another process knows of a request; says whether it was new.
///
/// Each of three processes may have seen one crash, and none all three of them: the
/// owners, who are told of each, write down what is held back by all together.
pub(super) fn take(
    context: &rc::Rc<context::ProcessContext>,
    update: crash_ledger::CrashUpdate,
) -> bool {
    let digest = update.digest;
    let was_held = context.crashes.is_blamed(digest);
    let is_new = merge(context, update);
    let now = context.clock.now();
    // Who has just started has seen nothing served, and blames what others know better.
    if context.crashes.ledger.borrow_mut().exonerate(digest, now) {
        log::info!("event=request_cleared digest={digest} held={was_held}");
        tell(context, digest);
    }
    let is_turned = was_held != context.crashes.is_blamed(digest);
    if is_turned && is_writer(context) {
        actix_rt::spawn(save(context.clone(), digest));
    }
    is_new
}

/// Joins what another process, or the store, knows with what is known here; says whether
/// it was new.
fn merge(context: &context::ProcessContext, update: crash_ledger::CrashUpdate) -> bool {
    let now = context.clock.now();
    let digest = update.digest;
    let mut ledger = context.crashes.ledger.borrow_mut();
    let was_held = ledger.is_blamed(digest);
    let is_new = ledger.merge(update, now);
    let is_held = ledger.is_blamed(digest);
    if was_held != is_held {
        let verdict = ledger.verdict(digest, now);
        log::info!("event=held_elsewhere digest={digest} verdict=\"{verdict}\"");
    }
    is_new
}

/// Whether this process is one of those that write down what others have seen: a few,
/// as one may be turned away by the store.
fn is_writer(context: &context::ProcessContext) -> bool {
    let owners = context.owners();
    let mut writers = owners.iter().take(members::STORE_FOLLOWERS);
    writers.any(|owner| owner.id == *context.id())
}

/// Asks a peer that knows something else for what it knows, at a bounded pace; what else
/// its heartbeat brings does not wait for it.
pub(super) fn learn(
    context: &rc::Rc<context::ProcessContext>,
    peer: net::SocketAddr,
    heartbeat: &peers::HeartbeatMessage,
) {
    let guard = &context.crashes;
    let is_due = context.clock.now() >= guard.ask_at.get();
    if is_due && heartbeat.crashes != guard.number() {
        let id = heartbeat.id.clone();
        actix_rt::spawn(send_request(context.clone(), peer, id));
    }
}

async fn send_request(
    context: rc::Rc<context::ProcessContext>,
    peer: net::SocketAddr,
    id: ids::InstanceId,
) {
    let guard = &context.crashes;
    let Some(_flight) = guard.flight.begin() else {
        return;
    };
    context.links.try_connect(peer).await;
    let is_new = match context.links.crashes(peer, PULL_TIMEOUT).await {
        Ok(all) => {
            let new = all
                .into_iter()
                .filter(|update| take(&context, update.clone()));
            let count = new.count();
            log::info!("event=crashes_from_peer peer={id} new={count}");
            count > 0
        }
        Err(e) => {
            log::info!("event=peer_crashes_missing peer={id} why=\"{e}\"");
            false
        }
    };
    let fruitless = if is_new { 0 } else { guard.fruitless.get() + 1 };
    guard.fruitless.set(fruitless);
    let delay = retry::backoff_delay(fruitless, &PULL_PACE, &mut rand::rng());
    guard.ask_at.set(context.clock.now() + delay);
}

/// Forgets what is too old; the first owner removes what lies in the store of it.
pub(super) fn expire(context: &rc::Rc<context::ProcessContext>) {
    let now = context.clock.now();
    let forgotten = context.crashes.ledger.borrow_mut().expire(now);
    let owners = context.owners();
    let is_first = owners.first().is_some_and(|o| o.id == *context.id());
    for digest in forgotten {
        log::info!("event=request_freed digest={digest}");
        if is_first {
            actix_rt::spawn(remove(context.clone(), digest));
        }
    }
}

fn key_of(digest: ids::RequestDigest) -> String {
    format!("{HELD_KIND}/{digest}")
}

/// Writes what is known of a request to the store, with all that came meanwhile.
async fn save(context: rc::Rc<context::ProcessContext>, digest: ids::RequestDigest) {
    let saving = &context.crashes.saving;
    if !saving.borrow_mut().insert(digest) {
        return;
    }
    let mut written = None;
    for earlier in 0..SAVE_TRIES {
        let now = context.clock.now();
        let update = context.crashes.ledger.borrow().update_of(digest, now);
        let Some(update) = update else { break };
        let known = (update.crashes.len(), update.cleared.len());
        // Looked at again, as a crash may have come while the last write was under way.
        if written == Some(known) {
            break;
        }
        match write(&context, update).await {
            Ok(()) => written = Some(known),
            Err(e) => {
                log::info!("event=held_request_unwritten digest={digest} why=\"{e}\"");
                let delay = retry::backoff_delay(earlier, &SAVE_PACE, &mut rand::rng());
                actix_rt::time::sleep(delay).await;
            }
        }
    }
    saving.borrow_mut().remove(&digest);
}

async fn write(
    context: &context::ProcessContext,
    update: crash_ledger::CrashUpdate,
) -> store::StoreResult<()> {
    let key = key_of(update.digest);
    let age = update.age.as_millis() as u64;
    let record = HeldRecord {
        crashes: update.crashes,
        cleared: update.cleared,
        last_ms: clock::epoch_ms().saturating_sub(age),
    };
    let value = store::encode(&record);
    let always = store::WriteCondition::Always;
    let written = context.store.put(CallClass::Commit, &key, value, always);
    written.await.map(drop)
}

async fn remove(context: rc::Rc<context::ProcessContext>, digest: ids::RequestDigest) {
    let always = store::WriteCondition::Always;
    let key = key_of(digest);
    let removed = context.store.remove(CallClass::Control, &key, always);
    if let Err(e) = removed.await {
        log::info!("event=held_request_left digest={digest} why=\"{e}\"");
    }
}

/// Reads what the store has from before the start.
///
/// Gateways learn it from dispatchers, and read it themselves where there is none.
pub(super) async fn read_held(context: rc::Rc<context::ProcessContext>) {
    let is_gateway = context.options.member.role == members::MemberRole::Gateway;
    if is_gateway {
        actix_rt::time::sleep(PEER_TIME).await;
    }
    for earlier in 0.. {
        let now = context.clock.now();
        let hears_dispatcher = !context.members.borrow().live_dispatchers(now).is_empty();
        if is_gateway && hears_dispatcher {
            return;
        }
        let prefix = format!("{HELD_KIND}/");
        match store::list_all(context.store.as_ref(), &prefix).await {
            Ok(found) => {
                log::info!("event=held_requests_listed count={}", found.len());
                for change in found {
                    take_record(&context, &prefix, change);
                }
                return;
            }
            Err(e) => log::info!("event=held_requests_unread why=\"{e}\""),
        }
        let delay = retry::backoff_delay(earlier, &READ_PACE, &mut rand::rng());
        actix_rt::time::sleep(delay).await;
    }
}

/// Takes a record of the store; one that cannot be read holds nothing back.
fn take_record(
    context: &rc::Rc<context::ProcessContext>,
    prefix: &str,
    change: crate::platform::ObjectChange,
) {
    let name = change.key.strip_prefix(prefix).unwrap_or(&change.key);
    let Some(value) = change.value else { return };
    let digest = name.parse().map_err(|e| format!("its name: {e}"));
    let record = serde_json::from_str::<HeldRecord>(&value).map_err(|e| e.to_string());
    match digest.and_then(|digest| Ok((digest, record?))) {
        Ok((digest, record)) => {
            let age_ms = clock::epoch_ms().saturating_sub(record.last_ms);
            let update = crash_ledger::CrashUpdate {
                digest,
                crashes: record.crashes,
                cleared: record.cleared,
                age: time::Duration::from_millis(age_ms),
            };
            // It was served since: nothing hangs on the record any more.
            if update.count() < crash_ledger::MAX_CRASHES {
                actix_rt::spawn(remove(context.clone(), digest));
            }
            merge(context, update);
        }
        Err(e) => log::warn!(
            "event=held_request_unreadable key={} why=\"{e}\"",
            change.key
        ),
    }
}
