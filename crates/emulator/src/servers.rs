//! Stand-ins for servers on real sockets, around the model in [`crate::world`].

mod answering;

use crate::Us;
use crate::net::{Clock, Net};
use crate::plan::Plan;
use crate::record::{Record, Seen, Try};
use crate::relay::{Link, relay};
use crate::server_listener::{Incarnation, ServerListener};
use crate::world::{Done, World};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::io::duplex;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::AbortHandle;

/// Bytes buffered between a connection's relay and its server.
const BUFFER_BYTES: usize = 64 << 10;

/// The number of a client's attempt: the request's index in the plan, and the index of the attempt.
pub fn try_number(arrival: usize, attempt: u32) -> Try {
    (arrival as u64) << 4 | u64::from(attempt)
}

/// The request of an attempt, by its index in the plan.
pub fn arrival_of(request: Try) -> usize {
    (request >> 4) as usize
}

/// A server's response to an attempt, by which the client recognizes that it was made for this
/// attempt.
pub fn response_body(request: Try, server: &str) -> String {
    format!("{{\"done\":\"{request:016x}\",\"by\":\"{server}\"}}")
}

/// The receivers of the results of jobs at servers.
type PendingJobs = HashMap<u64, oneshot::Sender<bool>>;

/// All servers of a run.
pub struct Servers {
    plan: Arc<Plan>,
    clock: Clock,
    record: Record,
    state: Mutex<(World, PendingJobs)>,
    forwarded: Mutex<HashSet<Try>>,
    wake: Notify,
    incarnations: Vec<watch::Sender<Incarnation>>,
    connections: Vec<AtomicUsize>,
    max_connections: usize,
    attempts: AtomicU64,
}

impl Servers {
    /// The state at the start of a run.
    pub fn new(plan: Arc<Plan>, clock: Clock, record: Record, max_connections: usize) -> Arc<Self> {
        let incarnation = |first: bool| {
            watch::channel(Incarnation {
                is_up: first,
                number: 1,
            })
            .0
        };
        Arc::new(Self {
            state: Mutex::new((World::new(&plan), PendingJobs::new())),
            forwarded: Mutex::default(),
            incarnations: plan.servers.iter().map(|s| incarnation(s.first)).collect(),
            connections: plan.servers.iter().map(|_| AtomicUsize::new(0)).collect(),
            plan,
            clock,
            record,
            wake: Notify::new(),
            max_connections,
            attempts: AtomicU64::new(0),
        })
    }

    /// Runs an operation on the servers' model at the current time.
    pub fn with<T>(&self, operation: impl FnOnce(&mut World, Us, &mut Vec<Done>) -> T) -> T {
        self.with_pending(|world, _, now, done| operation(world, now, done))
    }

    fn with_pending<T>(
        &self,
        operation: impl FnOnce(&mut World, &mut PendingJobs, Us, &mut Vec<Done>) -> T,
    ) -> T {
        let mut done = Vec::new();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (world, pending) = &mut *state;
        let collapsed_before = world.collapsed().len();
        let result = operation(world, pending, self.clock.now(), &mut done);
        let newly_collapsed: Vec<usize> = world.collapsed()[collapsed_before..]
            .iter()
            .map(|(_, server)| *server)
            .collect();
        for done in done {
            if let Some(result_sender) = pending.remove(&done.job) {
                // The receiver may have been dropped.
                let _ = result_sender.send(done.served);
            }
        }
        drop(state);
        newly_collapsed
            .into_iter()
            .for_each(|server| self.record_stop(server));
        self.wake.notify_one();
        result
    }

    /// Starts the server's process, cold.
    pub fn start(&self, server: usize) {
        self.with(|world, now, done| {
            world.advance(now, done);
            world.start(server);
        });
        self.record
            .note(self.clock.now(), Seen::ServerUp { server });
        self.incarnations[server].send_modify(|incarnation| {
            *incarnation = Incarnation {
                is_up: true,
                number: incarnation.number + 1,
            }
        });
    }

    /// Stops the server's process.
    pub fn stop(&self, server: usize) {
        self.drop_jobs(|world| world.stop(server));
        self.record_stop(server);
    }

    /// Makes the server accept requests without ever answering, or ends that.
    pub fn set_silent(&self, server: usize, silent: bool) {
        self.drop_jobs(|world| world.set_silent(server, silent));
        self.record
            .note(self.clock.now(), Seen::ServerSilent { server, on: silent });
    }

    /// Drops jobs by an operation, and the receivers of their results.
    fn drop_jobs(&self, operation: impl FnOnce(&mut World)) {
        self.with_pending(|world, pending, now, done| {
            world.advance(now, done);
            // Jobs completed until then still count.
            for done in done.drain(..) {
                if let Some(result_sender) = pending.remove(&done.job) {
                    let _ = result_sender.send(done.served);
                }
            }
            operation(world);
            pending.retain(|job, _| world.contains_job(*job));
        });
    }

    /// Whether an attempt has arrived at any server.
    pub fn was_forwarded(&self, request: Try) -> bool {
        self.forwarded
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(&request)
    }

    fn record_stop(&self, server: usize) {
        self.record
            .note(self.clock.now(), Seen::ServerDown { server });
        self.incarnations[server].send_modify(|incarnation| incarnation.is_up = false);
    }

    /// Advances the model as time passes. Runs forever.
    pub async fn run(self: Arc<Self>) {
        loop {
            let next = self.with(|world, now, done| {
                world.advance(now, done);
                world.next()
            });
            // Consumes the permit that the call above has left.
            self.wake.notified().await;
            match next {
                Some(next) => tokio::select! {
                    () = self.clock.until(next) => {}
                    () = self.wake.notified() => {}
                },
                None => self.wake.notified().await,
            }
        }
    }

    /// Opens the listener at which that sidecar reaches that server, until its task is aborted.
    pub fn listener(
        self: &Arc<Self>,
        host: IpAddr,
        net: &Net,
        sidecar: usize,
        server: usize,
    ) -> io::Result<(SocketAddr, AbortHandle)> {
        let (from_zone, to_zone) = (
            self.plan.sidecars[sidecar].zone,
            self.plan.servers[server].zone,
        );
        let link = Link {
            net: net.clone(),
            from: from_zone,
            to: to_zone,
        };
        let listener =
            ServerListener::bind(host, self.incarnations[server].subscribe(), link.clone())?;
        let address = listener.address();
        let servers = Arc::clone(self);
        let task = tokio::spawn(listener.run(move |stream, incarnation| {
            let (near, far) = duplex(BUFFER_BYTES);
            servers
                .record
                .note(servers.clock.now(), Seen::Handshake { sidecar, server });
            let mut incarnations = servers.incarnations[server].subscribe();
            let ended = async move {
                let _ = incarnations
                    .wait_for(|l| !l.is_up || l.number != incarnation)
                    .await;
            };
            tokio::spawn(Arc::clone(&servers).serve_connection(far, sidecar, server));
            tokio::spawn(relay(stream, near, link.clone(), ended));
        }));
        Ok((address, task.abort_handle()))
    }
}
