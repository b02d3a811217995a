//! A token bucket that is refilled over time.

use crate::{Micros, SECOND};

/// The available tokens.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    updated_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Micros, capacity: f64) -> Self {
        Self {
            tokens: capacity,
            updated_at: now,
        }
    }

    /// Takes a token if one is available; the bucket is refilled at `rate` per second up to
    /// `capacity`.
    pub fn take(&mut self, now: Micros, rate: f64, capacity: f64) -> bool {
        let refilled = (now - self.updated_at).max(0) as f64 / SECOND as f64 * rate;
        (self.tokens, self.updated_at) = ((self.tokens + refilled).min(capacity), now);
        let available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(available));
        available
    }
}
