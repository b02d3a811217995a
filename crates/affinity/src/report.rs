//! What a member reports: messages to send, how far a process is drained of affinity, and its
//! figures.

use serde::Serialize;

/// What is to be sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// To a few members drawn anew each time: a pulse.
    pub nearby: Option<Vec<u8>>,
    /// To one member each.
    pub direct: Vec<(u64, Vec<u8>)>,
}

/// How far a process is clear.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Clear {
    /// No member picks by a binding to it in that epoch, ever again.
    pub clear: bool,
    /// It is known to leave in that epoch.
    pub known: bool,
    /// This member is clear of it.
    pub mine: bool,
    /// Members that are.
    pub reported: usize,
}

/// Figures for whoever watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Census {
    /// Keys bound.
    pub keys: usize,
    /// Processes that leave, or did.
    pub phases: usize,
    /// Own uses that wait to be told.
    pub waiting: usize,
    /// Words that are still to be passed on, and those that made room for others.
    pub rumours: usize,
    /// See `rumours`.
    pub made_room: u64,
    /// Bindings are used at present.
    pub hears: bool,
    /// Words told.
    pub told: u64,
    /// Words that came and changed something, and that did not.
    pub heard: u64,
    /// See `heard`.
    pub passed_over: u64,
    /// Entries dropped as the table was full; first uses that were never told.
    pub dropped: u64,
    /// See `dropped`.
    pub untold: u64,
    /// Pieces refused.
    pub refused: u64,
}
