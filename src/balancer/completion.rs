//! How attempts and requests end: what an outcome leads to, the final answers, and what is removed
//! then.

use super::Balancer;
use super::endpoint::InFlight;
use super::event_log::GiveUpReason;
use super::request::{Request, RequestState};
use super::timers::Wake;
use crate::api::*;

/// Part of the latency objective that a rejected client should stay away for: its circuits and
/// queues have moved on by then.
const RETRY_AFTER_PART_OF_OBJECTIVE: f64 = 0.25;

impl Balancer {
    /// An attempt ended: learns from it, then answers its request, or retries it where nothing else
    /// is in flight.
    pub(super) fn attempt_ended(&mut self, now: Timestamp, end: AttemptEnd, out: &mut Vec<Action>) {
        let Some(attempt) = self.take_in_flight(&end) else {
            return;
        };
        // What became of an attempt at a process that has been replaced says nothing of the new
        // one.
        if self.endpoints[end.endpoint].started == attempt.process_started {
            self.learn(now, end, &attempt, out);
        }
        let Some(request) = self.requests.get_mut(&end.request) else {
            return;
        };
        let ended = &mut request.attempts[end.attempt as usize];
        ended.in_flight = false;
        ended.may_have_run = !end.outcome.never_ran();
        let served = end.outcome == Outcome::Ok;
        if end.settled || served {
            let in_time = served && (now - request.arrived) as f64 <= request.objective;
            self.remove(now, end.request, in_time, out);
        } else if request.state == RequestState::Sent && request.in_flight() == 0 {
            self.retry_or_give_up(now, end.request, out);
        }
    }

    /// Takes an attempt off its endpoint; none where it is not in flight there.
    fn take_in_flight(&mut self, end: &AttemptEnd) -> Option<InFlight> {
        let in_flight = &mut self.endpoints.get_mut(end.endpoint)?.in_flight;
        let position = in_flight
            .iter()
            .position(|attempt| attempt.request == end.request && attempt.attempt == end.attempt)?;
        Some(in_flight.swap_remove(position))
    }

    /// The final answer of a request that is given up: a rejection where repeating is provably
    /// harmless, else a failure.
    pub(super) fn give_up(
        &mut self,
        now: Timestamp,
        id: RequestId,
        reason: GiveUpReason,
        out: &mut Vec<Action>,
    ) {
        self.log.gave_up(now, reason, out);
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
        let dropped_everywhere = matches!(
            effect,
            Effect::Keyed {
                scope: DedupScope::All,
                ..
            }
        );
        effect == Effect::Safe || dropped_everywhere || !request.may_have_run()
    }

    /// How long a rejected client should stay away.
    fn retry_after(&self, request: &Request) -> Micros {
        let limits = &self.settings.limits;
        let most = if limits.retry_after {
            limits.max_retry_after
        } else {
            0
        };
        let wanted = request.objective * RETRY_AFTER_PART_OF_OBJECTIVE;
        (wanted as Micros).min(most)
    }

    /// The client left, or its answer is overdue: nothing more is owed.
    pub(super) fn abandon(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) {
        self.remove(now, id, false, out);
    }

    /// Removes a request that is over, and cancels what is still in flight for it.
    fn remove(&mut self, now: Timestamp, id: RequestId, in_time: bool, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        // One that was queued in vain is no sign that work sent comes to nothing.
        if !request.attempts.is_empty() {
            self.goodput.record(now, in_time);
        }
        self.queue.remove(&request.queue_position(id));
        request.cancel_in_flight(id, None, &self.settings.limits, out);
    }

    /// An answer has begun: the attempt is the client's, no deadline runs, and other attempts are
    /// cancelled.
    pub(super) fn stream_started(
        &mut self,
        id: RequestId,
        number: AttemptNo,
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

    /// The caller's timer went off: does whatever is due.
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
