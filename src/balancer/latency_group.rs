//! The slowdown of a group of attempts.

use super::decayed_sum::DecayedSum;
use crate::api::{Micros, Timestamp};

/// Answers in the usual time that are counted in with those seen.
const ASSUMED_ANSWERS: f64 = 2.0;

/// How many times longer than usual a group of attempts takes: time spent by answer, as is usual
/// where some observations are cut off.
pub struct LatencyGroup {
    /// Time that ended attempts took, in usual times.
    time: DecayedSum,
    answers: DecayedSum,
    /// Time that attempts in flight have taken so far, in usual times.
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
    /// How many times slower than usual the group was at the last refresh.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Counts an attempt that took this many usual times, with an answer or without.
    pub fn record(&mut self, now: Timestamp, time: f64, answered: bool, window: Micros) {
        self.time.add(now, time, window);
        self.answers.add(now, f64::from(answered), window);
    }

    /// Counts an attempt in flight that has taken this many usual times, until the next refresh.
    pub fn add_in_flight(&mut self, time: f64) {
        self.in_flight += time;
    }

    /// Brings the slowdown up to date. What is in flight is counted anew from then on.
    pub fn refresh(&mut self, now: Timestamp, window: Micros) {
        let time = self.time.at(now, window);
        let answers = self.answers.at(now, window);
        let in_flight = std::mem::take(&mut self.in_flight);
        self.slowdown = (ASSUMED_ANSWERS + time + in_flight) / (ASSUMED_ANSWERS + answers);
    }
}
