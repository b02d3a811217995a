//! Dispatch: a request is sent to the selected endpoint, queued for capacity, or counted as failed.

use super::Balancer;
use super::endpoint::InFlight;
use super::request::{Attempt, RequestState};
use super::selection::Selection;
use super::send_rules;
use super::time::after;
use super::timers::Wake;
use super::wait_queue::MAX_WAIT_FRACTION_OF_OBJECTIVE;
use crate::api::*;

impl Balancer {
    /// Sends the request to the next endpoint, queues it if all are at capacity, or counts a
    /// failure if no endpoint may receive it.
    pub(super) fn dispatch(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match self.select(now, request) {
            Selection::Endpoint(endpoint) => self.send(now, id, endpoint, out),
            Selection::NoEndpoint => self.retry_or_give_up(now, id, out),
            Selection::NoCapacity => self.enqueue(now, id),
        }
    }

    /// Sends an attempt, unless the send rules forbid it. All attempts are sent here.
    fn send(
        &mut self,
        now: Timestamp,
        id: RequestId,
        endpoint_id: EndpointId,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let endpoint = &self.endpoints[endpoint_id];
        if !send_rules::may_send(&self.settings, now, request, endpoint) {
            return;
        }
        let timeout = self.attempt_timeout(now, request, endpoint);
        let credit = self.slow_start_credit(now, endpoint);
        let repeat_deadline = send_rules::repeat_deadline(&self.settings, request);
        let write_by = now.saturating_add(timeout).min(repeat_deadline);
        self.record_pick(now, endpoint_id);
        self.record_attempt(now, id, endpoint_id, credit);
        out.push(Action::Send {
            request: id,
            endpoint: endpoint_id,
            timeout,
            write_by,
        });
    }

    /// Records an attempt in its request, its endpoint and the budgets.
    fn record_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        endpoint_id: EndpointId,
        credit: f64,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let endpoint = &mut self.endpoints[endpoint_id];
        let number = request.attempts.len() as AttemptIndex;
        endpoint.in_flight.push(InFlight {
            request: id,
            attempt: number,
            class: request.class,
            work: request.work,
            sent_at: now,
            process_started: endpoint.started,
            ..InFlight::default()
        });
        endpoint.last_sent_at = now;
        endpoint.spend_slow_start(now, credit, request.work);
        if number > 0 {
            self.retry_budget.withdraw();
        }
        if !endpoint.is_circuit_closed() {
            self.trial_budget.withdraw();
        }
        self.queue.remove(&request.queue_position(id));
        request.attempts.push(Attempt {
            endpoint: endpoint_id,
            zone: endpoint.zone,
            cell: endpoint.cell,
            sent_at: now,
            in_flight: true,
            may_have_run: true,
        });
        request.state = RequestState::Sent;
    }

    /// Queues a request until an endpoint has capacity, unless it is queued already.
    fn enqueue(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.state == RequestState::Queued {
            return;
        }
        request.state = RequestState::Queued;
        request.queue_deadline = after(now, request.objective * MAX_WAIT_FRACTION_OF_OBJECTIVE);
        self.timers
            .set(request.queue_deadline, Wake::QueueTimeout(id));
        self.queue.insert(request.queue_position(id));
    }

    /// Dispatches queued requests in queue order while there is capacity.
    pub(super) fn dispatch_queued(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let mut next = self.queue.first();
        while let Some(position) = next {
            self.dispatch(now, position.request, out);
            let request = self.requests.get(&position.request);
            let still_queued = request.filter(|r| r.state == RequestState::Queued);
            // Only retries are restricted to certain endpoints: if a first attempt finds no
            // capacity, neither will any request behind it.
            if still_queued.is_some_and(|request| request.attempts.is_empty()) {
                return;
            }
            next = self.queue.after(position);
        }
    }
}
