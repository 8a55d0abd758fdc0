//! Budgets of a gateway for its callers: connections, and memory that it holds for them.
//!
//! The platform ends a process that exceeds the memory of its instance, with all its
//! requests. Callers that send large bodies or read slowly decide how much is held, so that
//! new requests are refused before the memory runs out, and the connections that hold the most
//! are closed where refusals are not enough.

use std::collections;

use crate::ids;

/// Maximum number of caller connections on an instance of any size.
const MAX_CONNECTIONS: u64 = 2000;
/// Share of the descriptors that caller connections may take; each request also needs one
/// for its endpoint.
const CONNECTIONS_DIVISOR: u64 = 2;
/// Share of the memory that may be held for callers; the rest is for buffers of connections,
/// the desired state, endpoints and jobs.
const MEMORY_DIVISOR: usize = 4;
/// Share of the memory for bytes that have arrived unread; the kernel allows twice the size that
/// is set.
const SOCKET_DIVISOR: usize = 8;
/// Bounds of the size of a socket's buffer, in bytes.
const MIN_SOCKET_BYTES: usize = 8 << 10;
const MAX_SOCKET_BYTES: usize = 64 << 10;
/// Part of the budget up to which every workspace is served, in quarters.
const UNSHARED_QUARTERS: usize = 3;

/// Memory that each caller connection takes: its buffers, its task, a request of usual size, and
/// bytes that have arrived unread.
pub const CONNECTION_BYTES: usize = 32_000;

/// Returns the maximum number of caller connections of an instance with so many descriptors and
/// so much memory.
pub fn max_connections(descriptors: Option<u64>, memory_bytes: Option<usize>) -> usize {
    let by_descriptors = descriptors.unwrap_or(u64::MAX) / CONNECTIONS_DIVISOR;
    let by_memory = memory_bytes.map(|bytes| bytes / MEMORY_DIVISOR / CONNECTION_BYTES);
    let by_memory = by_memory.map_or(u64::MAX, |connections| connections as u64);
    let connections = by_descriptors.min(by_memory).clamp(1, MAX_CONNECTIONS);
    connections as usize
}

/// Returns the size of the kernel's buffer for each direction of a caller connection, in bytes,
/// such that bytes that wait there on all connections fit beside what the process holds.
pub fn socket_buffer_bytes(memory_bytes: usize, max_connections: usize) -> usize {
    let share = memory_bytes / SOCKET_DIVISOR / max_connections.max(1);
    share.clamp(MIN_SOCKET_BYTES, MAX_SOCKET_BYTES)
}

/// Limits on the bytes that may be held for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Maximum for which new requests are admitted.
    pub admitted: usize,
    /// Maximum of what is held for requests and responses and of what the connections take.
    pub total: usize,
}

impl MemoryLimits {
    /// Returns the limits of an instance with so much memory.
    pub fn of_instance(memory_bytes: usize) -> Self {
        let admitted = memory_bytes / MEMORY_DIVISOR;
        Self {
            admitted,
            total: 2 * admitted,
        }
    }
}

/// Who holds bytes in the budget: a workspace, or all requests without one.
pub type BudgetHolder = Option<ids::WorkspaceId>;

/// Bytes held for callers, by workspace.
///
/// Invariant: `total` is the sum of `held`, which has no entry of zero bytes.
#[derive(Debug, Default)]
pub struct CallerBudget {
    /// Maximum number of held bytes for which requests are admitted, if there is one.
    limit: Option<usize>,
    total: usize,
    held: collections::HashMap<BudgetHolder, usize>,
}

/// Why bytes are not admitted, with the inputs of the decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetDenial {
    /// Whether the workspace holds more than its share, while others are admitted.
    pub is_over_share: bool,
    /// Bytes asked for.
    pub bytes: usize,
    /// Bytes held by the workspace.
    pub held: usize,
    /// Bytes held in total.
    pub total: usize,
    /// Maximum of the total.
    pub limit: usize,
    /// Number of workspaces that hold any.
    pub holders: usize,
}

impl CallerBudget {
    /// Creates a budget with a limit in bytes; without one, everything is admitted.
    pub fn new(limit: Option<usize>) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Returns the limit in bytes.
    pub fn limit(&self) -> Option<usize> {
        self.limit
    }

    /// Returns the held bytes in total.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Returns whether a request may hold further bytes.
    ///
    /// # Errors
    /// The budget is exhausted, or nearly so and the workspace holds more than its share.
    pub fn admit(&self, holder: &BudgetHolder, bytes: usize) -> Result<(), BudgetDenial> {
        let Some(limit) = self.limit else {
            return Ok(());
        };
        let held = self.held.get(holder).copied().unwrap_or(0);
        let holders = self.held.len() + usize::from(held == 0);
        let total = self.total.saturating_add(bytes);
        let is_scarce = total > limit / 4 * UNSHARED_QUARTERS;
        let is_over_share = is_scarce && held > limit / holders;
        if total <= limit && !is_over_share {
            return Ok(());
        }
        Err(BudgetDenial {
            is_over_share: is_over_share && total <= limit,
            bytes,
            held,
            total: self.total,
            limit,
            holders,
        })
    }

    /// Counts bytes as held, whether or not the limit allows them.
    pub fn hold(&mut self, holder: &BudgetHolder, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.total += bytes;
        match self.held.get_mut(holder) {
            Some(held) => *held += bytes,
            None => drop(self.held.insert(holder.clone(), bytes)),
        }
    }

    /// Releases held bytes.
    pub fn release(&mut self, holder: &BudgetHolder, bytes: usize) {
        let Some(held) = self.held.get_mut(holder) else {
            return;
        };
        let bytes = bytes.min(*held);
        *held -= bytes;
        self.total -= bytes;
        if *held == 0 {
            self.held.remove(holder);
        }
    }
}
