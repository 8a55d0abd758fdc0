//! Limits of a workspace at one gateway: requests at once and requests a second.

use std::{collections, time};

use super::call_budget;
use crate::{clock, ids};

/// A workspace's share at one gateway.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspaceShare {
    /// Requests at once.
    pub concurrency: u32,
    /// Requests a second.
    pub rate: f64,
}

impl WorkspaceShare {
    /// The share of a limit for the whole fleet at one of `gateways`.
    ///
    /// Callers reach gateways through a balancer that is not even, so a share
    /// is half as large again as an even one.
    pub fn of_fleet(concurrency: u32, rate: u32, gateways: usize) -> Self {
        let part = match gateways {
            0 | 1 => 1.0,
            n => UNEVEN_FACTOR / n as f64,
        };
        let concurrency = (f64::from(concurrency) * part).ceil().max(1.0);
        Self {
            concurrency: concurrency as u32,
            rate: (f64::from(rate) * part).max(1.0),
        }
    }
}

/// How much larger than an even share a gateway's share is.
const UNEVEN_FACTOR: f64 = 1.5;

/// Why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitRefusal {
    /// Too many at once.
    Concurrency,
    /// Too many a second; a place is free after this time.
    Rate(time::Duration),
}

#[derive(Debug)]
struct WorkspaceUse {
    running: u32,
    bucket: call_budget::TokenBucket,
    share: WorkspaceShare,
}

/// What the workspaces use at this gateway.
///
/// Invariant: `running` is the number of admitted requests that did not end.
#[derive(Debug, Default)]
pub struct LimitTracker {
    workspaces: collections::HashMap<ids::WorkspaceId, WorkspaceUse>,
}

impl LimitTracker {
    /// Admits a request, to be ended with [`LimitTracker::end`].
    ///
    /// # Errors
    /// The workspace is over its share.
    pub fn begin(
        &mut self,
        id: &ids::WorkspaceId,
        share: WorkspaceShare,
        now: clock::MonotonicTime,
    ) -> Result<(), LimitRefusal> {
        let used = self
            .workspaces
            .entry(id.clone())
            .or_insert_with(|| WorkspaceUse {
                running: 0,
                bucket: call_budget::TokenBucket::new(share.rate, share.rate.max(1.0), now),
                share,
            });
        if used.share != share {
            used.bucket.set_rate(share.rate, share.rate.max(1.0), now);
            used.share = share;
        }
        if used.running >= share.concurrency {
            return Err(LimitRefusal::Concurrency);
        }
        used.bucket.take(now).map_err(LimitRefusal::Rate)?;
        used.running += 1;
        Ok(())
    }

    /// Ends a request that was admitted.
    pub fn end(&mut self, id: &ids::WorkspaceId) {
        if let Some(used) = self.workspaces.get_mut(id) {
            used.running = used.running.saturating_sub(1);
        }
    }
}
