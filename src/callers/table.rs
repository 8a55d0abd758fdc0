//! The open connections of callers, and which of them is closed to make room.

use std::{cell, collections, rc, time};

use crate::clock;

/// Time without progress after which a connection may be closed for a new one: what was written
/// last has reached the caller by then.
const MIN_STALL: time::Duration = time::Duration::from_secs(1);
/// Time without progress from which a connection is closed before others that hold more.
const PRESSURE_STALL: time::Duration = time::Duration::from_millis(250);
/// Interval between two log lines about closed connections.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// The caller's next request.
    Idle,
    /// The rest of a request.
    Receiving,
    /// The response of the handler.
    Serving,
    /// The caller, to read what was written.
    Sending,
}

impl ConnectionPhase {
    fn is_idle(self) -> bool {
        self == Self::Idle
    }

    /// Returns whether it is the caller's turn to send or to read.
    fn is_caller(self) -> bool {
        matches!(self, Self::Receiving | Self::Sending)
    }
}

/// Why a connection is closed before its caller or the handler asked for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// It was idle, and its place is needed.
    Idle,
    /// It made no progress, and its place is needed.
    Stalled,
    /// It holds the most, and memory is needed.
    Memory,
    /// It made no progress, and the process stops.
    Stopping,
    /// It made no progress within its timeout.
    Timeout,
}

impl CloseReason {
    /// Returns the label of the counter.
    pub fn label(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Stalled => "stalled",
            Self::Memory => "memory",
            Self::Stopping => "stopping",
            Self::Timeout => "timeout",
        }
    }
}

/// An open connection, as its listener sees it.
#[derive(Debug)]
pub struct CallerConnection {
    number: u64,
    /// Whether it was opened beyond the limit.
    pub is_beyond: bool,
    phase: cell::Cell<ConnectionPhase>,
    /// When the phase began, or the last progress in it.
    since: cell::Cell<clock::BootInstant>,
    /// Bytes that are held for it beyond what each connection takes.
    held: cell::Cell<usize>,
    /// Whether a complete head was received.
    has_request: cell::Cell<bool>,
    /// Notified when the connection has to be closed.
    closing: tokio::sync::Notify,
}

impl CallerConnection {
    fn new(number: u64, is_beyond: bool) -> Self {
        Self {
            number,
            is_beyond,
            phase: cell::Cell::new(ConnectionPhase::Receiving),
            since: cell::Cell::new(clock::BootInstant::now()),
            held: cell::Cell::new(0),
            has_request: cell::Cell::new(false),
            closing: tokio::sync::Notify::new(),
        }
    }

    /// Enters a phase; the time in it counts from now if it is another one.
    pub(super) fn enter(&self, phase: ConnectionPhase) {
        if self.phase.replace(phase) != phase {
            self.record_progress();
        }
    }

    pub(super) fn phase(&self) -> ConnectionPhase {
        self.phase.get()
    }

    /// Records that the caller sent or read something.
    pub(super) fn record_progress(&self) {
        self.since.set(clock::BootInstant::now());
    }

    /// Returns the time since the phase began, or since the last progress in it.
    pub fn waiting_time(&self) -> time::Duration {
        self.since.get().elapsed()
    }

    /// Records that a complete head was received.
    pub(super) fn record_request(&self) {
        self.has_request.set(true);
    }

    /// Returns whether a complete head was received.
    pub fn has_request(&self) -> bool {
        self.has_request.get()
    }

    /// Resolves when the connection has to be closed.
    pub async fn closed(&self) {
        self.closing.notified().await;
    }

    pub(super) fn change_held(&self, before: usize, after: usize) {
        self.held.set(self.held.get() + after - before);
    }
}

/// Connections by number.
type ConnectionMap = collections::HashMap<u64, rc::Rc<CallerConnection>>;

/// Open connections of callers, limited in number.
///
/// Invariants: `open` has at most `limit` entries but for those that were opened beyond it, none
/// of which was told to close; `closing` has
/// those that were and have not ended yet.
pub struct ConnectionTable {
    limit: usize,
    closed: Option<prometheus::IntCounterVec>,
    next_number: cell::Cell<u64>,
    open: cell::RefCell<ConnectionMap>,
    closing: cell::RefCell<ConnectionMap>,
    /// Closed connections since the last log line, and when that was written.
    unlogged: cell::Cell<u64>,
    logged_at: cell::Cell<Option<clock::BootInstant>>,
}

/// A place in the table; given back on drop.
pub struct OpenConnection {
    table: rc::Rc<ConnectionTable>,
    /// What its caller does.
    pub connection: rc::Rc<CallerConnection>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let number = self.connection.number;
        if self.table.open.borrow_mut().remove(&number).is_none() {
            self.table.closing.borrow_mut().remove(&number);
        }
    }
}

impl ConnectionTable {
    /// Creates a table without connections, whose early closes are counted.
    pub fn new(limit: usize, closed: Option<prometheus::IntCounterVec>) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            limit,
            closed,
            next_number: cell::Cell::new(0),
            open: cell::RefCell::default(),
            closing: cell::RefCell::default(),
            unlogged: cell::Cell::new(0),
            logged_at: cell::Cell::new(None),
        })
    }

    /// Admits a new connection if the limit allows it, or another one makes room: the one that
    /// was idle for longest, or that has made no progress for longest.
    pub fn open(self: &rc::Rc<Self>) -> Option<OpenConnection> {
        let is_full = self.open.borrow().len() >= self.limit;
        if is_full
            && !self.close_longest(ConnectionPhase::is_idle, MIN_STALL, CloseReason::Idle)
            && !self.close_longest(ConnectionPhase::is_caller, MIN_STALL, CloseReason::Stalled)
        {
            return None;
        }
        Some(self.insert(false))
    }

    /// Admits a new connection; at the limit, the one that waits for its caller for longest is
    /// closed, however short that is.
    pub fn open_always(self: &rc::Rc<Self>) -> OpenConnection {
        if self.open.borrow().len() >= self.limit {
            let any = |_: ConnectionPhase| true;
            self.close_longest(any, time::Duration::ZERO, CloseReason::Stalled);
        }
        self.insert(false)
    }

    /// Admits a new connection beyond the limit.
    pub fn open_beyond(self: &rc::Rc<Self>) -> OpenConnection {
        self.insert(true)
    }

    fn insert(self: &rc::Rc<Self>, is_beyond: bool) -> OpenConnection {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let connection = rc::Rc::new(CallerConnection::new(number, is_beyond));
        self.open.borrow_mut().insert(number, connection.clone());
        OpenConnection {
            table: self.clone(),
            connection,
        }
    }

    /// Returns the number of connections that have not ended.
    pub fn len(&self) -> usize {
        self.open.borrow().len() + self.closing.borrow().len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of connections whose caller has not read all that was written.
    pub fn unsent(&self) -> usize {
        let open = self.open.borrow();
        let is_unsent = |c: &&rc::Rc<CallerConnection>| c.phase.get() == ConnectionPhase::Sending;
        open.values().filter(is_unsent).count()
    }

    /// Closes all connections that have waited for their callers for some time.
    pub fn close_stalled(&self, min: time::Duration, reason: CloseReason) {
        while self.close_longest(ConnectionPhase::is_caller, min, reason) {}
    }

    /// Closes all idle connections.
    pub fn close_idle(&self, reason: CloseReason) {
        while self.close_longest(ConnectionPhase::is_idle, time::Duration::ZERO, reason) {}
    }

    /// Closes the connection that holds the most; those that wait for their callers without
    /// progress go before those that make some, and these before those that are served. Returns
    /// whether there was one that holds anything.
    pub(super) fn close_largest(&self) -> bool {
        let open = self.open.borrow();
        let holders = open.values().filter(|c| c.held.get() > 0);
        let largest = holders.max_by_key(|c| {
            let is_caller = c.phase.get().is_caller();
            let is_stalled = is_caller && c.waiting_time() >= PRESSURE_STALL;
            (is_stalled, is_caller, c.held.get())
        });
        let largest = largest.cloned();
        drop(open);
        largest.is_some_and(|connection| {
            self.close(&connection, CloseReason::Memory);
            true
        })
    }

    /// Returns the bytes held by connections that were told to close and have not ended.
    pub(super) fn closing_bytes(&self) -> usize {
        let closing = self.closing.borrow();
        closing.values().map(|c| c.held.get()).sum()
    }

    fn close_longest(
        &self,
        has_phase: impl Fn(ConnectionPhase) -> bool,
        min: time::Duration,
        reason: CloseReason,
    ) -> bool {
        let open = self.open.borrow();
        let fitting = open.values().filter(|c| has_phase(c.phase.get()));
        let longest = fitting.max_by_key(|c| c.waiting_time());
        let longest = longest.filter(|c| c.waiting_time() >= min).cloned();
        drop(open);
        longest.is_some_and(|connection| {
            self.close(&connection, reason);
            true
        })
    }

    fn close(&self, connection: &rc::Rc<CallerConnection>, reason: CloseReason) {
        let number = connection.number;
        let Some(open) = self.open.borrow_mut().remove(&number) else {
            return;
        };
        self.record_close(&open, reason);
        open.closing.notify_one();
        self.closing.borrow_mut().insert(number, open);
    }

    /// Counts and logs a connection that is closed early.
    pub(super) fn record_close(&self, connection: &CallerConnection, reason: CloseReason) {
        if let Some(closed) = &self.closed {
            closed.with_label_values(&[reason.label()]).inc();
        }
        self.unlogged.set(self.unlogged.get() + 1);
        let is_recent = |at: clock::BootInstant| at.elapsed() < LOG_INTERVAL;
        if self.logged_at.get().is_some_and(is_recent) {
            return;
        }
        self.logged_at.set(Some(clock::BootInstant::now()));
        log::info!(
            "event=connection_closed reason={} phase={:?} waited_ms={} held_bytes={} open={} \
             max_open={} count={}",
            reason.label(),
            connection.phase.get(),
            connection.waiting_time().as_millis(),
            connection.held.get(),
            self.open.borrow().len(),
            self.limit,
            self.unlogged.replace(0),
        );
    }
}
