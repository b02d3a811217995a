//! What a member reports: messages to send, how far a process is drained of affinity, and its
//! figures.

use serde::Serialize;

/// What is to be sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outgoing {
    /// To a few members drawn anew each time: a periodic message.
    pub nearby: Option<Vec<u8>>,
    /// To one member each.
    pub direct: Vec<(u64, Vec<u8>)>,
}

/// How far a process is clear.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DrainStatus {
    /// No member picks by an entry to it in that epoch, ever again.
    pub clear: bool,
    /// It is known to drain in that epoch.
    pub known: bool,
    /// This member is drained of affinity to it.
    pub mine: bool,
    /// Members that are.
    pub reported: usize,
}

/// Figures for whoever watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AffinitySummary {
    /// Keys with entries.
    pub keys: usize,
    /// Processes that drain, or did.
    pub phases: usize,
    /// Own uses that wait to be published.
    pub waiting: usize,
    /// Updates that are still to be disseminated, and those that made room for others.
    #[serde(rename = "rumours")]
    pub pending: usize,
    /// See `pending`.
    pub made_room: u64,
    /// Entries are used at present.
    #[serde(rename = "hears")]
    pub in_contact: bool,
    /// Updates published.
    #[serde(rename = "told")]
    pub published: u64,
    /// Updates received that changed something, and that did not.
    #[serde(rename = "heard")]
    pub received: u64,
    /// See `received`.
    pub passed_over: u64,
    /// Entries dropped as the table was full; first uses that were never published.
    pub dropped: u64,
    /// See `dropped`.
    #[serde(rename = "untold")]
    pub unpublished: u64,
    /// Messages refused.
    pub refused: u64,
}
