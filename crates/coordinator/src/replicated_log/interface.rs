//! The inputs and outputs of a log node.

use load_balancer_record_store::StoreError;
use raft::eraftpb::Message;
use serde::Serialize;
use std::fmt;

/// What is replicated: the same events in the same order make the same machine everywhere.
pub trait Replicated {
    /// Takes the next agreed event, with its proposer's time in milliseconds of Unix time, which
    /// never goes back; what to answer the proposer.
    ///
    /// # Errors
    /// The event is of a kind that this program does not know: it must stop.
    fn apply(&mut self, at_ms: i64, event: &[u8]) -> Result<Vec<u8>, String>;
    /// All of it, in its own form.
    fn snapshot(&self) -> Vec<u8>;
    /// Takes the state of a snapshot.
    ///
    /// # Errors
    /// The snapshot is of a form that this program does not know: it must stop.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String>;
}

/// What a node is made with.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name.
    pub name: String,
    /// A number for this run, like no other.
    pub run: u64,
    /// Heartbeats that a leader may miss before others stand for election: from here to twice as
    /// many, by a draw over disk and term.
    pub patience: usize,
    /// Votes below which nothing is proposed: what a founder alone agrees to would hang on one
    /// disk.
    pub least: usize,
}

/// Why a node must stop. It may be started again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HaltReason {
    /// The disk failed: what is kept is not known.
    Disk(StoreError),
    /// The log holds what this program does not know.
    Unknown(String),
}

impl fmt::Display for HaltReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disk(trouble) => trouble.fmt(f),
            Self::Unknown(what) => {
                write!(f, "the log holds what this program does not know: {what}")
            }
        }
    }
}

impl std::error::Error for HaltReason {}

impl From<StoreError> for HaltReason {
    fn from(trouble: StoreError) -> Self {
        Self::Disk(trouble)
    }
}

/// Why an event was not proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// This node does not lead, or has not applied an entry of its own time.
    NotLeader,
    /// Fewer coordinators than [`Options::least`] have a vote yet.
    Founding,
    /// Too much waits for agreement.
    Busy,
}

/// What is to be done after a step.
#[derive(Debug, Default)]
pub struct Effects {
    /// To be sent, best effort, after all of this node's steps so far were kept.
    pub messages: Vec<Message>,
    /// Answers by ticket.
    pub answers: Vec<(u64, Vec<u8>)>,
    /// Askings for confirmation which a majority confirmed since they were made.
    pub confirmed: Vec<u64>,
    /// Tickets whose answer is not known: the events may or may not be agreed on.
    pub lost: Vec<u64>,
}

/// Where a node stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReplicaStatus {
    /// The number of its disk.
    pub id: u64,
    /// The term it knows.
    pub term: u64,
    /// The leader's name, where it knows one.
    pub leader: Option<String>,
    /// Whether it may act.
    pub acts: bool,
    /// Last applied entry.
    pub applied: u64,
    /// Names of those with a vote.
    pub voters: Vec<String>,
    /// Names of all whose disks count or listen, one a disk: more than coordinators, while one's
    /// new disk takes the place of its old one.
    pub members: Vec<String>,
    /// Whether this disk has a vote.
    pub voice: bool,
    /// Whether it holds no part of any log.
    pub blank: bool,
}
