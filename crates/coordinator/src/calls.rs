//! Callers that wait for the outcome of their proposal.

use crate::log_thread::ThreadInput;
use load_balancer_coordinator::core::{Input, Reply};
use load_balancer_maintenance::Event;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// The queue to the log thread, and the waiting callers.
#[derive(Clone)]
pub struct PendingCalls {
    inputs: mpsc::Sender<ThreadInput>,
    waiting: Rc<RefCell<BTreeMap<u64, oneshot::Sender<Reply>>>>,
    last_caller: Rc<Cell<u64>>,
    time_limit: Duration,
    dropped_inputs: Rc<Cell<u64>>,
}

impl PendingCalls {
    pub fn new(inputs: mpsc::Sender<ThreadInput>, time_limit: Duration) -> Self {
        Self {
            inputs,
            waiting: Rc::default(),
            last_caller: Rc::default(),
            time_limit,
            dropped_inputs: Rc::default(),
        }
    }

    /// Sends an input to the coordinator core. Returns false if the queue is full.
    pub fn send_input(&self, input: Input) -> bool {
        self.send(ThreadInput::Input(Box::new(input)))
    }

    /// Sends any input to the log thread. Returns false if the queue is full.
    pub fn send(&self, input: ThreadInput) -> bool {
        let accepted = self.inputs.try_send(input).is_ok();
        self.dropped_inputs
            .set(self.dropped_inputs.get() + u64::from(!accepted));
        accepted
    }

    /// Returns the number of inputs dropped because the queue was full.
    pub fn dropped_inputs(&self) -> u64 {
        self.dropped_inputs.get()
    }

    /// Proposes an event and waits for its outcome.
    pub async fn propose(&self, event: Event) -> Reply {
        self.call(|caller| Input::Propose(caller, event)).await
    }

    /// Requests a vote for a disk and waits for the answer.
    pub async fn admit(&self, id: u64, name: String) -> Reply {
        self.call(|caller| Input::RequestVote(caller, id, name))
            .await
    }

    async fn call(&self, input: impl FnOnce(u64) -> Input) -> Reply {
        let caller = self.last_caller.get() + 1;
        self.last_caller.set(caller);
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(caller, sender);
        if !self.send_input(input(caller)) {
            self.waiting.borrow_mut().remove(&caller);
            return Reply::Busy;
        }
        let reply = timeout(self.time_limit, answer).await;
        self.waiting.borrow_mut().remove(&caller);
        reply
            .ok()
            .and_then(Result::ok)
            .unwrap_or(Reply::OutcomeUnknown)
    }

    /// Completes a call with its reply.
    pub fn complete(&self, caller: u64, reply: Reply) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&caller) {
            let _ = sender.send(reply);
        }
    }
}
