//! The listener for callers: one task per connection, limited in number.

use std::{convert, io, net, rc, time};

use actix_http::error::{DispatchError, ParseError};
use actix_service::{Service as _, ServiceFactory as _};

use super::{
    caller_connections, caller_handler, caller_memory, caller_socket, connection_gate, context,
    refusals,
};
use crate::{decisions::caller_budget, protection};

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
/// Size of the write buffer of a caller's connection, in bytes.
///
/// Small, as each slow reader occupies this much memory.
const WRITE_BUFFER_BYTES: usize = 16 << 10;

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
    let context = context.clone();
    actix_rt::spawn(async move {
        let waiting = context.unsent_responses.clone();
        let metrics_context = context.clone();
        let max_connections = caller_budget::max_connections(context.options.max_descriptors);
        let handler = caller_handler::CallerHandler::new(context);
        let service = actix_http::HttpService::build()
            .client_request_timeout(HEAD_TIMEOUT)
            .client_disconnect_timeout(time::Duration::from_secs(1))
            .keep_alive(KEEP_ALIVE)
            // Detects at once that a caller closes its connection while it waits for a response.
            .h1_allow_half_closed(protection::is_disabled("caller_close"))
            .h1_write_buffer_size(WRITE_BUFFER_BYTES)
            .on_connect_ext(|socket: &caller_socket::CallerSocket, data| {
                let account: caller_memory::ConnectionAccount = socket.account();
                data.insert(account);
                data.insert(socket.activity());
            })
            .finish(move |request: actix_http::Request| {
                let response = handler.handle(request);
                async move { Ok::<_, convert::Infallible>(response.await) }
            });
        let service = match service.new_service(()).await {
            Ok(service) => rc::Rc::new(service),
            Err(()) => return log::error!("event=callers_not_served address={address}"),
        };
        let gate = connection_gate::ConnectionGate::start(&metrics_context, max_connections);
        let gate = rc::Rc::new(gate);
        accept_callers(&listener, &gate, |socket, activity| {
            let service = service.clone();
            let context = metrics_context.clone();
            let memory = &context.caller_memory;
            let socket =
                caller_socket::CallerSocket::new(socket, waiting.clone(), memory, activity);
            async move {
                let call = service.call((socket, actix_http::Protocol::Http1, None));
                if let Err(e) = call.await {
                    if matches!(e, DispatchError::Parse(ParseError::TooLarge)) {
                        refusals::record_large_head(&context.metrics);
                    }
                    log::debug!("event=caller_connection why=\"{e}\"");
                }
            }
        })
        .await;
    });
    Ok(())
}

/// Accepts callers; closes the connections at once that the gate refuses, so that their callers
/// turn to another gateway.
async fn accept_callers<F>(
    listener: &tokio::net::TcpListener,
    gate: &rc::Rc<connection_gate::ConnectionGate>,
    serve: impl Fn(tokio::net::TcpStream, rc::Rc<caller_connections::ConnectionActivity>) -> F,
) where
    F: std::future::Future<Output = ()> + 'static,
{
    loop {
        let Some(socket) = accept(listener).await else {
            continue;
        };
        let Some(connection) = gate.admit() else {
            continue;
        };
        if let Err(e) = socket.set_nodelay(true) {
            log::debug!("event=caller_socket why=\"{e}\"");
        }
        let serving = serve(socket, connection.activity.clone());
        let gate = gate.clone();
        actix_rt::spawn(async move {
            if gate.is_overdue(&connection) {
                return;
            }
            tokio::select! {
                () = serving => {}
                () = connection.activity.closed() => {}
            }
        });
    }
}
