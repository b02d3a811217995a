//! Owns the decision module: everything that happens on the sockets becomes an event for it, and
//! its actions are carried out. Nothing is decided here.

mod actions;
mod start;

use crate::clock::Clock;
use crate::discovery::Ask;
use crate::endpoint_directory::EndpointDirectory;
use crate::log_throttle::{LogThrottle, suppressed_note};
#[cfg(feature = "product")]
use crate::messages::EngineSummary;
use crate::messages::{Input, Inputs};
use crate::open_requests::OpenRequests;
use crate::peers::Peers;
use crate::pool::Pool;
use crate::product::{Fleet, Observer};
use crate::report::say;
use crate::timers::Timers;
use crate::upstream::Upstream;
use load_balancer::{Balancer, Event, ListUpdate};
pub use start::EngineParts;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Log lines about bad input from outside: one in this time.
const COMPLAINT_SPACING: Duration = Duration::from_secs(5);

/// The module and all that it has under way.
pub struct Engine {
    balancer: Balancer,
    clock: Clock,
    inputs: mpsc::UnboundedReceiver<Input>,
    sender: Inputs,
    open: OpenRequests,
    listed: EndpointDirectory,
    pool: Rc<Pool>,
    upstream: Rc<Upstream>,
    asks: mpsc::UnboundedSender<Ask>,
    peers: Option<Peers>,
    timers: Timers,
    /// Events that follow from actions.
    events: VecDeque<Event>,
    complaints: LogThrottle,
    observer: Observer,
    fleet: Option<Fleet>,
}

impl Engine {
    /// Runs for good.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                biased;
                input = self.inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
                // A process that was held up may not have looked yet at what came before the timer
                // was due.
                () = self.timers.wait() => yield_now().await,
            }
            // Inputs that are there go first, and a stream of them can't hold up the timers.
            for _ in 0..self.inputs.len() {
                let Ok(input) = self.inputs.try_recv() else {
                    break;
                };
                self.take(input);
            }
            self.fire_timers();
        }
    }

    fn fire_timers(&mut self) {
        let now = self.clock.now();
        while let Some(token) = self.timers.due(now) {
            self.deliver(Event::Timer(token));
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Request {
                mut request,
                outgoing,
                reply,
            } => {
                self.open.take(&mut request, outgoing, reply);
                self.deliver(Event::Request(request));
            }
            Input::Withdrawn(id) => {
                if self.open.withdraw(id) {
                    self.deliver(Event::Abandoned(id));
                }
            }
            Input::Ended(ended) => {
                if let Some(event) = self.open.ended(ended) {
                    self.deliver(event);
                }
            }
            Input::Probed {
                endpoint,
                outcome,
                took,
                load,
            } => self.deliver(Event::ProbeEnded {
                endpoint,
                outcome,
                elapsed: took,
                load,
            }),
            Input::EndpointList(list) => {
                if list.unread > 0 {
                    self.complain(&format!(
                        "discovery: {} entries without a name",
                        list.unread
                    ));
                }
                self.observer.listed();
                let update = self.listed.answered(list, |id| self.balancer.is_known(id));
                self.deliver(Event::Endpoints(update));
            }
            Input::ListFailed(what) => {
                self.complain(&format!("discovery: {what}"));
                self.deliver(Event::Endpoints(ListUpdate::Failed));
            }
            #[cfg(feature = "product")]
            Input::Summarize(reply) => {
                let (open, attempts) = self.open.count();
                // Whoever asked may have left.
                let _ = reply.send(EngineSummary {
                    summary: self.balancer.summary(),
                    open,
                    attempts,
                });
            }
            #[cfg(feature = "product")]
            Input::Restored(known) => self.deliver(Event::Restored(self.listed.by_number(known))),
            #[cfg(feature = "product")]
            Input::Export(reply) => drop(reply.send(self.listed.export(&self.balancer))),
            #[cfg(feature = "product")]
            Input::Ejections(updates) => self.deliver(Event::Ejections(updates)),
            Input::Peer {
                from,
                bytes,
                permit,
            } => {
                self.deliver(Event::PeerMessage { from, bytes });
                // Its place is free once it has been taken in.
                drop(permit);
            }
        }
    }

    fn complain(&mut self, what: &str) {
        if let Some(others) = self.complaints.pass(Instant::now()) {
            say!(
                warn,
                "sidecar::discovery",
                "{what}{}",
                suppressed_note(others)
            );
        }
    }

    /// Tells the module of an event and of those that its actions bring about.
    fn deliver(&mut self, event: Event) {
        self.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let now = self.clock.now();
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action);
            }
        }
    }
}
