//! One play with real processes: brings up servers, agents, sidecars and applications, lets the faults happen, ends
//! everything, and hands over the record. Changes with what belongs to a play.

use crate::agent::Agent;
use crate::apps::Apps;
use crate::audit::audit;
use crate::draw::{Mood, Plan, Step};
use crate::experiment::{Experiment, FaultKind, Variant};
use crate::fronts::Fronts;
use crate::liar::lie;
use crate::net::{Clock, Net};
use crate::record::{Record, Seen};
use crate::relay::Datagrams;
use crate::servers::Servers;
use crate::site;
use crate::supervisor::{Bringing, Supervised, Told};
use crate::tally::{Beside, Tally, tally};
use rustix::process::Signal;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Mutex, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

/// A sidecar that lives in the lab's own process, such as a faulty one that an auditor is to catch.
pub type Within = Arc<dyn Fn(Told) -> Pin<Box<dyn Future<Output = ()> + Send>> + Send + Sync>;

/// What takes the sidecars' place.
#[derive(Clone)]
pub enum Launch {
    /// Processes, brought up in this way.
    Program(Bringing),
    /// Tasks of the lab's own.
    Within(Within),
}

/// Why a play could not be played.
#[derive(Debug)]
pub enum PlayError {
    /// Sockets or files could not be had.
    Io(String, io::Error),
    /// A sidecar did not start.
    Start(usize, String),
}

impl std::fmt::Display for PlayError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(what, e) => write!(f, "{what}: {e}"),
            Self::Start(sidecar, what) => write!(f, "sidecar {sidecar} {what}"),
        }
    }
}

impl std::error::Error for PlayError {}

/// What is seen of a play while it goes on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Requests sent, and requests in all.
    pub sent: usize,
    /// See `sent`.
    pub all: usize,
}

enum Sidecar {
    Process(SocketAddr, Box<Mutex<Supervised>>),
    Task(SocketAddr),
}

/// Tasks that end with a play, however it ends.
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

/// Where a play takes place.
struct Stage {
    clock: Clock,
    record: Record,
    net: Net,
    servers: Arc<Servers>,
    mood: watch::Sender<Mood>,
    datagrams: watch::Sender<Datagrams>,
    lies: watch::Sender<bool>,
    fronts: Option<Fronts>,
    sidecars: Vec<Sidecar>,
    /// Faults that take their time, such as a stop.
    under_way: Mutex<JoinSet<()>>,
}

/// Hosts of the loopback range that one play uses, by purpose: a port that the system picks there is met by nobody
/// else's.
fn host(purpose: u8, number: usize) -> IpAddr {
    let process = std::process::id();
    let low = (number % 250 + 1) as u8;
    IpAddr::V4(Ipv4Addr::new(127, 16 + purpose, (process % 250) as u8 + (number / 250) as u8 % 5, low))
}

/// A free address on a host of its own.
fn free(host: IpAddr) -> io::Result<SocketAddr> {
    TcpListener::bind((host, 0))?.local_addr()
}

/// Plays one variant; what is seen goes into `record`, which is taken at the end.
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
) -> Result<Tally, PlayError> {
    let mut tasks = Tasks::default();
    let stage = Arc::new(build(experiment, plan, variant, launch, folder, record, &mut tasks).await?);
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
    let apps = Arc::new(Apps {
        plan: Arc::clone(plan),
        clock: stage.clock.clone(),
        record: stage.record.clone(),
        sidecars: stage.sidecars.iter().map(Sidecar::address).collect(),
        servers: Arc::clone(&stage.servers),
    });
    let all = plan.arrivals.len();
    let lateness = apps.run(|sent| progress.send_modify(|p| *p = Progress { sent, all })).await;
    // Faults that last longer than the requests have nothing left to disturb.
    drop(tasks);
    stage.end().await;
    let record = stage.record.take();
    let (work, savable, fallen) =
        stage.servers.with(|world, _, _| (world.work(), world.savable(), world.fallen().len()));
    let findings = audit(plan, &record);
    let mut spent = Vec::new();
    for sidecar in 0..stage.sidecars.len() {
        if let Some(process) = stage.process(sidecar) {
            spent.push(process.lock().await.spent());
        }
    }
    let fleet_bytes = stage.fronts.as_ref().map_or(0, Fronts::bytes);
    Ok(tally(plan, &record, Beside { work, savable, fallen, lateness, fleet_bytes, spent }, findings))
}

/// What stands in a variant's configuration for the addresses of a sidecar in its fleet.
pub const FLEET: &str = "{fleet}";

async fn build(
    experiment: &Experiment,
    plan: &Arc<Plan>,
    variant: &Variant,
    launch: &Launch,
    folder: &Path,
    record: &Record,
    tasks: &mut Tasks,
) -> Result<Stage, PlayError> {
    let io = |what: &str| {
        let what = what.to_owned();
        move |e| PlayError::Io(what, e)
    };
    let (clock, record) = (Clock::default(), record.clone());
    let (net, mood) = (Net::new(&experiment.network), watch::channel(Mood::Well).0);
    let servers =
        Servers::new(Arc::clone(plan), clock.clone(), record.clone(), experiment.topology.connections);
    let (datagrams, lies) = (watch::channel(Datagrams::default()).0, watch::channel(false).0);
    let liar = experiment.fault.iter().find(|f| f.kind == FaultKind::MemberLies);
    // Only who asks for a fleet has its sockets.
    let fronts = match variant.config.contains(FLEET) {
        true => {
            let mut zones: Vec<usize> = plan.sidecars.iter().map(|spec| spec.zone).collect();
            // The last one is nobody's but a liar's.
            zones.push(liar.and_then(|fault| fault.zone).unwrap_or(0));
            let hosts = |sidecar| (host(3, sidecar), host(4, sidecar));
            let opened = Fronts::open(&zones, hosts, &net, &datagrams.subscribe()).await;
            let (fronts, handles) = opened.map_err(io("no socket between sidecars"))?;
            tasks.0.extend(handles);
            if let Some(zone) = liar.map(|_| zones[plan.sidecars.len()]) {
                let others = fronts.addresses[..plan.sidecars.len()].iter().map(|a| a.front).collect();
                let servers = plan.servers.iter().map(|s| s.name.clone()).collect();
                let section = fronts.member(plan.sidecars.len());
                tasks.spawn(lie(section, site::ZONES[zone], servers, others, lies.subscribe()));
            }
            Some(fronts)
        }
        false => None,
    };
    let mut sidecars = Vec::new();
    for (sidecar, spec) in plan.sidecars.iter().enumerate() {
        let mut addresses = Vec::new();
        for server in 0..plan.servers.len() {
            let door = servers.door(host(0, server), &net, sidecar, server);
            let (address, task) = door.map_err(io("no socket for a server"))?;
            addresses.push(address);
            tasks.0.push(task);
        }
        let agent = Agent::new(
            Arc::clone(plan),
            clock.clone(),
            record.clone(),
            sidecar,
            Arc::new(addresses),
            mood.subscribe(),
        );
        let (discovery, task) = agent.listen(host(1, sidecar)).map_err(io("no socket for an agent"))?;
        tasks.0.push(task);
        let listen = free(host(2, sidecar)).map_err(io("no address for a sidecar"))?;
        let told = Told::new((sidecar, plan.sidecars.len()), spec.zone, listen, discovery, agent.known());
        sidecars.push(match launch {
            Launch::Program(bringing) => {
                let mut bringing = bringing.clone();
                bringing.program = variant.program.clone().unwrap_or(bringing.program);
                let program = bringing.program.clone();
                let mut variant = variant.clone();
                if let Some(fronts) = &fronts {
                    let section = fronts.section(sidecar, spec.clock_offset_ms);
                    variant.config = variant.config.replace(FLEET, &section);
                }
                let seed = plan.seed.wrapping_add(sidecar as u64);
                let both = (clock.clone(), record.clone());
                let supervised = Supervised::new(told, bringing, &variant, folder, seed, both);
                let mut supervised = supervised.map_err(io("cannot write a sidecar's files"))?;
                let cannot = || format!("cannot start {}", program.display());
                supervised.start().map_err(|e| PlayError::Io(cannot(), e))?;
                Sidecar::Process(listen, Box::new(Mutex::new(supervised)))
            }
            Launch::Within(within) => {
                tasks.spawn(within(told));
                Sidecar::Task(listen)
            }
        });
    }
    for (number, sidecar) in sidecars.iter().enumerate() {
        if let Sidecar::Process(_, process) = sidecar {
            process.lock().await.ready().await.map_err(|what| PlayError::Start(number, what))?;
        }
    }
    Ok(Stage {
        clock,
        record,
        net,
        servers,
        mood,
        datagrams,
        lies,
        fronts,
        sidecars,
        under_way: Mutex::default(),
    })
}

impl Sidecar {
    fn address(&self) -> SocketAddr {
        match self {
            Self::Process(address, _) | Self::Task(address) => *address,
        }
    }
}

/// How often the lab looks whether a sidecar has ended by itself.
const WATCH: Duration = Duration::from_millis(50);

impl Stage {
    async fn step(self: &Arc<Self>, step: Step) {
        match step {
            Step::ServerDown(server) => self.servers.stop(server),
            Step::ServerUp(server) => self.servers.start(server),
            Step::ServerSilent(server, on) => self.servers.silence(server, on),
            Step::ServerSlow(server, times) => self.servers.with(|world, now, done| {
                world.advance(now, done);
                world.slow_down(server, times);
            }),
            Step::ServerFails(server, share) => self.servers.with(|world, _, _| world.fail(server, share)),
            Step::Cut(zone, way, on) => self.net.cut(zone, way, on),
            Step::Slow(more) => self.net.slow(more),
            Step::Resets(share) => self.net.resets(share),
            Step::Datagrams(kind, share) => self.datagrams.send_modify(|faults| faults.set(kind, share)),
            Step::Lies(on) => drop(self.lies.send_replace(on)),
            Step::Agents(mood) => drop(self.mood.send_replace(mood)),
            Step::SidecarPause(sidecar, on) => {
                if let Some(process) = self.process(sidecar) {
                    process.lock().await.signal(if on { Signal::STOP } else { Signal::CONT });
                }
            }
            Step::SidecarKill(sidecar) => {
                if let Some(process) = self.process(sidecar) {
                    process.lock().await.kill().await;
                }
            }
            Step::SidecarStart(sidecar) => self.restart(sidecar, false).await,
            Step::SidecarRestart(sidecar) => self.restart(sidecar, true).await,
        }
    }

    /// Starts a sidecar, after a planned stop where it runs. Both take their time, and other steps do not wait.
    async fn restart(self: &Arc<Self>, sidecar: usize, stop: bool) {
        let this = Arc::clone(self);
        self.under_way.lock().await.spawn(async move {
            let Some(process) = this.process(sidecar) else { return };
            let mut process = process.lock().await;
            if stop {
                process.stop().await;
            }
            this.start(sidecar, &mut process).await;
        });
    }

    async fn start(&self, sidecar: usize, process: &mut Supervised) {
        let started = match process.start() {
            Ok(()) => process.ready().await,
            Err(e) => Err(format!("cannot be started: {e}")),
        };
        if let Err(what) = started {
            self.record.note(self.clock.now(), Seen::SidecarFault { sidecar, what });
        }
    }

    fn process(&self, sidecar: usize) -> Option<&Mutex<Supervised>> {
        match &self.sidecars[sidecar] {
            Sidecar::Process(_, process) => Some(process),
            Sidecar::Task(_) => None,
        }
    }

    /// Notes sidecars that end by themselves, and starts them anew, as a platform does. Runs for good.
    async fn watch_over(self: Arc<Self>) {
        loop {
            sleep(WATCH).await;
            for sidecar in 0..self.sidecars.len() {
                let Some(process) = self.process(sidecar) else { continue };
                // Who is being stopped or started is being looked after.
                let Ok(mut process) = process.try_lock() else { continue };
                if let Some(status) = process.ended() {
                    let what = format!("ended by itself: {status}; {}", process.last_line());
                    let now = self.clock.now();
                    self.record.note(now, Seen::SidecarDown { sidecar, killed: false });
                    self.record.note(now, Seen::SidecarFault { sidecar, what });
                    self.start(sidecar, &mut process).await;
                }
            }
        }
    }

    /// Ends every sidecar: what is paused goes on first, and all are stopped at once.
    async fn end(self: &Arc<Self>) {
        let mut under_way = std::mem::take(&mut *self.under_way.lock().await);
        while under_way.join_next().await.is_some() {}
        let mut ends = JoinSet::new();
        for sidecar in 0..self.sidecars.len() {
            let this = Arc::clone(self);
            ends.spawn(async move {
                if let Some(process) = this.process(sidecar) {
                    let mut process = process.lock().await;
                    process.signal(Signal::CONT);
                    process.stop().await;
                }
            });
        }
        while ends.join_next().await.is_some() {}
    }
}
