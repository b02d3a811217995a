//! Hosts the stored state: what was known before a restart goes to the engine, what is known now
//! goes to the writer.

mod metrics;

use crate::clock::Clock;
use crate::config::Config;
use crate::exit_error::ExitError;
use crate::host_list::HostList;
use crate::messages::{Exported, Input, Inputs};
use crate::report::say;
use crate::stored_form::{Lists, restored, stored};
use load_balancer_common::cli::Exit;
use load_balancer_snapshot::{
    Begun, Changes, Directory, Found, IncarnationRecord, Micros, Process, Processes,
    SnapshotSection, ValidSnapshot, Writer, validate,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Longest name of a sidecar here, in bytes: with its cluster's it is the owner of what is kept.
const MAX_NAME_BYTES: usize = 200;
/// How often latency ratios are kept anew while no circuit opens or closes: a twelfth of the time
/// for which it is believed.
const LATENCY_STORE_INTERVAL: Micros = 5_000_000;
/// How soon a disk that failed is tried again.
const AGAIN: Duration = Duration::from_secs(10);

/// What is kept, of a sidecar that runs.
#[derive(Clone)]
pub struct SnapshotHost(Rc<Inner>);

struct Inner {
    writer: Writer,
    every: Duration,
    clock: Clock,
    incarnation_record: Option<IncarnationRecord>,
    lists: RefCell<Lists>,
    known: RefCell<Vec<Process>>,
    /// Endpoints whose circuits were open as ejections were kept last, and when that was.
    open: RefCell<Vec<String>>,
    kept: Cell<Micros>,
}

impl SnapshotHost {
    /// Begins an incarnation of `name` in the directory of the section, where it names one; a list
    /// that is newer than the platform's takes its place. Waits for the disk no longer than the
    /// section says.
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
        let take = move || Directory::take(&dir);
        let (writer, begun) = Writer::start(
            take,
            owner,
            move || clock.now(),
            section.start_timeout.0,
            AGAIN,
        );
        let now = clock.now();
        let (incarnation_record, believed) = match begun {
            Begun::InUse(what) => {
                let what = format!("snapshot.dir: {what}");
                return Err(ExitError::new(what, Exit::Unavailable));
            }
            Begun::Without => (None, ValidSnapshot::default()),
            Begun::Found(found) => {
                let incarnation_record = IncarnationRecord {
                    incarnation: found.incarnation,
                    began: now,
                    ended: None,
                };
                (Some(incarnation_record), told(*found, now, section))
            }
        };
        let lists = Lists::begin(believed.list, config);
        let state = Self(Rc::new(Inner {
            writer,
            every: section.interval.0,
            clock,
            incarnation_record,
            lists: RefCell::new(lists),
            known: RefCell::new(believed.processes),
            open: RefCell::default(),
            kept: Cell::new(Micros::MIN),
        }));
        state.say();
        Ok(Some(state))
    }

    /// This incarnation's number, where one could be reserved.
    pub fn incarnation(&self) -> Option<u64> {
        self.0
            .incarnation_record
            .map(|incarnation_record| incarnation_record.incarnation)
    }

    /// A list, or changes to one.
    pub fn listed(&self, list: &HostList, full: bool) {
        self.0
            .lists
            .borrow_mut()
            .take(list, full, self.0.clock.now());
    }

    /// Tells the engine what was known, and from now on keeps what it knows.
    pub fn host(&self, inputs: &Inputs, configuration: String) {
        let known = self.0.known.take();
        if !known.is_empty() {
            inputs.send(Input::Restored(known.into_iter().map(restored).collect()));
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
                sleep(this.0.every).await;
                let Some(exported) = inputs.export().await else {
                    return;
                };
                let changes = this.changes(exported, false);
                this.0.writer.commit(changes);
                this.say();
            }
        });
    }

    /// The process is told to stop: hands over what it knows, marked as a clean end. Whether that
    /// is written in time is not waited for; it has as long as requests are still accepted.
    pub fn stop(&self, inputs: &Inputs) {
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

    /// What is worth keeping anew.
    fn changes(&self, exported: Exported, last: bool) -> Changes {
        let Exported {
            listed,
            endpoints: known,
        } = exported;
        let (now, inner) = (self.0.clock.now(), &self.0);
        let mut open: Vec<String> = known
            .iter()
            .filter(|endpoint| endpoint.known.circuit_open)
            .map(|endpoint| endpoint.name.clone())
            .collect();
        open.sort_unstable();
        let due =
            now.saturating_sub(inner.kept.get()) >= LATENCY_STORE_INTERVAL && !known.is_empty();
        let list = inner.lists.borrow_mut().due(now, last);
        let processes = (last || due || *inner.open.borrow() != open).then(|| {
            inner.kept.set(now);
            inner.open.replace(open);
            let all = known.into_iter().map(stored).collect();
            Processes {
                seen: now,
                listed: u32::try_from(listed).unwrap_or(u32::MAX),
                all,
            }
        });
        Changes {
            list,
            processes,
            ..Changes::default()
        }
    }

    /// Says what the writer has to say.
    fn say(&self) {
        for line in self.0.writer.lines() {
            say!(warn, "sidecar::state", "{line}");
        }
    }
}

/// Says what was found; what of it is believed.
fn told(found: Found, now: Micros, section: &SnapshotSection) -> ValidSnapshot {
    let Found {
        known, incarnation, ..
    } = found;
    let end = match known.incarnation_record {
        None => "nothing was kept",
        Some(IncarnationRecord { ended: Some(_), .. }) => "the last life ended cleanly",
        Some(_) => "the last life ended without a word",
    };
    let believed = validate(known, now, section.bounds());
    let endpoints = believed.list.as_ref().map_or(0, |list| list.entries.len());
    let open = believed.processes.iter().filter(|p| p.open).count();
    let rest: String = believed
        .left_out
        .iter()
        .map(|what| format!(", {what}"))
        .collect();
    say!(
        info,
        "sidecar::state",
        "{end}: {endpoints} endpoints, pace of {}, {open} open circuits{rest}; incarnation {incarnation}",
        believed.processes.len()
    );
    believed
}
