//! The thread that owns the replicated log and is the only one to touch the disk.

mod thread;

use crate::clock::Clock;
use crate::config::Sections;
use load_balancer_coordinator::core::{Input, Output, View};
use std::sync::Arc;
use thread::Thread;
use tokio::sync::{mpsc, watch};

/// What waits to be taken in. A disk that holds the thread up for longer fills it: then messages
/// are dropped, as a network would, and callers are told to come again.
const WAITING: usize = 1_024;

/// What the thread is told.
pub enum ThreadInput {
    /// For the coordinator.
    Input(Box<Input>),
    /// No other coordinator has any part of a log: found one.
    Found,
    /// The process ends.
    End,
}

/// What can be seen from outside.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// The coordinator; none before the disk was read, and while it fails.
    pub view: Option<View>,
    /// Why it halted.
    pub halted: Option<String>,
    /// When it was seen last, by the monotonic clock.
    pub at_ms: u64,
}

/// What the thread gives.
pub enum ThreadOutput {
    /// To be done.
    Output(Output),
    /// To be written to the log: whether it is a warning, and what.
    Line(bool, String),
}

/// Ends of the thread.
pub struct LogThread {
    pub told: mpsc::Sender<ThreadInput>,
    pub thread_outputs: mpsc::Receiver<ThreadOutput>,
    pub seen: watch::Receiver<Arc<Seen>>,
}

/// Starts the thread. It ends when nobody tells it anything any more.
pub fn start(sections: &Sections, clock: Clock) -> std::io::Result<LogThread> {
    let (told, inbox) = mpsc::channel(WAITING);
    let (outbox, thread_outputs) = mpsc::channel(WAITING);
    let (published, seen) = watch::channel(Arc::new(Seen::default()));
    let thread = Thread {
        sections: sections.clone(),
        clock,
        inbox,
        outbox,
        published,
    };
    std::thread::Builder::new()
        .name("agreement".to_owned())
        .spawn(move || thread.run())?;
    Ok(LogThread {
        told,
        thread_outputs,
        seen,
    })
}
