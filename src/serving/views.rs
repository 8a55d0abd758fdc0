//! Keeps views up to date: members from the store, heartbeats, news from peers.

use std::{net, rc, time};

use super::{
    context, crash_guard, fleet_source, limit_links, members, owners, peer_links, peers,
    state_transfer,
};
use crate::{decisions::call_budget::CallClass, ids, store};

/// Longest wait for a peer's members, and for the next bytes of its list of endpoints.
const VIEW_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Pause between two readings of the desired state and the list of endpoints;
/// with a probe and a question a change is known everywhere within a second
/// though all watches stay silent, half of the least time that is allowed for it.
const REFRESH_PAUSE: time::Duration = time::Duration::from_millis(600);

/// How long a peer's newer list must differ before the own one is read anew:
/// the own watch brings most changes at the same moment.
const MISSED_AFTER: time::Duration = time::Duration::from_millis(400);

/// Longest wait for the answer to a probe; a round trip takes 1 to 4 ms.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Pause before the store is asked again for the members.
const MEMBER_RETRY: time::Duration = time::Duration::from_millis(500);

/// Least time between two questions for the members.
const MEMBERS_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Pause between the first reading of the members and the first watch: peers
/// that follow the store tell of changes by then.
const FIRST_WATCH_PAUSE: time::Duration = time::Duration::from_millis(700);

/// Pause after each later return of that watch: records that change close together, as
/// in a rolling restart, cost the store one call then. Peers are told of them by
/// probes, so a process that starts is known a quarter of a second later at most.
const NEXT_WATCH_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Longest wait of a watch of the members.
const MEMBER_WAIT: time::Duration = time::Duration::from_secs(25);

/// Shows this process in the store, and follows the records of the others.
pub(super) async fn watch_members(context: rc::Rc<context::ProcessContext>) {
    let key = format!("{}/{}", context::MEMBER_KIND, context.id());
    let own = store::encode(&context.options.member);
    let always = store::WriteCondition::Always;
    while let Err(e) = context
        .store
        .put(CallClass::Control, &key, own.clone(), always)
        .await
    {
        log::warn!("event=member_record_unwritten why=\"{e}\"");
        actix_rt::time::sleep(MEMBER_RETRY).await;
    }
    let prefix = format!("{}/", context::MEMBER_KIND);
    let mut since = store::ObjectRevision(0);
    while !context.is_stopping() {
        let through_peers = since.0 > 0 && !context.fleet.follows();
        if through_peers || !context.fleet.is_reachable() {
            actix_rt::time::sleep(MEMBER_RETRY).await;
            continue;
        }
        let response = context.store.watch(&[&prefix], since, MEMBER_WAIT);
        let response = tokio::select! {
            response = response => response,
            () = context.fleet.source_return() => continue,
        };
        match response {
            Ok(response) => {
                let is_first = since.0 == 0;
                since = store::ObjectRevision(response.revision);
                context.members_known.set(true);
                take_members(&context, &prefix, response.changes);
                context.members_updated.notify_one();
                let delay = match is_first {
                    true => FIRST_WATCH_PAUSE,
                    false => NEXT_WATCH_PAUSE,
                };
                actix_rt::time::sleep(delay).await;
            }
            Err(e) => {
                log::info!("event=members_unread why=\"{e}\"");
                actix_rt::time::sleep(MEMBER_RETRY).await;
            }
        }
    }
}

/// Changes of the members that have a line each. More come at a start, or with all
/// others when power returns: a line for each of hundreds would take the room in the log
/// of what happens to requests in that second.
const LINES_OF_MEMBERS: usize = 8;

fn take_members(
    context: &rc::Rc<context::ProcessContext>,
    prefix: &str,
    changes: Vec<crate::platform::ObjectChange>,
) {
    let level = match changes.len() > LINES_OF_MEMBERS {
        true => log::Level::Debug,
        false => log::Level::Info,
    };
    if level == log::Level::Debug {
        log::info!("event=members_changed count={}", changes.len());
    }
    for change in changes {
        take_member(context, prefix, change, level);
    }
}

fn take_member(
    context: &rc::Rc<context::ProcessContext>,
    prefix: &str,
    change: crate::platform::ObjectChange,
    level: log::Level,
) {
    let name = change.key.strip_prefix(prefix).unwrap_or(&change.key);
    let mut members = context.members.borrow_mut();
    let Some(value) = change.value else {
        if let Ok(id) = name.parse() {
            log::log!(level, "event=member_gone instance={name}");
            members.remove(&id);
        }
        return;
    };
    match serde_json::from_str::<members::MemberRecord>(&value) {
        Ok(record) if record.id == *context.id() => {}
        Ok(record) => {
            let address = record.address;
            log::log!(level, "event=member_listed instance={name} at={address}");
            members.take(record);
        }
        Err(e) => log::warn!("event=member_unreadable instance={name} why=\"{e}\""),
    }
}

/// Probes the processes whose life matters here: dispatchers, or all where there is none.
///
/// The first few owners, which follow the store, are probed at the full pace,
/// the others at one that falls with their number.
pub(super) async fn probe_peers(context: rc::Rc<context::ProcessContext>) {
    let mut round = 0_usize;
    loop {
        for record in probed(&context, round) {
            actix_rt::spawn(probe(context.clone(), record));
        }
        round = round.wrapping_add(1);
        // New peers are probed at once: the first second after a start is spent
        // without owners until they have answered.
        tokio::select! {
            () = actix_rt::time::sleep(members::PROBE_INTERVAL) => {}
            () = context.members_updated.notified() => {}
        }
    }
}

/// The processes that are probed in a round.
fn probed(context: &context::ProcessContext, round: usize) -> Vec<members::MemberRecord> {
    let peers = watched(context);
    let stretch = members::pace_stretch(peers.len()).ceil() as usize;
    let owners = context.owners();
    let followers = &owners[..owners.len().min(members::FOLLOWERS)];
    let shares = context.shares.borrow();
    let quota_servers = shares.quota_servers();
    let is_first =
        |id: &ids::InstanceId| quota_servers.contains(id) || followers.iter().any(|o| o.id == *id);
    let peers = peers.into_iter().enumerate();
    let members = context.members.borrow();
    let due = peers.filter(|(n, record)| {
        let in_turn = (n + round).is_multiple_of(stretch);
        in_turn || is_first(&record.id) || !members.was_heard(&record.id)
    });
    due.map(|(_, record)| record).collect()
}

/// The processes whose life matters here.
fn watched(context: &context::ProcessContext) -> Vec<members::MemberRecord> {
    let members = context.members.borrow();
    let dispatchers: Vec<_> = members
        .records()
        .filter(|r| r.role == members::MemberRole::Dispatcher)
        .cloned()
        .collect();
    let any_live = !members.heard_dispatchers(context.clock.now()).is_empty();
    let own_role = context.options.member.role;
    if any_live || own_role == members::MemberRole::Dispatcher {
        return dispatchers;
    }
    members.records().cloned().collect()
}

async fn probe(context: rc::Rc<context::ProcessContext>, record: members::MemberRecord) {
    context.links.settle(record.address).await;
    let mut hello = context.heartbeat();
    let deposit = limit_links::add_deposit(&context, &record.id, &mut hello);
    let response = context
        .links
        .probe(record.address, hello, PROBE_TIMEOUT)
        .await;
    limit_links::settle_deposit(&context, deposit, &response);
    match response {
        Ok(hello) if hello.id == record.id => {
            limit_links::record_stamp(&context, &hello);
            hear(&context, &hello);
            crash_guard::pull_from(&context, record.address, &hello);
            catch_up(&context, record.address, &hello).await;
        }
        Ok(hello) => log::warn!("event=peer_differs listed={} found={}", record.id, hello.id),
        Err(peer_links::PeerError::TimedOut) => context.links.forget(record.address),
        Err(peer_links::PeerError::Unreachable | peer_links::PeerError::NotSent) => {}
    }
}

/// Takes the heartbeat of a peer that probes this process.
pub(super) fn take_probe(context: &rc::Rc<context::ProcessContext>, hello: &peers::PeerHello) {
    hear(context, hello);
    limit_links::credit_deposit(context, hello);
    learn_state(context, hello.address, hello);
    crash_guard::pull_from(context, hello.address, hello);
    if may_tell_list(context, hello) {
        let (context, hello) = (context.clone(), hello.clone());
        actix_rt::spawn(async move { learn_list(&context, hello.address, &hello).await });
    }
}

/// Whether a peer that probes this process is to be asked for its list: one that
/// the store turns away may probe nobody who follows it.
fn may_tell_list(context: &context::ProcessContext, hello: &peers::PeerHello) -> bool {
    let is_turned_away = !context.fleet.is_following();
    is_turned_away && hello.follows_store && has_newer_list(context, hello)
}

/// Whether a peer has a list of endpoints that is newer than the own one, and another.
fn has_newer_list(context: &context::ProcessContext, hello: &peers::PeerHello) -> bool {
    let fleet = &context.fleet;
    hello.digest != fleet.digest() && hello.revision > fleet.revision()
}

fn hear(context: &context::ProcessContext, hello: &peers::PeerHello) {
    let heard = record_heartbeat(context, hello);
    if heard == members::HeardRun::Next {
        log::info!("event=peer_restarted peer={} run={}", hello.id, hello.run);
    }
    if heard != members::HeardRun::Same {
        owners::release_ended(context);
    }
}

/// Takes what a peer says of itself.
fn record_heartbeat(
    context: &context::ProcessContext,
    hello: &peers::PeerHello,
) -> members::HeardRun {
    let now = context.clock.now();
    let heartbeat = members::PeerHeartbeat {
        run: hello.run,
        leaving: hello.leaving,
        receives_from: hello.receives_from.clone(),
        follows_store: hello.follows_store,
        version: hello.version,
    };
    let mut members = context.members.borrow_mut();
    let heard = members.record_heartbeat(&hello.id, heartbeat, now);
    let mut free_slots = context.free_slots.borrow_mut();
    free_slots.retain(|(id, _), _| *id != hello.id);
    for (service, count) in &hello.free_slots {
        free_slots.insert((hello.id.clone(), service.clone()), *count);
    }
    heard
}

/// Takes views that a peer has newer than this process.
async fn catch_up(
    context: &rc::Rc<context::ProcessContext>,
    peer: net::SocketAddr,
    hello: &peers::PeerHello,
) {
    learn_state(context, peer, hello);
    if !hello.follows_store {
        return;
    }
    if !context.fleet.follows() {
        learn_members(context, peer, hello).await;
    }
    // Says nothing of the lists that other peers have, so it ends no difference.
    if !has_newer_list(context, hello) {
        return;
    }
    match context.fleet.is_following() {
        true => read_missed(context).await,
        false => learn_list(context, peer, hello).await,
    }
}

/// Takes the list of endpoints of a peer, unless another is being asked.
async fn learn_list(
    context: &context::ProcessContext,
    peer: net::SocketAddr,
    hello: &peers::PeerHello,
) {
    let Some(_guard) = context.list_request.begin() else {
        return;
    };
    // Who probes this process need not have been asked anything before.
    context.links.settle(peer).await;
    match context.links.endpoints(peer, VIEW_TIMEOUT).await {
        Ok(copy) => {
            count_read(context, "endpoints_taken");
            let (id, revision) = (&hello.id, copy.revision);
            log::info!("event=endpoints_from_peer peer={id} revision={revision}");
            let update = fleet_source::FleetUpdate::PeerEndpoints(copy);
            context.fleet.take(update);
        }
        Err(e) => {
            count_read(context, "endpoints_missing");
            log::info!("event=peer_endpoints_missing peer={} why=\"{e}\"", hello.id);
        }
    }
}

/// Counts a list that was asked of a peer.
fn count_read(context: &context::ProcessContext, outcome: &str) {
    let reads = &context.metrics.view_reads;
    reads.with_label_values(&[outcome]).inc();
}

/// Begins to fetch the desired state of a peer that has a newer one.
///
/// It may take seconds over a narrow link, and what hangs on a newer list of
/// endpoints does not wait for it.
fn learn_state(
    context: &rc::Rc<context::ProcessContext>,
    peer: net::SocketAddr,
    hello: &peers::PeerHello,
) {
    if hello.version > context.fleet.table().version() {
        actix_rt::spawn(state_transfer::fetch(context.clone(), peer));
    }
}

/// Takes the records of processes from a peer that follows the store.
async fn learn_members(
    context: &context::ProcessContext,
    peer: net::SocketAddr,
    hello: &peers::PeerHello,
) {
    let own = &context.options.member;
    let now = context.clock.now();
    let lately = |at| now.since(at) < MEMBERS_PAUSE;
    let is_known = hello.members == context.members.borrow().digest(own);
    if is_known || context.members_requested_at.get().is_some_and(lately) {
        return;
    }
    context.members_requested_at.set(Some(now));
    match context.links.members(peer, VIEW_TIMEOUT).await {
        Ok(mut records) => {
            log::info!(
                "event=members_from_peer peer={} count={}",
                hello.id,
                records.len()
            );
            records.retain(|r| r.id != own.id);
            let now = context.clock.now();
            context.members.borrow_mut().merge(records, now);
            context.members_updated.notify_one();
        }
        Err(e) => log::info!("event=peer_members_missing peer={} why=\"{e}\"", hello.id),
    }
}

/// Reads the list anew when a peer has had a newer one for a while, in which
/// the own list stayed the same.
async fn read_missed(context: &context::ProcessContext) {
    let now = context.clock.now();
    let own = context.fleet.revision();
    match context.differing_since.get() {
        Some((since, of)) if of == own && now.since(since) < MISSED_AFTER => {}
        Some((_, of)) if of == own => {
            context.differing_since.set(None);
            log::info!("event=endpoints_missed");
            let model = context.fleet.clone();
            let refresh = fleet_source::RefreshKind::Endpoints;
            context.source.refresh(refresh, model).await;
        }
        _ => context.differing_since.set(Some((now, own))),
    }
}

/// Reads the views anew at a steady pace, on one process for all.
///
/// A watch may stay silent without being cut; the others learn of what is
/// found here by the probes.
pub(super) async fn refresh_views(context: rc::Rc<context::ProcessContext>) {
    use fleet_source::RefreshKind as K;

    loop {
        actix_rt::time::sleep(REFRESH_PAUSE).await;
        if !is_reader(&context) {
            continue;
        }
        for kind in [K::Endpoints, K::State] {
            context.source.refresh(kind, context.fleet.clone()).await;
        }
    }
}

/// Whether this process reads for all: the first of the owners that follow the
/// store, as the first of all may be cut off from it.
fn is_reader(context: &context::ProcessContext) -> bool {
    let owners = context.owners();
    let now = context.clock.now();
    let members = context.members.borrow();
    let mut followers = owners
        .iter()
        .filter(|owner| match owner.id == *context.id() {
            true => context.fleet.is_following(),
            false => members.follows(&owner.id, now),
        });
    followers.next().is_some_and(|o| o.id == *context.id())
}
