//! The work of a server: queued, running and completed requests.

use super::{
    Admission, Done, Group, Job, OVERLOADED_QUEUE_PER_CORE, Running, Server, WARMUP_STEP_US, World,
};
use crate::Us;
use crate::plan::ServerSpec;
use crate::site::{self, Repeat};

impl World {
    /// Speed of one core of a server, before the limit of its group.
    pub(super) fn core_speed(&self, server: usize, now: Us) -> f64 {
        let (spec, state) = (&self.specs[server], &self.servers[server]);
        let degradation = if state.is_degraded { spec.slowed } else { 1.0 };
        spec.speed * self.warmth(server, now) / (state.slowdown * degradation)
    }

    /// The factor by which a group's limit slows its requests down, 1 without a limit.
    pub(super) fn throttle_factor(&self, group: &Group) -> f64 {
        if group.limit >= 1.0 {
            return 1.0;
        }
        let (mut capacity, mut demand) = (0.0, 0.0);
        for i in group
            .members
            .iter()
            .copied()
            .filter(|i| self.servers[*i].is_up)
        {
            capacity += f64::from(self.specs[i].cores) * self.specs[i].speed;
            demand += self.servers[i].running.len() as f64 * self.core_speed(i, group.advanced_to);
        }
        if demand > group.limit * capacity {
            group.limit * capacity / demand
        } else {
            1.0
        }
    }

    /// Time of the next completion, if nothing else happens.
    pub fn next(&self) -> Option<Us> {
        self.next.first().map(|(at, _)| *at)
    }

    /// Computes the time of the next completion in a group.
    pub(super) fn schedule_next(&mut self, group_index: usize) {
        let group = &self.groups[group_index];
        let (mut soonest, mut is_warming) = (f64::INFINITY, false);
        let throttle = self.throttle_factor(group);
        for i in group
            .members
            .iter()
            .copied()
            .filter(|i| !self.servers[*i].running.is_empty())
        {
            let speed = (self.core_speed(i, group.advanced_to) * throttle).max(1e-6);
            is_warming |= self.warmth(i, group.advanced_to) < 1.0;
            soonest = self.servers[i]
                .running
                .iter()
                .map(|r| r.remaining_work / speed)
                .fold(soonest, f64::min);
        }
        let first = if is_warming {
            soonest.min(WARMUP_STEP_US as f64)
        } else {
            soonest
        };
        let next = first
            .is_finite()
            .then(|| group.advanced_to + (first.ceil() as Us).max(1));
        if let Some(previous) = std::mem::replace(&mut self.groups[group_index].next, next) {
            self.next.remove(&(previous, group_index));
        }
        self.next.extend(next.map(|next| (next, group_index)));
    }

    /// Advances to `now` and appends the completed requests.
    pub fn advance(&mut self, now: Us, done: &mut Vec<Done>) {
        while let Some((next, group)) = self.next.first().copied().filter(|(next, _)| *next <= now)
        {
            self.now = self.now.max(next);
            self.advance_group(group, next, done);
            self.schedule_next(group);
        }
        self.now = self.now.max(now);
    }

    /// Advances a group to a time before which nothing is completed there.
    pub(super) fn advance_group(&mut self, group_index: usize, to: Us, done: &mut Vec<Done>) {
        let throttle = self.throttle_factor(&self.groups[group_index]);
        let from = self.groups[group_index].advanced_to;
        let elapsed = to.saturating_sub(from) as f64;
        for member in 0..self.groups[group_index].members.len() {
            let server = self.groups[group_index].members[member];
            let speed = self.core_speed(server, from) * throttle;
            let state = &mut self.servers[server];
            state
                .running
                .iter_mut()
                .for_each(|r| r.remaining_work -= elapsed * speed);
            self.work_done += state.running.len() as f64 * elapsed * speed;
        }
        self.groups[group_index].advanced_to = to.max(from);
        for place in 0..self.groups[group_index].members.len() {
            self.update_server(self.groups[group_index].members[place], done);
        }
    }

    /// Completes a server's finished requests, starts queued ones, and updates whether it is
    /// degraded.
    pub(super) fn update_server(&mut self, server: usize, done: &mut Vec<Done>) {
        let spec = &self.specs[server];
        let (now, state) = (
            self.groups[spec.group].advanced_to,
            &mut self.servers[server],
        );
        let mut index = 0;
        while index < state.running.len() {
            if state.running[index].remaining_work > 0.5 {
                index += 1;
                continue;
            }
            let job = state.running.swap_remove(index).job;
            let served = state.error_share <= 0.0 || self.rng.f64() >= state.error_share;
            done.push(Done {
                server,
                job: job.id,
                served,
            });
        }
        while state.running.len() < spec.cores as usize
            && let Some(job) = state.waiting.pop_front()
        {
            let is_cached = state
                .cached_keys
                .get(&job.key)
                .is_some_and(|at| now - at <= spec.memory);
            let handshake = if job.is_new_connection {
                spec.handshake
            } else {
                0.0
            };
            let work = job.work * if is_cached { 1.0 - spec.saves } else { 1.0 };
            self.work_saved += job.work - work;
            state.cached_keys.insert(job.key, now);
            state.cached_by_age.push_back((now, job.key));
            state.running.push(Running {
                job,
                remaining_work: work + handshake,
            });
        }
        // Evicts the least recently used key.
        while state.cached_keys.len() > spec.keys
            && let Some((at, key)) = state.cached_by_age.pop_front()
        {
            if state.cached_keys.get(&key) == Some(&at) {
                state.cached_keys.remove(&key);
            }
        }
        while state
            .executed_by_age
            .front()
            .is_some_and(|(at, _)| now - at > site::KEY_TIME)
            && let Some((at, key)) = state.executed_by_age.pop_front()
        {
            if state.executed_keys.get(&key) == Some(&at) {
                state.executed_keys.remove(&key);
            }
        }
        let is_overloaded = state.waiting.len() > OVERLOADED_QUEUE_PER_CORE * spec.cores as usize;
        state.overloaded_since = if is_overloaded {
            state.overloaded_since.or(Some(now))
        } else {
            None
        };
        let is_idle = state.running.len() <= spec.cores as usize / 2 && state.waiting.is_empty();
        state.idle_since = if is_idle {
            state.idle_since.or(Some(now))
        } else {
            None
        };
        state.is_degraded |= state
            .overloaded_since
            .is_some_and(|since| now - since >= spec.crowded_for);
        state.is_degraded &= state
            .idle_since
            .is_none_or(|since| now - since < spec.idle_for);
    }

    /// The largest saving of a request's work by any usable server that has its key cached.
    fn best_saving(&self, job: &Job) -> f64 {
        let has_cached = |(spec, s): &(&ServerSpec, &Server)| {
            s.is_up
                && !s.is_silent
                && s.cached_keys
                    .get(&job.key)
                    .is_some_and(|at| self.now - at <= spec.memory)
        };
        self.specs
            .iter()
            .zip(&self.servers)
            .filter(has_cached)
            .map(|(spec, _)| spec.saves)
            .fold(0.0, f64::max)
    }

    /// Submits a request that has arrived completely at `now`; appends requests completed until
    /// then.
    pub fn submit(&mut self, now: Us, server: usize, job: Job, done: &mut Vec<Done>) -> Admission {
        self.advance(now, done);
        let (group, warmth) = (self.specs[server].group, self.warmth(server, self.now));
        self.advance_group(group, self.now, done);
        let (spec, state) = (&self.specs[server], &mut self.servers[server]);
        if !state.is_up {
            return Admission::Rejected;
        }
        if state.is_silent {
            return Admission::Swallowed;
        }
        if warmth < 1.0 {
            state.cold_work.push_back((self.now, job.work));
            state.cold_work_sum += job.work;
            while state
                .cold_work
                .front()
                .is_some_and(|(at, _)| self.now - at > site::TIP_AFTER)
            {
                state.cold_work_sum -= state.cold_work.pop_front().map_or(0.0, |(_, work)| work);
            }
            let max_work = site::COLD_SLACK
                * site::OVERLOAD
                * f64::from(spec.cores)
                * spec.speed
                * warmth
                * site::TIP_AFTER as f64;
            if state.cold_work_sum > max_work && !state.has_collapsed {
                // It stays down.
                state.has_collapsed = true;
                self.collapsed.push((self.now, server));
                self.stop(server);
                return Admission::Rejected;
            }
        }
        if let Some(once) = job
            .idempotency_key
            .filter(|_| site::CLASSES[job.class].repeat == Repeat::Keyed)
        {
            if state
                .executed_keys
                .get(&once)
                .is_some_and(|at| self.now - at <= site::KEY_TIME)
            {
                return Admission::Deduplicated;
            }
            if state.waiting.len() < spec.queue {
                state.executed_keys.insert(once, self.now);
                state.executed_by_age.push_back((self.now, once));
            }
        }
        if state.waiting.len() >= spec.queue {
            return Admission::Rejected;
        }
        state.waiting.push_back(job);
        self.work_savable += job.work * self.best_saving(&job);
        self.update_server(server, done);
        self.schedule_next(group);
        Admission::Accepted
    }

    /// Submits a probe, whose small cost is added to a running request.
    pub fn probe(&mut self, now: Us, server: usize, done: &mut Vec<Done>) {
        self.advance(now, done);
        let (min_work, max_work) = site::PROBE_WORK_US.into_inner();
        let work = (min_work + max_work) / 2.0;
        self.change(server, |s| {
            s.running
                .iter_mut()
                .take(1)
                .for_each(|r| r.remaining_work += work)
        });
    }
}
