//! The trial budget: how many requests may test open circuits while others are closed.

use super::token_bucket::TokenBucket;

/// Trial requests that one request earns.
const TRIALS_PER_REQUEST: f64 = 0.05;
/// Trial requests that the budget holds at most.
const MAX_TRIALS: f64 = 1.0;

/// Keeps many open circuits from making a trial of every other request.
pub struct TrialBudget(TokenBucket);

impl TrialBudget {
    /// A full budget.
    pub const fn full() -> Self {
        Self(TokenBucket::full(TRIALS_PER_REQUEST, MAX_TRIALS))
    }

    /// A request arrived.
    pub fn deposit(&mut self) {
        self.0.deposit();
    }

    /// Whether a trial request is within the budget.
    pub fn allows_trial(&self) -> bool {
        self.0.has_token()
    }

    /// A trial request was sent.
    pub fn withdraw(&mut self) {
        self.0.withdraw();
    }
}
