//! The pools of tokens that a keeper holds.

use std::{collections, time};

use super::{
    rate_limit::{LimitTolerance, RateLimit},
    share_clock::{self, DepositNumber, QuotaServerView, ShareTime},
};
use crate::{clock, decisions::call_budget, ids};

/// Deposits beyond the passing of time that are credited at once, as seconds of the
/// whole limit: gateways do not deposit evenly.
pub const CREDIT_BURST: time::Duration = time::Duration::from_millis(250);
/// Longest age of what a deposit shows to have been read from its keeper: an older
/// deposit was held up on its way.
const MAX_STAMP_AGE: time::Duration = time::Duration::from_millis(1500);

/// Time over which deposits show how many gateways they come from.
const BACKING_SPAN: time::Duration = time::Duration::from_millis(1500);

/// What came of a deposit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepositOutcome {
    /// It is credited.
    Credited,
    /// It was made under another list of keepers.
    OtherView,
    /// It was held up.
    Late,
    /// It, or a later one of its gateway, came before.
    Repeated,
}

/// A gateway's share over a time, as it comes to a keeper.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolDeposit {
    /// The run of the gateway.
    pub run: ids::RunNumber,
    /// Tells it from the others of the run.
    pub number: DepositNumber,
    /// The share.
    pub time: ShareTime,
    /// The keepers that the gateway knows.
    pub view: QuotaServerView,
    /// The latest stamp of this process that the gateway has read.
    pub stamp: clock::MonotonicTime,
}

/// What came of a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Grant {
    /// So many tokens, at least one.
    Tokens(u32),
    /// None: there is one again after this time.
    Empty(time::Duration),
    /// This process does not keep a pool of the workspace.
    NotKeeper,
}

/// Tokens of a workspace.
///
/// Invariant: `tokens` is not above the depth of its part of the limit.
#[derive(Debug, Clone, Copy)]
struct TokenPool {
    tokens: f64,
    /// Credit up to which `tokens` is worked out, in seconds of the whole limit.
    counted: f64,
    /// Part of the limit that is deposited here.
    fraction: f64,
}

impl TokenPool {
    /// Works `tokens` out up to a credit.
    fn settle(&mut self, credited: f64, limit: &RateLimit, depth: f64) {
        let gained = (credited - self.counted).max(0.0) * limit.rate.per_second();
        let depth = (depth * self.fraction).max(1.0);
        self.tokens = (self.tokens + gained * self.fraction).min(depth);
        self.counted = credited;
    }
}

/// The pools of one keeper.
///
/// Pools are worked out when they are drawn from, so a deposit costs the same for any
/// number of workspaces.
#[derive(Debug, Clone)]
pub struct PoolTable {
    own: ids::InstanceId,
    tolerance: LimitTolerance,
    view: Option<QuotaServerView>,
    quota_servers: Vec<ids::InstanceId>,
    /// All credits so far, in seconds of the whole limit.
    credited: f64,
    /// The same when the list of keepers last changed.
    view_from: f64,
    /// The latest credits, by when they came.
    recent: collections::VecDeque<(clock::MonotonicTime, f64)>,
    /// Bounds the credits by the passing of time.
    allowance: call_budget::TokenBucket,
    pools: collections::BTreeMap<ids::WorkspaceId, TokenPool>,
    /// The last deposits of runs of gateways, and when they came.
    last: collections::HashMap<ids::RunNumber, (DepositNumber, clock::MonotonicTime)>,
}

impl PoolTable {
    /// The board of a process that begins: its pools are empty.
    pub fn new(own: ids::InstanceId, tolerance: LimitTolerance, now: clock::MonotonicTime) -> Self {
        Self {
            own,
            tolerance,
            view: None,
            quota_servers: Vec::new(),
            credited: 0.0,
            view_from: 0.0,
            recent: collections::VecDeque::new(),
            allowance: call_budget::TokenBucket::empty(1.0, CREDIT_BURST.as_secs_f64(), now),
            pools: collections::BTreeMap::new(),
            last: collections::HashMap::new(),
        }
    }

    /// Follows the list of keepers; `limit_of` names the limits in force.
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
        self.view_from = self.credited;
        let backing = self.backing(now);
        let mut pools = std::mem::take(&mut self.pools);
        pools.retain(|workspace, pool| {
            let (Some(limit), Some(fraction)) = (limit_of(workspace), self.fraction_of(workspace))
            else {
                return false;
            };
            let depth = limit.depth(&self.tolerance) * backing;
            pool.settle(self.credited, &limit, depth);
            pool.fraction = fraction;
            pool.settle(self.credited, &limit, depth);
            true
        });
        self.pools = pools;
    }

    /// The part of a workspace's limit that is deposited here.
    fn fraction_of(&self, workspace: &ids::WorkspaceId) -> Option<f64> {
        let order = share_clock::quota_servers_of(workspace, &self.quota_servers);
        let is_keeper = order.contains(&self.own);
        is_keeper.then(|| 1.0 / order.len() as f64)
    }

    /// Credits a deposit.
    pub fn deposit(&mut self, deposit: &PoolDeposit, now: clock::MonotonicTime) -> DepositOutcome {
        let stamp = deposit.stamp;
        if stamp > now || now.since(stamp) > MAX_STAMP_AGE {
            return DepositOutcome::Late;
        }
        let last = self.last.get(&deposit.run);
        if last.is_some_and(|(number, _)| deposit.number <= *number) {
            return DepositOutcome::Repeated;
        }
        self.last.insert(deposit.run, (deposit.number, now));
        if self.view != Some(deposit.view) {
            return DepositOutcome::OtherView;
        }
        let time = deposit.time.seconds().max(0.0);
        let credit = self.allowance.take_up_to(time, now);
        self.credited += credit;
        self.recent.push_back((now, credit));
        DepositOutcome::Credited
    }

    /// Fraction of all gateways with a deposit within [`BACKING_SPAN`].
    ///
    /// Pools are as deep as that: of a fleet in two parts, none can stock the tokens of both.
    fn backing(&mut self, now: clock::MonotonicTime) -> f64 {
        let is_old = |at: clock::MonotonicTime| now.since(at) > BACKING_SPAN;
        while self.recent.front().is_some_and(|(at, _)| is_old(*at)) {
            self.recent.pop_front();
        }
        let credits: f64 = self.recent.iter().map(|(_, credit)| credit).sum();
        (credits / BACKING_SPAN.as_secs_f64()).min(1.0)
    }

    /// Takes up to `wanted` tokens of a workspace.
    pub fn grant(
        &mut self,
        workspace: &ids::WorkspaceId,
        limit: &RateLimit,
        wanted: u32,
        now: clock::MonotonicTime,
    ) -> Grant {
        let Some(fraction) = self.fraction_of(workspace) else {
            return Grant::NotKeeper;
        };
        let depth = limit.depth(&self.tolerance) * self.backing(now);
        let fresh = TokenPool {
            tokens: 0.0,
            counted: self.view_from,
            fraction,
        };
        let pool = self.pools.entry(workspace.clone()).or_insert(fresh);
        pool.settle(self.credited, limit, depth);
        let granted = pool.tokens.floor().clamp(0.0, f64::from(wanted));
        if granted >= 1.0 {
            pool.tokens -= granted;
            return Grant::Tokens(granted as u32);
        }
        let missing = (1.0 - pool.tokens).max(0.0);
        let rate = limit.rate.per_second() * fraction;
        Grant::Empty(time::Duration::from_secs_f64(
            (missing / rate).min(MAX_WAIT_S),
        ))
    }

    /// Forgets the pools of workspaces that have no limit any more, and runs whose
    /// deposits could only come late.
    pub fn retain(
        &mut self,
        is_limited: impl Fn(&ids::WorkspaceId) -> bool,
        now: clock::MonotonicTime,
    ) {
        self.pools.retain(|workspace, _| is_limited(workspace));
        self.last
            .retain(|_, (_, at)| now.since(*at) <= MAX_STAMP_AGE);
    }

    /// Number of pools that were drawn from.
    pub fn len(&self) -> usize {
        self.pools.len()
    }

    /// Whether no pool was drawn from.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }
}

/// Upper bound of the reported wait for a token, in seconds.
const MAX_WAIT_S: f64 = 60.0;
