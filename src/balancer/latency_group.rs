//! Slowdown of a group of attempts.

use super::decayed_sum::DecayedSum;
use crate::api::{Micros, Timestamp};

/// Answers of normal latency that are assumed in addition to the observed ones.
const ASSUMED_ANSWERS: f64 = 2.0;

/// How many times longer than expected the attempts of a group take: total time divided by answers,
/// which also counts attempts that were cut off without an answer.
pub struct LatencyGroup {
    /// Time that ended attempts took, in expected latencies.
    time: DecayedSum,
    answers: DecayedSum,
    /// Time that attempts in flight have taken so far, in expected latencies.
    in_flight: f64,
    slowdown: f64,
}

impl Default for LatencyGroup {
    fn default() -> Self {
        Self {
            time: DecayedSum::default(),
            answers: DecayedSum::default(),
            in_flight: 0.0,
            slowdown: 1.0,
        }
    }
}

impl LatencyGroup {
    /// Returns how many times slower than expected the group was at the last refresh.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Records an attempt that took `time` expected latencies, with or without an answer.
    pub fn record(&mut self, now: Timestamp, time: f64, answered: bool, window: Micros) {
        self.time.add(now, time, window);
        self.answers.add(now, f64::from(answered), window);
    }

    /// Counts an attempt in flight that has taken `time` expected latencies, until the next
    /// refresh.
    pub fn add_in_flight(&mut self, time: f64) {
        self.in_flight += time;
    }

    /// Updates the slowdown, and resets the count of attempts in flight.
    pub fn refresh(&mut self, now: Timestamp, window: Micros) {
        let time = self.time.value_at(now, window);
        let answers = self.answers.value_at(now, window);
        let in_flight = std::mem::take(&mut self.in_flight);
        self.slowdown = (ASSUMED_ANSWERS + time + in_flight) / (ASSUMED_ANSWERS + answers);
    }
}
