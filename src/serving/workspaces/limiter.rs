//! Enforces the rate limits of workspaces on the requests of a gateway.

use std::{cell, collections, rc, time};

use futures::{
    future::{self, FutureExt as _},
    stream::{self, StreamExt as _},
};
use rand::Rng as _;
use tokio::sync::Notify;

use super::limit_messages;
use crate::{clock, decisions::rate_limits::token_cache, ids};

/// Timeout of waiting for a token request that another request of the workspace started.
const FLIGHT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Delay after which a hedged request goes to the next quota server.
const HEDGE_DELAY: time::Duration = time::Duration::from_millis(30);
/// Time for which a quota server that did not respond within [`HEDGE_DELAY`] is asked after
/// the others. It covers the time until its heartbeats count as missing.
const SLOW_DURATION: time::Duration = time::Duration::from_secs(1);
/// Range of the random delay that is added to the retry times of refused callers.
const RETRY_JITTER: time::Duration = time::Duration::from_millis(800);
/// Retry delay for a caller whose limit could not be checked.
const UNCHECKED_RETRY_DELAY: time::Duration = time::Duration::from_millis(150);

/// Source of tokens.
pub trait TokenSource {
    /// Returns the quota servers of a workspace in order of preference.
    fn quota_servers(&self, workspace: &ids::WorkspaceId) -> Vec<ids::InstanceId>;

    /// Requests tokens from a quota server. Resolves to `None` if it does not respond.
    fn send_request(
        &self,
        quota_server: ids::InstanceId,
        request: limit_messages::TokenRequest,
    ) -> future::LocalBoxFuture<'_, Option<limit_messages::TokenResponse>>;
}

/// Verdict of the limiter on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitVerdict {
    /// A token was spent, and the request may be served.
    Admitted,
    /// The request exceeds the limit and may be retried after this time.
    Exceeded(time::Duration),
    /// The limit cannot be checked now; the request may be retried after this time.
    Unchecked(time::Duration),
}

/// A token request in flight, whose waiters are notified when it ends.
#[derive(Default)]
struct TokenFlight {
    waiting: cell::Cell<u32>,
    ended: Notify,
}

/// Rate limiter of a gateway: its token cache and its token requests in flight.
#[derive(Default)]
pub struct Limiter {
    cache: cell::RefCell<token_cache::TokenCache>,
    flights: cell::RefCell<collections::HashMap<ids::WorkspaceId, rc::Rc<TokenFlight>>>,
    /// When quota servers last responded late or not at all.
    slow: cell::RefCell<collections::HashMap<ids::InstanceId, clock::MonotonicTime>>,
}

/// Guard that ends a flight when dropped, so that a cancelled request ends it too.
struct FlightGuard<'a> {
    limiter: &'a Limiter,
    workspace: &'a ids::WorkspaceId,
    flight: rc::Rc<TokenFlight>,
}

impl<'a> FlightGuard<'a> {
    fn begin(limiter: &'a Limiter, workspace: &'a ids::WorkspaceId) -> Self {
        let flight = rc::Rc::new(TokenFlight::default());
        let mut flights = limiter.flights.borrow_mut();
        flights.insert(workspace.clone(), flight.clone());
        Self {
            limiter,
            workspace,
            flight,
        }
    }
}

impl Drop for FlightGuard<'_> {
    fn drop(&mut self) {
        self.limiter.flights.borrow_mut().remove(self.workspace);
        self.flight.ended.notify_waiters();
    }
}

impl Limiter {
    /// Spends a token for a request. If the cache has none, draws more from the source.
    pub async fn admit(
        &self,
        workspace: &ids::WorkspaceId,
        source: &dyn TokenSource,
        clock: &dyn clock::MonotonicClock,
    ) -> LimitVerdict {
        self.cache
            .borrow_mut()
            .record_request(workspace, clock.now());
        let started_at = clock.now();
        loop {
            let now = clock.now();
            if self.cache.borrow_mut().spend(workspace, now) {
                return LimitVerdict::Admitted;
            }
            if let Some(denial) = self.cache.borrow().denial(workspace, now) {
                return verdict_of(denial);
            }
            if now.since(started_at) > FLIGHT_TIMEOUT {
                return verdict_of(token_cache::Denial::Silent);
            }
            let in_flight = self.flights.borrow().get(workspace).cloned();
            match in_flight {
                Some(flight) => wait_for(&flight).await,
                None => self.draw(workspace, source, clock).await,
            }
        }
    }

    /// Returns the token of a request that was not run to the cache.
    pub fn give_back(&self, workspace: &ids::WorkspaceId, now: clock::MonotonicTime) {
        self.cache.borrow_mut().put(workspace, 1, now);
    }

    /// Forgets workspaces without requests after the time `since`.
    pub fn forget_idle(&self, since: clock::MonotonicTime) {
        self.cache.borrow_mut().forget_idle(since);
    }

    /// Draws tokens from the quota servers of a workspace, and records a denial.
    async fn draw(
        &self,
        workspace: &ids::WorkspaceId,
        source: &dyn TokenSource,
        clock: &dyn clock::MonotonicClock,
    ) {
        let guard = FlightGuard::begin(self, workspace);
        let denial = match self
            .query_quota_servers(workspace, source, clock, &guard.flight)
            .await
        {
            Ok(()) => return,
            Err(denial) => denial,
        };
        let mut cache = self.cache.borrow_mut();
        cache.record_denial(workspace, denial, clock.now());
    }

    /// Queries the quota servers in order, with a hedged request to the next one while a
    /// response is slow. Slow ones are asked last, and their responses are not awaited after
    /// another one has denied the request.
    ///
    /// # Errors
    /// Returns the denial if no quota server granted a token.
    async fn query_quota_servers(
        &self,
        workspace: &ids::WorkspaceId,
        source: &dyn TokenSource,
        clock: &dyn clock::MonotonicClock,
        flight: &TokenFlight,
    ) -> Result<(), token_cache::Denial> {
        let mut denial = token_cache::Denial::Silent;
        let mut quota_servers = source.quota_servers(workspace);
        quota_servers.sort_by_key(|quota_server| self.is_slow(quota_server, clock.now()));
        let mut quota_servers = quota_servers.into_iter();
        let mut pending = Vec::new();
        let mut requests = stream::FuturesUnordered::new();
        loop {
            if let Some(quota_server) = quota_servers.next() {
                let wanted = self.wanted(workspace, flight);
                let workspace = workspace.clone();
                let requested_at = clock.now();
                let request = source.send_request(
                    quota_server.clone(),
                    limit_messages::TokenRequest { workspace, wanted },
                );
                pending.push(quota_server.clone());
                requests.push(request.map(move |response| (quota_server, response, requested_at)));
            }
            if requests.is_empty() {
                return Err(denial);
            }
            let is_last = quota_servers.len() == 0;
            tokio::select! {
                biased;
                Some((quota_server, response, requested_at)) = requests.next() => {
                    pending.retain(|other| *other != quota_server);
                    match response {
                        Some(_) => drop(self.slow.borrow_mut().remove(&quota_server)),
                        None => self.record_slow([quota_server], clock.now()),
                    }
                    match response {
                    Some(limit_messages::TokenResponse::Tokens(count)) => {
                        self.cache.borrow_mut().put(workspace, count, requested_at);
                        return Ok(());
                    }
                    Some(limit_messages::TokenResponse::Empty(ms)) => {
                        denial = merge_wait(denial, time::Duration::from_millis(ms.into()));
                    }
                    Some(limit_messages::TokenResponse::NotKeeper) | None => {}
                    }
                },
                () = tokio::time::sleep(HEDGE_DELAY), if !is_last || is_denied(denial) => {
                    self.record_slow(pending.drain(..), clock.now());
                    if is_last {
                        return Err(denial);
                    }
                }
            }
        }
    }

    fn is_slow(&self, quota_server: &ids::InstanceId, now: clock::MonotonicTime) -> bool {
        let slow = self.slow.borrow();
        let at = slow.get(quota_server);
        at.is_some_and(|at| now.since(*at) < SLOW_DURATION)
    }

    fn record_slow(
        &self,
        quota_servers: impl IntoIterator<Item = ids::InstanceId>,
        now: clock::MonotonicTime,
    ) {
        let mut slow = self.slow.borrow_mut();
        slow.retain(|_, at| now.since(*at) < SLOW_DURATION);
        slow.extend(quota_servers.into_iter().map(|id| (id, now)));
    }

    /// Returns the number of tokens to request, including those for waiting requests.
    fn wanted(&self, workspace: &ids::WorkspaceId, flight: &TokenFlight) -> u32 {
        let waiting = flight.waiting.get() + 1;
        self.cache.borrow_mut().wanted(workspace, waiting)
    }
}

/// Waits for the end of a token request in flight.
async fn wait_for(flight: &TokenFlight) {
    flight.waiting.set(flight.waiting.get() + 1);
    let ended = flight.ended.notified();
    if tokio::time::timeout(FLIGHT_TIMEOUT, ended).await.is_err() {
        log::debug!("event=grant_flight_slow");
    }
}

fn is_denied(denial: token_cache::Denial) -> bool {
    matches!(denial, token_cache::Denial::Exceeded(_))
}

/// Merges the wait that another quota server reports into a denial; the shortest counts.
fn merge_wait(denial: token_cache::Denial, wait: time::Duration) -> token_cache::Denial {
    match denial {
        token_cache::Denial::Exceeded(other) => token_cache::Denial::Exceeded(other.min(wait)),
        token_cache::Denial::Silent => token_cache::Denial::Exceeded(wait),
    }
}

/// Returns the verdict on a request without a token, with a random retry time.
///
/// Without the jitter, refused callers would return together, and the first of them would
/// use up the limit again.
fn verdict_of(denial: token_cache::Denial) -> LimitVerdict {
    let jitter = RETRY_JITTER.mul_f64(rand::rng().random());
    match denial {
        token_cache::Denial::Exceeded(wait) => LimitVerdict::Exceeded(wait + jitter),
        token_cache::Denial::Silent => LimitVerdict::Unchecked(UNCHECKED_RETRY_DELAY + jitter / 4),
    }
}
