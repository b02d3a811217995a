//! What the stand-ins for servers do with their work: a core without sockets and clock, the same for real and for
//! simulated time. Changes with how a server behaves.
//!
//! Running requests share a server's cores, one each; the rest wait in turn. All running requests of a limited group
//! are slowed down together where their servers would do more than the group may (processor sharing).

use crate::Us;
use crate::draw::{Plan, ServerSpec};
use crate::site::{self, Repeat};
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

/// All servers of a play.
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
    /// As a play begins: the first servers are up and warm.
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
        let in_group = |g| (0..plan.servers.len()).filter(|i| plan.servers[*i].group == g).collect();
        let group = |g| Group { limit: plan.limits[g], members: in_group(g), at: 0, next: None };
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
        let held =
            |s: &Server| s.running.iter().any(|r| r.job.id == job) || s.waiting.iter().any(|w| w.id == job);
        self.servers.iter().any(held)
    }

    /// Part of its speed that a server has at an instant: from the cold share it grows evenly.
    pub fn warmth(&self, server: usize, now: Us) -> f64 {
        let Some(started) = self.servers[server].started else { return 1.0 };
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

    /// Something else than its work changes at a server. The world has been brought on to that instant.
    fn change(&mut self, server: usize, what: impl FnOnce(&mut Server)) {
        let group = self.specs[server].group;
        // Nothing is done before now: this only brings the work on.
        self.step(group, self.now, &mut Vec::new());
        what(&mut self.servers[server]);
        self.plan_ahead(group);
    }

    /// Speed of one core of a server, before what its group may do.
    fn speed(&self, i: usize, now: Us) -> f64 {
        let (spec, s) = (&self.specs[i], &self.servers[i]);
        let overdriven = if s.overdriven { spec.slowed } else { 1.0 };
        spec.speed * self.warmth(i, now) / (s.slow * overdriven)
    }

    /// How many times slower a group's requests run as the group is limited, 1 where it is not.
    fn throttle(&self, group: &Group) -> f64 {
        if group.limit >= 1.0 {
            return 1.0;
        }
        let (mut most, mut wanted) = (0.0, 0.0);
        for i in group.members.iter().copied().filter(|i| self.servers[*i].up) {
            most += f64::from(self.specs[i].cores) * self.specs[i].speed;
            wanted += self.servers[i].running.len() as f64 * self.speed(i, group.at);
        }
        if wanted > group.limit * most { group.limit * most / wanted } else { 1.0 }
    }

    /// When something is done next, if nothing else comes.
    pub fn next(&self) -> Option<Us> {
        self.next.first().map(|(at, _)| *at)
    }

    /// Reckons when something is done next in a group.
    fn plan_ahead(&mut self, number: usize) {
        let group = &self.groups[number];
        let (mut first, mut warming) = (f64::INFINITY, false);
        let throttle = self.throttle(group);
        for i in group.members.iter().copied().filter(|i| !self.servers[*i].running.is_empty()) {
            let speed = (self.speed(i, group.at) * throttle).max(1e-6);
            warming |= self.warmth(i, group.at) < 1.0;
            first = self.servers[i].running.iter().map(|r| r.left / speed).fold(first, f64::min);
        }
        let first = if warming { first.min(WARMING as f64) } else { first };
        let next = first.is_finite().then(|| group.at + (first.ceil() as Us).max(1));
        if let Some(old) = std::mem::replace(&mut self.groups[number].next, next) {
            self.next.remove(&(old, number));
        }
        self.next.extend(next.map(|next| (next, number)));
    }

    /// Goes on to `now` and appends what is done until then.
    pub fn advance(&mut self, now: Us, done: &mut Vec<Done>) {
        while let Some((next, group)) = self.next.first().copied().filter(|(next, _)| *next <= now) {
            self.now = self.now.max(next);
            self.step(group, next, done);
            self.plan_ahead(group);
        }
        self.now = self.now.max(now);
    }

    /// Brings a group on to an instant before which nothing is done there.
    fn step(&mut self, number: usize, to: Us, done: &mut Vec<Done>) {
        let throttle = self.throttle(&self.groups[number]);
        let from = self.groups[number].at;
        let passed = to.saturating_sub(from) as f64;
        for place in 0..self.groups[number].members.len() {
            let i = self.groups[number].members[place];
            let speed = self.speed(i, from) * throttle;
            let s = &mut self.servers[i];
            s.running.iter_mut().for_each(|r| r.left -= passed * speed);
            self.work_done += s.running.len() as f64 * passed * speed;
        }
        self.groups[number].at = to.max(from);
        for place in 0..self.groups[number].members.len() {
            self.settle(self.groups[number].members[place], done);
        }
    }

    /// Takes out what is done at a server, lets in what waits, and sees whether it is overdriven.
    fn settle(&mut self, i: usize, done: &mut Vec<Done>) {
        let spec = &self.specs[i];
        let (now, s) = (self.groups[spec.group].at, &mut self.servers[i]);
        let mut at = 0;
        while at < s.running.len() {
            if s.running[at].left > 0.5 {
                at += 1;
                continue;
            }
            let job = s.running.swap_remove(at).job;
            let served = s.fails <= 0.0 || self.rng.f64() >= s.fails;
            done.push(Done { server: i, job: job.id, served });
        }
        while s.running.len() < spec.cores as usize
            && let Some(job) = s.waiting.pop_front()
        {
            let known = s.remembered.get(&job.key).is_some_and(|at| now - at <= spec.memory);
            let handshake = if job.fresh { spec.handshake } else { 0.0 };
            let left = job.work * if known { 1.0 - spec.saves } else { 1.0 };
            self.work_saved += job.work - left;
            s.remembered.insert(job.key, now);
            s.by_age.push_back((now, job.key));
            s.running.push(Running { job, left: left + handshake });
        }
        // Forgets the key met longest ago.
        while s.remembered.len() > spec.keys
            && let Some((at, key)) = s.by_age.pop_front()
        {
            if s.remembered.get(&key) == Some(&at) {
                s.remembered.remove(&key);
            }
        }
        while s.ran_by_age.front().is_some_and(|(at, _)| now - at > site::KEY_TIME)
            && let Some((at, key)) = s.ran_by_age.pop_front()
        {
            if s.ran.get(&key) == Some(&at) {
                s.ran.remove(&key);
            }
        }
        let crowded = s.waiting.len() > CROWDED * spec.cores as usize;
        s.crowded_since = if crowded { s.crowded_since.or(Some(now)) } else { None };
        let idle = s.running.len() <= spec.cores as usize / 2 && s.waiting.is_empty();
        s.idle_since = if idle { s.idle_since.or(Some(now)) } else { None };
        s.overdriven |= s.crowded_since.is_some_and(|since| now - since >= spec.crowded_for);
        s.overdriven &= s.idle_since.is_none_or(|since| now - since < spec.idle_for);
    }

    /// The most that any server in use would save of a request's work by knowing its key.
    fn best(&self, job: &Job) -> f64 {
        let knows = |(spec, s): &(&ServerSpec, &Server)| {
            s.up && !s.silent && s.remembered.get(&job.key).is_some_and(|at| self.now - at <= spec.memory)
        };
        self.specs.iter().zip(&self.servers).filter(knows).map(|(spec, _)| spec.saves).fold(0.0, f64::max)
    }

    /// A request has come in whole at `now`; what is done until then is appended.
    pub fn submit(&mut self, now: Us, server: usize, job: Job, done: &mut Vec<Done>) -> Admission {
        self.advance(now, done);
        let (group, warmth) = (self.specs[server].group, self.warmth(server, self.now));
        self.step(group, self.now, done);
        let (spec, s) = (&self.specs[server], &mut self.servers[server]);
        if !s.up {
            return Admission::Refused;
        }
        if s.silent {
            return Admission::Swallowed;
        }
        if warmth < 1.0 {
            s.sent.push_back((self.now, job.work));
            s.sent_sum += job.work;
            while s.sent.front().is_some_and(|(at, _)| self.now - at > site::TIP_AFTER) {
                s.sent_sum -= s.sent.pop_front().map_or(0.0, |(_, work)| work);
            }
            let most = site::COLD_SLACK
                * site::OVERLOAD
                * f64::from(spec.cores)
                * spec.speed
                * warmth
                * site::TIP_AFTER as f64;
            if s.sent_sum > most && !s.fallen {
                // It stays down.
                s.fallen = true;
                self.fallen.push((self.now, server));
                self.stop(server);
                return Admission::Refused;
            }
        }
        if let Some(once) = job.once.filter(|_| site::CLASSES[job.class].repeat == Repeat::Keyed) {
            if s.ran.get(&once).is_some_and(|at| self.now - at <= site::KEY_TIME) {
                return Admission::Repeated;
            }
            if s.waiting.len() < spec.queue {
                s.ran.insert(once, self.now);
                s.ran_by_age.push_back((self.now, once));
            }
        }
        if s.waiting.len() >= spec.queue {
            return Admission::Refused;
        }
        s.waiting.push_back(job);
        self.work_savable += job.work * self.best(&job);
        self.settle(server, done);
        self.plan_ahead(group);
        Admission::Taken
    }

    /// A probe costs a little work, which the requests that run there pay.
    pub fn probe(&mut self, now: Us, server: usize, done: &mut Vec<Done>) {
        self.advance(now, done);
        let work = (site::PROBE_WORK.0 + site::PROBE_WORK.1) / 2.0;
        self.change(server, |s| s.running.iter_mut().take(1).for_each(|r| r.left += work));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;
    use crate::draw::draw;
    use crate::experiment::Experiment;

    fn world(limit: f64) -> World {
        let mut plan = draw(&Experiment::default(), 1);
        plan.limits.fill(limit);
        for spec in &mut plan.servers {
            (spec.speed, spec.cores, spec.queue, spec.saves) = (1.0, 2, 8, 0.5);
            (spec.memory, spec.keys, spec.slowed) = (2 * SECOND, 2, 3.0);
            (spec.crowded_for, spec.idle_for, spec.handshake) = (2 * SECOND, 3 * SECOND, 0.0);
        }
        World::new(&plan)
    }

    fn job(id: u64, work: f64) -> Job {
        Job { id, class: 0, work, key: 1000 + id, once: None, fresh: false }
    }

    /// When each request is done.
    fn finish(world: &mut World, until: Us) -> Vec<(u64, Us)> {
        let mut times = Vec::new();
        while let Some(next) = world.next().filter(|next| *next <= until) {
            let mut done = Vec::new();
            world.advance(next, &mut done);
            times.extend(done.iter().map(|d| (d.job, next)));
        }
        times
    }

    #[test]
    fn two_cores_serve_two_at_a_time_and_the_rest_wait_or_are_turned_away() {
        let mut world = world(1.0);
        let mut done = Vec::new();
        let admitted: Vec<_> = (0..12).map(|n| world.submit(0, 0, job(n, 100e3), &mut done)).collect();
        assert_eq!(admitted.iter().filter(|a| **a == Admission::Taken).count(), 10);
        assert_eq!(admitted[10..], [Admission::Refused; 2]);
        let times = finish(&mut world, SECOND);
        assert_eq!(
            times.iter().map(|(_, at)| *at).collect::<Vec<_>>(),
            [100_000, 100_000, 200_000, 200_000, 300_000, 300_000, 400_000, 400_000, 500_000, 500_000]
        );
    }

    #[test]
    fn a_limited_group_slows_down_together() {
        let mut world = world(0.5);
        let (mut done, members) = (Vec::new(), world.groups[0].members.clone());
        assert!(members.len() >= 2);
        for server in &members {
            for n in 0..2 {
                world.submit(0, *server, job(n, 100e3), &mut done);
            }
        }
        let times = finish(&mut world, SECOND);
        assert!(times.iter().all(|(_, at)| (199_000..=201_000).contains(at)), "{times:?}");
    }

    #[test]
    fn a_key_met_lately_saves_work_until_it_is_forgotten() {
        let mut world = world(1.0);
        let mut done = Vec::new();
        let keyed = |id, key| Job { key, ..job(id, 100e3) };
        let mut took = |at: Us, key| {
            done.clear();
            world.submit(at, 0, keyed(at, key), &mut done);
            finish(&mut world, at + SECOND).first().map(|(_, end)| end - at)
        };
        assert_eq!(took(0, 1), Some(100_000));
        assert_eq!(took(200_000, 1), Some(50_000));
        assert_eq!(took(3_000_000, 1), Some(100_000), "its memory is 2 s");
        for key in [2, 3] {
            took(3_200_000 + key * 200_000, key);
        }
        assert_eq!(took(4_200_000, 1), Some(100_000), "it remembers two keys");
    }

    #[test]
    fn a_repeat_of_an_entry_is_dropped_for_five_seconds_and_one_that_was_turned_away_is_not() {
        let mut world = world(1.0);
        let mut done = Vec::new();
        let entry = |id, once| Job { class: 2, once: Some(once), ..job(id, 10e3) };
        assert_eq!(world.submit(0, 0, entry(1, 7), &mut done), Admission::Taken);
        assert_eq!(world.submit(1_000_000, 0, entry(2, 7), &mut done), Admission::Repeated);
        assert_eq!(world.submit(5_000_001, 0, entry(3, 7), &mut done), Admission::Taken);
        for n in 10..19 {
            world.submit(6_000_000, 1, job(n, 100e3), &mut done);
        }
        world.submit(6_000_000, 1, job(19, 100e3), &mut done);
        assert_eq!(world.submit(6_000_000, 1, entry(20, 8), &mut done), Admission::Refused);
        assert_eq!(world.submit(7_000_000, 1, entry(21, 8), &mut done), Admission::Taken);
    }

    #[test]
    fn a_cold_server_that_is_sent_too_much_falls_over_and_stays_down() {
        let mut world = world(1.0);
        let mut done = Vec::new();
        world.stop(0);
        world.advance(SECOND, &mut done);
        world.start(0);
        // 40 in a second are 4 s of work; 2.5 times what two cores can do is 1.55 s at first and a little more later.
        let mut at = SECOND;
        while world.up(0) && at < 2 * SECOND {
            world.submit(at, 0, job(at, 100e3), &mut done);
            at += 25_000;
        }
        assert_eq!(world.fallen().len(), 1);
        assert!((1_400_000..1_500_000).contains(&world.fallen()[0].0), "{:?}", world.fallen());
        assert_eq!(world.submit(9 * SECOND, 0, job(1, 1.0), &mut done), Admission::Refused);
    }

    #[test]
    fn an_overdriven_server_turns_slower_until_it_has_been_idle() {
        let mut world = world(1.0);
        let mut done = Vec::new();
        for n in 0..200 {
            world.submit(n * 20_000, 0, job(n, 100e3), &mut done);
        }
        let last = finish(&mut world, 60 * SECOND).last().expect("it goes on").1;
        let mut took = |world: &mut World, at: Us| {
            world.submit(at, 0, job(at, 100e3), &mut done);
            finish(world, at + SECOND).first().map(|(_, end)| end - at)
        };
        assert_eq!(took(&mut world, last + 2 * SECOND), Some(300_000), "idle for too short a time");
        // One request at a time leaves it mostly idle.
        assert_eq!(took(&mut world, last + 4 * SECOND), Some(100_000));
    }

    #[test]
    fn a_silent_server_swallows_and_an_ended_one_holds_nothing() {
        let mut world = world(1.0);
        let mut done = Vec::new();
        world.submit(0, 0, job(1, 100e3), &mut done);
        world.silence(0, true);
        assert_eq!(world.submit(1, 0, job(2, 100e3), &mut done), Admission::Swallowed);
        world.submit(2, 1, job(3, 100e3), &mut done);
        world.stop(1);
        assert_eq!(finish(&mut world, SECOND), []);
        assert_eq!((world.held(0), world.held(1)), (0, 0));
    }
}
