//! Local health: whether the timers of this member fire on time.
//!
//! A member that is short of processor time misses answers that arrived in time and would declare
//! other members down (Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More
//! Accurate Failure Detection", DSN-W 2018), so it suspects itself first.

use crate::{Micros, SECOND};

/// A timer that fires later than this is late: twice the active tick interval.
pub const LATE_THRESHOLD: Micros = SECOND / 5;
/// Maximum lateness that one timer adds, in seconds: otherwise a long suspension would count for
/// too long.
const MAX_LATENESS: f64 = 2.0;
/// Accumulated lateness in seconds from which on the member is degraded, and below which it has
/// recovered.
const DEGRADED_ABOVE: f64 = 1.0;
const RECOVERED_BELOW: f64 = 0.2;
/// Lateness that is forgotten per second: being late for more than a fifth of the time is too much.
const LATENESS_DECAY_PER_SECOND: f64 = 0.2;

/// Accumulated lateness of timers.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalHealth {
    lateness: f64,
    last_wakeup: Option<Micros>,
    degraded: bool,
}

impl LocalHealth {
    /// Records that a timer due at `due` fired at `now`. Returns true if it was so late that
    /// earlier contacts say nothing any more.
    pub fn record_wakeup(&mut self, now: Micros, due: Micros) -> bool {
        let Some(last_wakeup) = self.last_wakeup.replace(now) else {
            return true;
        };
        let elapsed_seconds = (now - last_wakeup).max(0) as f64 / SECOND as f64;
        self.lateness = (self.lateness - elapsed_seconds * LATENESS_DECAY_PER_SECOND).max(0.0);
        let lateness = now - due;
        if lateness > LATE_THRESHOLD {
            self.lateness += (lateness as f64 / SECOND as f64).min(MAX_LATENESS);
        }
        self.degraded = self.lateness
            >= if self.degraded {
                RECOVERED_BELOW
            } else {
                DEGRADED_ABOVE
            };
        lateness > LATE_THRESHOLD
    }

    /// Returns whether the observations of this member are unreliable.
    pub fn is_degraded(&self) -> bool {
        self.degraded
    }
}

#[cfg(test)]
mod tests;
