//! Backoff: how long a request waits before a retry.

/// Shortest backoff as a part of the latency objective.
const MIN_PART_OF_OBJECTIVE: f64 = 1.0 / 64.0;
/// Longest backoff as a part of the latency objective.
const MAX_PART_OF_OBJECTIVE: f64 = 1.0 / 8.0;
/// How often the backoff doubles at most.
const MAX_DOUBLINGS: u32 = 16;
/// Least factor by jitter; it is drawn from there to 1 more.
const MIN_JITTER: f64 = 0.5;

/// The longest backoff of a request with that latency objective, in microseconds.
pub fn longest(objective: f64) -> f64 {
    objective * MAX_PART_OF_OBJECTIVE
}

/// The backoff after so many failures, in microseconds: doubled with each, jittered, and bounded.
pub fn after_failures(failures: u32, objective: f64, rng: &mut fastrand::Rng) -> f64 {
    let shortest = objective * MIN_PART_OF_OBJECTIVE;
    let doubled = shortest * f64::from(1u32 << failures.min(MAX_DOUBLINGS)) / 2.0;
    let jittered = doubled * (MIN_JITTER + rng.f64());
    jittered.clamp(shortest, longest(objective))
}
