//! The socket of a client as its HTTP connection reads and writes it.

use crate::client::Client;
use socket2::SockRef;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

/// Checks the socket itself before a connection counts as idle: after the process was suspended,
/// the runtime's timers fire before it has noticed bytes that arrived in the meantime.
pub struct ClientSocket {
    client: Rc<Client>,
    /// When bytes were last read.
    last_read_at: Instant,
    /// Time without reads after which a timer may be about to close the connection.
    recheck_after: Duration,
    /// How long the client may leave an answer unread.
    stall_timeout: Duration,
    /// Runs while the socket is not writable.
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl ClientSocket {
    /// Wraps a connection that may be closed after more than `recheck_after` without reads, and
    /// that fails once its client has left an answer unread for longer than `stall_timeout` after
    /// the socket's buffer was full.
    pub fn new(client: Rc<Client>, recheck_after: Duration, stall_timeout: Duration) -> Self {
        Self {
            client,
            last_read_at: Instant::now(),
            recheck_after,
            stall_timeout,
            stall_timer: None,
        }
    }

    fn stream(&self) -> &TcpStream {
        self.client.stream()
    }

    /// Writes once the socket is writable.
    fn poll_write_with(
        &mut self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        self.client.note_write_start();
        loop {
            ready!(self.poll_writable(cx))?;
            match write(self.stream()) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    /// Waits until the socket is writable, up to the time limit.
    fn poll_writable(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Poll::Ready(writable) = self.stream().poll_write_ready(cx) {
            return Poll::Ready(writable);
        }
        let stall_timeout = self.stall_timeout;
        let stall_timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(sleep(stall_timeout)));
        ready!(stall_timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.client.note_read_start();
        let limit = match ready!(self.client.poll_read_limit(cx)) {
            Ok(limit) => limit.min(buf.remaining()),
            // Behind that answer the HTTP connection asks again.
            Err(_) if self.client.is_writing() => return Poll::Pending,
            Err(error) => return Poll::Ready(Err(error)),
        };
        loop {
            match self.stream().poll_read_ready(cx) {
                Poll::Ready(ready) => ready?,
                Poll::Pending if self.last_read_at.elapsed() < self.recheck_after => {
                    return Poll::Pending;
                }
                Poll::Pending => {}
            }
            let unfilled = buf.initialize_unfilled_to(limit);
            let read = match self.stream().try_read(unfilled) {
                // The runtime may not yet know that the socket is readable.
                Err(e)
                    if e.kind() == io::ErrorKind::WouldBlock
                        && self.last_read_at.elapsed() >= self.recheck_after =>
                {
                    io::Read::read(&mut &*SockRef::from(self.stream()), unfilled)
                }
                read => read,
            };
            match read {
                Ok(length) => {
                    buf.advance(length);
                    if length > 0 {
                        self.client.note_bytes_read(length);
                    }
                    self.last_read_at = Instant::now();
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.stream().poll_read_ready(cx))?
                }
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Called once a whole answer is written.
        self.stall_timer = None;
        self.client.note_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(self.stream()).shutdown(std::net::Shutdown::Write))
    }
}
