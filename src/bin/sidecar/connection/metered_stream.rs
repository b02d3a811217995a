//! The socket of an endpoint as its HTTP connection reads and writes it.

use super::WriteProgress;
use crate::head_allowance::HeadAllowance;
use socket2::SockRef;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket that records what is written, and that can be inspected while the HTTP connection owns
/// it.
pub struct MeteredStream {
    /// The socket.
    pub stream: Rc<TcpStream>,
    /// How much of the current request is written.
    pub progress: Rc<RefCell<WriteProgress>>,
    /// What may be read of a response's head.
    pub head_allowance: Rc<RefCell<HeadAllowance>>,
}

impl MeteredStream {
    /// Records that the first `length` bytes of these buffers were written.
    fn record_written(&self, bufs: &[io::IoSlice<'_>], length: usize) {
        let progress = self.progress.borrow();
        let mut remaining = length;
        for buf in bufs {
            let written = remaining.min(buf.len());
            progress.record_written(&buf[..written]);
            remaining -= written;
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = ready!(self.head_allowance.borrow_mut().poll_limit(cx))?;
        let limit = limit.min(buf.remaining());
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled_to(limit)) {
                Ok(length) => {
                    buf.advance(length);
                    self.head_allowance.borrow_mut().record_read(length);
                    self.progress.borrow().record_read();
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(bufs) {
                Ok(length) => {
                    self.record_written(bufs, length);
                    return Poll::Ready(Ok(length));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// Otherwise the HTTP library copies each body behind its head, and keeps that buffer.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}
