//! One connection to an endpoint, and the exchange of one request on it.
//!
//! The codec is the HTTP library's; the socket is our own, as the library's
//! client hides what matters here: whether a byte went out, whether a body
//! ended or was cut, and whether bytes came that belong to no request.

use std::{io, net, time};

use actix_http::{h1, StatusCode};
use tokio::io::AsyncReadExt as _;
use tokio_util::codec::{Decoder as _, Encoder as _};

/// A request as it goes out.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Method, path and headers.
    pub head: actix_http::RequestHead,
    /// Body.
    pub body: bytes::Bytes,
}

/// Why an exchange gave no head of an answer.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection was closed or reset.
    #[error("the connection broke: {0}")]
    Broken(#[from] io::Error),
    /// What came is no answer.
    #[error("what came is no answer: {0}")]
    Malformed(String),
}

/// A connection to an endpoint.
#[derive(Debug)]
pub struct EndpointConnection {
    /// The endpoint's address.
    pub address: net::SocketAddr,
    socket: tokio::net::TcpStream,
    buffer: bytes::BytesMut,
    /// Whether all of the last request's body went out.
    sent_whole: bool,
}

/// How the body of an answer is framed.
enum BodyFraming {
    /// There is none.
    Empty,
    /// By a length or in chunks.
    Coded(h1::ClientPayloadCodec),
    /// By the end of the connection.
    UntilClose,
    /// It ended.
    Ended,
}

/// The head of an answer, and the connection that brings its body.
pub struct IncomingAnswer {
    /// Status and headers.
    pub head: actix_http::ResponseHead,
    connection: EndpointConnection,
    framing: BodyFraming,
    keep_alive: bool,
}

/// First size of the read buffer, in bytes.
const BUFFER_BYTES: usize = 2048;

impl EndpointConnection {
    /// Connects.
    ///
    /// # Errors
    /// The connection is refused or not made in time.
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
            buffer: bytes::BytesMut::with_capacity(BUFFER_BYTES),
            sent_whole: true,
        })
    }

    /// Whether the idle connection is open and nothing came on it.
    pub fn is_quiet(&self) -> bool {
        let mut probe = [0; 1];
        let read = self.socket.try_read(&mut probe);
        matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the head of its answer.
    ///
    /// # Errors
    /// The connection broke, or what came is no answer.
    pub async fn exchange(
        mut self,
        request: OutgoingRequest,
    ) -> Result<IncomingAnswer, ExchangeError> {
        let mut codec = h1::ClientCodec::default();
        let size = actix_http::body::BodySize::Sized(request.body.len() as u64);
        let mut out = bytes::BytesMut::with_capacity(request.body.len() + 512);
        let head = actix_http::RequestHeadType::Owned(request.head);
        codec.encode(h1::Message::Item((head, size)), &mut out)?;
        out.extend_from_slice(&request.body);
        self.send(&out).await?;
        let head = self.read_head(&mut codec).await?;
        let keep_alive = codec.keep_alive();
        let framing = framing_of(&head, codec);
        Ok(IncomingAnswer {
            head,
            connection: self,
            framing,
            keep_alive,
        })
    }

    /// Writes the request; stops when an answer comes before all of it went out.
    async fn send(&mut self, mut out: &[u8]) -> io::Result<()> {
        self.sent_whole = false;
        while !out.is_empty() {
            match self.socket.try_write(out) {
                Ok(count) => {
                    out = &out[count..];
                    continue;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
            let interest = tokio::io::Interest::READABLE | tokio::io::Interest::WRITABLE;
            let ready = self.socket.ready(interest).await?;
            if ready.is_readable() && !self.fill_now()? {
                return Ok(());
            }
        }
        self.sent_whole = true;
        Ok(())
    }

    /// Reads what is there; says whether nothing was.
    fn fill_now(&mut self) -> io::Result<bool> {
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
        loop {
            let decoded = codec.decode(&mut self.buffer);
            match decoded.map_err(|e| ExchangeError::Malformed(e.to_string()))? {
                Some(head) if head.status == StatusCode::CONTINUE => {}
                Some(head) => return Ok(head),
                None => self.fill().await?,
            }
        }
    }

    /// Reads at least one byte.
    async fn fill(&mut self) -> io::Result<()> {
        if self.socket.read_buf(&mut self.buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }
}

fn framing_of(head: &actix_http::ResponseHead, codec: h1::ClientCodec) -> BodyFraming {
    use actix_http::header;

    if codec.message_type() != h1::MessageType::None {
        return BodyFraming::Coded(codec.into_payload_codec());
    }
    let headers = head.headers();
    let bodiless = head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED
        || headers.contains_key(header::CONTENT_LENGTH);
    if bodiless {
        BodyFraming::Empty
    } else {
        BodyFraming::UntilClose
    }
}

impl IncomingAnswer {
    /// The next bytes of the body; nothing at its proper end.
    ///
    /// # Errors
    /// The body was cut or is malformed.
    pub async fn next_bytes(&mut self) -> Result<Option<bytes::Bytes>, ExchangeError> {
        loop {
            match &mut self.framing {
                BodyFraming::Empty | BodyFraming::Ended => return Ok(None),
                BodyFraming::UntilClose => return self.next_until_close().await,
                BodyFraming::Coded(codec) => {
                    let decoded = codec.decode(&mut self.connection.buffer);
                    let decoded = decoded.map_err(|e| ExchangeError::Malformed(e.to_string()))?;
                    match decoded {
                        Some(Some(bytes)) => return Ok(Some(bytes)),
                        Some(None) => {
                            self.framing = BodyFraming::Ended;
                            return Ok(None);
                        }
                        None => self.connection.fill().await?,
                    }
                }
            }
        }
    }

    async fn next_until_close(&mut self) -> Result<Option<bytes::Bytes>, ExchangeError> {
        self.keep_alive = false;
        let connection = &mut self.connection;
        if connection.buffer.is_empty() {
            // A reset is an error here; only an orderly end is the end of the body.
            let count = connection.socket.read_buf(&mut connection.buffer).await?;
            if count == 0 {
                self.framing = BodyFraming::Ended;
                return Ok(None);
            }
        }
        Ok(Some(connection.buffer.split().freeze()))
    }

    /// The connection, if another request may go out on it.
    ///
    /// Not after an answer that came before the request was read, a body that
    /// did not end, or bytes behind it that belong to no request.
    pub fn into_connection(self) -> Option<EndpointConnection> {
        let ended = matches!(self.framing, BodyFraming::Empty | BodyFraming::Ended);
        let clean = self.connection.sent_whole && self.connection.buffer.is_empty();
        (ended && clean && self.keep_alive).then_some(self.connection)
    }
}
