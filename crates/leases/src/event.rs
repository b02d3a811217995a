//! The events that the lease state machine takes, and its answers.

use serde::{Deserialize, Serialize};

/// Longest name of a task, a process or a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Shortest lease, in milliseconds: elections among those who agree would end a shorter one.
pub const MIN_LEASE_MS: u64 = 100;
/// Longest lease, in milliseconds: after a kill its task may stay undone for as long.
pub const MAX_LEASE_MS: u64 = 3_600_000;

/// Who wants a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claimant {
    /// Its name, one of a kind among those who want this task.
    pub name: String,
    /// Grows with each start of a process of that name, and is never reused.
    pub incarnation: u64,
    /// Its zone, for people.
    #[serde(default)]
    pub zone: String,
    /// Who waits with a higher rank goes first; a process in the task's home zone asks with a
    /// higher one.
    #[serde(default)]
    pub rank: u32,
    /// For how long the task is its own after it was last heard, in milliseconds.
    pub lease_ms: u64,
}

/// One agreed event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// Somebody wants the task and waits for it; asked again it says that it is still there. From
    /// the holder it is a renewal.
    Ask {
        /// The task's name.
        task: String,
        /// Who asks.
        by: Claimant,
    },
    /// The holder is still there.
    Renew {
        /// The task's name.
        task: String,
        /// The holder's name.
        name: String,
        /// The token that it holds the task by.
        token: u64,
    },
    /// The holder has stopped, and gives the task back.
    Release {
        /// The task's name.
        task: String,
        /// The holder's name.
        name: String,
        /// The token that it held the task by.
        token: u64,
    },
    /// The holder has stopped, and hands the task to one who waits for it.
    Transfer {
        /// The task's name.
        task: String,
        /// The holder's name.
        name: String,
        /// The token that it held the task by.
        token: u64,
        /// Who is to have it.
        heir: String,
    },
    /// Who waited wants the task no more.
    Withdraw {
        /// The task's name.
        task: String,
        /// Who waited.
        name: String,
    },
    /// The leader has not heard the holder for a whole lease. Counts only where it was not heard
    /// since.
    Expire {
        /// The task's name.
        task: String,
        /// The token of the lease that ends.
        token: u64,
        /// How often it had been renewed.
        renewals: u64,
    },
    /// The leader has not heard one who waits for a whole lease. Counts only where it was not heard
    /// since.
    Forget {
        /// The task's name.
        task: String,
        /// Who waited.
        name: String,
        /// How often it had asked.
        asks: u64,
    },
}

/// What [`LeaseTable::apply`](crate::LeaseTable::apply) answers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The task is the asker's, for `lease_ms` from the moment in which it *sent* what this
    /// answers.
    Granted {
        /// What its acts go with.
        token: u64,
        /// The lease, in milliseconds.
        lease_ms: u64,
        /// Somebody of a higher rank waits: the task should be handed over.
        wanted_by: Option<String>,
    },
    /// Somebody else holds it.
    Waits {
        /// Who holds it.
        holder: String,
        /// How many go first.
        before: usize,
    },
    /// The event is taken.
    Taken,
    /// The event says nothing that still counts.
    Ignored,
    /// The event can't be taken.
    Refused(Refusal),
}

/// Why an event can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// A key of it is wrong, and why.
    Invalid(String, String),
    /// The task is not the caller's, or no more under that token.
    NotYours,
    /// A later process of that name holds the task or waits for it.
    OldLife,
    /// The heir does not wait for the task.
    NotWaiting,
    /// Too many tasks, or too many wait for this one.
    Full,
}
