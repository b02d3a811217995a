//! Sums whose older parts lose weight exponentially.

use crate::api::{Micros, Timestamp};

/// A rate is taken over at least this part of the window: a sum that has just begun says little.
const MIN_PART_OF_WINDOW: f64 = 0.125;

/// A sum of which after one window about a third is left.
#[derive(Clone, Copy, Default)]
pub struct DecayedSum {
    total: f64,
    updated: Timestamp,
    since: Option<Timestamp>,
}

impl DecayedSum {
    /// Adds to the sum as it has decayed by now.
    pub fn add(&mut self, now: Timestamp, amount: f64, window: Micros) {
        self.total = self.at(now, window) + amount;
        self.updated = now;
        self.since.get_or_insert(now);
    }

    /// Adds to the sum as it was at its last update.
    pub fn add_undecayed(&mut self, amount: f64) {
        self.total += amount;
    }

    /// The sum as it was at its last update.
    pub fn last(&self) -> f64 {
        self.total
    }

    /// The sum as it has decayed by now.
    pub fn at(&self, now: Timestamp, window: Micros) -> f64 {
        self.total * part_left(now, self.updated, window)
    }

    /// What was added in a microsecond of late.
    pub fn rate(&self, now: Timestamp, window: Micros) -> f64 {
        let decayed = 1.0 - part_left(now, self.since.unwrap_or(now), window);
        self.at(now, window) / (window.max(1) as f64 * decayed.max(MIN_PART_OF_WINDOW))
    }
}

/// The weight that an observation made `then` has now; after one window about a third.
pub fn part_left(now: Timestamp, then: Timestamp, window: Micros) -> f64 {
    (-(now.saturating_sub(then).max(0) as f64) / window.max(1) as f64).exp()
}
