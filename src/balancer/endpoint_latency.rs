//! Latency of one endpoint, measured by its own answers.

/// Latency of one endpoint, measured by its own answers.
#[derive(Default)]
pub struct EndpointLatency {
    /// Time per unit of expected work, as a ratio.
    pub per_work: f64,
}
