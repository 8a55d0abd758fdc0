//! Token pools of a quota server.

use std::{collections, time};

use super::{
    rate_limit::{LimitTolerance, RateLimit},
    share_clock::{self, DepositNumber, QuotaServerView, ShareTime},
};
use crate::{clock, decisions::call_budget, ids};

/// Deposits in excess of elapsed time that are credited at once, in seconds of the full rate:
/// gateways do not deposit evenly.
pub const CREDIT_BURST: time::Duration = time::Duration::from_millis(250);
/// Maximum age of the stamp in a deposit, which its gateway last read from this quota server.
/// A deposit with an older stamp was delayed on its way.
const MAX_STAMP_AGE: time::Duration = time::Duration::from_millis(1500);

/// Window in which deposits show what fraction of the gateways they come from.
const COVERAGE_WINDOW: time::Duration = time::Duration::from_millis(1500);

/// Outcome of a deposit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepositOutcome {
    /// The deposit is credited.
    Credited,
    /// The gateway knew another list of quota servers.
    OtherView,
    /// The deposit was delayed, or its stamp is in the future.
    Late,
    /// This deposit, or a later one of the same run, was received before.
    Repeated,
}

/// Gateway's share over a time, as received by a quota server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolDeposit {
    /// Run of the gateway.
    pub run: ids::RunNumber,
    /// Sequence number within the run.
    pub number: DepositNumber,
    /// Deposited share.
    pub time: ShareTime,
    /// Quota servers known to the gateway.
    pub view: QuotaServerView,
    /// Latest stamp of this process that the gateway has read.
    pub stamp: clock::MonotonicTime,
}

/// Response to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TokenGrant {
    /// Number of tokens, at least one.
    Tokens(u32),
    /// No token is available; holds the time until there is one.
    Empty(time::Duration),
    /// This process holds no pool of the workspace.
    NotQuotaServer,
}

/// Tokens of one workspace.
///
/// Invariant: `tokens` does not exceed the depth of this pool's fraction of the limit.
#[derive(Debug, Clone, Copy)]
struct TokenPool {
    tokens: f64,
    /// Credit up to which `tokens` is computed, in seconds of the full rate.
    accrued_to: f64,
    /// Fraction of the limit that is deposited here.
    fraction: f64,
}

impl TokenPool {
    /// Adds the tokens accrued up to `credited`.
    fn accrue(&mut self, credited: f64, limit: &RateLimit, depth: f64) {
        let gained = (credited - self.accrued_to).max(0.0) * limit.rate.per_second();
        let depth = (depth * self.fraction).max(1.0);
        self.tokens = (self.tokens + gained * self.fraction).min(depth);
        self.accrued_to = credited;
    }
}

/// All token pools of one quota server.
///
/// A pool is brought up to date when tokens are requested from it, so the cost of a deposit
/// does not depend on the number of workspaces.
#[derive(Debug, Clone)]
pub struct PoolTable {
    own: ids::InstanceId,
    tolerance: LimitTolerance,
    view: Option<QuotaServerView>,
    quota_servers: Vec<ids::InstanceId>,
    /// Sum of all credits so far, in seconds of the full rate.
    credited: f64,
    /// Value of `credited` when the list of quota servers last changed.
    credited_at_view: f64,
    /// Latest credits with the times at which they were received.
    recent_credits: collections::VecDeque<(clock::MonotonicTime, f64)>,
    /// Limits credits to the time that has passed.
    allowance: call_budget::TokenBucket,
    pools: collections::BTreeMap<ids::WorkspaceId, TokenPool>,
    /// Last deposit of each gateway run, and when it was received.
    last_deposits: collections::HashMap<ids::RunNumber, (DepositNumber, clock::MonotonicTime)>,
}

impl PoolTable {
    /// Creates a table without pools, for a process that starts.
    pub fn new(own: ids::InstanceId, tolerance: LimitTolerance, now: clock::MonotonicTime) -> Self {
        Self {
            own,
            tolerance,
            view: None,
            quota_servers: Vec::new(),
            credited: 0.0,
            credited_at_view: 0.0,
            recent_credits: collections::VecDeque::new(),
            allowance: call_budget::TokenBucket::empty(1.0, CREDIT_BURST.as_secs_f64(), now),
            pools: collections::BTreeMap::new(),
            last_deposits: collections::HashMap::new(),
        }
    }

    /// Replaces the list of quota servers; `limit_of` returns the active limit of a workspace.
    pub fn set_quota_servers(
        &mut self,
        quota_servers: &[ids::InstanceId],
        limit_of: impl Fn(&ids::WorkspaceId) -> Option<RateLimit>,
        now: clock::MonotonicTime,
    ) {
        let view = QuotaServerView::of(quota_servers);
        if self.view.replace(view) == Some(view) {
            return;
        }
        self.quota_servers = quota_servers.to_vec();
        self.credited_at_view = self.credited;
        let coverage = self.coverage(now);
        let mut pools = std::mem::take(&mut self.pools);
        pools.retain(|workspace, pool| {
            let (Some(limit), Some(fraction)) = (limit_of(workspace), self.fraction_of(workspace))
            else {
                return false;
            };
            let depth = limit.depth(&self.tolerance) * coverage;
            pool.accrue(self.credited, &limit, depth);
            pool.fraction = fraction;
            pool.accrue(self.credited, &limit, depth);
            true
        });
        self.pools = pools;
    }

    /// Returns the digest of the list of quota servers.
    pub fn view(&self) -> Option<QuotaServerView> {
        self.view
    }

    /// Returns the fraction of a workspace's limit that is deposited here.
    fn fraction_of(&self, workspace: &ids::WorkspaceId) -> Option<f64> {
        let order = share_clock::quota_servers_of(workspace, &self.quota_servers);
        let is_quota_server = order.contains(&self.own);
        is_quota_server.then(|| 1.0 / order.len() as f64)
    }

    /// Credits a deposit.
    pub fn deposit(&mut self, deposit: &PoolDeposit, now: clock::MonotonicTime) -> DepositOutcome {
        let stamp = deposit.stamp;
        if stamp > now || now.since(stamp) > MAX_STAMP_AGE {
            return DepositOutcome::Late;
        }
        let previous = self.last_deposits.get(&deposit.run);
        if previous.is_some_and(|(number, _)| deposit.number <= *number) {
            return DepositOutcome::Repeated;
        }
        self.last_deposits
            .insert(deposit.run, (deposit.number, now));
        if self.view != Some(deposit.view) {
            return DepositOutcome::OtherView;
        }
        let time = deposit.time.seconds().max(0.0);
        let credit = self.allowance.take_up_to(time, now);
        self.credited += credit;
        self.recent_credits.push_back((now, credit));
        DepositOutcome::Credited
    }

    /// Returns the fraction of all gateways that deposited within [`COVERAGE_WINDOW`].
    ///
    /// The depth of the pools is scaled by it, so that in a partitioned fleet no part accumulates
    /// the tokens of both.
    fn coverage(&mut self, now: clock::MonotonicTime) -> f64 {
        let is_old = |at: clock::MonotonicTime| now.since(at) > COVERAGE_WINDOW;
        while self
            .recent_credits
            .front()
            .is_some_and(|(at, _)| is_old(*at))
        {
            self.recent_credits.pop_front();
        }
        let credits: f64 = self.recent_credits.iter().map(|(_, credit)| credit).sum();
        (credits / COVERAGE_WINDOW.as_secs_f64()).min(1.0)
    }

    /// Takes up to `wanted` tokens of a workspace.
    pub fn grant(
        &mut self,
        workspace: &ids::WorkspaceId,
        limit: &RateLimit,
        wanted: u32,
        now: clock::MonotonicTime,
    ) -> TokenGrant {
        let Some(fraction) = self.fraction_of(workspace) else {
            return TokenGrant::NotQuotaServer;
        };
        let depth = limit.depth(&self.tolerance) * self.coverage(now);
        let new_pool = TokenPool {
            tokens: 0.0,
            accrued_to: self.credited_at_view,
            fraction,
        };
        let pool = self.pools.entry(workspace.clone()).or_insert(new_pool);
        pool.accrue(self.credited, limit, depth);
        let granted = pool.tokens.floor().clamp(0.0, f64::from(wanted));
        if granted >= 1.0 {
            pool.tokens -= granted;
            return TokenGrant::Tokens(granted as u32);
        }
        let missing = (1.0 - pool.tokens).max(0.0);
        let rate = limit.rate.per_second() * fraction;
        TokenGrant::Empty(time::Duration::from_secs_f64(
            (missing / rate).min(MAX_WAIT_S),
        ))
    }

    /// Removes the pools of workspaces that no longer have a limit, and runs whose further
    /// deposits could only arrive late.
    pub fn retain(
        &mut self,
        is_limited: impl Fn(&ids::WorkspaceId) -> bool,
        now: clock::MonotonicTime,
    ) {
        self.pools.retain(|workspace, _| is_limited(workspace));
        self.last_deposits
            .retain(|_, (_, at)| now.since(*at) <= MAX_STAMP_AGE);
    }

    /// Returns the number of pools.
    pub fn len(&self) -> usize {
        self.pools.len()
    }

    /// Returns whether there are no pools.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }
}

/// Upper bound of the reported wait for a token, in seconds.
const MAX_WAIT_S: f64 = 60.0;
