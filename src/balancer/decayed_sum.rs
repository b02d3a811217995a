//! Sums whose older contributions decay exponentially.

use crate::api::{Micros, Timestamp};

/// Minimum duration of a rate as a fraction of the window: a sum that has just begun says little.
const MIN_FRACTION_OF_WINDOW: f64 = 0.125;

/// A sum that decays to about a third after one window.
#[derive(Clone, Copy, Default)]
pub struct DecayedSum {
    total: f64,
    updated: Timestamp,
    started: Option<Timestamp>,
}

impl DecayedSum {
    /// Adds to the sum, which decays until `now` first.
    pub fn add(&mut self, now: Timestamp, amount: f64, window: Micros) {
        self.total = self.value_at(now, window) + amount;
        self.updated = now;
        self.started.get_or_insert(now);
    }

    /// Adds to the sum without decaying it first.
    pub fn add_undecayed(&mut self, amount: f64) {
        self.total += amount;
    }

    /// Returns the sum as of its last update.
    pub fn last_value(&self) -> f64 {
        self.total
    }

    /// Returns the sum as decayed until `now`.
    pub fn value_at(&self, now: Timestamp, window: Micros) -> f64 {
        self.total * decay_factor(now, self.updated, window)
    }

    /// Returns the recent rate of additions per microsecond.
    pub fn rate(&self, now: Timestamp, window: Micros) -> f64 {
        let decayed_fraction = 1.0 - decay_factor(now, self.started.unwrap_or(now), window);
        self.value_at(now, window)
            / (window.max(1) as f64 * decayed_fraction.max(MIN_FRACTION_OF_WINDOW))
    }
}

/// Returns the weight at `now` of an observation made at `observed_at`: about a third after one
/// window.
pub fn decay_factor(now: Timestamp, observed_at: Timestamp, window: Micros) -> f64 {
    (-(now.saturating_sub(observed_at).max(0) as f64) / window.max(1) as f64).exp()
}
