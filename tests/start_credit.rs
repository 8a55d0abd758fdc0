//! Start credits of token pools after a restart of all processes: which callers get a token in
//! the first seconds, when they are denied, and the record on disk that decides.

use std::{fs, ops, path, time};

use jayhollow::{
    clock::MonotonicTime,
    decisions::rate_limits::{
        rate_limit::{LimitTolerance, RateLimit},
        share_clock::{quota_servers_of, QuotaServerView, ShareClock, ShareTime},
        start_credit::{
            decide_on_record, EpochMs, GatewayFraction, StartCreditDenial, StartCreditOutcome,
            StartRecord,
        },
        token_pools::{DepositOutcome, DepositReceipt, PoolDeposit, PoolTable, TokenGrant},
    },
    ids,
    serving::start_record,
};
use rand::{rngs, Rng as _, SeedableRng as _};
use rstest::rstest;

const TOLERANCE: LimitTolerance = LimitTolerance {
    window: time::Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};
const NOW: EpochMs = EpochMs(1_700_000_000_000);

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the identifier is valid")
}

fn at_ms(ms: u64) -> MonotonicTime {
    MonotonicTime((1_000_000 + ms) * 1000)
}

fn limit(rate: f64, burst: f64) -> RateLimit {
    RateLimit::new(rate, burst).expect("the rate is positive")
}

/// Depth and start credit together must not exceed the depth that the bound allows, and the
/// burst must stay in the depth.
#[rstest]
fn start_credit_is_taken_from_the_margin_and_not_from_the_burst(
    #[values(0.1, 5.0, 40.0, 100.0, 400.0)] rate: f64,
    #[values(0.0, 1.0)] burst_s: f64,
) {
    let limit = limit(rate, rate * burst_s);
    let start_credit = limit.start_credit(&TOLERANCE);
    let depth = limit.depth_beside_start_credit(&TOLERANCE);
    assert!(depth + start_credit <= limit.depth(&TOLERANCE) + 1e-9);
    assert!(start_credit >= 0.0);
    assert!(depth >= limit.burst.min(limit.depth(&TOLERANCE)));
    // Without a tolerance nothing changes.
    let strict = LimitTolerance::default();
    assert!(limit.start_credit(&strict) == 0.0);
    assert!(limit.depth_beside_start_credit(&strict) == limit.depth(&strict));
}

#[rstest]
#[case::missing(StartRecord::Missing, Err(StartCreditDenial::NoRecord), true)]
#[case::unreadable(
    StartRecord::Unreadable,
    Err(StartCreditDenial::RecordUnreadable),
    true
)]
#[case::in_future(
    StartRecord::StartedAt(EpochMs(NOW.0 + 1)),
    Err(StartCreditDenial::RecordInFuture),
    true
)]
#[case::recent(
    StartRecord::StartedAt(EpochMs(NOW.0 - 15_000)),
    Err(StartCreditDenial::RecentStart),
    false
)]
#[case::long_ago(StartRecord::StartedAt(EpochMs(NOW.0 - 15_001)), Ok(()), true)]
fn only_a_start_long_ago_permits_start_credits(
    #[case] found: StartRecord,
    #[case] permission: Result<(), StartCreditDenial>,
    #[case] writes: bool,
) {
    let decision = decide_on_record(found, NOW, TOLERANCE.window);
    assert_eq!(decision.permission, permission);
    assert_eq!(decision.writes, writes);
}

/// A quota server with an empty pool whose list of quota servers is complete.
struct QuotaServer {
    table: PoolTable,
    view: QuotaServerView,
}

impl QuotaServer {
    fn starting(permission: Option<Result<(), StartCreditDenial>>) -> Self {
        let list = [id("d-0")];
        let mut table = PoolTable::new(id("d-0"), TOLERANCE, at_ms(0));
        table.reserve_start_credits(at_ms(0));
        if let Some(permission) = permission {
            table.permit_start_credits(permission, at_ms(0));
        }
        table.set_quota_servers(&list, |_| None, at_ms(0));
        table.complete_list();
        let view = QuotaServerView::of(&list);
        Self { table, view }
    }

    /// Receives the first deposit of a gateway that is a fraction of all.
    fn first_deposit(&mut self, gateways: usize, at: MonotonicTime) -> DepositReceipt {
        let deposit = self.deposit_of(gateways, at);
        self.table.receive(&deposit, at)
    }

    fn deposit_of(&self, gateways: usize, at: MonotonicTime) -> PoolDeposit {
        let mut shares = ShareClock::starting_at(at_ms(0));
        shares.set_quota_servers(&[id("d-0")], at_ms(0));
        let mut rng = rngs::SmallRng::seed_from_u64(1);
        let due = shares.take(&id("d-0"), at, &mut rng);
        let due = due.expect("the first deposit is due");
        assert!(due.is_first);
        PoolDeposit {
            run: ids::RunNumber::random(),
            number: due.number,
            time: ShareTime::of(due.time, gateways),
            view: self.view,
            stamp: at,
            start_credit: Some(GatewayFraction::of(gateways)),
        }
    }
}

/// Guards against first deposits that are cut to the credit burst, and against a limit without
/// a burst whose window would hold the tokens of that time on top of its own.
#[rstest]
#[case::with_burst(20.0, 20.0, 13..=14)]
#[case::without_burst(300.0, 0.0, 1..=75)]
fn the_first_deposits_credit_the_time_since_the_start(
    #[case] rate: f64,
    #[case] burst: f64,
    #[case] expected: ops::RangeInclusive<u32>,
) {
    const GATEWAYS: u64 = 12;
    let mut quota_server = QuotaServer::starting(Some(Err(StartCreditDenial::RecentStart)));
    let limit = limit(rate, burst);
    let mut granted = 0;
    for ms in 700..700 + GATEWAYS {
        quota_server.first_deposit(GATEWAYS as usize, at_ms(ms));
        let grant = quota_server.table.grant(&id("w"), &limit, 1000, at_ms(ms));
        if let TokenGrant::Tokens(count) = grant {
            granted += count;
        }
    }
    assert!(expected.contains(&granted), "{granted}");
}

/// Guards against early time that is credited for longer than the run is old, or later.
#[test]
fn early_time_does_not_exceed_the_age_of_the_run() {
    let mut quota_server = QuotaServer::starting(Some(Err(StartCreditDenial::RecentStart)));
    let limit = limit(20.0, 20.0);
    for _ in 0..10 {
        quota_server.first_deposit(1, at_ms(600));
    }
    let table = &mut quota_server.table;
    let early = table.grant(&id("w"), &limit, 1000, at_ms(600));
    assert_eq!(early, TokenGrant::Tokens(12));
    for _ in 0..10 {
        quota_server.first_deposit(1, at_ms(2600));
    }
    let table = &mut quota_server.table;
    let later = table.grant(&id("w"), &limit, 1000, at_ms(2600));
    assert_eq!(later, TokenGrant::Tokens(5));
}

fn accepted_fraction(outcome: Option<StartCreditOutcome>) -> f64 {
    match outcome {
        Some(StartCreditOutcome::Accepted(fraction)) => fraction,
        _ => 0.0,
    }
}

fn denied(reason: StartCreditDenial) -> Option<StartCreditOutcome> {
    Some(StartCreditOutcome::Denied(reason))
}

/// Guards against gateways that restart one after the other and are credited each time.
#[test]
fn at_most_one_whole_start_credit_is_accepted() {
    let mut quota_server = QuotaServer::starting(Some(Ok(())));
    let receipts = (0..10).map(|n| quota_server.first_deposit(4, at_ms(300 + n)).start_credit);
    let receipts: Vec<_> = receipts.collect();
    let fractions = receipts.iter().map(|outcome| accepted_fraction(*outcome));
    let accepted: f64 = fractions.sum();
    assert!((accepted - 1.0).abs() < 1e-6, "{receipts:?}");
    assert_eq!(receipts[9], denied(StartCreditDenial::UsedUp));
}

#[test]
fn repeated_late_and_foreign_deposits_bring_no_start_credit() {
    let mut quota_server = QuotaServer::starting(Some(Ok(())));
    let deposit = quota_server.deposit_of(4, at_ms(300));
    let first = quota_server.table.receive(&deposit, at_ms(300));
    assert!(accepted_fraction(first.start_credit) == 0.25);
    let repeated = quota_server.table.receive(&deposit, at_ms(301));
    let late = quota_server.deposit_of(4, at_ms(310));
    let late = quota_server.table.receive(&late, at_ms(3000));
    let foreign = PoolDeposit {
        view: QuotaServerView::of(&[id("d-7")]),
        ..quota_server.deposit_of(4, at_ms(320))
    };
    let foreign = quota_server.table.receive(&foreign, at_ms(320));
    for (receipt, outcome) in [
        (repeated, DepositOutcome::Repeated),
        (late, DepositOutcome::Late),
        (foreign, DepositOutcome::OtherView),
    ] {
        assert_eq!(receipt.outcome, outcome);
        assert_eq!(receipt.start_credit, None);
    }
}

/// Guards against start credits that are lost because the first deposits arrive before the
/// record is on the disk, and against those that are accepted without it.
#[rstest]
#[case::permitted(Ok(()), 0.75)]
#[case::denied(Err(StartCreditDenial::RecentStart), 0.0)]
fn start_credits_wait_for_the_record(
    #[case] permission: Result<(), StartCreditDenial>,
    #[case] expected: f64,
) {
    let mut quota_server = QuotaServer::starting(None);
    for ms in [20, 21, 22] {
        let receipt = quota_server.first_deposit(4, at_ms(ms));
        assert_eq!(receipt.outcome, DepositOutcome::Credited);
        assert_eq!(receipt.start_credit, Some(StartCreditOutcome::Held));
    }
    let limit = limit(40.0, 40.0);
    let grant = |table: &mut PoolTable, ms| table.grant(&id("w"), &limit, 1000, at_ms(ms));
    assert!(matches!(
        grant(&mut quota_server.table, 23),
        TokenGrant::Empty(_)
    ));
    let table = &mut quota_server.table;
    let outcome = table.permit_start_credits(permission, at_ms(30));
    assert!((accepted_fraction(outcome) - expected).abs() < 1e-6);
    let granted = grant(table, 31);
    let is_granted = matches!(granted, TokenGrant::Tokens(count) if count >= 7);
    assert_eq!(is_granted, permission.is_ok(), "{granted:?}");
    // The held ones count towards the whole.
    let later = (0..3).map(|n| quota_server.first_deposit(4, at_ms(40 + n)).start_credit);
    let later: f64 = later.map(accepted_fraction).sum();
    let rest = if permission.is_ok() { 0.25 } else { 0.0 };
    assert!((later - rest).abs() < 1e-6);
}

/// Guards against held start credits that are accepted under another list, or too late.
#[rstest]
#[case::list_changed(true, 30, StartCreditDenial::ListChanged)]
#[case::too_late(false, 5001, StartCreditDenial::RunTooOld)]
fn held_start_credits_are_denied(
    #[case] has_change: bool,
    #[case] permitted_at_ms: u64,
    #[case] reason: StartCreditDenial,
) {
    let mut quota_server = QuotaServer::starting(None);
    quota_server.first_deposit(1, at_ms(20));
    let table = &mut quota_server.table;
    if has_change {
        table.set_quota_servers(&[id("d-0"), id("d-1")], |_| None, at_ms(25));
    }
    let outcome = table.permit_start_credits(Ok(()), at_ms(permitted_at_ms));
    assert_eq!(outcome, denied(reason));
}

#[test]
fn start_credits_end_with_the_first_window_of_the_run() {
    let mut quota_server = QuotaServer::starting(Some(Ok(())));
    let receipt = quota_server.first_deposit(1, at_ms(5001));
    let reason = StartCreditDenial::RunTooOld;
    assert_eq!(receipt.start_credit, denied(reason));
}

/// Guards against a workspace that gets a second start credit from other quota servers after a
/// change of the list and a restart of the gateways.
#[test]
fn start_credits_end_when_the_list_of_quota_servers_changes() {
    let mut quota_server = QuotaServer::starting(Some(Ok(())));
    let table = &mut quota_server.table;
    table.set_quota_servers(&[id("d-0"), id("d-1")], |_| None, at_ms(100));
    table.set_quota_servers(&[id("d-0")], |_| None, at_ms(200));
    let receipt = quota_server.first_deposit(1, at_ms(300));
    assert_eq!(receipt.outcome, DepositOutcome::Credited);
    let reason = StartCreditDenial::ListChanged;
    assert_eq!(receipt.start_credit, denied(reason));
}

fn temp_dir() -> path::PathBuf {
    let directory = std::env::temp_dir().join(ids::unique("jayhollow-start"));
    fs::create_dir_all(&directory).expect("the directory is made");
    directory
}

/// Guards against start credits of two runs in one window, and against a first run without a
/// record that accepts them.
#[test]
fn the_record_permits_one_start_in_three_windows() {
    let directory = temp_dir();
    let instance = id("d-0");
    let start_at = |seconds: u64| {
        let now = EpochMs(NOW.0 + seconds * 1000);
        start_record::replace(&directory, &instance, now, TOLERANCE.window)
    };
    assert_eq!(start_at(0), Err(StartCreditDenial::NoRecord));
    assert_eq!(start_at(14), Err(StartCreditDenial::RecentStart));
    assert_eq!(start_at(16), Ok(()));
    assert_eq!(start_at(20), Err(StartCreditDenial::RecentStart));
    assert_eq!(start_at(31), Err(StartCreditDenial::RecentStart));
    // The denied starts do not move the record, so a later one is permitted.
    assert_eq!(start_at(32), Ok(()));
    // The wall clock was set back.
    assert_eq!(start_at(1), Err(StartCreditDenial::RecordInFuture));
    assert_eq!(start_at(17), Ok(()));
    fs::remove_dir_all(directory).expect("the directory is removed");
}

#[test]
fn a_corrupt_or_truncated_record_is_unreadable() {
    let directory = temp_dir();
    let instance = id("d-0");
    start_record::write(&directory, &instance, NOW).expect("the record is written");
    let written = StartRecord::StartedAt(NOW);
    assert_eq!(start_record::read(&directory, &instance), written);
    // The disk of another instance says nothing about this one.
    let other = start_record::read(&directory, &id("d-1"));
    assert_eq!(other, StartRecord::Unreadable);
    let file = directory.join("start");
    let whole = fs::read(&file).expect("the record is read");
    for length in 0..whole.len() {
        fs::write(&file, &whole[..length]).expect("the record is truncated");
        let found = start_record::read(&directory, &instance);
        assert_eq!(found, StartRecord::Unreadable, "{length} bytes");
    }
    for offset in 0..whole.len() {
        let mut changed = whole.clone();
        changed[offset] ^= 0x11;
        fs::write(&file, &changed).expect("the record is changed");
        let found = start_record::read(&directory, &instance);
        assert_eq!(found, StartRecord::Unreadable, "byte {offset} changed");
    }
    fs::remove_dir_all(directory).expect("the directory is removed");
}

#[test]
fn a_record_that_cannot_be_written_permits_nothing() {
    let directory = temp_dir();
    let instance = id("d-0");
    start_record::write(&directory, &instance, NOW).expect("the record is written");
    // A directory in the place of the temporary file.
    fs::create_dir(directory.join("start.next")).expect("the directory is made");
    let now = EpochMs(NOW.0 + 60_000);
    let permission = start_record::replace(&directory, &instance, now, TOLERANCE.window);
    assert_eq!(permission, Err(StartCreditDenial::RecordUnwritten));
    fs::remove_dir_all(directory).expect("the directory is removed");
}

/// Steps of the load after a restart of all processes.
const STEP_MS: u64 = 5;
/// Wait for a token that fits into the objective of 300 ms.
const TOKEN_WAIT_MS: u64 = 150;

/// Load of many workspaces on 40 gateways and 4 quota servers that have all just restarted.
struct RestartLoad {
    rng: rngs::SmallRng,
    tables: Vec<PoolTable>,
    servers: Vec<ids::InstanceId>,
    /// Each gateway with its run and the time at which it knows the quota servers.
    gateways: Vec<(ShareClock, ids::RunNumber, u64)>,
    workspaces: Vec<WorkspaceLoad>,
}

struct WorkspaceLoad {
    name: ids::WorkspaceId,
    limit: RateLimit,
    /// Requests that have not come yet: time, and whether it is the retry.
    coming: Vec<(u64, bool)>,
    /// Requests that wait: until when, and whether it is the retry.
    waiting: Vec<(u64, bool)>,
    /// Times at which requests were admitted.
    admitted: Vec<u64>,
}

impl RestartLoad {
    const GATEWAYS: usize = 40;
    const RATES: [f64; 6] = [2.0, 5.0, 5.0, 8.0, 12.0, 30.0];

    fn new(seed: u64, has_start_credits: bool) -> Self {
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let servers: Vec<_> = (0..4).map(|n| id(&format!("d-{n}"))).collect();
        let tables = servers.iter().map(|server: &ids::InstanceId| {
            let mut table = PoolTable::new(server.clone(), TOLERANCE, at_ms(0));
            if has_start_credits {
                table.reserve_start_credits(at_ms(0));
                table.permit_start_credits(Ok(()), at_ms(0));
            }
            table.set_quota_servers(&servers, |_| None, at_ms(0));
            table.complete_list();
            table
        });
        let tables = tables.collect();
        let gateways = (0..Self::GATEWAYS).map(|_| {
            let knows_at = rng.random_range(90..110) * STEP_MS;
            let clock = ShareClock::starting_at(at_ms(0));
            (clock, ids::RunNumber::random(), knows_at)
        });
        let gateways = gateways.collect();
        let workspaces = (0..60).map(|number| {
            let rate = Self::RATES[number % Self::RATES.len()];
            // A quarter more than the rate, with gaps drawn at random.
            let mut at = 0.0;
            let mut coming = Vec::new();
            while at < 4000.0 {
                at += rng.random_range(0.0..2.0) * 1000.0 / (rate * 1.25);
                coming.push((at as u64, false));
            }
            WorkspaceLoad {
                name: id(&format!("w-{number}")),
                limit: limit(rate, rate),
                coming,
                waiting: Vec::new(),
                admitted: Vec::new(),
            }
        });
        let workspaces = workspaces.collect();
        Self {
            rng,
            tables,
            servers,
            gateways,
            workspaces,
        }
    }

    fn deposit(&mut self, ms: u64) {
        for (clock, run, knows_at) in &mut self.gateways {
            if ms < *knows_at || !(ms - *knows_at).is_multiple_of(250) {
                continue;
            }
            clock.set_quota_servers(&self.servers, at_ms(ms));
            for (table, server) in self.tables.iter_mut().zip(&self.servers) {
                let Some(due) = clock.take(server, at_ms(ms), &mut self.rng) else {
                    continue;
                };
                let fraction = GatewayFraction::of(Self::GATEWAYS);
                let deposit = PoolDeposit {
                    run: *run,
                    number: due.number,
                    time: ShareTime::of(due.time, Self::GATEWAYS),
                    view: due.view,
                    stamp: at_ms(ms),
                    start_credit: due.is_first.then_some(fraction),
                };
                table.receive(&deposit, at_ms(ms));
            }
        }
    }

    fn serve(&mut self, ms: u64) {
        for workspace in &mut self.workspaces {
            // Requests that come before a gateway can serve are held until it can.
            let ready_at = self.gateways[0].2;
            let WorkspaceLoad {
                coming, waiting, ..
            } = workspace;
            coming.retain(|(at, is_retry)| {
                if *at <= ms {
                    waiting.push((at.max(&ready_at) + TOKEN_WAIT_MS, *is_retry));
                }
                *at > ms
            });
            for server in quota_servers_of(&workspace.name, &self.servers) {
                let number = self.servers.iter().position(|s| *s == server);
                let table = &mut self.tables[number.expect("it is listed")];
                let wanted = workspace.waiting.len() as u32;
                let limit = &workspace.limit;
                let grant = table.grant(&workspace.name, limit, wanted, at_ms(ms));
                if let TokenGrant::Tokens(count) = grant {
                    workspace.waiting.drain(..count as usize);
                    let admitted = std::iter::repeat_n(ms, count as usize);
                    workspace.admitted.extend(admitted);
                }
            }
            let WorkspaceLoad {
                coming, waiting, ..
            } = workspace;
            waiting.retain(|(until, is_retry)| {
                if *until <= ms && !is_retry {
                    coming.push((ms + self.rng.random_range(200..800), true));
                }
                *until > ms
            });
        }
    }

    fn run(mut self) -> Self {
        for ms in (0..4000).step_by(STEP_MS as usize) {
            self.deposit(ms);
            self.serve(ms);
        }
        self
    }

    /// Returns the requests admitted from `from_ms` to `to_ms`, relative to the rates.
    fn admitted(&self, from_ms: u64, to_ms: u64) -> f64 {
        let times = self.workspaces.iter().flat_map(|w| &w.admitted);
        let admitted = times.filter(|ms| (from_ms..to_ms).contains(*ms)).count();
        let rates = self.workspaces.iter().map(|w| w.limit.rate.per_second());
        admitted as f64 / (rates.sum::<f64>() * (to_ms - from_ms) as f64 / 1000.0)
    }
}

/// Guards against callers that are refused in the first seconds after a power loss although the
/// limits allow their requests.
#[rstest]
fn the_rate_is_admitted_in_the_first_seconds_after_a_restart(#[values(1, 2, 3, 4)] seed: u64) {
    let before = RestartLoad::new(seed, false).run();
    let load = RestartLoad::new(seed, true).run();
    println!(
        "seed={seed} first 2 s: {:.3} without and {:.3} with start credits, next 2 s: {:.3} {:.3}",
        before.admitted(0, 2000),
        load.admitted(0, 2000),
        before.admitted(2000, 4000),
        load.admitted(2000, 4000),
    );
    assert!(before.admitted(0, 2000) < 0.95, "the load is too easy");
    assert!(load.admitted(0, 2000) >= 0.95);
    assert!(load.admitted(2000, 4000) >= 0.95);
    for workspace in &load.workspaces {
        let first = workspace.admitted.first().copied();
        if workspace.limit.rate.per_second() >= 5.0 {
            assert!(first.is_some_and(|ms| ms <= 600), "{first:?}");
        }
        let bound = TOLERANCE.bound(&workspace.limit);
        assert!(workspace.admitted.len() as f64 <= bound);
    }
}
