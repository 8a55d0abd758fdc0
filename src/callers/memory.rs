//! Accounts for the bytes that this process holds for callers.

use std::{
    cell, rc,
    sync::{self, atomic},
};

use super::table;
use crate::{
    decisions::caller_budget::{self, BudgetHolder},
    protection,
};

/// Bytes held for callers by all threads of a server.
pub struct SharedBudget {
    budget: sync::Mutex<caller_budget::CallerBudget>,
    /// Maximum of held bytes and of what the connections take, in bytes.
    max_total: Option<usize>,
    /// Number of open connections.
    connections: atomic::AtomicUsize,
    gauge: Option<prometheus::IntGauge>,
}

impl SharedBudget {
    /// Creates a budget; without limits, everything is admitted. `gauges` has a value for each
    /// kind of figure.
    pub fn new(
        limits: Option<caller_budget::MemoryLimits>,
        gauges: &prometheus::IntGaugeVec,
    ) -> sync::Arc<Self> {
        if let Some(limits) = limits {
            let set = |kind, bytes| gauges.with_label_values(&[kind]).set(bytes as i64);
            set("limit", limits.admitted);
            set("max_total", limits.total);
        }
        Self::build(limits, Some(gauges.with_label_values(&["held"])))
    }

    /// Creates a budget that admits everything and shows in no metric.
    pub fn unlimited() -> sync::Arc<Self> {
        Self::build(None, None)
    }

    fn build(
        limits: Option<caller_budget::MemoryLimits>,
        gauge: Option<prometheus::IntGauge>,
    ) -> sync::Arc<Self> {
        let admitted = limits.map(|limits| limits.admitted);
        sync::Arc::new(Self {
            budget: sync::Mutex::new(caller_budget::CallerBudget::new(admitted)),
            max_total: limits.map(|limits| limits.total),
            connections: atomic::AtomicUsize::new(0),
            gauge,
        })
    }

    /// Locks the budget. Poisoning is ignored: the figures stay usable after a panic.
    fn lock(&self) -> sync::MutexGuard<'_, caller_budget::CallerBudget> {
        self.budget.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn change(&self, apply: impl FnOnce(&mut caller_budget::CallerBudget)) {
        let mut budget = self.lock();
        apply(&mut budget);
        if let Some(gauge) = &self.gauge {
            gauge.set(budget.total() as i64);
        }
    }
}

/// The budget as one thread sees it, with the connections that the thread can close.
pub struct CallerMemory {
    shared: sync::Arc<SharedBudget>,
    table: rc::Rc<table::ConnectionTable>,
}

impl CallerMemory {
    /// Creates the view of a thread.
    pub fn new(
        shared: sync::Arc<SharedBudget>,
        table: rc::Rc<table::ConnectionTable>,
    ) -> rc::Rc<Self> {
        rc::Rc::new(Self { shared, table })
    }

    /// Returns the open connections.
    pub fn table(&self) -> &rc::Rc<table::ConnectionTable> {
        &self.table
    }

    /// Closes connections until the rest holds no more than the maximum.
    fn relieve(&self) {
        let Some(max_total) = self.shared.max_total else {
            return;
        };
        let is_over = || {
            let connections = self.shared.connections.load(atomic::Ordering::Relaxed);
            let held = self.shared.lock().total();
            let held = held.saturating_sub(self.table.closing_bytes());
            held + connections * caller_budget::CONNECTION_BYTES > max_total
        };
        while is_over() && self.table.close_largest() {}
    }
}

/// Guard that counts a connection while it is open.
pub(super) struct CountedConnection(sync::Arc<SharedBudget>);

impl CountedConnection {
    pub(super) fn new(memory: &CallerMemory) -> Self {
        let shared = memory.shared.clone();
        shared.connections.fetch_add(1, atomic::Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Bytes held for one holder; they are released when this is dropped.
pub struct HeldBytes {
    memory: rc::Rc<CallerMemory>,
    holder: BudgetHolder,
    connection: Option<rc::Rc<table::CallerConnection>>,
    bytes: usize,
}

impl HeldBytes {
    /// Creates an account of no bytes, for a connection if it is known.
    pub fn none(
        memory: &rc::Rc<CallerMemory>,
        holder: BudgetHolder,
        connection: Option<rc::Rc<table::CallerConnection>>,
    ) -> Self {
        Self {
            memory: memory.clone(),
            holder,
            connection,
            bytes: 0,
        }
    }

    /// Creates an account of no bytes for the same holder and connection.
    pub fn sibling(&self) -> Self {
        Self::none(&self.memory, self.holder.clone(), self.connection.clone())
    }

    /// Reserves further bytes.
    ///
    /// # Errors
    /// The budget does not admit them.
    pub fn reserve(&mut self, bytes: usize) -> Result<(), caller_budget::BudgetDenial> {
        if !protection::is_disabled("caller_budget") {
            self.memory.shared.lock().admit(&self.holder, bytes)?;
        }
        self.set(self.bytes + bytes);
        Ok(())
    }

    /// Returns the number of held bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sets the number of held bytes, whether or not the budget admits it. Above the maximum of
    /// all, the connections that hold the most are closed, this one perhaps among them.
    pub fn set(&mut self, bytes: usize) {
        let (holder, before) = (&self.holder, self.bytes);
        if bytes == before {
            return;
        }
        self.memory.shared.change(|budget| match bytes > before {
            true => budget.hold(holder, bytes - before),
            false => budget.release(holder, before - bytes),
        });
        self.bytes = bytes;
        if let Some(connection) = &self.connection {
            connection.change_held(before, bytes);
        }
        if bytes > before {
            self.memory.relieve();
        }
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

/// What the handler of a request needs to account for it; an extension of the request.
#[derive(Clone)]
pub struct RequestAccount {
    memory: rc::Rc<CallerMemory>,
    connection: rc::Rc<table::CallerConnection>,
    /// Bytes held by the buffers of the connection, and for the head of the request.
    pub(super) buffers: rc::Rc<cell::RefCell<HeldBytes>>,
    /// Bytes held for the request until its response was written.
    pub(super) request: rc::Rc<cell::RefCell<HeldBytes>>,
}

impl RequestAccount {
    pub(super) fn new(
        memory: &rc::Rc<CallerMemory>,
        connection: &rc::Rc<table::CallerConnection>,
    ) -> Self {
        let none = || {
            let held = HeldBytes::none(memory, None, Some(connection.clone()));
            rc::Rc::new(cell::RefCell::new(held))
        };
        Self {
            memory: memory.clone(),
            connection: connection.clone(),
            buffers: none(),
            request: none(),
        }
    }

    /// Returns the account of a request that came on a connection.
    pub fn of(request: &actix_http::Request) -> Option<Self> {
        use actix_http::HttpMessage as _;

        request.extensions().get::<Self>().cloned()
    }

    /// Returns the connection that the request came on.
    pub fn connection(&self) -> &table::CallerConnection {
        &self.connection
    }

    /// Attributes what the connection holds to a holder.
    pub fn set_holder(&self, holder: &BudgetHolder) {
        self.buffers.borrow_mut().set_holder(holder.clone());
    }

    /// Returns an account of no bytes for a holder on this connection.
    pub fn held(&self, holder: BudgetHolder) -> HeldBytes {
        HeldBytes::none(&self.memory, holder, Some(self.connection.clone()))
    }

    /// Reserves bytes until the response to the request was written.
    ///
    /// # Errors
    /// The budget does not admit them.
    pub fn reserve(&self, bytes: usize) -> Result<(), caller_budget::BudgetDenial> {
        self.request.borrow_mut().reserve(bytes)
    }
}
