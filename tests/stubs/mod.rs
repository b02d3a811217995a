//! Small stub peers for a sidecar on loopback sockets: endpoints, discovery, and the application.

#![allow(dead_code, unused_imports, reason = "each test binary uses its part")]

mod agent;
mod discovery;
mod endpoint;
mod held;
mod holding;
mod message;
mod overloaded;
mod sidecar;
mod stop;

pub use agent::*;
pub use discovery::*;
pub use endpoint::*;
pub use held::*;
pub use holding::*;
pub use message::*;
pub use overloaded::*;
pub use sidecar::*;
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};
pub use stop::*;

/// Generous, as no test here measures speed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until a condition holds.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "it never came that {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Runs something that may hang, for at most as long as these tests wait for anything.
pub fn run_with_timeout<T: Send + 'static>(
    what: &str,
    act: impl FnOnce() -> T + Send + 'static,
) -> T {
    let (done, result) = mpsc::channel();
    thread::spawn(move || done.send(act()));
    result
        .recv_timeout(TEST_TIMEOUT)
        .unwrap_or_else(|_| panic!("it never came that {what}"))
}

/// The host of all listeners.
const LOCALHOST: [u8; 4] = [127, 0, 0, 1];
/// The host of all reserved datagram addresses, and of nothing else.
const DATAGRAM_HOST: [u8; 4] = [127, 0, 0, 2];

static STARTED: AtomicU64 = AtomicU64::new(0);

/// Reserves an address: nothing listens there, and the system gives its port to no other process.
///
/// A port that was only looked up and released may be given to another process before its intended
/// user has started, and a process that is being started still has every socket of its parent. So
/// this is a bound socket that does not listen and permits address reuse: a sidecar, which sets
/// reuse as well, can listen there repeatedly.
pub struct Reserved {
    pub address: SocketAddr,
    _socket: Socket,
}

impl Reserved {
    /// Reserves an address of that loopback host.
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

/// An address at which nothing listens. It is reserved until this process ends.
pub fn unused_address() -> SocketAddr {
    kept(LOCALHOST)
}

/// An address at which nothing listens for datagrams. All users of this host get their ports here,
/// and so from the system, which assigns each only once.
pub fn unused_datagram_address() -> SocketAddr {
    kept(DATAGRAM_HOST)
}

fn kept(host: [u8; 4]) -> SocketAddr {
    static KEPT: Mutex<Vec<Reserved>> = Mutex::new(Vec::new());
    let reserved = Reserved::on(host);
    let address = reserved.address;
    KEPT.lock().expect("no holder panics").push(reserved);
    address
}

/// A listener whose connections buffer only part of a long request before it is read.
pub fn listen_with_small_buffers() -> std::net::TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(2048).expect("a small buffer");
    // The sender's buffer depends on the receiver's segment size.
    socket.set_tcp_mss(536).expect("small segments");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket
        .bind(&any.into())
        .and_then(|()| socket.listen(16))
        .expect("a free port");
    std::net::TcpListener::from(socket)
}

/// Whether a process here is connecting to that port (state 2 of the system's table: SYN sent).
pub fn is_being_dialled(address: SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
    table
        .lines()
        .any(|l| l.contains(&format!(":{:04X} 02 ", address.port())))
}

/// The state of a connection's end at `local` in the system's table, as two digits ("01":
/// established); `None` once it is gone.
pub fn state_of(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    entry(local, remote).map(|(state, _)| state)
}

/// Number of bytes received but not read at that end.
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

/// An address in the format of the system's table.
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

/// Whether the listener at that address has an established connection (state 1), or one that it has
/// closed but whose peer has not confirmed it (state 4).
pub fn has_open_connection(address: SocketAddr) -> bool {
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
