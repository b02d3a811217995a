//! Load shedding: rejects a part of the requests while the fleet is overloaded.

/// Load ratio above which some requests are rejected.
const SHED_FROM_LOAD_RATIO: f64 = 1.6;
/// Load ratio above which nearly all requests are rejected.
const SHED_NEARLY_ALL_FROM_LOAD_RATIO: f64 = 2.4;
/// Fraction of requests that is always admitted, to detect the end of the overload.
const MIN_ADMITTED: f64 = 0.02;
/// Fraction of the low-priority requests that is admitted, relative to other requests.
const LOW_PRIORITY_ADMITTED: f64 = 0.75;

/// Returns whether to reject a request, before queueing exceeds the latency objectives and
/// overloaded endpoints fail: the higher the load ratio, the fewer are admitted. Failures alone do
/// not shed load: they may be due to a few endpoints, which circuit breakers handle.
pub fn should_shed(load_ratio: f64, low_priority: bool, rng: &mut fastrand::Rng) -> bool {
    let shedding_range = SHED_NEARLY_ALL_FROM_LOAD_RATIO - SHED_FROM_LOAD_RATIO;
    let admitted =
        ((SHED_NEARLY_ALL_FROM_LOAD_RATIO - load_ratio) / shedding_range).max(MIN_ADMITTED);
    let priority_factor = if low_priority {
        LOW_PRIORITY_ADMITTED
    } else {
        1.0
    };
    admitted < 1.0 && rng.f64() > admitted * priority_factor
}
