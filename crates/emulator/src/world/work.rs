//! The work of one server: what is queued, what runs, what is done.

use super::{Admission, CROWDED, Done, Group, Job, Running, Server, WARMING, World};
use crate::Us;
use crate::plan::ServerSpec;
use crate::site::{self, Repeat};

impl World {
    /// Speed of one core of a server, before what its group may do.
    pub(super) fn speed(&self, i: usize, now: Us) -> f64 {
        let (spec, s) = (&self.specs[i], &self.servers[i]);
        let overdriven = if s.overdriven { spec.slowed } else { 1.0 };
        spec.speed * self.warmth(i, now) / (s.slow * overdriven)
    }

    /// How many times slower a group's requests run as the group is limited, 1 where it is not.
    pub(super) fn throttle(&self, group: &Group) -> f64 {
        if group.limit >= 1.0 {
            return 1.0;
        }
        let (mut most, mut wanted) = (0.0, 0.0);
        for i in group
            .members
            .iter()
            .copied()
            .filter(|i| self.servers[*i].up)
        {
            most += f64::from(self.specs[i].cores) * self.specs[i].speed;
            wanted += self.servers[i].running.len() as f64 * self.speed(i, group.at);
        }
        if wanted > group.limit * most {
            group.limit * most / wanted
        } else {
            1.0
        }
    }

    /// When something is done next, if nothing else comes.
    pub fn next(&self) -> Option<Us> {
        self.next.first().map(|(at, _)| *at)
    }

    /// Reckons when something is done next in a group.
    pub(super) fn plan_ahead(&mut self, number: usize) {
        let group = &self.groups[number];
        let (mut first, mut warming) = (f64::INFINITY, false);
        let throttle = self.throttle(group);
        for i in group
            .members
            .iter()
            .copied()
            .filter(|i| !self.servers[*i].running.is_empty())
        {
            let speed = (self.speed(i, group.at) * throttle).max(1e-6);
            warming |= self.warmth(i, group.at) < 1.0;
            first = self.servers[i]
                .running
                .iter()
                .map(|r| r.left / speed)
                .fold(first, f64::min);
        }
        let first = if warming {
            first.min(WARMING as f64)
        } else {
            first
        };
        let next = first
            .is_finite()
            .then(|| group.at + (first.ceil() as Us).max(1));
        if let Some(old) = std::mem::replace(&mut self.groups[number].next, next) {
            self.next.remove(&(old, number));
        }
        self.next.extend(next.map(|next| (next, number)));
    }

    /// Goes on to `now` and appends what is done until then.
    pub fn advance(&mut self, now: Us, done: &mut Vec<Done>) {
        while let Some((next, group)) = self.next.first().copied().filter(|(next, _)| *next <= now)
        {
            self.now = self.now.max(next);
            self.step(group, next, done);
            self.plan_ahead(group);
        }
        self.now = self.now.max(now);
    }

    /// Brings a group on to an instant before which nothing is done there.
    pub(super) fn step(&mut self, number: usize, to: Us, done: &mut Vec<Done>) {
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
    pub(super) fn settle(&mut self, i: usize, done: &mut Vec<Done>) {
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
            done.push(Done {
                server: i,
                job: job.id,
                served,
            });
        }
        while s.running.len() < spec.cores as usize
            && let Some(job) = s.waiting.pop_front()
        {
            let known = s
                .remembered
                .get(&job.key)
                .is_some_and(|at| now - at <= spec.memory);
            let handshake = if job.fresh { spec.handshake } else { 0.0 };
            let left = job.work * if known { 1.0 - spec.saves } else { 1.0 };
            self.work_saved += job.work - left;
            s.remembered.insert(job.key, now);
            s.by_age.push_back((now, job.key));
            s.running.push(Running {
                job,
                left: left + handshake,
            });
        }
        // Forgets the key met longest ago.
        while s.remembered.len() > spec.keys
            && let Some((at, key)) = s.by_age.pop_front()
        {
            if s.remembered.get(&key) == Some(&at) {
                s.remembered.remove(&key);
            }
        }
        while s
            .ran_by_age
            .front()
            .is_some_and(|(at, _)| now - at > site::KEY_TIME)
            && let Some((at, key)) = s.ran_by_age.pop_front()
        {
            if s.ran.get(&key) == Some(&at) {
                s.ran.remove(&key);
            }
        }
        let crowded = s.waiting.len() > CROWDED * spec.cores as usize;
        s.crowded_since = if crowded {
            s.crowded_since.or(Some(now))
        } else {
            None
        };
        let idle = s.running.len() <= spec.cores as usize / 2 && s.waiting.is_empty();
        s.idle_since = if idle {
            s.idle_since.or(Some(now))
        } else {
            None
        };
        s.overdriven |= s
            .crowded_since
            .is_some_and(|since| now - since >= spec.crowded_for);
        s.overdriven &= s.idle_since.is_none_or(|since| now - since < spec.idle_for);
    }

    /// The most that any server in use would save of a request's work by knowing its key.
    fn best(&self, job: &Job) -> f64 {
        let knows = |(spec, s): &(&ServerSpec, &Server)| {
            s.up && !s.silent
                && s.remembered
                    .get(&job.key)
                    .is_some_and(|at| self.now - at <= spec.memory)
        };
        self.specs
            .iter()
            .zip(&self.servers)
            .filter(knows)
            .map(|(spec, _)| spec.saves)
            .fold(0.0, f64::max)
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
            while s
                .sent
                .front()
                .is_some_and(|(at, _)| self.now - at > site::TIP_AFTER)
            {
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
        if let Some(once) = job
            .once
            .filter(|_| site::CLASSES[job.class].repeat == Repeat::Keyed)
        {
            if s.ran
                .get(&once)
                .is_some_and(|at| self.now - at <= site::KEY_TIME)
            {
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
        let (least, most) = site::PROBE_WORK_US.into_inner();
        let work = (least + most) / 2.0;
        self.change(server, |s| {
            s.running.iter_mut().take(1).for_each(|r| r.left += work)
        });
    }
}
