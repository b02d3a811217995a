//! The model of servers and their work, without sockets and clock, for real and simulated time.
//!
//! Running requests use one core of a server each; the rest are queued. If the servers of a limited
//! group would do more work than the group may, all running requests of the group are slowed down
//! together (processor sharing).

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
    /// Its number, returned when it is done.
    pub id: u64,
    /// Its class.
    pub class: usize,
    /// Its work, in microseconds on a core of speed 1.
    pub work: f64,
    /// The key that it is about.
    pub key: u64,
    /// Its idempotency key, if it has one.
    pub idempotency_key: Option<u64>,
    /// Whether it arrived on a new connection.
    pub is_new_connection: bool,
}

/// What a server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is executed or queued.
    Accepted,
    /// It was executed before and is answered without work.
    Deduplicated,
    /// It is rejected without being executed.
    Rejected,
    /// It will never be answered.
    Swallowed,
}

/// A completed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Done {
    /// The server.
    pub server: usize,
    /// The request's number.
    pub job: u64,
    /// Whether it was served rather than failed.
    pub served: bool,
}

#[derive(Debug)]
struct Running {
    job: Job,
    remaining_work: f64,
}

#[derive(Debug)]
struct Server {
    is_up: bool,
    is_silent: bool,
    slowdown: f64,
    error_share: f64,
    /// When the process started, if it may still be cold; none if it has been warm for long.
    started: Option<Us>,
    running: Vec<Running>,
    waiting: VecDeque<Job>,
    cached_keys: HashMap<u64, Us>,
    cached_by_age: VecDeque<(Us, u64)>,
    executed_keys: HashMap<u64, Us>,
    executed_by_age: VecDeque<(Us, u64)>,
    overloaded_since: Option<Us>,
    idle_since: Option<Us>,
    is_degraded: bool,
    /// Recent work sent to the cold server, within the period that decides whether it collapses.
    cold_work: VecDeque<(Us, f64)>,
    cold_work_sum: f64,
    has_collapsed: bool,
}

#[derive(Debug)]
struct Group {
    limit: f64,
    members: Vec<usize>,
    /// Time up to which its servers are simulated, and time of the next completion.
    advanced_to: Us,
    next: Option<Us>,
}

/// All servers of a run.
#[derive(Debug)]
pub struct World {
    specs: Vec<ServerSpec>,
    groups: Vec<Group>,
    servers: Vec<Server>,
    now: Us,
    /// Time of the next completion in each busy group.
    next: BTreeSet<(Us, usize)>,
    rng: fastrand::Rng,
    /// Work done so far, and work saved by cached keys.
    work_done: f64,
    work_saved: f64,
    /// Work that would have been saved if each request had gone to the best cache of its key.
    work_savable: f64,
    collapsed: Vec<(Us, usize)>,
}

/// Queued requests per core above which a server counts as overloaded.
const OVERLOADED_QUEUE_PER_CORE: usize = 3;
/// Interval at which a cold server's speed is updated, in microseconds.
const WARMUP_STEP_US: Us = 50_000;

impl World {
    /// The state at the start of a run: the initial servers are up and warm.
    pub fn new(plan: &Plan) -> Self {
        let groups = plan.limits.len();
        let server = |spec: &ServerSpec| Server {
            is_up: spec.first,
            is_silent: false,
            slowdown: 1.0,
            error_share: 0.0,
            started: None,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cached_keys: HashMap::new(),
            cached_by_age: VecDeque::new(),
            executed_keys: HashMap::new(),
            executed_by_age: VecDeque::new(),
            overloaded_since: None,
            idle_since: None,
            is_degraded: false,
            cold_work: VecDeque::new(),
            cold_work_sum: 0.0,
            has_collapsed: false,
        };
        let in_group = |g| {
            (0..plan.servers.len())
                .filter(|i| plan.servers[*i].group == g)
                .collect()
        };
        let group = |g| Group {
            limit: plan.limits[g],
            members: in_group(g),
            advanced_to: 0,
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
            collapsed: Vec::new(),
        }
    }

    /// Whether the server's process runs.
    pub fn is_up(&self, server: usize) -> bool {
        self.servers[server].is_up
    }

    /// Whether the server answers requests.
    pub fn is_responding(&self, server: usize) -> bool {
        self.servers[server].is_up && !self.servers[server].is_silent
    }

    /// Servers that collapsed while cold, with the time.
    pub fn collapsed(&self) -> &[(Us, usize)] {
        &self.collapsed
    }

    /// Work done and work saved by cached keys, in microseconds on a core of speed 1.
    pub fn work(&self) -> (f64, f64) {
        (self.work_done, self.work_saved)
    }

    /// Work that would have been saved if each request had gone to the best cache of its key.
    pub fn savable(&self) -> f64 {
        self.work_savable
    }

    /// Number of requests at a server.
    pub fn job_count(&self, server: usize) -> usize {
        self.servers[server].running.len() + self.servers[server].waiting.len()
    }

    /// Whether some server still has this request.
    pub fn contains_job(&self, job: u64) -> bool {
        let is_running = |s: &Server| s.running.iter().any(|r| r.job.id == job);
        self.servers
            .iter()
            .any(|s| is_running(s) || s.waiting.iter().any(|w| w.id == job))
    }

    /// The share of its speed that a server has at a time; grows linearly from the cold share.
    pub fn warmth(&self, server: usize, now: Us) -> f64 {
        let Some(started) = self.servers[server].started else {
            return 1.0;
        };
        let age = now.saturating_sub(started) as f64 / site::WARM_WITHIN as f64;
        (site::COLD_SHARE + (1.0 - site::COLD_SHARE) * age).min(1.0)
    }

    /// Starts the server's process, cold.
    pub fn start(&mut self, server: usize) {
        let now = self.now;
        self.change(server, |s| {
            (s.is_up, s.is_silent, s.is_degraded, s.started) = (true, false, false, Some(now));
            (s.overloaded_since, s.idle_since, s.cold_work_sum) = (None, None, 0.0);
            s.cold_work.clear();
            s.cached_keys.clear();
            s.cached_by_age.clear();
        });
    }

    /// Stops the server's process; its requests are lost.
    pub fn stop(&mut self, server: usize) {
        self.change(server, |s| {
            s.is_up = false;
            s.running.clear();
            s.waiting.clear();
        });
    }

    /// Makes the server accept requests and never answer them, including those it already has.
    pub fn set_silent(&mut self, server: usize, silent: bool) {
        self.change(server, |s| {
            s.is_silent = silent;
            if silent {
                s.running.clear();
                s.waiting.clear();
            }
        });
    }

    /// Makes the server slower by a factor.
    pub fn set_slowdown(&mut self, server: usize, factor: f64) {
        self.change(server, |s| s.slowdown = factor.max(0.01));
    }

    /// Makes the server answer a share of requests with an error.
    pub fn set_error_share(&mut self, server: usize, share: f64) {
        self.servers[server].error_share = share;
    }

    /// Changes a server's state other than by its work. The model must have advanced to this time.
    fn change(&mut self, server: usize, update: impl FnOnce(&mut Server)) {
        let group = self.specs[server].group;
        // Completes nothing: only advances the work.
        self.advance_group(group, self.now, &mut Vec::new());
        update(&mut self.servers[server]);
        self.schedule_next(group);
    }
}
