//! What is in flight in all, against the limits of all endpoints.

use super::endpoint::Endpoint;

/// Part of the sum of all limits that must be in use for limits to rise.
const RISE_FROM_UTILIZATION: f64 = 0.6;
/// What is in flight over closed circuits, against the limits there.
#[derive(Clone, Copy)]
pub struct Concurrency {
    /// Attempts in flight, one more counted in.
    pub in_flight: f64,
    /// Sum of the limits.
    pub limits: f64,
}

impl Concurrency {
    /// That of all endpoints that take traffic.
    pub fn of(endpoints: &[Endpoint]) -> Self {
        let open = endpoints.iter().filter(|endpoint| endpoint.takes_traffic());
        let none = Self {
            in_flight: 1.0,
            limits: 0.0,
        };
        open.fold(none, |sum, endpoint| Self {
            in_flight: sum.in_flight + endpoint.in_flight.len() as f64,
            limits: sum.limits + endpoint.bulkhead.limit(),
        })
    }

    /// Whether enough of the limits is in use that more would be.
    pub fn presses(self) -> bool {
        self.in_flight + 1.0 > RISE_FROM_UTILIZATION * self.limits
    }
}
