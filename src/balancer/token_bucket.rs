//! A token bucket that is filled by requests rather than by time.

/// Tokens that requests earn and that certain attempts cost.
#[derive(Clone, Copy)]
pub struct TokenBucket {
    tokens: f64,
    per_request: f64,
    capacity: f64,
}

impl TokenBucket {
    /// A full bucket.
    pub const fn full(per_request: f64, capacity: f64) -> Self {
        Self {
            tokens: capacity,
            per_request,
            capacity,
        }
    }

    /// A request arrived.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.per_request).min(self.capacity);
    }

    /// Whether an attempt may take a token.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// An attempt that costs a token was sent. The bucket may run into debt where the caller did
    /// not ask first.
    pub fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}
