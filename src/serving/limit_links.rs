//! Transfers deposits and token requests between gateways and quota servers.

use std::{net, rc, time};

use futures::future::{self, FutureExt as _};
use rand::seq::SliceRandom as _;

use super::{
    context, members, peer_links, peers,
    workspaces::{limit_messages, limiter},
};
use crate::{
    clock,
    decisions::rate_limits::{rate_limit, share_clock, start_credit, token_pools},
    ids,
};

/// Timeout of a request to a quota server that counts as alive.
const LIVE_TIMEOUT: time::Duration = members::PEER_TIMEOUT;
/// Timeout of a request to a quota server whose heartbeats are missing.
const SILENT_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// Time after which a workspace without requests is forgotten.
const IDLE_DURATION: time::Duration = time::Duration::from_secs(30);

/// Source that draws tokens from quota servers over the links of a process.
pub(super) struct LinkTokenSource<'a> {
    context: &'a rc::Rc<context::ProcessContext>,
    /// Gateways that relay to the quota servers while this process cannot reach them.
    relays: Vec<members::MemberRecord>,
}

impl<'a> LinkTokenSource<'a> {
    pub(super) fn new(context: &'a rc::Rc<context::ProcessContext>) -> Self {
        Self {
            context,
            relays: context.relays(),
        }
    }
}

impl LinkTokenSource<'_> {
    fn is_live(&self, quota_server: &ids::InstanceId) -> bool {
        quota_server == self.context.id() || self.context.receives_from(quota_server)
    }

    /// Returns the address for requests to a quota server, its own or that of a relaying
    /// gateway, and the timeout.
    fn route_to(
        &self,
        quota_server: &ids::InstanceId,
    ) -> Option<(net::SocketAddr, time::Duration)> {
        if let Some(relay) = self.relays.first() {
            return Some((relay.address, LIVE_TIMEOUT));
        }
        let address = self.context.members.borrow().address_of(quota_server)?;
        match self.is_live(quota_server) {
            true => Some((address, LIVE_TIMEOUT)),
            false => Some((address, SILENT_TIMEOUT)),
        }
    }
}

impl limiter::TokenSource for LinkTokenSource<'_> {
    fn quota_servers(&self, workspace: &ids::WorkspaceId) -> Vec<ids::InstanceId> {
        let quota_servers = self.context.shares.borrow().quota_servers().to_vec();
        let mut candidates = share_clock::quota_servers_of(workspace, &quota_servers);
        candidates.shuffle(&mut rand::rng());
        candidates.sort_by_key(|quota_server| !self.is_live(quota_server));
        candidates
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
            let (address, timeout) = self.route_to(&quota_server)?;
            let response = context.links.draw_tokens(address, request, timeout).await;
            response
                .inspect_err(|e| {
                    // A process that has just started lists all dispatchers, also those that
                    // no longer run; a process without any heartbeat so far is not worth a line.
                    let level = match context.members.borrow().was_heard(&quota_server) {
                        true => log::Level::Info,
                        false => log::Level::Debug,
                    };
                    log::log!(
                        level,
                        "event=keeper_silent keeper={quota_server} why=\"{e}\""
                    );
                })
                .ok()
        }
        .boxed_local()
    }
}

/// Grants tokens from the pools of this process.
pub(super) fn grant(
    context: &context::ProcessContext,
    request: &limit_messages::TokenRequest,
) -> limit_messages::TokenResponse {
    let Some(limit) = active_limit(context, &request.workspace) else {
        return limit_messages::TokenResponse::NotKeeper;
    };
    let mut pools = context.pools.borrow_mut();
    let now = context.clock.now();
    pools
        .grant(&request.workspace, &limit, request.wanted, now)
        .into()
}

/// Draws tokens on behalf of a gateway that cannot reach the quota servers.
pub(super) async fn draw_for_peer(
    context: &rc::Rc<context::ProcessContext>,
    request: limit_messages::TokenRequest,
) -> Option<limit_messages::TokenResponse> {
    use limiter::TokenSource as _;

    // No relays: two gateways that wrongly consider each other connected must not forward
    // a request back and forth.
    let source = LinkTokenSource {
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

/// Returns the active limit of a workspace.
fn active_limit(
    context: &context::ProcessContext,
    workspace: &ids::WorkspaceId,
) -> Option<rate_limit::RateLimit> {
    context.fleet.table().workspaces().get(workspace)?.limit
}

/// Returns the current quota servers: the owners, and processes that have only been silent
/// for a short time.
fn quota_servers(
    context: &context::ProcessContext,
    now: clock::MonotonicTime,
) -> Vec<ids::InstanceId> {
    let has_just_started = context.age() < members::QUOTA_SERVER_TIMEOUT;
    let members = context.members.borrow();
    let silent = members.silent_quota_servers(has_just_started, now);
    let owners = context.owners();
    let is_dispatcher = |id: &ids::InstanceId| {
        let own = &context.options.member;
        let role = match *id == own.id {
            true => Some(own.role),
            false => members.role_of(id),
        };
        role == Some(members::MemberRole::Dispatcher)
    };
    // Gateways are quota servers only if there is no dispatcher at all.
    let has_only_gateways = !silent.is_empty() && !owners.iter().any(|o| is_dispatcher(&o.id));
    let owners = owners.iter().filter(|_| !has_only_gateways);
    let all = owners.map(|o| &o.id).chain(silent.iter().map(|r| &r.id));
    share_clock::quota_servers_among(all.cloned())
}

/// Updates the set of quota servers, and deposits the own share if this process is one.
pub(super) fn update_quota_servers(context: &context::ProcessContext) {
    let now = context.clock.now();
    let quota_servers = quota_servers(context, now);
    context
        .shares
        .borrow_mut()
        .set_quota_servers(&quota_servers, now);
    let mut pools = context.pools.borrow_mut();
    pools.set_quota_servers(
        &quota_servers,
        |workspace| active_limit(context, workspace),
        now,
    );
    if context.members_known.get() {
        pools.complete_list();
    }
    // A gateway does not probe itself, so its deposit to itself goes with no heartbeat.
    if quota_servers.contains(context.id()) {
        deposit_locally(context, &mut pools, now);
    }
}

/// Deposits the own share in the pools of this process, if it is due.
fn deposit_locally(
    context: &context::ProcessContext,
    pools: &mut token_pools::PoolTable,
    now: clock::MonotonicTime,
) {
    let Some(due) = take_due_deposit(context, context.id(), now) else {
        return;
    };
    let deposit = token_pools::PoolDeposit {
        run: context.run.run,
        number: due.number,
        time: share_clock::ShareTime::of(due.time, gateway_count(context)),
        view: due.view,
        stamp: now,
        start_credit: start_credit_of(context, &due),
    };
    let receipt = receive_deposit(context, pools, &deposit, now);
    record_start_credit(context, context.id(), receipt.start_credit);
}

/// Returns the number of gateways that share the limits.
fn gateway_count(context: &context::ProcessContext) -> usize {
    let members = context.members.borrow();
    let is_gateway = |role| role == members::MemberRole::Gateway;
    let own = usize::from(is_gateway(context.options.member.role));
    // A silent gateway may still serve callers, so it retains its share.
    members.records().filter(|r| is_gateway(r.role)).count() + own
}

/// Returns the start credit that goes with a deposit.
fn start_credit_of(
    context: &context::ProcessContext,
    due: &share_clock::DueDeposit,
) -> Option<start_credit::GatewayFraction> {
    due.is_first
        .then(|| start_credit::GatewayFraction::of(gateway_count(context)))
}

/// Receives a deposit in the pools of this process.
fn receive_deposit(
    context: &context::ProcessContext,
    pools: &mut token_pools::PoolTable,
    deposit: &token_pools::PoolDeposit,
    now: clock::MonotonicTime,
) -> token_pools::DepositReceipt {
    close_old_start_credits(context, pools);
    pools.receive(deposit, now)
}

/// Ends the acceptance of start credits after the first window of this run.
///
/// The monotonic clock stands still while the machine is suspended, the wall clock of the start
/// record does not.
fn close_old_start_credits(context: &context::ProcessContext, pools: &mut token_pools::PoolTable) {
    if context.booted_at.elapsed() > context.options.tolerance.window {
        pools.close_start_credits(start_credit::StartCreditDenial::RunTooOld);
    }
}

/// Applies what the start record says to the token pools of this process.
pub(super) fn permit_start_credits(
    context: &context::ProcessContext,
    permission: Result<(), start_credit::StartCreditDenial>,
) {
    let now = context.clock.now();
    let mut pools = context.pools.borrow_mut();
    close_old_start_credits(context, &mut pools);
    let held = pools.permit_start_credits(permission, now);
    record_start_credit(context, context.id(), held);
}

/// Counts a start credit; logs the first one of each outcome in this run.
fn record_start_credit(
    context: &context::ProcessContext,
    from: &ids::InstanceId,
    start_credit: Option<start_credit::StartCreditOutcome>,
) {
    let Some(outcome) = start_credit else {
        return;
    };
    let counter = &context.metrics.start_credits;
    counter.with_label_values(&[outcome.name()]).inc();
    let mut logged = context.logged_start_credits.borrow_mut();
    if !logged.insert(outcome.name()) {
        return;
    }
    let age_ms = context.age().as_millis();
    match outcome {
        start_credit::StartCreditOutcome::Accepted(fraction) => log::info!(
            "event=start_credit_accepted from={from} fraction={fraction:.4} age_ms={age_ms}"
        ),
        start_credit::StartCreditOutcome::Held => {
            log::info!("event=start_credit_held from={from} age_ms={age_ms}");
        }
        start_credit::StartCreditOutcome::Denied(reason) => {
            log::info!("event=start_credit_denied from={from} why={reason} age_ms={age_ms}");
        }
    }
}

/// Takes the deposit that is due at a quota server. Only a gateway that knows the other
/// members makes deposits.
fn take_due_deposit(
    context: &context::ProcessContext,
    quota_server: &ids::InstanceId,
    now: clock::MonotonicTime,
) -> Option<share_clock::DueDeposit> {
    let is_gateway = context.options.member.role == members::MemberRole::Gateway;
    // The member record of a stopping gateway is removed, so the others have its share.
    if !is_gateway || !context.members_known.get() || context.is_stopping() {
        return None;
    }
    context
        .shares
        .borrow_mut()
        .take(quota_server, now, &mut rand::rng())
}

/// A deposit that was sent to a quota server and is not confirmed yet.
pub(super) struct SentDeposit {
    quota_server: ids::InstanceId,
    due: share_clock::DueDeposit,
}

/// Adds the deposit that is due at a peer to the heartbeat for it.
pub(super) fn add_deposit(
    context: &context::ProcessContext,
    peer: &ids::InstanceId,
    heartbeat: &mut peers::HeartbeatMessage,
) -> Option<SentDeposit> {
    let known = context.stamps.borrow().get(peer).copied()?;
    if !is_accepted_at(context, peer, &known) {
        return None;
    }
    let due = take_due_deposit(context, peer, context.clock.now())?;
    heartbeat.deposit = Some(limit_messages::ShareDeposit {
        number: due.number,
        time: share_clock::ShareTime::of(due.time, gateway_count(context)),
        view: due.view,
        run: known.run,
        stamp: known.stamp,
        start_credit: start_credit_of(context, &due),
    });
    Some(SentDeposit {
        quota_server: peer.clone(),
        due,
    })
}

/// Returns whether a peer probably has the same list of quota servers, as far as that
/// matters for a deposit.
///
/// The first deposit of a run covers the most time. If all processes start together, it
/// would be lost at a quota server that does not know the members yet.
fn is_accepted_at(
    context: &context::ProcessContext,
    peer: &ids::InstanceId,
    known: &context::PeerStamp,
) -> bool {
    let is_young = context.age() < members::QUOTA_SERVER_TIMEOUT;
    let own_members = || {
        let members = context.members.borrow();
        members.digest(&context.options.member)
    };
    !is_young || !context.shares.borrow().awaits_first(peer) || known.members == own_members()
}

/// Returns whether the first deposit of this run can be made now at a peer that has just
/// responded to a probe.
pub(super) fn awaits_deposit(context: &context::ProcessContext, peer: &ids::InstanceId) -> bool {
    let is_gateway = context.options.member.role == members::MemberRole::Gateway;
    if !is_gateway || !context.members_known.get() || context.is_stopping() {
        return false;
    }
    let known = context.stamps.borrow().get(peer).copied();
    context.shares.borrow().awaits_first(peer)
        && known.is_some_and(|known| is_accepted_at(context, peer, &known))
}

/// Takes a deposit back if it was certainly not sent, so that it can be made again.
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

/// Records the clock stamp of a peer that may be a quota server.
pub(super) fn record_stamp(context: &context::ProcessContext, heartbeat: &peers::HeartbeatMessage) {
    let stamp = context::PeerStamp {
        run: heartbeat.run,
        stamp: heartbeat.stamp,
        members: heartbeat.members,
    };
    let mut stamps = context.stamps.borrow_mut();
    let previous = stamps.insert(heartbeat.id.clone(), stamp);
    drop(stamps);
    if previous.is_none_or(|previous| previous.run != heartbeat.run) {
        // The members may have been received since the last tick.
        update_quota_servers(context);
    }
}

/// Credits the deposit in a gateway's heartbeat, if there is one.
pub(super) fn credit_deposit(
    context: &context::ProcessContext,
    heartbeat: &peers::HeartbeatMessage,
) {
    let Some(deposit) = heartbeat.deposit else {
        return;
    };
    if context.pools.borrow().view() != Some(deposit.view) {
        // The members may have been received since the last tick.
        update_quota_servers(context);
    }
    let outcome = match deposit.run == context.run.run {
        true => {
            let deposit = token_pools::PoolDeposit {
                run: heartbeat.run,
                number: deposit.number,
                time: deposit.time,
                view: deposit.view,
                stamp: deposit.stamp.time(),
                start_credit: deposit.start_credit,
            };
            let now = context.clock.now();
            let mut pools = context.pools.borrow_mut();
            let receipt = receive_deposit(context, &mut pools, &deposit, now);
            record_start_credit(context, &heartbeat.id, receipt.start_credit);
            receipt.outcome
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

/// Forgets workspaces that are idle or have no limit any more, and the stamps of processes
/// that are gone.
pub(super) fn forget_idle(context: &context::ProcessContext) {
    let now = context.clock.now();
    context.limiter.forget_idle(now.before(IDLE_DURATION));
    let members = context.members.borrow();
    let mut stamps = context.stamps.borrow_mut();
    stamps.retain(|id, _| members.address_of(id).is_some());
    let mut pools = context.pools.borrow_mut();
    pools.retain(|workspace| active_limit(context, workspace).is_some(), now);
}
