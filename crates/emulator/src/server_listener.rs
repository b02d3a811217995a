//! Listeners in front of a server process: up, down or unreachable with it.

use crate::relay::Link;
use crate::reserved::Reserved;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Whether a process listens behind a listener; the number tells one life of it from the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// It runs.
    pub up: bool,
    /// The how-manieth.
    pub number: u64,
}

/// Connections that the system may hold until they are accepted.
const BACKLOG: i32 = 1024;
/// How long a connection that fills a queue may take; one that does not come up shows that the
/// queue is full.
const FILLING: Duration = Duration::from_millis(30);
/// Such connections at most.
const MAX_FILLERS: usize = 8;
/// Pause before a listener is tried again that could not be opened: a port may still be held by
/// what went before.
const PAUSE: Duration = Duration::from_millis(20);

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG as u32)
}

/// A listener that behaves as the process behind it and the way to it: refused while the process is
/// down; never up while the way is cut.
pub struct ServerListener {
    listener: Option<TcpListener>,
    /// Its port stays its own while nobody listens there.
    reserved: Reserved,
    incarnation: watch::Receiver<Incarnation>,
    link: Link,
}

impl ServerListener {
    /// Binds a port of the system's choice on that host.
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

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.reserved.address()
    }

    /// Accepts connections for good, and hands each over with the incarnation that it belongs to.
    pub async fn run(mut self, serve: impl Fn(TcpStream, u64)) {
        let mut changes = self.link.net.subscribe();
        loop {
            let incarnation = *self.incarnation.borrow_and_update();
            if !incarnation.up {
                self.listener = None;
                if self.incarnation.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let Some(listener) = &self.listener else {
                match listen(self.address()) {
                    Ok(listener) => self.listener = Some(listener),
                    Err(_) => sleep(PAUSE).await,
                }
                continue;
            };
            changes.borrow_and_update();
            if !self.link.opens() {
                let fillers = fill(listener, self.address()).await;
                tokio::select! {
                    changed = changes.changed() => if changed.is_err() { return },
                    changed = self.incarnation.changed() => if changed.is_err() { return },
                }
                if self.link.opens() {
                    drain(listener).await;
                    let _ = SockRef::from(listener).listen(BACKLOG);
                }
                drop(fillers);
                continue;
            }
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => serve(stream, incarnation.number),
                    Err(_) => sleep(PAUSE).await,
                },
                changed = changes.changed() => if changed.is_err() { return },
                changed = self.incarnation.changed() => if changed.is_err() { return },
            }
        }
    }
}

/// Makes the system drop what wants to connect: a queue of none, and one connection in it. Nothing
/// is accepted meanwhile.
async fn fill(listener: &TcpListener, at: SocketAddr) -> Vec<TcpStream> {
    let _ = SockRef::from(listener).listen(0);
    let mut fillers = Vec::new();
    while fillers.len() < MAX_FILLERS
        && let Ok(Ok(filler)) = timeout(FILLING, TcpStream::connect(at)).await
    {
        fillers.push(filler);
    }
    fillers
}

/// Resets what came into the queue before it was full.
async fn drain(listener: &TcpListener) {
    while let Ok(Ok((stream, _))) = timeout(Duration::from_millis(1), listener.accept()).await {
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

#[cfg(test)]
mod tests;
