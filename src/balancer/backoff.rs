//! Backoff: the delay before a retry.

/// Minimum backoff as a fraction of the latency objective.
const MIN_FRACTION_OF_OBJECTIVE: f64 = 1.0 / 64.0;
/// Maximum backoff as a fraction of the latency objective.
const MAX_FRACTION_OF_OBJECTIVE: f64 = 1.0 / 8.0;
/// Upper bound of the exponent of the backoff.
const MAX_DOUBLINGS: u32 = 16;
/// Lower bound of the random jitter factor; the upper bound is 1 higher.
const MIN_JITTER: f64 = 0.5;

/// Returns the maximum backoff for a request with this latency objective, in microseconds.
pub fn max_backoff(objective: f64) -> f64 {
    objective * MAX_FRACTION_OF_OBJECTIVE
}

/// Returns the backoff after a number of failures, in microseconds: it doubles with each failure,
/// is jittered, and is bounded by the minimum and maximum.
pub fn backoff_after(failures: u32, objective: f64, rng: &mut fastrand::Rng) -> f64 {
    let min_backoff = objective * MIN_FRACTION_OF_OBJECTIVE;
    let doubled = min_backoff * f64::from(1u32 << failures.min(MAX_DOUBLINGS)) / 2.0;
    let jittered = doubled * (MIN_JITTER + rng.f64());
    jittered.clamp(min_backoff, max_backoff(objective))
}
