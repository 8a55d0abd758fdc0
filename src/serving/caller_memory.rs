//! Accounts for the bytes that this process holds for callers.

use std::{cell, rc};

use super::refusals;
use crate::{
    decisions::caller_budget::{self, BudgetHolder},
    http_server, metrics, protection,
};

/// Bytes held for callers, and the limit for new requests.
pub struct CallerMemory {
    budget: cell::RefCell<caller_budget::CallerBudget>,
    gauge: prometheus::IntGauge,
}

impl CallerMemory {
    /// Creates the account of a process whose instance has this much memory, if it is known.
    pub fn new(memory_bytes: Option<usize>, metrics: &metrics::MetricSet) -> Self {
        let limit = memory_bytes.map(caller_budget::max_held_bytes);
        let gauges = &metrics.caller_budget_bytes;
        if let Some(limit) = limit {
            gauges.with_label_values(&["limit"]).set(limit as i64);
        }
        Self {
            budget: cell::RefCell::new(caller_budget::CallerBudget::new(limit)),
            gauge: gauges.with_label_values(&["held"]),
        }
    }

    fn change(&self, apply: impl FnOnce(&mut caller_budget::CallerBudget)) {
        let mut budget = self.budget.borrow_mut();
        apply(&mut budget);
        self.gauge.set(budget.total() as i64);
    }
}

/// Bytes held for one holder; they are released when this is dropped.
pub struct HeldBytes {
    memory: rc::Rc<CallerMemory>,
    holder: BudgetHolder,
    bytes: usize,
}

impl HeldBytes {
    /// Creates an account of no bytes.
    pub fn none(memory: &rc::Rc<CallerMemory>, holder: BudgetHolder) -> Self {
        Self {
            memory: memory.clone(),
            holder,
            bytes: 0,
        }
    }

    /// Reserves further bytes.
    ///
    /// # Errors
    /// The budget does not admit them.
    pub fn reserve(&mut self, bytes: usize) -> Result<(), caller_budget::BudgetDenial> {
        if !protection::is_disabled("caller_budget") {
            self.memory.budget.borrow().admit(&self.holder, bytes)?;
        }
        self.set(self.bytes + bytes);
        Ok(())
    }

    /// Returns the number of held bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sets the number of held bytes, whether or not the budget admits it.
    pub fn set(&mut self, bytes: usize) {
        let (holder, before) = (&self.holder, self.bytes);
        if bytes == before {
            return;
        }
        self.memory.change(|budget| match bytes > before {
            true => budget.hold(holder, bytes - before),
            false => budget.release(holder, before - bytes),
        });
        self.bytes = bytes;
    }

    /// Attributes the bytes to another holder.
    pub fn set_holder(&mut self, holder: BudgetHolder) {
        if self.holder == holder {
            return;
        }
        let bytes = self.bytes;
        self.set(0);
        self.holder = holder;
        self.set(bytes);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Account of the response bytes on a connection, which the connection and the handler of its
/// requests share.
pub type ConnectionAccount = rc::Rc<cell::RefCell<HeldBytes>>;

/// Builds the refusal of a request that does not fit into the budget.
pub(super) fn refuse(
    denial: &caller_budget::BudgetDenial,
    workspace: &BudgetHolder,
    retry_after: std::time::Duration,
) -> http_server::HttpResponse {
    let inputs = format!(
        "workspace={} why={} bytes={} workspace_bytes={} held_bytes={} max_bytes={} holders={}",
        workspace.as_ref().map_or("-", |id| id.as_str()),
        if denial.is_over_share {
            "over_share"
        } else {
            "exhausted"
        },
        denial.bytes,
        denial.held,
        denial.total,
        denial.limit,
        denial.holders,
    );
    let body = "the memory for requests is in use; this one was not run\n";
    refusals::refuse_temporarily("memory_budget", inputs, retry_after, body)
}
