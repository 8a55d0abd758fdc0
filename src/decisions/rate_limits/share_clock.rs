//! A gateway's share of all limits, as time that it deposits with the keepers of pools.

use std::{collections, time};

use xxhash_rust::xxh3;

use crate::{clock, decisions::ownership, ids};

/// Pools of a workspace have at most so many candidates as keepers in a fleet.
pub const MAX_KEEPERS: usize = 4;
/// Time after which a deposit with a keeper is due.
const DEPOSIT_PAUSE: time::Duration = time::Duration::from_millis(450);
/// Time after which one may be made early, and how likely that is: gateways that begin
/// together would fill the pools in pulses.
const EARLY_PAUSE: time::Duration = time::Duration::from_millis(200);
const EARLY_CHANCE: f64 = 0.4;
/// Longest time that one deposit stands for.
const MAX_DEPOSIT: time::Duration = time::Duration::from_millis(800);

/// Digest of a list of keepers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct QuotaServerView(u64);

impl QuotaServerView {
    /// The digest of a list.
    pub fn of(quota_servers: &[ids::InstanceId]) -> Self {
        let numbers = quota_servers
            .iter()
            .map(|k| xxh3::xxh3_64(k.as_str().as_bytes()));
        Self(numbers.fold(0, u64::wrapping_add))
    }
}

/// A part of all limits over a time, in seconds of the whole limit.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
pub struct ShareTime(f32);

impl ShareTime {
    /// The share of one of `gateways` over a time.
    pub fn of(time: time::Duration, gateways: usize) -> Self {
        Self((time.as_secs_f64() / gateways.max(1) as f64) as f32)
    }

    /// Seconds of the whole limit.
    pub fn seconds(self) -> f64 {
        f64::from(self.0)
    }
}

/// Keepers of pools among candidates.
pub fn quota_servers_among(
    candidates: impl Iterator<Item = ids::InstanceId>,
) -> Vec<ids::InstanceId> {
    let mut ids: Vec<_> = candidates.collect();
    // By hash: names that follow each other stand in one failure domain.
    ids.sort_by_key(|id| ownership::weight(id.as_str(), "keepers"));
    ids.dedup();
    ids.truncate(MAX_KEEPERS);
    ids
}

/// The keepers of a workspace's pools; each has an equal part of its limit.
pub fn quota_servers_of(
    workspace: &ids::WorkspaceId,
    quota_servers: &[ids::InstanceId],
) -> Vec<ids::InstanceId> {
    let mut order: Vec<_> = quota_servers.iter().collect();
    order.sort_by_key(|k| std::cmp::Reverse(ownership::weight(k.as_str(), workspace.as_str())));
    order.into_iter().take(2).cloned().collect()
}

/// Number of a deposit among those of one run of a gateway.
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

/// What a gateway deposits with a keeper.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DueDeposit {
    /// Tells it from the others.
    pub number: DepositNumber,
    /// The keepers that the gateway knows.
    pub view: QuotaServerView,
    /// The time since the last one.
    pub time: time::Duration,
}

/// When a gateway's share was last deposited, by keeper.
///
/// Invariant: each moment of the gateway's time is deposited once at most with each keeper.
#[derive(Debug, Clone, Default)]
pub struct ShareClock {
    view: Option<QuotaServerView>,
    quota_servers: Vec<ids::InstanceId>,
    deposited_at: collections::BTreeMap<ids::InstanceId, clock::MonotonicTime>,
    number: DepositNumber,
}

impl ShareClock {
    /// Follows the list of keepers. At a change the time since the last deposits is
    /// forfeited: a workspace may have moved to a keeper that had a deposit since.
    pub fn set_quota_servers(
        &mut self,
        quota_servers: &[ids::InstanceId],
        now: clock::MonotonicTime,
    ) {
        let view = QuotaServerView::of(quota_servers);
        if self.view.replace(view) != Some(view) {
            self.quota_servers = quota_servers.to_vec();
            let from_now = quota_servers.iter().map(|k| (k.clone(), now));
            self.deposited_at = from_now.collect();
        }
    }

    /// The keepers.
    pub fn quota_servers(&self) -> &[ids::InstanceId] {
        &self.quota_servers
    }

    /// Takes what is to be deposited with a keeper, if it is due.
    pub fn take(
        &mut self,
        quota_server: &ids::InstanceId,
        now: clock::MonotonicTime,
        rng: &mut impl rand::Rng,
    ) -> Option<DueDeposit> {
        let view = self.view?;
        let last = self.deposited_at.get_mut(quota_server)?;
        let passed = now.since(*last);
        let is_first = self.number == DepositNumber::default();
        let is_early = passed >= EARLY_PAUSE && (is_first || rng.random_bool(EARLY_CHANCE));
        if passed < DEPOSIT_PAUSE && !is_early {
            return None;
        }
        *last = now;
        self.number.0 += 1;
        Some(DueDeposit {
            number: self.number,
            view,
            time: passed.min(MAX_DEPOSIT),
        })
    }

    /// Takes back a deposit that was certainly not sent.
    pub fn put_back(&mut self, quota_server: &ids::InstanceId, deposit: &DueDeposit) {
        if self.view != Some(deposit.view) {
            return;
        }
        if let Some(last) = self.deposited_at.get_mut(quota_server) {
            *last = last.before(deposit.time);
        }
    }
}
