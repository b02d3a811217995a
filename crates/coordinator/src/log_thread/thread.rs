//! The loop of the log thread: opens the disk, takes in what waits, commits, and gives out what
//! comes of it.

use super::{Seen, ThreadInput, ThreadOutput};
use crate::clock::Clock;
use crate::config::Sections;
use load_balancer_coordinator::core::{CoordinatorCore, Input, Now, Output, Reply, Settings};
use load_balancer_coordinator::replicated_log::{HaltReason, LogStore, Options, ReplicaStatus};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// What is taken in before the next commit, at most.
const AT_ONCE: usize = 128;
/// Pause before a disk that failed is tried again.
const REOPEN: Duration = Duration::from_secs(2);
/// Votes below which nothing is proposed, where there are as many coordinators.
const MIN_VOTERS: usize = 3;
/// What is seen from outside is renewed as often, though nothing was agreed on: observations grow
/// old. In milliseconds.
const SHOW_MS: u64 = 1_000;

/// What the thread owns.
pub(super) struct Thread {
    pub(super) sections: Sections,
    pub(super) clock: Clock,
    pub(super) inbox: mpsc::Receiver<ThreadInput>,
    pub(super) outbox: mpsc::Sender<ThreadOutput>,
    pub(super) published: watch::Sender<Arc<Seen>>,
}

impl Thread {
    /// Runs until the process ends: opens the disk, serves, and tries again where either halts.
    pub(super) fn run(mut self) {
        let mut found = false;
        let mut last_halt: Option<String> = None;
        loop {
            let halt = match self.open(found) {
                Ok(coordinator) => {
                    if last_halt.take().is_some() {
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
            self.halted(&halt.to_string(), &mut last_halt);
            if !self.wait() {
                return;
            }
        }
    }

    /// Publishes that the coordinator halted, and logs why, once.
    fn halted(&self, why: &str, last_halt: &mut Option<String>) {
        if last_halt.as_deref() != Some(why) {
            self.line(true, format!("stands back: {why}"));
        }
        self.publish(Seen {
            halted: Some(why.to_owned()),
            ..Seen::default()
        });
        *last_halt = Some(why.to_owned());
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
        if let Some(quarantined) = &opened.quarantined {
            self.line(
                true,
                format!(
                    "what {} kept is not believed ({}), it lies in {} now; comes in anew",
                    own.data.display(),
                    quarantined.why,
                    quarantined.file.display()
                ),
            );
        }
        let disk = fastrand::u64(1..u64::MAX);
        let log_store = LogStore::open(opened.store, disk)?.slowed(own.disk_delay.0);
        CoordinatorCore::new(log_store, self.options(), self.settings(), found)
    }

    fn options(&self) -> Options {
        let own = &self.sections.coordinator;
        Options {
            name: own.name.clone(),
            run: fastrand::u64(..),
            patience: own.patience,
            least: self.sections.coordinators.len().min(MIN_VOTERS),
        }
    }

    fn settings(&self) -> Settings {
        let own = &self.sections.coordinator;
        let heartbeat_ms = millis(own.heartbeat.0);
        let timeout_ms = millis(self.sections.platform.timeout.0);
        Settings {
            names: self.sections.coordinators.keys().cloned().collect(),
            budget: self.sections.budget.clone(),
            again_ms: timeout_ms / 2,
            // Its own time-out, one of a page of sidecars, and the way there and back.
            lost_ms: timeout_ms.saturating_mul(4),
            confirmation_ms: heartbeat_ms.saturating_mul(own.patience as u64),
        }
    }

    /// Waits until the disk may be tried again, and refuses callers meanwhile; false where nobody
    /// is there any more.
    fn wait(&mut self) -> bool {
        let until = Instant::now() + REOPEN;
        while Instant::now() < until {
            match self.inbox.blocking_recv() {
                Some(ThreadInput::Input(input)) => {
                    if let Input::Bring(caller, _) | Input::Admit(caller, ..) = *input {
                        self.reply(vec![(caller, Reply::NotLeader)]);
                    }
                }
                Some(ThreadInput::Found) => {}
                Some(ThreadInput::End) | None => return false,
            }
        }
        true
    }

    /// Serves until something ends it.
    fn serve(&mut self, mut coordinator: CoordinatorCore) -> End {
        let mut shown = Shown::default();
        while let Some(first) = self.inbox.blocking_recv() {
            let done = self
                .take_in(first, &mut coordinator)
                .and_then(|()| self.drive(&mut coordinator))
                .map(|now| self.show(&mut coordinator, now, &mut shown));
            if let Err(end) = done {
                return end;
            }
        }
        End::Over
    }

    /// Takes in what waits, up to [`AT_ONCE`].
    fn take_in(
        &mut self,
        first: ThreadInput,
        coordinator: &mut CoordinatorCore,
    ) -> Result<(), End> {
        let mut next = Some(first);
        let mut count = 0;
        while let Some(told) = next.take() {
            match told {
                ThreadInput::Input(input) => coordinator.take(self.clock.now(), *input),
                ThreadInput::Found if coordinator.view(self.clock.now()).replica_status.blank => {
                    return Err(End::Found);
                }
                ThreadInput::Found => {}
                ThreadInput::End => return Err(End::Over),
            }
            count += 1;
            if count < AT_ONCE {
                next = self.inbox.try_recv().ok();
            }
        }
        Ok(())
    }

    /// Commits what was taken in, and gives out what comes of it; the time of it.
    fn drive(&self, coordinator: &mut CoordinatorCore) -> Result<Now, End> {
        let now = self.clock.now();
        match coordinator.drive(now) {
            Ok(output) => {
                let given = self.outbox.blocking_send(ThreadOutput::Output(output));
                given.map(|()| now).map_err(|_| End::Over)
            }
            Err(halt) => {
                let callers = coordinator.callers().into_iter();
                self.reply(callers.map(|caller| (caller, Reply::Lost)).collect());
                Err(End::Halted(halt))
            }
        }
    }

    /// Publishes the coordinator's view where it has changed, or is old.
    fn show(&self, coordinator: &mut CoordinatorCore, now: Now, shown: &mut Shown) {
        let replica_status = Some(coordinator.replica_status());
        if shown.replica_status == replica_status && now.mono_ms < shown.at_ms + SHOW_MS {
            self.published
                .send_modify(|seen| Arc::make_mut(seen).at_ms = now.mono_ms);
            return;
        }
        self.publish(Seen {
            view: Some(coordinator.view(now)),
            ..Seen::default()
        });
        *shown = Shown {
            replica_status,
            at_ms: now.mono_ms,
        };
    }

    fn reply(&self, replies: Vec<(u64, Reply)>) {
        let output = Output {
            replies,
            ..Output::default()
        };
        let _ = self.outbox.blocking_send(ThreadOutput::Output(output));
    }
}

/// What was published last.
#[derive(Default)]
struct Shown {
    replica_status: Option<ReplicaStatus>,
    at_ms: u64,
}

/// Why the coordinator is served no more.
enum End {
    /// The process ends.
    Over,
    /// It is to be opened anew as the founder of a log.
    Found,
    /// The disk or the log failed.
    Halted(HaltReason),
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
