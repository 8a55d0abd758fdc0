//! A gateway's share of all limits, measured in time and deposited with quota servers.

use std::{collections, time};

use xxhash_rust::xxh3;

use crate::{clock, decisions::ownership, ids};

/// Maximum number of quota servers in a fleet.
pub const MAX_QUOTA_SERVERS: usize = 4;
/// Time after which a deposit with a quota server is due.
const DEPOSIT_INTERVAL: time::Duration = time::Duration::from_millis(450);
/// Time after which a deposit may be made early, and the probability of that: gateways that
/// start together would otherwise fill the pools in pulses.
const MIN_DEPOSIT_INTERVAL: time::Duration = time::Duration::from_millis(200);
const EARLY_PROBABILITY: f64 = 0.4;
/// Maximum time that one deposit represents.
const MAX_DEPOSIT: time::Duration = time::Duration::from_millis(800);

/// Digest of a list of quota servers, independent of their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct QuotaServerView(u64);

impl QuotaServerView {
    /// Returns the digest of a list.
    pub fn of(quota_servers: &[ids::InstanceId]) -> Self {
        let numbers = quota_servers
            .iter()
            .map(|k| xxh3::xxh3_64(k.as_str().as_bytes()));
        Self(numbers.fold(0, u64::wrapping_add))
    }
}

/// Share of all limits over a time, in seconds of the full rate.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
pub struct ShareTime(f32);

impl ShareTime {
    /// Returns the share of one of `gateways` over a time.
    pub fn of(time: time::Duration, gateways: usize) -> Self {
        Self((time.as_secs_f64() / gateways.max(1) as f64) as f32)
    }

    /// Returns the share in seconds of the full rate.
    pub fn seconds(self) -> f64 {
        f64::from(self.0)
    }
}

/// Selects the quota servers among candidates.
pub fn quota_servers_among(
    candidates: impl Iterator<Item = ids::InstanceId>,
) -> Vec<ids::InstanceId> {
    let mut ids: Vec<_> = candidates.collect();
    // Ordered by hash, as instances with consecutive names are in the same failure domain.
    ids.sort_by_key(|id| ownership::weight(id.as_str(), "keepers"));
    ids.dedup();
    ids.truncate(MAX_QUOTA_SERVERS);
    ids
}

/// Returns the quota servers that hold the pools of a workspace, each with an equal part of
/// its limit.
pub fn quota_servers_of(
    workspace: &ids::WorkspaceId,
    quota_servers: &[ids::InstanceId],
) -> Vec<ids::InstanceId> {
    let mut order: Vec<_> = quota_servers.iter().collect();
    order.sort_by_key(|k| std::cmp::Reverse(ownership::weight(k.as_str(), workspace.as_str())));
    order.into_iter().take(2).cloned().collect()
}

/// Sequence number of a deposit within one run of a gateway.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct DepositNumber(u32);

/// Deposit that a gateway is to make with a quota server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DueDeposit {
    /// Sequence number of the deposit.
    pub number: DepositNumber,
    /// Quota servers known to the gateway.
    pub view: QuotaServerView,
    /// Time since the last deposit with this quota server.
    pub time: time::Duration,
    /// Whether it is the first one of this run with this quota server, so that the start credit
    /// goes with it. All first ones are made under one list of quota servers.
    pub is_first: bool,
}

/// Times at which a gateway's share was last deposited, by quota server.
///
/// Invariant: each instant of the gateway's time is deposited at most once with each quota
/// server, and none from before the start of this run: an earlier run may have deposited it.
#[derive(Debug, Clone)]
pub struct ShareClock {
    /// Start of this run of the gateway.
    started_at: clock::MonotonicTime,
    view: Option<QuotaServerView>,
    quota_servers: Vec<ids::InstanceId>,
    deposited_at: collections::BTreeMap<ids::InstanceId, clock::MonotonicTime>,
    number: DepositNumber,
}

impl ShareClock {
    /// Creates the clock of a gateway run that started at `started_at`.
    pub fn starting_at(started_at: clock::MonotonicTime) -> Self {
        Self {
            started_at,
            view: None,
            quota_servers: Vec::new(),
            deposited_at: collections::BTreeMap::new(),
            number: DepositNumber::default(),
        }
    }

    /// Replaces the list of quota servers. If it changes, the time since the last deposits is
    /// forfeited: a workspace may have moved to a quota server that received a deposit since.
    ///
    /// Before the first deposit of this run nothing is forfeited, as no quota server has
    /// received any of its time.
    pub fn set_quota_servers(
        &mut self,
        quota_servers: &[ids::InstanceId],
        now: clock::MonotonicTime,
    ) {
        let view = QuotaServerView::of(quota_servers);
        if self.view.replace(view) != Some(view) {
            self.quota_servers = quota_servers.to_vec();
            let from = match self.number == DepositNumber::default() {
                true => self.started_at,
                false => now,
            };
            self.deposited_at = quota_servers.iter().map(|k| (k.clone(), from)).collect();
        }
    }

    /// Returns the quota servers.
    pub fn quota_servers(&self) -> &[ids::InstanceId] {
        &self.quota_servers
    }

    /// Returns whether a quota server has received no deposit of this run. Its first one is
    /// due at once.
    pub fn awaits_first(&self, quota_server: &ids::InstanceId) -> bool {
        self.deposited_at.get(quota_server) == Some(&self.started_at)
    }

    /// Takes the deposit for a quota server, if it is due.
    pub fn take(
        &mut self,
        quota_server: &ids::InstanceId,
        now: clock::MonotonicTime,
        rng: &mut impl rand::Rng,
    ) -> Option<DueDeposit> {
        let view = self.view?;
        let is_first = self.awaits_first(quota_server);
        let last = self.deposited_at.get_mut(quota_server)?;
        let passed = now.since(*last);
        let is_early = passed >= MIN_DEPOSIT_INTERVAL && rng.random_bool(EARLY_PROBABILITY);
        if passed < DEPOSIT_INTERVAL && !is_early && !is_first {
            return None;
        }
        *last = now;
        self.number.0 += 1;
        Some(DueDeposit {
            number: self.number,
            view,
            time: passed.min(MAX_DEPOSIT),
            is_first,
        })
    }

    /// Restores the time of a deposit that is known not to have been sent.
    pub fn put_back(&mut self, quota_server: &ids::InstanceId, deposit: &DueDeposit) {
        if self.view != Some(deposit.view) {
            return;
        }
        if let Some(last) = self.deposited_at.get_mut(quota_server) {
            *last = match deposit.is_first {
                true => self.started_at,
                false => last.before(deposit.time),
            };
        }
    }
}
