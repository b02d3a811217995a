//! sidecar: a sidecar load balancer on real sockets. Single-threaded; all tasks share the thread.
#![forbid(unsafe_code)]
#![warn(clippy::too_many_lines, clippy::cognitive_complexity)]

#[cfg(feature = "product")]
mod affinity;
#[cfg(feature = "product")]
mod affinity_list;
#[cfg(feature = "product")]
mod affinity_pages;
mod answer_progress;
mod arrival_deadline;
mod attempt;
mod body;
mod client;
mod client_connections;
mod client_socket;
mod clock;
mod closing;
mod config;
mod config_error;
mod connection;
mod descriptors;
mod discovery;
mod endpoint_directory;
mod engine;
mod engine_handle;
mod eviction;
mod exit_error;
#[cfg(feature = "product")]
mod gossip;
mod head_allowance;
mod headers;
mod host_list;
mod inbound;
mod load_report;
mod log_throttle;
mod message_memory;
mod message_size;
mod messages;
#[cfg(feature = "product")]
mod observer;
mod occupancy;
mod open_requests;
#[cfg(feature = "product")]
mod pages;
mod peers;
mod pool;
#[cfg_attr(not(feature = "product"), path = "product_disabled.rs")]
mod product;
mod product_file;
#[cfg(feature = "product")]
mod product_sections;
mod refusal;
mod repeat_guard;
mod report;
mod request_headers;
mod serving;
mod session;
mod shutdown;
#[cfg(feature = "product")]
mod snapshot;
#[cfg(feature = "product")]
mod stored_form;
mod timers;
mod turns;
mod unread;
mod upstream;
mod watch_schedule;
mod write_progress;

use client_connections::ClientConnections;
use clock::Clock;
use config::Config;
use descriptors::ConnectionLimits;
use engine::{Engine, EngineParts};
use exit_error::ExitError;
use message_memory::MessageMemory;
use messages::InputSender;
use product::Product;
use report::say;
use shutdown::{ShutdownStage, shut_down};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

fn main() -> ExitCode {
    let mut product = match Product::begin() {
        Ok(product) => product,
        Err(code) => return code,
    };
    let result = start(&mut product);
    if let Err(error) = &result {
        say!(error, "sidecar", "{error}");
    }
    product.end();
    result.map_or_else(|error| error.code(), |()| ExitCode::SUCCESS)
}

fn start(product: &mut Product) -> Result<(), ExitError> {
    let config = Config::from_env().map_err(ExitError::failure)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| ExitError::failure(format!("cannot start the runtime: {e}")))?;
    LocalSet::new().block_on(&runtime, serve(config, product))
}

async fn serve(mut config: Config, product: &mut Product) -> Result<(), ExitError> {
    let listener = inbound::bind(config.listen)
        .map_err(|e| ExitError::failure(format!("cannot listen on {}: {e}", config.listen)))?;
    // Installed first: before that, SIGHUP would end the process.
    let mut hup = signal(SignalKind::hangup())
        .map_err(|e| ExitError::failure(format!("cannot await SIGHUP: {e}")))?;
    let mut term = signal(SignalKind::terminate())
        .map_err(|e| ExitError::failure(format!("cannot await SIGTERM: {e}")))?;
    let mut int = signal(SignalKind::interrupt())
        .map_err(|e| ExitError::failure(format!("cannot await SIGINT: {e}")))?;
    let peers = match config.peer_listen {
        Some(at) => Some(
            peers::Peers::bind(at, &config.peers, config.peer_broadcast)
                .map_err(|e| ExitError::failure(format!("cannot bind {at}: {e}")))?,
        ),
        None => None,
    };
    let longest_deadline = config.longest_deadline();
    let limits = ConnectionLimits::from_descriptors(config.max_descriptors);
    let memory = MessageMemory::of_process(config.max_memory_bytes);
    let request_classes = Rc::new(request_headers::RequestClasses::from_config(&config));
    let (discovery, discovery_at) = watch::channel(config.discovery);
    let startup_only = config.startup_only.clone();
    let observer = product.observer(&config.decoded.classes);
    let ((inputs, input_receiver), clock) = (InputSender::channel(), Clock::new());
    let snapshot = product.recover(&mut config, clock)?;
    let fleet = product.join(&config, &inputs, clock, snapshot.as_ref())?;
    let parts = EngineParts {
        inputs: inputs.clone(),
        input_receiver,
        clock,
        observer: observer.clone(),
        answer_memory: memory.answers.clone(),
        peers,
        fleet: fleet.clone(),
        snapshot: snapshot.clone(),
    };
    let (engine, handle) = Engine::new(config, discovery_at, parts).map_err(ExitError::failure)?;
    product.start_components(
        &observer,
        handle.inputs(),
        fleet.as_ref(),
        snapshot.as_ref(),
    )?;
    let (shutdown, shutdown_stage) = watch::channel(ShutdownStage::Running);
    let mut engine_task = spawn_local(engine.run());
    let accept_task = spawn_local(inbound::accept(
        listener,
        ClientConnections::new(limits.clients, memory, observer.clone()),
        request_classes,
        handle,
        longest_deadline,
        shutdown_stage,
    ));

    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => {
                reload(&discovery, &startup_only);
                product.reload();
            }
            // Without the engine a sidecar only fails requests, so it exits in order to be
            // restarted.
            _ = &mut engine_task => return Err(ExitError::failure("the engine has failed".to_owned())),
        }
    }
    say!(info, "sidecar", "told to stop");
    if let Some(fleet) = &fleet {
        fleet.leave();
    }
    if let Some(state) = &snapshot {
        state.stop(&inputs);
    }
    let shutdown_task = shut_down(shutdown, accept_task, longest_deadline);
    tokio::pin!(shutdown_task);
    // Open requests still depend on the list, so discovery is followed to the end.
    loop {
        tokio::select! {
            () = &mut shutdown_task => return Ok(()),
            _ = hup.recv() => {
                reload(&discovery, &startup_only);
                product.reload();
            }
        }
    }
}

/// Reloads what may change while the sidecar runs: the address of discovery. An invalid file
/// changes nothing.
fn reload(discovery: &watch::Sender<SocketAddr>, startup_only: &serde_json::Value) {
    match Config::reload() {
        Ok(config) => {
            let note = if config.startup_only == *startup_only {
                ""
            } else {
                ", other changes wait for a restart"
            };
            say!(
                info,
                "sidecar",
                "configuration reloaded: discovery at {}{note}",
                config.discovery
            );
            discovery
                .send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
        }
        Err(error) => say!(
            warn,
            "sidecar",
            "reload failed, the old configuration stays: {error}"
        ),
    }
}
