//! Bounds the memory of accepted jobs, which callers may post faster than endpoints run them.

use std::{cell, rc};

use super::wire;

/// Share of the memory for jobs that a gateway has accepted and that are not known to be
/// finished. They wait at their owners, of which there may be fewer than gateways.
const ACCEPTED_DIVISOR: usize = 16;
/// Share of the memory for unfinished jobs of an owner.
const OPEN_DIVISOR: usize = 4;
/// Share of the memory for finished jobs that are retained for readers, and its maximum in bytes.
const FINISHED_DIVISOR: usize = 12;
const MAX_FINISHED_BYTES: usize = 24 << 20;
/// Estimated memory of an item and of a header field beside their bytes.
const ITEM_BYTES: usize = 250;
const FIELD_BYTES: usize = 64;

/// Limits on the memory for jobs, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobLimits {
    /// Jobs that this process has accepted and supervises.
    pub accepted: usize,
    /// Unfinished jobs that this process owns.
    pub open: usize,
    /// Finished jobs.
    pub finished: usize,
}

impl JobLimits {
    /// Returns the limits of an instance with so much memory, if it is limited.
    pub fn of_instance(memory_bytes: Option<usize>) -> Self {
        let share = |divisor| memory_bytes.map_or(usize::MAX, |bytes| bytes / divisor);
        Self {
            accepted: share(ACCEPTED_DIVISOR),
            open: share(OPEN_DIVISOR),
            finished: share(FINISHED_DIVISOR).min(MAX_FINISHED_BYTES),
        }
    }
}

/// Estimates the memory that the items of a job take, in bytes.
pub fn item_bytes(items: &[wire::JobItem]) -> usize {
    let bytes = items.iter().map(|item| {
        let fields = item.headers.iter();
        let fields = fields.map(|(name, value)| name.len() + value.len() + FIELD_BYTES);
        ITEM_BYTES + item.id.len() + item.path.len() + item.body.len() + fields.sum::<usize>()
    });
    bytes.sum()
}

/// Memory of the jobs that this process has accepted and that are not known to be finished.
#[derive(Debug)]
pub struct AcceptedJobs {
    limit: usize,
    held: cell::Cell<usize>,
}

impl AcceptedJobs {
    /// Creates an account without jobs.
    pub fn new(limit: usize) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            limit,
            held: cell::Cell::new(0),
        })
    }

    /// Returns whether no job can be accepted.
    pub fn is_full(&self) -> bool {
        self.held.get() >= self.limit
    }

    /// Returns the memory of all jobs and its limit, in bytes.
    pub fn usage(&self) -> (usize, usize) {
        (self.held.get(), self.limit)
    }

    /// Reserves the memory of a job. One job is admitted whatever its size.
    pub fn reserve(self: &rc::Rc<Self>, bytes: usize) -> Option<AcceptedBytes> {
        let held = self.held.get();
        if held > 0 && held.saturating_add(bytes) > self.limit {
            return None;
        }
        self.held.set(held + bytes);
        Some(AcceptedBytes {
            jobs: self.clone(),
            bytes,
        })
    }
}

/// Memory of an accepted job; released on drop.
#[derive(Debug)]
pub struct AcceptedBytes {
    jobs: rc::Rc<AcceptedJobs>,
    bytes: usize,
}

impl Drop for AcceptedBytes {
    fn drop(&mut self) {
        self.jobs.held.set(self.jobs.held.get() - self.bytes);
    }
}
