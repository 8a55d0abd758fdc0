//! A caller's connection that tracks whether response bytes still wait to be written.

use std::{cell, io, pin, rc, task};

use tokio::{io as tokio_io, net};

use super::{caller_connections, caller_memory};

/// A caller's connection, counted in `waiting` while the kernel has not accepted all bytes
/// written to it.
///
/// Invariant: `waiting` counts this connection exactly while `is_waiting`.
pub(super) struct CallerSocket {
    socket: net::TcpStream,
    waiting: rc::Rc<cell::Cell<usize>>,
    is_waiting: bool,
    /// Bytes held by the write buffer.
    account: caller_memory::ConnectionAccount,
    activity: rc::Rc<caller_connections::ConnectionActivity>,
}

impl CallerSocket {
    /// Wraps a connection on which no response was written yet.
    pub(super) fn new(
        socket: net::TcpStream,
        waiting: rc::Rc<cell::Cell<usize>>,
        memory: &rc::Rc<caller_memory::CallerMemory>,
        activity: rc::Rc<caller_connections::ConnectionActivity>,
    ) -> Self {
        let account = caller_memory::HeldBytes::none(memory, None);
        Self {
            socket,
            waiting,
            is_waiting: false,
            account: rc::Rc::new(cell::RefCell::new(account)),
            activity,
        }
    }

    /// Returns what the caller does on the connection.
    pub(super) fn activity(&self) -> rc::Rc<caller_connections::ConnectionActivity> {
        self.activity.clone()
    }

    /// Returns the account of the bytes that the write buffer holds.
    pub(super) fn account(&self) -> caller_memory::ConnectionAccount {
        self.account.clone()
    }

    /// Counts the write buffer of the HTTP library after a write of `bytes`, all that is in it.
    ///
    /// The library copies a complete response into it, and keeps the allocation until all
    /// of it was written.
    fn count_buffer(&mut self, bytes: usize, is_waiting: bool) {
        let mut account = self.account.borrow_mut();
        let held = match is_waiting {
            true => bytes.max(account.bytes()),
            false => 0,
        };
        account.set(held);
    }

    fn set_waiting(&mut self, is_waiting: bool) {
        let was_waiting = std::mem::replace(&mut self.is_waiting, is_waiting);
        let others = self.waiting.get() - usize::from(was_waiting);
        self.waiting.set(others + usize::from(is_waiting));
        self.activity.set_unsent(is_waiting);
    }
}

impl Drop for CallerSocket {
    fn drop(&mut self) {
        self.set_waiting(false);
    }
}

impl tokio_io::AsyncRead for CallerSocket {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let read = pin::Pin::new(&mut self.socket).poll_read(context, buffer);
        if read.is_ready() {
            self.activity.record_use();
        }
        read
    }
}

impl tokio_io::AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.socket).poll_write(context, bytes);
        let is_waiting = match &written {
            task::Poll::Pending => true,
            task::Poll::Ready(Ok(count)) => *count < bytes.len(),
            // The caller has disconnected.
            task::Poll::Ready(Err(_)) => false,
        };
        self.activity.record_use();
        self.set_waiting(is_waiting);
        self.count_buffer(bytes.len(), is_waiting);
        written
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
