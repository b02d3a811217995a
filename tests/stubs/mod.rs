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
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
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

static STARTED: AtomicU64 = AtomicU64::new(0);

/// An address at which nobody listens. Its host is used once: other tests' sockets can't take the port.
pub fn unused_address() -> SocketAddr {
    let (number, process) = (STARTED.fetch_add(1, Ordering::SeqCst), std::process::id());
    let host = format!("127.{}.{}.{}:0", 1 + number % 250, process / 250 % 250, 1 + process % 250);
    TcpListener::bind(host).and_then(|l| l.local_addr()).expect("a free port")
}

/// Whether some process here is trying to connect to that port (state 2 of the system's table: SYN sent).
pub fn being_dialled(address: SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
    table.lines().any(|l| l.contains(&format!(":{:04X} 02 ", address.port())))
}

/// The state in which the system's table has the connection's end at `local`, as its two digits there ("01": established);
/// `None` once it is gone.
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
    let line = table.lines().find_map(|line| Some(line.split_once(&ends)?.1))?;
    let mut fields = line.split([' ', ':']);
    let (state, _to_send) = (fields.next()?, fields.next()?);
    Some((state.to_owned(), usize::from_str_radix(fields.next()?, 16).ok()?))
}

/// An address as the system's table has it.
fn written(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { panic!("these tests use no other addresses") };
    format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port())
}
