//! Requests of a gateway that wait for a token of their workspace.

use std::{collections, num, time};

use super::{rate_limit, token_cache};
use crate::{clock, decisions::return_schedule, ids};

/// Maximum number of waiting requests of one workspace. More than this cannot get a token
/// within a fraction of an objective, except at rates of hundreds a second.
pub const MAX_WAITING_PER_WORKSPACE: usize = 64;
/// Maximum number of waiting requests of a gateway, as a bound for its memory.
pub const MAX_WAITING: usize = 1024;
/// Maximum number of bookings for the returns of one workspace's callers.
const MAX_BOOKINGS: num::NonZeroUsize = num::NonZeroUsize::new(256).expect("it is not zero");
/// Range of the random delay that is added to the returns of refused callers.
const RETURN_SPREAD: time::Duration = time::Duration::from_millis(800);
/// Time constant of the average of the tokens that a gateway is granted.
const PACE_WINDOW: time::Duration = time::Duration::from_secs(2);
/// Maximum time between two responses of quota servers that counts as time under the limit.
/// It is longer than the time for which a denial is reused.
const MAX_PACE_STEP: time::Duration = time::Duration::from_millis(250);

/// Order among the waiting requests of a workspace; the lowest is served first, and among
/// equals the one that arrived first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitRank {
    /// Priority of the request; 0 is the highest.
    pub priority: u32,
    /// Whether the request does not return at a booked time.
    pub is_new: bool,
}

/// Number of a waiting request, in the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitNumber(u64);

/// Pace at which a gateway is granted tokens of a workspace while its limit is used up.
#[derive(Debug, Clone, Copy, Default)]
struct GrantPace {
    /// Averages of the tokens granted, and of the seconds passed, under the limit.
    granted: f64,
    seconds: f64,
    response_at: Option<clock::MonotonicTime>,
    /// Whether the last response was a denial.
    is_denied: bool,
}

impl GrantPace {
    /// Records a response: `count` tokens, or a denial if it is 0.
    fn record(&mut self, count: u32, now: clock::MonotonicTime) {
        if let Some(at) = self.response_at.replace(now) {
            let passed = now.since(at);
            let fading = (-passed.as_secs_f64() / PACE_WINDOW.as_secs_f64()).exp();
            self.granted *= fading;
            self.seconds *= fading;
            if self.is_denied {
                self.seconds += passed.min(MAX_PACE_STEP).as_secs_f64();
                self.granted += f64::from(count);
            }
        }
        self.is_denied = count == 0;
    }

    /// Returns the time per token. While little is known, it tends to that of the whole
    /// rate, as the other gateways may have no demand.
    fn spacing(&self, limit: &rate_limit::RateLimit) -> time::Duration {
        let seconds = self.seconds + 1.0 / limit.rate.per_second();
        time::Duration::from_secs_f64((seconds / (self.granted + 1.0)).min(MAX_SPACING_S))
    }
}

/// Maximum time per token that is assumed, in seconds. Callers return within a fraction of
/// their timeout, so a longer one has no effect.
const MAX_SPACING_S: f64 = 10.0;

/// Waiting requests of one workspace.
///
/// Invariant: a request is in `waiting` or in `granted`, never in both.
#[derive(Debug)]
struct WorkspaceQueue {
    waiting: collections::BTreeSet<(WaitRank, WaitNumber)>,
    /// Requests for which a token was spent and that have not left yet.
    granted: collections::BTreeSet<WaitNumber>,
    pace: GrantPace,
    returns: return_schedule::ReturnSchedule,
    used_at: clock::MonotonicTime,
}

impl WorkspaceQueue {
    fn new(now: clock::MonotonicTime) -> Self {
        Self {
            waiting: collections::BTreeSet::new(),
            granted: collections::BTreeSet::new(),
            pace: GrantPace::default(),
            returns: return_schedule::ReturnSchedule::new(MAX_BOOKINGS),
            used_at: now,
        }
    }
}

/// Waiting requests of a gateway, and the returns booked for the refused ones.
#[derive(Debug, Default)]
pub struct TokenQueues {
    workspaces: collections::BTreeMap<ids::WorkspaceId, WorkspaceQueue>,
    /// Number of waiting requests of all workspaces.
    waiting: usize,
    latest: u64,
}

/// Place of a request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitTicket {
    rank: WaitRank,
    number: WaitNumber,
}

impl TokenQueues {
    fn queue(
        &mut self,
        workspace: &ids::WorkspaceId,
        now: clock::MonotonicTime,
    ) -> &mut WorkspaceQueue {
        if !self.workspaces.contains_key(workspace) {
            let new_queue = WorkspaceQueue::new(now);
            self.workspaces.insert(workspace.clone(), new_queue);
        }
        let queue = self.workspaces.get_mut(workspace);
        queue.expect("the queue was inserted above")
    }

    /// Adds a request; returns `None` if too many wait.
    pub fn join(
        &mut self,
        workspace: &ids::WorkspaceId,
        rank: WaitRank,
        now: clock::MonotonicTime,
    ) -> Option<WaitTicket> {
        let total = self.waiting;
        let number = WaitNumber(self.latest);
        let queue = self.queue(workspace, now);
        queue.used_at = now;
        if total >= MAX_WAITING || queue.waiting.len() >= MAX_WAITING_PER_WORKSPACE {
            return None;
        }
        queue.waiting.insert((rank, number));
        self.waiting += 1;
        self.latest += 1;
        Some(WaitTicket { rank, number })
    }

    /// Gives a token to the first waiting request.
    pub fn grant_first(&mut self, workspace: &ids::WorkspaceId) {
        let Some(queue) = self.workspaces.get_mut(workspace) else {
            return;
        };
        if let Some((_, number)) = queue.waiting.pop_first() {
            queue.granted.insert(number);
            self.waiting -= 1;
        }
    }

    /// Returns whether a request was given a token.
    pub fn is_granted(&self, workspace: &ids::WorkspaceId, ticket: &WaitTicket) -> bool {
        let queue = self.workspaces.get(workspace);
        queue.is_some_and(|queue| queue.granted.contains(&ticket.number))
    }

    /// Removes a request; returns whether it was given a token.
    pub fn leave(&mut self, workspace: &ids::WorkspaceId, ticket: &WaitTicket) -> bool {
        let Some(queue) = self.workspaces.get_mut(workspace) else {
            return false;
        };
        if queue.waiting.remove(&(ticket.rank, ticket.number)) {
            self.waiting -= 1;
        }
        queue.granted.remove(&ticket.number)
    }

    /// Returns the number of waiting requests of a workspace.
    pub fn waiting_of(&self, workspace: &ids::WorkspaceId) -> usize {
        let queue = self.workspaces.get(workspace);
        queue.map_or(0, |queue| queue.waiting.len())
    }

    /// Returns the number of waiting requests of all workspaces.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of requests that are served before a waiting one.
    pub fn ahead_of(&self, workspace: &ids::WorkspaceId, ticket: &WaitTicket) -> usize {
        let place = (ticket.rank, ticket.number);
        let queue = self.workspaces.get(workspace);
        queue.map_or(0, |queue| queue.waiting.range(..place).count())
    }

    /// Records a response of a quota server: `count` tokens, or a denial if it is 0.
    pub fn record_response(
        &mut self,
        workspace: &ids::WorkspaceId,
        count: u32,
        now: clock::MonotonicTime,
    ) {
        self.queue(workspace, now).pace.record(count, now);
    }

    /// Returns the time after which a request with `ahead` requests before it is expected to
    /// get a token.
    pub fn expected_wait(
        &self,
        workspace: &ids::WorkspaceId,
        limit: &rate_limit::RateLimit,
        ahead: usize,
        denial: &token_cache::RecentDenial,
    ) -> time::Duration {
        let first = denial.named.max(denial.reused_for);
        first + self.spacing(workspace, limit).mul_f64(ahead as f64)
    }

    /// Returns the time per token of the rate that the limit leaves to this gateway.
    pub fn spacing(
        &self,
        workspace: &ids::WorkspaceId,
        limit: &rate_limit::RateLimit,
    ) -> time::Duration {
        let queue = self.workspaces.get(workspace);
        let pace = queue.map_or_else(GrantPace::default, |queue| queue.pace);
        pace.spacing(limit)
    }

    /// Books the return of a refused caller, and returns the delay until then. `earliest` is
    /// the time after which its turn would have come, and `phase` a random number in [0, 1).
    ///
    /// A random part of [`RETURN_SPREAD`] is added, as other gateways book returns for the
    /// same tokens and do not know of each other's bookings.
    pub fn book_return(
        &mut self,
        workspace: &ids::WorkspaceId,
        limit: &rate_limit::RateLimit,
        (request, earliest): (ids::RequestDigest, time::Duration),
        phase: f64,
        now: clock::MonotonicTime,
    ) -> time::Duration {
        let spacing = self.spacing(workspace, limit);
        let returns = &mut self.queue(workspace, now).returns;
        let earliest = earliest + RETURN_SPREAD.mul_f64(phase);
        returns.book(request, now, earliest, spacing)
    }

    /// Returns whether a request returns at its booked time, and removes the booking if so.
    pub fn redeem(
        &mut self,
        workspace: &ids::WorkspaceId,
        request: ids::RequestDigest,
        now: clock::MonotonicTime,
    ) -> bool {
        let queue = self.workspaces.get_mut(workspace);
        queue.is_some_and(|queue| queue.returns.redeem(request, now))
    }

    /// Forgets workspaces without waiting requests that had none after `since`.
    pub fn forget_idle(&mut self, since: clock::MonotonicTime) {
        self.workspaces.retain(|_, queue| {
            let is_used = !queue.waiting.is_empty() || !queue.granted.is_empty();
            is_used || queue.used_at >= since
        });
    }
}
