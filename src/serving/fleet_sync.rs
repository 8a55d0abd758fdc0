//! Synchronises fleet state: members from the store, heartbeats, and newer state from
//! peers.

use std::{collections, net, rc, time};

use super::{
    context, crash_guard, fleet_source, limit_links, members, owners, peer_links, peers, permits,
    state_transfer,
};
use crate::{decisions::call_budget::CallClass, ids, store};

/// Timeout for the members of a peer, and for the next bytes of its list of endpoints.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Interval between two reads of the desired state and the list of endpoints. Together
/// with a probe and a request, a change is known everywhere within a second even if no
/// watch reports it; that is half of the shortest time allowed for it.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(600);

/// Time for which a peer's newer list must differ before this process reads the list
/// again. Its own watch delivers most changes at about the same time.
const DIVERGENCE_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Timeout of a probe; a round trip takes 1 to 4 ms.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Delay before a failed access to the member records is retried.
const MEMBER_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Minimum interval between two requests for the members of a peer.
const MEMBER_FETCH_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Delay between the first read of the members and the first watch. By then, peers that
/// watch the store report changes.
const FIRST_WATCH_DELAY: time::Duration = time::Duration::from_millis(700);

/// Delay after each further watch response, so that records that change shortly after
/// each other, as in a rolling restart, cost one store call. Peers get the changes
/// through probes, so a process that starts becomes known at most a quarter of a second
/// later.
const NEXT_WATCH_DELAY: time::Duration = time::Duration::from_millis(250);

/// Longest duration of one watch of the members.
const MEMBER_WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(25);

/// Registers this process in the store.
pub(super) async fn register(context: rc::Rc<context::ProcessContext>) {
    let key = format!("{}/{}", context::MEMBER_KIND, context.id());
    let own = store::encode(&context.options.member);
    let always = store::WriteCondition::Always;
    while let Err(e) = context
        .store
        .put(CallClass::Control, &key, own.clone(), always)
        .await
    {
        log::warn!("event=member_record_unwritten why=\"{e}\"");
        actix_rt::time::sleep(MEMBER_RETRY_DELAY).await;
    }
}

/// Watches the records of the other processes.
pub(super) async fn watch_members(context: rc::Rc<context::ProcessContext>) {
    let prefix = format!("{}/", context::MEMBER_KIND);
    let mut since = store::ObjectRevision(0);
    while !context.is_stopping() {
        let learns_from_peers = since.0 > 0 && !context.fleet.follows_store();
        if learns_from_peers || !context.fleet.is_reachable() {
            actix_rt::time::sleep(MEMBER_RETRY_DELAY).await;
            continue;
        }
        let response = context.store.watch(&[&prefix], since, MEMBER_WATCH_TIMEOUT);
        let response = tokio::select! {
            response = response => response,
            () = context.fleet.source_recovered() => continue,
        };
        match response {
            Ok(response) => {
                let is_first = since.0 == 0;
                since = store::ObjectRevision(response.revision);
                context.members_known.set(true);
                if !response.changes.is_empty() {
                    let mut members = context.members.borrow_mut();
                    members.advance_revision(response.revision);
                }
                apply_member_changes(&context, &prefix, response.changes);
                context.members_updated.notify_one();
                if is_first {
                    context
                        .fleet
                        .set_start_source(owners::start_source(&context));
                }
                let delay = match is_first {
                    true => FIRST_WATCH_DELAY,
                    false => NEXT_WATCH_DELAY,
                };
                actix_rt::time::sleep(delay).await;
            }
            Err(e) => {
                log::info!("event=members_unread why=\"{e}\"");
                actix_rt::time::sleep(MEMBER_RETRY_DELAY).await;
            }
        }
    }
}

/// Number of member changes up to which each is logged. More come at a start, or from all
/// processes at once when power returns; hundreds of lines would displace the log lines
/// about requests of that second.
const MAX_MEMBER_LINES: usize = 8;

fn apply_member_changes(
    context: &rc::Rc<context::ProcessContext>,
    prefix: &str,
    changes: Vec<crate::platform::ObjectChange>,
) {
    let level = match changes.len() > MAX_MEMBER_LINES {
        true => log::Level::Debug,
        false => log::Level::Info,
    };
    if level == log::Level::Debug {
        log::info!("event=members_changed count={}", changes.len());
    }
    for change in changes {
        apply_member_change(context, prefix, change, level);
    }
}

fn apply_member_change(
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
            members.upsert(record);
        }
        Err(e) => log::warn!("event=member_unreadable instance={name} why=\"{e}\""),
    }
}

/// Number of further peers that a process without any live dispatcher probes per round.
const SEARCH_WINDOW: usize = 16;

/// Number of rounds between two probes of a dispatcher by a gateway of a large fleet.
const GATEWAY_ROUNDS: usize = 2;

/// In a large fleet, one of so many probes exchanges the beats of all dispatchers.
const BEAT_EXCHANGE_PERIOD: usize = 3;

/// Probes a bounded subset of the dispatchers, whose heartbeats also tell of the others. A
/// process without any live dispatcher searches for one, and a gateway for a relay, among
/// all peers in turn.
pub(super) async fn probe_peers(context: rc::Rc<context::ProcessContext>) {
    let mut round = 0_usize;
    loop {
        let is_large = context.members.borrow().is_large();
        for (number, record) in probe_targets(&context, round).into_iter().enumerate() {
            let wants_beats = !is_large || (number + round).is_multiple_of(BEAT_EXCHANGE_PERIOD);
            actix_rt::spawn(probe(context.clone(), record, wants_beats));
        }
        round = round.wrapping_add(1);
        // New peers are probed at once: after a start this process knows no owners until
        // they have responded.
        tokio::select! {
            () = actix_rt::time::sleep(members::PROBE_INTERVAL) => {}
            () = context.members_updated.notified() => {}
        }
    }
}

/// Returns the peers to probe in a round.
fn probe_targets(context: &context::ProcessContext, round: usize) -> Vec<members::MemberRecord> {
    let subset = context.subset();
    let now = context.clock.now();
    let members = context.members.borrow();
    let is_gateway = context.options.member.role == members::MemberRole::Gateway;
    let rounds = match is_gateway && members.is_large() {
        true => GATEWAY_ROUNDS,
        false => 1,
    };
    let subset = subset.iter().enumerate();
    let due = subset.filter(|(n, id)| (n + round).is_multiple_of(rounds) || !members.was_heard(id));
    let mut targets: collections::BTreeSet<ids::InstanceId> =
        due.map(|(_, id)| id.clone()).collect();
    // A holder of permits or a depositor of shares must be heard.
    let mut granted_at = context.granted_at.borrow_mut();
    granted_at.retain(|_, at| now.since(*at) < permits::PERMIT_TTL);
    targets.extend(granted_at.keys().cloned());
    if context.fleet.table().workspaces().is_required() {
        let shares = context.shares.borrow();
        targets.extend(shares.quota_servers().iter().cloned());
    }
    if members.live_dispatchers(now).is_empty() {
        targets.extend(search_window(&members, is_gateway, round));
    }
    targets.remove(context.id());
    let records = targets.iter().filter_map(|id| members.record_of(id));
    records.cloned().collect()
}

/// Returns the part of all peers that is searched in a round: of the dispatchers, or for a
/// gateway of all processes.
fn search_window(
    members: &members::MemberTable,
    is_gateway: bool,
    round: usize,
) -> Vec<ids::InstanceId> {
    let records = members.records();
    let candidates = records.filter(|r| is_gateway || r.role == members::MemberRole::Dispatcher);
    let candidates: Vec<_> = candidates.map(|r| &r.id).collect();
    let skipped = (round * SEARCH_WINDOW) % candidates.len().max(1);
    let window = candidates.iter().cycle().skip(skipped);
    let window = window.take(SEARCH_WINDOW.min(candidates.len()));
    window.map(|id| (*id).clone()).collect()
}

async fn probe(
    context: rc::Rc<context::ProcessContext>,
    record: members::MemberRecord,
    wants_beats: bool,
) {
    context.links.try_connect(record.address).await;
    let mut heartbeat = context.heartbeat_for(wants_beats);
    heartbeat.wants_beats = wants_beats;
    let deposit = limit_links::add_deposit(&context, &record.id, &mut heartbeat);
    let response = context
        .links
        .probe(record.address, heartbeat, PROBE_TIMEOUT)
        .await;
    limit_links::settle_deposit(&context, deposit, &response);
    match response {
        Ok(heartbeat) if heartbeat.id == record.id => {
            limit_links::record_stamp(&context, &heartbeat);
            receive_heartbeat(&context, &heartbeat);
            crash_guard::pull_from(&context, record.address, &heartbeat);
            catch_up(&context, record.address, &heartbeat).await;
        }
        Ok(heartbeat) => log::warn!(
            "event=peer_differs listed={} found={}",
            record.id,
            heartbeat.id
        ),
        Err(e) => {
            let now = context.clock.now();
            context.members.borrow_mut().record_failure(&record.id, now);
            if e == peer_links::PeerError::TimedOut {
                context.links.close_if_silent(record.address);
            }
        }
    }
}

/// Handles a probe from a peer.
pub(super) fn receive_probe(
    context: &rc::Rc<context::ProcessContext>,
    heartbeat: &peers::HeartbeatMessage,
) {
    receive_heartbeat(context, heartbeat);
    limit_links::credit_deposit(context, heartbeat);
    start_state_transfer(context, heartbeat.address, heartbeat);
    crash_guard::pull_from(context, heartbeat.address, heartbeat);
    if should_fetch_endpoints(context, heartbeat) {
        let (context, heartbeat) = (context.clone(), heartbeat.clone());
        actix_rt::spawn(
            async move { fetch_endpoints(&context, heartbeat.address, &heartbeat).await },
        );
    }
}

/// Returns whether to request the list of endpoints from a peer that probes this process.
/// A process that the store rejects may itself probe no peer that watches the store.
fn should_fetch_endpoints(
    context: &context::ProcessContext,
    heartbeat: &peers::HeartbeatMessage,
) -> bool {
    !context.fleet.is_following() && has_newer_endpoints(context, heartbeat)
}

/// Returns whether a peer has a list of endpoints that is newer and different.
fn has_newer_endpoints(
    context: &context::ProcessContext,
    heartbeat: &peers::HeartbeatMessage,
) -> bool {
    let fleet = &context.fleet;
    heartbeat.digest != fleet.digest() && heartbeat.revision > fleet.revision()
}

fn receive_heartbeat(context: &context::ProcessContext, heartbeat: &peers::HeartbeatMessage) {
    let change = record_heartbeat(context, heartbeat);
    if change == members::RunChange::Restarted {
        log::info!(
            "event=peer_restarted peer={} run={}",
            heartbeat.id,
            heartbeat.run
        );
    }
    if change != members::RunChange::Unchanged {
        owners::release_ended(context);
    }
    if heartbeat.evacuations.revision > context.fleet.evacuations().revision {
        let evacuations = heartbeat.evacuations.clone();
        let update = fleet_source::FleetUpdate::Evacuations(evacuations);
        context.fleet.apply(update);
    }
}

/// Records the state that a peer reports in its heartbeat.
fn record_heartbeat(
    context: &context::ProcessContext,
    heartbeat: &peers::HeartbeatMessage,
) -> members::RunChange {
    let now = context.clock.now();
    let state = members::PeerHeartbeat {
        run: heartbeat.run,
        leaving: heartbeat.leaving,
        hears_dispatchers: heartbeat.hears_dispatchers,
        follows_store: heartbeat.follows_store,
        version: heartbeat.version,
    };
    let mut members = context.members.borrow_mut();
    members.record_beats(&heartbeat.id, heartbeat.member_beats(), now);
    let change = members.record_heartbeat(&heartbeat.id, state, now);
    let reported: context::OwnerSlots = heartbeat.free_slots.iter().cloned().collect();
    let mut free_slots = context.free_slots.borrow_mut();
    match reported.is_empty() {
        true => free_slots.remove(&heartbeat.id),
        false => free_slots.insert(heartbeat.id.clone(), reported),
    };
    change
}

/// Fetches the state of a peer that is newer than that of this process.
async fn catch_up(
    context: &rc::Rc<context::ProcessContext>,
    peer: net::SocketAddr,
    heartbeat: &peers::HeartbeatMessage,
) {
    start_state_transfer(context, peer, heartbeat);
    if !context.fleet.follows_store() {
        fetch_members(context, peer, heartbeat).await;
    }
    // An equal list of this peer does not reset the divergence timer: the lists of other
    // peers may still differ.
    if !has_newer_endpoints(context, heartbeat) {
        return;
    }
    match context.fleet.is_following() {
        true => refresh_diverged(context).await,
        false => fetch_endpoints(context, peer, heartbeat).await,
    }
}

/// Fetches the list of endpoints from a peer, unless a fetch is in progress.
async fn fetch_endpoints(
    context: &context::ProcessContext,
    peer: net::SocketAddr,
    heartbeat: &peers::HeartbeatMessage,
) {
    let Some(_guard) = context.list_request.begin() else {
        return;
    };
    // A connection to a peer that probes this process may not exist yet.
    context.links.try_connect(peer).await;
    let since = context.fleet.list_base();
    match context.links.endpoints(peer, since, FETCH_TIMEOUT).await {
        Ok(update) => {
            count_read(context, "endpoints_taken");
            let (id, revision) = (&heartbeat.id, heartbeat.revision);
            log::info!("event=endpoints_from_peer peer={id} since={since} revision={revision}");
            let update = fleet_source::FleetUpdate::PeerEndpoints(update);
            context.fleet.apply(update);
        }
        Err(e) => {
            count_read(context, "endpoints_missing");
            log::info!(
                "event=peer_endpoints_missing peer={} why=\"{e}\"",
                heartbeat.id
            );
        }
    }
}

/// Counts a fetch of a peer's list by its outcome.
fn count_read(context: &context::ProcessContext, outcome: &str) {
    let reads = &context.metrics.view_reads;
    reads.with_label_values(&[outcome]).inc();
}

/// Starts to fetch the desired state of a peer that has a newer one.
///
/// Over a slow link this may take seconds, so the fetch of a newer list of endpoints does
/// not wait for it.
fn start_state_transfer(
    context: &rc::Rc<context::ProcessContext>,
    peer: net::SocketAddr,
    heartbeat: &peers::HeartbeatMessage,
) {
    if heartbeat.version > context.fleet.table().version() {
        actix_rt::spawn(state_transfer::fetch(context.clone(), peer));
    }
}

/// Fetches the member records of a peer that has newer ones.
async fn fetch_members(
    context: &context::ProcessContext,
    peer: net::SocketAddr,
    heartbeat: &peers::HeartbeatMessage,
) {
    let own = &context.options.member;
    let now = context.clock.now();
    let is_recent = |at| now.since(at) < MEMBER_FETCH_INTERVAL;
    let has_newer = {
        let members = context.members.borrow();
        let is_newer = heartbeat.members_revision > members.revision();
        is_newer && heartbeat.members != members.digest(own)
    };
    if !has_newer || context.members_requested_at.get().is_some_and(is_recent) {
        return;
    }
    context.members_requested_at.set(Some(now));
    match context.links.members(peer, FETCH_TIMEOUT).await {
        Ok(mut records) => {
            log::info!(
                "event=members_from_peer peer={} count={}",
                heartbeat.id,
                records.len()
            );
            records.retain(|r| r.id != own.id);
            let now = context.clock.now();
            let mut members = context.members.borrow_mut();
            members.merge(records, now);
            members.advance_revision(heartbeat.members_revision);
            drop(members);
            context.members_known.set(true);
            context.members_updated.notify_one();
        }
        Err(e) => log::info!(
            "event=peer_members_missing peer={} why=\"{e}\"",
            heartbeat.id
        ),
    }
}

/// Reads the list of endpoints again after a peer has had a newer one for
/// [`DIVERGENCE_TIMEOUT`] while the list of this process did not change.
async fn refresh_diverged(context: &context::ProcessContext) {
    let now = context.clock.now();
    let own = context.fleet.revision();
    match context.differing_since.get() {
        Some((since, of)) if of == own && now.since(since) < DIVERGENCE_TIMEOUT => {}
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

/// Reads the state from the store periodically; one process does it for all.
///
/// A watch may miss changes without failing. The other processes receive through probes
/// what is read here.
pub(super) async fn refresh_periodically(context: rc::Rc<context::ProcessContext>) {
    use fleet_source::RefreshKind as K;

    loop {
        actix_rt::time::sleep(REFRESH_INTERVAL).await;
        if !is_refresher(&context) {
            continue;
        }
        for kind in [K::Endpoints, K::State, K::Evacuations] {
            context.source.refresh(kind, context.fleet.clone()).await;
        }
    }
}

/// Returns whether this process reads for all: it is the first owner that watches the
/// store. The first of all owners may have no access to the store.
fn is_refresher(context: &context::ProcessContext) -> bool {
    let owners = context.owners();
    let now = context.clock.now();
    let members = context.members.borrow();
    let mut followers = owners
        .iter()
        .filter(|owner| match owner.id == *context.id() {
            true => context.fleet.is_following(),
            false => members.is_live_follower(&owner.id, now),
        });
    followers.next().is_some_and(|o| o.id == *context.id())
}
