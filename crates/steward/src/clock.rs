//! The host's clocks. Changes with where time is read.

use linenproxy_steward::core::Now;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Both clocks, read together.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    pub fn new() -> Self {
        Self(Instant::now())
    }

    pub fn now(self) -> Now {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mono = self.0.elapsed();
        Now {
            unix_ms: i64::try_from(unix.as_millis()).unwrap_or(i64::MAX),
            mono_ms: u64::try_from(mono.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
