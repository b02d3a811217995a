//! Goodput: the fraction of the recently sent requests that was answered in time.

use super::decayed_sum::DecayedSum;
use crate::api::{Micros, Timestamp};

/// Attempts in flight that are allowed regardless of the limits, in addition to one, when all
/// requests are answered in time.
const MAX_EXTRA_CONCURRENCY: f64 = 4.0;
/// Requests counted as answered in time in addition to the observed ones.
const ASSUMED_IN_TIME: f64 = 1.0;
/// Exponent with which the additional concurrency falls with the goodput.
const EXTRA_EXPONENT: i32 = 4;

/// Counts the requests that were sent, and those of them that were answered in time.
pub struct Goodput {
    window: Micros,
    sent: DecayedSum,
    in_time: DecayedSum,
}

impl Goodput {
    /// Creates counts that decay over a window.
    pub fn new(window: Micros) -> Self {
        Self {
            window,
            sent: DecayedSum::default(),
            in_time: DecayedSum::default(),
        }
    }

    /// Records the end of a request that was sent at least once.
    pub fn record(&mut self, now: Timestamp, in_time: bool) {
        self.sent.add(now, 1.0, self.window);
        self.in_time.add(now, f64::from(in_time), self.window);
    }

    /// Returns the number of attempts that may be in flight regardless of the limits, from 1 to 5.
    /// It is high while recent requests were answered in time, because a quiet fleet would
    /// otherwise reject requests that arrive in twos and threes, and low while they fail.
    pub fn min_concurrency(&self, now: Timestamp) -> f64 {
        let sent = ASSUMED_IN_TIME + self.sent.value_at(now, self.window);
        let in_time = ASSUMED_IN_TIME + self.in_time.value_at(now, self.window);
        1.0 + MAX_EXTRA_CONCURRENCY * (in_time / sent).powi(EXTRA_EXPONENT)
    }
}
