//! The queue of requests that wait for an endpoint with room.

use crate::api::{RequestId, Timestamp};
use std::collections::BTreeSet;
use std::ops::Bound::{Excluded, Unbounded};

/// Part of its latency objective that a request waits in the queue at most.
pub const WAIT_PART_OF_OBJECTIVE: f64 = 0.15;

/// Where a request stands in the queue: the least is served first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// First attempts within their quota come first.
    pub low_priority: bool,
    /// Then those that give up waiting first.
    pub deadline: Timestamp,
    pub request: RequestId,
}

/// Requests in the order in which they are served. It holds open requests only, so it is bounded as
/// they are.
#[derive(Default)]
pub struct WaitQueue(BTreeSet<QueuePosition>);

impl WaitQueue {
    /// Adds a request.
    pub fn insert(&mut self, position: QueuePosition) {
        self.0.insert(position);
    }

    /// Removes a request, if it waits here.
    pub fn remove(&mut self, position: &QueuePosition) {
        self.0.remove(position);
    }

    /// The request that is served first.
    pub fn first(&self) -> Option<QueuePosition> {
        self.0.first().copied()
    }

    /// The request that is served after `position`, which may have left the queue.
    pub fn after(&self, position: QueuePosition) -> Option<QueuePosition> {
        let behind = (Excluded(position), Unbounded);
        self.0.range(behind).next().copied()
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}
