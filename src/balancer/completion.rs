//! How attempts and requests end: the consequences of an outcome, the final answers, and the
//! removal of ended requests.

use super::Balancer;
use super::endpoint::InFlight;
use super::event_log::GiveUpReason;
use super::request::{Request, RequestState};
use super::timers::Wake;
use crate::api::*;

/// Time for which a rejected client should stay away, as a fraction of the latency objective:
/// circuits and queues have changed by then.
const RETRY_AFTER_FRACTION_OF_OBJECTIVE: f64 = 0.25;

impl Balancer {
    /// Handles the end of an attempt: updates the estimates, then answers the request, or retries
    /// it if it has no other attempt in flight.
    pub(super) fn attempt_ended(&mut self, now: Timestamp, end: AttemptEnd, out: &mut Vec<Action>) {
        let Some(attempt) = self.remove_in_flight(&end) else {
            return;
        };
        // The outcome of an attempt at a process that has since been replaced says nothing about
        // the new process.
        if self.endpoints[end.endpoint].started == attempt.process_started {
            self.record_outcome(now, end, &attempt, out);
        }
        let Some(request) = self.requests.get_mut(&end.request) else {
            return;
        };
        let ended = &mut request.attempts[end.attempt as usize];
        ended.in_flight = false;
        ended.may_have_run = !end.outcome.never_ran();
        let served = end.outcome == Outcome::Ok;
        if end.request_answered || served {
            let in_time = served && (now - request.arrived) as f64 <= request.objective;
            self.remove(now, end.request, in_time, out);
        } else if request.state == RequestState::Sent && request.in_flight() == 0 {
            self.retry_or_give_up(now, end.request, out);
        }
    }

    /// Removes an attempt from its endpoint. Returns `None` if it is not in flight there.
    fn remove_in_flight(&mut self, end: &AttemptEnd) -> Option<InFlight> {
        let in_flight = &mut self.endpoints.get_mut(end.endpoint)?.in_flight;
        let position = in_flight
            .iter()
            .position(|attempt| attempt.request == end.request && attempt.attempt == end.attempt)?;
        Some(in_flight.swap_remove(position))
    }

    /// Sends the final answer of a request that is given up: a rejection if the client may safely
    /// repeat it, otherwise a failure.
    pub(super) fn give_up(
        &mut self,
        now: Timestamp,
        id: RequestId,
        reason: GiveUpReason,
        out: &mut Vec<Action>,
    ) {
        self.log.record_given_up(now, reason, out);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        out.push(if self.is_harmless_to_repeat(request) {
            Action::Reject {
                request: id,
                retry_after: self.retry_after(request),
            }
        } else {
            Action::Fail(id)
        });
        self.remove(now, id, false, out);
    }

    fn is_harmless_to_repeat(&self, request: &Request) -> bool {
        let effect = self.settings.classes[request.class].effect;
        let deduplicated_everywhere = matches!(
            effect,
            Effect::IdempotentByKey {
                scope: DedupScope::All,
                ..
            }
        );
        effect == Effect::Idempotent || deduplicated_everywhere || !request.may_have_run()
    }

    /// Returns how long a rejected client should stay away, in microseconds.
    fn retry_after(&self, request: &Request) -> Micros {
        let limits = &self.settings.limits;
        let max_retry_after = if limits.retry_after {
            limits.max_retry_after
        } else {
            0
        };
        let retry_after = request.objective * RETRY_AFTER_FRACTION_OF_OBJECTIVE;
        (retry_after as Micros).min(max_retry_after)
    }

    /// Handles a client that has disconnected or whose answer is overdue: no answer is sent any
    /// more.
    pub(super) fn abandon(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) {
        self.remove(now, id, false, out);
    }

    /// Removes a request that has ended and cancels its attempts in flight.
    fn remove(&mut self, now: Timestamp, id: RequestId, in_time: bool, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        // A request that was only queued says nothing about whether work that is sent gets done in
        // time.
        if !request.attempts.is_empty() {
            self.goodput.record(now, in_time);
        }
        self.queue.remove(&request.queue_position(id));
        request.cancel_in_flight(id, None, &self.settings.limits, out);
    }

    /// Handles the start of a streamed answer: the client now receives this attempt, no deadline
    /// applies any more, and the other attempts are cancelled.
    pub(super) fn stream_started(
        &mut self,
        id: RequestId,
        number: AttemptIndex,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.state = RequestState::Streaming;
        let in_flight = self.endpoints.iter_mut().flat_map(|e| &mut e.in_flight);
        for attempt in in_flight.filter(|a| a.request == id && a.attempt == number) {
            attempt.streaming = true;
        }
        self.queue.remove(&request.queue_position(id));
        request.cancel_in_flight(id, Some(number), &self.settings.limits, out);
    }

    /// Handles a fired timer: runs everything that is due.
    pub(super) fn run_due_timers(&mut self, now: Timestamp, token: u64, out: &mut Vec<Action>) {
        self.timers.fired(token);
        while let Some(wake) = self.timers.next_due(now) {
            match wake {
                Wake::Deadline(id) | Wake::QueueTimeout(id) => {
                    if self.requests.get(&id).is_some_and(|r| r.is_overdue(now)) {
                        self.give_up(now, id, GiveUpReason::Waiting, out);
                    }
                }
                Wake::Retry(id) => {
                    let request = self.requests.get(&id);
                    if request.is_some_and(|r| r.state == RequestState::Backoff) {
                        self.dispatch(now, id, out);
                    }
                }
                Wake::Poll => out.push(Action::Subscribe(true)),
            }
        }
    }
}
