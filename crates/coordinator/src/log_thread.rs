//! The thread that owns the replicated log and performs all disk access.

mod thread;

use crate::clock::Clock;
use crate::config::Sections;
use load_balancer_coordinator::core::{Input, Output, View};
use std::sync::Arc;
use thread::Thread;
use tokio::sync::{mpsc, watch};

/// Length of the queues. If the disk blocks the thread for longer, messages are dropped, as on a
/// network, and callers are asked to retry.
const QUEUE_LENGTH: usize = 1_024;

/// An input of the thread.
pub enum ThreadInput {
    /// An input of the coordinator core.
    Input(Box<Input>),
    /// No other coordinator has any part of a log: found one.
    FoundLog,
    /// The process is shutting down.
    Shutdown,
}

/// The status that the thread publishes.
#[derive(Clone, Debug, Default)]
pub struct PublishedStatus {
    /// Status of the coordinator; `None` until the disk has been read, and while it fails.
    pub view: Option<View>,
    /// Why it halted.
    pub halted: Option<String>,
    /// When it was last updated, by the monotonic clock.
    pub at_ms: u64,
}

/// An output of the thread.
pub enum ThreadOutput {
    /// An output of the coordinator core.
    Output(Output),
    /// A log line, and whether it is a warning.
    LogLine(bool, String),
}

/// Channels of the thread.
pub struct LogThread {
    pub inputs: mpsc::Sender<ThreadInput>,
    pub outputs: mpsc::Receiver<ThreadOutput>,
    pub status: watch::Receiver<Arc<PublishedStatus>>,
}

/// Starts the thread. It ends once all senders of inputs are dropped.
pub fn start(sections: &Sections, clock: Clock) -> std::io::Result<LogThread> {
    let (inputs, inbox) = mpsc::channel(QUEUE_LENGTH);
    let (outbox, outputs) = mpsc::channel(QUEUE_LENGTH);
    let (published, status) = watch::channel(Arc::new(PublishedStatus::default()));
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
        inputs,
        outputs,
        status,
    })
}
