//! What an instance exports, and restores after a restart.

use super::ids::*;

/// What an instance knew of one endpoint process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RestoredEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When its process started, as it was listed.
    pub started: Option<Timestamp>,
    /// When an outcome there was last heard of.
    pub last_heard: Timestamp,
    /// Its circuit was open.
    pub circuit_open: bool,
    /// Times that it has opened since it was last well.
    pub openings: u32,
    /// Time that it takes for a unit of expected work, in such units.
    pub latency_per_work: f64,
    /// Attempts that it might have in flight.
    pub concurrency_limit: f64,
}
