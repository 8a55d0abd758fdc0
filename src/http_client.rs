//! HTTP clients that detect truncated responses.
//!
//! The client library ends a body without an error when the peer closes the
//! connection before the announced length or the last chunk. This module turns the
//! end of a connection into a stream error, so that a truncated body is an error
//! too. Responses that are delimited only by the end of the connection cannot be
//! verified as complete and are therefore rejected as well.

use std::{io, pin, task, time};

use actix_rt::net;
use actix_service::ServiceExt as _;
use actix_tls::connect;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::{log_error::LogError as _, protection};

/// TCP stream that reports end of file as an error.
#[derive(Debug)]
struct GuardedStream {
    inner: net::TcpStream,
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let capacity = buffer.remaining();
        let before = buffer.filled().len();
        let read = pin::Pin::new(&mut self.inner).poll_read(context, buffer);
        let ended =
            capacity > 0 && buffer.filled().len() == before && !protection::is_disabled("cut");
        match read {
            task::Poll::Ready(Ok(())) if ended => {
                task::Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()))
            }
            other => other,
        }
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        data: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.inner).poll_write(context, data)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

impl net::ActixStream for GuardedStream {
    fn poll_read_ready(
        &self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<tokio::io::Ready>> {
        net::ActixStream::poll_read_ready(&self.inner, context)
    }

    fn poll_write_ready(
        &self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<tokio::io::Ready>> {
        net::ActixStream::poll_write_ready(&self.inner, context)
    }
}

/// Maximum wait for a connection to be established.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1000);
/// Time for which an idle connection is kept open.
const KEEP_ALIVE: time::Duration = time::Duration::from_secs(15);

/// Creates an HTTP client, usable on the current thread only.
///
/// `connections` limits the connections per peer; 0 means no limit. The client sets
/// no default timeout for requests.
pub fn new_client(connections: usize) -> awc::Client {
    let tcp = connect::ConnectorService::default().map(|connection| {
        let (inner, connection) = connection.replace_io(());
        inner.set_nodelay(true).ok_or_log("nodelay_unset");
        connection.replace_io(GuardedStream { inner }).1
    });
    let connector = awc::Connector::new()
        .connector(tcp)
        .limit(connections)
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(KEEP_ALIVE);
    awc::Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .finish()
}
