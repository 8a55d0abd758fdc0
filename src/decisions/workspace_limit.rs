//! Limits of a workspace at one gateway: concurrent requests and requests per second.

use std::{collections, time};

use super::call_budget;
use crate::{clock, ids};

/// Share of a workspace's limits at one gateway.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspaceShare {
    /// Maximum number of concurrent requests.
    pub concurrency: u32,
    /// Maximum number of requests per second.
    pub rate: f64,
}

impl WorkspaceShare {
    /// Returns the share at one of `gateways` of limits that apply to the whole fleet.
    ///
    /// Load balancing between gateways is uneven, so a share is larger than an even one by
    /// `UNEVEN_FACTOR`.
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

/// Ratio of a gateway's share to an even share.
const UNEVEN_FACTOR: f64 = 1.5;

/// Reason for which a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitRefusal {
    /// Too many concurrent requests.
    Concurrency,
    /// Too many requests per second; holds the time until one is admitted.
    Rate(time::Duration),
}

#[derive(Debug)]
struct WorkspaceUsage {
    running: u32,
    bucket: call_budget::TokenBucket,
    share: WorkspaceShare,
}

/// Use of the limits at this gateway, by workspace.
///
/// Invariant: `running` is the number of admitted requests that have not ended.
#[derive(Debug, Default)]
pub struct LimitTracker {
    workspaces: collections::HashMap<ids::WorkspaceId, WorkspaceUsage>,
}

impl LimitTracker {
    /// Admits a request, which must be ended with [`LimitTracker::end`].
    ///
    /// # Errors
    /// The workspace is over its share.
    pub fn begin(
        &mut self,
        id: &ids::WorkspaceId,
        share: WorkspaceShare,
        now: clock::MonotonicTime,
    ) -> Result<(), LimitRefusal> {
        let usage = self
            .workspaces
            .entry(id.clone())
            .or_insert_with(|| WorkspaceUsage {
                running: 0,
                bucket: call_budget::TokenBucket::new(share.rate, share.rate.max(1.0), now),
                share,
            });
        if usage.share != share {
            usage.bucket.set_rate(share.rate, share.rate.max(1.0), now);
            usage.share = share;
        }
        if usage.running >= share.concurrency {
            return Err(LimitRefusal::Concurrency);
        }
        usage.bucket.take(now).map_err(LimitRefusal::Rate)?;
        usage.running += 1;
        Ok(())
    }

    /// Ends an admitted request.
    pub fn end(&mut self, id: &ids::WorkspaceId) {
        if let Some(usage) = self.workspaces.get_mut(id) {
            usage.running = usage.running.saturating_sub(1);
        }
    }
}
