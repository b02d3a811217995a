//! Stand-ins for servers on real sockets, around the core in [`crate::world`] (PROTOCOL, "Sidecars
//! to endpoints").

mod answering;

use crate::Us;
use crate::net::{Clock, Net};
use crate::plan::Plan;
use crate::record::{Record, Seen, Try};
use crate::relay::{Link, join};
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

/// Bytes that may wait between a connection's relay and its server.
const BUFFER: usize = 64 << 10;

/// The number of a try: its request's place in the plan, and the how-manieth try it is.
pub fn try_number(arrival: usize, number: u32) -> Try {
    (arrival as u64) << 4 | u64::from(number)
}

/// The request of a try.
pub fn arrival_of(request: Try) -> usize {
    (request >> 4) as usize
}

/// What a server answers to a try, by which its client knows that a server made it for this very
/// try.
pub fn body_of(request: Try, server: &str) -> String {
    format!("{{\"done\":\"{request:016x}\",\"by\":\"{server}\"}}")
}

/// Who waits for which request at a server.
type Waiting = HashMap<u64, oneshot::Sender<bool>>;

/// All servers of a run.
pub struct Servers {
    plan: Arc<Plan>,
    clock: Clock,
    record: Record,
    state: Mutex<(World, Waiting)>,
    reached: Mutex<HashSet<Try>>,
    wake: Notify,
    lives: Vec<watch::Sender<Incarnation>>,
    connections: Vec<AtomicUsize>,
    most_connections: usize,
    attempts: AtomicU64,
}

impl Servers {
    /// As the run begins.
    pub fn new(
        plan: Arc<Plan>,
        clock: Clock,
        record: Record,
        most_connections: usize,
    ) -> Arc<Self> {
        let incarnation = |first: bool| {
            watch::channel(Incarnation {
                up: first,
                number: 1,
            })
            .0
        };
        Arc::new(Self {
            state: Mutex::new((World::new(&plan), Waiting::new())),
            reached: Mutex::default(),
            lives: plan.servers.iter().map(|s| incarnation(s.first)).collect(),
            connections: plan.servers.iter().map(|_| AtomicUsize::new(0)).collect(),
            plan,
            clock,
            record,
            wake: Notify::new(),
            most_connections,
            attempts: AtomicU64::new(0),
        })
    }

    /// Does something with the servers' core at this instant.
    pub fn with<T>(&self, what: impl FnOnce(&mut World, Us, &mut Vec<Done>) -> T) -> T {
        self.with_waiting(|world, _, now, done| what(world, now, done))
    }

    fn with_waiting<T>(
        &self,
        what: impl FnOnce(&mut World, &mut Waiting, Us, &mut Vec<Done>) -> T,
    ) -> T {
        let mut done = Vec::new();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (world, waiting) = &mut *state;
        let fallen = world.collapsed().len();
        let result = what(world, waiting, self.clock.now(), &mut done);
        let fell: Vec<usize> = world.collapsed()[fallen..]
            .iter()
            .map(|(_, server)| *server)
            .collect();
        for done in done {
            if let Some(waiting) = waiting.remove(&done.job) {
                // Whoever waited may have left.
                let _ = waiting.send(done.served);
            }
        }
        drop(state);
        fell.into_iter().for_each(|server| self.end(server));
        self.wake.notify_one();
        result
    }

    /// Its process starts, cold.
    pub fn start(&self, server: usize) {
        self.with(|world, now, done| {
            world.advance(now, done);
            world.start(server);
        });
        self.record
            .note(self.clock.now(), Seen::ServerUp { server });
        self.lives[server].send_modify(|incarnation| {
            *incarnation = Incarnation {
                up: true,
                number: incarnation.number + 1,
            }
        });
    }

    /// Its process ends.
    pub fn stop(&self, server: usize) {
        self.lose(|world| world.stop(server));
        self.end(server);
    }

    /// It takes requests and answers none, or no longer so.
    pub fn silence(&self, server: usize, on: bool) {
        self.lose(|world| world.set_silent(server, on));
        self.record
            .note(self.clock.now(), Seen::ServerSilent { server, on });
    }

    /// What a server gives up is never done: who waits for it is told so.
    fn lose(&self, what: impl FnOnce(&mut World)) {
        self.with_waiting(|world, waiting, now, done| {
            world.advance(now, done);
            // What is done until then still counts.
            for done in done.drain(..) {
                if let Some(waiting) = waiting.remove(&done.job) {
                    let _ = waiting.send(done.served);
                }
            }
            what(world);
            waiting.retain(|job, _| world.contains_job(*job));
        });
    }

    /// Whether a try has come to any server.
    pub fn reached(&self, request: Try) -> bool {
        self.reached
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(&request)
    }

    fn end(&self, server: usize) {
        self.record
            .note(self.clock.now(), Seen::ServerDown { server });
        self.lives[server].send_modify(|incarnation| incarnation.up = false);
    }

    /// Brings the core on as time passes. Runs for good.
    pub async fn run(self: Arc<Self>) {
        loop {
            let next = self.with(|world, now, done| {
                world.advance(now, done);
                world.next()
            });
            // The call above has left a permit for itself.
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

    /// Opens the listener through which that sidecar reaches that server, until it is told to end.
    pub fn listener(
        self: &Arc<Self>,
        host: IpAddr,
        net: &Net,
        sidecar: usize,
        server: usize,
    ) -> io::Result<(SocketAddr, AbortHandle)> {
        let (from, to) = (
            self.plan.sidecars[sidecar].zone,
            self.plan.servers[server].zone,
        );
        let link = Link {
            net: net.clone(),
            from,
            to,
        };
        let listener = ServerListener::bind(host, self.lives[server].subscribe(), link.clone())?;
        let address = listener.address();
        let this = Arc::clone(self);
        let task = tokio::spawn(listener.run(move |stream, incarnation| {
            let (near, far) = duplex(BUFFER);
            this.record
                .note(this.clock.now(), Seen::Handshake { sidecar, server });
            let mut lives = this.lives[server].subscribe();
            let ended = async move {
                let _ = lives.wait_for(|l| !l.up || l.number != incarnation).await;
            };
            tokio::spawn(Arc::clone(&this).connection(far, sidecar, server));
            tokio::spawn(join(stream, near, link.clone(), ended));
        }));
        Ok((address, task.abort_handle()))
    }
}
