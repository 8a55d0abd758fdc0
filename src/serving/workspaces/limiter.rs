//! Holds the requests of a gateway to the limits of their workspaces.

use std::{cell, collections, rc, time};

use futures::{
    future::{self, FutureExt as _},
    stream::{self, StreamExt as _},
};
use rand::Rng as _;
use tokio::sync::Notify;

use super::limit_messages;
use crate::{clock, decisions::rate_limits::token_cache, ids};

/// Longest wait for a request for tokens that another request of the workspace made.
const FLIGHT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Pause after which the next keeper is asked beside one that has not answered.
const HEDGE_PAUSE: time::Duration = time::Duration::from_millis(30);
/// Time over which callers that are refused at once are asked to return.
const RETURN_SPREAD: time::Duration = time::Duration::from_millis(800);
/// When a caller may return whose limit could not be checked.
const SILENT_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Where tokens are drawn.
pub trait GrantSource {
    /// The keepers of a workspace's pools, the first choice first.
    fn quota_servers(&self, workspace: &ids::WorkspaceId) -> Vec<ids::InstanceId>;

    /// Asks a keeper for tokens; nothing if it does not answer.
    fn send_request(
        &self,
        quota_server: ids::InstanceId,
        request: limit_messages::TokenRequest,
    ) -> future::LocalBoxFuture<'_, Option<limit_messages::TokenResponse>>;
}

/// Whether a request may be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitVerdict {
    /// It may: a token was spent for it.
    Admitted,
    /// It is over the limit, which has room again after this time.
    Exceeded(time::Duration),
    /// The limit cannot be checked now.
    Unchecked(time::Duration),
}

/// A request for tokens in flight; its waiters are notified when it ends.
#[derive(Default)]
struct AskFlight {
    waiting: cell::Cell<u32>,
    ended: Notify,
}

/// Tokens of a gateway, and the requests for more that are under way.
#[derive(Default)]
pub struct Limiter {
    cache: cell::RefCell<token_cache::TokenCache>,
    flights: cell::RefCell<collections::HashMap<ids::WorkspaceId, rc::Rc<AskFlight>>>,
}

/// Ends a flight, also where its request is dropped.
struct FlightGuard<'a> {
    limiter: &'a Limiter,
    workspace: &'a ids::WorkspaceId,
    flight: rc::Rc<AskFlight>,
}

impl<'a> FlightGuard<'a> {
    fn begin(limiter: &'a Limiter, workspace: &'a ids::WorkspaceId) -> Self {
        let flight = rc::Rc::new(AskFlight::default());
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
    /// Spends a token for a request, and draws more where there is none.
    pub async fn admit(
        &self,
        workspace: &ids::WorkspaceId,
        source: &dyn GrantSource,
        clock: &dyn clock::MonotonicClock,
    ) -> LimitVerdict {
        self.cache
            .borrow_mut()
            .record_request(workspace, clock.now());
        let begun = clock.now();
        loop {
            let now = clock.now();
            if self.cache.borrow_mut().spend(workspace, now) {
                return LimitVerdict::Admitted;
            }
            if let Some(denial) = self.cache.borrow().denial(workspace, now) {
                return refusal(denial);
            }
            if now.since(begun) > FLIGHT_TIMEOUT {
                return refusal(token_cache::Denial::Silent);
            }
            let under_way = self.flights.borrow().get(workspace).cloned();
            match under_way {
                Some(flight) => wait_for(&flight).await,
                None => self.draw(workspace, source, clock).await,
            }
        }
    }

    /// Gives back the token of a request that was not run.
    pub fn give_back(&self, workspace: &ids::WorkspaceId, now: clock::MonotonicTime) {
        self.cache.borrow_mut().put(workspace, 1, now);
    }

    /// Forgets workspaces without requests since a moment.
    pub fn forget_idle(&self, since: clock::MonotonicTime) {
        self.cache.borrow_mut().forget_idle(since);
    }

    /// Asks the keepers of a workspace in turn, and notes what they say.
    async fn draw(
        &self,
        workspace: &ids::WorkspaceId,
        source: &dyn GrantSource,
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

    /// Asks the keepers one after the other; who is slow is asked beside the next one.
    ///
    /// # Errors
    /// None of them gave a token.
    async fn query_quota_servers(
        &self,
        workspace: &ids::WorkspaceId,
        source: &dyn GrantSource,
        clock: &dyn clock::MonotonicClock,
        flight: &AskFlight,
    ) -> Result<(), token_cache::Denial> {
        let mut denial = token_cache::Denial::Silent;
        let mut quota_servers = source.quota_servers(workspace).into_iter();
        let mut asks = stream::FuturesUnordered::new();
        loop {
            if let Some(quota_server) = quota_servers.next() {
                let wanted = self.wanted(workspace, flight);
                let workspace = workspace.clone();
                let asked_at = clock.now();
                let request = source.send_request(
                    quota_server,
                    limit_messages::TokenRequest { workspace, wanted },
                );
                asks.push(request.map(move |response| (response, asked_at)));
            }
            if asks.is_empty() {
                return Err(denial);
            }
            let is_last = quota_servers.len() == 0;
            tokio::select! {
                biased;
                Some((response, asked_at)) = asks.next() => match response {
                    Some(limit_messages::TokenResponse::Tokens(count)) => {
                        self.cache.borrow_mut().put(workspace, count, asked_at);
                        return Ok(());
                    }
                    Some(limit_messages::TokenResponse::Empty(ms)) => {
                        denial = sooner(denial, time::Duration::from_millis(ms.into()));
                    }
                    Some(limit_messages::TokenResponse::NotKeeper) | None => {}
                },
                () = tokio::time::sleep(HEDGE_PAUSE), if !is_last => {}
            }
        }
    }

    /// Tokens to ask for, with those for the requests that wait.
    fn wanted(&self, workspace: &ids::WorkspaceId, flight: &AskFlight) -> u32 {
        let waiting = flight.waiting.get() + 1;
        self.cache.borrow_mut().wanted(workspace, waiting)
    }
}

/// Waits for the end of a request for tokens that is under way.
async fn wait_for(flight: &AskFlight) {
    flight.waiting.set(flight.waiting.get() + 1);
    let ended = flight.ended.notified();
    if tokio::time::timeout(FLIGHT_TIMEOUT, ended).await.is_err() {
        log::debug!("event=grant_flight_slow");
    }
}

/// The denial after one more keeper has said when it has a token.
fn sooner(before: token_cache::Denial, wait: time::Duration) -> token_cache::Denial {
    match before {
        token_cache::Denial::Exceeded(other) => token_cache::Denial::Exceeded(other.min(wait)),
        token_cache::Denial::Silent => token_cache::Denial::Exceeded(wait),
    }
}

/// The verdict on a request without a token. Callers return at different times, or
/// the limit would be used up by the first of them again.
fn refusal(denial: token_cache::Denial) -> LimitVerdict {
    let spread = RETURN_SPREAD.mul_f64(rand::rng().random());
    match denial {
        token_cache::Denial::Exceeded(wait) => LimitVerdict::Exceeded(wait + spread),
        token_cache::Denial::Silent => LimitVerdict::Unchecked(SILENT_PAUSE + spread / 4),
    }
}
