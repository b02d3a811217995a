//! How long an attempt may take.

use super::backoff;
use super::endpoint::Endpoint;
use super::request::Request;
use crate::api::*;

/// Expected times that the time-out of an attempt leaves it at least, where retries are planned.
const PATIENCE_IN_EXPECTED_TIMES: f64 = 8.0;
/// Retries that are planned at most.
const MAX_PLANNED_RETRIES: u32 = 9;

impl super::Balancer {
    /// Time-out of the next attempt: as many retries as leave each attempt its patience, with
    /// (retries + 1) x time-out + retries x longest backoff inside the time that is left.
    pub(super) fn attempt_timeout(
        &self,
        now: Timestamp,
        request: &Request,
        endpoint: &Endpoint,
    ) -> Micros {
        let left = (request.deadline - now) as f64;
        let backoff = backoff::longest(request.objective);
        let latency = self.latency.slower_of(endpoint);
        let patience = PATIENCE_IN_EXPECTED_TIMES * request.work * latency;
        let for_each = |retries: f64| (left - retries * backoff) / (retries + 1.0);
        let may_repeat = self.settings.classes[request.class].effect != Effect::Unsafe;
        let attempts = request.attempts.len() as u32 + 1;
        let spare = self.settings.limits.max_attempts.saturating_sub(attempts);
        let retries = (1..=spare.min(MAX_PLANNED_RETRIES))
            .rev()
            .map(f64::from)
            .find(|retries| may_repeat && for_each(*retries) >= patience);
        for_each(retries.unwrap_or(0.0)).max(1.0) as Micros
    }
}
