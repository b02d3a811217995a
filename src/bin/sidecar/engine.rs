//! Owns the decision module: turns everything that happens on the sockets into events for it, and
//! performs its actions. Makes no decisions itself.

mod actions;
mod start;

use crate::clock::Clock;
use crate::discovery::DiscoveryRequest;
use crate::endpoint_directory::EndpointDirectory;
use crate::log_throttle::{LogThrottle, suppressed_note};
#[cfg(feature = "product")]
use crate::messages::EngineSummary;
use crate::messages::{Answer, Input, InputSender, Withdrawal};
use crate::open_requests::OpenRequests;
use crate::peers::Peers;
use crate::pool::Pool;
use crate::product::{Fleet, Observer};
use crate::repeat_guard::Admission;
use crate::report::say;
use crate::timers::Timers;
use crate::turns::{FOR_ATTEMPTS, yield_turns};
use crate::upstream::Upstream;
use load_balancer::{Balancer, Event, ListUpdate, RequestId};
pub use start::EngineParts;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Shortest time between log lines about invalid input.
const INPUT_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The decision module, and the state of everything in progress.
pub struct Engine {
    balancer: Balancer,
    clock: Clock,
    inputs: mpsc::UnboundedReceiver<Input>,
    input_sender: InputSender,
    open_requests: OpenRequests,
    directory: EndpointDirectory,
    pool: Rc<Pool>,
    upstream: Rc<Upstream>,
    discovery_requests: mpsc::UnboundedSender<DiscoveryRequest>,
    peers: Option<Peers>,
    timers: Timers,
    /// Events caused by actions.
    events: VecDeque<Event>,
    log_throttle: LogThrottle,
    observer: Observer,
    fleet: Option<Fleet>,
}

impl Engine {
    /// Runs until the input channel is closed.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                biased;
                input = self.inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                // If the process was suspended, input that arrived before the timer was due may not
                // have been noticed yet, and attempts whose time is over as well have not ended.
                () = self.timers.wait() => yield_turns(FOR_ATTEMPTS).await,
            }
            // Queued inputs go first; taking only those queued now keeps timers from starving.
            for _ in 0..self.inputs.len() {
                let Ok(input) = self.inputs.try_recv() else {
                    break;
                };
                self.handle_input(input);
            }
            self.fire_timers();
        }
    }

    fn fire_timers(&mut self) {
        let now = self.clock.now();
        while let Some(token) = self.timers.take_due(now) {
            self.deliver(Event::Timer(token));
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Request {
                mut request,
                outgoing,
                reply,
            } => {
                match self.open_requests.admit(request.id, &outgoing) {
                    Admission::New => {}
                    Admission::Replaces(earlier) => self.withdraw(earlier, Withdrawal::ClientLeft),
                    // Its client may have left as well.
                    Admission::Repeated => return drop(reply.send(Answer::Failed)),
                }
                self.open_requests.accept(&mut request, outgoing, reply);
                self.deliver(Event::Request(request));
            }
            Input::Withdrawn(id, reason) => self.withdraw(id, reason),
            Input::AttemptEnded(ended) => {
                if let Some(event) = self.open_requests.attempt_ended(ended) {
                    self.deliver(event);
                }
            }
            Input::ProbeEnded {
                endpoint,
                outcome,
                elapsed: took,
                load,
            } => self.deliver(Event::ProbeEnded {
                endpoint,
                outcome,
                elapsed: took,
                load,
            }),
            Input::EndpointList(list) => {
                if list.unreadable > 0 {
                    self.log_throttled(&format!(
                        "discovery: {} entries without a name",
                        list.unreadable
                    ));
                }
                self.observer.list_received();
                let update = self
                    .directory
                    .apply_answer(list, |id| self.balancer.is_known(id));
                self.deliver(Event::Endpoints(update));
            }
            Input::ListFailed(what) => {
                self.log_throttled(&format!("discovery: {what}"));
                self.deliver(Event::Endpoints(ListUpdate::Failed));
            }
            #[cfg(feature = "product")]
            Input::Summarize(reply) => {
                let (open, attempts) = self.open_requests.count();
                // The reader may have disconnected.
                let _ = reply.send(EngineSummary {
                    summary: self.balancer.summary(),
                    open,
                    attempts,
                });
            }
            #[cfg(feature = "product")]
            Input::Restored(known) => {
                self.deliver(Event::Restored(self.directory.restored_endpoints(known)))
            }
            #[cfg(feature = "product")]
            Input::Export(reply) => drop(reply.send(self.directory.export(&self.balancer))),
            #[cfg(feature = "product")]
            Input::Ejections(updates) => self.deliver(Event::Ejections(updates)),
            Input::PeerDatagram {
                from,
                bytes,
                permit,
            } => {
                self.deliver(Event::PeerMessage { from, bytes });
                // Releases the datagram's place in the queue only now.
                drop(permit);
            }
        }
    }

    fn withdraw(&mut self, id: RequestId, reason: Withdrawal) {
        if self.open_requests.withdraw(id, reason) {
            self.deliver(Event::Abandoned(id));
        }
    }

    fn log_throttled(&mut self, message: &str) {
        if let Some(suppressed) = self.log_throttle.allow(Instant::now()) {
            say!(
                warn,
                "sidecar::discovery",
                "{message}{}",
                suppressed_note(suppressed)
            );
        }
    }

    /// Passes an event to the module, and the events that its actions cause.
    fn deliver(&mut self, event: Event) {
        self.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let now = self.clock.now();
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(now, action);
            }
        }
    }
}
