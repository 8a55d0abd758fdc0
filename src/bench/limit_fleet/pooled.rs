//! Shares that are deposited in pools: the decision code of the product.

use rand::{rngs, seq::SliceRandom as _, SeedableRng as _};

use super::{limits_of, world, LimitPlan, LimitWay, RequestEnd, STEP};
use crate::{
    clock,
    decisions::rate_limits::{
        rate_limit::{LimitTolerance, RateLimit},
        share_clock::{self, ShareClock, ShareTime},
        start_credit::{decide_on_record, EpochMs, GatewayFraction, StartRecord},
        token_cache::{Denial, TokenCache},
        token_pools::{PoolDeposit, PoolTable, TokenGrant},
    },
    ids,
};

/// Bytes of a request for tokens with its answer, and of a deposit, as messages of the
/// product have them.
const ASK_BYTES: usize = 150;
const DEPOSIT_BYTES: usize = 48;
/// Wall-clock time at the start of a run.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// A gateway.
struct GatewayState {
    run: ids::RunNumber,
    shares: ShareClock,
    cache: TokenCache,
}

/// A fleet that keeps its limits by pooled shares.
pub struct PooledShares {
    limits: Vec<RateLimit>,
    tolerance: LimitTolerance,
    workspaces: Vec<ids::WorkspaceId>,
    names: Vec<ids::InstanceId>,
    gateways: Vec<GatewayState>,
    boards: Vec<PoolTable>,
    /// Start records on the disks of the quota servers.
    records: Vec<StartRecord>,
    messages: usize,
    bytes: usize,
    rng: rngs::SmallRng,
}

fn name<T: std::str::FromStr>(prefix: &str, number: usize) -> T
where
    T::Err: std::fmt::Debug,
{
    format!("{prefix}-{number}")
        .parse()
        .expect("it is an identifier")
}

impl PooledShares {
    /// A fleet that begins.
    pub fn new(plan: &LimitPlan, tolerance: &LimitTolerance) -> Self {
        let names: Vec<ids::InstanceId> = (0..plan.dispatchers).map(|n| name("d", n)).collect();
        let begun = clock::MonotonicTime(0);
        // The quota servers have started before, long ago.
        let mut records = vec![StartRecord::StartedAt(EpochMs(0)); plan.dispatchers];
        let boards = names.iter().zip(&mut records).map(|(id, record)| {
            let table = PoolTable::new(id.clone(), *tolerance, begun);
            Self::start_keeper(table, record, tolerance, begun)
        });
        Self {
            limits: limits_of(plan),
            tolerance: *tolerance,
            workspaces: (0..plan.workspaces).map(|n| name("w", n)).collect(),
            boards: boards.collect(),
            records,
            gateways: (0..plan.gateways)
                .map(|_| Self::fresh_gateway(begun))
                .collect(),
            names,
            rng: rngs::SmallRng::seed_from_u64(plan.seed),
            messages: 0,
            bytes: 0,
        }
    }

    /// Starts a quota server, which reads and replaces its record.
    fn start_keeper(
        mut table: PoolTable,
        record: &mut StartRecord,
        tolerance: &LimitTolerance,
        now: clock::MonotonicTime,
    ) -> PoolTable {
        let epoch = EpochMs(EPOCH_MS + now.0 / 1000);
        let decision = decide_on_record(*record, epoch, tolerance.window);
        if decision.writes {
            *record = StartRecord::StartedAt(epoch);
        }
        table.reserve_start_credits(now);
        table.permit_start_credits(decision.permission, now);
        table
    }

    fn fresh_gateway(now: clock::MonotonicTime) -> GatewayState {
        GatewayState {
            run: ids::RunNumber::random(),
            shares: ShareClock::starting_at(now),
            cache: TokenCache::default(),
        }
    }

    /// Names of the keepers among live dispatchers.
    fn quota_servers_among(&self, live: &[usize]) -> Vec<ids::InstanceId> {
        share_clock::quota_servers_among(live.iter().map(|k| self.names[*k].clone()))
    }

    fn number_of(&self, quota_server: &ids::InstanceId) -> usize {
        let found = self.names.iter().position(|n| n == quota_server);
        found.expect("it is one of the keepers")
    }

    fn follow_keepers(&mut self, world: &world::FleetWorld, quota_server: usize) {
        let quota_servers = self.quota_servers_among(&world.seen_by_keeper(quota_server));
        let limits = &self.limits;
        let workspaces = &self.workspaces;
        self.boards[quota_server].set_quota_servers(
            &quota_servers,
            |id| {
                let number = workspaces.iter().position(|w| w == id)?;
                Some(limits[number])
            },
            world.now(),
        );
        self.boards[quota_server].complete_list();
    }

    fn deposit(&mut self, world: &world::FleetWorld, gateway: usize) {
        let now = world.now();
        let quota_servers = self.quota_servers_among(&world.seen_by_gateway(gateway));
        self.gateways[gateway]
            .shares
            .set_quota_servers(&quota_servers, now);
        if !world.probes(gateway, STEP) {
            return;
        }
        for quota_server in quota_servers {
            let Some(due) = self.gateways[gateway]
                .shares
                .take(&quota_server, now, &mut self.rng)
            else {
                continue;
            };
            self.messages += 1;
            self.bytes += DEPOSIT_BYTES;
            let number = self.number_of(&quota_server);
            if !world.reaches(gateway, number) {
                continue;
            }
            let fraction = GatewayFraction::of(self.gateways.len());
            let deposit = PoolDeposit {
                run: self.gateways[gateway].run,
                number: due.number,
                time: ShareTime::of(due.time, self.gateways.len()),
                view: due.view,
                stamp: now,
                start_credit: due.is_first.then_some(fraction),
            };
            self.boards[number].receive(&deposit, now);
        }
    }

    /// Asks a workspace's keepers in turn; nothing if none of them answers.
    fn draw(
        &mut self,
        world: &world::FleetWorld,
        gateway: usize,
        workspace: usize,
    ) -> Option<Denial> {
        let id = &self.workspaces[workspace];
        let quota_servers = self.quota_servers_among(&world.seen_by_gateway(gateway));
        let mut denial = Denial::Silent;
        let mut order = share_clock::quota_servers_of(id, &quota_servers);
        order.shuffle(&mut self.rng);
        order.sort_by_key(|quota_server| {
            !world.receives_from(gateway, self.number_of(quota_server))
        });
        for quota_server in order {
            let number = self.number_of(&quota_server);
            self.messages += 1;
            self.bytes += ASK_BYTES;
            if !world.reaches(gateway, number) {
                continue;
            }
            let wanted = self.gateways[gateway].cache.wanted(id, 1);
            match self.boards[number].grant(id, &self.limits[workspace], wanted, world.now()) {
                TokenGrant::Tokens(count) => {
                    self.gateways[gateway].cache.put(id, count, world.now());
                    return None;
                }
                TokenGrant::Empty(wait) => denial = Denial::Exceeded(wait),
                TokenGrant::NotQuotaServer => {}
            }
        }
        Some(denial)
    }
}

impl LimitWay for PooledShares {
    fn step(&mut self, world: &world::FleetWorld) {
        for quota_server in 0..self.boards.len() {
            if world.keeper_begins(quota_server, STEP) {
                let id = self.names[quota_server].clone();
                let table = PoolTable::new(id, self.tolerance, world.now());
                let record = &mut self.records[quota_server];
                self.boards[quota_server] =
                    Self::start_keeper(table, record, &self.tolerance, world.now());
            }
            self.follow_keepers(world, quota_server);
        }
        for gateway in 0..self.gateways.len() {
            if world.gateway_begins(gateway, STEP) {
                self.gateways[gateway] = Self::fresh_gateway(world.now());
            }
            if world.serves(gateway) {
                self.deposit(world, gateway);
            }
        }
    }

    fn admits(
        &mut self,
        world: &world::FleetWorld,
        gateway: usize,
        workspace: usize,
    ) -> RequestEnd {
        let now = world.now();
        let id = self.workspaces[workspace].clone();
        self.gateways[gateway].cache.record_request(&id, now);
        if !self.gateways[gateway].cache.spend(&id, now) {
            let known = self.gateways[gateway].cache.denial(&id, now);
            let denial = known.or_else(|| self.draw(world, gateway, workspace));
            if let Some(denial) = denial {
                let cache = &mut self.gateways[gateway].cache;
                if known.is_none() {
                    cache.record_denial(&id, denial, now);
                }
                return match denial {
                    Denial::Exceeded(_) => RequestEnd::Exceeded,
                    Denial::Silent => RequestEnd::Unchecked,
                };
            }
            self.gateways[gateway].cache.spend(&id, now);
        }
        RequestEnd::Admitted
    }

    fn traffic(&self) -> (usize, usize) {
        (self.messages, self.bytes)
    }
}
