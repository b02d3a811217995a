//! The budget of the process's file descriptors.

use std::io;

use tokio::sync::Semaphore;

/// Most connections on each side.
#[derive(Clone, Copy)]
pub struct ConnectionLimits {
    /// Client connections.
    pub clients: usize,
    /// Connections to endpoints.
    pub upstream: usize,
}

impl ConnectionLimits {
    /// Reserves some descriptors for discovery, peers, signals and accepting, and splits the rest
    /// evenly, as a request takes one on each side.
    pub fn from_descriptors(descriptors: usize) -> Self {
        let per_side = ((descriptors - descriptors / 8).saturating_sub(16).max(2) / 2)
            .min(Semaphore::MAX_PERMITS);
        Self {
            clients: per_side,
            upstream: per_side,
        }
    }
}

/// Linux error codes of a process or machine without resources for a socket: ENOMEM, ENFILE,
/// EMFILE, ENOBUFS.
const EXHAUSTION_CODES: [i32; 4] = [12, 23, 24, 105];

/// Whether an error means that local resources are exhausted, which says nothing about the peer.
pub fn is_exhausted(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| EXHAUSTION_CODES.contains(&code))
}

#[cfg(test)]
mod tests;
