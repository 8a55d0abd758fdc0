//! One HTTP server: listener, worker threads, limits, graceful shutdown.

use std::{
    cell, convert, io, net, rc,
    sync::{self, atomic},
    thread, time,
};

use actix_http::body;
use futures::{future, StreamExt as _};

/// What answers the requests of one worker thread.
pub trait RequestHandler {
    /// Answers one request; dropped when the caller goes away.
    fn handle(&self, request: actix_http::Request)
        -> future::LocalBoxFuture<'static, HttpResponse>;
}

/// The answer of a handler.
pub type HttpResponse = actix_http::Response<body::BoxBody>;

/// Makes the handler of each worker thread.
pub type HandlerFactory = sync::Arc<dyn Fn() -> rc::Rc<dyn RequestHandler> + Send + Sync>;

/// Connections that are open, over all workers of a server.
#[derive(Debug, Default)]
pub struct ConnectionCount(atomic::AtomicUsize);

/// One connection, counted while it is open.
#[derive(Debug)]
pub struct ConnectionGuard {
    count: sync::Arc<ConnectionCount>,
    unserved: Option<prometheus::IntCounter>,
    served: cell::Cell<bool>,
    /// Whether it came when as many as allowed were open.
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

    /// Notes that a whole head came.
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

/// What the connections of a server share.
#[derive(Clone)]
struct ConnectionTerms {
    count: sync::Arc<ConnectionCount>,
    unserved: Option<prometheus::IntCounter>,
    limit: usize,
}

/// Connections beyond the limit that are still accepted, to be told so.
const SPARE_CONNECTIONS: usize = 256;

/// How a server is run.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Name of the server, for its threads.
    pub name: &'static str,
    /// Worker threads, at least 1.
    pub workers: usize,
    /// Connections at once; requests of further ones are to be refused by the handler.
    pub max_connections: usize,
    /// Counts connections that ended without a whole head of a request.
    pub unserved: Option<prometheus::IntCounter>,
    /// Longest wait for a request's head.
    pub head_timeout: time::Duration,
    /// Longest wait for requests in flight at a graceful shutdown.
    pub stop_timeout: time::Duration,
    /// TLS towards callers, if wanted.
    pub tls: Option<sync::Arc<rustls::ServerConfig>>,
}

impl ServerOptions {
    /// Options for a server named `name` with one worker and customary limits.
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

/// A running server; the thread ends when [`ServerGuard::stop`] is called.
pub struct ServerGuard {
    /// The address the server listens on.
    pub address: net::SocketAddr,
    handle: actix_server::ServerHandle,
    thread: Option<thread::JoinHandle<io::Result<()>>>,
}

impl ServerGuard {
    /// Stops the server; with `graceful` it first finishes the requests in flight.
    pub fn stop(mut self, graceful: bool) -> io::Result<()> {
        drop(self.handle.stop(graceful));
        match self.thread.take().map(thread::JoinHandle::join) {
            Some(Ok(outcome)) => outcome,
            _ => Err(io::Error::other("the server's thread panicked")),
        }
    }
}

/// Binds `listen` and serves it on threads of its own.
///
/// # Errors
/// The address cannot be bound, or a thread cannot be started.
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

/// The HTTP service of one worker; a macro, as its type depends on the transport.
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
        .max_concurrent_connections(options.max_connections + SPARE_CONNECTIONS)
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

/// Why a request's body was not read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The body did not arrive in time.
    #[error("the body did not arrive within {0:?}")]
    TooSlow(time::Duration),
    /// The connection broke or the body was malformed.
    #[error("the body cannot be read: {0}")]
    Broken(String),
}

/// Reads a body of at most `limit` bytes within `timeout`.
///
/// # Errors
/// See [`BodyError`].
pub async fn read_body(
    request: &mut actix_http::Request,
    limit: usize,
    timeout: time::Duration,
) -> Result<bytes::Bytes, BodyError> {
    let mut payload = request.take_payload();
    let reading = async {
        let mut data = bytes::BytesMut::new();
        while let Some(piece) = payload.next().await {
            let piece = piece.map_err(|e| BodyError::Broken(e.to_string()))?;
            if data.len() + piece.len() > limit {
                return Err(BodyError::TooLarge(limit));
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

/// A JSON answer.
pub fn json(status: actix_http::StatusCode, value: &impl serde::Serialize) -> HttpResponse {
    let text = serde_json::to_vec(value).unwrap_or_default();
    actix_http::Response::build(status)
        .insert_header(("content-type", "application/json"))
        .body(text)
        .map_into_boxed_body()
}

/// An answer with a plain body.
pub fn plain(status: actix_http::StatusCode, text: impl Into<String>) -> HttpResponse {
    actix_http::Response::build(status)
        .insert_header(("content-type", "text/plain; charset=utf-8"))
        .body(text.into())
        .map_into_boxed_body()
}

/// The value of a header, if present and readable.
pub fn header<'a>(head: &'a actix_http::RequestHead, name: &str) -> Option<&'a str> {
    head.headers().get(name).and_then(|v| v.to_str().ok())
}

/// The value of a parameter of the query, if present.
pub fn query(uri: &actix_http::Uri, name: &str) -> Option<String> {
    let query = uri.query()?;
    url::form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}
