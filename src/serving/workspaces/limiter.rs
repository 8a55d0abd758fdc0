//! Enforces the rate limits of workspaces on the requests of a gateway.

use std::{cell, collections, rc, time};

use futures::{
    future::{self, FutureExt as _},
    stream::{self, StreamExt as _},
};
use rand::Rng as _;
use tokio::sync::Notify;

use super::limit_messages;
use crate::{
    clock,
    decisions::rate_limits::{rate_limit, token_cache, token_queue},
    ids,
};

/// Timeout of waiting for a token request that another request of the workspace started.
const FLIGHT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Delay after which a hedged request goes to the next quota server.
const HEDGE_DELAY: time::Duration = time::Duration::from_millis(30);
/// Time for which a quota server that did not respond within [`HEDGE_DELAY`] is asked after
/// the others. It covers the time until its heartbeats count as missing.
const SLOW_DURATION: time::Duration = time::Duration::from_secs(1);
/// Maximum time for which a request waits while no quota server responds. A round trip takes
/// a few milliseconds, so this gateway is then cut off from all of them.
const MAX_SILENT_WAIT: time::Duration = time::Duration::from_millis(200);
/// Retry delay for a caller whose limit could not be checked, and the range of the random
/// delay that is added to it.
const UNCHECKED_RETRY_DELAY: time::Duration = time::Duration::from_millis(150);
const UNCHECKED_JITTER: time::Duration = time::Duration::from_millis(200);

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

/// A request that needs a token.
#[derive(Debug, Clone, Copy)]
pub struct LimitedRequest<'a> {
    /// Its workspace.
    pub workspace: &'a ids::WorkspaceId,
    /// Limit of the workspace.
    pub limit: rate_limit::RateLimit,
    /// Digest of the request, by which a caller that returns is recognized.
    pub digest: ids::RequestDigest,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Maximum time for which the request may wait after its limit is used up.
    pub max_wait: time::Duration,
}

/// Reason for which a request gets no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenRefusal {
    /// The expected wait is longer than the request may wait.
    TooLong,
    /// Too many requests wait.
    QueueFull,
    /// The request waited, and no token came in time.
    Expired,
    /// No quota server responded.
    Silent,
}

impl TokenRefusal {
    /// Returns the label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::TooLong => "too_long",
            Self::QueueFull => "queue_full",
            Self::Expired => "expired",
            Self::Silent => "silent",
        }
    }
}

/// Refusal of a request, with the inputs of the decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRefusal {
    /// The reason.
    pub reason: TokenRefusal,
    /// Time after which the caller is told to retry.
    pub retry_after: time::Duration,
    /// Time for which the request waited.
    pub waited: time::Duration,
    /// Time for which it was expected to wait further.
    pub expected: time::Duration,
    /// Number of requests that would have been served before it.
    pub ahead: usize,
}

/// Verdict of the limiter on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitVerdict {
    /// A token was spent, and the request may be served.
    Admitted,
    /// As [`Self::Admitted`], after a wait of this time because the limit was used up.
    AdmittedLate(time::Duration),
    /// The request exceeds the limit.
    Exceeded(LimitRefusal),
    /// The limit cannot be checked now.
    Unchecked(LimitRefusal),
}

/// Requests of one workspace that wait, for a response of a quota server or for a token.
#[derive(Default)]
struct WorkspaceWait {
    /// Number of requests.
    count: cell::Cell<usize>,
    /// Whether a token request is in flight.
    is_drawing: cell::Cell<bool>,
    /// Notified when a token request ends or tokens are handed out.
    changed: Notify,
}

/// What is known about a request that has no token yet.
#[derive(Debug, Clone, Copy, Default)]
struct WaitState {
    /// The last denial after which the request waits on.
    denial: Option<token_cache::Denial>,
    waited: time::Duration,
    expected: time::Duration,
    ahead: usize,
}

impl WaitState {
    /// Returns the reason for the refusal of a request whose wait has ended.
    fn expiry_reason(&self) -> TokenRefusal {
        match self.denial {
            Some(token_cache::Denial::Exceeded(_)) => TokenRefusal::Expired,
            Some(token_cache::Denial::Silent) | None => TokenRefusal::Silent,
        }
    }
}

/// Rate limiter of a gateway: its token cache, and the requests that wait for tokens.
#[derive(Default)]
pub struct Limiter {
    cache: cell::RefCell<token_cache::TokenCache>,
    queues: cell::RefCell<token_queue::TokenQueues>,
    waits: cell::RefCell<collections::HashMap<ids::WorkspaceId, rc::Rc<WorkspaceWait>>>,
    /// When quota servers last responded late or not at all.
    slow: cell::RefCell<collections::HashMap<ids::InstanceId, clock::MonotonicTime>>,
}

/// Guard that marks a token request as ended when dropped, also if it is cancelled.
struct DrawGuard(rc::Rc<WorkspaceWait>);

impl Drop for DrawGuard {
    fn drop(&mut self) {
        self.0.is_drawing.set(false);
        self.0.changed.notify_waiters();
    }
}

/// Guard that removes a request from the queue when dropped. A token that it was given and
/// did not use goes to the next request: its caller has left.
struct QueuedRequest<'a> {
    limiter: &'a Limiter,
    clock: &'a dyn clock::MonotonicClock,
    workspace: &'a ids::WorkspaceId,
    ticket: token_queue::WaitTicket,
    wait: rc::Rc<WorkspaceWait>,
}

impl<'a> QueuedRequest<'a> {
    /// Adds a request to the queue of its workspace; returns `None` if too many wait.
    fn join(
        limiter: &'a Limiter,
        workspace: &'a ids::WorkspaceId,
        rank: token_queue::WaitRank,
        clock: &'a dyn clock::MonotonicClock,
    ) -> Option<Self> {
        let mut queues = limiter.queues.borrow_mut();
        let ticket = queues.join(workspace, rank, clock.now())?;
        let mut waits = limiter.waits.borrow_mut();
        let wait = waits.entry(workspace.clone()).or_default().clone();
        wait.count.set(wait.count.get() + 1);
        Some(Self {
            limiter,
            clock,
            workspace,
            ticket,
            wait,
        })
    }

    /// Takes the token that the request was given, if any.
    fn take_token(&self) -> bool {
        let mut queues = self.limiter.queues.borrow_mut();
        queues.is_granted(self.workspace, &self.ticket)
            && queues.leave(self.workspace, &self.ticket)
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let mut queues = self.limiter.queues.borrow_mut();
        let has_token = queues.leave(self.workspace, &self.ticket);
        self.wait.count.set(self.wait.count.get() - 1);
        if self.wait.count.get() == 0 {
            self.limiter.waits.borrow_mut().remove(self.workspace);
        }
        if has_token {
            let mut cache = self.limiter.cache.borrow_mut();
            cache.put(self.workspace, 1, self.clock.now());
        }
        // The others have moved up, and may use the token.
        self.wait.changed.notify_waiters();
    }
}

impl Limiter {
    /// Spends a token for a request. If the cache has none, draws more from the source, and
    /// waits for one if the limit is used up and the wait fits.
    pub async fn admit(
        &self,
        request: &LimitedRequest<'_>,
        source: &dyn TokenSource,
        clock: &dyn clock::MonotonicClock,
    ) -> LimitVerdict {
        let started_at = clock.now();
        let workspace = request.workspace;
        self.cache
            .borrow_mut()
            .record_request(workspace, started_at);
        let is_returning = {
            let mut queues = self.queues.borrow_mut();
            queues.redeem(workspace, request.digest, started_at)
        };
        let rank = token_queue::WaitRank {
            priority: request.priority,
            is_new: !is_returning,
        };
        let mut state = WaitState::default();
        let Some(queued) = QueuedRequest::join(self, workspace, rank, clock) else {
            state.ahead = self.queues.borrow().waiting_of(workspace);
            if let Some(recent) = self.cache.borrow().recent_denial(workspace, started_at) {
                state.expected = self.expected_wait(request, state.ahead, &recent);
            }
            return self.refuse(request, TokenRefusal::QueueFull, &state, clock);
        };
        loop {
            let now = clock.now();
            state.waited = now.since(started_at);
            self.hand_out(workspace, &queued.wait, now);
            if queued.take_token() {
                return match state.denial.is_some() {
                    true => LimitVerdict::AdmittedLate(state.waited),
                    false => LimitVerdict::Admitted,
                };
            }
            let recent = self.cache.borrow().recent_denial(workspace, now);
            let Some(recent) = recent else {
                // Without any response so far, the limit may not be used up at all.
                let max_wait = match state.denial {
                    Some(_) => request.max_wait,
                    None => FLIGHT_TIMEOUT,
                };
                if state.waited >= max_wait {
                    return self.refuse(request, state.expiry_reason(), &state, clock);
                }
                let left = max_wait - state.waited;
                self.await_response(&queued, source, left).await;
                continue;
            };
            state.ahead = self.queues.borrow().ahead_of(workspace, &queued.ticket);
            state.expected = self.expected_wait(request, state.ahead, &recent);
            let max_wait = match recent.denial {
                token_cache::Denial::Silent => request.max_wait.min(MAX_SILENT_WAIT),
                token_cache::Denial::Exceeded(_) => request.max_wait,
            };
            let left = max_wait.saturating_sub(state.waited);
            if state.expected >= left {
                let reason = match recent.denial {
                    token_cache::Denial::Silent => TokenRefusal::Silent,
                    token_cache::Denial::Exceeded(_) if state.denial.is_some() => {
                        TokenRefusal::Expired
                    }
                    token_cache::Denial::Exceeded(_) => TokenRefusal::TooLong,
                };
                return self.refuse(request, reason, &state, clock);
            }
            state.denial = Some(recent.denial);
            let changed = queued.wait.changed.notified();
            // A timeout only means that the quota servers are to be asked again.
            let _ = tokio::time::timeout(recent.reused_for.min(left), changed).await;
        }
    }

    /// Draws tokens for the workspace of a request, or waits for the draw of another one.
    async fn await_response(
        &self,
        queued: &QueuedRequest<'_>,
        source: &dyn TokenSource,
        left: time::Duration,
    ) {
        if queued.wait.is_drawing.get() {
            let changed = queued.wait.changed.notified();
            if tokio::time::timeout(left, changed).await.is_err() {
                log::debug!("event=grant_flight_slow");
            }
            return;
        }
        // Tokens of a draw that is given up are lost, so each has the time of two hedges.
        let timeout = left.max(HEDGE_DELAY * 2);
        let draw = self.draw(queued.workspace, source, queued.clock, &queued.wait);
        if tokio::time::timeout(timeout, draw).await.is_err() {
            log::debug!("event=draw_given_up workspace={}", queued.workspace);
        }
    }

    /// Hands out the cached tokens to the waiting requests of a workspace in their order.
    fn hand_out(
        &self,
        workspace: &ids::WorkspaceId,
        wait: &WorkspaceWait,
        now: clock::MonotonicTime,
    ) {
        let mut queues = self.queues.borrow_mut();
        let mut cache = self.cache.borrow_mut();
        let mut has_changed = false;
        while queues.waiting_of(workspace) > 0 && cache.spend(workspace, now) {
            queues.grant_first(workspace);
            has_changed = true;
        }
        if has_changed {
            wait.changed.notify_waiters();
        }
    }

    /// Returns how long a denied request is expected to wait with `ahead` others before it.
    fn expected_wait(
        &self,
        request: &LimitedRequest<'_>,
        ahead: usize,
        recent: &token_cache::RecentDenial,
    ) -> time::Duration {
        let queues = self.queues.borrow();
        queues.expected_wait(request.workspace, &request.limit, ahead, recent)
    }

    /// Refuses a request, and books the return of its caller if the limit is used up.
    ///
    /// Without a place of its own, refused callers would return together, and the first of
    /// them would use up the limit again.
    fn refuse(
        &self,
        request: &LimitedRequest<'_>,
        reason: TokenRefusal,
        state: &WaitState,
        clock: &dyn clock::MonotonicClock,
    ) -> LimitVerdict {
        let phase = rand::rng().random();
        let retry_after = match reason {
            TokenRefusal::Silent => UNCHECKED_RETRY_DELAY + UNCHECKED_JITTER.mul_f64(phase),
            _ => {
                let mut queues = self.queues.borrow_mut();
                let returning = (request.digest, state.expected);
                let now = clock.now();
                queues.book_return(request.workspace, &request.limit, returning, phase, now)
            }
        };
        let refusal = LimitRefusal {
            reason,
            retry_after,
            waited: state.waited,
            expected: state.expected,
            ahead: state.ahead,
        };
        match reason {
            TokenRefusal::Silent => LimitVerdict::Unchecked(refusal),
            _ => LimitVerdict::Exceeded(refusal),
        }
    }

    /// Returns the token of a request that was not run to the cache.
    pub fn give_back(&self, workspace: &ids::WorkspaceId, now: clock::MonotonicTime) {
        self.cache.borrow_mut().put(workspace, 1, now);
        if let Some(wait) = self.waits.borrow().get(workspace) {
            wait.changed.notify_waiters();
        }
    }

    /// Returns the number of requests that wait for a token.
    pub fn waiting(&self) -> usize {
        self.queues.borrow().waiting()
    }

    /// Forgets workspaces without requests after the time `since`.
    pub fn forget_idle(&self, since: clock::MonotonicTime) {
        self.cache.borrow_mut().forget_idle(since);
        self.queues.borrow_mut().forget_idle(since);
    }

    /// Draws tokens from the quota servers of a workspace, and records a denial.
    async fn draw(
        &self,
        workspace: &ids::WorkspaceId,
        source: &dyn TokenSource,
        clock: &dyn clock::MonotonicClock,
        wait: &rc::Rc<WorkspaceWait>,
    ) {
        wait.is_drawing.set(true);
        let _guard = DrawGuard(wait.clone());
        let drawn = self.query_quota_servers(workspace, source, clock).await;
        let now = clock.now();
        let mut queues = self.queues.borrow_mut();
        match drawn {
            Ok(count) => queues.record_response(workspace, count, now),
            Err(denial) => {
                if is_denied(denial) {
                    queues.record_response(workspace, 0, now);
                }
                self.cache
                    .borrow_mut()
                    .record_denial(workspace, denial, now);
            }
        }
    }

    /// Queries the quota servers in order, with a hedged request to the next one while a
    /// response is slow. Slow ones are asked last, and their responses are not awaited after
    /// another one has denied the request. Returns the number of tokens.
    ///
    /// # Errors
    /// Returns the denial if no quota server granted a token.
    async fn query_quota_servers(
        &self,
        workspace: &ids::WorkspaceId,
        source: &dyn TokenSource,
        clock: &dyn clock::MonotonicClock,
    ) -> Result<u32, token_cache::Denial> {
        let mut denial = token_cache::Denial::Silent;
        let mut quota_servers = source.quota_servers(workspace);
        quota_servers.sort_by_key(|quota_server| self.is_slow(quota_server, clock.now()));
        let mut quota_servers = quota_servers.into_iter();
        let mut pending = Vec::new();
        let mut requests = stream::FuturesUnordered::new();
        loop {
            if let Some(quota_server) = quota_servers.next() {
                let wanted = self.wanted(workspace);
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
                        return Ok(count);
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
    fn wanted(&self, workspace: &ids::WorkspaceId) -> u32 {
        let waiting = self.queues.borrow().waiting_of(workspace).max(1);
        self.cache.borrow_mut().wanted(workspace, waiting as u32)
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
