//! HTTP server with a listener, worker threads, limits and graceful shutdown.

use std::{
    cell, convert, io, net, rc,
    sync::{self, atomic},
    thread, time,
};

use actix_http::body;
use futures::{future, StreamExt as _};

use crate::decisions::caller_budget;

/// Request handler of one worker thread.
pub trait RequestHandler {
    /// Handles a request; the future is dropped if the caller disconnects.
    fn handle(&self, request: actix_http::Request)
        -> future::LocalBoxFuture<'static, HttpResponse>;
}

/// Response of a handler.
pub type HttpResponse = actix_http::Response<body::BoxBody>;

/// Factory that creates the handler of each worker thread.
pub type HandlerFactory = sync::Arc<dyn Fn() -> rc::Rc<dyn RequestHandler> + Send + Sync>;

/// Number of open connections, across all workers of a server.
#[derive(Debug, Default)]
pub struct ConnectionCount(atomic::AtomicUsize);

/// Guard that counts a connection while it is open.
#[derive(Debug)]
pub struct ConnectionGuard {
    count: sync::Arc<ConnectionCount>,
    unserved: Option<prometheus::IntCounter>,
    served: cell::Cell<bool>,
    /// Whether the connection limit was already reached when this connection was opened.
    pub is_over: bool,
}

impl ConnectionGuard {
    fn new(terms: &ConnectionTerms) -> Self {
        let before = terms.count.0.fetch_add(1, atomic::Ordering::Relaxed);
        Self {
            count: terms.count.clone(),
            unserved: terms.unserved.clone(),
            served: cell::Cell::new(false),
            is_over: before >= terms.limit,
        }
    }

    /// Records that a complete request head was received.
    pub fn record_request(&self) {
        self.served.set(true);
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.count.0.fetch_sub(1, atomic::Ordering::Relaxed);
        if let Some(unserved) = self.unserved.as_ref().filter(|_| !self.served.get()) {
            unserved.inc();
        }
    }
}

/// State and limits shared by the connections of a server.
#[derive(Clone)]
struct ConnectionTerms {
    count: sync::Arc<ConnectionCount>,
    unserved: Option<prometheus::IntCounter>,
    limit: usize,
}

/// Number of connections accepted beyond the limit, so that they receive an error response.
const OVERFLOW_CONNECTIONS: usize = 256;

/// Server configuration.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Server name, also used for its threads.
    pub name: &'static str,
    /// Number of worker threads; 0 is treated as 1.
    pub workers: usize,
    /// Maximum number of open connections; the handler must reject requests beyond it.
    pub max_connections: usize,
    /// Counter of connections that ended without a complete request head.
    pub unserved: Option<prometheus::IntCounter>,
    /// Maximum wait for a request head.
    pub head_timeout: time::Duration,
    /// Maximum wait for requests in flight during a graceful shutdown.
    pub stop_timeout: time::Duration,
    /// TLS configuration, if TLS is enabled.
    pub tls: Option<sync::Arc<rustls::ServerConfig>>,
}

impl ServerOptions {
    /// Creates options for a server named `name`, with one worker and default limits.
    pub fn named(name: &'static str) -> Self {
        Self {
            name,
            workers: 1,
            max_connections: 4096,
            unserved: None,
            head_timeout: time::Duration::from_secs(5),
            stop_timeout: time::Duration::from_secs(60),
            tls: None,
        }
    }
}

/// Handle to a running server, whose thread ends when [`ServerGuard::stop`] is called.
pub struct ServerGuard {
    /// Address that the server listens on.
    pub address: net::SocketAddr,
    handle: actix_server::ServerHandle,
    thread: Option<thread::JoinHandle<io::Result<()>>>,
}

impl ServerGuard {
    /// Stops the server; if `graceful`, waits for requests in flight first.
    pub fn stop(mut self, graceful: bool) -> io::Result<()> {
        drop(self.handle.stop(graceful));
        match self.thread.take().map(thread::JoinHandle::join) {
            Some(Ok(outcome)) => outcome,
            _ => Err(io::Error::other("the server's thread panicked")),
        }
    }
}

/// Binds `listen` and starts a server on its own threads.
///
/// # Errors
/// Returns an error if the address cannot be bound or a thread cannot be started.
pub fn start(
    listen: &str,
    options: ServerOptions,
    factory: HandlerFactory,
) -> io::Result<ServerGuard> {
    let listener = net::TcpListener::bind(listen)?;
    let address = listener.local_addr()?;
    let (sender, receiver) = sync::mpsc::sync_channel(1);
    let thread = thread::Builder::new()
        .name(options.name.to_owned())
        .spawn(move || {
            actix_rt::System::new().block_on(async move {
                let server = build(listener, options, factory)?;
                let _ = sender.send(server.handle());
                server.await
            })
        })?;
    let handle = receiver
        .recv()
        .map_err(|_| io::Error::other("the server did not start"))?;
    Ok(ServerGuard {
        address,
        handle,
        thread: Some(thread),
    })
}

/// Builds the HTTP service of a worker; a macro because its type depends on the transport.
macro_rules! http_service {
    ($factory:expr, $head_timeout:expr, $terms:expr) => {{
        let terms = $terms.clone();
        let handler = $factory();
        actix_http::HttpService::build()
            .client_request_timeout($head_timeout)
            .client_disconnect_timeout(time::Duration::from_secs(1))
            .keep_alive(time::Duration::from_secs(75))
            .tcp_nodelay(true)
            .on_connect_ext(move |_, data: &mut actix_http::Extensions| {
                data.insert(ConnectionGuard::new(&terms));
            })
            .finish(move |request: actix_http::Request| {
                let response = handler.handle(request);
                async move { Ok::<_, convert::Infallible>(response.await) }
            })
    }};
}

fn build(
    listener: net::TcpListener,
    options: ServerOptions,
    factory: HandlerFactory,
) -> io::Result<actix_server::Server> {
    let builder = actix_server::Server::build()
        .workers(options.workers.max(1))
        .max_concurrent_connections(options.max_connections + OVERFLOW_CONNECTIONS)
        .shutdown_timeout(options.stop_timeout.as_secs())
        .disable_signals();
    let head_timeout = options.head_timeout;
    let terms = ConnectionTerms {
        count: sync::Arc::new(ConnectionCount::default()),
        unserved: options.unserved.clone(),
        limit: options.max_connections,
    };
    let builder = match options.tls {
        Some(tls) => builder.listen(options.name, listener, move || {
            http_service!(factory, head_timeout, terms).rustls_0_23((*tls).clone())
        })?,
        None => builder.listen(options.name, listener, move || {
            http_service!(factory, head_timeout, terms).tcp()
        })?,
    };
    Ok(builder.run())
}

/// Error while reading a request body.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body exceeds the limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The body did not arrive within the timeout.
    #[error("the body did not arrive within {0:?}")]
    TooSlow(time::Duration),
    /// The memory for it is not admitted.
    #[error("the memory for the body is not available")]
    NoMemory(caller_budget::BudgetDenial),
    /// The connection failed or the body was malformed.
    #[error("the body cannot be read: {0}")]
    Broken(String),
}

/// Reads a body of at most `limit` bytes within `timeout`.
///
/// # Errors
/// Returns a [`BodyError`] if the body is too large, late or malformed.
pub async fn read_body(
    request: &mut actix_http::Request,
    limit: usize,
    timeout: time::Duration,
) -> Result<bytes::Bytes, BodyError> {
    read_reserved_body(request, limit, timeout, |_| Ok(())).await
}

/// Reads a body as [`read_body`] does, after `reserve` has admitted its memory: for a body of
/// declared length before it is read, otherwise before each allocation. `reserve` is called
/// with the number of further bytes.
///
/// # Errors
/// See [`read_body`], and [`BodyError::NoMemory`].
pub async fn read_reserved_body(
    request: &mut actix_http::Request,
    limit: usize,
    timeout: time::Duration,
    mut reserve: impl FnMut(usize) -> Result<(), caller_budget::BudgetDenial>,
) -> Result<bytes::Bytes, BodyError> {
    let declared = header(request.head(), "content-length").and_then(|n| n.parse().ok());
    // A body that is too large is refused after `limit` bytes, as one of unknown length.
    let declared = declared.filter(|declared| *declared <= limit).unwrap_or(0);
    reserve(declared).map_err(BodyError::NoMemory)?;
    let mut payload = request.take_payload();
    let reading = async {
        let mut data = bytes::BytesMut::with_capacity(declared);
        while let Some(piece) = payload.next().await {
            let piece = piece.map_err(|e| BodyError::Broken(e.to_string()))?;
            if data.len() + piece.len() > limit {
                return Err(BodyError::TooLarge(limit));
            }
            let (needed, capacity) = (data.len() + piece.len(), data.capacity());
            if needed > capacity {
                let grown = needed.max(2 * capacity);
                reserve(grown - capacity).map_err(BodyError::NoMemory)?;
                data.reserve(grown - data.len());
            }
            data.extend_from_slice(&piece);
        }
        Ok(data.freeze())
    };
    match actix_rt::time::timeout(timeout, reading).await {
        Ok(outcome) => outcome,
        Err(_) => Err(BodyError::TooSlow(timeout)),
    }
}

/// Creates a JSON response.
pub fn json(status: actix_http::StatusCode, value: &impl serde::Serialize) -> HttpResponse {
    let text = serde_json::to_vec(value).unwrap_or_default();
    actix_http::Response::build(status)
        .insert_header(("content-type", "application/json"))
        .body(text)
        .map_into_boxed_body()
}

/// Creates a plain-text response.
pub fn plain(status: actix_http::StatusCode, text: impl Into<String>) -> HttpResponse {
    actix_http::Response::build(status)
        .insert_header(("content-type", "text/plain; charset=utf-8"))
        .body(text.into())
        .map_into_boxed_body()
}

/// Returns the value of a header, if it is present and readable as text.
pub fn header<'a>(head: &'a actix_http::RequestHead, name: &str) -> Option<&'a str> {
    head.headers().get(name).and_then(|v| v.to_str().ok())
}

/// Returns the decoded value of a query parameter, if present.
pub fn query(uri: &actix_http::Uri, name: &str) -> Option<String> {
    let query = uri.query()?;
    url::form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}
