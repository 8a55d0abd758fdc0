//! Probes a bounded subset of the peers.

use std::{collections, rc, time};

use futures::future;

use super::{context, fleet_sync, limit_links, members, peer_links, permits};
use crate::ids;

/// Timeout of a probe; a round trip takes 1 to 4 ms.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(400);

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
    // Owners release the permits, and quota servers the shares, of a silent process.
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

/// Probes a peer again at once, as there is something to report to it.
pub(super) fn probe_again(context: &rc::Rc<context::ProcessContext>, id: &ids::InstanceId) {
    let record = context.members.borrow().record_of(id).cloned();
    if let Some(record) = record {
        // Boxed, as a probe may be followed by another one.
        let again: future::LocalBoxFuture<'static, ()> =
            Box::pin(probe(context.clone(), record, false));
        actix_rt::spawn(again);
    }
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
            fleet_sync::receive_response(&context, record.address, &heartbeat).await;
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
