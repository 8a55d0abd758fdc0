//! The tokens that a gateway has drawn and not spent yet.

use std::{collections, time};

use crate::{clock, ids};

/// How long drawn tokens may be spent, from the request for them on.
pub const GRANT_TTL: time::Duration = time::Duration::from_millis(150);
/// Most tokens that are drawn ahead of demand at once.
const MAX_AHEAD: f64 = 16.0;
/// Time over which the demand of a workspace is averaged.
const DEMAND_SPAN: time::Duration = time::Duration::from_secs(1);
/// How long an empty pool is not asked again.
const MAX_HOLD: time::Duration = time::Duration::from_millis(100);
/// How long keepers that gave no answer are not asked again.
const SILENT_HOLD: time::Duration = time::Duration::from_millis(50);

/// Why a request gets no token now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The limit is used up; it has room again after this time.
    Exceeded(time::Duration),
    /// No keeper answered.
    Silent,
}

/// Tokens and demand of one workspace.
///
/// Invariant: `lots` stand in the order in which they expire, none of them empty.
#[derive(Debug, Clone, Default)]
struct WorkspaceTokens {
    lots: collections::VecDeque<(clock::MonotonicTime, u32)>,
    /// Requests a second.
    demand: f64,
    seen_at: clock::MonotonicTime,
    denied: Option<(clock::MonotonicTime, Denial)>,
}

impl WorkspaceTokens {
    fn record_demand(&mut self, now: clock::MonotonicTime) {
        let passed = now.since(self.seen_at).as_secs_f64() / DEMAND_SPAN.as_secs_f64();
        self.demand = self.demand * (-passed).exp() + 1.0 / DEMAND_SPAN.as_secs_f64();
        self.seen_at = now;
    }

    fn drop_expired(&mut self, now: clock::MonotonicTime) {
        while self.lots.front().is_some_and(|(until, _)| *until <= now) {
            self.lots.pop_front();
        }
    }
}

/// The drawn tokens of all workspaces at a gateway.
#[derive(Debug, Clone, Default)]
pub struct TokenCache {
    workspaces: collections::BTreeMap<ids::WorkspaceId, WorkspaceTokens>,
}

impl TokenCache {
    /// Notes a request of a workspace.
    pub fn record_request(&mut self, workspace: &ids::WorkspaceId, now: clock::MonotonicTime) {
        self.entry(workspace).record_demand(now);
    }

    fn entry(&mut self, workspace: &ids::WorkspaceId) -> &mut WorkspaceTokens {
        if !self.workspaces.contains_key(workspace) {
            let fresh = WorkspaceTokens::default();
            self.workspaces.insert(workspace.clone(), fresh);
        }
        self.workspaces.get_mut(workspace).expect("it was put in")
    }

    /// Spends a token, if there is one.
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

    /// Tokens to ask for on behalf of so many waiting requests.
    pub fn wanted(&mut self, workspace: &ids::WorkspaceId, waiting: u32) -> u32 {
        let demand = self.entry(workspace).demand;
        // The requests that wait count in the demand.
        let ahead = (demand * GRANT_TTL.as_secs_f64()).min(MAX_AHEAD).floor();
        waiting.max(ahead as u32)
    }

    /// Takes tokens that were asked for at a moment.
    pub fn put(
        &mut self,
        workspace: &ids::WorkspaceId,
        count: u32,
        asked_at: clock::MonotonicTime,
    ) {
        let cache = self.entry(workspace);
        cache.denied = None;
        if count > 0 {
            let until = asked_at + GRANT_TTL;
            let at = cache.lots.partition_point(|(other, _)| *other <= until);
            cache.lots.insert(at, (until, count));
        }
    }

    /// Notes that a workspace gets no tokens now.
    pub fn record_denial(
        &mut self,
        workspace: &ids::WorkspaceId,
        denial: Denial,
        now: clock::MonotonicTime,
    ) {
        let hold = match denial {
            Denial::Exceeded(wait) => wait.min(MAX_HOLD),
            Denial::Silent => SILENT_HOLD,
        };
        self.entry(workspace).denied = Some((now + hold, denial));
    }

    /// Why a workspace gets no tokens, while that is not asked again.
    pub fn denial(
        &self,
        workspace: &ids::WorkspaceId,
        now: clock::MonotonicTime,
    ) -> Option<Denial> {
        let (until, denial) = self.workspaces.get(workspace)?.denied?;
        (now < until).then_some(denial)
    }

    /// Forgets workspaces without requests since a moment.
    pub fn forget_idle(&mut self, since: clock::MonotonicTime) {
        self.workspaces.retain(|_, cache| cache.seen_at >= since);
    }

    /// Number of workspaces that are not idle.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Whether all workspaces are idle.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }
}
