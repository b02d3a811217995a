//! Faults of coordinators, at a given time or state of a window.

use super::process::CoordinatorProcess;
use super::{Coordinators, POLL_INTERVAL, REQUEST_TIMEOUT};
use crate::experiment::{CoordinatorFault, CoordinatorFaultKind, Who};
use crate::page::request_json;
use crate::record::Seen;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Injects all faults.
pub async fn inject_faults(coordinators: Arc<Coordinators>, faults: Vec<CoordinatorFault>) {
    let mut fault_tasks = JoinSet::new();
    for fault in faults {
        let coordinators = Arc::clone(&coordinators);
        fault_tasks.spawn(async move { coordinators.inject_fault(&fault).await });
    }
    while fault_tasks.join_next().await.is_some() {}
}

impl Coordinators {
    /// Whether any coordinator reports a slot in that state.
    async fn has_slot_in_state(&self, state: &str) -> bool {
        for at in &self.pages {
            let Some((200, windows)) =
                request_json(*at, "GET", "/windows", None, REQUEST_TIMEOUT).await
            else {
                continue;
            };
            let slots = windows
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|w| w["seats"].as_array())
                .flatten();
            if slots.into_iter().any(|seat| seat["state"] == state) {
                return true;
            }
        }
        false
    }

    async fn choose(&self, who: Who) -> Vec<usize> {
        let count = self.pages.len();
        let leader = self.leader().await;
        // The majority includes the leader, so it has one follower less.
        let first = leader.unwrap_or(0);
        let consecutive = |many: usize| (0..many).map(|n| (first + n) % count).collect();
        match who {
            Who::Leader => vec![first],
            Who::Follower => vec![(first + 1) % count],
            Who::Majority => consecutive(count / 2 + 1),
            Who::All => consecutive(count),
        }
    }

    fn set_disk_full(&self, number: usize, coordinator: &CoordinatorProcess, full: bool) {
        if let Err(e) = coordinator.fill_disk(full) {
            let what = format!("the emulator cannot fill coordinator {number}'s disk: {e}");
            self.record
                .note(self.clock.now(), Seen::CoordinatorFaultFailed { what });
        }
    }

    async fn inject_fault(&self, fault: &CoordinatorFault) {
        self.clock
            .until(u64::try_from(fault.at.0.as_micros()).unwrap_or(u64::MAX))
            .await;
        if let Some(state) = &fault.on {
            while !self.has_slot_in_state(state).await {
                sleep(POLL_INTERVAL).await;
            }
        }
        let affected = self.choose(fault.who).await;
        self.record.note(
            self.clock.now(),
            Seen::CoordinatorFault {
                kind: fault.kind,
                count: affected.len(),
            },
        );
        for number in &affected {
            let mut coordinator = self.all[*number].lock().await;
            match fault.kind {
                CoordinatorFaultKind::Kill => coordinator.kill().await,
                CoordinatorFaultKind::Stop => coordinator.set_paused(true),
                CoordinatorFaultKind::FullDisk => self.set_disk_full(*number, &coordinator, true),
                CoordinatorFaultKind::EmptyDisk | CoordinatorFaultKind::TearDisk => {
                    coordinator.kill().await;
                    let done = match fault.kind {
                        CoordinatorFaultKind::EmptyDisk => coordinator.erase_data(),
                        _ => coordinator.truncate_data(),
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
        for number in &affected {
            let mut coordinator = self.all[*number].lock().await;
            if fault.kind == CoordinatorFaultKind::Stop {
                coordinator.set_paused(false);
            } else if fault.kind == CoordinatorFaultKind::FullDisk && coordinator.is_running() {
                self.set_disk_full(*number, &coordinator, false);
            } else if let Err(e) = coordinator.start_process() {
                let what = format!("coordinator {number} cannot be started: {e}");
                self.record
                    .note(self.clock.now(), Seen::CoordinatorFaultFailed { what });
            }
        }
    }
}
