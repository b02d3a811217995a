//! The client side's handle of the engine: submits and withdraws requests.

use crate::clock::Clock;
use crate::log_throttle::{LogThrottle, suppressed_note};
use crate::messages::{Answer, Input, InputSender, OutgoingRequest, Withdrawal};
use crate::product::Observer;
use crate::refusal::Refusal;
use crate::report::say;
use load_balancer::{Micros, NewRequest, RequestId};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Shortest time between log lines about refused requests.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// A handle of the engine.
#[derive(Clone)]
pub struct EngineHandle {
    inputs: InputSender,
    clock: Clock,
    last_id: Rc<Cell<RequestId>>,
    observer: Observer,
    refusal_log: Rc<RefCell<LogThrottle>>,
}

impl EngineHandle {
    /// Creates a handle that sends to these inputs.
    pub fn new(inputs: InputSender, clock: Clock, observer: Observer) -> Self {
        Self {
            inputs,
            clock,
            last_id: Rc::default(),
            observer,
            refusal_log: Rc::new(RefCell::new(LogThrottle::new(REFUSAL_LOG_INTERVAL))),
        }
    }

    /// The sender of the engine's inputs.
    pub fn inputs(&self) -> &InputSender {
        &self.inputs
    }

    /// The current time on the module's clock.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// The runtime's instant for a time on the module's clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.clock.instant(at)
    }

    /// Records that a request is answered without having been submitted.
    pub fn record_refusal(&self, reason: Refusal) {
        self.observer.request_refused(reason);
        if let Some(suppressed) = self.refusal_log.borrow_mut().allow(Instant::now()) {
            say!(
                info,
                "sidecar::inbound",
                "refused a request, status {} ({}){}",
                reason.status().as_u16(),
                Refusal::LABELS[reason.index()],
                suppressed_note(suppressed)
            );
        }
    }

    /// Submits a request under a new id.
    pub fn submit(&self, request: NewRequest, outgoing: Rc<OutgoingRequest>) -> PendingAnswer {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let (sender, answer) = oneshot::channel();
        self.inputs.send(Input::Request {
            request: NewRequest { id, ..request },
            outgoing,
            reply: sender,
        });
        PendingAnswer {
            id,
            answer,
            answered: false,
            withdrawal: Withdrawal::ClientLeft,
            inputs: self.inputs.clone(),
        }
    }
}

/// The pending answer to a request. Dropping it before the answer has come withdraws the request.
pub struct PendingAnswer {
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    answered: bool,
    withdrawal: Withdrawal,
    inputs: InputSender,
}

impl PendingAnswer {
    /// Waits for the answer.
    pub async fn answer(&mut self) -> Answer {
        let answer = (&mut self.answer).await;
        self.answered = true;
        answer.unwrap_or(Answer::Failed)
    }

    /// Answers the client in place of the decision module, whose answer is overdue.
    pub fn fail(&mut self) -> Answer {
        self.withdrawal = Withdrawal::Failed;
        Answer::Failed
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        if !self.answered {
            self.inputs.send(Input::Withdrawn(self.id, self.withdrawal));
        }
    }
}
