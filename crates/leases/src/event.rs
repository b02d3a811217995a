//! The events that the lease state machine applies, and their outcomes.

use serde::{Deserialize, Serialize};

/// Longest name of a task, a process or a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Shortest lease, in milliseconds: a coordinator election would outlast a shorter one.
pub const MIN_LEASE_MS: u64 = 100;
/// Longest lease, in milliseconds: after its holder is killed, a task may have no holder for as
/// long.
pub const MAX_LEASE_MS: u64 = 3_600_000;

/// A process that claims a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claimant {
    /// Its name, unique among the claimants of this task.
    pub name: String,
    /// Grows with each start of a process of that name and is never reused.
    pub incarnation: u64,
    /// Its zone; informational only.
    #[serde(default)]
    pub zone: String,
    /// Claimants of a higher rank go first; a process in the task's home zone claims with a higher
    /// one.
    #[serde(default)]
    pub rank: u32,
    /// How long a grant lasts after the last renewal, in milliseconds.
    pub lease_ms: u64,
}

/// One event of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// A process claims the task and waits for it; repeated, it shows that the process is still
    /// alive. From the holder it is a renewal.
    Ask {
        /// The task's name.
        task: String,
        /// The claimant.
        by: Claimant,
    },
    /// The holder renews its lease.
    Renew {
        /// The task's name.
        task: String,
        /// The holder's name.
        name: String,
        /// The token of its lease.
        token: u64,
    },
    /// The holder has stopped acting and releases the task.
    Release {
        /// The task's name.
        task: String,
        /// The holder's name.
        name: String,
        /// The token of its lease.
        token: u64,
    },
    /// The holder has stopped acting and transfers the task to a waiting claimant.
    Transfer {
        /// The task's name.
        task: String,
        /// The holder's name.
        name: String,
        /// The token of its lease.
        token: u64,
        /// The name of the next holder.
        #[serde(rename = "heir")]
        successor: String,
    },
    /// A waiting claimant withdraws its claim.
    Withdraw {
        /// The task's name.
        task: String,
        /// The claimant's name.
        name: String,
    },
    /// The leader has not heard from the holder for a whole lease. Ignored if the holder renewed in
    /// the meantime.
    Expire {
        /// The task's name.
        task: String,
        /// The token of the lease that ends.
        token: u64,
        /// How many renewals it had then.
        renewals: u64,
    },
    /// The leader has not heard from a waiting claimant for a whole lease. Ignored if it claimed
    /// again in the meantime.
    Forget {
        /// The task's name.
        task: String,
        /// The claimant's name.
        name: String,
        /// How many claims it had made then.
        asks: u64,
    },
}

/// The result of [`LeaseTable::apply`](crate::LeaseTable::apply).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The task belongs to the claimant for `lease_ms`, counted from when it *sent* the message
    /// that this answers.
    Granted {
        /// The fencing token that its actions carry.
        token: u64,
        /// The length of the lease, in milliseconds.
        lease_ms: u64,
        /// A claimant of a higher rank waits: the task should be transferred to it.
        wanted_by: Option<String>,
    },
    /// Another process holds the task.
    Waits {
        /// The holder's name.
        holder: String,
        /// How many claimants go first.
        before: usize,
    },
    /// The event was applied.
    Taken,
    /// The event is out of date and changes nothing.
    Ignored,
    /// The event was rejected.
    Refused(Refusal),
}

/// Why an event was rejected.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// One of its fields is invalid: the field's name and the reason.
    Invalid(String, String),
    /// The caller does not hold the task, or no longer under that token.
    NotYours,
    /// A later incarnation of that process holds the task or waits for it.
    OldLife,
    /// The named next holder does not wait for the task.
    NotWaiting,
    /// There are too many tasks, or too many claimants wait for this one.
    Full,
}
