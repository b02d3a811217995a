//! The retry budget: how many retries the traffic has earned.

use super::token_bucket::TokenBucket;

/// Retries that one request earns.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Retries that the budget holds at most.
const MAX_RETRIES: f64 = 3.0;

/// Rations retries in an outage, in which every request would otherwise come back several times and
/// nothing recover.
pub struct RetryBudget(TokenBucket);

impl RetryBudget {
    /// A full budget.
    pub const fn full() -> Self {
        Self(TokenBucket::full(RETRIES_PER_REQUEST, MAX_RETRIES))
    }

    /// A request arrived.
    pub fn deposit(&mut self) {
        self.0.deposit();
    }

    /// Whether a retry is within the budget.
    pub fn allows_retry(&self) -> bool {
        self.0.has_token()
    }

    /// A retry was sent.
    pub fn withdraw(&mut self) {
        self.0.withdraw();
    }
}
