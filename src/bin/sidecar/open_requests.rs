//! Open requests and attempts in flight.

use crate::clock::Clock;
use crate::messages::{Answer, AttemptId, Ended, Outgoing};
use crate::product::{Fleet, Observer, Pick};
use load_balancer::{
    AttemptEnd, AttemptIndex, ClassId, Event, LoadReport, Micros, NewRequest, Outcome, RequestId,
};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// A request without its final answer.
struct OpenRequest {
    reply: oneshot::Sender<Answer>,
    outgoing: Rc<Outgoing>,
    attempts: AttemptIndex,
    class: ClassId,
    arrived: Micros,
    key: Option<u64>,
    /// Where its key was bound; while it is held, the request is under way there.
    _pick: Option<Pick>,
}

/// An attempt that is out; the module is owed one event on its end.
struct InFlight {
    endpoint: usize,
    sent: Micros,
    task: AbortHandle,
}

/// All that is under way.
pub struct OpenRequests {
    open: HashMap<RequestId, OpenRequest>,
    in_flight: HashMap<AttemptId, InFlight>,
    clock: Clock,
    observer: Observer,
    fleet: Option<Fleet>,
}

impl OpenRequests {
    /// Nothing yet.
    pub fn new(clock: Clock, observer: Observer, fleet: Option<Fleet>) -> Self {
        Self {
            open: HashMap::new(),
            in_flight: HashMap::new(),
            clock,
            observer,
            fleet,
        }
    }

    /// Requests without their answer, and attempts that are out.
    #[cfg(feature = "product")]
    pub fn count(&self) -> (usize, usize) {
        (self.open.len(), self.in_flight.len())
    }

    /// A request was taken; it is told where its key is bound.
    pub fn take(
        &mut self,
        request: &mut NewRequest,
        outgoing: Rc<Outgoing>,
        reply: oneshot::Sender<Answer>,
    ) {
        self.observer.taken(request.class, &outgoing);
        let pick = self
            .fleet
            .as_ref()
            .and_then(|fleet| fleet.pick(request.key));
        request.affinity_endpoints = pick
            .as_ref()
            .map(|pick| pick.endpoints.clone())
            .unwrap_or_default();
        let (class, arrived, key) = (request.class, self.clock.now(), request.key);
        let held = OpenRequest {
            reply,
            outgoing,
            attempts: 0,
            class,
            arrived,
            key,
            _pick: pick,
        };
        self.open.insert(request.id, held);
    }

    /// The client of a request has left; whether it was still without its answer, as the two may
    /// cross.
    pub fn withdraw(&mut self, id: RequestId) -> bool {
        let Some(held) = self.open.remove(&id) else {
            return false;
        };
        held.outgoing.settled.set(true);
        self.observer.answered(
            held.class,
            &held.outgoing,
            None,
            self.clock.now() - held.arrived,
        );
        true
    }

    /// The only place where a request gets its final answer; a second one finds nothing to answer.
    pub fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(held) = self.open.remove(&id) {
            held.outgoing.settled.set(true);
            let took = self.clock.now() - held.arrived;
            self.observer
                .answered(held.class, &held.outgoing, Some(&answer), took);
            // A client that has just left needs none.
            let _ = held.reply.send(answer);
        }
    }

    /// The next attempt of a request, to an endpoint of that name; `None` where it has its answer.
    pub fn next(&mut self, request: RequestId, name: &str) -> Option<(AttemptIndex, Rc<Outgoing>)> {
        let held = self.open.get_mut(&request)?;
        let attempt = held.attempts;
        held.attempts += 1;
        self.observer.sent(&held.outgoing, attempt, name);
        Some((attempt, Rc::clone(&held.outgoing)))
    }

    /// That attempt is out.
    pub fn sent(&mut self, id: AttemptId, endpoint: usize, task: AbortHandle) {
        self.in_flight.insert(
            id,
            InFlight {
                endpoint,
                sent: self.clock.now(),
                task,
            },
        );
    }

    /// An attempt ended by itself; what the module is to hear of it. One that was cancelled has
    /// ended already, whatever it still brings.
    pub fn ended(&mut self, ended: Ended) -> Option<Event> {
        let id = ended.id;
        let out = self.in_flight.remove(&id)?;
        self.note(id, &out, ended.outcome);
        if let Some(served) = ended.served {
            if let Some((fleet, held)) = self.fleet.as_ref().zip(self.open.get(&id.request)) {
                fleet.record_use(held.key, out.endpoint);
            }
            self.answer(id.request, Answer::Served(served));
        }
        Some(self.end(id, &out, ended.outcome, ended.load))
    }

    /// An attempt is cancelled; what the module is to hear of it.
    pub fn cancel(&mut self, id: AttemptId) -> Option<Event> {
        let out = self.in_flight.remove(&id)?;
        out.task.abort();
        self.note(id, &out, Outcome::Cancelled);
        Some(self.end(id, &out, Outcome::Cancelled, LoadReport::default()))
    }

    fn note(&self, id: AttemptId, out: &InFlight, outcome: Outcome) {
        let outgoing = self.open.get(&id.request).map(|held| &*held.outgoing);
        self.observer
            .ended(outgoing, outcome, self.clock.now() - out.sent);
    }

    fn end(
        &self,
        AttemptId { request, attempt }: AttemptId,
        out: &InFlight,
        outcome: Outcome,
        load: LoadReport,
    ) -> Event {
        let took = self.clock.now() - out.sent;
        let (endpoint, settled) = (out.endpoint, !self.open.contains_key(&request));
        Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            endpoint,
            outcome,
            elapsed: took,
            request_answered: settled,
            load,
        })
    }
}
