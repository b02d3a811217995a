//! sidecar: a sidecar load balancer on real sockets. One thread; every task shares it.
#![forbid(unsafe_code)]
#![warn(clippy::too_many_lines, clippy::cognitive_complexity)]

#[cfg(feature = "product")]
mod affinity;
#[cfg(feature = "product")]
mod affinity_list;
#[cfg(feature = "product")]
mod affinity_pages;
mod attempt;
mod client;
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
mod exit_error;
#[cfg(feature = "product")]
mod gossip;
mod headers;
mod host_list;
mod inbound;
mod load_report;
mod log_throttle;
mod messages;
#[cfg(feature = "product")]
mod observer;
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
mod upstream;
mod watch_schedule;
mod write_progress;

use clock::Clock;
use config::Config;
use descriptors::Limits;
use engine::{Engine, EngineParts};
use exit_error::ExitError;
use messages::Inputs;
use product::Product;
use report::say;
use shutdown::ShutdownStage;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long new connections are accepted after SIGTERM: clients go on opening them for up to 400
/// ms.
const ACCEPT_AFTER_TERM: Duration = Duration::from_millis(500);
/// SIGKILL comes no sooner than the longest deadline, held to `MAX_GRACE_PERIOD`, and 700 ms more
/// after SIGTERM: what is unanswered this long after the deadline is failed, so that the answer is
/// out before that.
const ANSWER_AFTER_TERM: Duration = Duration::from_millis(500);
const MAX_GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Time for the last answers to leave.
const LAST_WRITES: Duration = Duration::from_millis(80);

fn main() -> ExitCode {
    let mut product = match Product::begin() {
        Ok(product) => product,
        Err(code) => return code,
    };
    let ended = start(&mut product);
    if let Err(error) = &ended {
        say!(error, "sidecar", "{error}");
    }
    product.end();
    ended.map_or_else(|error| error.code(), |()| ExitCode::SUCCESS)
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
    // Awaited before anything else: unawaited, this one ends the process.
    let mut hup = signal(SignalKind::hangup())
        .map_err(|e| ExitError::failure(format!("cannot await SIGHUP: {e}")))?;
    let mut term = signal(SignalKind::terminate())
        .map_err(|e| ExitError::failure(format!("cannot await SIGTERM: {e}")))?;
    let mut int = signal(SignalKind::interrupt())
        .map_err(|e| ExitError::failure(format!("cannot await SIGINT: {e}")))?;
    let peers = match config.peer_listen {
        Some(at) => Some(
            peers::Peers::bind(at, &config.peers, config.peers_all)
                .map_err(|e| ExitError::failure(format!("cannot bind {at}: {e}")))?,
        ),
        None => None,
    };
    let longest = config.longest_deadline();
    let limits = Limits::of(config.sockets);
    let lanes = Rc::new(request_headers::RequestClasses::of(&config));
    let (discovery, discovery_at) = watch::channel(config.discovery);
    let fixed = config.fixed.clone();
    let observer = product.observer(&config.decoded.classes);
    let ((inputs, arriving), clock) = (Inputs::channel(), Clock::new());
    let state = product.recover(&mut config, clock)?;
    let fleet = product.join(&config, &inputs, clock, state.as_ref())?;
    let parts = EngineParts {
        inputs: inputs.clone(),
        arriving,
        clock,
        observer: observer.clone(),
        peers,
        fleet: fleet.clone(),
        state: state.clone(),
    };
    let (engine, handle) = Engine::new(config, discovery_at, parts).map_err(ExitError::failure)?;
    product.host(&observer, handle.inputs(), fleet.as_ref(), state.as_ref())?;
    let (stop, stopped) = watch::channel(ShutdownStage::No);
    let mut running = spawn_local(engine.run());
    let accepting = spawn_local(inbound::accept(
        listener, limits, lanes, handle, longest, stopped,
    ));

    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => {
                reload(&discovery, &fixed);
                product.reload();
            }
            // Without its decisions a sidecar only fails requests: better to end, and be started
            // anew.
            _ = &mut running => return Err(ExitError::failure("the engine has failed".to_owned())),
        }
    }
    say!(info, "sidecar", "told to stop");
    if let Some(fleet) = &fleet {
        fleet.leave();
    }
    if let Some(state) = &state {
        state.stop(&inputs);
    }
    let ending = end(stop, accepting, longest.min(MAX_GRACE_PERIOD));
    tokio::pin!(ending);
    // What is still held goes by the list, so discovery is followed to the end.
    loop {
        tokio::select! {
            () = &mut ending => return Ok(()),
            _ = hup.recv() => {
                reload(&discovery, &fixed);
                product.reload();
            }
        }
    }
}

/// Takes what still comes, has what is held answered, and fails the rest in time.
async fn end(stop: watch::Sender<ShutdownStage>, accepting: JoinHandle<()>, longest: Duration) {
    let told = Instant::now();
    stop.send_replace(ShutdownStage::Closing);
    sleep(ACCEPT_AFTER_TERM).await;
    stop.send_replace(ShutdownStage::Closed);
    // Ends once every connection has.
    let all_closed = async {
        if accepting.await.is_ok() {
            stop.closed().await;
        }
    };
    tokio::pin!(all_closed);
    tokio::select! {
        () = &mut all_closed => return,
        () = sleep_until(told + longest + ANSWER_AFTER_TERM) => {}
    }
    stop.send_replace(ShutdownStage::Now);
    let _ = timeout(LAST_WRITES, all_closed).await;
}

/// Takes in what may change while the sidecar runs: where discovery is. A file that can't be used
/// changes nothing.
fn reload(discovery: &watch::Sender<SocketAddr>, fixed: &serde_json::Value) {
    match Config::reload() {
        Ok(config) => {
            let rest = if config.fixed == *fixed {
                ""
            } else {
                ", other changes wait for a restart"
            };
            say!(
                info,
                "sidecar",
                "configuration reloaded: discovery at {}{rest}",
                config.discovery
            );
            discovery
                .send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
        }
        Err(what) => say!(
            warn,
            "sidecar",
            "reload failed, the old configuration stays: {what}"
        ),
    }
}
