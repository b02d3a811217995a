//! The affinity entries that a sidecar held at one instant.

use crate::Us;

/// A key at a process of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Place {
    /// The key.
    pub key: u64,
    /// The server, a place in the plan.
    pub server: usize,
    /// When its process started, in milliseconds of Unix time; 0 where that is long ago.
    pub started_ms: i64,
}

/// One that a sidecar holds for bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    /// Which.
    pub place: Place,
    /// The epoch of the process.
    pub epoch: u64,
    /// The slot in which it ends.
    pub ends: i64,
    /// The key was met there again.
    pub again: bool,
}

/// What a sidecar holds at one instant.
#[derive(Clone, Debug, PartialEq)]
pub struct Dump {
    /// The sidecar.
    pub sidecar: usize,
    /// The slot of now, by its clock.
    pub slot: i64,
    /// It uses affinity entries at present.
    pub hears: bool,
    /// What it holds.
    pub held: Vec<Held>,
    /// Picks by an affinity entry: the server, the start of its process, and when the last one was.
    pub picks: Vec<(usize, i64, Us)>,
}
