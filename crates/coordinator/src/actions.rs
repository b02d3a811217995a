//! Performs actions on servers through the platform's interface: drain, take, return, cancel.

use crate::calls::PendingCalls;
use crate::clock::Clock;
use crate::config::Sections;
use crate::fetch::fetch;
use crate::poller::Poller;
use load_balancer_coordinator::core::{Input, Order};
use load_balancer_maintenance::{Action, Answer, DrainCheck, Step};
use serde::Deserialize;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;

/// The platform's answer to an action.
#[derive(Deserialize)]
struct PlatformAnswer {
    state: String,
    #[serde(default)]
    started_ms: Option<u64>,
}

/// Performs the actions that the leader orders.
#[derive(Clone)]
pub struct ActionRunner {
    sections: Rc<Sections>,
    clock: Clock,
    calls: PendingCalls,
    poller: Rc<Poller>,
    permits: Rc<Semaphore>,
    /// Processes whose departure sidecars were notified of, by server, until that is revoked.
    leaving: Rc<RefCell<BTreeMap<String, DrainCheck>>>,
}

impl ActionRunner {
    pub fn new(sections: &Sections, clock: Clock, calls: PendingCalls, poller: Rc<Poller>) -> Self {
        let permits = Rc::new(Semaphore::new(sections.platform.at_once));
        Self {
            sections: Rc::new(sections.clone()),
            clock,
            calls,
            poller,
            permits,
            leaving: Rc::default(),
        }
    }

    /// Starts an action and reports its result to the log thread.
    pub fn run(&self, order: Order<Action>) {
        let runner = self.clone();
        spawn_local(async move {
            let _permit = runner.permits.acquire().await;
            let answer = match runner.clock.now().mono_ms < order.deadline_ms {
                true => runner.perform(&order.item).await,
                false => None,
            };
            let ends_leave = matches!(order.item.step, Step::Return | Step::CallBack);
            let acted_server =
                matches!(answer, Some(Answer::Done { .. })).then_some(&order.item.server);
            let left_process = acted_server
                .filter(|_| ends_leave)
                .and_then(|server| runner.leaving.borrow_mut().remove(server));
            runner
                .calls
                .send_input(Input::ActionResult(order.item, answer));
            if let Some(process) = left_process {
                runner.poller.announce_stay(&process).await;
            }
        });
    }

    /// Starts a check whether a server is drained and reports the result to the log thread.
    pub fn check_drained(&self, order: Order<DrainCheck>) {
        let runner = self.clone();
        spawn_local(async move {
            let mut is_clear = runner
                .poller
                .is_idle(&order.item.server, order.item.epoch)
                .await;
            if is_clear && runner.sections.affinity_drain.ask {
                runner
                    .leaving
                    .borrow_mut()
                    .insert(order.item.server.clone(), order.item.clone());
                is_clear = runner.poller.is_drained_of_affinity(&order.item).await;
            }
            runner
                .calls
                .send_input(Input::DrainResult(order.item, is_clear));
        });
    }

    async fn perform(&self, action: &Action) -> Option<Answer> {
        let path = match action.step {
            Step::Drain => "/drain",
            Step::Take => "/take",
            Step::Return => "/return",
            Step::CallBack => "/call-back",
        };
        let body = json!({"server": action.server, "window": action.window, "token": action.token});
        let platform = &self.sections.platform;
        let answer = fetch(
            platform.address,
            "POST",
            path,
            Some(&body),
            platform.timeout.0,
        )
        .await;
        let failure = match answer {
            Ok((200, content)) => match serde_json::from_value::<PlatformAnswer>(content) {
                Ok(done) => return Some(interpret(action.step, &done)),
                Err(e) => e.to_string(),
            },
            Ok((409, content)) => match content.get("seen").and_then(Value::as_u64) {
                Some(seen) => return Some(Answer::Refused { seen }),
                None => "it rejected the token without the highest token it has seen".to_owned(),
            },
            Ok((status, _)) => format!("unexpected status {status}"),
            Err(error) => error.to_string(),
        };
        tracing::warn!(target: "coordinator", "platform call {path} for server {} failed: {failure}", action.server);
        None
    }
}

/// Interprets the platform's answer: the action is done if the server is in the resulting state.
fn interpret(step: Step, answer: &PlatformAnswer) -> Answer {
    let done = Answer::Done { started: None };
    match (step, answer.state.as_str()) {
        (Step::Drain, "draining") | (Step::Take, "away") | (Step::Return, "returning") => done,
        // Only a running process has a start time of its own.
        (Step::Return, "serving") => Answer::Done {
            started: answer.started_ms,
        },
        (Step::CallBack, "serving" | "returning") => done,
        (Step::CallBack, "away") => Answer::Taken,
        _ => Answer::Failed,
    }
}
