//! One run with real processes: starts servers, agents, sidecars and clients, injects the faults,
//! stops everything, and returns the record.

mod build;
mod mix;
mod running_fleet;

use crate::affinity_dumps::BINDINGS;
use crate::apps::Apps;
use crate::audit::{audit, audit_bindings, audit_windows};
use crate::coordinators::{ask_for_windows, trouble};
use crate::experiment::{Carried, Experiment, Variant};
use crate::member_addresses::MemberAddresses;
use crate::plan::Plan;
use crate::record::Record;
use crate::supervisor::{LaunchOptions, PlatformConfig};
use crate::tally::{Beside, Tally, tally};
use crate::uncoordinated::carry_out;
use build::build;
use running_fleet::Sidecar;
use std::io;
use std::path::Path;
use std::pin::Pin;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// A sidecar that lives in the emulator's own process, such as a faulty one that an auditor is to
/// catch.
pub type Within =
    Arc<dyn Fn(PlatformConfig) -> Pin<Box<dyn Future<Output = ()> + Send>> + Send + Sync>;

/// What takes the sidecars' place.
#[derive(Clone)]
pub enum Launch {
    /// Processes, brought up in this way.
    Program(LaunchOptions),
    /// Tasks of the emulator's own.
    Within(Within),
}

/// Why a run could not be run.
#[derive(Debug)]
pub enum RunError {
    /// Sockets or files could not be had.
    Io(String, io::Error),
    /// The coordinators did not begin to lead.
    Coordinators(String),
    /// The program of an earlier revision is not there.
    Unbuilt(String),
    /// A sidecar did not start.
    Start(usize, String),
}

impl std::fmt::Display for RunError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(what, e) => write!(f, "{what}: {e}"),
            Self::Coordinators(what) => f.write_str(what),
            Self::Unbuilt(revision) => {
                write!(f, "no program of revision {revision}: see pair build")
            }
            Self::Start(sidecar, what) => write!(f, "sidecar {sidecar} {what}"),
        }
    }
}

impl std::error::Error for RunError {}

/// What is seen of a run while it goes on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Requests sent, and requests in all.
    pub sent: usize,
    /// See `sent`.
    pub all: usize,
}

/// Tasks that end with a run, however it ends.
#[derive(Default)]
struct Tasks(Vec<AbortHandle>);

impl Tasks {
    fn spawn(&mut self, what: impl Future<Output = ()> + Send + 'static) {
        self.0.push(tokio::spawn(what).abort_handle());
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.0.iter().for_each(AbortHandle::abort);
    }
}

/// Runs one variant; what is seen goes into `record`, which is taken at the end.
///
/// # Errors
/// Sockets or files cannot be had, or a sidecar does not start.
pub async fn play(
    experiment: &Experiment,
    plan: &Arc<Plan>,
    variant: &Variant,
    launch: &Launch,
    folder: &Path,
    progress: &watch::Sender<Progress>,
    record: &Record,
) -> Result<Tally, RunError> {
    let mut tasks = Tasks::default();
    let stage = Arc::new(
        build(
            experiment, plan, variant, launch, folder, record, &mut tasks,
        )
        .await?,
    );
    stage.clock.begin();
    tasks.spawn(Arc::clone(&stage.servers).run());
    tasks.spawn(Arc::clone(&stage).watch_over());
    tasks.spawn({
        let (stage, plan) = (Arc::clone(&stage), Arc::clone(plan));
        async move {
            for (at, step) in &plan.steps {
                stage.clock.until(*at).await;
                stage.step(*step).await;
            }
        }
    });
    if let Some(mix) = &variant.mix {
        let (stage, changes) = (Arc::clone(&stage), mix::changes(mix, plan));
        tasks.spawn(async move {
            for (at, sidecar, to) in changes {
                stage.clock.until(at).await;
                stage.restart(sidecar, true, Some(to)).await;
            }
        });
    }
    let (clock, platform) = (stage.clock.clone(), Arc::clone(&stage.platform));
    tasks.spawn(carry_out(
        Arc::clone(plan),
        clock,
        platform,
        variant.windows,
    ));
    if let (Some(coordinators), Some(asked)) = (&stage.coordinators, &experiment.coordinators) {
        tasks.spawn(ask_for_windows(Arc::clone(coordinators)));
        tasks.spawn(trouble(Arc::clone(coordinators), asked.fault.clone()));
    }
    let apps = Arc::new(Apps {
        plan: Arc::clone(plan),
        clock: stage.clock.clone(),
        record: stage.record.clone(),
        sidecars: stage.sidecars.iter().map(Sidecar::address).collect(),
        servers: Arc::clone(&stage.servers),
    });
    let all = plan.arrivals.len();
    let lateness = apps
        .run(|sent| progress.send_modify(|p| *p = Progress { sent, all }))
        .await;
    // Faults that last longer than the requests have nothing left to disturb.
    drop(tasks);
    stage.end().await;
    let record = stage.record.take();
    let (work, savable, fallen) = stage
        .servers
        .with(|world, _, _| (world.work(), world.savable(), world.fallen().len()));
    let mut findings = audit(plan, &record);
    if variant.windows == Carried::Asked {
        findings.extend(audit_windows(plan, &record));
    }
    if variant.config.contains(BINDINGS) {
        findings.extend(audit_bindings(plan, stage.clock.began_ms(), &record));
    }
    let mut spent = Vec::new();
    for sidecar in 0..stage.sidecars.len() {
        if let Some(process) = stage.process(sidecar) {
            spent.push(process.lock().await.spent());
        }
    }
    let fleet_bytes = stage.fronts.as_ref().map_or(0, MemberAddresses::bytes);
    Ok(tally(
        plan,
        &record,
        Beside {
            work,
            savable,
            fallen,
            lateness,
            fleet_bytes,
            spent,
        },
        findings,
    ))
}

/// What stands in a variant's configuration for the address of a sidecar's pages, which the
/// emulator then reads.
pub const METRICS: &str = "{metrics}";
/// What stands in a variant's configuration for a directory of the sidecar's own, which outlives
/// its processes.
pub const STATE: &str = "{state}";
/// What stands in a variant's configuration for the addresses of a sidecar in its fleet.
pub const FLEET: &str = "{fleet}";
