//! A client as seen from beside the connection that reads it. Changes with what is asked of the socket itself.

use socket2::SockRef;
use std::mem::MaybeUninit;
use std::pin::pin;
use std::task::{Context, Waker};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// A client's socket.
pub struct Client {
    stream: TcpStream,
}

impl Client {
    /// Over a connection that was accepted.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream }
    }

    /// The socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether something has come that was not read.
    pub fn unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&self.stream).peek(&mut byte).is_ok_and(|length| length > 0)
    }

    /// Waits until the client has closed its sending side or reset the connection. A connection hears of that by
    /// reading, but it reads no further than it holds bytes that it can't use yet, such as those of a second request.
    pub async fn left(&self) {
        // Of what is urgent nothing is ever told, as nobody asked for it: this waits for the end alone.
        if self.stream.ready(Interest::PRIORITY).await.is_err() {
            // Then only reading tells.
            std::future::pending().await
        }
    }

    /// Whether it has done so by now.
    pub fn has_left(&self) -> bool {
        pin!(self.left()).poll(&mut Context::from_waker(Waker::noop())).is_ready()
    }
}
