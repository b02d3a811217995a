//! The endpoint subset: how many endpoints of the rotation first attempts use.

use super::decayed_sum::DecayedSum;
use crate::api::{Micros, Timestamp};

/// Duration of one round of first attempts over the subset, as a fraction of the time constant:
/// with two rounds per time constant an outcome is combined with the previous one at its endpoint.
const ROUND_FRACTION_OF_TIME_CONSTANT: f64 = 0.5;
/// Window over which first attempts are counted, in rounds: over a shorter one their rate
/// fluctuates by a quarter at 16 requests per second.
const WINDOW_IN_ROUNDS: f64 = 16.0;
/// Minimum number of endpoints in use.
const MIN_ENDPOINTS: f64 = 8.0;

/// Limits the number of endpoints in use by the traffic of the instance. An instance with little
/// traffic that used all endpoints would hold a rarely used connection to each: a thousand
/// instances would fill the connection table of every endpoint, and none would learn anything about
/// an endpoint before it changes.
pub struct EndpointSubset {
    /// Time in which each endpoint of the subset is to be picked once, in microseconds.
    round_duration: f64,
    first_attempts: DecayedSum,
}

impl EndpointSubset {
    /// Creates a subset whose rounds fit into the time constant of the estimates.
    pub fn new(time_constant: Micros) -> Self {
        Self {
            round_duration: ROUND_FRACTION_OF_TIME_CONSTANT * time_constant as f64,
            first_attempts: DecayedSum::default(),
        }
    }

    fn window(&self) -> Micros {
        (self.round_duration * WINDOW_IN_ROUNDS) as Micros
    }

    /// Records a request. A retry of a rejected client is not new traffic: counting it would make
    /// the instance use ever more of the fleet.
    pub fn record_request(&mut self, now: Timestamp, is_retry: bool) {
        let amount = f64::from(!is_retry);
        self.first_attempts.add(now, amount, self.window());
    }

    /// Returns the recent rate of first attempts per microsecond.
    fn rate(&self, now: Timestamp) -> f64 {
        self.first_attempts.rate(now, self.window())
    }

    /// Returns how many of `endpoints` first attempts use.
    pub fn size(&self, now: Timestamp, endpoints: usize) -> f64 {
        let size = (self.rate(now) * self.round_duration).max(MIN_ENDPOINTS);
        size.min(endpoints as f64)
    }

    /// Returns the time between two picks of one endpoint, in microseconds.
    pub fn round_time(&self, now: Timestamp, endpoints: usize) -> f64 {
        self.size(now, endpoints) / self.rate(now)
    }
}

impl super::Balancer {
    /// Returns how many endpoints first attempts use.
    pub(super) fn subset_size(&self, now: Timestamp) -> f64 {
        self.subset.size(now, self.rotation.len())
    }
}
