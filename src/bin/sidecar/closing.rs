//! Closes a client connection without resetting answers.
//!
//! If a socket is closed while it holds unread bytes, the system resets the connection and discards
//! what was still to be sent. So the sending side is closed first, and what the client still sends
//! is read and discarded until it has closed its side too.

use socket2::SockRef;
use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a client has to close its side; on the same machine it needs a fraction of a
/// millisecond.
const MAX_LINGER_TIME: Duration = Duration::from_millis(300);
/// Most bytes that are discarded: as many as a client may send before it learns of the close.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Bytes read at a time.
const CHUNK_BYTES: usize = 8 << 10;

/// Closes the sending side and discards what still arrives, within limits of bytes and time and
/// until `cancelled`, which reports that the descriptor is needed. The caller drops the socket.
pub async fn linger(stream: &TcpStream, cancelled: impl Future) {
    // The socket may be closed already; if the client has reset the connection, reading ends at
    // once.
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
    let mut remaining_bytes = MAX_LINGER_BYTES;
    tokio::select! {
        biased;
        _ = cancelled => {}
        _ = timeout(MAX_LINGER_TIME, discard_until_closed(stream, &mut remaining_bytes)) => {}
    }
    // Unread bytes that the runtime has not noticed would cause a reset as well.
    discard_buffered(stream, remaining_bytes);
}

/// Reads until the client has closed its side or the limit of bytes is reached.
async fn discard_until_closed(stream: &TcpStream, remaining_bytes: &mut usize) {
    while *remaining_bytes > 0 && stream.readable().await.is_ok() {
        let mut chunk = [0; CHUNK_BYTES];
        match stream.try_read(&mut chunk) {
            Ok(0) => return,
            Ok(length) => *remaining_bytes = remaining_bytes.saturating_sub(length),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Reads what the system has buffered.
fn discard_buffered(stream: &TcpStream, mut remaining_bytes: usize) {
    let mut chunk = [0; CHUNK_BYTES];
    while remaining_bytes > 0 {
        match io::Read::read(&mut &*SockRef::from(stream), &mut chunk) {
            Ok(length) if length > 0 => remaining_bytes = remaining_bytes.saturating_sub(length),
            _ => return,
        }
    }
}
