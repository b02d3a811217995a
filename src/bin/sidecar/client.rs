//! A client connection's state, shared between the task that reads it and others.

mod memory;

use crate::arrival_deadline::REQUEST_TIMEOUT;
use crate::head_allowance::HeadAllowance;
use crate::message_memory::MemoryShare;
use crate::occupancy::Occupancy;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::mem::MaybeUninit;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Waker};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Longest request head, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 << 10;

/// A client connection.
pub struct Client {
    stream: TcpStream,
    /// No bytes have been received.
    received_nothing: Cell<bool>,
    /// Bytes have been received for a request that has not begun.
    has_partial_request: Cell<bool>,
    /// A request has begun and is not answered yet.
    is_answering: Cell<bool>,
    /// The body of the request that has begun is still arriving.
    is_awaiting_body: Cell<bool>,
    /// Since when the socket has been given answers that it has not taken completely.
    unwritten_since: Cell<Option<Instant>>,
    /// An endpoint has answered one of its requests.
    was_served: Cell<bool>,
    /// No more requests are read.
    is_closing: Cell<bool>,
    /// When it was accepted, or the first bytes of the latest request arrived.
    request_began: Cell<Instant>,
    /// When it was accepted, or bytes last arrived, or the last answer was given.
    last_active: Cell<Instant>,
    /// What may be read of a request's head.
    head_allowance: RefCell<HeadAllowance>,
    /// Bytes reserved for the request that is arriving or being answered.
    request_memory: Cell<usize>,
    /// Bytes reserved for the answer that is being written.
    answer_memory: Cell<usize>,
    /// Notified when the connection may have become one that can be closed for another.
    changed: Rc<Notify>,
}

/// Marks that a request of the client is being answered, until it is dropped.
pub struct AnsweringGuard(Rc<Client>);

impl Client {
    /// Wraps an accepted connection, which notifies `changed` when its occupancy changes. Its requests
    /// take their memory of that share.
    pub fn new(stream: TcpStream, memory: MemoryShare, changed: Rc<Notify>) -> Self {
        let now = Instant::now();
        Self {
            stream,
            received_nothing: Cell::new(true),
            has_partial_request: Cell::default(),
            is_answering: Cell::default(),
            is_awaiting_body: Cell::default(),
            unwritten_since: Cell::default(),
            was_served: Cell::default(),
            is_closing: Cell::default(),
            request_began: Cell::new(now),
            last_active: Cell::new(now),
            head_allowance: RefCell::new(HeadAllowance::new(memory, MAX_HEAD_BYTES)),
            request_memory: Cell::default(),
            answer_memory: Cell::default(),
            changed,
        }
    }

    /// The socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// What the connection is occupied with.
    pub fn occupancy(&self) -> Occupancy {
        if self.is_closing.get() {
            Occupancy::Closing
        } else if let Some(since) = self.unwritten_since.get() {
            Occupancy::Unread { since }
        } else if self.is_answering.get() && !self.is_awaiting_body.get() {
            Occupancy::Answering
        } else if self.received_nothing.get() {
            let since = self.request_began.get();
            Occupancy::New { since }
        } else if self.is_answering.get() || self.has_partial_request.get() {
            Occupancy::Incomplete {
                began: self.request_began.get(),
                last_bytes: self.last_active.get(),
                was_served: self.was_served.get(),
            }
        } else {
            Occupancy::Idle {
                since: self.last_active.get(),
                was_served: self.was_served.get(),
            }
        }
    }

    /// Until when the request that has begun must have arrived completely.
    pub fn request_deadline(&self) -> Instant {
        self.request_began.get() + REQUEST_TIMEOUT
    }

    /// Whether an answer has not been written completely.
    pub fn is_writing(&self) -> bool {
        self.unwritten_since.get().is_some()
    }

    /// Records the memory that is reserved for the request that has begun.
    pub fn set_request_memory(&self, bytes: usize) {
        self.request_memory.set(bytes);
    }

    /// Records the memory that is reserved for the answer that is about to be written.
    pub fn set_answer_memory(&self, bytes: usize) {
        self.answer_memory.set(bytes);
    }

    /// Whether received bytes have not been read yet.
    pub fn has_unread_bytes(&self) -> bool {
        self.peek(&mut [MaybeUninit::uninit()]) > 0
    }

    /// How many received bytes have not been read yet, at most as many as fit into the buffer.
    pub fn peek(&self, bytes: &mut [MaybeUninit<u8>]) -> usize {
        SockRef::from(&self.stream).peek(bytes).unwrap_or(0)
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
    pub fn note_bytes_read(&self, length: usize) {
        let now = Instant::now();
        self.head_allowance.borrow_mut().record_read(length);
        if !self.received_nothing.get()
            && !self.is_answering.get()
            && !self.has_partial_request.get()
        {
            self.request_began.set(now);
        }
        self.last_active.set(now);
        self.received_nothing.set(false);
        self.has_partial_request.set(true);
    }

    /// Records that the socket is about to be given bytes of an answer.
    pub fn note_write_start(&self) {
        if self.unwritten_since.get().is_none() {
            self.unwritten_since.set(Some(Instant::now()));
        }
    }

    /// Records that the socket has taken all that was to be written.
    pub fn note_flushed(&self) {
        self.answer_memory.set(0);
        if self.unwritten_since.take().is_some() {
            self.last_active.set(Instant::now());
            self.changed.notify_one();
        }
    }

    /// Records whether the body of the request that has begun is still arriving.
    pub fn set_awaiting_body(&self, is_awaiting: bool) {
        self.is_awaiting_body.set(is_awaiting);
    }

    /// Records that an endpoint has answered one of its requests.
    pub fn note_served(&self) {
        self.was_served.set(true);
    }

    /// Records that no more requests are read.
    pub fn begin_closing(&self) {
        self.is_closing.set(true);
        self.changed.notify_one();
    }

    /// Records that a request has begun.
    pub fn begin_request(self: &Rc<Self>) -> AnsweringGuard {
        self.is_answering.set(true);
        self.head_allowance.borrow_mut().head_completed();
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
}

impl Drop for AnsweringGuard {
    fn drop(&mut self) {
        let client = &self.0;
        let now = Instant::now();
        client.is_answering.set(false);
        client.is_awaiting_body.set(false);
        client.request_memory.set(0);
        client.head_allowance.borrow_mut().expect_head();
        // What has arrived of the next request could not be read before.
        client.request_began.set(now);
        client.last_active.set(now);
        client.changed.notify_one();
    }
}
