//! The model of servers and their work, without sockets and clock, for real and for simulated time.
//!
//! Running requests share a server's cores, one each; the rest wait in turn. All running requests
//! of a limited group are slowed down together where their servers would do more than the group may
//! (processor sharing).

#[cfg(test)]
mod tests;
mod work;

use crate::Us;
use crate::plan::{Plan, ServerSpec};
use crate::site;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// A request at a server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Given back when it is done.
    pub id: u64,
    /// Its class.
    pub class: usize,
    /// Its work in microseconds on a core of speed 1.
    pub work: f64,
    /// What it concerns.
    pub key: u64,
    /// Its idempotency key, where it has one.
    pub once: Option<u64>,
    /// It came over a new connection.
    pub fresh: bool,
}

/// What becomes of a request that has come in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs or waits.
    Taken,
    /// It has run before and is answered without work.
    Repeated,
    /// Turned away unseen.
    Refused,
    /// Nothing will ever come of it.
    Swallowed,
}

/// A request that is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Done {
    /// The server.
    pub server: usize,
    /// The request.
    pub job: u64,
    /// It was served, rather than failed.
    pub served: bool,
}

#[derive(Debug)]
struct Running {
    job: Job,
    left: f64,
}

#[derive(Debug)]
struct Server {
    up: bool,
    silent: bool,
    slow: f64,
    fails: f64,
    /// Since when it is cold; none once it counts as warm from long ago.
    started: Option<Us>,
    running: Vec<Running>,
    waiting: VecDeque<Job>,
    remembered: HashMap<u64, Us>,
    by_age: VecDeque<(Us, u64)>,
    ran: HashMap<u64, Us>,
    ran_by_age: VecDeque<(Us, u64)>,
    crowded_since: Option<Us>,
    idle_since: Option<Us>,
    overdriven: bool,
    /// Work sent while cold, within the time after which it falls over.
    sent: VecDeque<(Us, f64)>,
    sent_sum: f64,
    fallen: bool,
}

#[derive(Debug)]
struct Group {
    limit: f64,
    members: Vec<usize>,
    /// How far its servers have come, and when something is done there next.
    at: Us,
    next: Option<Us>,
}

/// All servers of a run.
#[derive(Debug)]
pub struct World {
    specs: Vec<ServerSpec>,
    groups: Vec<Group>,
    servers: Vec<Server>,
    now: Us,
    /// When something is done next in each busy group: only who has something to do costs time.
    next: BTreeSet<(Us, usize)>,
    rng: fastrand::Rng,
    /// Work done so far, and work that warm keys saved.
    work_done: f64,
    work_saved: f64,
    /// What would have been saved had each request gone where its key was known best.
    work_savable: f64,
    fallen: Vec<(Us, usize)>,
}

/// Requests that wait for each core from which a server counts as crowded.
const CROWDED: usize = 3;
/// A cold server's speed is brought up to date this often.
const WARMING: Us = 50_000;

impl World {
    /// As a run begins: the first servers are up and warm.
    pub fn new(plan: &Plan) -> Self {
        let groups = plan.limits.len();
        let server = |spec: &ServerSpec| Server {
            up: spec.first,
            silent: false,
            slow: 1.0,
            fails: 0.0,
            started: None,
            running: Vec::new(),
            waiting: VecDeque::new(),
            remembered: HashMap::new(),
            by_age: VecDeque::new(),
            ran: HashMap::new(),
            ran_by_age: VecDeque::new(),
            crowded_since: None,
            idle_since: None,
            overdriven: false,
            sent: VecDeque::new(),
            sent_sum: 0.0,
            fallen: false,
        };
        let in_group = |g| {
            (0..plan.servers.len())
                .filter(|i| plan.servers[*i].group == g)
                .collect()
        };
        let group = |g| Group {
            limit: plan.limits[g],
            members: in_group(g),
            at: 0,
            next: None,
        };
        Self {
            specs: plan.servers.clone(),
            groups: (0..groups).map(group).collect(),
            servers: plan.servers.iter().map(server).collect(),
            now: 0,
            next: BTreeSet::new(),
            rng: fastrand::Rng::with_seed(plan.seed),
            work_done: 0.0,
            work_saved: 0.0,
            work_savable: 0.0,
            fallen: Vec::new(),
        }
    }

    /// Whether its process runs.
    pub fn up(&self, server: usize) -> bool {
        self.servers[server].up
    }

    /// Whether it answers what it is sent.
    pub fn answers(&self, server: usize) -> bool {
        self.servers[server].up && !self.servers[server].silent
    }

    /// Servers that were pushed over while cold, and when.
    pub fn fallen(&self) -> &[(Us, usize)] {
        &self.fallen
    }

    /// Work done, and work that warm keys have saved, in microseconds on a core of speed 1.
    pub fn work(&self) -> (f64, f64) {
        (self.work_done, self.work_saved)
    }

    /// Work that would have been saved had each request gone where its key was known best.
    pub fn savable(&self) -> f64 {
        self.work_savable
    }

    /// Requests that a server holds.
    pub fn held(&self, server: usize) -> usize {
        self.servers[server].running.len() + self.servers[server].waiting.len()
    }

    /// Whether some server still holds this request.
    pub fn holds(&self, job: u64) -> bool {
        let runs = |s: &Server| s.running.iter().any(|r| r.job.id == job);
        self.servers
            .iter()
            .any(|s| runs(s) || s.waiting.iter().any(|w| w.id == job))
    }

    /// Part of its speed that a server has at an instant: from the cold share it grows evenly.
    pub fn warmth(&self, server: usize, now: Us) -> f64 {
        let Some(started) = self.servers[server].started else {
            return 1.0;
        };
        let age = now.saturating_sub(started) as f64 / site::WARM_WITHIN as f64;
        (site::COLD_SHARE + (1.0 - site::COLD_SHARE) * age).min(1.0)
    }

    /// Its process starts, cold.
    pub fn start(&mut self, server: usize) {
        let now = self.now;
        self.change(server, |s| {
            (s.up, s.silent, s.overdriven, s.started) = (true, false, false, Some(now));
            (s.crowded_since, s.idle_since, s.sent_sum) = (None, None, 0.0);
            s.sent.clear();
            s.remembered.clear();
            s.by_age.clear();
        });
    }

    /// Its process ends, with all that it held.
    pub fn stop(&mut self, server: usize) {
        self.change(server, |s| {
            s.up = false;
            s.running.clear();
            s.waiting.clear();
        });
    }

    /// It takes requests and answers none; what it holds when that begins is never answered either.
    pub fn silence(&mut self, server: usize, on: bool) {
        self.change(server, |s| {
            s.silent = on;
            if on {
                s.running.clear();
                s.waiting.clear();
            }
        });
    }

    /// It is so many times slower.
    pub fn slow_down(&mut self, server: usize, times: f64) {
        self.change(server, |s| s.slow = times.max(0.01));
    }

    /// It answers so many with an error.
    pub fn fail(&mut self, server: usize, share: f64) {
        self.servers[server].fails = share;
    }

    /// Something else than its work changes at a server. The world has been brought on to that
    /// instant.
    fn change(&mut self, server: usize, what: impl FnOnce(&mut Server)) {
        let group = self.specs[server].group;
        // Nothing is done before now: this only brings the work on.
        self.step(group, self.now, &mut Vec::new());
        what(&mut self.servers[server]);
        self.plan_ahead(group);
    }
}
