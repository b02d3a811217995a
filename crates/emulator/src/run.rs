//! A run with real processes: starts servers, agents, sidecars and clients, injects the faults,
//! stops everything, and returns the record.

mod build;
mod mix;
mod running_fleet;

use crate::affinity_dumps::AFFINITY_SECTION;
use crate::apps::Apps;
use crate::audit::{audit, audit_bindings, audit_windows};
use crate::coordinators::{inject_faults, request_windows};
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

/// A sidecar implemented in the emulator's process, such as a faulty one that an auditor must
/// detect.
pub type InProcessSidecar =
    Arc<dyn Fn(PlatformConfig) -> Pin<Box<dyn Future<Output = ()> + Send>> + Send + Sync>;

/// How sidecars are launched.
#[derive(Clone)]
pub enum Launch {
    /// As processes, with these options.
    Program(LaunchOptions),
    /// As tasks of the emulator.
    InProcess(InProcessSidecar),
}

/// Why a run failed.
#[derive(Debug)]
pub enum RunError {
    /// Sockets or files could not be created.
    Io(String, io::Error),
    /// The coordinators elected no leader.
    Coordinators(String),
    /// The program of an earlier revision is missing.
    Unbuilt(String),
    /// A sidecar failed to start.
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

/// The progress of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Number of requests sent, and in total.
    pub sent: usize,
    /// See `sent`.
    pub all: usize,
}

/// Tasks that are aborted at the end of a run, however it ends.
#[derive(Default)]
struct Tasks(Vec<AbortHandle>);

impl Tasks {
    fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.0.push(tokio::spawn(task).abort_handle());
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.0.iter().for_each(AbortHandle::abort);
    }
}

/// Runs one variant; events are recorded in `record`, which is emptied at the end.
///
/// # Errors
/// Sockets or files can't be created, or a sidecar fails to start.
pub async fn run(
    experiment: &Experiment,
    plan: &Arc<Plan>,
    variant: &Variant,
    launch: &Launch,
    folder: &Path,
    progress: &watch::Sender<Progress>,
    record: &Record,
) -> Result<Tally, RunError> {
    let mut tasks = Tasks::default();
    let fleet = Arc::new(
        build(
            experiment, plan, variant, launch, folder, record, &mut tasks,
        )
        .await?,
    );
    fleet.clock.begin();
    tasks.spawn(Arc::clone(&fleet.servers).run());
    tasks.spawn(Arc::clone(&fleet).restart_exited());
    tasks.spawn({
        let (stage, plan) = (Arc::clone(&fleet), Arc::clone(plan));
        async move {
            for (at, step) in &plan.steps {
                stage.clock.until(*at).await;
                stage.apply(*step).await;
            }
        }
    });
    if let Some(mix) = &variant.mix {
        let (stage, changes) = (Arc::clone(&fleet), mix::version_changes(mix, plan));
        tasks.spawn(async move {
            for (at, sidecar, to) in changes {
                stage.clock.until(at).await;
                stage.restart(sidecar, true, Some(to)).await;
            }
        });
    }
    let (clock, platform) = (fleet.clock.clone(), Arc::clone(&fleet.platform));
    tasks.spawn(carry_out(
        Arc::clone(plan),
        clock,
        platform,
        variant.windows,
    ));
    if let (Some(coordinators), Some(coordinator_settings)) =
        (&fleet.coordinators, &experiment.coordinators)
    {
        tasks.spawn(request_windows(Arc::clone(coordinators)));
        tasks.spawn(inject_faults(
            Arc::clone(coordinators),
            coordinator_settings.fault.clone(),
        ));
    }
    let apps = Arc::new(Apps {
        plan: Arc::clone(plan),
        clock: fleet.clock.clone(),
        record: fleet.record.clone(),
        sidecars: fleet.sidecars.iter().map(Sidecar::address).collect(),
        servers: Arc::clone(&fleet.servers),
    });
    let all = plan.arrivals.len();
    let lateness = apps
        .run(|sent| progress.send_modify(|p| *p = Progress { sent, all }))
        .await;
    // Faults that outlast the requests have no further effect.
    drop(tasks);
    fleet.shut_down().await;
    let record = fleet.record.take();
    let (work, savable, fallen) = fleet
        .servers
        .with(|world, _, _| (world.work(), world.savable(), world.collapsed().len()));
    let mut findings = audit(plan, &record);
    if variant.windows == Carried::Asked {
        findings.extend(audit_windows(plan, &record));
    }
    if variant.config.contains(AFFINITY_SECTION) {
        findings.extend(audit_bindings(plan, fleet.clock.began_ms(), &record));
    }
    let mut cpu_times = Vec::new();
    for sidecar in 0..fleet.sidecars.len() {
        if let Some(process) = fleet.process(sidecar) {
            cpu_times.push(process.lock().await.resources());
        }
    }
    let fleet_bytes = fleet
        .member_addresses
        .as_ref()
        .map_or(0, MemberAddresses::bytes);
    Ok(tally(
        plan,
        &record,
        Beside {
            work,
            savable,
            fallen,
            lateness,
            fleet_bytes,
            spent: cpu_times,
        },
        findings,
    ))
}

/// Placeholder in a variant's configuration for the address of a sidecar's pages, which the
/// emulator then reads.
pub const METRICS: &str = "{metrics}";
/// Placeholder in a variant's configuration for a directory of the sidecar that outlives its
/// processes.
pub const STATE: &str = "{state}";
/// Placeholder in a variant's configuration for the addresses of a sidecar in its fleet.
pub const FLEET: &str = "{fleet}";
