//! TCP relays between processes that delay, block or break connections as the emulated network
//! says.

use crate::net::Net;
use socket2::SockRef;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadHalf, WriteHalf, split};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// A way through the network, from one zone to another.
#[derive(Clone, Debug)]
pub struct Link {
    /// The network.
    pub net: Net,
    /// Whose connection it is: the zone of who dials.
    pub from: usize,
    /// The zone of who is dialled.
    pub to: usize,
}

impl Link {
    fn back(&self) -> Self {
        Self {
            net: self.net.clone(),
            from: self.to,
            to: self.from,
        }
    }

    /// A connection comes up only where both ways are open.
    pub(crate) fn opens(&self) -> bool {
        self.net.passes(self.from, self.to) && self.net.passes(self.to, self.from)
    }
}

/// How one direction of a connection came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The sender has closed, and the receiver knows.
    Closed,
    /// The connection is broken for both.
    Broken,
}

/// Pieces under way in one direction, and the bytes of one at most.
const UNDER_WAY: usize = 64;
const CHUNK_BYTES: usize = 16 << 10;

/// Passes on what `from` says, late, until either side ends. What comes in while the way is cut is
/// lost, and the connection with it once the way is open again.
async fn pump<A, B>(mut from: ReadHalf<A>, mut to: WriteHalf<B>, link: Link) -> End
where
    A: AsyncRead + AsyncWrite + Send + 'static,
    B: AsyncRead + AsyncWrite + Send + 'static,
{
    let (sender, mut pieces) = mpsc::channel::<(Instant, Vec<u8>)>(UNDER_WAY);
    let mut changes = link.net.subscribe();
    let read = async move {
        let mut last = Instant::now();
        loop {
            let mut piece = vec![0; CHUNK_BYTES];
            let length = from.read(&mut piece).await.unwrap_or(0);
            if !link.net.passes(link.from, link.to) {
                // Nothing is said on either side until it is back.
                while !link.net.passes(link.from, link.to) && changes.changed().await.is_ok() {}
                return End::Broken;
            }
            if length > 0 && link.net.breaks() {
                return End::Broken;
            }
            piece.truncate(length);
            last = last
                .max(Instant::now() + Duration::from_micros(link.net.delay(link.from, link.to)));
            if sender.send((last, piece)).await.is_err() {
                return End::Broken;
            }
            if length == 0 {
                // The channel's end is what the writer ends with.
                return End::Closed;
            }
        }
    };
    let write = async move {
        while let Some((due, piece)) = pieces.recv().await {
            sleep_until(due).await;
            let done = if piece.is_empty() {
                to.shutdown().await
            } else {
                to.write_all(&piece).await
            };
            if done.is_err() {
                return End::Broken;
            }
        }
        End::Closed
    };
    tokio::pin!(read);
    tokio::pin!(write);
    tokio::select! {
        end = &mut read => if end == End::Closed { write.await } else { end },
        end = &mut write => if end == End::Closed { read.await } else { end },
    }
}

/// Joins a connection that was accepted with what it was meant for, through `link`, until both
/// sides have closed, one breaks, or `broken` tells so. A break is a reset on both sides.
pub async fn join<B>(client: TcpStream, server: B, link: Link, broken: impl Future<Output = ()>)
where
    B: AsyncRead + AsyncWrite + Send + 'static,
{
    let _ = client.set_nodelay(true);
    let back = link.back();
    let client = Arc::new(client);
    let linger = Arc::clone(&client);
    let (client_read, client_write) = split(Shared(client));
    let (server_read, server_write) = split(server);
    let out = pump(client_read, server_write, link);
    let into = pump(server_read, client_write, back);
    tokio::pin!(out);
    tokio::pin!(into);
    let reset = tokio::select! {
        end = &mut out => end == End::Broken || into.await == End::Broken,
        end = &mut into => end == End::Broken || out.await == End::Broken,
        () = broken => true,
    };
    if reset {
        // With no time to linger the system sends a reset when the socket closes.
        let _ = SockRef::from(&*linger).set_linger(Some(Duration::ZERO));
    }
}

/// A stream that several hold.
struct Shared(Arc<TcpStream>);

impl AsyncRead for Shared {
    fn poll_read(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> std::task::Poll<io::Result<()>> {
        loop {
            std::task::ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(length) => {
                    buf.advance(length);
                    return std::task::Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return std::task::Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for Shared {
    fn poll_write(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        bytes: &[u8],
    ) -> std::task::Poll<io::Result<usize>> {
        loop {
            std::task::ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(bytes) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return std::task::Poll::Ready(done),
            }
        }
    }

    fn poll_flush(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<io::Result<()>> {
        std::task::Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<io::Result<()>> {
        std::task::Poll::Ready(SockRef::from(&*self.0).shutdown(std::net::Shutdown::Write))
    }
}
