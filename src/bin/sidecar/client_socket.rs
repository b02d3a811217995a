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
use tokio::time::{Sleep, sleep};

/// A client's socket. Records what is read and written, and limits how long an answer is left unread.
pub struct ClientSocket {
    client: Rc<Client>,
    /// How long the client may leave an answer unread.
    stall_timeout: Duration,
    /// Runs while the socket is not writable.
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl ClientSocket {
    /// Wraps a connection that fails once its client has left an answer unread for longer than
    /// `stall_timeout` after the socket's buffer was full.
    pub fn new(client: Rc<Client>, stall_timeout: Duration) -> Self {
        Self {
            client,
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
        self: Pin<&mut Self>,
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
            ready!(self.stream().poll_read_ready(cx))?;
            let unfilled = buf.initialize_unfilled_to(limit);
            match self.stream().try_read(unfilled) {
                Ok(length) => {
                    buf.advance(length);
                    if length > 0 {
                        self.client.note_bytes_read(length);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
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
