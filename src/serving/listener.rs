//! The listener for callers: one task per connection, limited in number.

use std::{io, net, rc, time};

use super::{caller_handler, connection_gate, context, refusals};
use crate::{
    callers::{self, connection},
    decisions::caller_budget,
};

/// Delay after a failed accept, such as one without free descriptors.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
/// Idle timeout of a caller's connection.
///
/// Longer than the longest idle limit in a desired state, so that the caller closes first
/// and no request is in transit when the connection closes.
const KEEP_ALIVE: time::Duration = time::Duration::from_secs(20);
/// Timeout for reading the head of a request.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Length of the kernel's backlog of new connections.
const BACKLOG: u32 = 1024;
/// Bounds of the size of a head that is read, in bytes, whatever the desired state allows.
const MIN_HEAD_BYTES: usize = 8 << 10;
const MAX_HEAD_BYTES: usize = 128 << 10;

/// Binds an address with `SO_REUSEADDR`, so that a restart doesn't wait for old connections.
///
/// # Errors
/// The address cannot be bound.
pub fn bind(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = match address {
        net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts the next connection; returns `None` after a failure, which it logs.
pub async fn accept(listener: &tokio::net::TcpListener) -> Option<tokio::net::TcpStream> {
    match listener.accept().await {
        Ok((socket, _)) => Some(socket),
        Err(e) => {
            log::warn!("event=accept_failed why=\"{e}\"");
            actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

/// Starts to serve callers if the process has an address for them.
///
/// # Errors
/// The address cannot be bound.
pub fn start(context: &rc::Rc<context::ProcessContext>) -> io::Result<()> {
    let Some(address) = context.options.front else {
        return Ok(());
    };
    let listener = bind(address)?;
    limit_buffers(&listener, &context.options);
    let fleet = context.fleet.clone();
    let options = connection::ConnectionOptions {
        idle_timeout: KEEP_ALIVE,
        head_timeout: HEAD_TIMEOUT,
        stall_timeout: context.options.caller_stall,
        max_head_bytes: rc::Rc::new(move || {
            let max_bytes = fleet.table().state().limits.max_head_bytes;
            // A larger head is refused by its route, up to what the parser takes.
            (2 * max_bytes).clamp(MIN_HEAD_BYTES, MAX_HEAD_BYTES)
        }),
        is_single: false,
    };
    let handler = rc::Rc::new(caller_handler::CallerHandler::new(context.clone()));
    let memory = context.caller_memory.clone();
    let server = rc::Rc::new(connection::ConnectionServer::new(handler, options, memory));
    let gate = rc::Rc::new(connection_gate::ConnectionGate::start(context));
    actix_rt::spawn(accept_callers(context.clone(), listener, gate, server));
    Ok(())
}

/// Limits the kernel's buffers so that those of all connections fit into the instance.
fn limit_buffers(listener: &tokio::net::TcpListener, options: &context::ProcessOptions) {
    if let Some(memory_bytes) = options.memory_bytes {
        let bytes = caller_budget::socket_buffer_bytes(memory_bytes, options.max_connections());
        callers::limit_buffers(listener, bytes);
    }
}

/// Accepts callers; closes the connections at once that the gate refuses, so that their callers
/// turn to another gateway.
async fn accept_callers(
    context: rc::Rc<context::ProcessContext>,
    listener: tokio::net::TcpListener,
    gate: rc::Rc<connection_gate::ConnectionGate>,
    server: rc::Rc<connection::ConnectionServer>,
) {
    loop {
        let Some(socket) = accept(&listener).await else {
            continue;
        };
        let Some(open) = gate.admit() else {
            continue;
        };
        if let Err(e) = socket.set_nodelay(true) {
            log::debug!("event=caller_socket why=\"{e}\"");
        }
        let (gate, server, context) = (gate.clone(), server.clone(), context.clone());
        actix_rt::spawn(async move {
            if gate.is_overdue(&open) {
                return;
            }
            let end = server.serve(socket, &open).await;
            if matches!(end, connection::ConnectionEnd::HeadTooLarge) {
                refusals::record_large_head(&context.metrics);
            }
        });
    }
}
