//! The loop of the log thread: opens the disk, handles inputs, commits, and passes on the outputs.

use super::{PublishedStatus, ThreadInput, ThreadOutput};
use crate::clock::Clock;
use crate::config::Sections;
use load_balancer_coordinator::core::{CoordinatorCore, Input, Now, Output, Reply, Settings};
use load_balancer_coordinator::replicated_log::{HaltReason, LogStore, Options, ReplicaStatus};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Maximum number of inputs handled before a commit.
const MAX_INPUTS_PER_COMMIT: usize = 128;
/// Delay before a failed disk is opened again.
const REOPEN_DELAY: Duration = Duration::from_secs(2);
/// Minimum number of voters for proposals, if there are that many coordinators.
const MIN_VOTERS: usize = 3;
/// Interval in milliseconds at which the status is published even without a commit, because
/// observations age.
const PUBLISH_INTERVAL_MS: u64 = 1_000;

/// The state of the thread.
pub(super) struct Thread {
    pub(super) sections: Sections,
    pub(super) clock: Clock,
    pub(super) inbox: mpsc::Receiver<ThreadInput>,
    pub(super) outbox: mpsc::Sender<ThreadOutput>,
    pub(super) published: watch::Sender<Arc<PublishedStatus>>,
}

impl Thread {
    /// Runs until the process ends: opens the disk and serves, and retries after either halts.
    pub(super) fn run(mut self) {
        let mut is_founder = false;
        let mut last_halt: Option<String> = None;
        loop {
            let halt = match self.open(is_founder) {
                Ok(coordinator) => {
                    if last_halt.take().is_some() {
                        self.log_line(false, "the disk is usable again".to_owned());
                    }
                    match self.serve(coordinator) {
                        ServeEnd::Shutdown => return,
                        ServeEnd::FoundLog => {
                            is_founder = true;
                            continue;
                        }
                        ServeEnd::Halted(halt) => halt,
                    }
                }
                Err(halt) => halt,
            };
            is_founder = false;
            self.report_halt(&halt.to_string(), &mut last_halt);
            if !self.wait_to_reopen() {
                return;
            }
        }
    }

    /// Publishes that the coordinator halted, and logs each reason once.
    fn report_halt(&self, reason: &str, last_halt: &mut Option<String>) {
        if last_halt.as_deref() != Some(reason) {
            self.log_line(
                true,
                format!("halted: {reason}; the data file will be opened again"),
            );
        }
        self.publish(PublishedStatus {
            halted: Some(reason.to_owned()),
            ..PublishedStatus::default()
        });
        *last_halt = Some(reason.to_owned());
    }

    fn log_line(&self, warning: bool, text: String) {
        let _ = self
            .outbox
            .blocking_send(ThreadOutput::LogLine(warning, text));
    }

    fn publish(&self, mut status: PublishedStatus) {
        status.at_ms = self.clock.now().mono_ms;
        self.published.send_replace(Arc::new(status));
    }

    fn open(&self, is_founder: bool) -> Result<CoordinatorCore, HaltReason> {
        let section = &self.sections.coordinator;
        let opened = load_balancer_record_store::open(&section.data, &section.name)?;
        if let Some(quarantined) = &opened.quarantined {
            self.log_line(
                true,
                format!(
                    "data file {} is invalid ({}); renamed it to {}, rejoining with an empty log",
                    section.data.display(),
                    quarantined.why,
                    quarantined.file.display()
                ),
            );
        }
        let disk = fastrand::u64(1..u64::MAX);
        let log_store = LogStore::open(opened.store, disk)?.with_commit_delay(section.disk_delay.0);
        CoordinatorCore::new(log_store, self.options(), self.settings(), is_founder)
    }

    fn options(&self) -> Options {
        let section = &self.sections.coordinator;
        Options {
            name: section.name.clone(),
            run_id: fastrand::u64(..),
            election_ticks: section.patience,
            min_voters: self.sections.coordinators.len().min(MIN_VOTERS),
        }
    }

    fn settings(&self) -> Settings {
        let section = &self.sections.coordinator;
        let heartbeat_ms = millis(section.heartbeat.0);
        let timeout_ms = millis(self.sections.platform.timeout.0);
        Settings {
            names: self.sections.coordinators.keys().cloned().collect(),
            budget: self.sections.budget.clone(),
            retry_delay_ms: timeout_ms / 2,
            // The platform's own time limit, that of a sidecar's status page, and the transit in
            // both directions.
            action_timeout_ms: timeout_ms.saturating_mul(4),
            confirmation_validity_ms: heartbeat_ms.saturating_mul(section.patience as u64),
        }
    }

    /// Waits until the disk may be opened again, and rejects callers meanwhile. Returns false if
    /// the process is shutting down.
    fn wait_to_reopen(&mut self) -> bool {
        let until = Instant::now() + REOPEN_DELAY;
        while Instant::now() < until {
            match self.inbox.blocking_recv() {
                Some(ThreadInput::Input(input)) => {
                    if let Input::Propose(caller, _) | Input::RequestVote(caller, ..) = *input {
                        self.reply(vec![(caller, Reply::NotLeader)]);
                    }
                }
                Some(ThreadInput::FoundLog) => {}
                Some(ThreadInput::Shutdown) | None => return false,
            }
        }
        true
    }

    /// Serves until an input or an error ends it.
    fn serve(&mut self, mut coordinator: CoordinatorCore) -> ServeEnd {
        let mut last_published = LastPublished::default();
        while let Some(first) = self.inbox.blocking_recv() {
            let served = self
                .handle_inputs(first, &mut coordinator)
                .and_then(|()| self.process(&mut coordinator))
                .map(|now| self.publish_if_changed(&mut coordinator, now, &mut last_published));
            if let Err(reason) = served {
                return reason;
            }
        }
        ServeEnd::Shutdown
    }

    /// Handles the pending inputs, up to [`MAX_INPUTS_PER_COMMIT`].
    fn handle_inputs(
        &mut self,
        first: ThreadInput,
        coordinator: &mut CoordinatorCore,
    ) -> Result<(), ServeEnd> {
        let mut next = Some(first);
        let mut count = 0;
        while let Some(input) = next.take() {
            match input {
                ThreadInput::Input(input) => coordinator.handle_input(self.clock.now(), *input),
                ThreadInput::FoundLog
                    if coordinator.view(self.clock.now()).replica_status.blank =>
                {
                    return Err(ServeEnd::FoundLog);
                }
                ThreadInput::FoundLog => {}
                ThreadInput::Shutdown => return Err(ServeEnd::Shutdown),
            }
            count += 1;
            if count < MAX_INPUTS_PER_COMMIT {
                next = self.inbox.try_recv().ok();
            }
        }
        Ok(())
    }

    /// Commits what was handled and passes on the outputs. Returns the time of the commit.
    fn process(&self, coordinator: &mut CoordinatorCore) -> Result<Now, ServeEnd> {
        let now = self.clock.now();
        match coordinator.process(now) {
            Ok(output) => {
                let sent = self.outbox.blocking_send(ThreadOutput::Output(output));
                sent.map(|()| now).map_err(|_| ServeEnd::Shutdown)
            }
            Err(halt) => {
                let callers = coordinator.pending_callers().into_iter();
                self.reply(
                    callers
                        .map(|caller| (caller, Reply::OutcomeUnknown))
                        .collect(),
                );
                Err(ServeEnd::Halted(halt))
            }
        }
    }

    /// Publishes the status if it has changed or is too old.
    fn publish_if_changed(
        &self,
        coordinator: &mut CoordinatorCore,
        now: Now,
        last_published: &mut LastPublished,
    ) {
        let replica_status = Some(coordinator.replica_status());
        if last_published.replica_status == replica_status
            && now.mono_ms < last_published.published_ms + PUBLISH_INTERVAL_MS
        {
            self.published
                .send_modify(|status| Arc::make_mut(status).at_ms = now.mono_ms);
            return;
        }
        self.publish(PublishedStatus {
            view: Some(coordinator.view(now)),
            ..PublishedStatus::default()
        });
        *last_published = LastPublished {
            replica_status,
            published_ms: now.mono_ms,
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
struct LastPublished {
    replica_status: Option<ReplicaStatus>,
    published_ms: u64,
}

/// Why serving ended.
enum ServeEnd {
    /// The process is shutting down.
    Shutdown,
    /// The coordinator is to be opened again as the founder of a log.
    FoundLog,
    /// The disk or the log failed.
    Halted(HaltReason),
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
