//! Rate-limits a log line, and counts the suppressed ones.

use std::time::Duration;
use tokio::time::Instant;

/// Permits one log line per interval and counts the others, for lines that external input can
/// cause.
#[derive(Debug)]
pub struct LogThrottle {
    interval: Duration,
    last: Option<Instant>,
    suppressed: u64,
}

impl LogThrottle {
    /// Permits one line per `interval`.
    pub const fn new(interval: Duration) -> Self {
        Self {
            interval,
            last: None,
            suppressed: 0,
        }
    }

    /// Whether a line may be written at `now`; if so, the number suppressed since the last one.
    pub fn allow(&mut self, now: Instant) -> Option<u64> {
        if self
            .last
            .is_some_and(|last| now.saturating_duration_since(last) < self.interval)
        {
            self.suppressed += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// The note appended to a line if others like it were suppressed before it.
pub fn suppressed_note(count: u64) -> String {
    if count == 0 {
        String::new()
    } else {
        format!(" ({count} like it left out)")
    }
}

#[cfg(test)]
mod tests;
