//! Tokens of a workspace's limit for the requests of one gateway: quota servers that do not
//! respond, and requests that wait for a token.

use std::{cell, collections, future, time};

use futures::future::{FutureExt as _, LocalBoxFuture};
use jayhollow::{
    clock::{self, MonotonicClock as _},
    ids,
    serving::workspaces::{
        limit_messages::{TokenRequest, TokenResponse},
        limiter::{LimitVerdict, Limiter, TokenSource},
    },
};

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the identifier is valid")
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
    let admit = |limiter: &Limiter, source: &FakeSource| {
        let begun = clock.now();
        let verdict = actix_rt::System::new().block_on(limiter.admit(&workspace, source, &clock));
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
