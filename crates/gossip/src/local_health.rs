//! Local health: whether this member's own timers keep time.
//!
//! A member that is starved of processor time misses answers that came in time and takes others for
//! dead (Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
//! Detection", DSN-W 2018), so it suspects itself first.

use crate::{Micros, SECOND};

/// A timer that is later than this is late: twice the pause of a busy tick.
pub const LATE: Micros = SECOND / 5;
/// Lateness that one timer adds at most: beyond, a long stop would be remembered for long.
const MAX_LATENESS: f64 = 2.0;
/// Seconds of lateness from which on it is unwell, and below which it is well again.
const DEGRADED_FROM: f64 = 1.0;
const WELL: f64 = 0.2;
/// Seconds of it that are forgotten a second: a fifth of the time late is too much.
const FORGOTTEN: f64 = 0.2;

/// How late it has been.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalHealth {
    lateness: f64,
    at: Option<Micros>,
    degraded: bool,
}

impl LocalHealth {
    /// A timer that was due then runs now. True where so much was missed that what was last heard
    /// says nothing.
    pub fn woke(&mut self, now: Micros, due: Micros) -> bool {
        let Some(at) = self.at.replace(now) else {
            return true;
        };
        let gone = (now - at).max(0) as f64 / SECOND as f64;
        self.lateness = (self.lateness - gone * FORGOTTEN).max(0.0);
        let late = now - due;
        if late > LATE {
            self.lateness += (late as f64 / SECOND as f64).min(MAX_LATENESS);
        }
        self.degraded = self.lateness >= if self.degraded { WELL } else { DEGRADED_FROM };
        late > LATE
    }

    /// It should not believe what it sees.
    pub fn degraded(&self) -> bool {
        self.degraded
    }
}

#[cfg(test)]
mod tests;
