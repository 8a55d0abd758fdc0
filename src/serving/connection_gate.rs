//! Decides which new connections of callers are accepted.

use std::{cell, rc, time};

use super::{context, loop_delay};
use crate::{callers::table, clock, decisions::connection_shedding};

/// Interval between two log lines about refused connections.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Why a connection is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RefusalReason {
    /// The limit is reached, and no connection makes room.
    Limit,
    /// The process falls behind.
    Overload,
}

impl RefusalReason {
    fn label(self) -> &'static str {
        match self {
            Self::Limit => "limit",
            Self::Overload => "overload",
        }
    }
}

/// Admits new connections up to a limit, and fewer while the process falls behind.
pub(super) struct ConnectionGate {
    context: rc::Rc<context::ProcessContext>,
    shedding: rc::Rc<cell::RefCell<connection_shedding::ConnectionShedding>>,
    /// Refusals since the last log line, and when that was written.
    refused: cell::Cell<u64>,
    logged_at: cell::Cell<Option<clock::MonotonicTime>>,
}

impl ConnectionGate {
    /// Creates a gate, and starts to sample by how much the process falls behind.
    pub(super) fn start(context: &rc::Rc<context::ProcessContext>) -> Self {
        let shedding = rc::Rc::default();
        actix_rt::spawn(sample_delay(context.clone(), rc::Rc::downgrade(&shedding)));
        Self {
            context: context.clone(),
            shedding,
            refused: cell::Cell::new(0),
            logged_at: cell::Cell::new(None),
        }
    }

    /// Admits a new connection; returns `None` if it is refused.
    pub(super) fn admit(&self) -> Option<table::OpenConnection> {
        if self.shedding.borrow().refuses(rand::random()) {
            self.record_refusal(RefusalReason::Overload);
            return None;
        }
        let opened = self.context.caller_memory.table().open();
        if opened.is_none() {
            self.record_refusal(RefusalReason::Limit);
        }
        opened
    }

    /// Returns whether a connection that was not read yet is closed: it has waited for too long.
    pub(super) fn is_overdue(&self, open: &table::OpenConnection) -> bool {
        let unread = open.connection.waiting_time();
        let is_overdue = self.shedding.borrow().is_overdue(unread);
        if is_overdue {
            self.record_refusal(RefusalReason::Overload);
        }
        is_overdue
    }

    fn record_refusal(&self, reason: RefusalReason) {
        let refused = &self.context.metrics.refused_connections;
        refused.with_label_values(&[reason.label()]).inc();
        self.refused.set(self.refused.get() + 1);
        let now = self.context.clock.now();
        let is_recent = |at| now.since(at) < LOG_INTERVAL;
        if self.logged_at.get().is_some_and(is_recent) {
            return;
        }
        self.logged_at.set(Some(now));
        log::info!(
            "event=connections_refused count={} reason={} share={:.2}",
            self.refused.replace(0),
            reason.label(),
            self.shedding.borrow().share(),
        );
    }
}

/// Samples the delay of the event loop until the gate is dropped.
async fn sample_delay(
    context: rc::Rc<context::ProcessContext>,
    shedding: rc::Weak<cell::RefCell<connection_shedding::ConnectionShedding>>,
) {
    while let Some(shedding) = shedding.upgrade() {
        let interval = connection_shedding::SAMPLE_INTERVAL;
        let wakeup = loop_delay::ExpectedWakeup::after(&context, interval);
        actix_rt::time::sleep(interval).await;
        shedding.borrow_mut().record_delay(wakeup.delay(&context));
    }
}
