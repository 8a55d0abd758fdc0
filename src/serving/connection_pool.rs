//! Idle connections to endpoints, bounded and surely live.

use std::{cell, collections, net, time};

use super::connection;
use crate::clock;

/// Idle connections kept to one endpoint.
///
/// Eight slots an endpoint are shared by all gateways; a gateway seldom needs
/// more than two at once.
const MAX_IDLE_PER_ENDPOINT: usize = 4;
/// Idle connections kept in all; each is a descriptor and about 4 KB.
const MAX_IDLE: usize = 512;
/// Idle time after which a connection is not used again, if the endpoint names none.
const DEFAULT_IDLE: time::Duration = time::Duration::from_secs(2);
/// Taken off the idle time that an endpoint names: a request must arrive before its end.
const IDLE_MARGIN: time::Duration = time::Duration::from_millis(1000);

struct IdleConnection {
    connection: connection::EndpointConnection,
    until: clock::BootInstant,
}

/// The idle connections of a process.
///
/// Invariant: `count` is the number of connections in `idle`.
#[derive(Default)]
pub struct ConnectionPool {
    idle: cell::RefCell<collections::HashMap<net::SocketAddr, Vec<IdleConnection>>>,
    count: cell::Cell<usize>,
}

impl ConnectionPool {
    /// A connection that is open and quiet, the most recently used one first.
    pub fn take(&self, address: net::SocketAddr) -> Option<connection::EndpointConnection> {
        let mut table = self.idle.borrow_mut();
        let list = table.get_mut(&address)?;
        let now = clock::BootInstant::now();
        while let Some(idle) = list.pop() {
            self.count.set(self.count.get() - 1);
            if idle.until > now && idle.connection.is_quiet() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    pub fn put(
        &self,
        connection: connection::EndpointConnection,
        idle_limit: Option<time::Duration>,
    ) {
        let keep = match idle_limit {
            Some(limit) => limit.saturating_sub(IDLE_MARGIN),
            None => DEFAULT_IDLE,
        };
        if keep.is_zero() || self.count.get() >= MAX_IDLE {
            return;
        }
        let mut table = self.idle.borrow_mut();
        let list = table.entry(connection.address).or_default();
        if list.len() < MAX_IDLE_PER_ENDPOINT {
            self.count.set(self.count.get() + 1);
            let until = clock::BootInstant::now() + keep;
            list.push(IdleConnection { connection, until });
        }
    }

    /// Closes the idle connections to an address: one of them fell silent, and
    /// the others may have with it.
    pub fn forget(&self, address: net::SocketAddr) {
        let list = self.idle.borrow_mut().remove(&address);
        let closed = list.map_or(0, |list| list.len());
        self.count.set(self.count.get() - closed);
    }

    /// Closes the connections that will not be used again.
    pub fn sweep(&self) {
        let now = clock::BootInstant::now();
        let mut table = self.idle.borrow_mut();
        for list in table.values_mut() {
            list.retain(|idle| idle.until > now && idle.connection.is_quiet());
        }
        table.retain(|_, list| !list.is_empty());
        self.count.set(table.values().map(Vec::len).sum());
    }

    /// Idle connections.
    pub fn len(&self) -> usize {
        self.count.get()
    }

    /// Whether there is no idle connection.
    pub fn is_empty(&self) -> bool {
        self.count.get() == 0
    }
}
