//! A bounded pool of idle connections to endpoints, each checked before it is reused.

use std::{cell, collections, net, time};

use super::connection;
use crate::clock;

/// Maximum number of idle connections to one endpoint.
///
/// All gateways share the eight slots of an endpoint; one gateway seldom needs more than
/// two of them at once.
const MAX_IDLE_PER_ENDPOINT: usize = 4;
/// Maximum number of idle connections in total; each takes a descriptor and about 4 KB.
const MAX_IDLE: usize = 512;
/// Idle timeout of a connection if the endpoint names none.
const DEFAULT_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Subtracted from the idle timeout that an endpoint names, so that a request arrives
/// before the endpoint closes the connection.
const IDLE_MARGIN: time::Duration = time::Duration::from_millis(1000);

struct IdleConnection {
    connection: connection::EndpointConnection,
    expiry: clock::BootInstant,
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
    /// Takes an idle connection that is still open, the most recently used one first.
    pub fn take(&self, address: net::SocketAddr) -> Option<connection::EndpointConnection> {
        let mut table = self.idle.borrow_mut();
        let list = table.get_mut(&address)?;
        let now = clock::BootInstant::now();
        while let Some(idle) = list.pop() {
            self.count.set(self.count.get() - 1);
            if idle.expiry > now && idle.connection.is_reusable() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, or closes it if the pool is full.
    ///
    /// `idle_limit` is the idle timeout that the endpoint names.
    pub fn put(
        &self,
        connection: connection::EndpointConnection,
        idle_limit: Option<time::Duration>,
    ) {
        let timeout = match idle_limit {
            Some(limit) => limit.saturating_sub(IDLE_MARGIN),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        if timeout.is_zero() || self.count.get() >= MAX_IDLE {
            return;
        }
        let mut table = self.idle.borrow_mut();
        let list = table.entry(connection.address).or_default();
        if list.len() < MAX_IDLE_PER_ENDPOINT {
            self.count.set(self.count.get() + 1);
            let expiry = clock::BootInstant::now() + timeout;
            list.push(IdleConnection { connection, expiry });
        }
    }

    /// Closes the idle connections to an address after one of them gave no response: the
    /// others may be dead as well.
    pub fn close_idle(&self, address: net::SocketAddr) {
        let list = self.idle.borrow_mut().remove(&address);
        let closed = list.map_or(0, |list| list.len());
        self.count.set(self.count.get() - closed);
    }

    /// Closes the connections that have expired or were closed by the endpoint.
    pub fn sweep(&self) {
        let now = clock::BootInstant::now();
        let mut table = self.idle.borrow_mut();
        for list in table.values_mut() {
            list.retain(|idle| idle.expiry > now && idle.connection.is_reusable());
        }
        table.retain(|_, list| !list.is_empty());
        self.count.set(table.values().map(Vec::len).sum());
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.count.get()
    }

    /// Returns whether there is no idle connection.
    pub fn is_empty(&self) -> bool {
        self.count.get() == 0
    }
}
