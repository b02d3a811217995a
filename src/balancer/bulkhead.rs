//! The bulkhead of one endpoint: a concurrency limit that is learnt from latency, as capacities are
//! never told and overloaded servers fall over.

/// Limit of a new endpoint, and unit of its rise, for a single instance.
const INITIAL_LIMIT: f64 = 2.0;
/// Part of the unit by which a limit changes at most with an answer.
const LIMIT_STEP: f64 = 0.1;
/// Least limit. One below 1 binds through the sum of all limits.
const MIN_LIMIT: f64 = 0.05;
/// Largest limit.
const MAX_LIMIT: f64 = 1000.0;
/// Most steps down for one answer.
const MAX_STEPS_DOWN: f64 = 2.0;
/// What a first attempt may find in flight at one endpoint, as a multiple of its fair part of all
/// that is in flight.
pub const FAIR_SHARE_SLACK: f64 = 1.3;

/// The limit of an endpoint of which nothing is known. Sidecars seldom fill an endpoint all at
/// once, so it is parted among them by a root.
#[derive(Clone, Copy)]
pub struct InitialLimit(f64);

impl InitialLimit {
    /// That of one of `instances`.
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
    /// One of which nothing is known.
    pub fn new(initial: InitialLimit) -> Self {
        Self { limit: initial.0 }
    }

    /// The limit.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether one more attempt would exceed the limit, or `share` of what all have in flight.
    pub fn is_full(&self, in_flight: usize, share: f64) -> bool {
        in_flight as f64 + 1.0 > share.min(self.limit).ceil()
    }

    /// Takes in an answer: up evenly while answers take less than `target` per unit of work, down
    /// in proportion beyond, so that sidecars that overload an endpoint together even out.
    pub fn adapt(&mut self, latency: f64, target: f64, limits_press: bool, initial: InitialLimit) {
        let step = (1.0 - latency / target).clamp(-MAX_STEPS_DOWN, 1.0) * LIMIT_STEP;
        if step < 0.0 || limits_press {
            let unit = if step > 0.0 { initial.0 } else { self.limit };
            self.limit = (self.limit + step * unit).clamp(MIN_LIMIT, MAX_LIMIT);
        }
    }

    /// Takes over a limit known before a restart, as far as it still counts.
    pub fn restore(&mut self, limit: f64, part_left: f64, initial: InitialLimit) {
        let restored = initial.0 + part_left * (limit - initial.0);
        self.limit = restored.clamp(MIN_LIMIT, MAX_LIMIT);
    }
}
