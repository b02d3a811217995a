//! Carries out actions on servers through the platform's interface: drain, take, return, cancel.

use crate::calls::Calls;
use crate::clock::Clock;
use crate::config::Sections;
use crate::fetch::fetch;
use crate::poller::Poller;
use load_balancer_coordinator::core::{Input, Order};
use load_balancer_maintenance::{Action, Answer, Step, Unclear};
use serde::Deserialize;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;

/// What the platform answers to an act.
#[derive(Deserialize)]
struct Done {
    state: String,
    #[serde(default)]
    started_ms: Option<u64>,
}

/// Who carries out what the leader orders.
#[derive(Clone)]
pub struct ActionRunner {
    sections: Rc<Sections>,
    clock: Clock,
    calls: Calls,
    poller: Rc<Poller>,
    free: Rc<Semaphore>,
    /// Processes that sidecars were told to leave, by server, until they are told otherwise.
    left: Rc<RefCell<BTreeMap<String, Unclear>>>,
}

impl ActionRunner {
    pub fn new(sections: &Sections, clock: Clock, calls: Calls, poller: Rc<Poller>) -> Self {
        let free = Rc::new(Semaphore::new(sections.platform.at_once));
        Self {
            sections: Rc::new(sections.clone()),
            clock,
            calls,
            poller,
            free,
            left: Rc::default(),
        }
    }

    /// Begins an act; what it comes to is told.
    pub fn act(&self, order: Order<Action>) {
        let action_runner = self.clone();
        spawn_local(async move {
            let _permit = action_runner.free.acquire().await;
            let answer = match action_runner.clock.now().mono_ms < order.until_ms {
                true => action_runner.done(&order.what).await,
                false => None,
            };
            let back = matches!(order.what.step, Step::Return | Step::CallBack);
            let left = matches!(answer, Some(Answer::Done { .. })).then_some(&order.what.server);
            let left = left
                .filter(|_| back)
                .and_then(|server| action_runner.left.borrow_mut().remove(server));
            action_runner.calls.tell(Input::Acted(order.what, answer));
            if let Some(left) = left {
                action_runner.poller.stays(&left).await;
            }
        });
    }

    /// Asks whether a server is clear; what it comes to is told.
    pub fn question(&self, order: Order<Unclear>) {
        let action_runner = self.clone();
        spawn_local(async move {
            let mut clear = action_runner
                .poller
                .idle(&order.what.server, order.what.epoch)
                .await;
            if clear && action_runner.sections.affinity_drain.ask {
                action_runner
                    .left
                    .borrow_mut()
                    .insert(order.what.server.clone(), order.what.clone());
                clear = action_runner.poller.unbound(&order.what).await;
            }
            action_runner.calls.tell(Input::Cleared(order.what, clear));
        });
    }

    async fn done(&self, act: &Action) -> Option<Answer> {
        let path = match act.step {
            Step::Drain => "/drain",
            Step::Take => "/take",
            Step::Return => "/return",
            Step::CallBack => "/call-back",
        };
        let body = json!({"server": act.server, "window": act.window, "token": act.token});
        let platform = &self.sections.platform;
        let answer = fetch(
            platform.address,
            "POST",
            path,
            Some(&body),
            platform.timeout.0,
        )
        .await;
        let what = match answer {
            Ok((200, content)) => match serde_json::from_value::<Done>(content) {
                Ok(done) => return Some(meaning(act.step, &done)),
                Err(e) => e.to_string(),
            },
            Ok((409, content)) => match content.get("seen").and_then(Value::as_u64) {
                Some(seen) => return Some(Answer::Refused { seen }),
                None => "it refuses without saying which token it has seen".to_owned(),
            },
            Ok((status, _)) => format!("it answers {status}"),
            Err(error) => error.to_string(),
        };
        tracing::warn!(target: "coordinator", "{path} of {} failed at the platform: {what}", act.server);
        None
    }
}

/// What an answer means: that it is so, where the server is where the step puts it.
fn meaning(step: Step, done: &Done) -> Answer {
    let so = Answer::Done { started: None };
    match (step, done.state.as_str()) {
        (Step::Drain, "draining") | (Step::Take, "away") | (Step::Return, "returning") => so,
        // Only a process that runs has a start of its own.
        (Step::Return, "serving") => Answer::Done {
            started: done.started_ms,
        },
        (Step::CallBack, "serving" | "returning") => so,
        (Step::CallBack, "away") => Answer::Taken,
        _ => Answer::Failed,
    }
}
