//! The open connections of callers: which are idle, and which one is evicted for a new one.

use std::{cell, collections, pin, rc, task, time};

use actix_http::body;

use crate::clock;

/// Minimum idle time before a connection is evicted: what was written last has reached the
/// caller by then.
const MIN_IDLE: time::Duration = time::Duration::from_secs(1);

/// What a caller does on its connection.
pub(super) struct ConnectionActivity {
    /// Number of requests whose response was not taken in full by the HTTP library.
    active: cell::Cell<usize>,
    /// Whether written bytes wait for the caller to read.
    is_unsent: cell::Cell<bool>,
    /// When bytes were last read or written.
    used_at: cell::Cell<clock::BootInstant>,
    /// Notified when the connection has to be closed.
    closing: tokio::sync::Notify,
}

impl ConnectionActivity {
    fn new() -> Self {
        Self {
            active: cell::Cell::new(0),
            is_unsent: cell::Cell::new(false),
            used_at: cell::Cell::new(clock::BootInstant::now()),
            closing: tokio::sync::Notify::new(),
        }
    }

    /// Records that bytes were read or written.
    pub(super) fn record_use(&self) {
        self.used_at.set(clock::BootInstant::now());
    }

    /// Records whether written bytes wait for the caller to read.
    pub(super) fn set_unsent(&self, is_unsent: bool) {
        self.is_unsent.set(is_unsent);
    }

    /// Resolves when the connection has to be closed.
    pub(super) async fn closed(&self) {
        self.closing.notified().await;
    }

    /// Returns the time since bytes were last read or written, or since the connection opened.
    pub(super) fn unused_time(&self) -> time::Duration {
        self.used_at.get().elapsed()
    }

    /// Returns for how long the connection has been idle; `None` for one at work.
    fn idle_time(&self) -> Option<time::Duration> {
        let is_idle = self.active.get() == 0 && !self.is_unsent.get();
        is_idle.then(|| self.unused_time())
    }
}

/// Guard that counts a request on its connection until its response was taken in full.
pub(super) struct RequestActivity(rc::Rc<ConnectionActivity>);

impl RequestActivity {
    /// Counts a request until the guard is dropped.
    pub(super) fn begin(activity: &rc::Rc<ConnectionActivity>) -> Self {
        activity.active.set(activity.active.get() + 1);
        Self(activity.clone())
    }

    /// Keeps the guard until the body of a response was taken.
    pub(super) fn hold_in(
        self,
        response: actix_http::Response<body::BoxBody>,
    ) -> actix_http::Response<body::BoxBody> {
        response.map_body(|_, body| {
            body::BoxBody::new(ActiveBody {
                body,
                _request: self,
            })
        })
    }
}

impl Drop for RequestActivity {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
        self.0.record_use();
    }
}

/// Body of the response to an active request.
struct ActiveBody {
    body: body::BoxBody,
    _request: RequestActivity,
}

impl body::MessageBody for ActiveBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> body::BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<bytes::Bytes, Self::Error>>> {
        pin::Pin::new(&mut self.body).poll_next(context)
    }

    fn try_into_bytes(self) -> Result<bytes::Bytes, Self> {
        let Self { body, _request } = self;
        body.try_into_bytes()
            .map_err(|body| Self { body, _request })
    }
}

/// Open connections of callers, limited in number.
///
/// Invariant: `open` holds at most `limit` connections, none of which has been told to close.
pub(super) struct ConnectionTable {
    limit: usize,
    next_number: cell::Cell<u64>,
    open: cell::RefCell<collections::HashMap<u64, rc::Rc<ConnectionActivity>>>,
}

/// An open connection; removed from the table on drop.
pub(super) struct OpenConnection {
    table: rc::Rc<ConnectionTable>,
    number: u64,
    /// What its caller does.
    pub(super) activity: rc::Rc<ConnectionActivity>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.table.open.borrow_mut().remove(&self.number);
    }
}

impl ConnectionTable {
    /// Creates a table without connections.
    pub(super) fn new(limit: usize) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            limit,
            next_number: cell::Cell::new(0),
            open: cell::RefCell::default(),
        })
    }

    /// Admits a new connection if the limit allows it or an idle connection can be evicted.
    pub(super) fn open(self: &rc::Rc<Self>) -> Option<OpenConnection> {
        let is_full = self.open.borrow().len() >= self.limit;
        if is_full && !self.close_idlest() {
            return None;
        }
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let activity = rc::Rc::new(ConnectionActivity::new());
        self.open.borrow_mut().insert(number, activity.clone());
        Some(OpenConnection {
            table: self.clone(),
            number,
            activity,
        })
    }

    /// Closes the connection that has been idle for longest; returns whether there is one.
    fn close_idlest(&self) -> bool {
        let mut open = self.open.borrow_mut();
        let idle = open.iter().filter_map(|(number, activity)| {
            let idle_time = activity.idle_time()?;
            (idle_time >= MIN_IDLE).then_some((idle_time, *number))
        });
        let Some((_, number)) = idle.max() else {
            return false;
        };
        if let Some(activity) = open.remove(&number) {
            activity.closing.notify_one();
        }
        true
    }
}
