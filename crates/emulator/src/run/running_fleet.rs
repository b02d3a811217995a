//! The running parts of a run, and what each step does to them.

use crate::coordinators::Coordinators;
use crate::datagrams::Datagrams;
use crate::drain_queries::{Leaves, ask_until_clear};
use crate::experiment::Version;
use crate::member_addresses::MemberAddresses;
use crate::net::{Clock, Net};
use crate::plan::{Mood, Plan, Step};
use crate::platform::Platform;
use crate::record::{Record, Seen};
use crate::reserved::Reserved;
use crate::servers::Servers;
use crate::supervisor::Supervised;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Mutex, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// A sidecar, by where it listens.
pub(super) enum Sidecar {
    Process(SocketAddr, Box<Mutex<Supervised>>),
    Task(SocketAddr),
}

/// Where a run takes place.
pub(super) struct RunningFleet {
    pub(super) clock: Clock,
    pub(super) record: Record,
    pub(super) net: Net,
    pub(super) servers: Arc<Servers>,
    pub(super) platform: Arc<Platform>,
    pub(super) mood: watch::Sender<Mood>,
    pub(super) datagrams: watch::Sender<Datagrams>,
    pub(super) lies: watch::Sender<bool>,
    pub(super) fronts: Option<MemberAddresses>,
    pub(super) coordinators: Option<Arc<Coordinators>>,
    pub(super) sidecars: Vec<Sidecar>,
    /// Their addresses, which stay their own while they are down.
    pub(super) _reserved: Vec<Reserved>,
    pub(super) plan: Arc<Plan>,
    /// Where sidecars' pages are, where they bind keys.
    pub(super) binds: Option<Vec<SocketAddr>>,
    /// Whoever asks whether servers are clear.
    pub(super) asking: Mutex<JoinSet<()>>,
    /// Faults that take their time, such as a stop.
    pub(super) under_way: Mutex<JoinSet<()>>,
}

impl Sidecar {
    pub(super) fn address(&self) -> SocketAddr {
        match self {
            Self::Process(address, _) | Self::Task(address) => *address,
        }
    }
}

/// How often the emulator looks whether a sidecar has ended by itself.
const WATCH: Duration = Duration::from_millis(50);

impl RunningFleet {
    pub(super) async fn step(self: &Arc<Self>, step: Step) {
        match step {
            Step::ServerDown(server) => self.servers.stop(server),
            Step::ServerUp(server) if self.platform.may_start(server) => self.servers.start(server),
            // The platform will start it.
            Step::ServerUp(_) => {}
            Step::Returns(server, how) => self.platform.returns(server, how),
            Step::ServerSilent(server, on) => self.servers.silence(server, on),
            Step::ServerSlow(server, times) => self.servers.with(|world, now, done| {
                world.advance(now, done);
                world.slow_down(server, times);
            }),
            Step::ServerFails(server, share) => {
                self.servers.with(|world, _, _| world.fail(server, share))
            }
            Step::Cut(zone, way, on) => self.net.cut(zone, way, on),
            Step::Slow(more) => self.net.slow(more),
            Step::Resets(share) => self.net.resets(share),
            Step::Datagrams(kind, share) => {
                self.datagrams.send_modify(|faults| faults.set(kind, share))
            }
            Step::Lies(on) => drop(self.lies.send_replace(on)),
            Step::ServerLeaves(server) => self.leaves(server).await,
            Step::Agents(mood) => drop(self.mood.send_replace(mood)),
            Step::SidecarPause(sidecar, on) => {
                if let Some(process) = self.process(sidecar) {
                    process
                        .lock()
                        .await
                        .signal(if on { Signal::STOP } else { Signal::CONT });
                }
            }
            Step::SidecarKill(sidecar) => {
                if let Some(process) = self.process(sidecar) {
                    process.lock().await.kill().await;
                }
            }
            Step::SidecarStart(sidecar) => self.restart(sidecar, false, None).await,
            Step::SidecarRestart(sidecar) => self.restart(sidecar, true, None).await,
        }
    }

    /// Asks a sidecar whether a server is clear, where sidecars say so. Other steps do not wait.
    async fn leaves(&self, server: usize) {
        let Some(pages) = &self.binds else { return };
        let (token, name) = (server as u64 + 1, self.plan.servers[server].name.clone());
        let asks = ask_until_clear(
            Leaves {
                server,
                name,
                token,
            },
            pages[server % pages.len()],
            self.clock.clone(),
            self.record.clone(),
        );
        self.asking.lock().await.spawn(asks);
    }

    /// Starts a sidecar, in that version where one is named, after a planned stop where it runs.
    /// Both take their time, and other steps do not wait.
    pub(super) async fn restart(self: &Arc<Self>, sidecar: usize, stop: bool, to: Option<Version>) {
        let this = Arc::clone(self);
        self.under_way.lock().await.spawn(async move {
            let Some(process) = this.process(sidecar) else {
                return;
            };
            let mut process = process.lock().await;
            if stop {
                process.stop().await;
            }
            if let Some(to) = to {
                process.turn(to);
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
            self.record
                .note(self.clock.now(), Seen::SidecarFault { sidecar, what });
        }
    }

    pub(super) fn process(&self, sidecar: usize) -> Option<&Mutex<Supervised>> {
        match &self.sidecars[sidecar] {
            Sidecar::Process(_, process) => Some(process),
            Sidecar::Task(_) => None,
        }
    }

    /// Notes sidecars that end by themselves, and starts them anew, as a platform does. Runs for
    /// good.
    pub(super) async fn watch_over(self: Arc<Self>) {
        loop {
            sleep(WATCH).await;
            for sidecar in 0..self.sidecars.len() {
                let Some(process) = self.process(sidecar) else {
                    continue;
                };
                // Who is being stopped or started is being looked after.
                let Ok(mut process) = process.try_lock() else {
                    continue;
                };
                if let Some(status) = process.ended() {
                    let what = format!("ended by itself: {status}; {}", process.last_line());
                    let now = self.clock.now();
                    self.record.note(
                        now,
                        Seen::SidecarDown {
                            sidecar,
                            killed: false,
                        },
                    );
                    self.record.note(now, Seen::SidecarFault { sidecar, what });
                    self.start(sidecar, &mut process).await;
                }
            }
        }
    }

    /// Ends every sidecar: what is paused goes on first, and all are stopped at once.
    pub(super) async fn end(self: &Arc<Self>) {
        let mut under_way = std::mem::take(&mut *self.under_way.lock().await);
        while under_way.join_next().await.is_some() {}
        self.asking.lock().await.shutdown().await;
        if let Some(coordinators) = &self.coordinators {
            coordinators.end().await;
        }
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
