//! How an engine is put together.

use super::{COMPLAINT_SPACING, Engine};
use crate::clock::Clock;
use crate::config::Config;
use crate::descriptors::Limits;
use crate::discovery::{self, Ask};
use crate::endpoint_directory::EndpointDirectory;
use crate::engine_handle::EngineHandle;
use crate::host_list::HostList;
use crate::log_throttle::LogThrottle;
use crate::messages::{Input, Inputs};
use crate::open_requests::OpenRequests;
use crate::peers::Peers;
use crate::pool::Pool;
use crate::product::{Fleet, Observer, SnapshotHost};
use crate::timers::Timers;
use crate::upstream::Upstream;
use load_balancer::{Balancer, Discovery, Event, ListUpdate, SettingsError};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

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
            balancer.set_sharing(fleet.sharing());
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
            .apply(known, true, |id| engine.balancer.is_known(id));
        engine.deliver(Event::Endpoints(ListUpdate::Cached(listings)));
        Ok((engine, EngineHandle::new(sender, clock)))
    }
}
