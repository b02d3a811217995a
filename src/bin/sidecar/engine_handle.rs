//! The client side's handle of the engine: submits and withdraws requests.

use crate::clock::Clock;
use crate::messages::{Answer, Input, InputSender, OutgoingRequest};
use load_balancer::{Micros, NewRequest, RequestId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A handle of the engine.
#[derive(Clone)]
pub struct EngineHandle {
    inputs: InputSender,
    clock: Clock,
    last_id: Rc<Cell<RequestId>>,
}

impl EngineHandle {
    /// Creates a handle that sends to these inputs.
    pub fn new(inputs: InputSender, clock: Clock) -> Self {
        Self {
            inputs,
            clock,
            last_id: Rc::default(),
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
            inputs: self.inputs.clone(),
        }
    }
}

/// The pending answer to a request. Dropping it before the answer has come withdraws the request.
pub struct PendingAnswer {
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    answered: bool,
    inputs: InputSender,
}

impl PendingAnswer {
    /// Waits for the answer.
    pub async fn answer(&mut self) -> Answer {
        let answer = (&mut self.answer).await;
        self.answered = true;
        answer.unwrap_or(Answer::Failed)
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        if !self.answered {
            self.inputs.send(Input::Withdrawn(self.id));
        }
    }
}
