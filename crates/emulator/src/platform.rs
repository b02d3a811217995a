//! A stand-in for the platform that deploys servers: it drains, takes and returns them for any
//! caller whose fencing token is not lower than the highest one seen.

mod http;

use crate::Us;
use crate::catalogue::Catalogue;
use crate::directory::State;
use crate::listing::{capacity, started_ms};
use crate::net::Clock;
use crate::plan::{Plan, Returns};
use crate::record::{Act, Record, Seen};
use crate::servers::Servers;
use crate::site::{self, ZONES};
use serde::Serialize;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// A server's state at the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerPlace {
    /// It is listed as active, whether its process runs or not.
    Serving,
    /// It is listed as draining.
    Draining,
    /// Its process was stopped.
    Away,
    /// It was told to restart and has not done so yet.
    Returning,
}

/// The platform's answer to an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The action was performed, or had been before.
    Done(ServerPlace),
    /// The token is lower than this one.
    Refused(u64),
    /// There is no such server.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct ServerRecord {
    highest_token: u64,
    /// When it was drained.
    drained_at: Us,
    place: ServerPlace,
    return_mode: Returns,
}

/// How long a server that restarts twice runs the first time.
const FIRST_RUN_TIME: Duration = Duration::from_millis(1500);

/// The platform.
pub struct Platform {
    plan: Arc<Plan>,
    clock: Clock,
    record: Record,
    servers: Arc<Servers>,
    catalogue: Catalogue,
    server_records: Mutex<Vec<ServerRecord>>,
    drain_known_after: Us,
}

impl Platform {
    /// The state at the start of a run.
    pub fn new(
        plan: Arc<Plan>,
        clock: Clock,
        record: Record,
        servers: Arc<Servers>,
        catalogue: Catalogue,
    ) -> Arc<Self> {
        let initial = ServerRecord {
            highest_token: 0,
            drained_at: 0,
            place: ServerPlace::Serving,
            return_mode: Returns::Well,
        };
        // The largest delay of a list, and the time a sidecar may take to react to it.
        let max_list_lag = plan
            .sidecars
            .iter()
            .map(|spec| spec.list_lag)
            .max()
            .unwrap_or(0);
        let drain_known_after = max_list_lag + site::DRAIN_GRACE + site::SLACK;
        let server_records = Mutex::new(vec![initial; plan.servers.len()]);
        Arc::new(Self {
            plan,
            clock,
            record,
            servers,
            catalogue,
            server_records,
            drain_known_after,
        })
    }

    fn with<T>(&self, operation: impl FnOnce(&mut Vec<ServerRecord>) -> T) -> T {
        operation(
            &mut self
                .server_records
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// A server's state.
    pub fn place(&self, server: usize) -> ServerPlace {
        self.with(|records| records[server].place)
    }

    /// Sets how a server restarts from now on.
    pub fn set_return_mode(&self, server: usize, mode: Returns) {
        self.with(|records| records[server].return_mode = mode);
    }

    /// Whether the end of a fault may restart a server, which it may not if the server was taken.
    pub fn may_start(&self, server: usize) -> bool {
        matches!(
            self.place(server),
            ServerPlace::Serving | ServerPlace::Draining
        )
    }

    /// Performs an action on the named server, for a window and with a token.
    pub fn perform(self: &Arc<Self>, action: Act, name: &str, window: u64, token: u64) -> Answer {
        let Some(server) = self.plan.servers.iter().position(|spec| spec.name == name) else {
            return Answer::Unknown;
        };
        // Locked until the action is recorded, so that the record has the actual order.
        let mut records = self
            .server_records
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        let (highest_token, previous) = (records[server].highest_token, records[server].place);
        let accepted = token >= highest_token;
        self.record.note(
            now,
            Seen::Acted {
                act: action,
                server,
                window,
                token,
                accepted,
            },
        );
        if !accepted {
            return Answer::Refused(highest_token);
        }
        records[server].highest_token = token;
        let place = match (action, previous) {
            (Act::Drain, ServerPlace::Serving) => {
                self.catalogue.set(now, server, State::Leaving);
                records[server].drained_at = now;
                ServerPlace::Draining
            }
            (Act::Take, ServerPlace::Serving | ServerPlace::Draining) => {
                self.catalogue.set(now, server, State::Left);
                self.servers.stop(server);
                ServerPlace::Away
            }
            (Act::Return | Act::CallBack, ServerPlace::Draining) => {
                self.catalogue.set(
                    now,
                    server,
                    State::Active {
                        since: self.catalogue.process_start(now, server),
                    },
                );
                ServerPlace::Serving
            }
            (Act::Return, ServerPlace::Away) => {
                tokio::spawn(Arc::clone(self).restart(server, records[server].return_mode));
                ServerPlace::Returning
            }
            (_, before) => before,
        };
        records[server].place = place;
        Answer::Done(place)
    }

    async fn restart(self: Arc<Self>, server: usize, mode: Returns) {
        match mode {
            Returns::Well => self.start(server),
            Returns::Late(after) => {
                sleep(Duration::from_micros(after)).await;
                self.start(server);
            }
            Returns::Never => {}
            Returns::Twice => {
                self.start(server);
                sleep(FIRST_RUN_TIME).await;
                // Another action may have been performed in the meantime.
                if self.place(server) == ServerPlace::Serving {
                    self.servers.stop(server);
                    self.start(server);
                }
            }
        }
    }

    fn start(&self, server: usize) {
        self.with(|records| {
            let now = self.clock.now();
            self.servers.start(server);
            self.catalogue
                .set(now, server, State::Active { since: Some(now) });
            records[server].place = ServerPlace::Serving;
        });
    }

    /// When a listed process started, in milliseconds of Unix time as in the list; 0 if long ago.
    pub fn started_ms(&self, server: usize, now: Us) -> u64 {
        started_ms(self.since(server, now), self.clock.began_ms())
    }

    /// When the process of a listed server started; none if long ago.
    pub fn since(&self, server: usize, now: Us) -> Option<Us> {
        self.catalogue.process_start(now, server)
    }

    /// All servers that run or will restart.
    pub fn servers(&self) -> Value {
        let now = self.clock.now();
        let unlisted: Vec<usize> = self.catalogue.with(|directory| {
            let listed = directory.list_at(directory.version_at(now, 0));
            (0..self.plan.servers.len())
                .filter(|i| !listed.iter().any(|(server, _)| server == i))
                .collect()
        });
        let entry = |(i, record): (usize, &ServerRecord)| {
            let spec = &self.plan.servers[i];
            // The jobs at a draining server are unknown while some sidecar may not know of the
            // drain yet.
            let is_drain_known = record.drained_at.saturating_add(self.drain_known_after) <= now;
            let process_state = self
                .servers
                .with(|world, _, _| (world.is_up(i), world.job_count(i)));
            let in_flight = (record.place != ServerPlace::Draining || is_drain_known)
                .then_some(process_state.1);
            // A server that was never started, or was removed for good, is not listed.
            let listed = record.place != ServerPlace::Serving || !unlisted.contains(&i);
            (listed || process_state.0).then(|| {
                json!({"name": spec.name, "zone": ZONES[spec.zone], "group": format!("g{}", spec.group),
                    "weight": capacity(spec), "started_ms": self.started_ms(i, now), "state": record.place, "in_flight": in_flight})
            })
        };
        self.with(|records| records.iter().enumerate().filter_map(entry).collect())
    }
}
