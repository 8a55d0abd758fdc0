//! What a connection of a caller is made of: a TCP socket, or a TLS session over one.

use std::os::fd::AsFd;

use nix::{libc, poll};
use tokio::{io, net};

/// A byte stream of a caller.
pub trait CallerStream: io::AsyncRead + io::AsyncWrite + Unpin {
    /// Returns the socket below.
    fn socket(&self) -> &net::TcpStream;
}

impl CallerStream for net::TcpStream {
    fn socket(&self) -> &net::TcpStream {
        self
    }
}

impl CallerStream for tokio_rustls::server::TlsStream<net::TcpStream> {
    fn socket(&self) -> &net::TcpStream {
        self.get_ref().0
    }
}

/// Returns whether the caller has closed its sending side or reset the connection, also while
/// bytes are unread.
pub(super) fn has_left(stream: &impl CallerStream) -> bool {
    let interest = poll::PollFlags::from_bits_retain(libc::POLLRDHUP);
    let mut sockets = [poll::PollFd::new(stream.socket().as_fd(), interest)];
    match poll::poll(&mut sockets, poll::PollTimeout::ZERO) {
        // The library has no name for the flag, and gives `None` if it is set.
        Ok(_) => sockets[0].revents().is_none_or(|events| !events.is_empty()),
        Err(_) => false,
    }
}

/// Limits the kernel's buffers of the connections that a listener accepts from now on.
pub fn limit_buffers(listener: &impl AsFd, bytes: usize) {
    let listener = socket2::SockRef::from(listener);
    let receiving = listener.set_recv_buffer_size(bytes);
    if let Err(e) = receiving.and(listener.set_send_buffer_size(bytes)) {
        log::warn!("event=socket_buffers_unlimited why=\"{e}\"");
    }
}
