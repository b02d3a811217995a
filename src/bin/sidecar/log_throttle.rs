//! Rate-limits a log line, and counts the suppressed ones.

use std::time::Duration;
use tokio::time::Instant;

/// Lets one through in so much time and counts the others, for lines that input from outside can
/// bring about.
#[derive(Debug)]
pub struct LogThrottle {
    spacing: Duration,
    last: Option<Instant>,
    suppressed_note: u64,
}

impl LogThrottle {
    /// One in `spacing`.
    pub const fn new(spacing: Duration) -> Self {
        Self {
            spacing,
            last: None,
            suppressed_note: 0,
        }
    }

    /// Whether a line may be written at `now`, and how many were left out since the last that was.
    pub fn pass(&mut self, now: Instant) -> Option<u64> {
        if self
            .last
            .is_some_and(|last| now.saturating_duration_since(last) < self.spacing)
        {
            self.suppressed_note += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.suppressed_note))
    }
}

/// What is said behind a line, where others like it were left out since the last one.
pub fn suppressed_note(count: u64) -> String {
    if count == 0 {
        String::new()
    } else {
        format!(" ({count} like it left out)")
    }
}

#[cfg(test)]
mod tests;
