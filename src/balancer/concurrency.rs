//! Attempts in flight over all endpoints, compared with the sum of their limits.

use super::endpoint::Endpoint;

/// Utilization of the sum of all limits above which limits may rise.
const MIN_UTILIZATION_FOR_RISE: f64 = 0.6;
/// Attempts in flight and limits over all endpoints with a closed circuit.
#[derive(Clone, Copy)]
pub struct Concurrency {
    /// Attempts in flight, including the one about to be sent.
    pub in_flight: f64,
    /// Sum of the limits.
    pub limits: f64,
}

impl Concurrency {
    /// Returns the total over all endpoints that receive traffic.
    pub fn of(endpoints: &[Endpoint]) -> Self {
        let available = endpoints.iter().filter(|endpoint| endpoint.takes_traffic());
        let empty = Self {
            in_flight: 1.0,
            limits: 0.0,
        };
        available.fold(empty, |sum, endpoint| Self {
            in_flight: sum.in_flight + endpoint.in_flight.len() as f64,
            limits: sum.limits + endpoint.bulkhead.limit(),
        })
    }

    /// Returns whether the limits are used enough to justify raising them.
    pub fn limits_in_use(self) -> bool {
        self.in_flight + 1.0 > MIN_UTILIZATION_FOR_RISE * self.limits
    }
}
