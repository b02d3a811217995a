//! Runs a coordinator: sockets, timers and signals.

use crate::actions::ActionRunner;
use crate::calls::PendingCalls;
use crate::clock::Clock;
use crate::config::Sections;
use crate::log_thread::{self, LogThread, ThreadInput, ThreadOutput};
use crate::metrics::Sources;
use crate::pages::Pages;
use crate::peers::{self, Peers};
use crate::poller::Poller;
use crate::{joining, serve};
use load_balancer_common::cli::Exit;
use load_balancer_common::metering::MetricsRegistry;
use load_balancer_common::pages::{self, Limits, PageRequest};
use load_balancer_coordinator::core::Input;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

/// Maximum time that a leader waits at shutdown for another one to take over.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum time to close the disk.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why the process ends, in one line, and its exit code.
type RunError = (String, Exit);

/// Runs until a signal ends the process.
pub fn run(sections: Sections) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| (format!("cannot start the runtime: {e}"), Exit::Unavailable))?;
    let result = LocalSet::new().block_on(&runtime, coordinator(&sections));
    // The log thread may be blocked by the disk indefinitely, so do not wait for it.
    runtime.shutdown_background();
    result
}

async fn coordinator(sections: &Sections) -> Result<(), RunError> {
    let unavailable = |message: String| (message, Exit::Unavailable);
    let section = &sections.coordinator;
    let mut sigterm = signal(SignalKind::terminate()).map_err(|e| unavailable(e.to_string()))?;
    let mut sigint = signal(SignalKind::interrupt()).map_err(|e| unavailable(e.to_string()))?;
    let listener = TcpListener::bind(section.listen).await;
    let listener =
        listener.map_err(|e| unavailable(format!("cannot listen on {}: {e}", section.listen)))?;
    let clock = Clock::new(section.clock_offset_ms);
    let log_thread = log_thread::start(sections, clock);
    let LogThread {
        inputs,
        mut outputs,
        status,
    } = log_thread.map_err(|e| unavailable(e.to_string()))?;
    let calls = PendingCalls::new(inputs, section.timeout.0);
    let peers = Peers::start(&section.name, &sections.coordinators, section.timeout.0);
    let poller = Poller::new(sections, clock, status.clone(), calls.clone());
    let action_runner = ActionRunner::new(sections, clock, calls.clone(), Rc::clone(&poller));
    let pages = Pages::new(
        sections,
        clock,
        calls.clone(),
        status.clone(),
        peers.clone(),
    );
    if sections.metrics.enabled {
        let (figures, address) = (Rc::new(MetricsRegistry::new()), sections.metrics.address);
        let metrics_listener = TcpListener::bind(address).await;
        let metrics = metrics_listener
            .map_err(|e| unavailable(format!("cannot listen on metrics.address {address}: {e}")))?;
        spawn_local(Rc::clone(&figures).upkeep());
        let (calls, poller, seen) = (calls.clone(), Rc::clone(&poller), status.clone());
        let sources = Sources {
            figures,
            status: seen,
            calls,
            peers: peers.clone(),
            poller,
        };
        let page = move |ask: PageRequest| {
            let sources = sources.clone();
            async move { (ask.path == "/metrics" && ask.body.is_none()).then(|| sources.page()) }
        };
        spawn_local(pages::serve(metrics, Limits::new(&sections.metrics), page));
    }
    let answer = move |request, from_coordinator| pages.clone().answer(request, from_coordinator);
    spawn_local(serve::serve(
        listener,
        section.connections,
        section.timeout.0,
        peers::MAX_CONTENT_BYTES,
        answer,
    ));
    spawn_local(poller.run());
    spawn_local(joining::join(
        sections.clone(),
        calls.clone(),
        status.clone(),
    ));
    tracing::info!(target: "coordinator", "{} listens on {}", section.name, section.listen);

    let mut ticks = interval(section.heartbeat.0);
    // A suspended process does not make up for the heartbeats it missed.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_leading = false;
    let mut shutdown_deadline: Option<Instant> = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                calls.send_input(Input::Tick);
                let is_active_leader = status.borrow().view.as_ref().is_some_and(|view| view.replica_status.acts);
                if is_active_leader != is_leading {
                    is_leading = is_active_leader;
                    tracing::info!(target: "coordinator", "{}", if is_leading { "became the leader" } else { "is no longer the leader" });
                }
                if shutdown_deadline.is_some() && !is_active_leader {
                    break;
                }
            }
            next = outputs.recv() => match next {
                Some(ThreadOutput::Output(output)) => {
                    output.messages.iter().for_each(|(recipient, message)| peers.send(recipient, message));
                    output.replies.into_iter().for_each(|(caller, reply)| calls.complete(caller, reply));
                    output.actions.into_iter().for_each(|order| action_runner.run(order));
                    output.drain_checks.into_iter().for_each(|order| action_runner.check_drained(order));
                    output.notes.iter().for_each(|note| tracing::info!(target: "coordinator", "{note}"));
                }
                Some(ThreadOutput::LogLine(true, line)) => tracing::warn!(target: "coordinator", "{line}"),
                Some(ThreadOutput::LogLine(false, line)) => tracing::info!(target: "coordinator", "{line}"),
                None => return Err(("the log thread has failed".to_owned(), Exit::Software)),
            },
            _ = sigterm.recv(), if shutdown_deadline.is_none() => shutdown_deadline = Some(begin_shutdown(&calls)),
            _ = sigint.recv(), if shutdown_deadline.is_none() => shutdown_deadline = Some(begin_shutdown(&calls)),
            () = sleep_until(shutdown_deadline.unwrap_or_else(Instant::now)), if shutdown_deadline.is_some() => break,
        }
    }
    calls.send(ThreadInput::Shutdown);
    let thread_ended = async { while outputs.recv().await.is_some() {} };
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, thread_ended).await;
    Ok(())
}

fn begin_shutdown(calls: &PendingCalls) -> Instant {
    tracing::info!(target: "coordinator", "shutting down; transferring leadership if this coordinator leads");
    calls.send_input(Input::StepDown);
    Instant::now() + TRANSFER_TIMEOUT
}
