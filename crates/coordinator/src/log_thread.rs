//! The thread that owns the replicated log and is the only one to touch the disk.

use crate::clock::Clock;
use crate::config::Sections;
use load_balancer_coordinator::core::{CoordinatorCore, Input, Output, Reply, Settings, View};
use load_balancer_coordinator::replicated_log::{HaltReason, LogStore, Options};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// What waits to be taken in. A disk that holds the thread up for longer fills it: then messages
/// are dropped, as a network would, and callers are told to come again.
const WAITING: usize = 1_024;
/// What is taken in before the next commit, at most.
const AT_ONCE: usize = 128;
/// Pause before a disk that failed is tried again.
const REOPEN: Duration = Duration::from_secs(2);

/// What is seen from outside is renewed as often, though nothing was agreed on: observations grows
/// old. In milliseconds.
const SHOW_MS: u64 = 1_000;

/// What the thread is told.
pub enum ThreadInput {
    /// For the coordinator.
    Input(Box<Input>),
    /// No other coordinator has any part of an agreement: found one.
    Found,
    /// The process ends.
    End,
}

/// What can be seen from outside.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// The coordinator; none before the disk was read, and while it fails.
    pub view: Option<View>,
    /// Why it stands back.
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

struct Thread {
    sections: Sections,
    clock: Clock,
    inbox: mpsc::Receiver<ThreadInput>,
    outbox: mpsc::Sender<ThreadOutput>,
    published: watch::Sender<Arc<Seen>>,
}

impl Thread {
    fn run(mut self) {
        let (mut found, mut said) = (false, String::new());
        loop {
            let halted = match self.open(found) {
                Ok(coordinator) => {
                    if !said.is_empty() {
                        said.clear();
                        self.line(false, "the disk can be used again".to_owned());
                    }
                    match self.serve(coordinator) {
                        End::Over => return,
                        End::Found => {
                            found = true;
                            continue;
                        }
                        End::Halted(halt) => halt,
                    }
                }
                Err(halt) => halt,
            };
            found = false;
            let what = halted.to_string();
            if said != what {
                self.line(true, format!("stands back: {what}"));
            }
            self.publish(Seen {
                halted: Some(what.clone()),
                ..Seen::default()
            });
            said = what;
            if !self.wait() {
                return;
            }
        }
    }

    fn line(&self, warning: bool, what: String) {
        let _ = self.outbox.blocking_send(ThreadOutput::Line(warning, what));
    }

    fn publish(&self, mut seen: Seen) {
        seen.at_ms = self.clock.now().mono_ms;
        self.published.send_replace(Arc::new(seen));
    }

    fn open(&self, found: bool) -> Result<CoordinatorCore, HaltReason> {
        let own = &self.sections.coordinator;
        let opened = load_balancer_record_store::open(&own.data, &own.name)?;
        if let Some(quarantined) = opened.quarantined {
            let what = format!(
                "what {} kept is not believed ({})",
                own.data.display(),
                quarantined.why
            );
            self.line(
                true,
                format!(
                    "{what}, it lies in {} now; comes in anew",
                    quarantined.file.display()
                ),
            );
        }
        let log_store =
            LogStore::open(opened.store, fastrand::u64(1..u64::MAX))?.slowed(own.disk_delay.0);
        let heartbeat = u64::try_from(own.heartbeat.0.as_millis()).unwrap_or(u64::MAX);
        let names: Vec<String> = self.sections.coordinators.keys().cloned().collect();
        let options = Options {
            name: own.name.clone(),
            run: fastrand::u64(..),
            patience: own.patience,
            least: names.len().min(3),
        };
        let timeout =
            u64::try_from(self.sections.platform.timeout.0.as_millis()).unwrap_or(u64::MAX);
        let settings = Settings {
            names,
            budget: self.sections.budget.clone(),
            again_ms: timeout / 2,
            // Its own time-out, one of a page of sidecars, and the way there and back.
            lost_ms: timeout.saturating_mul(4),
            confirmation_ms: heartbeat.saturating_mul(own.patience as u64),
        };
        CoordinatorCore::new(log_store, options, settings, found)
    }

    /// Waits until the disk may be tried again, and answers meanwhile; false where nobody is there
    /// any more.
    fn wait(&mut self) -> bool {
        let until = Instant::now() + REOPEN;
        while Instant::now() < until {
            let mut replies = Vec::new();
            match self.inbox.blocking_recv() {
                Some(ThreadInput::Input(input)) => {
                    if let Input::Bring(caller, _) | Input::Admit(caller, ..) = *input {
                        replies.push((caller, Reply::NotLeader));
                    }
                }
                Some(ThreadInput::Found) => {}
                Some(ThreadInput::End) | None => return false,
            }
            if !replies.is_empty() {
                let output = Output {
                    replies,
                    ..Output::default()
                };
                let _ = self.outbox.blocking_send(ThreadOutput::Output(output));
            }
        }
        true
    }

    fn serve(&mut self, mut coordinator: CoordinatorCore) -> End {
        let mut shown = None;
        let mut shown_ms = 0;
        while let Some(first) = self.inbox.blocking_recv() {
            let mut next = Some(first);
            let mut count = 0;
            while let Some(told) = next.take() {
                match told {
                    ThreadInput::Input(input) => coordinator.take(self.clock.now(), *input),
                    ThreadInput::Found
                        if coordinator.view(self.clock.now()).replica_status.blank =>
                    {
                        return End::Found;
                    }
                    ThreadInput::Found => {}
                    ThreadInput::End => return End::Over,
                }
                count += 1;
                if count < AT_ONCE {
                    next = self.inbox.try_recv().ok();
                }
            }
            let now = self.clock.now();
            match coordinator.drive(now) {
                Ok(output) => {
                    if self
                        .outbox
                        .blocking_send(ThreadOutput::Output(output))
                        .is_err()
                    {
                        return End::Over;
                    }
                }
                Err(halt) => {
                    let replies = coordinator
                        .callers()
                        .into_iter()
                        .map(|caller| (caller, Reply::Lost))
                        .collect();
                    let output = Output {
                        replies,
                        ..Output::default()
                    };
                    let _ = self.outbox.blocking_send(ThreadOutput::Output(output));
                    return End::Halted(halt);
                }
            }
            let replica_status = Some(coordinator.replica_status());
            if shown != replica_status || now.mono_ms >= shown_ms + SHOW_MS {
                self.publish(Seen {
                    view: Some(coordinator.view(now)),
                    ..Seen::default()
                });
                (shown, shown_ms) = (replica_status, now.mono_ms);
            } else {
                self.published
                    .send_modify(|seen| Arc::make_mut(seen).at_ms = now.mono_ms);
            }
        }
        End::Over
    }
}

enum End {
    Over,
    Found,
    Halted(HaltReason),
}
