//! A stand-in for the platform that rolls servers out: it drains, takes and returns them for
//! whoever has a fencing token that is not lower than one already seen.

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

/// Where the platform has a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Place {
    /// It is listed as active; whether its process runs is another question.
    Serving,
    /// It is listed as leaving.
    Draining,
    /// Its process was ended.
    Away,
    /// It was told to start again and has not done so yet.
    Returning,
}

/// What the platform answers to an act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is so.
    Done(Place),
    /// The token is lower than this one.
    Refused(u64),
    /// There is no such server.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    highest: u64,
    /// When it was drained.
    since: Us,
    place: Place,
    returns: Returns,
}

/// How long a server that comes back twice runs before it starts again under another start.
const RUNS_FIRST: Duration = Duration::from_millis(1500);

/// The platform.
pub struct Platform {
    plan: Arc<Plan>,
    clock: Clock,
    record: Record,
    servers: Arc<Servers>,
    catalogue: Catalogue,
    held: Mutex<Vec<Held>>,
    told_within: Us,
}

impl Platform {
    /// With all servers serving, or not yet there.
    pub fn new(
        plan: Arc<Plan>,
        clock: Clock,
        record: Record,
        servers: Arc<Servers>,
        catalogue: Catalogue,
    ) -> Arc<Self> {
        let held = Held {
            highest: 0,
            since: 0,
            place: Place::Serving,
            returns: Returns::Well,
        };
        // The latest agent, and what a sidecar may take to act on it.
        let latest = plan
            .sidecars
            .iter()
            .map(|spec| spec.list_lag)
            .max()
            .unwrap_or(0);
        let told_within = latest + site::DRAIN_GRACE + site::SLACK;
        let held = Mutex::new(vec![held; plan.servers.len()]);
        Arc::new(Self {
            plan,
            clock,
            record,
            servers,
            catalogue,
            held,
            told_within,
        })
    }

    fn with<T>(&self, what: impl FnOnce(&mut Vec<Held>) -> T) -> T {
        what(&mut self.held.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Where it has a server.
    pub fn place(&self, server: usize) -> Place {
        self.with(|held| held[server].place)
    }

    /// How a server comes back from now on.
    pub fn returns(&self, server: usize, how: Returns) {
        self.with(|held| held[server].returns = how);
    }

    /// Whether a fault that is over may start a server: not one that was taken.
    pub fn may_start(&self, server: usize) -> bool {
        matches!(self.place(server), Place::Serving | Place::Draining)
    }

    /// Does something to a server, named in the list, for a window and with a token.
    pub fn act(self: &Arc<Self>, act: Act, name: &str, window: u64, token: u64) -> Answer {
        let Some(server) = self.plan.servers.iter().position(|spec| spec.name == name) else {
            return Answer::Unknown;
        };
        // Until it is noted nothing else happens: the record has the order in which things were
        // done.
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        let (highest, before) = (held[server].highest, held[server].place);
        let accepted = token >= highest;
        self.record.note(
            now,
            Seen::Acted {
                act,
                server,
                window,
                token,
                accepted,
            },
        );
        if !accepted {
            return Answer::Refused(highest);
        }
        held[server].highest = token;
        let place = match (act, before) {
            (Act::Drain, Place::Serving) => {
                self.catalogue.set(now, server, State::Leaving);
                held[server].since = now;
                Place::Draining
            }
            (Act::Take, Place::Serving | Place::Draining) => {
                self.catalogue.set(now, server, State::Left);
                self.servers.stop(server);
                Place::Away
            }
            (Act::Return | Act::CallBack, Place::Draining) => {
                self.catalogue.set(
                    now,
                    server,
                    State::Active {
                        since: self.catalogue.since(now, server),
                    },
                );
                Place::Serving
            }
            (Act::Return, Place::Away) => {
                tokio::spawn(Arc::clone(self).bring_back(server, held[server].returns));
                Place::Returning
            }
            (_, before) => before,
        };
        held[server].place = place;
        Answer::Done(place)
    }

    async fn bring_back(self: Arc<Self>, server: usize, how: Returns) {
        match how {
            Returns::Well => self.start(server),
            Returns::Late(after) => {
                sleep(Duration::from_micros(after)).await;
                self.start(server);
            }
            Returns::Never => {}
            Returns::Twice => {
                self.start(server);
                sleep(RUNS_FIRST).await;
                // It may be in hand again.
                if self.place(server) == Place::Serving {
                    self.servers.stop(server);
                    self.start(server);
                }
            }
        }
    }

    fn start(&self, server: usize) {
        self.with(|held| {
            let now = self.clock.now();
            self.servers.start(server);
            self.catalogue
                .set(now, server, State::Active { since: Some(now) });
            held[server].place = Place::Serving;
        });
    }

    /// Unix time in milliseconds at which a listed process started, 0 for long ago: the same as in
    /// the list.
    pub fn started_ms(&self, server: usize, now: Us) -> u64 {
        started_ms(self.since(server, now), self.clock.began_ms())
    }

    /// When the process of a server that is listed started; none for long ago.
    pub fn since(&self, server: usize, now: Us) -> Option<Us> {
        self.catalogue.since(now, server)
    }

    /// All servers that are there or are to come back.
    pub fn servers(&self) -> Value {
        let now = self.clock.now();
        let gone: Vec<usize> = self.catalogue.with(|directory| {
            let there = directory.whole(directory.heard(now, 0));
            (0..self.plan.servers.len())
                .filter(|i| !there.iter().any(|(server, _)| server == i))
                .collect()
        });
        let entry = |(i, held): (usize, &Held)| {
            let spec = &self.plan.servers[i];
            // What runs at a draining server means nothing while some sidecar may not have heard of
            // it.
            let told = held.since.saturating_add(self.told_within) <= now;
            let runs = self
                .servers
                .with(|world, _, _| (world.is_up(i), world.job_count(i)));
            let in_flight = (held.place != Place::Draining || told).then_some(runs.1);
            // One that was never started, or left for good, is none of the platform's.
            let listed = held.place != Place::Serving || !gone.contains(&i);
            (listed || runs.0).then(|| {
                json!({"name": spec.name, "zone": ZONES[spec.zone], "group": format!("g{}", spec.group),
                    "weight": capacity(spec), "started_ms": self.started_ms(i, now), "state": held.place, "in_flight": in_flight})
            })
        };
        self.with(|held| held.iter().enumerate().filter_map(entry).collect())
    }
}
