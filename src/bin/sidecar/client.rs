//! A client's connection as seen from beside the task that reads it.

use socket2::SockRef;
use std::cell::Cell;
use std::mem::MaybeUninit;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Waker};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// A client's socket.
pub struct Client {
    stream: TcpStream,
    /// Nothing has come yet.
    silent: Cell<bool>,
    /// Bytes have come that belong to no request that has begun.
    in_hand: Cell<bool>,
    /// A request has begun and has no answer yet.
    answering: Cell<bool>,
}

/// While it is kept, a request of the client is being answered.
pub struct Answering(Rc<Client>);

impl Client {
    /// Over a connection that was accepted.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            silent: Cell::new(true),
            in_hand: Cell::default(),
            answering: Cell::default(),
        }
    }

    /// The socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether something has come that was not read.
    pub fn unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&self.stream)
            .peek(&mut byte)
            .is_ok_and(|length| length > 0)
    }

    /// Waits until the client has closed its sending side or reset the connection. A connection
    /// hears of that by reading, but it reads no further than it holds bytes that it can't use yet,
    /// such as those of a second request.
    pub async fn left(&self) {
        // Of what is urgent nothing is ever told, as nobody asked for it: this waits for the end
        // alone.
        if self.stream.ready(Interest::PRIORITY).await.is_err() {
            // Then only reading tells.
            std::future::pending().await
        }
    }

    /// Whether it has done so by now.
    pub fn has_left(&self) -> bool {
        pin!(self.left())
            .poll(&mut Context::from_waker(Waker::noop()))
            .is_ready()
    }

    /// Its connection asks for bytes. During a request it does so only once it holds none.
    pub fn reads(&self) {
        if self.answering.get() {
            self.in_hand.set(false);
        }
    }

    /// Its connection got some.
    pub fn has_read(&self) {
        self.silent.set(false);
        self.in_hand.set(true);
    }

    /// A request begins.
    pub fn begin(self: &Rc<Self>) -> Answering {
        self.answering.set(true);
        Answering(Rc::clone(self))
    }

    /// Whether a request is being answered.
    pub fn answering(&self) -> bool {
        self.answering.get()
    }

    /// Whether some of a request has come that has not begun.
    pub fn in_hand(&self) -> bool {
        self.in_hand.get()
    }

    /// Whether it has said nothing at all.
    pub fn silent(&self) -> bool {
        self.silent.get()
    }
}

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.answering.set(false);
    }
}
