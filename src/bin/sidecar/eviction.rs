//! Chooses the client connection that has to make room for a new one. Pure.
//!
//! A connection whose request is being answered is never closed. Of the others, those go first whose
//! end costs their client least: a closing one, then one whose request has stopped arriving, then an
//! idle one, and at last one whose client does not read its answer.

use std::time::Duration;
use tokio::time::Instant;

/// A request that is not complete counts as stopped after this long without further bytes. A client
/// on this machine that has just connected needs less for its first bytes.
pub const STALL_TIME: Duration = Duration::from_millis(20);
/// An incomplete request counts as stopped after this long, however regularly bytes arrive.
pub const MAX_ARRIVAL_TIME: Duration = Duration::from_millis(100);
/// An answer counts as left unread if its client, on this machine, has not taken it after this long.
pub const UNREAD_TIME: Duration = Duration::from_millis(500);

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
    },
    /// Every request is answered.
    Idle {
        /// Since when.
        since: Instant,
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

/// The message that waits for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitingMessage {
    /// A request.
    Request,
    /// An answer.
    Answer,
}

impl WaitingMessage {
    /// The name of such messages in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Request => "requests",
            Self::Answer => "answers",
        }
    }
}

/// The memory that closing a connection frees, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldMemory {
    /// None.
    Nothing,
    /// Of an incomplete request.
    Request(usize),
    /// Of an answer that its client has not taken completely.
    Answer(usize),
}

impl HeldMemory {
    /// How much of it the waiting message can use.
    pub fn for_message(self, message: WaitingMessage) -> usize {
        match (self, message) {
            (Self::Request(bytes), WaitingMessage::Request)
            | (Self::Answer(bytes), WaitingMessage::Answer) => bytes,
            _ => 0,
        }
    }
}

/// The reply to the question which connection makes room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice<Id> {
    /// This one is closed.
    Evict(Id),
    /// None may be closed before that time.
    NotBefore(Instant),
    /// None may be closed until one of them changes.
    Nothing,
}

/// The order in which connections are closed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Closing,
    Stopped,
    Idle,
    Unread,
}

/// Where a connection stands in that order.
struct Standing {
    rank: Rank,
    /// Among those of the same rank, the earliest is closed first.
    since: Instant,
    /// It may not be closed before.
    evictable_at: Instant,
}

/// Where a connection stands; `None` if it may not be closed.
fn standing(occupancy: Occupancy, now: Instant) -> Option<Standing> {
    let (rank, since, evictable_at) = match occupancy {
        Occupancy::Answering => return None,
        Occupancy::Closing => (Rank::Closing, now, now),
        Occupancy::New { since } => (Rank::Stopped, since, since + STALL_TIME),
        Occupancy::Incomplete { began, last_bytes } => {
            let stopped_at = (last_bytes + STALL_TIME).min(began + MAX_ARRIVAL_TIME);
            (Rank::Stopped, last_bytes, stopped_at)
        }
        Occupancy::Idle { since } => (Rank::Idle, since, now),
        Occupancy::Unread { since } => (Rank::Unread, since, since + UNREAD_TIME),
    };
    Some(Standing {
        rank,
        since,
        evictable_at,
    })
}

/// Chooses connections that together hold `needed` bytes, or all that may be closed. Each comes with
/// the bytes that closing it would free.
pub fn choose_for_memory<Id: Copy + Ord>(
    holders: impl Iterator<Item = (Id, Occupancy, usize)>,
    needed: usize,
    now: Instant,
) -> Vec<Id> {
    let mut evictable: Vec<_> = holders
        .filter(|(_, _, bytes)| *bytes > 0)
        .filter_map(|(id, occupancy, bytes)| Some((standing(occupancy, now)?, id, bytes)))
        .filter(|(standing, ..)| standing.evictable_at <= now)
        .collect();
    evictable.sort_unstable_by_key(|(standing, id, _)| (standing.rank, standing.since, *id));
    let mut freed = 0;
    let enough = evictable.into_iter().take_while(|(_, _, bytes)| {
        let is_needed = freed < needed;
        freed += bytes;
        is_needed
    });
    enough.map(|(_, id, _)| id).collect()
}

/// Chooses among all connections of a sidecar that has no place for another one.
///
/// Idle and unread connections are closed before incomplete ones that may still be arriving if they
/// are more: otherwise new clients could use only what they leave.
pub fn choose<Id: Copy + Ord>(
    connections: impl Iterator<Item = (Id, Occupancy)>,
    now: Instant,
) -> Choice<Id> {
    let mut first: Option<(Rank, Instant, Id)> = None;
    let mut not_before: Option<Instant> = None;
    let (mut settled, mut arriving) = (0_usize, 0_usize);
    for (id, occupancy) in connections {
        let Some(Standing {
            rank,
            since,
            evictable_at,
        }) = standing(occupancy, now)
        else {
            continue;
        };
        if evictable_at > now {
            arriving += usize::from(rank == Rank::Stopped);
            not_before = Some(not_before.map_or(evictable_at, |earlier| earlier.min(evictable_at)));
            continue;
        }
        settled += usize::from(matches!(rank, Rank::Idle | Rank::Unread));
        if first.is_none_or(|best| (rank, since, id) < best) {
            first = Some((rank, since, id));
        }
    }
    match (first, not_before) {
        (Some((Rank::Idle | Rank::Unread, ..)), Some(time)) if arriving >= settled => {
            Choice::NotBefore(time)
        }
        (Some((.., id)), _) => Choice::Evict(id),
        (None, Some(time)) => Choice::NotBefore(time),
        (None, None) => Choice::Nothing,
    }
}

#[cfg(test)]
mod tests;
