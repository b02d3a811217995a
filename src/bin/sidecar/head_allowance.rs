//! How much of a message may be read before its head is complete.
//!
//! The HTTP library holds an incomplete head in a buffer that grows with it. Up to a limit that is
//! part of each connection; beyond it, memory for the longest head is reserved first.

use crate::message_memory::{MemoryShare, Reservation};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::timeout;

/// Most bytes read at a time. Less than the HTTP library's first buffer, which stays as it is then.
const READ_CHUNK_BYTES: usize = 4 << 10;
/// Bytes of a head that are read without reserved memory.
const FREE_HEAD_BYTES: usize = 8 << 10;
/// A growing buffer may be twice as large as what is in it.
const BUFFER_GROWTH: usize = 2;
/// How long a long head waits for memory.
const MAX_WAIT: Duration = Duration::from_millis(500);

type Waiting = Pin<Box<dyn Future<Output = Option<Reservation>>>>;

/// The allowance of one connection.
pub struct HeadAllowance {
    share: MemoryShare,
    max_head_bytes: usize,
    expects_head: bool,
    /// Bytes read since a head has been expected.
    incomplete_bytes: usize,
    reservation: Option<Reservation>,
    waiting: Option<Waiting>,
    was_refused: bool,
}

impl HeadAllowance {
    /// For a connection whose heads may have up to `max_head_bytes`, with memory of that share.
    pub fn new(share: MemoryShare, max_head_bytes: usize) -> Self {
        Self {
            share,
            max_head_bytes,
            expects_head: true,
            incomplete_bytes: 0,
            reservation: None,
            waiting: None,
            was_refused: false,
        }
    }

    /// The share that it reserves memory of.
    pub fn share(&self) -> &MemoryShare {
        &self.share
    }

    /// How many bytes may be read now.
    ///
    /// # Errors
    /// Returns an error if a long head has waited for memory for too long.
    pub fn poll_limit(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if !self.expects_head || self.reservation.is_some() {
            return Poll::Ready(Ok(READ_CHUNK_BYTES));
        }
        let free = FREE_HEAD_BYTES.saturating_sub(self.incomplete_bytes);
        if free > 0 {
            return Poll::Ready(Ok(free.min(READ_CHUNK_BYTES)));
        }
        let (share, bytes) = (self.share.clone(), BUFFER_GROWTH * self.max_head_bytes);
        let waiting = self.waiting.get_or_insert_with(|| {
            Box::pin(async move { timeout(MAX_WAIT, share.reserve(bytes)).await.ok() })
        });
        self.reservation = ready!(waiting.as_mut().poll(cx));
        self.waiting = None;
        self.was_refused = self.reservation.is_none();
        Poll::Ready(if self.was_refused {
            Err(io::ErrorKind::OutOfMemory.into())
        } else {
            Ok(READ_CHUNK_BYTES)
        })
    }

    /// Whether the last head that waited got no memory.
    pub fn was_refused(&self) -> bool {
        self.was_refused
    }

    /// Bytes that are reserved for an incomplete head.
    pub fn reserved_bytes(&self) -> usize {
        self.reservation.as_ref().map_or(0, Reservation::bytes)
    }

    /// Records that bytes were read.
    pub fn record_read(&mut self, length: usize) {
        if self.expects_head {
            self.incomplete_bytes += length;
        }
    }

    /// Records that a head is complete: what is read next belongs to its body.
    pub fn head_completed(&mut self) {
        self.expects_head = false;
        self.reservation = None;
        self.waiting = None;
    }

    /// Records that the next head is expected.
    pub fn expect_head(&mut self) {
        self.head_completed();
        self.expects_head = true;
        self.incomplete_bytes = 0;
    }
}

#[cfg(test)]
mod tests;
