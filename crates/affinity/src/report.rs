//! The output of a member: messages to send, drain status, and figures.
//! figures.

use serde::Serialize;

/// The messages to send.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutgoingMessages {
    /// A periodic message for a few random members.
    pub periodic: Option<Vec<u8>>,
    /// Messages for one member each.
    pub direct: Vec<(u64, Vec<u8>)>,
}

/// How far a process is clear.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DrainStatus {
    /// No member will ever pick the process by an entry of that epoch again.
    pub clear: bool,
    /// The process is known to drain in that epoch.
    pub known: bool,
    /// This member is drained of affinity to it.
    pub mine: bool,
    /// Number of members that are.
    pub reported: usize,
}

/// Figures for monitoring.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AffinitySummary {
    /// Keys with entries.
    pub keys: usize,
    /// Processes that drain, or have returned.
    pub phases: usize,
    /// Own uses that wait to be published.
    pub waiting: usize,
    /// Updates that are still disseminated, and those that were removed for others.
    #[serde(rename = "rumours")]
    pub pending: usize,
    /// See `pending`.
    pub made_room: u64,
    /// Whether entries are used at present.
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
    /// Entries evicted because the table was full; first uses that were never published.
    pub dropped: u64,
    /// See `dropped`.
    #[serde(rename = "untold")]
    pub unpublished: u64,
    /// Messages that were rejected.
    pub refused: u64,
}
