//! Token pools of a quota server.

use std::{collections, time};

use super::{
    rate_limit::{LimitTolerance, RateLimit},
    share_clock::{self, DepositNumber, QuotaServerView, ShareTime},
    start_credit::{GatewayFraction, StartCreditDenial, StartCreditGate, StartCreditOutcome},
};
use crate::{clock, decisions::call_budget, ids};

/// Deposits in excess of elapsed time that are credited at once, in seconds of the full rate:
/// gateways do not deposit evenly.
pub const CREDIT_BURST: time::Duration = time::Duration::from_millis(250);
/// Age of a run up to which it credits all time since its start: the first deposits of the
/// gateways arrive together, and most of them would exceed [`CREDIT_BURST`].
const EARLY_AGE: time::Duration = time::Duration::from_millis(1000);
/// Depth, in time at the full rate, from which on early time counts for a workspace. A window
/// that begins up to [`EARLY_AGE`] after the start may hold the tokens of that time on top of
/// its own; the depth and the 0.4 s of tokens in transit allow for them.
const MIN_DEPTH_FOR_EARLY: time::Duration = time::Duration::from_millis(600);
/// Maximum age of the stamp in a deposit, which its gateway last read from this quota server.
/// A deposit with an older stamp was delayed on its way.
const MAX_STAMP_AGE: time::Duration = time::Duration::from_millis(1500);

/// Window in which deposits show what fraction of the gateways they come from, and time for
/// which a start credit deepens the pools.
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
    /// Start credit of the gateway, in the first deposit of its run.
    pub start_credit: Option<GatewayFraction>,
}

/// What became of a deposit and of the start credit in it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DepositReceipt {
    /// Outcome of the deposit.
    pub outcome: DepositOutcome,
    /// What became of the start credit; `None` if there was none, or the deposit was not
    /// credited.
    pub start_credit: Option<StartCreditOutcome>,
}

/// Sum of what a quota server has credited.
#[derive(Debug, Clone, Copy, Default)]
struct CreditSum {
    /// Time, in seconds of the full rate.
    time: f64,
    /// Further time, within [`EARLY_AGE`] of the start of the run.
    early: f64,
    /// Start credit, as a fraction of the whole one.
    start: f64,
}

impl CreditSum {
    fn is_empty(&self) -> bool {
        self.time + self.early + self.start <= 0.0
    }
}

/// Limit of a workspace with what follows from it for its pools.
struct PoolLimit {
    rate: f64,
    /// Whether early time counts.
    has_early_time: bool,
    /// Start credit for all pools of the workspace together.
    start_credit: f64,
    /// Depth of all pools of the workspace together.
    depth: f64,
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
    /// Credits up to which `tokens` is computed.
    accrued_to: CreditSum,
    /// Fraction of the limit that is deposited here.
    fraction: f64,
}

impl TokenPool {
    /// Adds the tokens accrued up to `credited`.
    fn accrue(&mut self, credited: CreditSum, limit: &PoolLimit) {
        let mut time = (credited.time - self.accrued_to.time).max(0.0);
        if limit.has_early_time {
            time += (credited.early - self.accrued_to.early).max(0.0);
        }
        let start = (credited.start - self.accrued_to.start).max(0.0);
        let gained = time * limit.rate + start * limit.start_credit;
        let depth = (limit.depth * self.fraction).max(1.0);
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
    /// Start of this run.
    started_at: clock::MonotonicTime,
    view: Option<QuotaServerView>,
    quota_servers: Vec<ids::InstanceId>,
    /// Sum of all credits so far.
    credited: CreditSum,
    /// Value of `credited` when the list of quota servers last changed.
    credited_at_view: CreditSum,
    /// Latest credits with the times at which they were received.
    recent_credits: collections::VecDeque<(clock::MonotonicTime, CreditSum)>,
    /// Whether runs of this quota server may accept start credits.
    has_start_credits: bool,
    start_credits: StartCreditGate,
    /// Whether the list of quota servers has been complete.
    had_whole_list: bool,
    /// Limits credits to the time that has passed.
    allowance: call_budget::TokenBucket,
    pools: collections::BTreeMap<ids::WorkspaceId, TokenPool>,
    /// Last deposit of each gateway run, and when it was received.
    last_deposits: collections::HashMap<ids::RunNumber, (DepositNumber, clock::MonotonicTime)>,
}

impl PoolTable {
    /// Creates a table without pools, for a process that starts. It accepts no start credits.
    pub fn new(own: ids::InstanceId, tolerance: LimitTolerance, now: clock::MonotonicTime) -> Self {
        Self {
            own,
            tolerance,
            started_at: now,
            view: None,
            quota_servers: Vec::new(),
            credited: CreditSum::default(),
            credited_at_view: CreditSum::default(),
            recent_credits: collections::VecDeque::new(),
            has_start_credits: false,
            start_credits: StartCreditGate::closed(),
            had_whole_list: false,
            allowance: call_budget::TokenBucket::empty(1.0, CREDIT_BURST.as_secs_f64(), now),
            pools: collections::BTreeMap::new(),
            last_deposits: collections::HashMap::new(),
        }
    }

    /// Keeps room for start credits, also for those of later runs. This run accepts them as soon
    /// as [`Self::permit_start_credits`] says so and the list of quota servers is complete.
    pub fn reserve_start_credits(&mut self, started_at: clock::MonotonicTime) {
        self.has_start_credits = true;
        self.start_credits = StartCreditGate::starting_at(started_at, self.tolerance.window);
    }

    /// Records what the start record says. Returns what became of the start credits that waited
    /// for it, if any did.
    pub fn permit_start_credits(
        &mut self,
        permission: Result<(), StartCreditDenial>,
        now: clock::MonotonicTime,
    ) -> Option<StartCreditOutcome> {
        let outcome = self.start_credits.set_permission(permission, now)?;
        self.credit_start(outcome, now);
        Some(outcome)
    }

    /// Accepts no further start credits in this run.
    pub fn close_start_credits(&mut self, reason: StartCreditDenial) {
        self.start_credits.close(reason);
    }

    /// Records that the list of quota servers is complete. Start credits are accepted under this
    /// one only: under another one a workspace may have other quota servers, which may accept
    /// the start credits of restarted gateways on top.
    pub fn complete_list(&mut self) {
        self.had_whole_list = true;
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
        if self.had_whole_list {
            self.start_credits.close(StartCreditDenial::ListChanged);
        }
        let recent = self.recent_credits(now);
        let mut pools = std::mem::take(&mut self.pools);
        pools.retain(|workspace, pool| {
            let (Some(limit), Some(fraction)) = (limit_of(workspace), self.fraction_of(workspace))
            else {
                return false;
            };
            let limit = self.pool_limit(&limit, recent);
            pool.accrue(self.credited, &limit);
            pool.fraction = fraction;
            pool.accrue(self.credited, &limit);
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

    /// Credits a deposit and the start credit in it.
    pub fn receive(&mut self, deposit: &PoolDeposit, now: clock::MonotonicTime) -> DepositReceipt {
        let outcome = self.deposit(deposit, now);
        let fraction = deposit.start_credit;
        let fraction = fraction.filter(|_| outcome == DepositOutcome::Credited);
        let start_credit = fraction.map(|fraction| self.accept_start_credit(fraction, now));
        DepositReceipt {
            outcome,
            start_credit,
        }
    }

    fn accept_start_credit(
        &mut self,
        fraction: GatewayFraction,
        now: clock::MonotonicTime,
    ) -> StartCreditOutcome {
        if !self.had_whole_list {
            return StartCreditOutcome::Denied(StartCreditDenial::ListUnknown);
        }
        let outcome = self.start_credits.accept(fraction, now);
        self.credit_start(outcome, now);
        outcome
    }

    fn credit_start(&mut self, outcome: StartCreditOutcome, now: clock::MonotonicTime) {
        if let StartCreditOutcome::Accepted(start) = outcome {
            self.credited.start += start;
            let credit = CreditSum {
                start,
                ..CreditSum::default()
            };
            self.recent_credits.push_back((now, credit));
        }
    }

    /// Credits a deposit without the start credit in it.
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
        if self.recent_credits(now).is_empty() {
            self.empty_pools();
        }
        let time = deposit.time.seconds().max(0.0);
        let credited = self.allowance.take_up_to(time, now);
        let credit = CreditSum {
            time: credited,
            early: self.early_time(time - credited, credited, now),
            start: 0.0,
        };
        self.credited.time += credit.time;
        self.credited.early += credit.early;
        self.recent_credits.push_back((now, credit));
        DepositOutcome::Credited
    }

    /// Empties all pools, also those that no request has used yet.
    ///
    /// Without deposits their depth is zero, but a pool without requests is not brought up to
    /// date meanwhile, and would have its tokens again with the next deposits.
    fn empty_pools(&mut self) {
        self.credited_at_view = self.credited;
        for pool in self.pools.values_mut() {
            pool.tokens = 0.0;
            pool.accrued_to = self.credited;
        }
    }

    /// Returns the part of a time beyond [`CREDIT_BURST`] that has passed since the start of
    /// this run and is not credited yet, while the run is young.
    ///
    /// `taken` is what the deposit has been credited already.
    fn early_time(&self, time: f64, taken: f64, now: clock::MonotonicTime) -> f64 {
        let age = now.since(self.started_at);
        if age > EARLY_AGE {
            return 0.0;
        }
        let credited = self.credited.time + self.credited.early + taken;
        time.min(age.as_secs_f64() - credited).max(0.0)
    }

    /// Returns the sum of the credits received within [`COVERAGE_WINDOW`].
    fn recent_credits(&mut self, now: clock::MonotonicTime) -> CreditSum {
        let is_old = |at: clock::MonotonicTime| now.since(at) > COVERAGE_WINDOW;
        while self
            .recent_credits
            .front()
            .is_some_and(|(at, _)| is_old(*at))
        {
            self.recent_credits.pop_front();
        }
        let sum = |total: CreditSum, (_, credit): &(_, CreditSum)| CreditSum {
            time: total.time + credit.time,
            early: total.early + credit.early,
            start: total.start + credit.start,
        };
        self.recent_credits.iter().fold(CreditSum::default(), sum)
    }

    /// Returns what follows from a limit for its pools.
    ///
    /// The depth is scaled by the fraction of all gateways that deposited within
    /// [`COVERAGE_WINDOW`], so that in a partitioned fleet no part accumulates the tokens of
    /// both. Start credits come on top of it: right after a start that fraction is near zero, and
    /// they would not fit into the pools.
    fn pool_limit(&self, limit: &RateLimit, recent: CreditSum) -> PoolLimit {
        let coverage = ((recent.time + recent.early) / COVERAGE_WINDOW.as_secs_f64()).min(1.0);
        let depth = match self.has_start_credits {
            true => limit.depth_beside_start_credit(&self.tolerance),
            false => limit.depth(&self.tolerance),
        };
        let start_credit = limit.start_credit(&self.tolerance);
        let rate = limit.rate.per_second();
        PoolLimit {
            rate,
            has_early_time: depth >= rate * MIN_DEPTH_FOR_EARLY.as_secs_f64(),
            start_credit,
            depth: depth * coverage + start_credit * recent.start,
        }
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
        let recent = self.recent_credits(now);
        let limit = self.pool_limit(limit, recent);
        let new_pool = TokenPool {
            tokens: 0.0,
            accrued_to: self.credited_at_view,
            fraction,
        };
        let pool = self.pools.entry(workspace.clone()).or_insert(new_pool);
        pool.accrue(self.credited, &limit);
        let granted = pool.tokens.floor().clamp(0.0, f64::from(wanted));
        if granted >= 1.0 {
            pool.tokens -= granted;
            return TokenGrant::Tokens(granted as u32);
        }
        let missing = (1.0 - pool.tokens).max(0.0);
        let rate = limit.rate * fraction;
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
