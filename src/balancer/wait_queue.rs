//! The queue of requests that wait for an endpoint with capacity.

use crate::api::{RequestId, Timestamp};
use std::collections::BTreeSet;
use std::ops::Bound::{Excluded, Unbounded};

/// Maximum time of a request in the queue, as a fraction of its latency objective.
pub const MAX_WAIT_FRACTION_OF_OBJECTIVE: f64 = 0.15;

/// Position of a request in the queue; the smallest is served first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// First attempts within their quota come first.
    pub low_priority: bool,
    /// Then the requests whose wait ends first.
    pub deadline: Timestamp,
    pub request: RequestId,
}

/// Waiting requests in the order in which they are served. It contains open requests only, so their
/// bound applies to it.
#[derive(Default)]
pub struct WaitQueue(BTreeSet<QueuePosition>);

impl WaitQueue {
    /// Adds a request.
    pub fn insert(&mut self, position: QueuePosition) {
        self.0.insert(position);
    }

    /// Removes a request if it is queued.
    pub fn remove(&mut self, position: &QueuePosition) {
        self.0.remove(position);
    }

    /// Returns the request that is served first.
    pub fn first(&self) -> Option<QueuePosition> {
        self.0.first().copied()
    }

    /// Returns the request that is served after `position`, which itself may have been removed.
    pub fn after(&self, position: QueuePosition) -> Option<QueuePosition> {
        let later_positions = (Excluded(position), Unbounded);
        self.0.range(later_positions).next().copied()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}
