//! The coordinator's HTTP interface; docs/coordinator.md describes it.

mod replies;
mod status;

use crate::calls::Calls;
use crate::clock::Clock;
use crate::config::Sections;
use crate::log_thread::Seen;
use crate::peers::{self, Peers};
use crate::serve::{Answer, Asked};
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

/// Longest content of a request by people, in bytes.
const MAX_CONTENT_BYTES: usize = 256 << 10;

/// What pages are made from.
#[derive(Clone)]
pub struct Pages {
    sections: Rc<Sections>,
    clock: Clock,
    calls: Calls,
    seen: watch::Receiver<Arc<Seen>>,
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
        calls: Calls,
        seen: watch::Receiver<Arc<Seen>>,
        peers: Peers,
    ) -> Self {
        Self {
            sections: Rc::new(sections.clone()),
            clock,
            calls,
            seen,
            peers,
        }
    }

    /// Answers a request.
    pub async fn answer(self, asked: Asked, coordinator: Rc<Cell<bool>>) -> Answer {
        let parts: Vec<&str> = asked.path.trim_matches('/').split('/').collect();
        let number = |text: &str| text.parse::<u64>().ok();
        if asked.path != peers::PATH && asked.content.len() > MAX_CONTENT_BYTES {
            let what = format!("the content is longer than {MAX_CONTENT_BYTES} bytes");
            return Answer::wrong(StatusCode::PAYLOAD_TOO_LARGE, None, what);
        }
        match (asked.method.as_str(), parts.as_slice()) {
            ("GET", ["status"]) => Answer::of(StatusCode::OK, self.status()),
            ("GET", ["windows"]) => self.shown(|view| json!(view.windows)),
            ("GET", ["windows", id]) => match number(id) {
                Some(id) => self.window(id),
                None => missing(),
            },
            ("GET", ["capacity"]) => self.shown(|view| json!(view.capacity)),
            ("POST", ["windows"]) => match parsed::<Request>(&asked.content) {
                Ok(request) => self.bring(Event::Ask(request)).await,
                Err(wrong) => wrong,
            },
            ("POST", ["windows", id, "cancel"]) => match number(id) {
                Some(window) => self.bring(Event::Cancel { window }).await,
                None => missing(),
            },
            ("POST", ["windows", id, "finished"]) => {
                match (number(id), parsed::<Finished>(&asked.content)) {
                    (Some(window), Ok(Finished { server })) => {
                        self.bring(Event::Finished { window, server }).await
                    }
                    (_, Err(wrong)) => wrong,
                    (None, _) => missing(),
                }
            }
            ("POST", ["step-down"]) => match self.calls.tell(Input::StepDown) {
                true => Answer::of(StatusCode::ACCEPTED, json!({"outcome": "asked"})),
                false => self.replied(Reply::Busy),
            },
            ("POST", ["agreement", "messages"]) => self.messages(&asked, &coordinator),
            ("POST", ["agreement", "join"]) => match parsed::<Join>(&asked.content) {
                Ok(Join { name, disk }) => self.join(name, &disk).await,
                Err(wrong) => wrong,
            },
            (
                _,
                [
                    "status" | "windows" | "capacity" | "step-down" | "agreement",
                    ..,
                ],
            ) => Answer::wrong(StatusCode::METHOD_NOT_ALLOWED, None, "no such method here"),
            _ => missing(),
        }
    }

    fn shown(&self, what: impl Fn(&load_balancer_coordinator::core::View) -> Value) -> Answer {
        match self.seen.borrow().view.as_ref() {
            Some(view) => Answer::of(StatusCode::OK, what(view)),
            None => Answer::wrong(
                StatusCode::SERVICE_UNAVAILABLE,
                None,
                "this coordinator stands back",
            ),
        }
    }

    fn window(&self, id: u64) -> Answer {
        let seen = self.seen.borrow();
        let found = seen
            .view
            .as_ref()
            .and_then(|view| view.windows.iter().find(|w| w.window == id));
        found.map_or_else(missing, |window| Answer::of(StatusCode::OK, json!(window)))
    }

    async fn bring(&self, event: Event) -> Answer {
        let reply = self.calls.bring(event).await;
        self.replied(reply)
    }

    async fn join(&self, name: String, disk: &str) -> Answer {
        let Ok(id) = disk.parse::<u64>() else {
            return Answer::wrong(StatusCode::BAD_REQUEST, Some("disk"), "is no number");
        };
        if !self.sections.coordinators.contains_key(&name) {
            return Answer::wrong(
                StatusCode::BAD_REQUEST,
                Some("name"),
                "is not one of [coordinators]",
            );
        }
        let reply = self.calls.admit(id, name).await;
        self.replied(reply)
    }

    fn messages(&self, asked: &Asked, coordinator: &Cell<bool>) -> Answer {
        let known = asked
            .from
            .as_ref()
            .filter(|name| self.sections.coordinators.contains_key(*name));
        let Some(from) = known else {
            return Answer::wrong(
                StatusCode::BAD_REQUEST,
                Some(peers::FROM),
                "is not one of [coordinators]",
            );
        };
        match peers::read(&asked.content) {
            Ok(messages) => {
                coordinator.set(true);
                for message in messages {
                    // What is not taken is lost, as on any network.
                    self.calls.tell(Input::Message(from.clone(), message));
                }
                Answer {
                    status: StatusCode::NO_CONTENT,
                    content: None,
                }
            }
            Err(error) => Answer::wrong(StatusCode::BAD_REQUEST, None, error.to_string()),
        }
    }
}

fn missing() -> Answer {
    Answer::wrong(StatusCode::NOT_FOUND, None, "no such page")
}

/// Content as what it should be, or what is wrong with it.
fn parsed<T: DeserializeOwned>(content: &[u8]) -> Result<T, Answer> {
    let reader = &mut serde_json::Deserializer::from_slice(content);
    serde_path_to_error::deserialize(reader).map_err(|e| {
        let key = e.path().to_string();
        let key = Some(key.as_str()).filter(|key| *key != ".");
        Answer::wrong(StatusCode::BAD_REQUEST, key, e.inner().to_string())
    })
}
