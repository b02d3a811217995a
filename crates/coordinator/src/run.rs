//! Runs a coordinator: sockets, timers, signals.

use crate::actions::ActionRunner;
use crate::calls::Calls;
use crate::clock::Clock;
use crate::config::Sections;
use crate::log_thread::{self, LogThread, ThreadInput, ThreadOutput};
use crate::metrics::Sources;
use crate::pages::Pages;
use crate::peers::{self, Peers};
use crate::poller::Poller;
use crate::{joining, serve};
use load_balancer_common::cli::Exit;
use load_balancer_common::metering::Figures;
use load_balancer_common::pages::{self, Ask, Bounds};
use load_balancer_coordinator::core::Input;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

/// How long a leader that is told to stop waits for another one to lead, at most.
const HANDS_OVER_WITHIN: Duration = Duration::from_millis(1_500);
/// How long the disk may take to be closed.
const CLOSES_WITHIN: Duration = Duration::from_millis(500);

/// Why the process ends, in one line, and the code that it ends with.
type Failure = (String, Exit);

/// Runs until it is told to stop.
pub fn run(sections: Sections) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| (format!("cannot start the runtime: {e}"), Exit::Unavailable))?;
    let ended = LocalSet::new().block_on(&runtime, coordinator(&sections));
    // The disk may hold its thread up for ever: nobody waits for that.
    runtime.shutdown_background();
    ended
}

async fn coordinator(sections: &Sections) -> Result<(), Failure> {
    let unavailable = |what: String| (what, Exit::Unavailable);
    let own = &sections.coordinator;
    let mut term = signal(SignalKind::terminate()).map_err(|e| unavailable(e.to_string()))?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| unavailable(e.to_string()))?;
    let listener = TcpListener::bind(own.listen).await;
    let listener =
        listener.map_err(|e| unavailable(format!("cannot listen on {}: {e}", own.listen)))?;
    let clock = Clock::new(own.clock_offset_ms);
    let log_thread = log_thread::start(sections, clock);
    let LogThread {
        told,
        mut thread_outputs,
        seen,
    } = log_thread.map_err(|e| unavailable(e.to_string()))?;
    let calls = Calls::new(told, own.timeout.0);
    let peers = Peers::start(&own.name, &sections.coordinators, own.timeout.0);
    let poller = Poller::new(sections, clock, seen.clone(), calls.clone());
    let action_runner = ActionRunner::new(sections, clock, calls.clone(), Rc::clone(&poller));
    let pages = Pages::new(sections, clock, calls.clone(), seen.clone(), peers.clone());
    if sections.metrics.enabled {
        let (figures, at) = (Rc::new(Figures::new()), sections.metrics.address);
        let metrics = TcpListener::bind(at).await;
        let metrics = metrics
            .map_err(|e| unavailable(format!("cannot listen on metrics.address {at}: {e}")))?;
        spawn_local(Rc::clone(&figures).upkeep());
        let (calls, poller, seen) = (calls.clone(), Rc::clone(&poller), seen.clone());
        let sources = Sources {
            figures,
            seen,
            calls,
            peers: peers.clone(),
            poller,
        };
        let page = move |ask: Ask| {
            let sources = sources.clone();
            async move { (ask.path == "/metrics" && ask.posted.is_none()).then(|| sources.page()) }
        };
        spawn_local(pages::serve(metrics, Bounds::of(&sections.metrics), page));
    }
    let answer = move |asked, coordinator| pages.clone().answer(asked, coordinator);
    spawn_local(serve::serve(
        listener,
        own.connections,
        own.timeout.0,
        peers::MAX_CONTENT_BYTES,
        answer,
    ));
    spawn_local(poller.run());
    spawn_local(joining::join(sections.clone(), calls.clone(), seen.clone()));
    tracing::info!(target: "coordinator", "{} listens on {}", own.name, own.listen);

    let mut ticks = interval(own.heartbeat.0);
    // One that was stopped has not heard the heartbeats that it missed.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut leads = false;
    let mut until: Option<Instant> = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                calls.tell(Input::Tick);
                let acts = seen.borrow().view.as_ref().is_some_and(|view| view.replica_status.acts);
                if acts != leads {
                    leads = acts;
                    tracing::info!(target: "coordinator", "{}", if leads { "leads now" } else { "leads no more" });
                }
                if until.is_some() && !acts {
                    break;
                }
            }
            next = thread_outputs.recv() => match next {
                Some(ThreadOutput::Output(output)) => {
                    output.messages.iter().for_each(|(to, message)| peers.send(to, message));
                    output.replies.into_iter().for_each(|(caller, reply)| calls.answered(caller, reply));
                    output.acts.into_iter().for_each(|order| action_runner.act(order));
                    output.questions.into_iter().for_each(|order| action_runner.question(order));
                    output.notes.iter().for_each(|note| tracing::info!(target: "coordinator", "{note}"));
                }
                Some(ThreadOutput::Line(true, line)) => tracing::warn!(target: "coordinator", "{line}"),
                Some(ThreadOutput::Line(false, line)) => tracing::info!(target: "coordinator", "{line}"),
                None => return Err(("the agreement's thread has failed".to_owned(), Exit::Software)),
            },
            _ = term.recv(), if until.is_none() => until = Some(told_to_stop(&calls)),
            _ = int.recv(), if until.is_none() => until = Some(told_to_stop(&calls)),
            () = sleep_until(until.unwrap_or_else(Instant::now)), if until.is_some() => break,
        }
    }
    calls.send(ThreadInput::End);
    let closed = async { while thread_outputs.recv().await.is_some() {} };
    let _ = tokio::time::timeout(CLOSES_WITHIN, closed).await;
    Ok(())
}

fn told_to_stop(calls: &Calls) -> Instant {
    tracing::info!(target: "coordinator", "told to stop");
    calls.tell(Input::StepDown);
    Instant::now() + HANDS_OVER_WITHIN
}
