//! Computes the owners of endpoints and jobs, and expires outdated state periodically.

use std::{collections, rc, time};

use super::{
    context, crash_guard, crash_trials, directory, fleet_model, job_checkpoints, limit_links,
    loop_delay, members, origin_exchange, slot_grants,
};
use crate::{
    clock,
    decisions::{cold_start, ownership, peer_subset},
    ids, protection,
};

/// Interval between two checks for outdated state.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Interval between two checks of the orders to empty an instance.
///
/// Also the minimum time that the peers have to learn that it is draining.
const ORDER_POLL_INTERVAL: time::Duration = time::Duration::from_millis(600);

/// Time after the start of a gateway during which it owns nothing.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(3);

/// Number of ticks between two sweeps of idle connections and expired entries.
const SWEEP_TICKS: u32 = 20;

/// Empties this instance when ordered to, and reports lost instances as emptied.
pub(super) async fn follow_orders(context: rc::Rc<context::ProcessContext>) {
    let mut reported = collections::BTreeSet::new();
    loop {
        actix_rt::time::sleep(ORDER_POLL_INTERVAL).await;
        for id in context.fleet.retiring() {
            if reported.contains(&id) {
                continue;
            }
            if is_emptied(&context, &id) && context.source.report_emptied(id.clone()).await {
                log::info!("event=retirement_answered instance={id}");
                reported.insert(id);
            }
        }
    }
}

/// Returns whether an instance that is to be emptied has no active work left.
///
/// Durable state is in the store, so only active work counts. For a lost instance, the
/// first of the owners decides.
fn is_emptied(context: &context::ProcessContext, id: &ids::InstanceId) -> bool {
    if id == context.id() {
        let was_retiring = context.retiring.replace(true);
        return was_retiring && context.jobs.is_drained() && context.permits.borrow().is_empty();
    }
    let is_lost = context.members.borrow().is_lost(id, context.clock.now());
    let is_first = context
        .owners()
        .first()
        .is_some_and(|o| o.id == *context.id());
    is_lost && is_first && is_settled(context)
}

/// Refreshes the owners and expires directory entries, idle connections and permits, until
/// the process stops.
pub(super) async fn tick(context: rc::Rc<context::ProcessContext>) {
    let mut changes = context.fleet.subscribe();
    let mut ticks = 0_u32;
    loop {
        ticks = ticks.wrapping_add(1);
        context.jobs.record_activity();
        context.fleet.expire();
        forget_ended_runs(&context);
        context.permits.borrow_mut().reopen(context.clock.now());
        expire_doubts(&context);
        refresh_owners(&context);
        slot_grants::refresh(&context);
        origin_exchange::share_mixed(&context);
        origin_exchange::note_versions(&context);
        if ticks.is_multiple_of(SWEEP_TICKS) {
            let now = context.clock.now();
            context.pool.sweep();
            expire_permits(&context, now);
            crash_guard::expire(&context);
            crash_trials::expire(&context);
            limit_links::forget_idle(&context);
            origin_exchange::sweep(&context);
            context.members.borrow_mut().expire_beats(now);
            release_ended(&context);
            slot_grants::forget_ended(&context);
            let directory = context.fleet.directory.borrow();
            let listed = |id: &ids::EndpointId| directory.usable(id).is_some();
            context.loads.borrow_mut().retain(listed);
            let listed = |id: &ids::EndpointId| directory.entry(id).is_some();
            context.unlisted_starts.borrow_mut().expire(now, listed);
        }
        let wakeup = loop_delay::ExpectedWakeup::after(&context, TICK_INTERVAL);
        tokio::select! {
            () = actix_rt::time::sleep(TICK_INTERVAL) => {}
            changed = changes.changed() => if changed.is_err() { return },
        }
        wakeup.report(&context);
    }
}

/// Ends the doubt about endpoints without a further failure or sign of life for long.
fn expire_doubts(context: &context::ProcessContext) {
    let now = context.clock.now();
    context.loads.borrow_mut().doubts.take_expired(now);
    for endpoint in context.permits.borrow_mut().take_expired_doubts(now) {
        log::info!("event=endpoint_trusted endpoint={endpoint} sign=none");
    }
}

/// Discards loads, health and connections of endpoints that have restarted.
///
/// The new run has no requests yet, and connections to the old one are dead.
fn forget_ended_runs(context: &context::ProcessContext) {
    let ended = context.fleet.directory.borrow_mut().take_ended_runs();
    for run in ended {
        log::info!(
            "event=endpoint_restarted endpoint={} address={}",
            run.id,
            run.address
        );
        context.loads.borrow_mut().forget(&run.id);
        context.pool.close_idle(run.address);
    }
}

/// Delay, for each place in the order of owners beyond the first sixteen, after which a
/// process follows the store because nobody else does.
const FOLLOW_DELAY_STEP: time::Duration = time::Duration::from_millis(20);

/// Number of owners, and of all processes in a small fleet, that follow the store at once if
/// nobody else does.
const PROMPT_FOLLOWERS: usize = 16;

/// Returns whether this process follows the store.
///
/// The first few owners do. Others do if no live peer does: in a large fleet after a delay
/// by their place, as the store could not serve all of them at once.
fn is_follower(context: &context::ProcessContext, now: clock::MonotonicTime) -> bool {
    if !may_act(context) {
        return false;
    }
    let members = context.members.borrow();
    let place = match members.is_large() && !is_settled(context) {
        true => listed_place(context, &members),
        false => {
            let owners = context.owners();
            owners.iter().position(|o| o.id == *context.id())
        }
    };
    if place.is_some_and(|place| place < members::STORE_FOLLOWERS) {
        return true;
    }
    if members.has_live_follower(now) {
        context.unfollowed_since.set(None);
        return false;
    }
    let since = context.unfollowed_since.get().unwrap_or(now);
    context.unfollowed_since.set(Some(since));
    let place = match place {
        Some(place) => place,
        None if !members.is_large() => 0,
        None => members.len() + place_among(context.id(), members.len()),
    };
    let delay = FOLLOW_DELAY_STEP * place.saturating_sub(PROMPT_FOLLOWERS) as u32;
    now.since(since) >= delay
}

/// Returns whether this process may act on the members that it knows: it has received them,
/// or has waited for so long that it acts without them.
///
/// One that knows no members yet may be one of a thousand that have started together.
pub(super) fn may_act(context: &context::ProcessContext) -> bool {
    context.members_known.get() || context.age() >= peer_subset::member_timeout(context.id())
}

/// Decides where this process gets its first list of endpoints from if the store has not
/// sent the whole list of members in time.
fn expire_member_wait(context: &context::ProcessContext) {
    let timeout = peer_subset::member_timeout(context.id());
    if context.fleet.has_start_source() || context.age() < timeout {
        return;
    }
    let source = start_source(context);
    log::warn!(
        "event=members_unknown listed={} age_ms={} outcome={source:?}",
        context.members.borrow().len(),
        context.age().as_millis()
    );
    context.fleet.set_start_source(source);
}

/// Returns whether this is one of the few dispatchers that read the store for all others of a
/// large fleet.
pub(super) fn is_first_listed(context: &context::ProcessContext) -> bool {
    let now = context.clock.now();
    let members = context.members.borrow();
    let dispatchers = members.dispatchers();
    let before = dispatchers.iter().filter(|d| d.id < *context.id());
    // Those that are lost leave their place to the next ones once this process knows it.
    let is_counted = |id: &ids::InstanceId| !is_settled(context) || !members.is_lost(id, now);
    let place = before.filter(|d| is_counted(&d.id)).count();
    place < members::STORE_FOLLOWERS
}

/// Returns where this process gets its first list of endpoints from.
pub(super) fn start_source(context: &context::ProcessContext) -> fleet_model::StartSource {
    let is_dispatcher = context.options.member.role == members::MemberRole::Dispatcher;
    let reads_for_all = is_dispatcher && is_first_listed(context);
    let members = context.members.borrow();
    match members.is_large() && !reads_for_all {
        true => fleet_model::StartSource::Peers {
            timeout: peer_subset::list_timeout(context.id(), members.len()),
        },
        false => fleet_model::StartSource::Store,
    }
}

/// Returns the place of this dispatcher among those listed. A process that has just started
/// has received few heartbeats, and would count itself among the first.
fn listed_place(
    context: &context::ProcessContext,
    members: &members::MemberTable,
) -> Option<usize> {
    if context.options.member.role != members::MemberRole::Dispatcher {
        return None;
    }
    let dispatchers = members.dispatchers();
    let before = dispatchers.iter().filter(|d| d.id < *context.id());
    Some(before.count())
}

/// Returns a place among a number of processes that is the same at each call.
fn place_among(id: &ids::InstanceId, count: usize) -> usize {
    let weight = ownership::weight(id.as_str(), "followers");
    (weight % count.max(1) as u64) as usize
}

/// Returns whether the process has run for long enough to have received heartbeats from
/// all live peers.
fn is_settled(context: &context::ProcessContext) -> bool {
    context.age() > SETTLE_TIME
}

/// Releases slots that were held for longer than any request may take.
fn expire_permits(context: &context::ProcessContext, now: clock::MonotonicTime) {
    let expired = context.permits.borrow_mut().expire(now);
    for (endpoint, holder) in &expired {
        log::warn!("event=place_expired endpoint={endpoint} holder={holder}");
    }
    if !expired.is_empty() {
        context.jobs.work.notify_one();
    }
}

/// Releases what is held by processes that sent no heartbeat for a while, or by earlier
/// runs of processes that have restarted.
pub(super) fn release_ended(context: &context::ProcessContext) {
    let now = context.clock.now();
    let members = context.members.borrow();
    let has_ended =
        |holder: &ids::InstanceRun| *holder != context.run && members.has_ended(holder, now);
    let released = context.permits.borrow_mut().release_ended(has_ended);
    if released > 0 {
        log::info!("event=places_released count={released} why=\"the holders ended\"");
        slot_grants::refresh(context);
        context.jobs.work.notify_one();
    }
}

/// Recomputes the owners, and updates or notifies the tasks that depend on them.
pub(super) fn refresh_owners(context: &rc::Rc<context::ProcessContext>) {
    let now = context.clock.now();
    let own = (!context.is_leaving()).then_some(&context.options.member);
    // A gateway that has just started has no heartbeats of the dispatchers yet, or does not
    // know them as the store was unreachable: it would run all their jobs again.
    let may_own = is_settled(context) && context.members_known.get();
    let own = own.filter(|m| m.role == members::MemberRole::Dispatcher || may_own);
    let owners = context.members.borrow().owners(own, now);
    let changed = **context.owners.borrow() != owners;
    if changed {
        let names: Vec<_> = owners.iter().map(|o| o.id.as_str()).collect();
        log::info!("event=owners now=\"{}\"", names.join(","));
        for lost in context.owners().iter().filter(|o| !owners.contains(o)) {
            context.free_slots.borrow_mut().remove(&lost.id);
        }
        let known = context.owners();
        let is_new =
            |owner: &ownership::OwnerCandidate| owner.id != *context.id() && !known.contains(owner);
        if owners.iter().any(is_new) {
            // It, or its side of a cut, may have run the jobs of this process.
            context.jobs.doubt_copies("owner_joined");
        }
        *context.owners.borrow_mut() = rc::Rc::new(owners);
    }
    limit_links::update_quota_servers(context);
    expire_member_wait(context);
    let follows_store = is_follower(context, now);
    if !follows_store && context.members_known.get() {
        context.fleet.record_reliance();
    }
    context.fleet.set_follows_store(follows_store);
    let change_number = Some(context.fleet.change_number());
    if context.owned_change_number.replace(change_number) != change_number || changed {
        refresh_owned(context, changed);
    }
    if changed {
        job_checkpoints::hand_off_moved(context);
        context.jobs.owners_changed.notify_one();
    }
}

/// Updates which of the listed endpoints this process owns: of all endpoints if the owners
/// have changed, otherwise of those that have changed.
fn refresh_owned(context: &rc::Rc<context::ProcessContext>, owners_changed: bool) {
    let reassessed = context.fleet.directory.borrow_mut().take_reassessed();
    let directory = context.fleet.directory.borrow();
    let candidates = context.owners();
    let owners = ownership::OwnerIndex::new(&candidates);
    let may_own = owners.contains(context.id());
    let is_owned = |entry: &&rc::Rc<directory::EndpointEntry>| {
        may_own && owners.is_owner(context.id(), &entry.id, &entry.domain)
    };
    let mut permits = context.permits.borrow_mut();
    let dropped = match owners_changed {
        true if may_own => {
            let owned: Vec<_> = directory.all_usable().filter(is_owned).cloned().collect();
            permits.set_owned(&owned)
        }
        true => permits.set_owned(&[]),
        false => {
            let mut dropped = Vec::new();
            for id in reassessed {
                let owned = directory.usable(&id).filter(is_owned);
                if permits.update_owned(&id, owned) {
                    dropped.push(id);
                }
            }
            dropped
        }
    };
    permits.set_unverified(|id| directory.is_unverified(id));
    let table = context.fleet.table();
    permits.set_cold(|entry| {
        if protection::is_disabled("cold_limit") {
            return None;
        }
        let rate = table.service(&entry.service)?.cold_rate;
        cold_start::ColdLimit::new(directory.cold_until(entry)?, rate)
    });
    drop(permits);
    drop(directory);
    for endpoint in &dropped {
        context.jobs.preempt_owned(endpoint);
    }
    slot_grants::refresh(context);
    context.jobs.work.notify_one();
}
