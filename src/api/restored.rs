//! State that an instance exports and restores after a restart.

use super::ids::*;

/// State of one endpoint process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RestoredEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When its process started, as listed.
    pub started: Option<Timestamp>,
    /// When the last outcome of an attempt at it was received.
    pub last_outcome_at: Timestamp,
    /// Whether its circuit was open.
    pub circuit_open: bool,
    /// Openings of its circuit since it was last healthy.
    pub openings: u32,
    /// Time per unit of expected work, as a ratio.
    pub latency_per_work: f64,
    /// Its concurrency limit, in attempts.
    pub concurrency_limit: f64,
}
