//! Serves the requests on one connection, one after another.
//!
//! Nothing of a next request is parsed before the response to the last one was written, and
//! nothing is read beyond a small limit while a caller does not read: what it sends ahead stays
//! in its own buffers and in those of the kernel.

use std::{
    future::{self, Future as _},
    io, pin, rc, task, time,
};

use actix_http::{body, error, h1, StatusCode};
use body::MessageBody as _;
use tokio_util::codec::Encoder as _;

use super::{
    inbound::{self, BodyProgress, ReadProgress},
    memory, outbound,
    table::{self, ConnectionPhase},
    transport,
};
use crate::{http_server, protection};

/// Interval at which a caller that is not read from is checked for its leave.
const LEAVE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Longest wait for the rest of a request that was answered before it came, or for the caller's
/// close after a last response.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Number of times that a full buffer is written before the other connections have their turn, as
/// a body and a caller may both be ready without a pause.
const MAX_ROUNDS: usize = 4;
/// Number of bytes of an unread body that are discarded to keep the connection.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// Number of bytes that are discarded while a connection closes, so that the caller can read the
/// last response: a close with unread bytes is a reset, after which it may be lost.
const MAX_LINGER_BYTES: usize = 4 << 20;
/// Estimated memory for a header field beside its bytes: an entry of a map, its name and value.
const FIELD_BYTES: usize = 200;
/// Memory of a request's head that is part of what each connection takes, in bytes.
const FREE_HEAD_BYTES: usize = 8 << 10;
/// Memory of a read buffer that is part of what each connection takes, in bytes.
const FREE_BUFFER_BYTES: usize = 16 << 10;

/// Limits on a connection.
#[derive(Clone)]
pub struct ConnectionOptions {
    /// Longest time between a response and the first byte of the next request.
    pub idle_timeout: time::Duration,
    /// Longest time between the first and the last byte of a head.
    pub head_timeout: time::Duration,
    /// Longest time in which a caller reads nothing of what was written.
    pub stall_timeout: time::Duration,
    /// Returns the maximum size of a head in bytes, as it is in force.
    pub max_head_bytes: rc::Rc<dyn Fn() -> usize>,
    /// Whether the connection is closed after a response.
    pub is_single: bool,
}

/// How a connection ended.
#[derive(Debug)]
pub enum ConnectionEnd {
    /// The caller closed it.
    Left,
    /// It was closed after a last response.
    Finished,
    /// It was idle for too long.
    Idle,
    /// The caller made no progress within a timeout.
    TimedOut,
    /// Its place or its memory was needed, or the process stops.
    Evicted,
    /// A head was larger than allowed.
    HeadTooLarge,
    /// A request was malformed.
    Malformed(error::ParseError),
    /// The response could not be completed.
    Unfinished(String),
    /// It broke.
    Broken(io::Error),
}

/// Point in time from which a response is abandoned whose body is incomplete and whose caller does
/// not read, so that it holds no endpoint for longer; an extension of the response.
#[derive(Debug, Clone, Copy)]
pub struct ResponseDeadline(pub tokio::time::Instant);

/// Serves the connections of one listener on the current thread.
pub struct ConnectionServer {
    handler: rc::Rc<dyn http_server::RequestHandler>,
    config: actix_http::ServiceConfig,
    options: ConnectionOptions,
    memory: rc::Rc<memory::CallerMemory>,
}

impl ConnectionServer {
    /// Creates a server whose requests are handled by `handler`.
    pub fn new(
        handler: rc::Rc<dyn http_server::RequestHandler>,
        options: ConnectionOptions,
        memory: rc::Rc<memory::CallerMemory>,
    ) -> Self {
        let keep_alive = match options.is_single {
            true => actix_http::KeepAlive::Disabled,
            false => actix_http::KeepAlive::Timeout(options.idle_timeout),
        };
        let config = actix_http::ServiceConfigBuilder::new().keep_alive(keep_alive);
        Self {
            handler,
            config: config.build(),
            options,
            memory,
        }
    }

    /// Returns the open connections.
    pub fn table(&self) -> &rc::Rc<table::ConnectionTable> {
        self.memory.table()
    }

    /// Serves a connection until it ends or has to be closed.
    pub async fn serve(
        &self,
        stream: impl transport::CallerStream,
        open: &table::OpenConnection,
    ) -> ConnectionEnd {
        let connection = open.connection.clone();
        let _counted = memory::CountedConnection::new(&self.memory);
        let mut serving = ServedConnection {
            server: self,
            stream,
            inbound: inbound::Inbound::new(self.config.clone()),
            outbound: outbound::Outbound::default(),
            account: memory::RequestAccount::new(&self.memory, &connection),
            head_bytes: 0,
            timer: Box::pin(tokio::time::sleep(self.options.head_timeout)),
            leave_check: None,
            connection,
        };
        let end = tokio::select! {
            end = serving.run() => end,
            () = open.connection.closed() => ConnectionEnd::Evicted,
        };
        log::debug!("event=caller_connection end={end:?}");
        end
    }
}

/// A connection while it is served.
struct ServedConnection<'a, S> {
    server: &'a ConnectionServer,
    stream: S,
    inbound: inbound::SharedInbound,
    outbound: outbound::Outbound,
    connection: rc::Rc<table::CallerConnection>,
    account: memory::RequestAccount,
    /// Estimated memory of the head of the current request.
    head_bytes: usize,
    /// Timeout of the current phase.
    timer: SleepTimer,
    /// Next check for the leave of a caller that is not read from.
    leave_check: Option<SleepTimer>,
}

type SleepTimer = pin::Pin<Box<tokio::time::Sleep>>;

impl<S> Drop for ServedConnection<'_, S> {
    fn drop(&mut self) {
        self.inbound.borrow_mut().end();
    }
}

/// Whether a connection goes on after a response.
enum AfterResponse {
    Continues,
    Closes,
}

/// How the end of a response body shows.
enum ResponseFraming {
    /// Nothing of a body is sent.
    Empty,
    /// So many bytes are left.
    Length(u64),
    /// As the codec frames it.
    Encoded,
    /// All of it was passed on.
    Finished,
    /// It broke off; what was passed on before is still written.
    BrokenOff(String),
}

impl ResponseFraming {
    fn of(size: body::BodySize, status: StatusCode, is_head: bool) -> Self {
        let has_no_body = is_head
            || status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        match size {
            _ if has_no_body => Self::Empty,
            body::BodySize::None | body::BodySize::Sized(0) => Self::Empty,
            body::BodySize::Sized(bytes) => Self::Length(bytes),
            body::BodySize::Stream => Self::Encoded,
        }
    }

    fn expects_more(&self) -> bool {
        matches!(self, Self::Length(_) | Self::Encoded)
    }
}

impl<S: transport::CallerStream> ServedConnection<'_, S> {
    async fn run(&mut self) -> ConnectionEnd {
        let mut is_first = true;
        loop {
            let request = match self.read_head(is_first).await {
                Ok(request) => request,
                Err(end) => {
                    self.reject(&end).await;
                    return end;
                }
            };
            is_first = false;
            match self.serve_request(request).await {
                Ok(AfterResponse::Continues) => self.yield_turn().await,
                Ok(AfterResponse::Closes) => {
                    self.linger().await;
                    return ConnectionEnd::Finished;
                }
                Err(end) => return end,
            }
        }
    }

    /// Lets the other connections run if the next request has come already: one that sends many
    /// ahead would otherwise have dozens handled at a time, and each of the others waits for them.
    async fn yield_turn(&self) {
        let has_next = self.inbound.borrow().len() > 0;
        if has_next {
            tokio::task::yield_now().await;
        }
    }

    /// Waits for the next request, and reads its head. A new connection has as long for its first
    /// byte as for the whole head.
    async fn read_head(&mut self, is_first: bool) -> Result<actix_http::Request, ConnectionEnd> {
        let mut has_begun = is_first || self.inbound.borrow().len() > 0;
        self.begin_wait(has_begun);
        future::poll_fn(|context| {
            let limit = (self.server.options.max_head_bytes)();
            let mut inbound = self.inbound.borrow_mut();
            let progress = inbound.poll_read(context, &mut self.stream, limit);
            let has_bytes = inbound.len() > 0;
            drop(inbound);
            self.recount();
            match inbound::Inbound::next_request(&self.inbound) {
                Ok(Some(request)) => return task::Poll::Ready(Ok(request)),
                Ok(None) => {}
                Err(error::ParseError::TooLarge) => {
                    return task::Poll::Ready(Err(ConnectionEnd::HeadTooLarge));
                }
                Err(e) => return task::Poll::Ready(Err(ConnectionEnd::Malformed(e))),
            }
            match progress {
                ReadProgress::Full => return task::Poll::Ready(Err(ConnectionEnd::HeadTooLarge)),
                ReadProgress::Closed => return task::Poll::Ready(Err(ConnectionEnd::Left)),
                ReadProgress::Waiting => {}
            }
            if has_bytes && !has_begun {
                has_begun = true;
                self.begin_wait(has_begun);
            }
            task::ready!(self.timer.as_mut().poll(context));
            task::Poll::Ready(Err(match has_begun {
                true => ConnectionEnd::TimedOut,
                false => ConnectionEnd::Idle,
            }))
        })
        .await
    }

    /// Begins to wait for a request, or for the rest of one that has begun.
    fn begin_wait(&mut self, has_begun: bool) {
        let options = &self.server.options;
        let (phase, timeout) = match has_begun {
            true => (ConnectionPhase::Receiving, options.head_timeout),
            false => (ConnectionPhase::Idle, options.idle_timeout),
        };
        self.connection.enter(phase);
        self.set_timer(timeout);
    }

    fn set_timer(&mut self, timeout: time::Duration) {
        let deadline = tokio::time::Instant::now() + timeout;
        self.timer.as_mut().reset(deadline);
    }

    /// Answers what is no request, as far as an answer is due.
    async fn reject(&mut self, end: &ConnectionEnd) {
        let status = match end {
            ConnectionEnd::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ConnectionEnd::Malformed(_) => StatusCode::BAD_REQUEST,
            ConnectionEnd::TimedOut if self.inbound.borrow().len() > 0 => {
                StatusCode::REQUEST_TIMEOUT
            }
            _ => return,
        };
        let mut response = http_server::plain(status, "");
        close_after(&mut response);
        if self.write_response(response, false).await.is_ok() {
            self.linger().await;
        }
    }

    async fn serve_request(
        &mut self,
        request: actix_http::Request,
    ) -> Result<AfterResponse, ConnectionEnd> {
        use actix_http::HttpMessage as _;

        let is_upgrade = self.inbound.borrow().codec.message_type() == h1::MessageType::Stream;
        let is_head = *request.method() == actix_http::Method::HEAD;
        let body_bytes = declared_length(request.head());
        self.connection.record_request();
        self.head_bytes = head_cost(request.head());
        self.recount();
        if request.head().expect() {
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
            self.outbound.buffer().extend_from_slice(interim);
        }
        request.extensions_mut().insert(self.account.clone());
        let mut response = self.handle(request).await?;
        let is_unread = self.inbound.borrow().body() != BodyProgress::Finished;
        let is_long = body_bytes.is_some_and(|bytes| bytes > MAX_DISCARDED_BYTES);
        if is_upgrade || is_unread && is_long {
            close_after(&mut response);
        }
        self.write_response(response, is_head).await?;
        self.head_bytes = 0;
        self.account.request.borrow_mut().set(0);
        let keeps_alive = self.inbound.borrow().codec.keep_alive();
        if !keeps_alive || !self.discard_body().await {
            return Ok(AfterResponse::Closes);
        }
        self.inbound.borrow_mut().shrink();
        self.recount();
        Ok(AfterResponse::Continues)
    }

    /// Runs the handler, which is dropped as soon as the caller leaves.
    async fn handle(
        &mut self,
        request: actix_http::Request,
    ) -> Result<http_server::HttpResponse, ConnectionEnd> {
        let mut handling = self.server.handler.handle(request);
        self.connection.enter(ConnectionPhase::Serving);
        future::poll_fn(|context| {
            // An interim response; should the caller not read it, the final one waits for it.
            let written = self.outbound.poll_write(context, &mut self.stream);
            if let Err(e) = written {
                return task::Poll::Ready(Err(ConnectionEnd::Broken(e)));
            }
            if let task::Poll::Ready(end) = self.poll_caller(context) {
                return task::Poll::Ready(Err(end));
            }
            if let task::Poll::Ready(response) = handling.as_mut().poll(context) {
                return task::Poll::Ready(Ok(response));
            }
            let phase = match self.inbound.borrow().is_awaited() {
                true => ConnectionPhase::Receiving,
                false => ConnectionPhase::Serving,
            };
            self.connection.enter(phase);
            task::Poll::Pending
        })
        .await
    }

    /// Reads what the caller sends while its request is served, up to a limit; resolves when it
    /// has left.
    fn poll_caller(&mut self, context: &mut task::Context<'_>) -> task::Poll<ConnectionEnd> {
        if protection::is_disabled("caller_close") {
            return task::Poll::Pending;
        }
        let mut inbound = self.inbound.borrow_mut();
        let (limit, before) = (inbound.serving_limit(), inbound.len());
        let progress = inbound.poll_read(context, &mut self.stream, limit);
        let has_read = inbound.len() > before;
        drop(inbound);
        if has_read && self.connection.phase() == ConnectionPhase::Receiving {
            self.connection.record_progress();
        }
        match progress {
            ReadProgress::Closed => task::Poll::Ready(ConnectionEnd::Left),
            ReadProgress::Waiting => task::Poll::Pending,
            ReadProgress::Full => self.poll_leave(context),
        }
    }

    /// Resolves when a caller has left from which nothing is read.
    fn poll_leave(&mut self, context: &mut task::Context<'_>) -> task::Poll<ConnectionEnd> {
        let sleep = || Box::pin(tokio::time::sleep(LEAVE_CHECK_INTERVAL));
        let check = self.leave_check.get_or_insert_with(sleep);
        while check.as_mut().poll(context).is_ready() {
            if transport::has_left(&self.stream) {
                return task::Poll::Ready(ConnectionEnd::Left);
            }
            let next = tokio::time::Instant::now() + LEAVE_CHECK_INTERVAL;
            check.as_mut().reset(next);
        }
        task::Poll::Pending
    }

    /// Writes a response as fast as the caller reads it; its body is asked for more only then.
    async fn write_response(
        &mut self,
        response: http_server::HttpResponse,
        is_head: bool,
    ) -> Result<(), ConnectionEnd> {
        let deadline = response.extensions().get::<ResponseDeadline>().copied();
        let mut deadline = deadline.map(|d| Box::pin(tokio::time::sleep_until(d.0)));
        let status = response.status();
        let (response, body) = response.into_parts();
        let mut framing = ResponseFraming::of(body.size(), status, is_head);
        self.encode(h1::Message::Item((response, body.size())))
            .map_err(ConnectionEnd::Broken)?;
        let mut body = pin::pin!(body);
        self.connection.enter(ConnectionPhase::Serving);
        future::poll_fn(|context| {
            if let Err(e) = self.write_on(context, body.as_mut(), &mut framing) {
                return task::Poll::Ready(Err(ConnectionEnd::Broken(e)));
            }
            self.recount();
            if self.outbound.is_empty() {
                match &mut framing {
                    ResponseFraming::BrokenOff(reason) => {
                        let reason = std::mem::take(reason);
                        return task::Poll::Ready(Err(ConnectionEnd::Unfinished(reason)));
                    }
                    framing if !framing.expects_more() => return task::Poll::Ready(Ok(())),
                    _ => {}
                }
            } else {
                let deadline = deadline.as_mut().filter(|_| framing.expects_more());
                let is_due = deadline.is_some_and(|d| d.as_mut().poll(context).is_ready());
                if is_due || self.poll_stall(context).is_ready() {
                    let table = self.server.table();
                    table.record_close(&self.connection, table::CloseReason::Timeout);
                    return task::Poll::Ready(Err(ConnectionEnd::TimedOut));
                }
            }
            self.poll_caller(context).map(Err)
        })
        .await
    }

    /// Passes the body on until it has no more, or the caller does not read.
    ///
    /// # Errors
    /// The connection is broken.
    fn write_on(
        &mut self,
        context: &mut task::Context<'_>,
        mut body: pin::Pin<&mut body::BoxBody>,
        framing: &mut ResponseFraming,
    ) -> io::Result<()> {
        for _ in 0..MAX_ROUNDS {
            let mut is_pending = false;
            while framing.expects_more() && self.outbound.has_room() && !is_pending {
                match body.as_mut().poll_next(context) {
                    task::Poll::Pending => is_pending = true,
                    task::Poll::Ready(Some(Ok(piece))) => self.append(piece, framing)?,
                    task::Poll::Ready(Some(Err(e))) => {
                        *framing = ResponseFraming::BrokenOff(e.to_string());
                    }
                    task::Poll::Ready(None) => self.append_end(framing)?,
                }
            }
            let has_written = self.outbound.poll_write(context, &mut self.stream)?;
            if !self.outbound.is_empty() {
                if self.connection.phase() != ConnectionPhase::Sending {
                    self.connection.enter(ConnectionPhase::Sending);
                    self.set_timer(self.server.options.stall_timeout);
                } else if has_written {
                    self.connection.record_progress();
                }
                return Ok(());
            }
            self.connection.enter(ConnectionPhase::Serving);
            if is_pending || !framing.expects_more() {
                return Ok(());
            }
        }
        // Goes on after the other connections.
        context.waker().wake_by_ref();
        Ok(())
    }

    fn append(&mut self, piece: bytes::Bytes, framing: &mut ResponseFraming) -> io::Result<()> {
        let ResponseFraming::Length(left) = framing else {
            return self.encode(h1::Message::Chunk(Some(piece)));
        };
        let piece = match usize::try_from(*left) {
            Ok(left) if left < piece.len() => piece.slice(..left),
            _ => piece,
        };
        *left -= piece.len() as u64;
        self.outbound.push(piece);
        if *left == 0 {
            *framing = ResponseFraming::Finished;
        }
        Ok(())
    }

    /// Ends a body that has no more pieces.
    fn append_end(&mut self, framing: &mut ResponseFraming) -> io::Result<()> {
        if let ResponseFraming::Length(left) = framing {
            let reason = format!("{left} bytes of the body are missing");
            *framing = ResponseFraming::BrokenOff(reason);
            return Ok(());
        }
        *framing = ResponseFraming::Finished;
        self.encode(h1::Message::Chunk(None))
    }

    fn encode(
        &mut self,
        message: h1::Message<(actix_http::Response<()>, body::BodySize)>,
    ) -> io::Result<()> {
        let mut inbound = self.inbound.borrow_mut();
        inbound.codec.encode(message, self.outbound.buffer())
    }

    /// Resolves when the caller has read nothing for too long.
    fn poll_stall(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        while self.timer.as_mut().poll(context).is_ready() {
            let waited = self.connection.waiting_time();
            let left = self.server.options.stall_timeout.saturating_sub(waited);
            if left.is_zero() {
                return task::Poll::Ready(());
            }
            self.set_timer(left);
        }
        task::Poll::Pending
    }

    /// Discards the rest of a request body that its handler did not read; returns whether the
    /// connection can go on.
    async fn discard_body(&mut self) -> bool {
        if self.inbound.borrow().body() == BodyProgress::Finished {
            return true;
        }
        self.set_timer(LINGER_TIMEOUT);
        let mut discarded = 0;
        self.connection.enter(ConnectionPhase::Receiving);
        future::poll_fn(|context| {
            let mut inbound = self.inbound.borrow_mut();
            loop {
                discarded += inbound.discard_body();
                match inbound.body() {
                    BodyProgress::Finished => return task::Poll::Ready(true),
                    BodyProgress::Malformed => return task::Poll::Ready(false),
                    BodyProgress::Pending => {}
                }
                let limit = inbound.serving_limit();
                match inbound.poll_read(context, &mut self.stream, limit) {
                    _ if discarded > MAX_DISCARDED_BYTES => return task::Poll::Ready(false),
                    ReadProgress::Closed => return task::Poll::Ready(false),
                    ReadProgress::Full => {}
                    ReadProgress::Waiting if inbound.len() > 0 => {}
                    ReadProgress::Waiting => break,
                }
            }
            self.timer.as_mut().poll(context).map(|()| false)
        })
        .await
    }

    /// Closes the sending side, and discards what comes until the caller has closed its own.
    async fn linger(&mut self) {
        self.set_timer(LINGER_TIMEOUT);
        self.connection.enter(ConnectionPhase::Idle);
        let mut discarded = 0;
        let mut is_shut = false;
        future::poll_fn(|context| {
            if !is_shut {
                let stream = pin::Pin::new(&mut self.stream);
                is_shut = match tokio::io::AsyncWrite::poll_shutdown(stream, context) {
                    task::Poll::Ready(Ok(())) => true,
                    task::Poll::Ready(Err(_)) => return task::Poll::Ready(()),
                    task::Poll::Pending => false,
                };
            }
            let mut inbound = self.inbound.borrow_mut();
            loop {
                discarded += inbound.discard_all();
                let limit = inbound.serving_limit();
                match inbound.poll_read(context, &mut self.stream, limit) {
                    _ if discarded > MAX_LINGER_BYTES => return task::Poll::Ready(()),
                    ReadProgress::Closed => return task::Poll::Ready(()),
                    ReadProgress::Full => {}
                    ReadProgress::Waiting if inbound.len() > 0 => {}
                    ReadProgress::Waiting => break,
                }
            }
            self.timer.as_mut().poll(context)
        })
        .await;
    }

    /// Accounts for what the connection holds beyond what each connection takes.
    fn recount(&mut self) {
        let unsent = match self.connection.phase() {
            ConnectionPhase::Sending => self.outbound.held_bytes(),
            _ => 0,
        };
        let head = self.head_bytes.saturating_sub(FREE_HEAD_BYTES);
        let capacity = self.inbound.borrow().capacity();
        let read = capacity.saturating_sub(FREE_BUFFER_BYTES);
        self.account.buffers.borrow_mut().set(unsent + head + read);
    }
}

fn close_after(response: &mut http_server::HttpResponse) {
    let kind = actix_http::ConnectionType::Close;
    response.head_mut().set_connection_type(kind);
}

/// Returns the length of a body as its head declares it, in bytes.
fn declared_length(head: &actix_http::RequestHead) -> Option<usize> {
    http_server::header(head, "content-length")?.parse().ok()
}

/// Estimates the memory that a parsed head takes.
fn head_cost(head: &actix_http::RequestHead) -> usize {
    let fields = head.headers().iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_BYTES);
    head.uri.path().len() + fields.sum::<usize>()
}
