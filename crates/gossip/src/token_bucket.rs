//! A token bucket over time.

use crate::{Micros, SECOND};

/// What may still be done.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    left: f64,
    at: Micros,
}

impl TokenBucket {
    /// Full from the start.
    pub fn new(now: Micros, most: f64) -> Self {
        Self {
            left: most,
            at: now,
        }
    }

    /// Takes one where there is one: `rate` come a second, up to `most`.
    pub fn take(&mut self, now: Micros, rate: f64, most: f64) -> bool {
        let gained = (now - self.at).max(0) as f64 / SECOND as f64 * rate;
        (self.left, self.at) = ((self.left + gained).min(most), now);
        let has = self.left >= 1.0;
        self.left -= f64::from(u8::from(has));
        has
    }
}
