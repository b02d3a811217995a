//! Relays between processes: everything passes late, not at all, or breaks, as the network has it. Changes with how
//! that is done on sockets.

use crate::experiment::FaultKind;
use crate::net::Net;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadHalf, WriteHalf, split};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

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
        Self { net: self.net.clone(), from: self.to, to: self.from }
    }

    /// A connection comes up only where both ways are open.
    fn opens(&self) -> bool {
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
const PIECE: usize = 16 << 10;

/// Passes on what `from` says, late, until either side ends. What comes in while the way is cut is lost, and the
/// connection with it once the way is open again.
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
            let mut piece = vec![0; PIECE];
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
            last = last.max(Instant::now() + Duration::from_micros(link.net.delay(link.from, link.to)));
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
            let done = if piece.is_empty() { to.shutdown().await } else { to.write_all(&piece).await };
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

/// Joins a connection that was accepted with what it was meant for, through `link`, until both sides have closed, one
/// breaks, or `broken` tells so. A break is a reset on both sides.
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

/// Whether a process listens behind a door; the number tells one life of it from the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Life {
    /// It runs.
    pub up: bool,
    /// The how-manieth.
    pub number: u64,
}

/// Connections that the system may hold until they are accepted.
const BACKLOG: i32 = 1024;
/// How long a connection that fills a queue may take; one that does not come up shows that the queue is full.
const FILLING: Duration = Duration::from_millis(30);
/// Such connections at most.
const MOST_FILLERS: usize = 8;
/// Pause before a door is tried again that could not be opened: a port may still be held by what went before.
const PAUSE: Duration = Duration::from_millis(20);

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG as u32)
}

/// A listener that behaves as the process behind it and the way to it: refused while the process is down; never up
/// while the way is cut. Bound from the beginning, so that its port stays its own.
pub struct Door {
    listener: Option<TcpListener>,
    address: SocketAddr,
    life: watch::Receiver<Life>,
    link: Link,
}

impl Door {
    /// Binds a port of the system's choice on that host.
    pub fn bind(host: std::net::IpAddr, life: watch::Receiver<Life>, link: Link) -> io::Result<Self> {
        let listener = listen(SocketAddr::new(host, 0))?;
        let address = listener.local_addr()?;
        Ok(Self { listener: Some(listener), address, life, link })
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts connections for good, and hands each over with the life that it belongs to.
    pub async fn run(mut self, serve: impl Fn(TcpStream, u64)) {
        let mut changes = self.link.net.subscribe();
        loop {
            let life = *self.life.borrow_and_update();
            if !life.up {
                self.listener = None;
                if self.life.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let Some(listener) = &self.listener else {
                match listen(self.address) {
                    Ok(listener) => self.listener = Some(listener),
                    Err(_) => sleep(PAUSE).await,
                }
                continue;
            };
            changes.borrow_and_update();
            if !self.link.opens() {
                let fillers = fill(listener, self.address).await;
                tokio::select! {
                    changed = changes.changed() => if changed.is_err() { return },
                    changed = self.life.changed() => if changed.is_err() { return },
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
                    Ok((stream, _)) => serve(stream, life.number),
                    Err(_) => sleep(PAUSE).await,
                },
                changed = changes.changed() => if changed.is_err() { return },
                changed = self.life.changed() => if changed.is_err() { return },
            }
        }
    }
}

/// Makes the system drop what wants to connect: a queue of none, and one connection in it. Nothing is accepted
/// meanwhile.
async fn fill(listener: &TcpListener, at: SocketAddr) -> Vec<TcpStream> {
    let _ = SockRef::from(listener).listen(0);
    let mut fillers = Vec::new();
    while fillers.len() < MOST_FILLERS
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

/// What happens to datagrams besides delay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Datagrams {
    /// Part that is lost.
    pub lost: f64,
    /// Part that comes twice.
    pub repeated: f64,
    /// Part that is held up for long, so that later ones come before.
    pub held_up: f64,
}

impl Datagrams {
    /// Takes in a fault, or its end.
    pub fn set(&mut self, kind: FaultKind, share: f64) {
        match kind {
            FaultKind::DatagramsLost => self.lost = share,
            FaultKind::DatagramsRepeated => self.repeated = share,
            FaultKind::DatagramsLate => self.held_up = share,
            _ => {}
        }
    }
}

/// How much later a datagram comes that is held up, at most.
pub const HELD_UP: Duration = Duration::from_millis(100);
/// Datagrams under way at most; further ones are lost.
const DATAGRAMS: usize = 1024;

/// How late each copy of a datagram comes; none where it is lost.
pub fn datagram(link: &Link, faults: Datagrams) -> Vec<Duration> {
    if !link.net.passes(link.from, link.to) || fastrand::f64() < faults.lost {
        return Vec::new();
    }
    let copies = if fastrand::f64() < faults.repeated { 2 } else { 1 };
    let late = |_| {
        let delay = Duration::from_micros(link.net.delay(link.from, link.to));
        delay
            + if fastrand::f64() < faults.held_up { HELD_UP.mul_f64(fastrand::f64()) } else { Duration::ZERO }
    };
    (0..copies).map(late).collect()
}

/// Passes datagrams from one process on to another as the network and `faults` have it: what arrives at `at` leaves
/// from `out` to `to`. The receiver knows the sender by the address of `out`.
pub async fn datagrams(
    at: UdpSocket,
    out: Arc<UdpSocket>,
    to: SocketAddr,
    link: Link,
    faults: watch::Receiver<Datagrams>,
) {
    let under_way = Arc::new(tokio::sync::Semaphore::new(DATAGRAMS));
    let mut bytes = vec![0; 65_536];
    loop {
        let Ok((length, _)) = at.recv_from(&mut bytes).await else {
            sleep(PAUSE).await;
            continue;
        };
        let faults = *faults.borrow();
        for delay in datagram(&link, faults) {
            let Ok(permit) = Arc::clone(&under_way).try_acquire_owned() else { break };
            let (out, piece) = (Arc::clone(&out), bytes[..length].to_vec());
            tokio::spawn(async move {
                sleep(delay).await;
                // Datagrams may be lost.
                let _ = out.send_to(&piece, to).await;
                drop(permit);
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::{Network, Way};
    use std::net::{IpAddr, Ipv4Addr};

    const LONG: Duration = Duration::from_secs(20);
    const HOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

    /// An echo behind a door, in zone 1, for who dials in zone 0.
    async fn echo() -> (SocketAddr, Net, watch::Sender<Life>) {
        let net = Net::new(&Network::default());
        let (life, lives) = watch::channel(Life { up: true, number: 1 });
        let link = Link { net: net.clone(), from: 0, to: 1 };
        let door = Door::bind(HOST, lives.clone(), link.clone()).expect("a free port");
        let address = door.address();
        tokio::spawn(door.run(move |stream, number| {
            let (link, mut lives) = (link.clone(), lives.clone());
            let (near, far) = tokio::io::duplex(1024);
            tokio::spawn(async move {
                let (mut read, mut write) = split(far);
                let _ = tokio::io::copy(&mut read, &mut write).await;
                let _ = write.shutdown().await;
            });
            tokio::spawn(async move {
                let ended = async move {
                    let _ = lives.wait_for(|l| !l.up || l.number != number).await;
                };
                join(stream, near, link, ended).await;
            });
        }));
        (address, net, life)
    }

    async fn said(stream: &mut TcpStream, what: &[u8]) -> io::Result<Vec<u8>> {
        stream.write_all(what).await?;
        let mut back = vec![0; what.len()];
        stream.read_exact(&mut back).await?;
        Ok(back)
    }

    #[tokio::test]
    async fn what_is_said_comes_back_and_a_close_is_passed_on() {
        let (address, _net, _life) = echo().await;
        let mut stream = TcpStream::connect(address).await.expect("it is up");
        assert_eq!(said(&mut stream, b"hello").await.expect("an echo"), b"hello");
        stream.shutdown().await.expect("it closes");
        assert_eq!(stream.read(&mut [0; 8]).await.expect("a close"), 0);
    }

    #[tokio::test]
    async fn a_cut_says_nothing_and_breaks_only_what_was_said_into_it() {
        let (address, net, _life) = echo().await;
        let (mut idle, mut busy) =
            (TcpStream::connect(address).await.expect("up"), TcpStream::connect(address).await.expect("up"));
        for stream in [&mut idle, &mut busy] {
            said(stream, b"before").await.expect("an echo");
        }
        net.cut(1, Way::In, true);
        let into = timeout(Duration::from_millis(200), said(&mut busy, b"into")).await;
        assert!(into.is_err(), "something was said: {into:?}");
        // The door hears of the cut in its own time; from then on nothing comes up.
        let comes_up =
            async || timeout(Duration::from_millis(200), TcpStream::connect(address)).await.is_ok();
        let mut tries = 0;
        while comes_up().await {
            tries += 1;
            assert!(tries < 50, "connections still come up");
        }
        net.cut(1, Way::In, false);
        assert!(timeout(LONG, busy.read(&mut [0; 1])).await.expect("an end").is_err(), "no reset");
        assert_eq!(
            timeout(LONG, said(&mut idle, b"after")).await.expect("an echo").expect("an echo"),
            b"after"
        );
        let mut fresh = timeout(LONG, TcpStream::connect(address)).await.expect("in time").expect("it is up");
        let mut echoed = said(&mut fresh, b"again").await;
        while echoed.is_err() {
            // It came into the queue while that was being cleared.
            fresh = timeout(LONG, TcpStream::connect(address)).await.expect("in time").expect("it is up");
            echoed = said(&mut fresh, b"again").await;
        }
        assert_eq!(echoed.expect("an echo"), b"again");
    }

    #[tokio::test]
    async fn a_process_that_ends_resets_and_refuses_until_it_is_back() {
        let (address, _net, life) = echo().await;
        let mut stream = TcpStream::connect(address).await.expect("it is up");
        said(&mut stream, b"before").await.expect("an echo");
        life.send_replace(Life { up: false, number: 1 });
        assert!(timeout(LONG, stream.read(&mut [0; 1])).await.expect("an end").is_err(), "no reset");
        while TcpStream::connect(address).await.is_ok() {}
        life.send_replace(Life { up: true, number: 2 });
        let mut back = loop {
            match TcpStream::connect(address).await {
                Ok(stream) => break stream,
                Err(_) => sleep(PAUSE).await,
            }
        };
        assert_eq!(said(&mut back, b"after").await.expect("an echo"), b"after");
    }

    #[tokio::test]
    async fn datagrams_are_lost_repeated_and_cut() {
        let net = Net::new(&Network::default());
        let bind = || async { UdpSocket::bind("127.0.0.1:0").await.expect("a free port") };
        let (at, out, receiver, sender) = (bind().await, Arc::new(bind().await), bind().await, bind().await);
        let (into, to) = (at.local_addr().expect("an address"), receiver.local_addr().expect("an address"));
        let (faults, told) = watch::channel(Datagrams { repeated: 1.0, ..Datagrams::default() });
        let link = Link { net: net.clone(), from: 0, to: 1 };
        tokio::spawn(datagrams(at, out, to, link, told));
        let mut bytes = [0; 8];
        let mut heard =
            async || timeout(LONG, receiver.recv(&mut bytes)).await.expect("in time").map(|_| bytes[0]);
        sender.send_to(&[1], into).await.expect("it goes out");
        assert_eq!([heard().await.expect("one"), heard().await.expect("its copy")], [1, 1]);
        // What is lost or cut never comes: the next to come is the one after.
        faults.send_replace(Datagrams { lost: 1.0, ..Datagrams::default() });
        sender.send_to(&[2], into).await.expect("it goes out");
        sleep(PAUSE).await;
        faults.send_replace(Datagrams::default());
        net.cut(0, Way::Out, true);
        sender.send_to(&[3], into).await.expect("it goes out");
        sleep(PAUSE).await;
        net.cut(0, Way::Out, false);
        sender.send_to(&[4], into).await.expect("it goes out");
        assert_eq!(heard().await.expect("one"), 4);
    }
}
