//! Faults of coordinators, at a time or at a step of a window.

use super::process::CoordinatorProcess;
use super::{Coordinators, POLL_INTERVAL, WITHIN};
use crate::experiment::{CoordinatorFault, CoordinatorFaultKind, Who};
use crate::page::ask;
use crate::record::Seen;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Lets all faults happen.
pub async fn trouble(coordinators: Arc<Coordinators>, faults: Vec<CoordinatorFault>) {
    let mut all = JoinSet::new();
    for fault in faults {
        let coordinators = Arc::clone(&coordinators);
        all.spawn(async move { coordinators.suffer(&fault).await });
    }
    while all.join_next().await.is_some() {}
}

impl Coordinators {
    /// Whether a seat of a window has come to that state, by any coordinator's word.
    async fn has_come_to(&self, state: &str) -> bool {
        for at in &self.pages {
            let Some((200, windows)) = ask(*at, "GET", "/windows", None, WITHIN).await else {
                continue;
            };
            let seats = windows
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|w| w["seats"].as_array())
                .flatten();
            if seats.into_iter().any(|seat| seat["state"] == state) {
                return true;
            }
        }
        false
    }

    async fn chosen(&self, who: Who) -> Vec<usize> {
        let count = self.pages.len();
        let leader = self.leader().await;
        // The leader is one of a majority, so that there is one less to follow it.
        let from = leader.unwrap_or(0);
        let several = |many: usize| (0..many).map(|n| (from + n) % count).collect();
        match who {
            Who::Leader => vec![from],
            Who::Follower => vec![(from + 1) % count],
            Who::Majority => several(count / 2 + 1),
            Who::All => several(count),
        }
    }

    fn fill(&self, number: usize, coordinator: &CoordinatorProcess, full: bool) {
        if let Err(e) = coordinator.fill_disk(full) {
            let what = format!("the emulator cannot fill coordinator {number}'s disk: {e}");
            self.record
                .note(self.clock.now(), Seen::CoordinatorFaultFailed { what });
        }
    }

    async fn suffer(&self, fault: &CoordinatorFault) {
        self.clock
            .until(u64::try_from(fault.at.0.as_micros()).unwrap_or(u64::MAX))
            .await;
        if let Some(state) = &fault.on {
            while !self.has_come_to(state).await {
                sleep(POLL_INTERVAL).await;
            }
        }
        let chosen = self.chosen(fault.who).await;
        self.record.note(
            self.clock.now(),
            Seen::CoordinatorFault {
                kind: fault.kind,
                count: chosen.len(),
            },
        );
        for number in &chosen {
            let mut coordinator = self.all[*number].lock().await;
            match fault.kind {
                CoordinatorFaultKind::Kill => coordinator.kill().await,
                CoordinatorFaultKind::Stop => coordinator.pause(true),
                CoordinatorFaultKind::FullDisk => self.fill(*number, &coordinator, true),
                CoordinatorFaultKind::EmptyDisk | CoordinatorFaultKind::TearDisk => {
                    coordinator.kill().await;
                    let done = match fault.kind {
                        CoordinatorFaultKind::EmptyDisk => coordinator.empty_disk(),
                        _ => coordinator.tear_disk(),
                    };
                    if let Err(e) = done {
                        let what =
                            format!("the emulator cannot change coordinator {number}'s files: {e}");
                        self.record
                            .note(self.clock.now(), Seen::CoordinatorFaultFailed { what });
                    }
                }
            }
        }
        sleep(Duration::from_micros(
            u64::try_from(fault.lasts.0.as_micros()).unwrap_or(u64::MAX),
        ))
        .await;
        for number in &chosen {
            let mut coordinator = self.all[*number].lock().await;
            if fault.kind == CoordinatorFaultKind::Stop {
                coordinator.pause(false);
            } else if fault.kind == CoordinatorFaultKind::FullDisk && coordinator.runs() {
                self.fill(*number, &coordinator, false);
            } else if let Err(e) = coordinator.run() {
                let what = format!("coordinator {number} cannot be started: {e}");
                self.record
                    .note(self.clock.now(), Seen::CoordinatorFaultFailed { what });
            }
        }
    }
}
