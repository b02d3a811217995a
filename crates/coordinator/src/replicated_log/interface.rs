//! The inputs and outputs of a log node.

use load_balancer_record_store::StoreError;
use raft::eraftpb::Message;
use serde::Serialize;
use std::fmt;

/// A replicated state machine: the same events in the same order lead to the same state everywhere.
pub trait Replicated {
    /// Applies the next committed event, with its proposer's time in milliseconds of Unix time,
    /// which never decreases. Returns the answer for the proposer.
    ///
    /// # Errors
    /// Returns an error if the event is unknown to this program, which must then stop.
    fn apply(&mut self, at_ms: i64, event: &[u8]) -> Result<Vec<u8>, String>;
    /// Returns the whole state, encoded.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    /// Returns an error if the format is unknown to this program, which must then stop.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String>;
}

/// Options of a node.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the coordinator.
    pub name: String,
    /// Unique number of this run.
    pub run_id: u64,
    /// Heartbeats that may be missed before an election starts: from this number to twice as many,
    /// derived from disk id and term.
    pub election_ticks: usize,
    /// Minimum number of voters for proposals: otherwise what a founder commits alone would depend
    /// on a single disk.
    pub min_voters: usize,
}

/// Why a node must stop. It may be started again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HaltReason {
    /// The disk failed; what it has stored is not known.
    Disk(StoreError),
    /// The log contains data that this program does not know.
    Unknown(String),
}

impl fmt::Display for HaltReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disk(error) => error.fmt(f),
            Self::Unknown(message) => {
                write!(f, "the log contains unknown data: {message}")
            }
        }
    }
}

impl std::error::Error for HaltReason {}

impl From<StoreError> for HaltReason {
    fn from(error: StoreError) -> Self {
        Self::Disk(error)
    }
}

/// Why an event was not proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This node does not lead, or has not applied an entry of its own term.
    NotLeader,
    /// Fewer coordinators than [`Options::min_voters`] have a vote.
    TooFewVoters,
    /// Too many entries are uncommitted.
    Busy,
}

/// Outputs of a node.
#[derive(Debug, Default)]
pub struct Effects {
    /// Messages to send, after everything has been persisted; they may be lost.
    pub messages: Vec<Message>,
    /// Answers by ticket.
    pub answers: Vec<(u64, Vec<u8>)>,
    /// Tickets of leadership confirmations given by a majority since their request.
    pub confirmed: Vec<u64>,
    /// Tickets whose event may or may not be committed.
    pub unknown_outcomes: Vec<u64>,
}

/// Status of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReplicaStatus {
    /// Id of its disk.
    pub id: u64,
    /// Its current term.
    pub term: u64,
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// Whether it leads and has applied an entry of its own term.
    pub acts: bool,
    /// Index of the last applied entry.
    pub applied: u64,
    /// Names of the voters.
    pub voters: Vec<String>,
    /// Names of voters and learners, one per disk: there are more than coordinators while a new
    /// disk replaces an old one.
    pub members: Vec<String>,
    /// Whether this disk has a vote.
    pub voice: bool,
    /// Whether it has no part of any log.
    pub blank: bool,
}
