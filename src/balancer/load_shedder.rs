//! Load shedding: which requests are rejected at once while the fleet is crowded.

/// Load ratio from which on some requests are rejected.
const SHED_FROM_LOAD_RATIO: f64 = 1.6;
/// Load ratio from which on nearly all are rejected.
const SHED_NEARLY_ALL_FROM_LOAD_RATIO: f64 = 2.4;
/// Part that is admitted even then, to see when the load has gone.
const MIN_ADMITTED: f64 = 0.02;
/// Part of the low-priority requests that is admitted, of that of others.
const LOW_PRIORITY_ADMITTED: f64 = 0.75;

/// Whether a request is rejected before waits grow past all latency objectives and crowded
/// endpoints fall over: the higher the load ratio, the fewer are admitted. Failures alone shed
/// nothing: they may be a few endpoints' own, and what circuit breakers are for.
pub fn sheds(load_ratio: f64, low_priority: bool, rng: &mut fastrand::Rng) -> bool {
    let ramp = SHED_NEARLY_ALL_FROM_LOAD_RATIO - SHED_FROM_LOAD_RATIO;
    let admitted = ((SHED_NEARLY_ALL_FROM_LOAD_RATIO - load_ratio) / ramp).max(MIN_ADMITTED);
    let part = if low_priority {
        LOW_PRIORITY_ADMITTED
    } else {
        1.0
    };
    admitted < 1.0 && rng.f64() > admitted * part
}
