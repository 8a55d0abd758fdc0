//! Handles heartbeats, fetches newer state from peers, and reads the store again in case a
//! watch missed a change.

use std::{future, net, rc, time};

use super::{
    context, crash_guard, fleet_source, limit_links, members, owners, peers, probes, state_transfer,
};

/// Timeout for the members of a peer, and for the next bytes of its list of endpoints.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Interval between two reads of the desired state and the list of endpoints. Together
/// with a probe and a request, a change is known everywhere within a second even if no
/// watch reports it; that is half of the shortest time allowed for it.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(600);

/// Time for which a peer's newer list must differ before this process reads the list
/// again. Its own watch delivers most changes at about the same time.
const DIVERGENCE_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Minimum interval between two requests for the members of a peer.
const MEMBER_FETCH_INTERVAL: time::Duration = time::Duration::from_secs(1);

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

/// Handles the response of a peer to a probe.
pub(super) async fn receive_response(
    context: &rc::Rc<context::ProcessContext>,
    peer: net::SocketAddr,
    heartbeat: &peers::HeartbeatMessage,
) {
    limit_links::record_stamp(context, heartbeat);
    receive_heartbeat(context, heartbeat);
    if limit_links::awaits_deposit(context, &heartbeat.id) {
        probes::probe_again(context, &heartbeat.id);
    }
    crash_guard::pull_from(context, peer, heartbeat);
    catch_up(context, peer, heartbeat).await;
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
    let reports = heartbeat.free_slots.iter();
    let reported: context::OwnerSlots = reports
        .map(|report| (report.service.clone(), report.into()))
        .collect();
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
            if !members.merge_newer(records, heartbeat.members_revision, now) {
                return log::info!("event=peer_members_outdated peer={}", heartbeat.id);
            }
            drop(members);
            context.members_known.set(true);
            // The list of a peer that has just started may be partial, so that a small one
            // decides nothing.
            if context.members.borrow().is_large() && !context.fleet.has_start_source() {
                let source = owners::start_source(context);
                context.fleet.set_start_source(source);
            }
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
///
/// `read_ends` reads the end marks of jobs, which only this process reads apart from watches.
pub(super) async fn refresh_periodically<F: future::Future<Output = ()>>(
    context: rc::Rc<context::ProcessContext>,
    read_ends: impl Fn(rc::Rc<context::ProcessContext>) -> F,
) {
    use fleet_source::RefreshKind as K;

    loop {
        actix_rt::time::sleep(REFRESH_INTERVAL).await;
        if !is_refresher(&context) {
            continue;
        }
        for kind in [K::Endpoints, K::State, K::Evacuations] {
            context.source.refresh(kind, context.fleet.clone()).await;
        }
        read_ends(context.clone()).await;
    }
}

/// Returns whether this process reads for all: it is the first owner that watches the
/// store. The first of all owners may have no access to the store.
pub(super) fn is_refresher(context: &context::ProcessContext) -> bool {
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
