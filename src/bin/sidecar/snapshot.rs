//! Hosts the snapshot: passes the stored state to the engine at the start, and the engine's state
//! to the writer afterwards.

mod metrics;

use crate::clock::Clock;
use crate::config::Config;
use crate::exit_error::ExitError;
use crate::host_list::HostList;
use crate::messages::{ExportedEndpoints, Input, InputSender};
use crate::report::say;
use crate::stored_form::{StoredList, to_named, to_process};
use load_balancer_common::cli::Exit;
use load_balancer_snapshot::{
    Changes, Directory, Found, IncarnationRecord, Micros, Process, Processes, SnapshotSection,
    StartResult, ValidSnapshot, Writer, validate,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Longest name of a sidecar, in bytes; with the cluster's name it is the owner of the snapshot.
const MAX_NAME_BYTES: usize = 200;
/// How often processes are stored while no circuit opens or closes: a twelfth of the time for which
/// their latency ratios are valid.
const PROCESS_STORE_INTERVAL_US: Micros = 5_000_000;
/// Delay before a failed disk is tried again.
const DISK_RETRY_DELAY: Duration = Duration::from_secs(10);

/// The snapshot of a running sidecar.
#[derive(Clone)]
pub struct SnapshotHost(Rc<Inner>);

struct Inner {
    writer: Writer,
    interval: Duration,
    clock: Clock,
    incarnation_record: Option<IncarnationRecord>,
    lists: RefCell<StoredList>,
    restored_processes: RefCell<Vec<Process>>,
    /// Endpoints whose circuits were open when processes were last stored, and the time of that.
    open_circuits: RefCell<Vec<String>>,
    processes_stored_at: Cell<Micros>,
}

impl SnapshotHost {
    /// Starts an incarnation of the named sidecar in the section's directory, if it has one. A
    /// stored list that is newer than the platform's replaces it. Waits for the disk no longer than
    /// the section permits.
    pub fn begin(
        section: &SnapshotSection,
        cluster: &str,
        config: &mut Config,
        clock: Clock,
    ) -> Result<Option<Self>, ExitError> {
        let Some(dir) = section.dir.clone() else {
            return Ok(None);
        };
        if config.name.is_empty() || config.name.len() > MAX_NAME_BYTES {
            let what = "snapshot.dir needs a name of 1 to 200 bytes: LB_NAME, or name in the platform's file";
            return Err(ExitError::new(what, Exit::Config));
        }
        let owner = format!("{cluster}/{}", config.name);
        let open_directory = move || Directory::lock(&dir);
        let (writer, begun) = Writer::start(
            open_directory,
            owner,
            move || clock.now(),
            section.start_timeout.0,
            DISK_RETRY_DELAY,
        );
        let now = clock.now();
        let (incarnation_record, valid) = match begun {
            StartResult::InUse(what) => {
                let what = format!("snapshot.dir: {what}");
                return Err(ExitError::new(what, Exit::Unavailable));
            }
            StartResult::Unavailable => (None, ValidSnapshot::default()),
            StartResult::Found(found) => {
                let incarnation_record = IncarnationRecord {
                    incarnation: found.incarnation,
                    began: now,
                    ended: None,
                };
                (Some(incarnation_record), log_found(*found, now, section))
            }
        };
        let lists = StoredList::restore(valid.list, config);
        let state = Self(Rc::new(Inner {
            writer,
            interval: section.interval.0,
            clock,
            incarnation_record,
            lists: RefCell::new(lists),
            restored_processes: RefCell::new(valid.processes),
            open_circuits: RefCell::default(),
            processes_stored_at: Cell::new(Micros::MIN),
        }));
        state.log_writer_lines();
        Ok(Some(state))
    }

    /// This incarnation's number, if one could be reserved.
    pub fn incarnation(&self) -> Option<u64> {
        self.0
            .incarnation_record
            .map(|incarnation_record| incarnation_record.incarnation)
    }

    /// Applies a list, or changes to one.
    pub fn update_list(&self, list: &HostList, full: bool) {
        self.0
            .lists
            .borrow_mut()
            .update(list, full, self.0.clock.now());
    }

    /// Passes the restored state to the engine, and from now on stores the engine's state.
    pub fn start_storing(&self, inputs: &InputSender, configuration: String) {
        let known = self.0.restored_processes.take();
        if !known.is_empty() {
            inputs.send(Input::Restored(known.into_iter().map(to_named).collect()));
        }
        let first = Changes {
            configuration: Some(configuration),
            incarnation_record: self.0.incarnation_record,
            ..Changes::default()
        };
        self.0.writer.commit(first);
        let (this, inputs) = (self.clone(), inputs.clone());
        spawn_local(async move {
            loop {
                sleep(this.0.interval).await;
                let Some(exported) = inputs.export().await else {
                    return;
                };
                let changes = this.changes(exported, false);
                this.0.writer.commit(changes);
                this.log_writer_lines();
            }
        });
    }

    /// Handles the shutdown: stores the engine's state, marked as a clean end. Does not wait for
    /// the disk; the write has as long as requests are still accepted.
    pub fn stop(&self, inputs: &InputSender) {
        let (this, inputs) = (self.clone(), inputs.clone());
        spawn_local(async move {
            let Some(exported) = inputs.export().await else {
                return;
            };
            let mut changes = this.changes(exported, true);
            let ended = Some(this.0.clock.now());
            changes.incarnation_record =
                this.0
                    .incarnation_record
                    .map(|incarnation_record| IncarnationRecord {
                        ended,
                        ..incarnation_record
                    });
            this.0.writer.commit_last(changes);
        });
    }

    /// The parts of the state that are due to be stored.
    fn changes(&self, exported: ExportedEndpoints, is_last: bool) -> Changes {
        let ExportedEndpoints {
            listed,
            endpoints: known,
        } = exported;
        let (now, inner) = (self.0.clock.now(), &self.0);
        let mut open_circuits: Vec<String> = known
            .iter()
            .filter(|endpoint| endpoint.known.circuit_open)
            .map(|endpoint| endpoint.name.clone())
            .collect();
        open_circuits.sort_unstable();
        let is_due = now.saturating_sub(inner.processes_stored_at.get())
            >= PROCESS_STORE_INTERVAL_US
            && !known.is_empty();
        let list = inner.lists.borrow_mut().take_due(now, is_last);
        let processes =
            (is_last || is_due || *inner.open_circuits.borrow() != open_circuits).then(|| {
                inner.processes_stored_at.set(now);
                inner.open_circuits.replace(open_circuits);
                let stored_processes = known.into_iter().map(to_process).collect();
                Processes {
                    seen: now,
                    listed: u32::try_from(listed).unwrap_or(u32::MAX),
                    all: stored_processes,
                }
            });
        Changes {
            list,
            processes,
            ..Changes::default()
        }
    }

    /// Logs the writer's messages.
    fn log_writer_lines(&self) {
        for line in self.0.writer.take_log_lines() {
            say!(warn, "sidecar::state", "{line}");
        }
    }
}

/// Logs what was found; returns the part of it that is still valid.
fn log_found(found: Found, now: Micros, section: &SnapshotSection) -> ValidSnapshot {
    let Found {
        known, incarnation, ..
    } = found;
    let previous_end = match known.incarnation_record {
        None => "nothing was kept",
        Some(IncarnationRecord { ended: Some(_), .. }) => "the last life ended cleanly",
        Some(_) => "the last life ended without a word",
    };
    let valid = validate(known, now, section.bounds());
    let endpoints = valid.list.as_ref().map_or(0, |list| list.entries.len());
    let open = valid.processes.iter().filter(|p| p.open).count();
    let left_out: String = valid
        .omitted
        .iter()
        .map(|what| format!(", {what}"))
        .collect();
    say!(
        info,
        "sidecar::state",
        "{previous_end}: {endpoints} endpoints, pace of {}, {open} open circuits{left_out}; incarnation {incarnation}",
        valid.processes.len()
    );
    valid
}
