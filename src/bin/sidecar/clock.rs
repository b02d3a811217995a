//! The clock of the decision module.

use load_balancer::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The clock of the decision module: the Unix time of the start, advanced by the monotonic clock,
/// so that setting the system's clock changes nothing and external Unix times need no conversion.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_us: Micros,
}

impl Clock {
    /// Starts the clock.
    pub fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Instant::now(),
            start_us: Micros::try_from(unix.as_micros()).unwrap_or(0),
        }
    }

    /// The current time on this clock.
    pub fn now(&self) -> Micros {
        self.start_us.saturating_add(
            Micros::try_from(self.start.elapsed().as_micros()).unwrap_or(Micros::MAX),
        )
    }

    /// The runtime's instant for a time on this clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start
            + Duration::from_micros(u64::try_from(at.saturating_sub(self.start_us)).unwrap_or(0))
    }
}
