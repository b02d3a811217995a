//! What one endpoint's own answers say of its latency.

/// Latency of one endpoint by its own answers.
#[derive(Default)]
pub struct EndpointLatency {
    /// Time that it takes for a unit of expected work, in such units.
    pub per_work: f64,
}
