//! Owns the decision module: everything that happens on the sockets becomes an event for it, and
//! its actions are carried out. Nothing is decided here.

mod actions;

use crate::clock::Clock;
use crate::config::Config;
use crate::descriptors::Limits;
use crate::discovery::{self, Ask};
use crate::endpoint_directory::EndpointDirectory;
use crate::engine_handle::EngineHandle;
use crate::host_list::HostList;
use crate::log_throttle::{LogThrottle, suppressed_note};
#[cfg(feature = "product")]
use crate::messages::EngineSummary;
use crate::messages::{Input, Inputs};
use crate::open_requests::OpenRequests;
use crate::peers::Peers;
use crate::pool::Pool;
use crate::product::{Fleet, Observer, SnapshotHost};
use crate::report::say;
use crate::timers::Timers;
use crate::upstream::Upstream;
use load_balancer::{Balancer, Discovery, Event, ListUpdate, SettingsError};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, yield_now};
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

/// What an engine is made of besides its configuration.
pub struct EngineParts {
    /// The way to it, for the tasks that it starts.
    pub inputs: Inputs,
    /// Its own end of that.
    pub arriving: mpsc::UnboundedReceiver<Input>,
    /// The decision module's clock.
    pub clock: Clock,
    /// What sees its doings.
    pub observer: Observer,
    /// The datagrams to and from peers, where the platform has any.
    pub peers: Option<Peers>,
    /// Its gossip member, where one is configured.
    pub fleet: Option<Fleet>,
    /// What it stores, where that is configured.
    pub state: Option<SnapshotHost>,
}

impl Engine {
    /// Starts the module with the list as last known, and the tasks that serve it.
    pub fn new(
        config: Config,
        discovery_at: watch::Receiver<SocketAddr>,
        parts: EngineParts,
    ) -> Result<(Self, EngineHandle), SettingsError> {
        let EngineParts {
            inputs: sender,
            arriving: inputs,
            clock,
            observer,
            peers,
            fleet,
            state,
        } = parts;
        let decoded = config.decoded;
        let limits = &decoded.settings.limits;
        let most = Limits::of(config.sockets).upstream;
        let pool = Rc::new(Pool::new(most, limits.dial_timeout, decoded.idle_close));
        let pushed = decoded.settings.discovery == Discovery::Pushed;
        let mut balancer = Balancer::new(decoded.settings, config.seed)?;
        if let Some(fleet) = &fleet {
            balancer.share(fleet.sharing());
        }
        let (asks, asked) = mpsc::unbounded_channel();
        let mut engine = Self {
            balancer,
            clock,
            inputs,
            sender: sender.clone(),
            open: OpenRequests::new(clock, observer.clone(), fleet.clone()),
            listed: EndpointDirectory::new(decoded.zones, Rc::clone(&pool), fleet.clone(), state),
            upstream: Rc::new(Upstream::new(Rc::clone(&pool))),
            pool: Rc::clone(&pool),
            asks,
            peers: peers.clone(),
            timers: Timers::new(clock),
            events: VecDeque::new(),
            complaints: LogThrottle::new(COMPLAINT_SPACING),
            observer,
            fleet,
        };
        spawn_local(pool.retire_idle());
        let known = config.known.as_ref().map(|list| list.index);
        // Where changes are pushed the module never asks for them: a watch is how they come unasked
        // here.
        if pushed {
            let _ = engine.asks.send(Ask::Watch);
        }
        spawn_local(discovery::run(
            discovery_at,
            known,
            config.seed,
            asked,
            sender.clone(),
        ));
        if let Some(peers) = peers {
            spawn_local(peers.pass_on(sender.clone()));
        }
        let known = config.known.unwrap_or(HostList {
            index: 0,
            snapshot: true,
            endpoints: Vec::new(),
            unread: 0,
        });
        let listings = engine
            .listed
            .apply(known, true, |id| engine.balancer.knows(id));
        engine.deliver(Event::Endpoints(ListUpdate::Cached(listings)));
        Ok((engine, EngineHandle::new(sender, clock)))
    }

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
                took,
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
                let update = self.listed.answered(list, |id| self.balancer.knows(id));
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
