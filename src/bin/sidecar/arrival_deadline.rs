//! Until when a client connection waits for a request, or for the rest of one. Pure.
//!
//! An idle connection's time counts from its last answer, a request's from its own first byte: a
//! client that sends slowly has the same time however long its connection has been idle.

use crate::occupancy::Occupancy;
use std::time::Duration;
use tokio::time::Instant;

/// Time without a request after which a connection is closed. Well-behaved clients keep theirs for
/// 2 s.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2300);
/// Time in which a request must have arrived completely. Peers that stop in the middle of one get an
/// error or a close within 3 s, of which the process may be held up for 0.15 s.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2800);
/// The same two during a shutdown: without a first or a further byte for this long.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which the runtime notices what the system has already received.
pub const FINAL_POLL_TIME: Duration = Duration::from_millis(2);

/// What the process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves normally.
    Running,
    /// It shuts down: connections close once their requests are answered.
    Closing {
        /// Since when this connection has known of it.
        since: Instant,
    },
}

/// When a connection is closed if nothing more arrives; `None` while others limit its time: its
/// request is being answered, or its answer is being written.
pub fn arrival_deadline(occupancy: Occupancy, phase: Phase) -> Option<Instant> {
    match (occupancy, phase) {
        (Occupancy::Answering | Occupancy::Unread { .. } | Occupancy::Closing, _) => None,
        (Occupancy::New { since } | Occupancy::Idle { since, .. }, Phase::Running) => {
            Some(since + IDLE_TIMEOUT)
        }
        (Occupancy::Incomplete { began, .. }, Phase::Running) => Some(began + REQUEST_TIMEOUT),
        // Its client may send a request that crosses the close, and sends it once more then.
        (Occupancy::Idle { since: idle, .. }, Phase::Closing { since }) => {
            Some(idle.max(since + FINAL_POLL_TIME))
        }
        (
            Occupancy::New { since: active }
            | Occupancy::Incomplete {
                last_bytes: active, ..
            },
            Phase::Closing { since },
        ) => Some(active.max(since) + SHUTDOWN_TIMEOUT),
    }
}

#[cfg(test)]
mod tests;
