//! Which part of what was sent of late was answered in time.

use super::decayed_sum::DecayedSum;
use crate::api::{Micros, Timestamp};

/// What the sum of all limits is exceeded by, beyond one request, when all that was sent came back
/// in time.
const MAX_EXTRA_CONCURRENCY: f64 = 4.0;
/// Requests counted as good in any case.
const ASSUMED_GOOD: f64 = 1.0;
/// How fast the extra concurrency falls with the part answered in time.
const EXTRA_EXPONENT: i32 = 4;

/// Requests that were sent, and those of them answered in time.
pub struct Goodput {
    window: Micros,
    sent: DecayedSum,
    in_time: DecayedSum,
}

impl Goodput {
    /// Counts over a window.
    pub fn new(window: Micros) -> Self {
        Self {
            window,
            sent: DecayedSum::default(),
            in_time: DecayedSum::default(),
        }
    }

    /// A request that was sent at least once is over.
    pub fn record(&mut self, now: Timestamp, in_time: bool) {
        self.sent.add(now, 1.0, self.window);
        self.in_time.add(now, f64::from(in_time), self.window);
    }

    /// Attempts that may be in flight whatever the limits say, from 1 to 5: many while what was
    /// sent of late came back in time, as a quiet fleet would otherwise reject what comes in twos
    /// and threes; few while it fails.
    pub fn min_concurrency(&self, now: Timestamp) -> f64 {
        let sent = ASSUMED_GOOD + self.sent.at(now, self.window);
        let in_time = ASSUMED_GOOD + self.in_time.at(now, self.window);
        1.0 + MAX_EXTRA_CONCURRENCY * (in_time / sent).powi(EXTRA_EXPONENT)
    }
}
