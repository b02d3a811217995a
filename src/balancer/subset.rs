//! The endpoint subset: among how many endpoints first attempts go round.

use super::decayed_sum::DecayedSum;
use crate::api::{Micros, Timestamp};

/// Part of the memory in which first attempts must come round to an endpoint: with two rounds an
/// outcome there is judged along with the one before.
const ROUND_PART_OF_MEMORY: f64 = 0.5;
/// Rounds over which first attempts are counted: over few their rate swings by a quarter at 16
/// requests a second.
const ROUNDS_COUNTED: f64 = 16.0;
/// Endpoints used at the least.
const MIN_ENDPOINTS: f64 = 8.0;

/// An instance with little traffic that used all endpoints would hold a connection to each and
/// hardly ever use it: a thousand instances so fill every endpoint's table, and none learns
/// anything of an endpoint before it changes.
pub struct EndpointSubset {
    /// Time in which all endpoints of the subset are to be picked, in microseconds.
    round: f64,
    first_attempts: DecayedSum,
}

impl EndpointSubset {
    /// Rounds within the time constant of what is learnt.
    pub fn new(memory: Micros) -> Self {
        Self {
            round: ROUND_PART_OF_MEMORY * memory as f64,
            first_attempts: DecayedSum::default(),
        }
    }

    fn window(&self) -> Micros {
        (self.round * ROUNDS_COUNTED) as Micros
    }

    /// A request came. A rejected client's retry is no new traffic: it would lead on to ever more
    /// of the fleet.
    pub fn record_request(&mut self, now: Timestamp, is_retry: bool) {
        let amount = f64::from(!is_retry);
        self.first_attempts.add(now, amount, self.window());
    }

    /// First attempts a microsecond, of late.
    fn rate(&self, now: Timestamp) -> f64 {
        self.first_attempts.rate(now, self.window())
    }

    /// How many of `endpoints` first attempts go round.
    pub fn size(&self, now: Timestamp, endpoints: usize) -> f64 {
        let wanted = (self.rate(now) * self.round).max(MIN_ENDPOINTS);
        wanted.min(endpoints as f64)
    }

    /// Microseconds from one pick of an endpoint to its next.
    pub fn round_time(&self, now: Timestamp, endpoints: usize) -> f64 {
        self.size(now, endpoints) / self.rate(now)
    }
}

impl super::Balancer {
    /// How many endpoints first attempts go round.
    pub(super) fn subset_size(&self, now: Timestamp) -> f64 {
        self.subset.size(now, self.rotation.len())
    }
}
