//! Small stub peers for a sidecar on loopback sockets: endpoints, discovery, and the application.

#![allow(dead_code, unused_imports, reason = "each test binary uses its part")]

mod agent;
mod discovery;
mod endpoint;
mod held;
mod holding;
mod message;
mod sidecar;
mod stop;

pub use agent::*;
pub use discovery::*;
pub use endpoint::*;
pub use held::*;
pub use holding::*;
pub use message::*;
pub use sidecar::*;
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};
pub use stop::*;

/// Generous: nothing here asserts speed.
pub const LONG: Duration = Duration::from_secs(30);

/// Waits until something holds.
pub fn await_that(what: &str, holds: impl Fn() -> bool) {
    let until = Instant::now() + LONG;
    while !holds() {
        assert!(Instant::now() < until, "it never came that {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Does something that may hang for good, for as long as anything here is waited for.
pub fn within_long<T: Send + 'static>(what: &str, act: impl FnOnce() -> T + Send + 'static) -> T {
    let (done, result) = mpsc::channel();
    thread::spawn(move || done.send(act()));
    result
        .recv_timeout(LONG)
        .unwrap_or_else(|_| panic!("it never came that {what}"))
}

/// The host of whatever listens for connections.
const LOCALHOST: [u8; 4] = [127, 0, 0, 1];
/// The host of whatever listens for datagrams at an address that was kept for it, and of nothing
/// else.
const DATAGRAMS: [u8; 4] = [127, 0, 0, 2];

static STARTED: AtomicU64 = AtomicU64::new(0);

/// Keeps an address: nobody listens there, and the system gives its port to nobody else.
///
/// A port that was only noted and let go of may be given to another process before the one that it
/// is meant for has started; and a process that is just being started still holds every socket of
/// the one that starts it. So this is a bound socket that does not listen and allows reuse: a
/// sidecar, which allows reuse as well, may listen there, again and again.
pub struct Reserved {
    pub address: SocketAddr,
    _socket: Socket,
}

impl Reserved {
    /// Keeps an address of that loopback host.
    pub fn on(host: [u8; 4]) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket
            .set_reuse_address(true)
            .expect("a socket may be bound again");
        let any = SocketAddr::from((host, 0));
        socket.bind(&any.into()).expect("a free port");
        let address = socket
            .local_addr()
            .expect("an address")
            .as_socket()
            .expect("an address of IPv4");
        Self {
            address,
            _socket: socket,
        }
    }
}

/// An address at which nobody listens. It is kept until this process ends: no other socket takes
/// the port.
pub fn unused_address() -> SocketAddr {
    kept(LOCALHOST)
}

/// An address at which nobody listens for datagrams. Whoever does so on this host has the port from
/// here, and so from the system, which gives each one out once.
pub fn unused_datagrams() -> SocketAddr {
    kept(DATAGRAMS)
}

fn kept(host: [u8; 4]) -> SocketAddr {
    static KEPT: Mutex<Vec<Reserved>> = Mutex::new(Vec::new());
    let reserved = Reserved::on(host);
    let address = reserved.address;
    KEPT.lock().expect("no holder panics").push(reserved);
    address
}

/// Whether some process here is trying to connect to that port (state 2 of the system's table: SYN
/// sent).
pub fn being_dialled(address: SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
    table
        .lines()
        .any(|l| l.contains(&format!(":{:04X} 02 ", address.port())))
}

/// The state in which the system's table has the connection's end at `local`, as its two digits
/// there ("01": established); `None` once it is gone.
pub fn state_of(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    entry(local, remote).map(|(state, _)| state)
}

/// How many bytes the system holds that were not read at that end.
pub fn unread(local: SocketAddr, remote: SocketAddr) -> Option<usize> {
    entry(local, remote).map(|(_, unread)| unread)
}

fn entry(local: SocketAddr, remote: SocketAddr) -> Option<(String, usize)> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
    let ends = format!(" {} {} ", written(local), written(remote));
    let line = table
        .lines()
        .find_map(|line| Some(line.split_once(&ends)?.1))?;
    let mut fields = line.split([' ', ':']);
    let (state, _to_send) = (fields.next()?, fields.next()?);
    Some((
        state.to_owned(),
        usize::from_str_radix(fields.next()?, 16).ok()?,
    ))
}

/// An address as the system's table has it.
fn written(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("these tests use no other addresses")
    };
    format!(
        "{:08X}:{:04X}",
        u32::from_le_bytes(address.ip().octets()),
        address.port()
    )
}

/// Whether whoever listens there has a connection that is up (state 1), or a close of its own on
/// the way (state 4: the other side's system has not confirmed it).
pub fn holds_open(address: SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
    let SocketAddr::V4(at) = address else {
        panic!("{address} is not an address of IPv4")
    };
    let own = format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(at.ip().octets()),
        at.port()
    );
    table.lines().any(|line| {
        let fields: Vec<_> = line.split_whitespace().collect();
        fields.len() > 3 && fields[1] == own && ["01", "04"].contains(&fields[3])
    })
}
