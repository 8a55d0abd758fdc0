//! Tokens of a workspace's limit for the requests of one gateway: quota servers that do not
//! respond, and requests that wait for a token.

use std::{cell, collections, future, time};

use futures::future::{join_all, FutureExt as _, LocalBoxFuture};
use jayhollow::{
    clock::{self, MonotonicClock as _},
    decisions::rate_limits::{
        rate_limit::RateLimit,
        token_cache::{Denial, RecentDenial},
        token_queue::{TokenQueues, WaitRank, MAX_WAITING, MAX_WAITING_PER_WORKSPACE},
    },
    ids,
    serving::workspaces::{
        limit_messages::{TokenRequest, TokenResponse},
        limiter::{LimitRefusal, LimitVerdict, LimitedRequest, Limiter, TokenRefusal, TokenSource},
    },
};

const MAX_WAIT: time::Duration = time::Duration::from_millis(400);

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the identifier is valid")
}

fn limit() -> RateLimit {
    RateLimit::new(20.0, 0.0).expect("the rate is positive")
}

/// Returns request `number` of a workspace.
fn request(workspace: &ids::WorkspaceId, priority: u32, number: u32) -> LimitedRequest<'_> {
    LimitedRequest {
        workspace,
        limit: limit(),
        digest: ids::RequestDigest::of("POST", "host", "/", &number.to_le_bytes()),
        priority,
        max_wait: MAX_WAIT,
    }
}

/// What a quota server of the test does.
#[derive(Clone, Copy)]
enum ServerState {
    Grants,
    Denies,
    /// Never responds.
    Frozen,
    /// Has no link to this process.
    Unlinked,
}

/// Quota servers in the order in which they are preferred.
struct FakeSource {
    servers: Vec<ServerState>,
    requests: cell::RefCell<collections::BTreeMap<ids::InstanceId, u32>>,
}

impl FakeSource {
    fn new(servers: &[ServerState]) -> Self {
        let servers = servers.to_vec();
        let requests = cell::RefCell::default();
        Self { servers, requests }
    }
}

impl TokenSource for FakeSource {
    fn quota_servers(&self, _: &ids::WorkspaceId) -> Vec<ids::InstanceId> {
        let numbers = 0..self.servers.len();
        numbers.map(|n| id(&format!("d-{n}"))).collect()
    }

    fn send_request(
        &self,
        quota_server: ids::InstanceId,
        request: TokenRequest,
    ) -> LocalBoxFuture<'_, Option<TokenResponse>> {
        let number: usize = quota_server.as_str()[2..].parse().expect("it is a number");
        *self.requests.borrow_mut().entry(quota_server).or_default() += 1;
        match self.servers[number] {
            ServerState::Grants => {
                future::ready(Some(TokenResponse::Tokens(request.wanted))).boxed_local()
            }
            ServerState::Denies => future::ready(Some(TokenResponse::Empty(5000))).boxed_local(),
            ServerState::Frozen => future::pending().boxed_local(),
            ServerState::Unlinked => future::ready(None).boxed_local(),
        }
    }
}

/// Guards against requests that are delayed or denied because a quota server does not
/// respond, although another one does.
#[test]
fn a_silent_quota_server_neither_delays_nor_denies() {
    let workspace = id("w");
    let clock = clock::SystemClock::default();
    let request = request(&workspace, 0, 1);
    let admit = |limiter: &Limiter, source: &FakeSource| {
        let begun = clock.now();
        let verdict = actix_rt::System::new().block_on(limiter.admit(&request, source, &clock));
        (verdict, clock.now().since(begun))
    };
    for silent in [ServerState::Frozen, ServerState::Unlinked] {
        let limiter = Limiter::default();
        let source = FakeSource::new(&[silent, ServerState::Grants]);
        let (verdicts, times): (Vec<_>, Vec<_>) = (0..20).map(|_| admit(&limiter, &source)).unzip();
        assert!(verdicts.iter().all(|v| *v == LimitVerdict::Admitted));
        // Only the first request waits until another one is asked.
        assert!(times[0] < time::Duration::from_millis(100), "{times:?}");
        let slow = times[1..].iter().filter(|t| t.as_millis() >= 25).count();
        assert!(slow <= 1, "{times:?}");
        assert_eq!(source.requests.borrow()[&id("d-0")], 1);

        let limiter = Limiter::default();
        let (verdict, spent) = admit(&limiter, &FakeSource::new(&[silent, ServerState::Denies]));
        assert!(matches!(verdict, LimitVerdict::Exceeded(_)), "{verdict:?}");
        assert!(spent < time::Duration::from_millis(200), "{spent:?}");
    }
}

/// Quota server with one pool, into which tokens flow at the rate of [`limit`]. It holds at
/// most one token.
struct FakePool<'a> {
    clock: &'a clock::SystemClock,
    /// Time up to which the flow is spent.
    spent_to: cell::Cell<time::Duration>,
}

impl<'a> FakePool<'a> {
    fn new(clock: &'a clock::SystemClock) -> Self {
        let spent_to = cell::Cell::new(since_start(clock));
        Self { clock, spent_to }
    }
}

fn since_start(clock: &clock::SystemClock) -> time::Duration {
    clock.now().since(clock::MonotonicTime(0))
}

fn token_time() -> time::Duration {
    time::Duration::from_secs_f64(1.0 / limit().rate.per_second())
}

impl TokenSource for FakePool<'_> {
    fn quota_servers(&self, _: &ids::WorkspaceId) -> Vec<ids::InstanceId> {
        vec![id("d-0")]
    }

    fn send_request(
        &self,
        _: ids::InstanceId,
        _: TokenRequest,
    ) -> LocalBoxFuture<'_, Option<TokenResponse>> {
        let now = since_start(self.clock);
        let begun = self.spent_to.get().max(now.saturating_sub(token_time()));
        let next = begun + token_time();
        let response = match next <= now {
            true => {
                self.spent_to.set(next);
                TokenResponse::Tokens(1)
            }
            false => TokenResponse::Empty((next - now).as_millis() as u32),
        };
        async move {
            actix_rt::time::sleep(time::Duration::from_millis(1)).await;
            Some(response)
        }
        .boxed_local()
    }
}

fn refusal_of(verdict: &LimitVerdict) -> Option<LimitRefusal> {
    match verdict {
        LimitVerdict::Exceeded(refusal) => Some(*refusal),
        _ => None,
    }
}

/// Guards against callers beyond the rate that are refused although a token comes in time,
/// that wait in vain, or that are told to return when there is no token for them.
#[test]
fn callers_of_a_burst_wait_or_return_for_their_tokens() {
    let workspace = id("w");
    let clock = clock::SystemClock::default();
    let limiter = Limiter::default();
    let pool = FakePool::new(&clock);
    let call = |number| {
        let (limiter, pool, clock, workspace) = (&limiter, &pool, &clock, &workspace);
        async move {
            let request = request(workspace, 0, number);
            let first = limiter.admit(&request, pool, clock).await;
            let Some(refusal) = refusal_of(&first) else {
                return (first, None);
            };
            actix_rt::time::sleep(refusal.retry_after).await;
            (first, Some(limiter.admit(&request, pool, clock).await))
        }
    };
    let calls = join_all((0..30).map(call));
    let verdicts = actix_rt::System::new().block_on(calls);
    // In the time of a wait, 8 tokens come.
    let is_late = |v: &LimitVerdict| matches!(v, LimitVerdict::AdmittedLate(_));
    let waited = verdicts.iter().filter(|(first, _)| is_late(first)).count();
    assert!((5..=9).contains(&waited), "{verdicts:#?}");
    let refused: Vec<_> = verdicts.iter().filter_map(|(v, _)| refusal_of(v)).collect();
    for refusal in &refused {
        let is_at_once = refusal.waited < time::Duration::from_millis(40);
        assert!(
            is_at_once || refusal.reason == TokenRefusal::Expired,
            "{refusal:?}"
        );
    }
    let at_once = refused.iter().filter(|r| r.reason == TokenRefusal::TooLong);
    assert!(at_once.count() + 3 >= refused.len(), "{refused:#?}");
    let returned: Vec<_> = verdicts.iter().filter_map(|(_, v)| *v).collect();
    let served = returned.iter().filter(|v| refusal_of(v).is_none()).count();
    println!(
        "waited={waited} returned={} served={served}",
        returned.len()
    );
    assert!(served * 10 >= returned.len() * 9, "{verdicts:#?}");
    assert_eq!(limiter.waiting(), 0);
}

/// Guards against a token that goes to a lower priority, or is lost with a caller that left.
#[test]
fn tokens_go_to_the_highest_priority_and_past_callers_that_left() {
    let workspace = id("w");
    let clock = clock::SystemClock::default();
    let limiter = Limiter::default();
    let pool = FakePool::new(&clock);
    let order = cell::RefCell::new(Vec::new());
    let call = |priority, number| {
        let (limiter, pool, clock, workspace) = (&limiter, &pool, &clock, &workspace);
        let order = &order;
        async move {
            let request = request(workspace, priority, number);
            let verdict = limiter.admit(&request, pool, clock).await;
            assert_eq!(refusal_of(&verdict), None);
            order.borrow_mut().push(number);
        }
    };
    actix_rt::System::new().block_on(async {
        let left = tokio::time::timeout(time::Duration::from_millis(10), call(0, 9));
        let calls = join_all([call(2, 2), call(1, 0), call(1, 1)]);
        let (left, _) = futures::future::join(left, calls).await;
        assert!(left.is_err());
    });
    assert_eq!(*order.borrow(), [0, 1, 2]);
    assert_eq!(limiter.waiting(), 0);
}

/// Guards against queues that grow without bound, and against the wrong order among equals.
#[test]
fn queues_are_bounded_and_ordered() {
    let now = clock::MonotonicTime(1_000_000);
    let rank = |priority, is_new| WaitRank { priority, is_new };
    let mut queues = TokenQueues::default();
    let workspace = id("w-0");
    let late = queues
        .join(&workspace, rank(1, true), now)
        .expect("there is room");
    let returning = queues
        .join(&workspace, rank(1, false), now)
        .expect("there is room");
    let first = queues
        .join(&workspace, rank(0, true), now)
        .expect("there is room");
    let ahead = [first, returning, late].map(|ticket| queues.ahead_of(&workspace, &ticket));
    assert_eq!(ahead, [0, 1, 2]);
    let denial = RecentDenial {
        denial: Denial::Exceeded(time::Duration::from_millis(30)),
        reused_for: time::Duration::from_millis(30),
        named: time::Duration::from_millis(30),
    };
    let expected = queues.expected_wait(&workspace, &limit(), 2, &denial);
    assert_eq!(expected, time::Duration::from_millis(130));
    queues.grant_first(&workspace);
    assert!(queues.is_granted(&workspace, &first) && queues.leave(&workspace, &first));
    assert!(!queues.leave(&workspace, &returning));

    let joined = (0..100).filter(|_| queues.join(&workspace, rank(0, true), now).is_some());
    assert!(joined.count() < MAX_WAITING_PER_WORKSPACE);
    for number in 0..MAX_WAITING {
        queues.join(&id(&format!("w-{number}")), rank(0, true), now);
    }
    assert_eq!(queues.waiting(), MAX_WAITING);
}

/// Guards against retry times that follow the whole rate while other gateways take most of
/// the tokens.
#[test]
fn the_spacing_of_returns_is_learned_from_grants() {
    let mut queues = TokenQueues::default();
    let workspace = id("w");
    let at = |ms: u64| clock::MonotonicTime((1_000 + ms) * 1000);
    assert_eq!(queues.spacing(&workspace, &limit()), token_time());
    // One token in ten responses that are 20 ms apart: a tenth of the rate.
    for n in 0..500 {
        queues.record_response(&workspace, u32::from(n % 10 == 9), at(n * 20));
    }
    let spacing = queues.spacing(&workspace, &limit()).as_millis();
    assert!((140..=260).contains(&spacing), "{spacing}");
}
