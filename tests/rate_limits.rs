//! Limits of workspaces over a fleet, as plain values: the sum over any window stays
//! below its bound whatever is lost, late, repeated, cut off or begun anew.

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
    text.parse().expect("it is an identifier")
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

fn play(plan: &LimitPlan) -> limit_fleet::LimitReport {
    let mut way = pooled::PooledShares::new(plan, &TOLERANCE);
    limit_fleet::simulate(plan, &TOLERANCE, &mut way)
}

#[rstest]
fn no_window_is_above_its_bound(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let shown = play(&plan(LimitScenario::Mixed, seed));
    assert!(shown.worst_window <= 1.0, "{shown:?}");
    // The last fault ends eight seconds before the end.
    assert!(
        shown.unchecked_after <= time::Duration::from_secs(2),
        "{shown:?}"
    );
}

#[rstest]
#[case::calm(LimitScenario::Calm, 0.001)]
#[case::hot(LimitScenario::Hot, 0.001)]
#[case::cut(LimitScenario::Cut, 0.02)]
#[case::killed(LimitScenario::Killed, 0.08)]
fn what_is_inside_the_limits_is_served(#[case] scenario: LimitScenario, #[case] most: f64) {
    let shown = play(&plan(scenario, 1));
    let refused = shown.refused_inside as f64 / shown.owed as f64;
    assert!(refused <= most, "{refused} {shown:?}");
    assert!(shown.worst_window <= 1.0, "{shown:?}");
}

/// A keeper alone, and deposits that come to it.
struct LoneKeeper {
    board: PoolTable,
    view: QuotaServerView,
    run: ids::RunNumber,
    shares: ShareClock,
    quota_server: ids::InstanceId,
}

impl LoneKeeper {
    fn new() -> Self {
        let quota_server: ids::InstanceId = id("d-0");
        let quota_servers = [quota_server.clone()];
        let mut board = PoolTable::new(quota_server.clone(), TOLERANCE, at_ms(0));
        board.set_quota_servers(&quota_servers, |_| None, at_ms(0));
        let mut shares = ShareClock::default();
        shares.set_quota_servers(&quota_servers, at_ms(0));
        Self {
            board,
            view: QuotaServerView::of(&quota_servers),
            run: ids::RunNumber::random(),
            shares,
            quota_server,
        }
    }

    /// The deposit that is due at a moment.
    fn due(&mut self, now: MonotonicTime) -> Option<PoolDeposit> {
        let mut rng = rngs::SmallRng::seed_from_u64(1);
        let due = self.shares.take(&self.quota_server, now, &mut rng)?;
        Some(PoolDeposit {
            run: self.run,
            number: due.number,
            time: ShareTime::of(due.time, 1),
            view: self.view,
            stamp: now,
        })
    }

    fn draw(&mut self, limit: &RateLimit, wanted: u32, now: MonotonicTime) -> u32 {
        match self.board.grant(&id("w"), limit, wanted, now) {
            TokenGrant::Tokens(count) => count,
            TokenGrant::Empty(_) | TokenGrant::NotQuotaServer => 0,
        }
    }
}

#[test]
fn repeated_late_and_foreign_deposits_credit_nothing() {
    let mut quota_server = LoneKeeper::new();
    let deposit = quota_server.due(at_ms(600)).expect("it is due");
    assert_eq!(
        quota_server.board.deposit(&deposit, at_ms(600)),
        DepositOutcome::Credited
    );
    assert_eq!(
        quota_server.board.deposit(&deposit, at_ms(601)),
        DepositOutcome::Repeated
    );
    let late = quota_server.due(at_ms(1200)).expect("it is due");
    assert_eq!(
        quota_server.board.deposit(&late, at_ms(4000)),
        DepositOutcome::Late
    );
    let next = quota_server.due(at_ms(5000)).expect("it is due");
    let foreign = PoolDeposit {
        view: QuotaServerView::of(&[id("d-7")]),
        ..next
    };
    assert_eq!(
        quota_server.board.deposit(&foreign, at_ms(5000)),
        DepositOutcome::OtherView
    );
    let ahead = PoolDeposit {
        stamp: at_ms(9000),
        ..quota_server.due(at_ms(6000)).expect("it is due")
    };
    assert_eq!(
        quota_server.board.deposit(&ahead, at_ms(6000)),
        DepositOutcome::Late
    );
}

#[test]
fn deposits_that_piled_up_while_a_keeper_stood_still_credit_no_more_than_its_burst() {
    let mut quota_server = LoneKeeper::new();
    let limit = limit(100.0, 0.0);
    let piled: Vec<_> = (1..=6)
        .filter_map(|n| quota_server.due(at_ms(n * 500)))
        .collect();
    for deposit in &piled {
        // Their stamps are made young, to show the bound by the passing of time alone.
        let deposit = PoolDeposit {
            stamp: at_ms(3000),
            ..*deposit
        };
        quota_server.board.deposit(&deposit, at_ms(3000));
    }
    assert!(quota_server.draw(&limit, 1000, at_ms(3000)) <= 25);
}

#[test]
fn a_lower_limit_binds_at_once_and_a_higher_one_gives_no_more_than_its_depth() {
    let mut quota_server = LoneKeeper::new();
    for n in 1..20 {
        let deposit = quota_server.due(at_ms(n * 500)).expect("it is due");
        quota_server.board.deposit(&deposit, at_ms(n * 500));
    }
    let now = at_ms(9500);
    assert!(quota_server.draw(&limit(1.0, 1.0), 1000, now) <= 20);
    let high = limit(1000.0, 1000.0);
    assert!(f64::from(quota_server.draw(&high, 10_000, now)) <= high.depth(&TOLERANCE));
}

#[test]
fn drawn_tokens_expire_from_the_moment_they_were_asked_for() {
    let mut cache = TokenCache::default();
    let workspace = id("w");
    // The answer came long after the request: its gateway stood still meanwhile.
    cache.put(&workspace, 5, at_ms(0));
    assert!(!cache.spend(&workspace, at_ms(0) + GRANT_TTL));
    cache.put(&workspace, 1, at_ms(1000));
    cache.put(&workspace, 1, at_ms(900));
    assert!(cache.spend(&workspace, at_ms(1001)));
    assert!(cache.spend(&workspace, at_ms(1001)));
    assert!(!cache.spend(&workspace, at_ms(1001)));
}

#[test]
fn an_empty_pool_is_not_asked_for_each_request() {
    let mut cache = TokenCache::default();
    let workspace = id("w");
    let denial = Denial::Exceeded(time::Duration::from_secs(3));
    cache.record_denial(&workspace, denial, at_ms(0));
    assert_eq!(cache.denial(&workspace, at_ms(50)), Some(denial));
    assert_eq!(cache.denial(&workspace, at_ms(150)), None);
}

#[test]
fn a_lost_keeper_is_followed_by_the_second_one() {
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
#[case::none_and_behind(KeyMatch::NoKey, false, KeyFreshness::Stale, KeyVerdict::Unauthorized)]
#[case::unknown(
    KeyMatch::Unknown,
    false,
    KeyFreshness::Current,
    KeyVerdict::Unauthorized
)]
#[case::not_known_yet(KeyMatch::Unknown, false, KeyFreshness::Stale, KeyVerdict::Undecided)]
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
fn keys_are_judged(
    #[case] found: KeyMatch<u8>,
    #[case] is_public: bool,
    #[case] view: KeyFreshness,
    #[case] expected: KeyVerdict<u8>,
) {
    assert_eq!(authenticate(found, is_public, view), expected);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever comes in whichever order, a keeper gives no more than its burst, its
    /// depth and the passing of time allow.
    #[test]
    fn a_keeper_never_gives_more_than_time_allows(
        steps in proptest::collection::vec((1u64..900, 0u32..60, 0u8..4), 1..80),
        rate in 1.0f64..200.0,
        burst in 0.0f64..200.0,
    ) {
        let limit = limit(rate, burst);
        let mut quota_server = LoneKeeper::new();
        let mut now_ms = 0;
        let mut given: Vec<(u64, u32)> = Vec::new();
        let mut kept: Vec<PoolDeposit> = Vec::new();
        for (pause, wanted, what) in steps {
            now_ms += pause;
            let now = at_ms(now_ms);
            match what {
                // Lost, in order, and kept back to come late or twice.
                0 => drop(quota_server.due(now)),
                1 => if let Some(deposit) = quota_server.due(now) {
                    quota_server.board.deposit(&deposit, now);
                    kept.push(deposit);
                },
                2 => kept.extend(quota_server.due(now)),
                _ => for deposit in kept.drain(..) {
                    quota_server.board.deposit(&deposit, now);
                },
            }
            given.push((now_ms, quota_server.draw(&limit, wanted, now)));
        }
        for (from, _) in &given {
            let window = given.iter().filter(|(at, _)| at >= from && *at < from + 5000);
            let count: u32 = window.map(|(_, count)| count).sum();
            prop_assert!(f64::from(count) <= TOLERANCE.bound(&limit) + 1.0);
        }
    }
}
