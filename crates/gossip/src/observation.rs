//! A health observation and its encoding.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// An endpoint process: the hash of the endpoint's name and the start time of the process, 0 if
/// long ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// Hash of the endpoint's name.
    pub name: u64,
    /// Start time of the process.
    pub started: Micros,
}

/// The health of an endpoint as last observed by a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ObservedHealth {
    /// It failed: an error, a timeout, a refused or broken connection.
    #[serde(rename = "Sick")]
    Unhealthy,
    /// It served a request.
    #[serde(rename = "Well")]
    Healthy,
}

/// An observation of one endpoint process by one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Hash of the name of the observing member.
    pub origin: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// Increases with each observation of that incarnation.
    pub sequence: u64,
    /// Hash of the zone of the observing member.
    pub zone: u64,
    /// When it was made, by the clock of the observing member.
    pub seen: Micros,
    /// The observed process.
    pub process: Process,
    /// The observed health.
    pub health: ObservedHealth,
}

impl Observation {
    /// Returns the sort key of observations: the newest is the greatest.
    pub(crate) fn order_key(&self) -> (Micros, u64, u64, u64) {
        (self.seen, self.origin, self.incarnation, self.sequence)
    }
}
