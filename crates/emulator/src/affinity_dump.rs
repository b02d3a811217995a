//! The affinity entries of a sidecar at one time.

use crate::Us;

/// A key at a process of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyAtProcess {
    /// The key.
    pub key: u64,
    /// The server, by index in the plan.
    pub server: usize,
    /// When its process started, in milliseconds of Unix time; 0 if long ago.
    pub started_ms: i64,
}

/// An affinity entry of a sidecar.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DumpedEntry {
    /// The key and the process.
    pub place: KeyAtProcess,
    /// The epoch of the process.
    pub epoch: u64,
    /// The slot in which it expires.
    pub ends: i64,
    /// Whether the key was used there again.
    pub renewed: bool,
}

/// The affinity entries of a sidecar at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct Dump {
    /// The sidecar.
    pub sidecar: usize,
    /// The current slot, by its clock.
    pub slot: i64,
    /// Whether it uses affinity entries at present.
    pub in_contact: bool,
    /// The entries.
    pub entries: Vec<DumpedEntry>,
    /// Picks by affinity entries: server, start of its process, and time of the last pick.
    pub picks: Vec<(usize, i64, Us)>,
}
