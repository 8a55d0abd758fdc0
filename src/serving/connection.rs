//! A connection to an endpoint, and the exchange of one request on it.
//!
//! The codec is the HTTP library's. The socket is handled here, as the library's client
//! hides whether any byte was sent, whether a body ended or was truncated, and whether
//! bytes arrived that belong to no request.

use std::{io, net, time};

use actix_http::{h1, StatusCode};
use bytes::Buf as _;
use tokio::io::AsyncReadExt as _;
use tokio_util::codec::{Decoder as _, Encoder as _};

/// A request to be sent.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Method, path and headers.
    pub head: actix_http::RequestHead,
    /// Body.
    pub body: bytes::Bytes,
}

/// The reason why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection was closed or reset before any byte of the request was written, so
    /// that the request cannot have run.
    #[error("the connection was closed before the request was sent: {0}")]
    Unsent(io::Error),
    /// The connection was closed or reset.
    #[error("the connection broke: {0}")]
    Broken(#[from] io::Error),
    /// The received bytes are not a valid response.
    #[error("malformed response: {0}")]
    Malformed(String),
}

/// A connection to an endpoint.
#[derive(Debug)]
pub struct EndpointConnection {
    /// The endpoint's address.
    pub address: net::SocketAddr,
    socket: tokio::net::TcpStream,
    buffer: bytes::BytesMut,
    /// Whether the last request was sent in full.
    is_fully_sent: bool,
}

/// How the body of a response is delimited.
enum BodyFraming {
    /// There is no body.
    Empty,
    /// By `Content-Length` or chunked transfer encoding.
    Framed(h1::ClientPayloadCodec),
    /// By the close of the connection.
    UntilClose,
    /// The body was read to its end.
    Finished,
}

/// The head of a response, and the connection from which its body is read.
pub struct IncomingResponse {
    /// Status and headers.
    pub head: actix_http::ResponseHead,
    connection: EndpointConnection,
    framing: BodyFraming,
    keep_alive: bool,
    /// Whether the end of the body is the end of the connection.
    is_until_close: bool,
}

/// Initial size of the read buffer, in bytes.
const INITIAL_BUFFER_BYTES: usize = 2048;

/// Maximum number of bytes received before a response head is complete, interim responses
/// included. A head has some hundred bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of bytes received without a byte of the body, such as those of a chunk's
/// size and extensions.
const MAX_FRAMING_BYTES: usize = 16 << 10;

impl EndpointConnection {
    /// Opens a connection.
    ///
    /// # Errors
    /// The connection failed or was not established within the timeout.
    pub async fn open(address: net::SocketAddr, timeout: time::Duration) -> io::Result<Self> {
        let connecting = tokio::net::TcpStream::connect(address);
        let socket = match tokio::time::timeout(timeout, connecting).await {
            Ok(connected) => connected?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        socket.set_nodelay(true)?;
        Ok(Self {
            address,
            socket,
            buffer: bytes::BytesMut::with_capacity(INITIAL_BUFFER_BYTES),
            is_fully_sent: true,
        })
    }

    /// Returns whether the idle connection is open and has no unread bytes.
    pub fn is_reusable(&self) -> bool {
        let mut probe = [0; 1];
        let read = self.socket.try_read(&mut probe);
        matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the head of its response.
    ///
    /// # Errors
    /// The connection broke, before or after the request was sent, or the response is
    /// malformed.
    pub async fn exchange(
        mut self,
        request: OutgoingRequest,
    ) -> Result<IncomingResponse, ExchangeError> {
        let mut codec = h1::ClientCodec::default();
        let size = actix_http::body::BodySize::Sized(request.body.len() as u64);
        let mut out = bytes::BytesMut::with_capacity(512);
        let head = actix_http::RequestHeadType::Owned(request.head);
        codec.encode(h1::Message::Item((head, size)), &mut out)?;
        self.send(&out, &request.body).await?;
        let head = self.read_head(&mut codec).await?;
        let keep_alive = codec.keep_alive();
        let framing = framing_of(&head, codec);
        Ok(IncomingResponse {
            head,
            connection: self,
            is_until_close: matches!(framing, BodyFraming::UntilClose),
            framing,
            keep_alive,
        })
    }

    /// Writes the head and the body, without a copy of the body; stops early if a response
    /// arrives before it is sent in full.
    ///
    /// # Errors
    /// The connection broke; the error says whether any byte was written before.
    async fn send(&mut self, head: &[u8], body: &[u8]) -> Result<(), ExchangeError> {
        if !self.is_reusable() {
            let reason = "it was closed, or bytes arrived before the request";
            return Err(ExchangeError::Unsent(io::Error::other(reason)));
        }
        let mut remaining = bytes::Buf::chain(head, body);
        let written = self.write(&mut remaining).await;
        written.map_err(|e| match remaining.remaining() == head.len() + body.len() {
            true => ExchangeError::Unsent(e),
            false => ExchangeError::Broken(e),
        })
    }

    /// Writes the bytes of `out`, from which the written ones are removed.
    async fn write(&mut self, out: &mut impl bytes::Buf) -> io::Result<()> {
        self.is_fully_sent = false;
        while out.has_remaining() {
            let mut slices = [io::IoSlice::new(&[]); 2];
            let count = out.chunks_vectored(&mut slices);
            match self.socket.try_write_vectored(&slices[..count]) {
                Ok(count) => {
                    out.advance(count);
                    continue;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
            let interest = tokio::io::Interest::READABLE | tokio::io::Interest::WRITABLE;
            let ready = self.socket.ready(interest).await?;
            if ready.is_readable() && !self.try_fill()? {
                return Ok(());
            }
        }
        self.is_fully_sent = true;
        Ok(())
    }

    /// Reads the bytes that are available; returns whether there were none.
    fn try_fill(&mut self) -> io::Result<bool> {
        match self.socket.try_read_buf(&mut self.buffer) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => Ok(false),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(true),
            Err(e) => Err(e),
        }
    }

    async fn read_head(
        &mut self,
        codec: &mut h1::ClientCodec,
    ) -> Result<actix_http::ResponseHead, ExchangeError> {
        let mut received = self.buffer.len();
        loop {
            let decoded = codec.decode(&mut self.buffer);
            match decoded.map_err(|e| ExchangeError::Malformed(e.to_string()))? {
                Some(head) if head.status == StatusCode::CONTINUE => {}
                Some(head) => return Ok(head),
                None if received > MAX_HEAD_BYTES => {
                    let reason = format!("no complete head within {received} bytes");
                    return Err(ExchangeError::Malformed(reason));
                }
                None => received += self.fill().await?,
            }
        }
    }

    /// Reads at least one byte; returns how many were read.
    async fn fill(&mut self) -> io::Result<usize> {
        match self.socket.read_buf(&mut self.buffer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => Ok(count),
        }
    }
}

/// Determines how the body after a head is delimited.
fn framing_of(head: &actix_http::ResponseHead, codec: h1::ClientCodec) -> BodyFraming {
    use actix_http::header;

    let headers = head.headers();
    // Of an HTTP/1.0 response the codec knows no end, so its connection tells it.
    let is_delimited = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    if is_delimited && codec.message_type() != h1::MessageType::None {
        return BodyFraming::Framed(codec.into_payload_codec());
    }
    let is_empty = head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED
        || headers.contains_key(header::CONTENT_LENGTH);
    if is_empty {
        BodyFraming::Empty
    } else {
        BodyFraming::UntilClose
    }
}

impl IncomingResponse {
    /// Returns whether the body ends with its connection, so that an endpoint that stopped
    /// midway may look as if it had finished.
    pub fn is_until_close(&self) -> bool {
        self.is_until_close
    }

    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    /// The body was truncated or is malformed.
    pub async fn next_bytes(&mut self) -> Result<Option<bytes::Bytes>, ExchangeError> {
        let mut received = 0;
        loop {
            match &mut self.framing {
                BodyFraming::Empty | BodyFraming::Finished => return Ok(None),
                BodyFraming::UntilClose => return self.next_until_close().await,
                BodyFraming::Framed(codec) => {
                    let decoded = codec.decode(&mut self.connection.buffer);
                    let decoded = decoded.map_err(|e| ExchangeError::Malformed(e.to_string()))?;
                    match decoded {
                        Some(Some(bytes)) => return Ok(Some(bytes)),
                        Some(None) => {
                            self.framing = BodyFraming::Finished;
                            return Ok(None);
                        }
                        None if received > MAX_FRAMING_BYTES => {
                            let reason = format!("no byte of the body within {received} bytes");
                            return Err(ExchangeError::Malformed(reason));
                        }
                        None => received += self.connection.fill().await?,
                    }
                }
            }
        }
    }

    async fn next_until_close(&mut self) -> Result<Option<bytes::Bytes>, ExchangeError> {
        self.keep_alive = false;
        let connection = &mut self.connection;
        if connection.buffer.is_empty() {
            // A reset is an error: only an orderly close ends the body.
            let count = connection.socket.read_buf(&mut connection.buffer).await?;
            if count == 0 {
                self.framing = BodyFraming::Finished;
                return Ok(None);
            }
        }
        Ok(Some(connection.buffer.split().freeze()))
    }

    /// Returns the connection if it can be reused for another request.
    ///
    /// It can't if the response came before the request was sent in full, if the body was
    /// not read to its end, or if bytes follow that belong to no request.
    pub fn into_connection(self) -> Option<EndpointConnection> {
        let is_finished = matches!(self.framing, BodyFraming::Empty | BodyFraming::Finished);
        let is_clean = self.connection.is_fully_sent && self.connection.buffer.is_empty();
        (is_finished && is_clean && self.keep_alive).then_some(self.connection)
    }
}
