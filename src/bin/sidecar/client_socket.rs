//! A client's socket as its connection reads it.

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

/// Looks at the socket itself before a connection counts as idle: the runtime may not have heard
/// yet of what has come, as when the process was stopped and goes on, and its timers fire first.
pub struct ClientSocket {
    client: Rc<Client>,
    /// Since when nothing was read.
    quiet: Instant,
    /// How long that may be before a timer could be about to end the connection.
    sure: Duration,
    /// How long a client may take to make room for an answer.
    slowest: Duration,
    /// Runs while there is no room for one.
    overdue: Option<Pin<Box<Sleep>>>,
}

impl ClientSocket {
    /// Over a connection that may be ended once it was quiet for longer than `sure`, and that ends
    /// once its client has left an answer unread for longer than `slowest` after its system had no
    /// more room.
    pub fn new(client: Rc<Client>, sure: Duration, slowest: Duration) -> Self {
        Self {
            client,
            quiet: Instant::now(),
            sure,
            slowest,
            overdue: None,
        }
    }

    fn stream(&self) -> &TcpStream {
        self.client.stream()
    }

    /// Waits for room for an answer, but not for ever.
    fn poll_room(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Poll::Ready(room) = self.stream().poll_write_ready(cx) {
            return Poll::Ready(room);
        }
        let slowest = self.slowest;
        let overdue = self.overdue.get_or_insert_with(|| Box::pin(sleep(slowest)));
        ready!(overdue.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.client.reads();
        loop {
            match self.stream().poll_read_ready(cx) {
                Poll::Ready(ready) => ready?,
                Poll::Pending if self.quiet.elapsed() < self.sure => return Poll::Pending,
                Poll::Pending => {}
            }
            let room = buf.initialize_unfilled();
            let read = match self.stream().try_read(room) {
                // What the runtime takes for not readable may be so all the same.
                Err(e)
                    if e.kind() == io::ErrorKind::WouldBlock
                        && self.quiet.elapsed() >= self.sure =>
                {
                    io::Read::read(&mut &*SockRef::from(self.stream()), room)
                }
                read => read,
            };
            match read {
                Ok(length) => {
                    buf.advance(length);
                    if length > 0 {
                        self.client.has_read();
                    }
                    self.quiet = Instant::now();
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
        loop {
            ready!(self.poll_room(cx))?;
            match self.stream().try_write(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.poll_room(cx))?;
            match self.stream().try_write_vectored(bufs) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Asked for once all of an answer is written.
        self.overdue = None;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(self.stream()).shutdown(std::net::Shutdown::Write))
    }
}
