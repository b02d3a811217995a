//! A token bucket that is filled by requests instead of by time.

/// Tokens that requests add and that certain attempts cost.
#[derive(Clone, Copy)]
pub struct TokenBucket {
    tokens: f64,
    per_request: f64,
    capacity: f64,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub const fn full(per_request: f64, capacity: f64) -> Self {
        Self {
            tokens: capacity,
            per_request,
            capacity,
        }
    }

    /// Adds the tokens of a new request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.per_request).min(self.capacity);
    }

    /// Returns whether a token is available.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Removes a token. The balance may become negative if the caller did not check it first.
    pub fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}
