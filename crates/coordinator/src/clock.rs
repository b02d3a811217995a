//! The wall clock and the monotonic clock of the process.

use load_balancer_coordinator::core::Now;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Both clocks of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// Offset added to Unix time, in milliseconds.
    offset_ms: i64,
}

impl Clock {
    pub fn new(offset_ms: i64) -> Self {
        Self {
            started: Instant::now(),
            offset_ms,
        }
    }

    pub fn now(self) -> Now {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let elapsed = self.started.elapsed();
        Now {
            unix_ms: i64::try_from(unix.as_millis())
                .unwrap_or(i64::MAX)
                .saturating_add(self.offset_ms),
            mono_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
