//! The listener in front of a server process: open, closed or unreachable along with it.

use crate::relay::Link;
use crate::reserved::Reserved;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Whether a process listens behind a listener, and which incarnation of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Whether it runs.
    pub is_up: bool,
    /// The number of the incarnation.
    pub number: u64,
}

/// Connections that the system queues until they are accepted.
const BACKLOG: i32 = 1024;
/// Timeout of a connection that fills the backlog; a connection that is not established in time
/// shows that the backlog is full.
const FILLER_TIMEOUT: Duration = Duration::from_millis(30);
/// Most such connections.
const MAX_FILLERS: usize = 8;
/// Delay before a listener that could not be opened is tried again: its port may still be in use.
const RETRY_DELAY: Duration = Duration::from_millis(20);

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG as u32)
}

/// A listener that behaves like the process behind it and the network in between: connections are
/// refused while the process is down, and never established during a partition.
pub struct ServerListener {
    listener: Option<TcpListener>,
    /// Keeps its port reserved while nothing listens there.
    reserved: Reserved,
    incarnation: watch::Receiver<Incarnation>,
    link: Link,
}

impl ServerListener {
    /// Binds a free port on that host.
    pub fn bind(
        host: std::net::IpAddr,
        incarnation: watch::Receiver<Incarnation>,
        link: Link,
    ) -> io::Result<Self> {
        let reserved = Reserved::on(host)?;
        let listener = listen(reserved.address())?;
        Ok(Self {
            listener: Some(listener),
            reserved,
            incarnation,
            link,
        })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.reserved.address()
    }

    /// Accepts connections forever, and passes each on with the process's incarnation.
    pub async fn run(mut self, serve: impl Fn(TcpStream, u64)) {
        let mut changes = self.link.net.subscribe();
        loop {
            let incarnation = *self.incarnation.borrow_and_update();
            if !incarnation.is_up {
                self.listener = None;
                if self.incarnation.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let Some(listener) = &self.listener else {
                match listen(self.address()) {
                    Ok(listener) => self.listener = Some(listener),
                    Err(_) => sleep(RETRY_DELAY).await,
                }
                continue;
            };
            changes.borrow_and_update();
            if !self.link.can_connect() {
                let fillers = fill_backlog(listener, self.address()).await;
                tokio::select! {
                    changed = changes.changed() => if changed.is_err() { return },
                    changed = self.incarnation.changed() => if changed.is_err() { return },
                }
                if self.link.can_connect() {
                    reset_queued(listener).await;
                    let _ = SockRef::from(listener).listen(BACKLOG);
                }
                drop(fillers);
                continue;
            }
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => serve(stream, incarnation.number),
                    Err(_) => sleep(RETRY_DELAY).await,
                },
                changed = changes.changed() => if changed.is_err() { return },
                changed = self.incarnation.changed() => if changed.is_err() { return },
            }
        }
    }
}

/// Makes the system drop connection attempts: sets a backlog of zero and fills it. Nothing is
/// accepted meanwhile.
async fn fill_backlog(listener: &TcpListener, address: SocketAddr) -> Vec<TcpStream> {
    let _ = SockRef::from(listener).listen(0);
    let mut fillers = Vec::new();
    while fillers.len() < MAX_FILLERS
        && let Ok(Ok(filler)) = timeout(FILLER_TIMEOUT, TcpStream::connect(address)).await
    {
        fillers.push(filler);
    }
    fillers
}

/// Resets the connections that were queued before the backlog was full.
async fn reset_queued(listener: &TcpListener) {
    while let Ok(Ok((stream, _))) = timeout(Duration::from_millis(1), listener.accept()).await {
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

#[cfg(test)]
mod tests;
