//! Open requests and attempts in flight.

use crate::clock::Clock;
use crate::messages::{Answer, AttemptId, EndedAttempt, OutgoingRequest, Withdrawal};
use crate::product::{AffinityPick, Fleet, Observer};
use crate::repeat_guard::{Admission, RepeatGuard};
use load_balancer::{
    AttemptEnd, AttemptIndex, ClassId, Event, LoadReport, Micros, NewRequest, Outcome, RequestId,
};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// A request without a final answer.
struct OpenRequest {
    reply: oneshot::Sender<Answer>,
    outgoing: Rc<OutgoingRequest>,
    attempts: AttemptIndex,
    class: ClassId,
    arrived: Micros,
    deadline: Micros,
    key: Option<u64>,
    /// The pick for its key; while it is kept, the request counts as in flight there.
    _pick: Option<AffinityPick>,
}

/// An attempt in flight; the module expects exactly one event for its end.
struct InFlight {
    endpoint: usize,
    sent: Micros,
    task: AbortHandle,
}

/// An attempt that is about to start.
pub struct NextAttempt {
    /// Its index.
    pub index: AttemptIndex,
    /// What is sent.
    pub outgoing: Rc<OutgoingRequest>,
    /// When its client stops waiting.
    pub request_deadline: Micros,
}

/// All open requests and attempts.
pub struct OpenRequests {
    open: HashMap<RequestId, OpenRequest>,
    in_flight: HashMap<AttemptId, InFlight>,
    repeat_guard: RepeatGuard,
    clock: Clock,
    observer: Observer,
    fleet: Option<Fleet>,
}

impl OpenRequests {
    /// Starts without requests.
    pub fn new(clock: Clock, observer: Observer, fleet: Option<Fleet>) -> Self {
        Self {
            open: HashMap::new(),
            in_flight: HashMap::new(),
            repeat_guard: RepeatGuard::default(),
            clock,
            observer,
            fleet,
        }
    }

    /// Numbers of requests without an answer, and of attempts in flight.
    #[cfg(feature = "product")]
    pub fn count(&self) -> (usize, usize) {
        (self.open.len(), self.in_flight.len())
    }

    /// Whether a request may be accepted, or what has to be done about an earlier one with its id.
    pub fn admit(&mut self, request: RequestId, outgoing: &OutgoingRequest) -> Admission {
        let Some(id) = outgoing.repeat_id else {
            return Admission::New;
        };
        let admission = self.repeat_guard.admit(id, request, self.clock.now());
        if admission == Admission::Repeated {
            self.observer.request_repeated(outgoing);
        }
        admission
    }

    /// Adds a request, and sets the endpoints of its key.
    pub fn accept(
        &mut self,
        request: &mut NewRequest,
        outgoing: Rc<OutgoingRequest>,
        reply: oneshot::Sender<Answer>,
    ) {
        self.observer.request_accepted(request.class, &outgoing);
        let pick = self
            .fleet
            .as_ref()
            .and_then(|fleet| fleet.affinity_pick(request.key));
        request.affinity_endpoints = pick
            .as_ref()
            .map(|pick| pick.endpoints.clone())
            .unwrap_or_default();
        let (class, arrived, key) = (request.class, self.clock.now(), request.key);
        let open_request = OpenRequest {
            reply,
            outgoing,
            attempts: 0,
            class,
            arrived,
            deadline: request.deadline,
            key,
            _pick: pick,
        };
        self.open.insert(request.id, open_request);
    }

    /// Removes a request that is no longer waited for; returns whether it was still unanswered, as
    /// answer and withdrawal may coincide.
    pub fn withdraw(&mut self, id: RequestId, reason: Withdrawal) -> bool {
        let Some(request) = self.open.remove(&id) else {
            return false;
        };
        request.outgoing.is_answered.set(true);
        if let Some(repeat_id) = request.outgoing.repeat_id {
            match reason {
                Withdrawal::ClientLeft => {
                    let now = self.clock.now();
                    self.repeat_guard.record_abandoned(repeat_id, id, now);
                }
                Withdrawal::Failed => self.repeat_guard.record_answered(repeat_id, id),
            }
        }
        self.observer.request_answered(
            request.class,
            &request.outgoing,
            None,
            self.clock.now() - request.arrived,
        );
        true
    }

    /// The only place where a request gets its final answer; a second answer has no effect.
    pub fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(request) = self.open.remove(&id) {
            request.outgoing.is_answered.set(true);
            let elapsed = self.clock.now() - request.arrived;
            self.observer.request_answered(
                request.class,
                &request.outgoing,
                Some(&answer),
                elapsed,
            );
            let is_delivered = request.reply.send(answer).is_ok();
            match request.outgoing.repeat_id {
                Some(repeat_id) if is_delivered => self.repeat_guard.record_answered(repeat_id, id),
                // The client has just disconnected.
                Some(repeat_id) => {
                    let now = self.clock.now();
                    self.repeat_guard.record_abandoned(repeat_id, id, now);
                }
                None => {}
            }
        }
    }

    /// The next attempt of a request, at an endpoint of that name; `None` if it is answered.
    pub fn next_attempt(&mut self, request: RequestId, name: &str) -> Option<NextAttempt> {
        let open_request = self.open.get_mut(&request)?;
        let attempt = open_request.attempts;
        open_request.attempts += 1;
        if let Some(repeat_id) = open_request.outgoing.repeat_id {
            self.repeat_guard.record_sent(repeat_id, request);
        }
        self.observer
            .attempt_sent(&open_request.outgoing, attempt, name);
        Some(NextAttempt {
            index: attempt,
            outgoing: Rc::clone(&open_request.outgoing),
            request_deadline: open_request.deadline,
        })
    }

    /// Records that an attempt was started.
    pub fn attempt_sent(&mut self, id: AttemptId, endpoint: usize, task: AbortHandle) {
        self.in_flight.insert(
            id,
            InFlight {
                endpoint,
                sent: self.clock.now(),
                task,
            },
        );
    }

    /// Records the end of an attempt; returns the event for the module. An attempt that was
    /// cancelled has already ended, and its result is ignored.
    pub fn attempt_ended(&mut self, ended: EndedAttempt) -> Option<Event> {
        let id = ended.id;
        let in_flight = self.in_flight.remove(&id)?;
        self.report_end(id, &in_flight, ended.outcome);
        let repeat_id = self
            .open
            .get(&id.request)
            .and_then(|o| o.outgoing.repeat_id);
        if let Some(repeat_id) = repeat_id.filter(|_| ended.outcome.never_ran()) {
            self.repeat_guard.record_not_run(repeat_id, id.request);
        }
        if let Some(served) = ended.served {
            if let Some((fleet, open_request)) = self.fleet.as_ref().zip(self.open.get(&id.request))
            {
                fleet.record_use(open_request.key, in_flight.endpoint);
            }
            self.answer(id.request, Answer::Served(served));
        }
        Some(self.end_event(id, &in_flight, ended.outcome, ended.load))
    }

    /// Cancels an attempt; returns the event for the module.
    pub fn cancel(&mut self, id: AttemptId) -> Option<Event> {
        let in_flight = self.in_flight.remove(&id)?;
        in_flight.task.abort();
        self.report_end(id, &in_flight, Outcome::Cancelled);
        Some(self.end_event(id, &in_flight, Outcome::Cancelled, LoadReport::default()))
    }

    fn report_end(&self, id: AttemptId, in_flight: &InFlight, outcome: Outcome) {
        let outgoing = self.open.get(&id.request).map(|held| &*held.outgoing);
        self.observer
            .attempt_ended(outgoing, outcome, self.clock.now() - in_flight.sent);
    }

    fn end_event(
        &self,
        AttemptId { request, attempt }: AttemptId,
        in_flight: &InFlight,
        outcome: Outcome,
        load: LoadReport,
    ) -> Event {
        let elapsed = self.clock.now() - in_flight.sent;
        let (endpoint, is_answered) = (in_flight.endpoint, !self.open.contains_key(&request));
        Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            endpoint,
            outcome,
            elapsed,
            request_answered: is_answered,
            load,
        })
    }
}
