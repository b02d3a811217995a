//! A client connection's state, shared between the task that reads it and others.

use socket2::SockRef;
use std::cell::Cell;
use std::mem::MaybeUninit;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Waker};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// A client connection.
pub struct Client {
    stream: TcpStream,
    /// No bytes have been received.
    received_nothing: Cell<bool>,
    /// Bytes have been received for a request that has not begun.
    has_partial_request: Cell<bool>,
    /// A request has begun and is not answered yet.
    is_answering: Cell<bool>,
}

/// Marks that a request of the client is being answered, until it is dropped.
pub struct AnsweringGuard(Rc<Client>);

impl Client {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            received_nothing: Cell::new(true),
            has_partial_request: Cell::default(),
            is_answering: Cell::default(),
        }
    }

    /// The socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether received bytes have not been read yet.
    pub fn has_unread_bytes(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&self.stream)
            .peek(&mut byte)
            .is_ok_and(|length| length > 0)
    }

    /// Waits until the client has closed its sending side or reset the connection. Reading would
    /// detect that as well, but reading pauses while the connection holds bytes that it can't
    /// process yet, such as a second request.
    pub async fn wait_until_closed(&self) {
        // Nobody asks for out-of-band data, so the only event of this kind is the close.
        if self.stream.ready(Interest::PRIORITY).await.is_err() {
            // Only reading can detect the close then.
            std::future::pending().await
        }
    }

    /// Whether the client has closed or reset the connection.
    pub fn is_closed(&self) -> bool {
        pin!(self.wait_until_closed())
            .poll(&mut Context::from_waker(Waker::noop()))
            .is_ready()
    }

    /// Records that the HTTP connection asks for bytes; during a request it does so only once it
    /// holds none.
    pub fn note_read_start(&self) {
        if self.is_answering.get() {
            self.has_partial_request.set(false);
        }
    }

    /// Records that the HTTP connection has received bytes.
    pub fn note_bytes_read(&self) {
        self.received_nothing.set(false);
        self.has_partial_request.set(true);
    }

    /// Records that a request has begun.
    pub fn begin_request(self: &Rc<Self>) -> AnsweringGuard {
        self.is_answering.set(true);
        AnsweringGuard(Rc::clone(self))
    }

    /// Whether a request is being answered.
    pub fn is_answering(&self) -> bool {
        self.is_answering.get()
    }

    /// Whether part of a request has been received that has not begun.
    pub fn has_partial_request(&self) -> bool {
        self.has_partial_request.get()
    }

    /// Whether the client has sent nothing at all.
    pub fn received_nothing(&self) -> bool {
        self.received_nothing.get()
    }
}

impl Drop for AnsweringGuard {
    fn drop(&mut self) {
        self.0.is_answering.set(false);
    }
}
