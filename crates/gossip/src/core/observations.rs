//! This member's own health observations, and those it receives.

use super::{Core, DOUBTED, DOUBTED_LEAST};
use crate::effects::{EjectionUpdate, Listed};
use crate::frame::Dropped;
use crate::health_status::EjectionStatus;
use crate::observation_table::{Merged, Observation, ObservedHealth, Process};
use crate::{Micros, hash};

/// Observations that a member gives on its own, a second and at once.
const OWN_RATE: f64 = 20.0;
pub(super) const OWN_BURST: f64 = 40.0;
/// Data of one sign from one zone from which on a further one is not forwarded: a health status
/// needs no more.
const ENOUGH: usize = 4;
/// Endpoints that are followed at most.
pub(super) const MAX_ENDPOINTS: usize = 4096;

/// What this member saw last of an endpoint process, and what it said of it last.
pub(super) struct OwnObservation {
    pub(super) health: ObservedHealth,
    pub(super) at: Micros,
    pub(super) said: Option<(ObservedHealth, Micros)>,
    /// When it last served this member.
    pub(super) served: Option<Micros>,
}

impl Core {
    /// The own list as it is now: other members' observations counts only for what it names.
    pub fn listed(&mut self, now: Micros, list: Vec<Listed>) {
        self.listed.clear();
        self.processes.clear();
        self.ready = list.iter().filter(|l| l.ready).count();
        for entry in list.into_iter().take(MAX_ENDPOINTS) {
            let name = hash(&entry.name);
            self.processes.insert(
                entry.endpoint,
                Process {
                    name,
                    started: entry.started.unwrap_or(0),
                },
            );
            self.listed.insert(name, entry);
        }
        let processes = &self.processes;
        self.own
            .retain(|process, _| processes.values().any(|p| p == process));
        let gone: Vec<usize> = self
            .ejected
            .iter()
            .filter(|(endpoint, r)| self.processes.get(endpoint) != Some(&r.process))
            .map(|(endpoint, _)| *endpoint)
            .collect();
        for endpoint in gone {
            self.ejected.remove(&endpoint);
            self.effects.ejections.push(EjectionUpdate {
                endpoint,
                status: EjectionStatus::NotEjected,
                expires: now,
            });
        }
    }

    /// This member was served by an endpoint, or was not.
    pub fn observe(&mut self, now: Micros, endpoint: usize, health: ObservedHealth) {
        let Some(process) = self
            .processes
            .get(&endpoint)
            .copied()
            .filter(|_| self.observations_shared)
        else {
            return;
        };
        if now < self.overslept_until {
            return;
        }
        let own = self.own.entry(process).or_insert(OwnObservation {
            health,
            at: now,
            said: None,
            served: None,
        });
        (own.health, own.at) = (health, now);
        if health == ObservedHealth::Healthy {
            own.served = Some(now);
        }
        let said = own
            .said
            .is_some_and(|(what, at)| what == health && now - at < self.policy.ejection_time);
        let ejected = self.ejected.contains_key(&endpoint);
        let fresh = |d: &&Observation| now - d.seen < self.policy.max_staleness;
        let zone = self.zone;
        let alike = |health: ObservedHealth| {
            let here = self.table.of(process).filter(|(of, _)| *of == zone);
            here.flat_map(|(_, data)| data)
                .filter(fresh)
                .filter(|d| d.health == health)
                .count()
        };
        let worth_saying = match health {
            ObservedHealth::Unhealthy => ejected || alike(ObservedHealth::Unhealthy) <= ENOUGH,
            // Nobody doubts it where nobody found it unhealthy, and two who were served since are
            // enough.
            ObservedHealth::Healthy => {
                let here = || {
                    let here = self
                        .table
                        .of(process)
                        .filter(|(of, _)| *of == zone || ejected);
                    here.flat_map(|(_, data)| data).filter(fresh)
                };
                let unhealthy = here()
                    .filter(|d| d.health == ObservedHealth::Unhealthy)
                    .map(|d| d.seen)
                    .max();
                unhealthy.is_some_and(|unhealthy| {
                    here()
                        .filter(|d| d.health == ObservedHealth::Healthy && d.seen > unhealthy)
                        .count()
                        < 2
                })
            }
        };
        if said
            || !worth_saying
            || !self.may_publish()
            || (health == ObservedHealth::Unhealthy && self.doubts_itself(now))
            || !self.tokens.take(now, OWN_RATE, OWN_BURST)
        {
            return self.reassess(now, endpoint);
        }
        if let Some(own) = self.own.get_mut(&process) {
            own.said = Some((health, now));
        }
        self.sequence += 1;
        self.counts.said += 1;
        let observation = Observation {
            origin: self.origin,
            incarnation: self.me.incarnation,
            sequence: self.sequence,
            zone: self.zone,
            seen: now,
            process,
            health,
        };
        self.table.merge(observation);
        self.disseminate(now, observation);
        self.reassess(now, endpoint);
    }

    /// It finds most of what it has tried of late sick: likely the fault lies with itself.
    pub(super) fn doubts_itself(&self, now: Micros) -> bool {
        let fresh = || {
            self.own
                .values()
                .filter(|own| now - own.at < self.policy.max_staleness)
        };
        let unhealthy = fresh()
            .filter(|own| own.health == ObservedHealth::Unhealthy)
            .count();
        unhealthy >= DOUBTED_LEAST && unhealthy as f64 > DOUBTED * fresh().count() as f64
    }

    pub(super) fn receive(&mut self, now: Micros, observation: Observation) {
        if observation.origin == self.origin {
            // What an earlier incarnation saw is as good as another's.
            if observation.incarnation >= self.me.incarnation
                && observation.sequence > self.sequence
            {
                self.drop_one(Dropped::Forged);
            }
            return;
        }
        if observation.seen > now + self.skew {
            return self.drop_one(Dropped::Clock);
        }
        if now - observation.seen >= self.policy.max_staleness {
            return self.drop_one(Dropped::Stale);
        }
        let Some((endpoint, started)) = self
            .listed
            .get(&observation.process.name)
            .map(|l| (l.endpoint, l.started.unwrap_or(0)))
        else {
            return self.drop_one(Dropped::Unlisted);
        };
        if observation.process.started < started {
            return self.drop_one(Dropped::Unlisted);
        }
        match self.table.merge(observation) {
            Merged::New { alike } => {
                self.counts.heard += 1;
                if alike < ENOUGH {
                    self.disseminate(now, observation);
                }
                self.reassess(now, endpoint);
            }
            Merged::Known => {}
            Merged::Full => self.drop_one(Dropped::Full),
        }
    }
}
