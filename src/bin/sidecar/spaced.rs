//! Rate-limits a log line, and counts the suppressed ones.

use std::time::Duration;
use tokio::time::Instant;

/// Lets one through in so much time and counts the others, for lines that input from outside can bring about.
#[derive(Debug)]
pub struct Spaced {
    spacing: Duration,
    last: Option<Instant>,
    left_out: u64,
}

impl Spaced {
    /// One in `spacing`.
    pub const fn new(spacing: Duration) -> Self {
        Self {
            spacing,
            last: None,
            left_out: 0,
        }
    }

    /// Whether a line may be written at `now`, and how many were left out since the last that was.
    pub fn pass(&mut self, now: Instant) -> Option<u64> {
        if self
            .last
            .is_some_and(|last| now.saturating_duration_since(last) < self.spacing)
        {
            self.left_out += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.left_out))
    }
}

/// What is said behind a line, where others like it were left out since the last one.
pub fn left_out(count: u64) -> String {
    if count == 0 {
        String::new()
    } else {
        format!(" ({count} like it left out)")
    }
}

#[cfg(test)]
mod tests;
