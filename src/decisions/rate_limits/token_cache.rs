//! Tokens that a gateway has obtained from quota servers and not yet spent.

use std::{collections, time};

use crate::{clock, ids};

/// Time in which tokens may be spent, counted from the request for them.
pub const GRANT_TTL: time::Duration = time::Duration::from_millis(150);
/// Maximum number of tokens that are requested ahead of demand at once.
const MAX_PREFETCH: f64 = 16.0;
/// Time constant of the average of a workspace's demand.
const DEMAND_WINDOW: time::Duration = time::Duration::from_secs(1);
/// Minimum time for which the denial from an empty pool is reused, so that waiting requests
/// do not ask more often than a token request takes.
const MIN_DENIAL_TTL: time::Duration = time::Duration::from_millis(5);
/// Maximum time for which the denial from an empty pool is reused.
const MAX_DENIAL_TTL: time::Duration = time::Duration::from_millis(100);
/// Time for which a denial is reused if no quota server responded.
const SILENT_DENIAL_TTL: time::Duration = time::Duration::from_millis(50);

/// Reason for which a request gets no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The limit is used up; holds the time until a token is available.
    Exceeded(time::Duration),
    /// No quota server responded.
    Silent,
}

/// A denial that is still reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecentDenial {
    /// The denial.
    pub denial: Denial,
    /// Time for which it is still reused; then the quota servers are asked again.
    pub reused_for: time::Duration,
    /// Time from now until the token that a quota server named; zero if none did.
    pub named: time::Duration,
}

/// Tokens and demand of one workspace.
///
/// Invariant: `lots` is sorted by expiry and contains no empty lot.
#[derive(Debug, Clone, Default)]
struct WorkspaceTokens {
    lots: collections::VecDeque<(clock::MonotonicTime, u32)>,
    /// Average demand in requests per second.
    demand: f64,
    seen_at: clock::MonotonicTime,
    /// The last denial, its time, and the time until which it is reused.
    denied: Option<(Denial, clock::MonotonicTime, clock::MonotonicTime)>,
}

impl WorkspaceTokens {
    fn record_demand(&mut self, now: clock::MonotonicTime) {
        let passed = now.since(self.seen_at).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.demand = self.demand * (-passed).exp() + 1.0 / DEMAND_WINDOW.as_secs_f64();
        self.seen_at = now;
    }

    fn drop_expired(&mut self, now: clock::MonotonicTime) {
        while self.lots.front().is_some_and(|(until, _)| *until <= now) {
            self.lots.pop_front();
        }
    }
}

/// Cached tokens of all workspaces at a gateway.
#[derive(Debug, Clone, Default)]
pub struct TokenCache {
    workspaces: collections::BTreeMap<ids::WorkspaceId, WorkspaceTokens>,
}

impl TokenCache {
    /// Records a request of a workspace.
    pub fn record_request(&mut self, workspace: &ids::WorkspaceId, now: clock::MonotonicTime) {
        self.entry(workspace).record_demand(now);
    }

    fn entry(&mut self, workspace: &ids::WorkspaceId) -> &mut WorkspaceTokens {
        if !self.workspaces.contains_key(workspace) {
            let new_entry = WorkspaceTokens::default();
            self.workspaces.insert(workspace.clone(), new_entry);
        }
        self.workspaces
            .get_mut(workspace)
            .expect("the entry was inserted above")
    }

    /// Spends a token; returns whether there was one.
    pub fn spend(&mut self, workspace: &ids::WorkspaceId, now: clock::MonotonicTime) -> bool {
        let cache = self.entry(workspace);
        cache.drop_expired(now);
        let Some((_, count)) = cache.lots.front_mut() else {
            return false;
        };
        *count -= 1;
        if *count == 0 {
            cache.lots.pop_front();
        }
        true
    }

    /// Returns the number of tokens to request while `waiting` requests wait for one.
    pub fn wanted(&mut self, workspace: &ids::WorkspaceId, waiting: u32) -> u32 {
        let demand = self.entry(workspace).demand;
        // `demand` includes the waiting requests.
        let prefetch = (demand * GRANT_TTL.as_secs_f64()).min(MAX_PREFETCH).floor();
        waiting.max(prefetch as u32)
    }

    /// Adds tokens that were requested at `requested_at`.
    pub fn put(
        &mut self,
        workspace: &ids::WorkspaceId,
        count: u32,
        requested_at: clock::MonotonicTime,
    ) {
        let cache = self.entry(workspace);
        cache.denied = None;
        if count > 0 {
            let until = requested_at + GRANT_TTL;
            let at = cache.lots.partition_point(|(other, _)| *other <= until);
            cache.lots.insert(at, (until, count));
        }
    }

    /// Records that a workspace gets no tokens for now.
    pub fn record_denial(
        &mut self,
        workspace: &ids::WorkspaceId,
        denial: Denial,
        now: clock::MonotonicTime,
    ) {
        let ttl = match denial {
            Denial::Exceeded(wait) => wait.clamp(MIN_DENIAL_TTL, MAX_DENIAL_TTL),
            Denial::Silent => SILENT_DENIAL_TTL,
        };
        self.entry(workspace).denied = Some((denial, now, now + ttl));
    }

    /// Returns the recorded denial, as long as it is reused.
    pub fn denial(
        &self,
        workspace: &ids::WorkspaceId,
        now: clock::MonotonicTime,
    ) -> Option<Denial> {
        self.recent_denial(workspace, now)
            .map(|recent| recent.denial)
    }

    /// Returns the recorded denial and its times, as long as it is reused.
    pub fn recent_denial(
        &self,
        workspace: &ids::WorkspaceId,
        now: clock::MonotonicTime,
    ) -> Option<RecentDenial> {
        let (denial, at, until) = self.workspaces.get(workspace)?.denied?;
        let named = match denial {
            Denial::Exceeded(wait) => (at + wait).since(now),
            Denial::Silent => time::Duration::ZERO,
        };
        (now < until).then(|| RecentDenial {
            denial,
            reused_for: until.since(now),
            named,
        })
    }

    /// Removes workspaces that had no request after `since`.
    pub fn forget_idle(&mut self, since: clock::MonotonicTime) {
        self.workspaces.retain(|_, cache| cache.seen_at >= since);
    }

    /// Returns the number of workspaces in the cache.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Returns whether no workspace is in the cache.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }
}
