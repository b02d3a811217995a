//! The figures of capacity at one moment.

use serde::{Deserialize, Serialize};

/// Capacity at a moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityView {
    /// For all, then by each zone and group that the disruption budget names.
    pub rooms: Vec<Room>,
    /// Servers away, by grant, dead or unheard of.
    pub away: u32,
    /// Most that may be.
    pub most_away: u32,
    /// Whether every limit holds.
    pub holds: bool,
    /// What is debited, and why.
    pub debits: Vec<Debit>,
}

/// Capacity under one limit, in weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// `all`, `zone NAME` or `group NAME`.
    pub name: String,
    /// What the list names.
    pub listed: u64,
    /// What is there.
    pub present: u64,
    /// What must stay.
    pub keep: u64,
}

/// One server that does not count as there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Debit {
    /// The server's name.
    pub server: String,
    /// Its weight.
    pub weight: u32,
    /// Why.
    pub why: DebitReason,
    /// The window that has it, if one does.
    pub window: Option<u64>,
}

/// Why a server is debited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DebitReason {
    /// A grant is open for it.
    Granted,
    /// A grant is open for it, and it is over its time.
    Late,
    /// Observations says that it doesn't serve.
    #[serde(rename = "sick")]
    Unhealthy,
    /// There is no observation, or it is too old, or of too few members.
    Unheard,
    /// It serves and was not yet seen warm.
    Cold,
}
