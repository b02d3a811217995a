//! One health observation and its encoding.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// An endpoint process: the hash of its name and the start of its process, 0 where that is long
/// ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// Hash of its name.
    pub name: u64,
    /// When it started.
    pub started: Micros,
}

/// What one member saw of an endpoint last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ObservedHealth {
    /// It failed: an error, silence, no connection, a connection that broke.
    #[serde(rename = "Sick")]
    Unhealthy,
    /// It served.
    #[serde(rename = "Well")]
    Healthy,
}

/// Observations of one member on one endpoint process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Hash of the name of who saw it.
    pub origin: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// Grows with each datum of that incarnation.
    pub sequence: u64,
    /// Hash of its zone.
    pub zone: u64,
    /// When it was seen, by its clock.
    pub seen: Micros,
    /// Of what.
    pub process: Process,
    /// What.
    pub health: ObservedHealth,
}

impl Observation {
    /// The order in which data of one table stand: the newest last.
    pub(crate) fn rank(&self) -> (Micros, u64, u64, u64) {
        (self.seen, self.origin, self.incarnation, self.sequence)
    }
}
