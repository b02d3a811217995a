//! The retry budget: bounds retries in proportion to the traffic.

use super::token_bucket::TokenBucket;

/// Retries that one request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Maximum number of retries in the budget.
const MAX_RETRIES: f64 = 3.0;

/// Limits retries during an outage, in which every request would otherwise be sent several times
/// and prevent recovery.
pub struct RetryBudget(TokenBucket);

impl RetryBudget {
    /// Creates a full budget.
    pub const fn full() -> Self {
        Self(TokenBucket::full(RETRIES_PER_REQUEST, MAX_RETRIES))
    }

    /// Adds the share of a new request.
    pub fn deposit(&mut self) {
        self.0.deposit();
    }

    /// Returns whether a retry is within the budget.
    pub fn allows_retry(&self) -> bool {
        self.0.has_token()
    }

    /// Deducts a retry.
    pub fn withdraw(&mut self) {
        self.0.withdraw();
    }
}
