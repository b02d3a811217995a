//! The memory of a client connection's messages.

use super::Client;
use crate::eviction::HeldMemory;
use crate::message_memory::MemoryShare;
use crate::occupancy::Occupancy;
use std::io;
use std::task::{Context, Poll};

impl Client {
    /// The memory that closing the connection would free: of a request that is still arriving, or of
    /// an answer that is still being written.
    pub fn held_memory(&self) -> HeldMemory {
        match self.occupancy() {
            Occupancy::Incomplete { .. } => HeldMemory::Request(
                self.request_memory.get() + self.head_allowance.borrow().reserved_bytes(),
            ),
            Occupancy::Unread { .. } => HeldMemory::Answer(self.answer_memory.get()),
            _ => HeldMemory::Nothing,
        }
    }

    /// The memory for requests.
    pub fn memory(&self) -> MemoryShare {
        self.head_allowance.borrow().share().clone()
    }

    /// How many bytes may be read now.
    ///
    /// # Errors
    /// Returns an error if the head of a request got no memory.
    pub fn poll_read_limit(&self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        self.head_allowance.borrow_mut().poll_limit(cx)
    }

    /// Whether the connection ended because the head of a request got no memory.
    pub fn was_refused_memory(&self) -> bool {
        self.head_allowance.borrow().was_refused() && !self.is_writing()
    }
}
