//! Works out who owns endpoints and jobs, and looks at all that has an age.

use std::{collections, rc, time};

use super::{context, crash_guard, job_checkpoints, limit_links, members};
use crate::{clock, decisions::ownership, ids};

/// How often views with an age are looked at.
const TICK: time::Duration = time::Duration::from_millis(50);

/// How often orders to empty an instance are looked at; also the least time in
/// which the peers learn that it is leaving.
const ORDER_LOOK: time::Duration = time::Duration::from_millis(600);

/// Time after its start before a gateway may own anything.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(3);

/// Ticks between two sweeps of idle connections.
const SWEEP_TICKS: u32 = 20;

/// Empties this instance when it is asked to, and answers for instances that are gone.
pub(super) async fn follow_orders(context: rc::Rc<context::ProcessContext>) {
    let mut answered = collections::BTreeSet::new();
    loop {
        actix_rt::time::sleep(ORDER_LOOK).await;
        for id in context.fleet.retiring() {
            if answered.contains(&id) {
                continue;
            }
            if is_emptied(&context, &id) && context.source.report_emptied(id.clone()).await {
                log::info!("event=retirement_answered instance={id}");
                answered.insert(id);
            }
        }
    }
}

/// Whether an instance that is to be emptied holds nothing that is needed.
///
/// What lasts is in the store, so only work under way counts. For an instance
/// that does not answer any more, the first of the owners speaks.
fn is_emptied(context: &context::ProcessContext, id: &ids::InstanceId) -> bool {
    if id == context.id() {
        let told = context.retiring.replace(true);
        return told && context.jobs.is_handed_back() && context.permits.borrow().is_empty();
    }
    let is_lost = context.members.borrow().is_lost(id, context.clock.now());
    let is_first = context
        .owners()
        .first()
        .is_some_and(|o| o.id == *context.id());
    is_lost && is_first && is_settled(context)
}

/// Looks at what has an age: owners, expired entries, idle connections, permits.
pub(super) async fn tick(context: rc::Rc<context::ProcessContext>) {
    let mut changes = context.fleet.subscribe();
    let mut ticks = 0_u32;
    loop {
        ticks = ticks.wrapping_add(1);
        context.fleet.expire();
        forget_ended_runs(&context);
        context.permits.borrow_mut().reopen(context.clock.now());
        refresh_owners(&context);
        if ticks.is_multiple_of(SWEEP_TICKS) {
            let now = context.clock.now();
            context.pool.sweep();
            expire_permits(&context, now);
            crash_guard::expire(&context);
            limit_links::forget_idle(&context);
            release_ended(&context);
            let directory = context.fleet.directory.borrow();
            let listed = |id: &ids::EndpointId| directory.usable(id).is_some();
            context.loads.borrow_mut().retain(listed);
        }
        tokio::select! {
            () = actix_rt::time::sleep(TICK) => {}
            changed = changes.changed() => if changed.is_err() { return },
        }
    }
}

/// Forgets what was learned of runs of endpoints that ended, as they started again:
/// the new run has no requests, and no connection of the old one brings anything.
fn forget_ended_runs(context: &context::ProcessContext) {
    let ended = context.fleet.directory.borrow_mut().take_ended_runs();
    for run in ended {
        log::info!(
            "event=endpoint_restarted endpoint={} address={}",
            run.id,
            run.address
        );
        context.loads.borrow_mut().forget(&run.id);
        context.pool.forget(run.address);
    }
}

/// Whether this process follows the store: the first few owners do, and any
/// that hears none who does.
fn is_follower(context: &context::ProcessContext, now: clock::MonotonicTime) -> bool {
    let owners = context.owners();
    let mut first = owners.iter().take(members::STORE_FOLLOWERS);
    first.any(|o| o.id == *context.id()) || !context.members.borrow().has_live_follower(now)
}

/// Whether the process runs for long enough to have heard its live peers.
fn is_settled(context: &context::ProcessContext) -> bool {
    context.age() > SETTLE_TIME
}

/// Ends places that nobody gave back for longer than any request may take.
fn expire_permits(context: &context::ProcessContext, now: clock::MonotonicTime) {
    let expired = context.permits.borrow_mut().expire(now);
    for (endpoint, holder) in &expired {
        log::warn!("event=place_expired endpoint={endpoint} holder={holder}");
    }
    if !expired.is_empty() {
        context.jobs.work.notify_one();
    }
}

/// Ends what processes hold that have not been heard for a while, or held before they
/// started again.
pub(super) fn release_ended(context: &context::ProcessContext) {
    let now = context.clock.now();
    let members = context.members.borrow();
    let has_ended =
        |holder: &ids::InstanceRun| *holder != context.run && members.has_ended(holder, now);
    let released = context.permits.borrow_mut().release_ended(has_ended);
    if released > 0 {
        log::info!("event=places_released count={released} why=\"their holders ended\"");
        context.jobs.work.notify_one();
    }
}

/// Works out who owns what, and tells the parts that hang on it.
pub(super) fn refresh_owners(context: &rc::Rc<context::ProcessContext>) {
    let now = context.clock.now();
    let own = (!context.is_leaving()).then_some(&context.options.member);
    // A gateway that has just started has not heard the dispatchers yet, or
    // knows of none as the store was away: it would run all their jobs again.
    let may_own = is_settled(context) && context.members_known.get();
    let own = own.filter(|m| m.role == members::MemberRole::Dispatcher || may_own);
    let owners = context.members.borrow().owners(own, now);
    let changed = **context.owners.borrow() != owners;
    if changed {
        let names: Vec<_> = owners.iter().map(|o| o.id.as_str()).collect();
        log::info!("event=owners now=\"{}\"", names.join(","));
        for lost in context.owners().iter().filter(|o| !owners.contains(o)) {
            context
                .free_slots
                .borrow_mut()
                .retain(|(id, _), _| *id != lost.id);
        }
        *context.owners.borrow_mut() = rc::Rc::new(owners);
    }
    limit_links::follow_keepers(context);
    context.fleet.set_follows_store(is_follower(context, now));
    let change_number = Some(context.fleet.change_number());
    if context.owned_at.replace(change_number) != change_number || changed {
        refresh_owned(context);
    }
    if changed {
        job_checkpoints::hand_over_moved(context);
        context.jobs.owners_changed.notify_one();
    }
}

/// Works out which endpoints this process owns, from all that are listed.
fn refresh_owned(context: &rc::Rc<context::ProcessContext>) {
    let directory = context.fleet.directory.borrow();
    let owners = context.owners();
    let owned = directory.all_usable().filter(|e| {
        let owner = ownership::owner_of(&e.id, &e.domain, &owners);
        owner.is_some_and(|o| o.id == *context.id())
    });
    let owned: Vec<_> = owned.cloned().collect();
    let doubtful = directory.unverified().clone();
    drop(directory);
    let mut permits = context.permits.borrow_mut();
    permits.set_doubtful(doubtful);
    let gone = permits.set_owned(&owned);
    drop(permits);
    for endpoint in &gone {
        context.jobs.preempt_owned(endpoint);
    }
    context.jobs.work.notify_one();
}
