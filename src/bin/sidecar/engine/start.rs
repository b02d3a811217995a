//! Construction of the engine.

use super::{Engine, INPUT_LOG_INTERVAL};
use crate::clock::Clock;
use crate::config::Config;
use crate::descriptors::ConnectionLimits;
use crate::discovery::{self, DiscoveryRequest};
use crate::endpoint_directory::EndpointDirectory;
use crate::engine_handle::EngineHandle;
use crate::host_list::HostList;
use crate::log_throttle::LogThrottle;
use crate::message_memory::MemoryShare;
use crate::messages::{Input, InputSender};
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

/// The parts of an engine besides its configuration.
pub struct EngineParts {
    /// The sender of its inputs, for the tasks that it starts.
    pub inputs: InputSender,
    /// The receiver of its inputs.
    pub input_receiver: mpsc::UnboundedReceiver<Input>,
    /// The decision module's clock.
    pub clock: Clock,
    /// Records its metrics and debug lines.
    pub observer: Observer,
    /// The memory for answers.
    pub answer_memory: MemoryShare,
    /// The socket to peers, if the platform configures one.
    pub peers: Option<Peers>,
    /// Its gossip member, if one is configured.
    pub fleet: Option<Fleet>,
    /// Its stored state, if that is configured.
    pub snapshot: Option<SnapshotHost>,
}

impl Engine {
    /// Starts the module with the cached list, and the tasks that serve it.
    pub fn new(
        config: Config,
        discovery_at: watch::Receiver<SocketAddr>,
        parts: EngineParts,
    ) -> Result<(Self, EngineHandle), SettingsError> {
        let EngineParts {
            inputs: input_sender,
            input_receiver: inputs,
            clock,
            observer,
            answer_memory,
            peers,
            fleet,
            snapshot: state,
        } = parts;
        let decoded = config.decoded;
        let limits = &decoded.settings.limits;
        let max_upstream = ConnectionLimits::from_descriptors(config.max_descriptors).upstream;
        let pool = Rc::new(Pool::new(
            max_upstream,
            limits.dial_timeout,
            decoded.idle_close,
            answer_memory.clone(),
        ));
        let mode = decoded.settings.discovery;
        let mut balancer = Balancer::new(decoded.settings, config.seed)?;
        if let Some(fleet) = &fleet {
            balancer.set_sharing(fleet.sharing());
        }
        let (discovery_requests, request_receiver) = mpsc::unbounded_channel();
        let mut engine = Self {
            balancer,
            clock,
            inputs,
            input_sender: input_sender.clone(),
            open_requests: OpenRequests::new(clock, observer.clone(), fleet.clone()),
            directory: EndpointDirectory::new(
                decoded.zones,
                Rc::clone(&pool),
                fleet.clone(),
                state,
            ),
            upstream: Rc::new(Upstream::new(Rc::clone(&pool))),
            pool: Rc::clone(&pool),
            discovery_requests,
            peers: peers.clone(),
            timers: Timers::new(clock),
            events: VecDeque::new(),
            log_throttle: LogThrottle::new(INPUT_LOG_INTERVAL),
            observer,
            fleet,
        };
        spawn_local(pool.retire_idle());
        let cached_version = config.cached_list.as_ref().map(|list| list.index);
        // If changes are pushed, the module never requests them: a watch delivers them unrequested.
        if mode == Discovery::Pushed {
            let _ = engine.discovery_requests.send(DiscoveryRequest::Watch);
        }
        spawn_local(discovery::run(
            discovery_at,
            mode,
            cached_version,
            config.seed,
            answer_memory,
            request_receiver,
            input_sender.clone(),
        ));
        if let Some(peers) = peers {
            spawn_local(peers.forward(input_sender.clone()));
        }
        let cached_list = config.cached_list.unwrap_or(HostList {
            index: 0,
            snapshot: true,
            endpoints: Vec::new(),
            unreadable: 0,
        });
        let cached_endpoints = engine
            .directory
            .apply_list(cached_list, true, |id| engine.balancer.is_known(id));
        engine.deliver(Event::Endpoints(ListUpdate::Cached(cached_endpoints)));
        let handle = EngineHandle::new(input_sender, clock, engine.observer.clone());
        Ok((engine, handle))
    }
}
