//! Clients in simulated time: their requests, timeouts and retries.

use super::event::SimEvent;
use super::instance::OpenRequest;
use super::{START_US, Simulation};
use crate::Us;
use crate::record::{Seen, Try};
use crate::servers::try_number;
use crate::site::{CLASSES, CLIENT_RETRIES, Repeat};
use load_balancer::{Event, Micros, NewRequest, RequestId};

impl Simulation<'_> {
    pub(super) fn send_request(&mut self, arrival: usize, attempt: u32) {
        let request_arrival = &self.plan.arrivals[arrival];
        let Some(instance) = self.current[request_arrival.sidecar] else {
            self.record_event(Seen::Unreached {
                sidecar: request_arrival.sidecar,
            });
            return self.schedule_retry(arrival, attempt, 0);
        };
        let request = try_number(arrival, attempt);
        let gives_up_at = self.now + request_arrival.patience;
        self.record_event(Seen::Taken {
            request,
            arrival,
            sidecar: request_arrival.sidecar,
            until: gives_up_at,
        });
        self.open.insert(
            request,
            OpenRequest {
                instance,
                arrival,
                attempt,
            },
        );
        self.schedule(gives_up_at, SimEvent::ClientTimeout(request));
        let new_request = NewRequest {
            id: request,
            class: request_arrival.class,
            tenant: None,
            key: Some(request_arrival.key),
            affinity_endpoints: Vec::new(),
            deadline: START_US + gives_up_at as Micros,
            work: None,
            is_retry: attempt > 0,
        };
        self.notify_if_running(instance, Event::Request(new_request));
    }

    /// A suspended process receives nothing: what its system has accepted for it is lost to the
    /// client.
    pub(super) fn notify_if_running(&mut self, instance: usize, event: Event) {
        if self.instances[instance].deferred.is_none() {
            self.notify(instance, event);
        }
    }

    pub(super) fn give_up(&mut self, request: Try) {
        if let Some(open) = self.open.remove(&request) {
            self.record_event(Seen::GaveUp { request });
            if !self.instances[open.instance].dead {
                self.notify_if_running(open.instance, Event::Abandoned(request));
            }
            self.retry_after_failure(&open, false, 0);
        }
    }

    pub(super) fn answer_client(&mut self, request: RequestId, status: u16, retry_after: Micros) {
        if let Some(open) = self.open.remove(&request) {
            self.record_event(Seen::Answered {
                request,
                status,
                genuine: true,
            });
            if status != 200 {
                self.retry_after_failure(&open, status == 503, retry_after.max(0) as Us);
            }
        }
    }

    pub(super) fn retry_after_failure(
        &mut self,
        open: &OpenRequest,
        was_rejected: bool,
        retry_after: Us,
    ) {
        if was_rejected || CLASSES[self.plan.arrivals[open.arrival].class].repeat != Repeat::Never {
            self.schedule_retry(open.arrival, open.attempt, retry_after);
        }
    }

    pub(super) fn schedule_retry(&mut self, arrival: usize, attempt: u32, retry_after: Us) {
        let request_arrival = &self.plan.arrivals[arrival];
        let Some(backoff) = request_arrival
            .waits
            .get(attempt as usize)
            .filter(|_| attempt < CLIENT_RETRIES)
        else {
            return;
        };
        let at = self.now + retry_after.max(*backoff);
        if at < request_arrival.at + CLASSES[request_arrival.class].deadline {
            self.schedule(at, SimEvent::ClientRequest(arrival, attempt + 1));
        }
    }
}
