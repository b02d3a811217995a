//! Callers that wait for their proposal to be agreed.

use crate::log_thread::ThreadInput;
use load_balancer_coordinator::core::{Input, Reply};
use load_balancer_maintenance::Event;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// The way to the log, and those who wait.
#[derive(Clone)]
pub struct Calls {
    told: mpsc::Sender<ThreadInput>,
    waiting: Rc<RefCell<BTreeMap<u64, oneshot::Sender<Reply>>>>,
    last: Rc<Cell<u64>>,
    within: Duration,
    missed: Rc<Cell<u64>>,
}

impl Calls {
    pub fn new(told: mpsc::Sender<ThreadInput>, within: Duration) -> Self {
        Self {
            told,
            waiting: Rc::default(),
            last: Rc::default(),
            within,
            missed: Rc::default(),
        }
    }

    /// Tells the log something, if it takes it now.
    pub fn tell(&self, input: Input) -> bool {
        self.send(ThreadInput::Input(Box::new(input)))
    }

    /// The same for what is not for the coordinator itself.
    pub fn send(&self, told: ThreadInput) -> bool {
        let taken = self.told.try_send(told).is_ok();
        self.missed.set(self.missed.get() + u64::from(!taken));
        taken
    }

    /// What was not taken so far.
    pub fn missed(&self) -> u64 {
        self.missed.get()
    }

    /// Brings an event and waits for the answer.
    pub async fn bring(&self, event: Event) -> Reply {
        self.call(|caller| Input::Bring(caller, event)).await
    }

    /// Asks for a vote for a disk.
    pub async fn admit(&self, id: u64, name: String) -> Reply {
        self.call(|caller| Input::Admit(caller, id, name)).await
    }

    async fn call(&self, input: impl FnOnce(u64) -> Input) -> Reply {
        let caller = self.last.get() + 1;
        self.last.set(caller);
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(caller, sender);
        if !self.tell(input(caller)) {
            self.waiting.borrow_mut().remove(&caller);
            return Reply::Busy;
        }
        let reply = timeout(self.within, answer).await;
        self.waiting.borrow_mut().remove(&caller);
        reply.ok().and_then(Result::ok).unwrap_or(Reply::Lost)
    }

    /// An answer came.
    pub fn answered(&self, caller: u64, reply: Reply) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&caller) {
            let _ = sender.send(reply);
        }
    }
}
