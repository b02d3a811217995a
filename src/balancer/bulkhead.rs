//! The bulkhead of one endpoint: a concurrency limit that adapts to latency, because the capacity
//! of an endpoint is not announced and an overloaded server fails.

/// Limit of a new endpoint for a single instance; also the unit in which limits rise.
const INITIAL_LIMIT: f64 = 2.0;
/// Maximum change of a limit per answer, as a fraction of its unit.
const LIMIT_STEP: f64 = 0.1;
/// Minimum limit. Limits below 1 take effect through the sum over all endpoints.
const MIN_LIMIT: f64 = 0.05;
/// Maximum limit.
const MAX_LIMIT: f64 = 1000.0;
/// Maximum number of downward steps for one answer.
const MAX_STEPS_DOWN: f64 = 2.0;
/// Factor by which a first attempt may exceed an endpoint's fair share of all attempts in flight.
pub const FAIR_SHARE_SLACK: f64 = 1.3;

/// The limit of an endpoint that has not answered yet. Sidecars rarely use an endpoint all at the
/// same time, so the limit is divided by the square root of their number.
#[derive(Clone, Copy)]
pub struct InitialLimit(f64);

impl InitialLimit {
    /// Returns the initial limit of one of `instances` sidecars.
    pub fn new(instances: u32) -> Self {
        Self(INITIAL_LIMIT / f64::from(instances.max(1)).sqrt())
    }
}

/// The concurrency limit of one endpoint, in attempts.
#[derive(Default)]
pub struct Bulkhead {
    limit: f64,
}

impl Bulkhead {
    /// Creates a bulkhead with the initial limit.
    pub fn new(initial: InitialLimit) -> Self {
        Self { limit: initial.0 }
    }

    /// Returns the limit.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns whether one more attempt would exceed the limit, or the endpoint's fair share of all
    /// attempts in flight.
    pub fn is_full(&self, in_flight: usize, fair_share: f64) -> bool {
        in_flight as f64 + 1.0 > fair_share.min(self.limit).ceil()
    }

    /// Adapts the limit to an answer. Additive increase while answers take less than `target` per
    /// unit of work, and only while the limits are in use; multiplicative decrease above it, so
    /// that the limits of sidecars that overload an endpoint together converge.
    pub fn adapt(&mut self, latency: f64, target: f64, limits_in_use: bool, initial: InitialLimit) {
        let step = (1.0 - latency / target).clamp(-MAX_STEPS_DOWN, 1.0) * LIMIT_STEP;
        if step < 0.0 || limits_in_use {
            let unit = if step > 0.0 { initial.0 } else { self.limit };
            self.limit = (self.limit + step * unit).clamp(MIN_LIMIT, MAX_LIMIT);
        }
    }

    /// Restores a limit from before a restart; `decay` is the weight that it still has.
    pub fn restore(&mut self, limit: f64, decay: f64, initial: InitialLimit) {
        let restored = initial.0 + decay * (limit - initial.0);
        self.limit = restored.clamp(MIN_LIMIT, MAX_LIMIT);
    }
}
