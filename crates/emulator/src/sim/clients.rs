//! Clients in simulated time: their requests, time-outs and retries.

use super::event::What;
use super::instance::Open;
use super::{EPOCH, Sim};
use crate::Us;
use crate::record::{Seen, Try};
use crate::servers::try_number;
use crate::site::{CLASSES, CLIENT_RETRIES, Repeat};
use load_balancer::{Event, Micros, NewRequest, RequestId};

impl Sim<'_> {
    pub(super) fn ask(&mut self, arrival: usize, attempt: u32) {
        let a = &self.plan.arrivals[arrival];
        let Some(instance) = self.current[a.sidecar] else {
            self.note(Seen::Unreached { sidecar: a.sidecar });
            return self.again(arrival, attempt, 0);
        };
        let request = try_number(arrival, attempt);
        let until = self.now + a.patience;
        self.note(Seen::Taken {
            request,
            arrival,
            sidecar: a.sidecar,
            until,
        });
        self.open.insert(
            request,
            Open {
                instance,
                arrival,
                attempt,
            },
        );
        self.at(until, What::Impatient(request));
        let new = NewRequest {
            id: request,
            class: a.class,
            tenant: None,
            key: Some(a.key),
            affinity_endpoints: Vec::new(),
            deadline: EPOCH + until as Micros,
            work: None,
            is_retry: attempt > 0,
        };
        self.tell_or_wait(instance, Event::Request(new));
    }

    /// A stopped process takes nothing in: what its system has accepted for it is lost to the
    /// client.
    pub(super) fn tell_or_wait(&mut self, instance: usize, event: Event) {
        if self.instances[instance].frozen.is_none() {
            self.tell(instance, event);
        }
    }

    pub(super) fn impatient(&mut self, request: Try) {
        if let Some(open) = self.open.remove(&request) {
            self.note(Seen::GaveUp { request });
            if !self.instances[open.instance].dead {
                self.tell_or_wait(open.instance, Event::Abandoned(request));
            }
            self.client_again(&open, false, 0);
        }
    }

    pub(super) fn answer(&mut self, request: RequestId, status: u16, retry_after: Micros) {
        if let Some(open) = self.open.remove(&request) {
            self.note(Seen::Answered {
                request,
                status,
                genuine: true,
            });
            if status != 200 {
                self.client_again(&open, status == 503, retry_after.max(0) as Us);
            }
        }
    }

    pub(super) fn client_again(&mut self, open: &Open, harmless: bool, retry_after: Us) {
        if harmless || CLASSES[self.plan.arrivals[open.arrival].class].repeat != Repeat::Never {
            self.again(open.arrival, open.attempt, retry_after);
        }
    }

    pub(super) fn again(&mut self, arrival: usize, attempt: u32, retry_after: Us) {
        let a = &self.plan.arrivals[arrival];
        let Some(wait) = a
            .waits
            .get(attempt as usize)
            .filter(|_| attempt < CLIENT_RETRIES)
        else {
            return;
        };
        let at = self.now + retry_after.max(*wait);
        if at < a.at + CLASSES[a.class].deadline {
            self.at(at, What::Ask(arrival, attempt + 1));
        }
    }
}
