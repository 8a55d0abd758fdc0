//! Decides which new connections of callers are accepted.

use std::{cell, rc, time};

use super::{caller_connections, context};
use crate::clock;

/// Interval between two log lines about refused connections.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Why a connection is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RefusalReason {
    /// The limit is reached, and no connection is idle.
    Limit,
}

impl RefusalReason {
    fn label(self) -> &'static str {
        match self {
            Self::Limit => "limit",
        }
    }
}

/// Admits new connections up to a limit.
pub(super) struct ConnectionGate {
    context: rc::Rc<context::ProcessContext>,
    table: rc::Rc<caller_connections::ConnectionTable>,
    /// Refusals since the last log line, and when that was written.
    refused: cell::Cell<u64>,
    logged_at: cell::Cell<Option<clock::MonotonicTime>>,
}

impl ConnectionGate {
    /// Creates a gate for so many connections.
    pub(super) fn new(context: &rc::Rc<context::ProcessContext>, limit: usize) -> Self {
        Self {
            context: context.clone(),
            table: caller_connections::ConnectionTable::new(limit),
            refused: cell::Cell::new(0),
            logged_at: cell::Cell::new(None),
        }
    }

    /// Returns the place of a new connection, or `None` if it is refused.
    pub(super) fn admit(&self) -> Option<caller_connections::OpenConnection> {
        let opened = self.table.open();
        if opened.is_none() {
            self.record_refusal(RefusalReason::Limit);
        }
        opened
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
            "event=connections_refused count={} reason={}",
            self.refused.replace(0),
            reason.label(),
        );
    }
}
