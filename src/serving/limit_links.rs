//! Carries deposits and requests for tokens between gateways and the keepers of pools.

use std::{net, rc, time};

use futures::future::{self, FutureExt as _};
use rand::seq::SliceRandom as _;

use super::{
    context, members, peer_links, peers,
    workspaces::{limit_messages, limiter},
};
use crate::{
    clock,
    decisions::rate_limits::{rate_limit, share_clock, token_pools},
    ids,
};

/// Timeout of a request to a keeper that counts as alive.
const HEARD_TIMEOUT: time::Duration = members::PEER_TIMEOUT;
/// Timeout of a request to a keeper that missed its probes.
const SILENT_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// How long a workspace without requests is remembered.
const IDLE_SPAN: time::Duration = time::Duration::from_secs(30);

/// Draws tokens of the pools through the links of a process.
pub(super) struct LinkedSource<'a> {
    context: &'a rc::Rc<context::ProcessContext>,
    /// Gateways through which keepers are reached, where this process is cut off.
    relays: Vec<members::MemberRecord>,
}

impl<'a> LinkedSource<'a> {
    pub(super) fn new(context: &'a rc::Rc<context::ProcessContext>) -> Self {
        Self {
            context,
            relays: context.relays(),
        }
    }
}

impl LinkedSource<'_> {
    fn is_heard(&self, quota_server: &ids::InstanceId) -> bool {
        quota_server == self.context.id() || self.context.receives_from(quota_server)
    }

    /// Where a keeper is reached: directly, or through a gateway that hears it.
    fn way_to(&self, quota_server: &ids::InstanceId) -> Option<(net::SocketAddr, time::Duration)> {
        if let Some(relay) = self.relays.first() {
            return Some((relay.address, HEARD_TIMEOUT));
        }
        let address = self.context.members.borrow().address_of(quota_server)?;
        match self.is_heard(quota_server) {
            true => Some((address, HEARD_TIMEOUT)),
            false => Some((address, SILENT_TIMEOUT)),
        }
    }
}

impl limiter::GrantSource for LinkedSource<'_> {
    fn quota_servers(&self, workspace: &ids::WorkspaceId) -> Vec<ids::InstanceId> {
        let quota_servers = self.context.shares.borrow().quota_servers().to_vec();
        let mut order = share_clock::quota_servers_of(workspace, &quota_servers);
        order.shuffle(&mut rand::rng());
        order.sort_by_key(|quota_server| !self.is_heard(quota_server));
        order
    }

    fn send_request(
        &self,
        quota_server: ids::InstanceId,
        request: limit_messages::TokenRequest,
    ) -> future::LocalBoxFuture<'_, Option<limit_messages::TokenResponse>> {
        let context = self.context;
        async move {
            if quota_server == *context.id() {
                return Some(grant(context, &request));
            }
            let (address, timeout) = self.way_to(&quota_server)?;
            let response = context.links.draw_tokens(address, request, timeout).await;
            response
                .inspect_err(|e| {
                    log::info!("event=keeper_silent keeper={quota_server} why=\"{e}\"")
                })
                .ok()
        }
        .boxed_local()
    }
}

/// Grants tokens of the own pools.
pub(super) fn grant(
    context: &context::ProcessContext,
    request: &limit_messages::TokenRequest,
) -> limit_messages::TokenResponse {
    let Some(limit) = limit_of(context, &request.workspace) else {
        return limit_messages::TokenResponse::NotKeeper;
    };
    let mut pools = context.pools.borrow_mut();
    let now = context.clock.now();
    pools
        .grant(&request.workspace, &limit, request.wanted, now)
        .into()
}

/// Draws tokens for a gateway that is cut off from the keepers.
pub(super) async fn draw_for_peer(
    context: &rc::Rc<context::ProcessContext>,
    request: limit_messages::TokenRequest,
) -> Option<limit_messages::TokenResponse> {
    use limiter::GrantSource as _;

    // Two gateways that take each other for connected must not ask each other in turn.
    let source = LinkedSource {
        context,
        relays: Vec::new(),
    };
    let mut last = None;
    for quota_server in source.quota_servers(&request.workspace) {
        last = source.send_request(quota_server, request.clone()).await;
        if matches!(last, Some(limit_messages::TokenResponse::Tokens(_))) {
            break;
        }
    }
    last
}

/// The limit in force of a workspace.
fn limit_of(
    context: &context::ProcessContext,
    workspace: &ids::WorkspaceId,
) -> Option<rate_limit::RateLimit> {
    context.fleet.table().workspaces().get(workspace)?.limit
}

/// The keepers of pools: owners of endpoints, and those that are silent for a short time.
fn quota_servers(
    context: &context::ProcessContext,
    now: clock::MonotonicTime,
) -> Vec<ids::InstanceId> {
    let is_young = context.age() < members::QUOTA_SERVER_TIMEOUT;
    let members = context.members.borrow();
    let silent = members.silent_quota_servers(is_young, now);
    let owners = context.owners();
    let is_dispatcher = |id: &ids::InstanceId| {
        let own = &context.options.member;
        let record = members.records().chain([own]).find(|r| r.id == *id);
        record.is_some_and(|r| r.role == members::MemberRole::Dispatcher)
    };
    // Gateways keep pools only where there is no dispatcher at all.
    let are_gateways = !silent.is_empty() && !owners.iter().any(|o| is_dispatcher(&o.id));
    let owners = owners.iter().filter(|_| !are_gateways);
    let all = owners.map(|o| &o.id).chain(silent.iter().map(|r| &r.id));
    share_clock::quota_servers_among(all.cloned())
}

/// Follows who keeps pools.
pub(super) fn follow_keepers(context: &context::ProcessContext) {
    let now = context.clock.now();
    let quota_servers = quota_servers(context, now);
    context
        .shares
        .borrow_mut()
        .set_quota_servers(&quota_servers, now);
    let mut pools = context.pools.borrow_mut();
    pools.set_quota_servers(
        &quota_servers,
        |workspace| limit_of(context, workspace),
        now,
    );
    // A gateway that keeps pools is not probed by itself.
    if quota_servers.contains(context.id()) {
        deposit_here(context, &mut pools, now);
    }
}

/// Deposits the own share in the own pools, if it is due.
fn deposit_here(
    context: &context::ProcessContext,
    pools: &mut token_pools::PoolTable,
    now: clock::MonotonicTime,
) {
    let Some(due) = take_share(context, context.id(), now) else {
        return;
    };
    let deposit = token_pools::PoolDeposit {
        run: context.run.run,
        number: due.number,
        time: share_clock::ShareTime::of(due.time, sharing(context)),
        view: due.view,
        stamp: now,
    };
    pools.deposit(&deposit, now);
}

/// Number of gateways that share the limits.
fn sharing(context: &context::ProcessContext) -> usize {
    let members = context.members.borrow();
    let is_gateway = |role| role == members::MemberRole::Gateway;
    let own = usize::from(is_gateway(context.options.member.role));
    // A gateway that does not answer may still serve callers, so it keeps its share.
    members.records().filter(|r| is_gateway(r.role)).count() + own
}

/// What is due for a deposit with a keeper, by a gateway that knows the others.
fn take_share(
    context: &context::ProcessContext,
    quota_server: &ids::InstanceId,
    now: clock::MonotonicTime,
) -> Option<share_clock::DueDeposit> {
    let is_gateway = context.options.member.role == members::MemberRole::Gateway;
    // One that stops is not on record any more, so the others have its share.
    if !is_gateway || !context.members_known.get() || context.is_stopping() {
        return None;
    }
    context
        .shares
        .borrow_mut()
        .take(quota_server, now, &mut rand::rng())
}

/// A deposit on its way to a keeper.
pub(super) struct SentDeposit {
    quota_server: ids::InstanceId,
    due: share_clock::DueDeposit,
}

/// Adds the deposit that is due to what is said to a peer.
pub(super) fn add_deposit(
    context: &context::ProcessContext,
    peer: &ids::InstanceId,
    heartbeat: &mut peers::HeartbeatMessage,
) -> Option<SentDeposit> {
    let (run, stamp) = context.stamps.borrow().get(peer).copied()?;
    let due = take_share(context, peer, context.clock.now())?;
    heartbeat.deposit = Some(limit_messages::ShareDeposit {
        number: due.number,
        time: share_clock::ShareTime::of(due.time, sharing(context)),
        view: due.view,
        run,
        stamp,
    });
    Some(SentDeposit {
        quota_server: peer.clone(),
        due,
    })
}

/// Takes a deposit back if it was certainly not sent.
pub(super) fn settle_deposit(
    context: &context::ProcessContext,
    sent: Option<SentDeposit>,
    response: &Result<peers::HeartbeatMessage, peer_links::PeerError>,
) {
    if let (Some(sent), Err(peer_links::PeerError::NotSent)) = (sent, response) {
        let mut shares = context.shares.borrow_mut();
        shares.put_back(&sent.quota_server, &sent.due);
    }
}

/// Reads the stamp of a peer that may keep pools.
pub(super) fn record_stamp(context: &context::ProcessContext, heartbeat: &peers::HeartbeatMessage) {
    let mut stamps = context.stamps.borrow_mut();
    stamps.insert(heartbeat.id.clone(), (heartbeat.run, heartbeat.stamp));
}

/// Credits the deposit that a gateway's heartbeat brings.
pub(super) fn take_deposit(context: &context::ProcessContext, heartbeat: &peers::HeartbeatMessage) {
    let Some(deposit) = heartbeat.deposit else {
        return;
    };
    let outcome = match deposit.run == context.run.run {
        true => {
            let deposit = token_pools::PoolDeposit {
                run: heartbeat.run,
                number: deposit.number,
                time: deposit.time,
                view: deposit.view,
                stamp: deposit.stamp.moment(),
            };
            let now = context.clock.now();
            context.pools.borrow_mut().deposit(&deposit, now)
        }
        false => token_pools::DepositOutcome::Late,
    };
    if outcome != token_pools::DepositOutcome::Credited {
        log::debug!("event=deposit_lost from={} why={outcome:?}", heartbeat.id);
    }
    let label = match outcome {
        token_pools::DepositOutcome::Credited => "credited",
        token_pools::DepositOutcome::OtherView => "other_view",
        token_pools::DepositOutcome::Late => "late",
        token_pools::DepositOutcome::Repeated => "repeated",
    };
    let deposits = &context.metrics.limit_deposits;
    deposits.with_label_values(&[label]).inc();
}

/// Forgets workspaces that had no requests for a while or have no limit any more, and
/// stamps of processes that are gone.
pub(super) fn forget_idle(context: &context::ProcessContext) {
    let now = context.clock.now();
    context.limiter.forget_idle(now.before(IDLE_SPAN));
    let members = context.members.borrow();
    let mut stamps = context.stamps.borrow_mut();
    stamps.retain(|id, _| members.address_of(id).is_some());
    let mut pools = context.pools.borrow_mut();
    pools.retain(|workspace| limit_of(context, workspace).is_some(), now);
}
