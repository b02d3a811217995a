//! What a client connection is occupied with. Pure.

use tokio::time::Instant;

/// What a client connection is occupied with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occupancy {
    /// Its last answer is written, and it is being closed.
    Closing,
    /// Nothing has arrived on it yet.
    New {
        /// When it was accepted.
        since: Instant,
    },
    /// Part of a request has arrived.
    Incomplete {
        /// When the client connected, or sent the first bytes of this request if it has sent others
        /// before.
        began: Instant,
        /// When bytes last arrived.
        last_bytes: Instant,
        /// An endpoint has answered a request on this connection.
        was_served: bool,
    },
    /// Every request is answered.
    Idle {
        /// Since when.
        since: Instant,
        /// An endpoint has answered a request on this connection.
        was_served: bool,
    },
    /// A request is being answered.
    Answering,
    /// Answers are to be written that the socket has not taken completely.
    Unread {
        /// Since when.
        since: Instant,
    },
}

impl Occupancy {
    /// The names in logs and metrics.
    pub const LABELS: [&str; 6] = [
        "closing",
        "incomplete",
        "idle",
        "answering",
        "unread",
        "new",
    ];

    /// The index of its name among [`Self::LABELS`].
    pub fn label_index(self) -> usize {
        match self {
            Self::Closing => 0,
            Self::Incomplete { .. } => 1,
            Self::Idle { .. } => 2,
            Self::Answering => 3,
            Self::Unread { .. } => 4,
            Self::New { .. } => 5,
        }
    }

    /// Whether bytes that arrive now belong to the request that is waited for.
    pub fn is_reading(self) -> bool {
        matches!(
            self,
            Self::New { .. } | Self::Incomplete { .. } | Self::Idle { .. }
        )
    }

    /// Its name in logs and metrics.
    pub fn label(self) -> &'static str {
        Self::LABELS[self.label_index()]
    }
}
