//! The host's clocks. Changes with where time is read.

use linenproxy_steward::core::Now;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Both clocks, read together; the first may be off by some milliseconds, for experiments.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant, i64);

impl Clock {
    pub fn new(offset_ms: i64) -> Self {
        Self(Instant::now(), offset_ms)
    }

    pub fn now(self) -> Now {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mono = self.0.elapsed();
        Now {
            unix_ms: i64::try_from(unix.as_millis()).unwrap_or(i64::MAX).saturating_add(self.1),
            mono_ms: u64::try_from(mono.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
