//! Chooses the client connection that has to make room for a new one. Pure.
//!
//! A connection whose request is being answered is never closed. Of the others, those go first whose
//! end costs their client least: a closing one, then one that is new and silent, one whose request
//! is abandoned, an idle one, and at last one whose client does not read its answer.
//!
//! A request that pauses can't be told from one whose client has stopped. Requests of clients that
//! have been served before are waited for; those of others as long as idle connections are more.

use crate::occupancy::Occupancy;
use std::time::Duration;
use tokio::time::Instant;

/// A new connection counts as silent, and a request of a client that has not been served as
/// stopped, after this long without further bytes. A client on this machine that has just connected
/// needs less for its first bytes.
pub const STALL_TIME: Duration = Duration::from_millis(20);
/// A request of a client that has not been served counts as stopped after this long, however
/// regularly bytes arrive.
pub const MAX_ARRIVAL_TIME: Duration = Duration::from_millis(100);
/// Any request counts as abandoned after this long without further bytes. An answer may be late by
/// 0.5 s, in which the places are given twice then.
pub const ABANDONED_AFTER: Duration = Duration::from_millis(250);
/// Any request counts as abandoned after this long, however regularly bytes arrive.
pub const MAX_PROTECTED_TIME: Duration = Duration::from_millis(500);
/// An answer counts as left unread if its client, on this machine, has not taken it after this long.
pub const UNREAD_TIME: Duration = Duration::from_millis(500);

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
    Silent,
    Abandoned,
    /// Idle, and no request was served on it.
    UnservedIdle,
    Idle,
    /// Part of a request has arrived, and the rest may follow.
    Arriving,
    Unread,
}

impl Rank {
    /// Closed whenever there is one.
    const USELESS: [Self; 3] = [Self::Closing, Self::Silent, Self::Abandoned];
    /// Without a request that is still to be answered.
    const SETTLED: [Self; 3] = [Self::UnservedIdle, Self::Idle, Self::Unread];
}

/// Where a connection stands in that order.
struct Standing {
    rank: Rank,
    /// Among those of the same rank, the earliest is closed first.
    since: Instant,
    /// It may not be closed before.
    evictable_at: Instant,
    /// Its client may be about to send, and has not been served before.
    is_unproven: bool,
}

/// Where a connection stands; `None` if it may not be closed.
fn standing(occupancy: Occupancy, now: Instant) -> Option<Standing> {
    let (rank, since, evictable_at) = match occupancy {
        Occupancy::Answering => return None,
        Occupancy::Closing => (Rank::Closing, now, now),
        Occupancy::New { since } => (Rank::Silent, since, since + STALL_TIME),
        Occupancy::Incomplete {
            began,
            last_bytes,
            was_served,
        } => {
            let abandoned_at = (last_bytes + ABANDONED_AFTER).min(began + MAX_PROTECTED_TIME);
            let stopped_at = (last_bytes + STALL_TIME).min(began + MAX_ARRIVAL_TIME);
            let rank = if abandoned_at <= now {
                Rank::Abandoned
            } else {
                Rank::Arriving
            };
            let evictable_at = if was_served { abandoned_at } else { stopped_at };
            (rank, last_bytes, evictable_at)
        }
        Occupancy::Idle { since, was_served } if was_served => (Rank::Idle, since, now),
        Occupancy::Idle { since, .. } => (Rank::UnservedIdle, since, now),
        Occupancy::Unread { since } => (Rank::Unread, since, since + UNREAD_TIME),
    };
    let is_unproven = match occupancy {
        Occupancy::New { .. } => evictable_at > now,
        Occupancy::Incomplete { was_served, .. } => !was_served && rank == Rank::Arriving,
        _ => false,
    };
    Some(Standing {
        rank,
        since,
        evictable_at,
        is_unproven,
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
/// Idle and unread connections are closed if they are more than those whose clients have not been
/// served and may be about to send: otherwise new clients could use only what these leave. If they
/// are not more, requests of such clients that have paused make room: otherwise peers that stop half
/// way could close all idle connections.
pub fn choose<Id: Copy + Ord>(
    connections: impl Iterator<Item = (Id, Occupancy)>,
    now: Instant,
) -> Choice<Id> {
    let standings: Vec<(Id, Standing)> = connections
        .filter_map(|(id, occupancy)| Some((id, standing(occupancy, now)?)))
        .collect();
    let evictable = |ranks: &'static [Rank]| {
        let of_ranks = standings.iter().filter(|(_, s)| ranks.contains(&s.rank));
        of_ranks.filter(|(_, s)| s.evictable_at <= now)
    };
    let first = |ranks| {
        evictable(ranks)
            .min_by_key(|(id, s)| (s.rank, s.since, *id))
            .map(|(id, _)| Choice::Evict(*id))
    };
    let unproven = standings.iter().filter(|(_, s)| s.is_unproven).count();
    let settled = evictable(&Rank::SETTLED).count();
    let next: &[Rank] = if settled > unproven {
        &Rank::SETTLED
    } else {
        &[Rank::Arriving]
    };
    let later = standings.iter().map(|(_, s)| s.evictable_at);
    first(&Rank::USELESS)
        .or_else(|| first(next))
        .or_else(|| later.filter(|at| *at > now).min().map(Choice::NotBefore))
        .unwrap_or(Choice::Nothing)
}

#[cfg(test)]
mod tests;
