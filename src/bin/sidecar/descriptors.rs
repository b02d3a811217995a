//! The budget of the process's file descriptors.

use std::io;

use tokio::sync::Semaphore;

/// How many each side may hold.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to endpoints.
    pub upstream: usize,
}

impl Limits {
    /// Of so many descriptors some stay in reserve for discovery, peers, signals and accepting; of
    /// the rest both sides get half, as a request takes one on each.
    pub fn of(sockets: usize) -> Self {
        let each =
            ((sockets - sockets / 8).saturating_sub(16).max(2) / 2).min(Semaphore::MAX_PERMITS);
        Self {
            clients: each,
            upstream: each,
        }
    }
}

/// What Linux says where the process or the machine has no room for a socket: ENOMEM, ENFILE,
/// EMFILE, ENOBUFS.
const NO_ROOM: [i32; 4] = [12, 23, 24, 105];

/// Whether the process or its machine lacked something, which says nothing of the peer.
pub fn lacked(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| NO_ROOM.contains(&code))
}

#[cfg(test)]
mod tests;
