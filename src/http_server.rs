//! HTTP server with a listener, worker threads, limits and graceful shutdown.

use std::{
    convert, io, net, rc,
    sync::{self, atomic},
    thread, time,
};

use actix_http::body;
use futures::{future, StreamExt as _};

use crate::{
    callers::{self, connection, memory, table},
    decisions::caller_budget,
    metrics,
};

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

/// Connections of a worker that are accepted beyond the limit, so that they receive an error
/// response.
const OVERFLOW_CONNECTIONS: usize = 16;
/// Longest time between a response and the next request.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(75);
/// Largest head that the parser takes, in bytes.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// Size of the buffer of a TLS session for what waits to be sent, in bytes.
const TLS_BUFFER_BYTES: usize = 16 << 10;
/// Longest time for which a stopping server waits for a caller that reads or sends nothing.
const MAX_DRAIN_STALL: time::Duration = time::Duration::from_secs(3);
/// Interval at which a worker checks whether the server stops.
const STOP_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Server configuration.
#[derive(Clone)]
pub struct ServerOptions {
    /// Server name, also used for its threads.
    pub name: &'static str,
    /// Number of worker threads; 0 is treated as 1.
    pub workers: usize,
    /// Maximum number of open connections; the handler must reject requests beyond it.
    pub max_connections: usize,
    /// Limits on the memory for callers, if there are any.
    pub memory: Option<caller_budget::MemoryLimits>,
    /// Maximum size of a head that is read, in bytes.
    pub max_head_bytes: usize,
    /// Maximum wait for a caller that reads nothing of a response.
    pub stall_timeout: time::Duration,
    /// Metrics of the connections, if they are shown.
    pub metrics: Option<sync::Arc<metrics::MetricSet>>,
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
            memory: None,
            max_head_bytes: MAX_HEAD_BYTES,
            stall_timeout: time::Duration::from_secs(60),
            metrics: None,
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
    stopping: sync::Arc<atomic::AtomicBool>,
    thread: Option<thread::JoinHandle<io::Result<()>>>,
}

impl ServerGuard {
    /// Stops the server; if `graceful`, waits for requests in flight first.
    pub fn stop(mut self, graceful: bool) -> io::Result<()> {
        self.stopping.store(true, atomic::Ordering::Relaxed);
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
    let stopping = sync::Arc::new(atomic::AtomicBool::new(false));
    let worker = WorkerTerms::new(&options, factory, stopping.clone());
    let (sender, receiver) = sync::mpsc::sync_channel(1);
    let thread = thread::Builder::new()
        .name(options.name.to_owned())
        .spawn(move || {
            actix_rt::System::new().block_on(async move {
                let server = build(listener, &options, worker)?;
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
        stopping,
        thread: Some(thread),
    })
}

/// What each worker builds its server from.
#[derive(Clone)]
struct WorkerTerms {
    factory: HandlerFactory,
    budget: sync::Arc<memory::SharedBudget>,
    /// Maximum number of connections of this worker.
    max_connections: usize,
    max_head_bytes: usize,
    head_timeout: time::Duration,
    stall_timeout: time::Duration,
    unserved: Option<prometheus::IntCounter>,
    closed: Option<prometheus::IntCounterVec>,
    tls: Option<sync::Arc<rustls::ServerConfig>>,
    stopping: sync::Arc<atomic::AtomicBool>,
}

impl WorkerTerms {
    fn new(
        options: &ServerOptions,
        factory: HandlerFactory,
        stopping: sync::Arc<atomic::AtomicBool>,
    ) -> Self {
        let metrics = options.metrics.as_ref();
        let budget = match metrics {
            Some(metrics) => {
                memory::SharedBudget::new(options.memory, &metrics.caller_budget_bytes)
            }
            None => memory::SharedBudget::unlimited(),
        };
        Self {
            factory,
            budget,
            max_connections: options.max_connections.div_ceil(options.workers.max(1)),
            max_head_bytes: options.max_head_bytes,
            head_timeout: options.head_timeout,
            stall_timeout: options.stall_timeout,
            unserved: options.unserved.clone(),
            closed: metrics.map(|metrics| metrics.closed_connections.clone()),
            tls: options.tls.clone(),
            stopping,
        }
    }
}

/// Serves the connections of one worker thread.
struct ConnectionWorker {
    terms: WorkerTerms,
    table: rc::Rc<table::ConnectionTable>,
    server: connection::ConnectionServer,
    tls: Option<tokio_rustls::TlsAcceptor>,
}

impl ConnectionWorker {
    fn start(terms: WorkerTerms) -> rc::Rc<Self> {
        let table = table::ConnectionTable::new(terms.max_connections, terms.closed.clone());
        let memory = memory::CallerMemory::new(terms.budget.clone(), table.clone());
        let max_head_bytes = terms.max_head_bytes;
        let options = connection::ConnectionOptions {
            idle_timeout: IDLE_TIMEOUT,
            head_timeout: terms.head_timeout,
            stall_timeout: terms.stall_timeout,
            max_head_bytes: rc::Rc::new(move || max_head_bytes),
            is_single: false,
        };
        let server = connection::ConnectionServer::new((terms.factory)(), options, memory);
        let tls = terms.tls.clone().map(tokio_rustls::TlsAcceptor::from);
        let stopping = rc::Rc::downgrade(&table);
        actix_rt::spawn(close_at_stop(stopping, terms.stopping.clone()));
        rc::Rc::new(Self {
            terms,
            table,
            server,
            tls,
        })
    }

    /// Serves a connection; closes it at once if there is no place for it.
    async fn serve(&self, socket: tokio::net::TcpStream) {
        let max_connections = self.terms.max_connections + OVERFLOW_CONNECTIONS;
        let open = match self.table.open() {
            Some(open) => open,
            None if self.table.len() < max_connections => self.table.open_beyond(),
            None => return,
        };
        if let Err(e) = socket.set_nodelay(true) {
            log::debug!("event=caller_socket why=\"{e}\"");
        }
        match &self.tls {
            None => drop(self.server.serve(socket, &open).await),
            Some(tls) => {
                if let Some(session) = self.accept_tls(tls, socket, &open).await {
                    self.server.serve(session, &open).await;
                }
            }
        }
        if let Some(unserved) = &self.terms.unserved {
            if !open.connection.has_request() {
                unserved.inc();
            }
        }
    }

    async fn accept_tls(
        &self,
        acceptor: &tokio_rustls::TlsAcceptor,
        socket: tokio::net::TcpStream,
        open: &table::OpenConnection,
    ) -> Option<tokio_rustls::server::TlsStream<tokio::net::TcpStream>> {
        let limit_buffer = |session: &mut rustls::ServerConnection| {
            session.set_buffer_limit(Some(TLS_BUFFER_BYTES));
        };
        let handshake = acceptor.accept_with(socket, limit_buffer);
        tokio::select! {
            accepted = actix_rt::time::timeout(self.terms.head_timeout, handshake) => {
                accepted.ok()?.ok()
            }
            () = open.connection.closed() => None,
        }
    }
}

/// Closes connections that have nothing more to send or to read once the server stops.
async fn close_at_stop(
    table: rc::Weak<table::ConnectionTable>,
    stopping: sync::Arc<atomic::AtomicBool>,
) {
    while let Some(table) = table.upgrade() {
        if stopping.load(atomic::Ordering::Relaxed) {
            table.close_idle(table::CloseReason::Stopping);
            table.close_stalled(MAX_DRAIN_STALL, table::CloseReason::Stopping);
        }
        drop(table);
        actix_rt::time::sleep(STOP_CHECK_INTERVAL).await;
    }
}

fn build(
    listener: net::TcpListener,
    options: &ServerOptions,
    terms: WorkerTerms,
) -> io::Result<actix_server::Server> {
    if let Some(limits) = options.memory {
        let max_connections = options.max_connections;
        let bytes = caller_budget::socket_buffer_bytes(limits.total, max_connections);
        callers::limit_buffers(&listener, bytes);
    }
    let builder = actix_server::Server::build()
        .workers(options.workers.max(1))
        // The workers hold the limit: a connection waits for nobody, it gets a place or is closed.
        .max_concurrent_connections(usize::MAX >> 8)
        .shutdown_timeout(options.stop_timeout.as_secs())
        .disable_signals()
        .listen(options.name, listener, move || {
            let worker = ConnectionWorker::start(terms.clone());
            actix_service::fn_service(move |socket: tokio::net::TcpStream| {
                let worker = worker.clone();
                async move {
                    worker.serve(socket).await;
                    Ok::<_, convert::Infallible>(())
                }
            })
        })?;
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

/// Reads a body of at most `limit` bytes within `timeout`. Its memory is reserved until the
/// response was written.
///
/// # Errors
/// Returns a [`BodyError`] if the body is too large, late or malformed.
pub async fn read_body(
    request: &mut actix_http::Request,
    limit: usize,
    timeout: time::Duration,
) -> Result<bytes::Bytes, BodyError> {
    let account = memory::RequestAccount::of(request);
    let reserve = |bytes| account.as_ref().map_or(Ok(()), |a| a.reserve(bytes));
    read_reserved_body(request, limit, timeout, reserve).await
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
