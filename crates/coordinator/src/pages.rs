//! The HTTP interface of the coordinator, described in docs/coordinator.md.

mod replies;
mod status;

use crate::calls::PendingCalls;
use crate::clock::Clock;
use crate::config::Sections;
use crate::log_thread::PublishedStatus;
use crate::peers::{self, Peers};
use crate::serve::{Answer, PageRequest};
use hyper::StatusCode;
use load_balancer_coordinator::core::{Input, Reply};
use load_balancer_maintenance::{Event, Request};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::watch;

/// Maximum size of a request in bytes, except for messages of other coordinators.
const MAX_CONTENT_BYTES: usize = 256 << 10;

/// Serves the HTTP interface.
#[derive(Clone)]
pub struct Pages {
    sections: Rc<Sections>,
    clock: Clock,
    calls: PendingCalls,
    status: watch::Receiver<Arc<PublishedStatus>>,
    peers: Peers,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Finished {
    server: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Join {
    name: String,
    disk: String,
}

impl Pages {
    pub fn new(
        sections: &Sections,
        clock: Clock,
        calls: PendingCalls,
        status: watch::Receiver<Arc<PublishedStatus>>,
        peers: Peers,
    ) -> Self {
        Self {
            sections: Rc::new(sections.clone()),
            clock,
            calls,
            status,
            peers,
        }
    }

    /// Answers a request.
    pub async fn answer(self, request: PageRequest, from_coordinator: Rc<Cell<bool>>) -> Answer {
        let parts: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        let number = |text: &str| text.parse::<u64>().ok();
        if request.path != peers::MESSAGES_PATH && request.content.len() > MAX_CONTENT_BYTES {
            let message = format!("the content is longer than {MAX_CONTENT_BYTES} bytes");
            return Answer::error(StatusCode::PAYLOAD_TOO_LARGE, None, message);
        }
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["status"]) => Answer::json(StatusCode::OK, self.status()),
            ("GET", ["windows"]) => self.view_page(|view| json!(view.windows)),
            ("GET", ["windows", id]) => match number(id) {
                Some(id) => self.window(id),
                None => not_found(),
            },
            ("GET", ["capacity"]) => self.view_page(|view| json!(view.capacity)),
            ("POST", ["windows"]) => match parse::<Request>(&request.content) {
                Ok(request) => self.propose(Event::Ask(request)).await,
                Err(wrong) => wrong,
            },
            ("POST", ["windows", id, "cancel"]) => match number(id) {
                Some(window) => self.propose(Event::Cancel { window }).await,
                None => not_found(),
            },
            ("POST", ["windows", id, "finished"]) => {
                match (number(id), parse::<Finished>(&request.content)) {
                    (Some(window), Ok(Finished { server })) => {
                        self.propose(Event::Finished { window, server }).await
                    }
                    (_, Err(wrong)) => wrong,
                    (None, _) => not_found(),
                }
            }
            ("POST", ["step-down"]) => match self.calls.send_input(Input::StepDown) {
                true => Answer::json(StatusCode::ACCEPTED, json!({"outcome": "asked"})),
                false => self.reply_answer(Reply::Busy),
            },
            ("POST", ["agreement", "messages"]) => self.messages(&request, &from_coordinator),
            ("POST", ["agreement", "join"]) => match parse::<Join>(&request.content) {
                Ok(Join { name, disk }) => self.join(name, &disk).await,
                Err(wrong) => wrong,
            },
            (
                _,
                [
                    "status" | "windows" | "capacity" | "step-down" | "agreement",
                    ..,
                ],
            ) => Answer::error(StatusCode::METHOD_NOT_ALLOWED, None, "no such method here"),
            _ => not_found(),
        }
    }

    fn view_page(
        &self,
        content: impl Fn(&load_balancer_coordinator::core::View) -> Value,
    ) -> Answer {
        match self.status.borrow().view.as_ref() {
            Some(view) => Answer::json(StatusCode::OK, content(view)),
            None => Answer::error(
                StatusCode::SERVICE_UNAVAILABLE,
                None,
                "this coordinator has halted",
            ),
        }
    }

    fn window(&self, id: u64) -> Answer {
        let status = self.status.borrow();
        let found = status
            .view
            .as_ref()
            .and_then(|view| view.windows.iter().find(|w| w.window == id));
        found.map_or_else(not_found, |window| {
            Answer::json(StatusCode::OK, json!(window))
        })
    }

    async fn propose(&self, event: Event) -> Answer {
        let reply = self.calls.propose(event).await;
        self.reply_answer(reply)
    }

    async fn join(&self, name: String, disk: &str) -> Answer {
        let Ok(id) = disk.parse::<u64>() else {
            return Answer::error(StatusCode::BAD_REQUEST, Some("disk"), "is not a number");
        };
        if !self.sections.coordinators.contains_key(&name) {
            return Answer::error(
                StatusCode::BAD_REQUEST,
                Some("name"),
                "is not one of [coordinators]",
            );
        }
        let reply = self.calls.admit(id, name).await;
        self.reply_answer(reply)
    }

    fn messages(&self, request: &PageRequest, from_coordinator: &Cell<bool>) -> Answer {
        let sender = request
            .sender
            .as_ref()
            .filter(|name| self.sections.coordinators.contains_key(*name));
        let Some(from) = sender else {
            return Answer::error(
                StatusCode::BAD_REQUEST,
                Some(peers::SENDER_HEADER),
                "is not one of [coordinators]",
            );
        };
        match peers::read(&request.content) {
            Ok(messages) => {
                from_coordinator.set(true);
                for message in messages {
                    // A message that does not fit into the queue is lost, as on a network.
                    self.calls.send_input(Input::Message(from.clone(), message));
                }
                Answer {
                    status: StatusCode::NO_CONTENT,
                    content: None,
                }
            }
            Err(error) => Answer::error(StatusCode::BAD_REQUEST, None, error.to_string()),
        }
    }
}

fn not_found() -> Answer {
    Answer::error(StatusCode::NOT_FOUND, None, "no such page")
}

/// Parses the content of a request, or returns the answer that explains the error.
fn parse<T: DeserializeOwned>(content: &[u8]) -> Result<T, Answer> {
    let reader = &mut serde_json::Deserializer::from_slice(content);
    serde_path_to_error::deserialize(reader).map_err(|e| {
        let key = e.path().to_string();
        let key = Some(key.as_str()).filter(|key| *key != ".");
        Answer::error(StatusCode::BAD_REQUEST, key, e.inner().to_string())
    })
}
