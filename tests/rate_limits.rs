//! Rate limits of workspaces over a simulated fleet: the requests in any window stay within
//! the bound, whatever messages are lost, late or repeated and whichever processes are
//! partitioned or restarted.

use std::time;

use jayhollow::{
    bench::limit_fleet::{self, pooled, LimitPlan, LimitScenario},
    clock::MonotonicTime,
    decisions::{
        authentication::{authenticate, KeyFreshness, KeyMatch, KeyVerdict},
        rate_limits::{
            rate_limit::{LimitTolerance, RateLimit},
            share_clock::{
                quota_servers_of, QuotaServerView, ShareClock, ShareTime, MAX_QUOTA_SERVERS,
            },
            token_cache::{Denial, TokenCache, GRANT_TTL},
            token_pools::{DepositOutcome, PoolDeposit, PoolTable, TokenGrant},
        },
    },
    ids,
};
use proptest::prelude::*;
use rand::{rngs, SeedableRng as _};
use rstest::rstest;

const TOLERANCE: LimitTolerance = LimitTolerance {
    window: time::Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the identifier is valid")
}

fn limit(rate: f64, burst: f64) -> RateLimit {
    RateLimit::new(rate, burst).expect("the rate is positive")
}

fn at_ms(ms: u64) -> MonotonicTime {
    MonotonicTime((100_000 + ms) * 1000)
}

fn plan(scenario: LimitScenario, seed: u64) -> LimitPlan {
    LimitPlan {
        seed,
        scenario,
        gateways: 20,
        dispatchers: 6,
        workspaces: 24,
        rate: 200.0,
        traffic: time::Duration::from_secs(20),
    }
}

fn simulate(plan: &LimitPlan) -> limit_fleet::LimitReport {
    let mut shares = pooled::PooledShares::new(plan, &TOLERANCE);
    limit_fleet::simulate(plan, &TOLERANCE, &mut shares)
}

#[rstest]
fn requests_in_any_window_stay_within_the_bound(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let report = simulate(&plan(LimitScenario::Mixed, seed));
    assert!(report.worst_window <= 1.0, "{report:?}");
    // The last fault ends eight seconds before the end of the simulation.
    assert!(
        report.unchecked_after <= time::Duration::from_secs(2),
        "{report:?}"
    );
}

#[rstest]
#[case::calm(LimitScenario::Calm, 0.001)]
#[case::hot(LimitScenario::Hot, 0.001)]
#[case::cut(LimitScenario::Cut, 0.02)]
#[case::killed(LimitScenario::Killed, 0.08)]
fn requests_within_the_limits_are_served(#[case] scenario: LimitScenario, #[case] most: f64) {
    let report = simulate(&plan(scenario, 1));
    let refused_share = report.refused_inside as f64 / report.owed as f64;
    assert!(refused_share <= most, "{refused_share} {report:?}");
    assert!(report.worst_window <= 1.0, "{report:?}");
}

/// A single quota server with one gateway that makes deposits.
struct SingleQuotaServer {
    table: PoolTable,
    view: QuotaServerView,
    run: ids::RunNumber,
    shares: ShareClock,
    quota_server: ids::InstanceId,
}

impl SingleQuotaServer {
    fn new() -> Self {
        let quota_server: ids::InstanceId = id("d-0");
        let quota_servers = [quota_server.clone()];
        let mut table = PoolTable::new(quota_server.clone(), TOLERANCE, at_ms(0));
        table.set_quota_servers(&quota_servers, |_| None, at_ms(0));
        let mut shares = ShareClock::starting_at(at_ms(0));
        shares.set_quota_servers(&quota_servers, at_ms(0));
        Self {
            table,
            view: QuotaServerView::of(&quota_servers),
            run: ids::RunNumber::random(),
            shares,
            quota_server,
        }
    }

    /// Returns the deposit that is due at `now`, if any.
    fn due(&mut self, now: MonotonicTime) -> Option<PoolDeposit> {
        let mut rng = rngs::SmallRng::seed_from_u64(1);
        let due = self.shares.take(&self.quota_server, now, &mut rng)?;
        Some(PoolDeposit {
            run: self.run,
            number: due.number,
            time: ShareTime::of(due.time, 1),
            view: self.view,
            stamp: now,
            start_credit: None,
        })
    }

    fn request_tokens(&mut self, limit: &RateLimit, wanted: u32, now: MonotonicTime) -> u32 {
        match self.table.grant(&id("w"), limit, wanted, now) {
            TokenGrant::Tokens(count) => count,
            TokenGrant::Empty(_) | TokenGrant::NotQuotaServer => 0,
        }
    }
}

#[test]
fn repeated_late_and_foreign_deposits_credit_nothing() {
    let mut quota_server = SingleQuotaServer::new();
    let deposit = quota_server.due(at_ms(600)).expect("a deposit is due");
    assert_eq!(
        quota_server.table.deposit(&deposit, at_ms(600)),
        DepositOutcome::Credited
    );
    assert_eq!(
        quota_server.table.deposit(&deposit, at_ms(601)),
        DepositOutcome::Repeated
    );
    let late = quota_server.due(at_ms(1200)).expect("a deposit is due");
    assert_eq!(
        quota_server.table.deposit(&late, at_ms(4000)),
        DepositOutcome::Late
    );
    let next = quota_server.due(at_ms(5000)).expect("a deposit is due");
    let foreign = PoolDeposit {
        view: QuotaServerView::of(&[id("d-7")]),
        ..next
    };
    assert_eq!(
        quota_server.table.deposit(&foreign, at_ms(5000)),
        DepositOutcome::OtherView
    );
    let ahead = PoolDeposit {
        stamp: at_ms(9000),
        ..quota_server.due(at_ms(6000)).expect("a deposit is due")
    };
    assert_eq!(
        quota_server.table.deposit(&ahead, at_ms(6000)),
        DepositOutcome::Late
    );
}

#[test]
fn deposits_to_a_suspended_quota_server_credit_at_most_its_burst() {
    let mut quota_server = SingleQuotaServer::new();
    let limit = limit(100.0, 0.0);
    let queued_deposits: Vec<_> = (1..=6)
        .filter_map(|n| quota_server.due(at_ms(n * 500)))
        .collect();
    for deposit in &queued_deposits {
        // Recent stamps, so that only the limit by elapsed time applies.
        let deposit = PoolDeposit {
            stamp: at_ms(3000),
            ..*deposit
        };
        quota_server.table.deposit(&deposit, at_ms(3000));
    }
    assert!(quota_server.request_tokens(&limit, 1000, at_ms(3000)) <= 25);
}

/// Guards against pools that keep their tokens while no gateway deposits: the gateways may have
/// deposited elsewhere meanwhile, and the tokens of both places would be spent in one window.
#[rstest]
#[case::pool_in_use(true)]
#[case::pool_without_requests(false)]
fn pools_are_empty_after_a_time_without_deposits(#[case] is_in_use: bool) {
    let mut quota_server = SingleQuotaServer::new();
    let limit = limit(10.0, 100.0);
    for n in 1..40 {
        let deposit = quota_server.due(at_ms(n * 500)).expect("a deposit is due");
        quota_server.table.deposit(&deposit, at_ms(n * 500));
    }
    if is_in_use {
        assert_eq!(quota_server.request_tokens(&limit, 1, at_ms(19_500)), 1);
    }
    for ms in [25_000, 25_500, 26_000, 26_500] {
        let deposit = quota_server.due(at_ms(ms)).expect("a deposit is due");
        quota_server.table.deposit(&deposit, at_ms(ms));
    }
    let granted = quota_server.request_tokens(&limit, 1000, at_ms(26_500));
    // The time since the first deposit, and the largest credit at once.
    assert!((10..=18).contains(&granted), "{granted}");
}

#[test]
fn changed_limit_applies_at_once() {
    let mut quota_server = SingleQuotaServer::new();
    for n in 1..20 {
        let deposit = quota_server.due(at_ms(n * 500)).expect("a deposit is due");
        quota_server.table.deposit(&deposit, at_ms(n * 500));
    }
    let now = at_ms(9500);
    assert!(quota_server.request_tokens(&limit(1.0, 1.0), 1000, now) <= 20);
    let high = limit(1000.0, 1000.0);
    assert!(f64::from(quota_server.request_tokens(&high, 10_000, now)) <= high.depth(&TOLERANCE));
}

#[test]
fn token_ttl_starts_at_the_request() {
    let mut cache = TokenCache::default();
    let workspace = id("w");
    // The response arrived long after the request: the gateway was suspended in between.
    cache.put(&workspace, 5, at_ms(0));
    assert!(!cache.spend(&workspace, at_ms(0) + GRANT_TTL));
    cache.put(&workspace, 1, at_ms(1000));
    cache.put(&workspace, 1, at_ms(900));
    assert!(cache.spend(&workspace, at_ms(1001)));
    assert!(cache.spend(&workspace, at_ms(1001)));
    assert!(!cache.spend(&workspace, at_ms(1001)));
}

#[test]
fn denial_is_reused_for_a_short_time() {
    let mut cache = TokenCache::default();
    let workspace = id("w");
    let denial = Denial::Exceeded(time::Duration::from_secs(3));
    cache.record_denial(&workspace, denial, at_ms(0));
    assert_eq!(cache.denial(&workspace, at_ms(50)), Some(denial));
    assert_eq!(cache.denial(&workspace, at_ms(150)), None);
}

#[test]
fn second_quota_server_takes_over_from_a_lost_one() {
    let quota_servers: Vec<ids::InstanceId> = (0..MAX_QUOTA_SERVERS)
        .map(|n| id(&format!("d-{n}")))
        .collect();
    for number in 0..100 {
        let workspace = id(&format!("w-{number}"));
        let order = quota_servers_of(&workspace, &quota_servers);
        assert_eq!(order.len(), 2);
        let left: Vec<_> = quota_servers
            .iter()
            .filter(|k| **k != order[0])
            .cloned()
            .collect();
        assert_eq!(quota_servers_of(&workspace, &left)[0], order[1]);
    }
}

#[rstest]
#[case::none(
    KeyMatch::NoKey,
    false,
    KeyFreshness::Current,
    KeyVerdict::Unauthorized
)]
#[case::none_and_stale(KeyMatch::NoKey, false, KeyFreshness::Stale, KeyVerdict::Unauthorized)]
#[case::unknown(
    KeyMatch::Unknown,
    false,
    KeyFreshness::Current,
    KeyVerdict::Unauthorized
)]
#[case::unknown_and_stale(KeyMatch::Unknown, false, KeyFreshness::Stale, KeyVerdict::Undecided)]
#[case::known(
    KeyMatch::Known(1),
    false,
    KeyFreshness::Stale,
    KeyVerdict::Workspace(1)
)]
#[case::public(KeyMatch::NoKey, true, KeyFreshness::Current, KeyVerdict::Anonymous)]
#[case::public_unknown(KeyMatch::Unknown, true, KeyFreshness::Stale, KeyVerdict::Anonymous)]
#[case::public_known(
    KeyMatch::Known(1),
    true,
    KeyFreshness::Current,
    KeyVerdict::Workspace(1)
)]
fn keys_are_authenticated(
    #[case] found: KeyMatch<u8>,
    #[case] is_public: bool,
    #[case] freshness: KeyFreshness,
    #[case] expected: KeyVerdict<u8>,
) {
    assert_eq!(authenticate(found, is_public, freshness), expected);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against a quota server that grants more tokens than its burst, its depth and the
    /// elapsed time allow, in any order of requests and of lost, late and repeated deposits.
    #[test]
    fn quota_server_never_grants_more_than_time_allows(
        steps in proptest::collection::vec((1u64..900, 0u32..60, 0u8..4), 1..80),
        rate in 1.0f64..200.0,
        burst in 0.0f64..200.0,
    ) {
        let limit = limit(rate, burst);
        let mut quota_server = SingleQuotaServer::new();
        let mut now_ms = 0;
        let mut granted: Vec<(u64, u32)> = Vec::new();
        let mut delayed: Vec<PoolDeposit> = Vec::new();
        for (wait_ms, wanted, what) in steps {
            now_ms += wait_ms;
            let now = at_ms(now_ms);
            match what {
                // 0: lost; 1: delivered, and repeated later; 2: delayed; 3: delivers the delayed
                // and repeated ones.
                0 => drop(quota_server.due(now)),
                1 => if let Some(deposit) = quota_server.due(now) {
                    quota_server.table.deposit(&deposit, now);
                    delayed.push(deposit);
                },
                2 => delayed.extend(quota_server.due(now)),
                _ => for deposit in delayed.drain(..) {
                    quota_server.table.deposit(&deposit, now);
                },
            }
            granted.push((now_ms, quota_server.request_tokens(&limit, wanted, now)));
        }
        for (from, _) in &granted {
            let window = granted.iter().filter(|(at, _)| at >= from && *at < from + 5000);
            let count: u32 = window.map(|(_, count)| count).sum();
            prop_assert!(f64::from(count) <= TOLERANCE.bound(&limit) + 1.0);
        }
    }
}
