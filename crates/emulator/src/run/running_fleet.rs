//! The running parts of a run, and the effect of each step on them.

use crate::coordinators::Coordinators;
use crate::datagrams::DatagramFaults;
use crate::drain_queries::{DrainQuery, query_until_clear};
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

/// A sidecar, with the address it listens on.
pub(super) enum Sidecar {
    Process(SocketAddr, Box<Mutex<Supervised>>),
    Task(SocketAddr),
}

/// The running parts.
pub(super) struct RunningFleet {
    pub(super) clock: Clock,
    pub(super) record: Record,
    pub(super) net: Net,
    pub(super) servers: Arc<Servers>,
    pub(super) platform: Arc<Platform>,
    pub(super) agent_mode: watch::Sender<Mood>,
    pub(super) datagrams: watch::Sender<DatagramFaults>,
    pub(super) lying: watch::Sender<bool>,
    pub(super) member_addresses: Option<MemberAddresses>,
    pub(super) coordinators: Option<Arc<Coordinators>>,
    pub(super) sidecars: Vec<Sidecar>,
    /// Keeps the sidecars' addresses reserved while they are down.
    pub(super) _reserved: Vec<Reserved>,
    pub(super) plan: Arc<Plan>,
    /// Addresses of the sidecars' pages, if these use key affinity.
    pub(super) affinity_pages: Option<Vec<SocketAddr>>,
    /// Tasks that query whether servers are clear.
    pub(super) drain_queries: Mutex<JoinSet<()>>,
    /// Pending restarts.
    pub(super) pending_restarts: Mutex<JoinSet<()>>,
}

impl Sidecar {
    pub(super) fn address(&self) -> SocketAddr {
        match self {
            Self::Process(address, _) | Self::Task(address) => *address,
        }
    }
}

/// Interval of the checks whether a sidecar has exited.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl RunningFleet {
    pub(super) async fn apply(self: &Arc<Self>, step: Step) {
        match step {
            Step::ServerDown(server) => self.servers.stop(server),
            Step::ServerUp(server) if self.platform.may_start(server) => self.servers.start(server),
            // The platform will start it.
            Step::ServerUp(_) => {}
            Step::Returns(server, how) => self.platform.set_return_mode(server, how),
            Step::ServerSilent(server, on) => self.servers.set_silent(server, on),
            Step::ServerSlow(server, times) => self.servers.with(|world, now, done| {
                world.advance(now, done);
                world.set_slowdown(server, times);
            }),
            Step::ServerFails(server, share) => self
                .servers
                .with(|world, _, _| world.set_error_share(server, share)),
            Step::Cut(zone, way, on) => self.net.set_partition(zone, way, on),
            Step::Slow(more) => self.net.set_extra_delay(more),
            Step::Resets(share) => self.net.set_reset_share(share),
            Step::Datagrams(kind, share) => {
                self.datagrams.send_modify(|faults| faults.set(kind, share))
            }
            Step::Lies(on) => drop(self.lying.send_replace(on)),
            Step::ServerLeaves(server) => self.query_drain(server).await,
            Step::Agents(mood) => drop(self.agent_mode.send_replace(mood)),
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

    /// Starts to query a sidecar whether a server is clear, if sidecars use key affinity.
    async fn query_drain(&self, server: usize) {
        let Some(pages) = &self.affinity_pages else {
            return;
        };
        let (token, name) = (server as u64 + 1, self.plan.servers[server].name.clone());
        let query = query_until_clear(
            DrainQuery {
                server,
                name,
                token,
            },
            pages[server % pages.len()],
            self.clock.clone(),
            self.record.clone(),
        );
        self.drain_queries.lock().await.spawn(query);
    }

    /// Starts a sidecar, optionally in another version, after shutting it down if it runs. Does not
    /// wait for either.
    pub(super) async fn restart(self: &Arc<Self>, sidecar: usize, stop: bool, to: Option<Version>) {
        let fleet = Arc::clone(self);
        self.pending_restarts.lock().await.spawn(async move {
            let Some(process) = fleet.process(sidecar) else {
                return;
            };
            let mut process = process.lock().await;
            if stop {
                process.stop().await;
            }
            if let Some(to) = to {
                process.switch_release(to);
            }
            fleet.start(sidecar, &mut process).await;
        });
    }

    async fn start(&self, sidecar: usize, process: &mut Supervised) {
        let started = match process.start() {
            Ok(()) => process.wait_until_ready().await,
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

    /// Records sidecars that exit by themselves, and restarts them, as a platform does. Runs
    /// forever.
    pub(super) async fn restart_exited(self: Arc<Self>) {
        loop {
            sleep(EXIT_CHECK_INTERVAL).await;
            for sidecar in 0..self.sidecars.len() {
                let Some(process) = self.process(sidecar) else {
                    continue;
                };
                // One that is being stopped or started is skipped.
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

    /// Shuts down all sidecars at the same time; suspended ones are resumed first.
    pub(super) async fn shut_down(self: &Arc<Self>) {
        let mut under_way = std::mem::take(&mut *self.pending_restarts.lock().await);
        while under_way.join_next().await.is_some() {}
        self.drain_queries.lock().await.shutdown().await;
        if let Some(coordinators) = &self.coordinators {
            coordinators.end().await;
        }
        let mut ends = JoinSet::new();
        for sidecar in 0..self.sidecars.len() {
            let fleet = Arc::clone(self);
            ends.spawn(async move {
                if let Some(process) = fleet.process(sidecar) {
                    let mut process = process.lock().await;
                    process.signal(Signal::CONT);
                    process.stop().await;
                }
            });
        }
        while ends.join_next().await.is_some() {}
    }
}
