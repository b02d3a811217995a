//! The trial budget: limits the trial requests to open circuits while other circuits are closed.

use super::token_bucket::TokenBucket;

/// Trial requests that one request adds to the budget.
const TRIALS_PER_REQUEST: f64 = 0.05;
/// Maximum number of trial requests in the budget.
const MAX_TRIALS: f64 = 1.0;

/// Prevents many open circuits from turning a large part of the traffic into trial requests.
pub struct TrialBudget(TokenBucket);

impl TrialBudget {
    /// Creates a full budget.
    pub const fn full() -> Self {
        Self(TokenBucket::full(TRIALS_PER_REQUEST, MAX_TRIALS))
    }

    /// Adds the share of a new request.
    pub fn deposit(&mut self) {
        self.0.deposit();
    }

    /// Returns whether a trial request is within the budget.
    pub fn allows_trial(&self) -> bool {
        self.0.has_token()
    }

    /// Deducts a trial request.
    pub fn withdraw(&mut self) {
        self.0.withdraw();
    }
}
