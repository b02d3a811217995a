//! The timeout of an attempt.

use super::backoff;
use super::endpoint::Endpoint;
use super::request::Request;
use crate::api::*;

/// Minimum timeout, in expected latencies of the request, when retries are planned.
const MIN_TIMEOUT_IN_EXPECTED_LATENCIES: f64 = 8.0;
/// Upper bound of the number of retries that a timeout leaves time for.
const MAX_PLANNED_RETRIES: u32 = 9;

impl super::Balancer {
    /// Returns the timeout of the next attempt in microseconds. It leaves time for as many retries
    /// as possible while each attempt still gets the minimum timeout: (retries + 1) x timeout +
    /// retries x longest backoff fits into the remaining time.
    pub(super) fn attempt_timeout(
        &self,
        now: Timestamp,
        request: &Request,
        endpoint: &Endpoint,
    ) -> Micros {
        let remaining = (request.deadline - now) as f64;
        let backoff = backoff::max_backoff(request.objective);
        let latency = self.latency_estimator.slower_of(endpoint);
        let min_timeout = MIN_TIMEOUT_IN_EXPECTED_LATENCIES * request.work * latency;
        let timeout_with = |retries: f64| (remaining - retries * backoff) / (retries + 1.0);
        let may_repeat = self.settings.classes[request.class].effect != Effect::NonIdempotent;
        let attempts_including_this = request.attempts.len() as u32 + 1;
        let retries_left = self
            .settings
            .limits
            .max_attempts
            .saturating_sub(attempts_including_this);
        let retries = (1..=retries_left.min(MAX_PLANNED_RETRIES))
            .rev()
            .map(f64::from)
            .find(|retries| may_repeat && timeout_with(*retries) >= min_timeout);
        timeout_with(retries.unwrap_or(0.0)).max(1.0) as Micros
    }
}
