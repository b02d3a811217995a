//! Capacity at one time.

use serde::{Deserialize, Serialize};

/// Capacity at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityView {
    /// All servers together, then each zone and group that the disruption budget names.
    pub rooms: Vec<LimitUsage>,
    /// Number of servers away, whether admitted, unhealthy or without recent observations.
    pub away: u32,
    /// Most servers that may be away.
    pub most_away: u32,
    /// Whether every limit holds.
    pub holds: bool,
    /// The debited servers, with reasons.
    pub debits: Vec<Debit>,
}

/// Capacity under one limit, as the sum of weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUsage {
    /// `all`, `zone NAME` or `group NAME`.
    pub name: String,
    /// Weight of the listed servers.
    pub listed: u64,
    /// Weight of the servers in service.
    pub present: u64,
    /// Weight that must remain in service.
    pub keep: u64,
}

/// A server that does not count as in service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Debit {
    /// The server's name.
    pub server: String,
    /// Its weight.
    pub weight: u32,
    /// The reason.
    pub why: DebitReason,
    /// The number of the window it is in, if any.
    pub window: Option<u64>,
}

/// Why a server does not count as in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DebitReason {
    /// It is admitted to a window.
    Granted,
    /// It is admitted to a window and late.
    Late,
    /// It was observed not to serve.
    #[serde(rename = "sick")]
    Unhealthy,
    /// It has no observation, or an outdated one, or one by too few members.
    Unheard,
    /// It serves but was not yet observed to be warm.
    Cold,
}
