//! Closes a client's connection without resetting answers.
//!
//! A socket that is closed over bytes nobody has read is reset by the system, and what it still had
//! to send goes with it. So the sending side is closed first, and what the client still sends is
//! read and thrown away until it has closed its side too.

use socket2::SockRef;
use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a client has to close its side; on the same machine that takes it a fraction of a
/// millisecond.
const LINGER_TIME: Duration = Duration::from_millis(300);
/// Most bytes that are thrown away: what a client can have sent before it hears of the close, but
/// no flood.
const LINGER_BYTES: usize = 1 << 20;
/// Bytes read at a time.
const CHUNK_BYTES: usize = 8 << 10;

/// Closes the sending side and throws away what still comes, up to bounds of bytes and time and
/// until `cut`, which says that the descriptor is wanted. The caller drops the socket.
pub async fn linger(stream: &TcpStream, cut: impl Future<Output = ()>) {
    // It may be closed already; where the client has reset the connection, reading ends at once.
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
    let mut room = LINGER_BYTES;
    tokio::select! {
        biased;
        () = cut => {}
        _ = timeout(LINGER_TIME, read_on(stream, &mut room)) => {}
    }
    // What the runtime has not heard of yet would reset it as well.
    sweep(stream, room);
}

/// Reads until the client has closed its side or there is no more room.
async fn read_on(stream: &TcpStream, room: &mut usize) {
    while *room > 0 && stream.readable().await.is_ok() {
        let mut piece = [0; CHUNK_BYTES];
        match stream.try_read(&mut piece) {
            Ok(0) => return,
            Ok(length) => *room = room.saturating_sub(length),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Reads what the system holds just now.
fn sweep(stream: &TcpStream, mut room: usize) {
    let mut piece = [0; CHUNK_BYTES];
    while room > 0 {
        match io::Read::read(&mut &*SockRef::from(stream), &mut piece) {
            Ok(length) if length > 0 => room = room.saturating_sub(length),
            _ => return,
        }
    }
}
