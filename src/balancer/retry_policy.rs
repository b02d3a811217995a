//! The retry policy: whether and when a request gets another attempt.

use super::backoff;
use super::event_log::GiveUpReason;
use super::request::{Request, RequestState};
use super::time::after;
use super::timers::Wake;
use crate::api::*;

/// Returns the instant until which an attempt may start and its answer still has value.
fn useful_deadline(class: &Class, request: &Request) -> Timestamp {
    let deadline = if class.late_value > 0.0 {
        request.deadline
    } else {
        after(request.arrived, request.objective)
    };
    deadline.min(request.deadline)
}

/// Returns whether the class and the limits allow another attempt.
fn may_retry(settings: &Settings, request: &Request) -> bool {
    let attempts = request.failures.max(request.attempts.len() as u32);
    let may_repeat = settings.classes[request.class].effect != Effect::NonIdempotent;
    attempts < settings.limits.max_attempts && (may_repeat || !request.may_have_run())
}

impl super::Balancer {
    /// Handles a failed attempt, or the lack of an endpoint: the request is retried after its
    /// backoff as long as attempts, the retry budget and useful time remain. Otherwise it is given
    /// up.
    pub(super) fn retry_or_give_up(
        &mut self,
        now: Timestamp,
        id: RequestId,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.failures += 1;
        let backoff = backoff::backoff_after(request.failures, request.objective, &mut self.rng);
        let retry_at = after(now, backoff);
        let class = &self.settings.classes[request.class];
        let in_time = retry_at < useful_deadline(class, request);
        let allowed = may_retry(&self.settings, request) && self.retry_budget.allows_retry();
        if !allowed || !in_time {
            return self.give_up(now, id, GiveUpReason::Failing, out);
        }
        self.queue.remove(&request.queue_position(id));
        request.state = RequestState::Backoff;
        self.timers.set(retry_at, Wake::Retry(id));
    }
}
