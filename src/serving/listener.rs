//! The listener for callers: one task a connection, bounded in number.

use std::{cell, convert, io, net, rc, time};

use actix_service::{Service as _, ServiceFactory as _};

use super::{caller_handler, caller_socket, context};
use crate::protection;

/// Connections of callers at once; further ones wait in the system's queue.
///
/// Half of the smallest instance's 4,100 descriptors; the rest serves endpoints and peers.
const MAX_CONNECTIONS: usize = 2000;
/// Pause after an accept that failed, as when descriptors have run out.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);
/// How long an idle connection of a caller is kept. Above the longest idle
/// limit of a desired state, so that no request crosses the close.
const KEEP_ALIVE: time::Duration = time::Duration::from_secs(20);
/// Longest wait for a request's head.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Longest queue of new connections in the system.
const BACKLOG: u32 = 1024;
/// Largest write to a caller, in bytes: small, as a slow reader holds this much.
const WRITE_BUFFER: usize = 16 << 10;

/// Binds an address; one that was just in use may be used again.
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

/// The next connection; nothing after a failure.
pub async fn accept(listener: &tokio::net::TcpListener) -> Option<tokio::net::TcpStream> {
    match listener.accept().await {
        Ok((socket, _)) => Some(socket),
        Err(e) => {
            log::warn!("event=accept_failed why=\"{e}\"");
            actix_rt::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

/// Counts an open connection until it is dropped.
struct OpenConnection {
    count: rc::Rc<cell::Cell<usize>>,
    freed: rc::Rc<tokio::sync::Notify>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
        self.freed.notify_one();
    }
}

/// Serves callers, if the process does.
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
        let handler = caller_handler::CallerHandler::new(context);
        let service = actix_http::HttpService::build()
            .client_request_timeout(HEAD_TIMEOUT)
            .client_disconnect_timeout(time::Duration::from_secs(1))
            .keep_alive(KEEP_ALIVE)
            // A caller that closes is seen at once, also while it waits.
            .h1_allow_half_closed(protection::is_disabled("caller_close"))
            .h1_write_buffer_size(WRITE_BUFFER)
            .finish(move |request: actix_http::Request| {
                let response = handler.handle(request);
                async move { Ok::<_, convert::Infallible>(response.await) }
            });
        let service = match service.new_service(()).await {
            Ok(service) => rc::Rc::new(service),
            Err(()) => return log::error!("event=callers_not_served address={address}"),
        };
        accept_callers(&listener, |socket| {
            let service = service.clone();
            let socket = caller_socket::CallerSocket::new(socket, waiting.clone());
            async move {
                let call = service.call((socket, actix_http::Protocol::Http1, None));
                if let Err(e) = call.await {
                    log::debug!("event=caller_connection why=\"{e}\"");
                }
            }
        })
        .await;
    });
    Ok(())
}

async fn accept_callers<F>(
    listener: &tokio::net::TcpListener,
    serve: impl Fn(tokio::net::TcpStream) -> F,
) where
    F: std::future::Future<Output = ()> + 'static,
{
    let count = rc::Rc::new(cell::Cell::new(0_usize));
    let freed = rc::Rc::new(tokio::sync::Notify::new());
    loop {
        if count.get() >= MAX_CONNECTIONS {
            freed.notified().await;
            continue;
        }
        let Some(socket) = accept(listener).await else {
            continue;
        };
        if let Err(e) = socket.set_nodelay(true) {
            log::debug!("event=caller_socket why=\"{e}\"");
        }
        count.set(count.get() + 1);
        let open = OpenConnection {
            count: count.clone(),
            freed: freed.clone(),
        };
        let serving = serve(socket);
        actix_rt::spawn(async move {
            serving.await;
            drop(open);
        });
    }
}
