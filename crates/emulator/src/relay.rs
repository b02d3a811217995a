//! TCP relays between processes, which delay, block or break connections as the emulated network
//! requires.

use crate::net::Net;
use socket2::SockRef;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadHalf, WriteHalf, split};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// A link through the network, from one zone to another.
#[derive(Clone, Debug)]
pub struct Link {
    /// The network.
    pub net: Net,
    /// The zone of the client.
    pub from: usize,
    /// The zone of the server.
    pub to: usize,
}

impl Link {
    fn reversed(&self) -> Self {
        Self {
            net: self.net.clone(),
            from: self.to,
            to: self.from,
        }
    }

    /// Whether connections can be established, which requires both directions.
    pub(crate) fn can_connect(&self) -> bool {
        self.net.is_reachable(self.from, self.to) && self.net.is_reachable(self.to, self.from)
    }
}

/// How one direction of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// The sender has closed it, and the receiver was told.
    Closed,
    /// The connection is broken in both directions.
    Broken,
}

/// Most chunks in transit in one direction, and the size of a chunk.
const MAX_QUEUED_CHUNKS: usize = 64;
const CHUNK_BYTES: usize = 16 << 10;

/// Forwards bytes with the link's delay until either side ends. Bytes received during a partition
/// are lost, and the connection breaks at the end of the partition.
async fn forward<A, B>(mut from: ReadHalf<A>, mut to: WriteHalf<B>, link: Link) -> StreamEnd
where
    A: AsyncRead + AsyncWrite + Send + 'static,
    B: AsyncRead + AsyncWrite + Send + 'static,
{
    let (sender, mut chunks) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_QUEUED_CHUNKS);
    let mut changes = link.net.subscribe();
    let read = async move {
        let mut last = Instant::now();
        loop {
            let mut chunk = vec![0; CHUNK_BYTES];
            let length = from.read(&mut chunk).await.unwrap_or(0);
            if !link.net.is_reachable(link.from, link.to) {
                // Nothing is forwarded until the partition has ended.
                while !link.net.is_reachable(link.from, link.to) && changes.changed().await.is_ok()
                {
                }
                return StreamEnd::Broken;
            }
            if length > 0 && link.net.draw_reset() {
                return StreamEnd::Broken;
            }
            chunk.truncate(length);
            last = last
                .max(Instant::now() + Duration::from_micros(link.net.delay(link.from, link.to)));
            if sender.send((last, chunk)).await.is_err() {
                return StreamEnd::Broken;
            }
            if length == 0 {
                // The writer ends when the channel is closed.
                return StreamEnd::Closed;
            }
        }
    };
    let write = async move {
        while let Some((due, chunk)) = chunks.recv().await {
            sleep_until(due).await;
            let done = if chunk.is_empty() {
                to.shutdown().await
            } else {
                to.write_all(&chunk).await
            };
            if done.is_err() {
                return StreamEnd::Broken;
            }
        }
        StreamEnd::Closed
    };
    tokio::pin!(read);
    tokio::pin!(write);
    tokio::select! {
        end = &mut read => if end == StreamEnd::Closed { write.await } else { end },
        end = &mut write => if end == StreamEnd::Closed { read.await } else { end },
    }
}

/// Relays between an accepted connection and its server through `link` until both sides have
/// closed, one breaks, or `broken` completes. A break resets both sides.
pub async fn relay<B>(client: TcpStream, server: B, link: Link, broken: impl Future<Output = ()>)
where
    B: AsyncRead + AsyncWrite + Send + 'static,
{
    let _ = client.set_nodelay(true);
    let reverse_link = link.reversed();
    let client = Arc::new(client);
    let socket = Arc::clone(&client);
    let (client_read, client_write) = split(SharedStream(client));
    let (server_read, server_write) = split(server);
    let outbound = forward(client_read, server_write, link);
    let inbound = forward(server_read, client_write, reverse_link);
    tokio::pin!(outbound);
    tokio::pin!(inbound);
    let reset = tokio::select! {
        end = &mut outbound => end == StreamEnd::Broken || inbound.await == StreamEnd::Broken,
        end = &mut inbound => end == StreamEnd::Broken || outbound.await == StreamEnd::Broken,
        () = broken => true,
    };
    if reset {
        // Without a linger time the system resets the connection when the socket is closed.
        let _ = SockRef::from(&*socket).set_linger(Some(Duration::ZERO));
    }
}

/// A stream with shared ownership.
struct SharedStream(Arc<TcpStream>);

impl AsyncRead for SharedStream {
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

impl AsyncWrite for SharedStream {
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
