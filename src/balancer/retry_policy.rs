//! The retry policy: whether a request gets a further attempt, and when.

use super::backoff;
use super::event_log::GiveUpReason;
use super::request::{Request, RequestState};
use super::time::after;
use super::timers::Wake;
use crate::api::*;

/// Until when an attempt may begin and still earn something.
fn useful_until(class: &Class, request: &Request) -> Timestamp {
    let useful = if class.late_value > 0.0 {
        request.deadline
    } else {
        after(request.arrived, request.objective)
    };
    useful.min(request.deadline)
}

/// Whether a class and the limits allow a further attempt.
fn may_retry(settings: &Settings, request: &Request) -> bool {
    let attempts = request.failures.max(request.attempts.len() as u32);
    let repeats = settings.classes[request.class].effect != Effect::Unsafe;
    attempts < settings.limits.max_attempts && (repeats || !request.may_have_run())
}

impl super::Balancer {
    /// After a failed attempt, or with no endpoint to send it to: the request waits for its backoff
    /// and is tried again, as long as attempts, the retry budget and useful time last. Otherwise it
    /// is given up.
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
        let backoff = backoff::after_failures(request.failures, request.objective, &mut self.rng);
        let retry_at = after(now, backoff);
        let class = &self.settings.classes[request.class];
        let in_time = retry_at < useful_until(class, request);
        let allowed = may_retry(&self.settings, request) && self.retry_budget.allows_retry();
        if !allowed || !in_time {
            return self.give_up(now, id, GiveUpReason::Failing, out);
        }
        self.queue.remove(&request.queue_position(id));
        request.state = RequestState::Backoff;
        self.timers.set(retry_at, Wake::Retry(id));
    }
}
