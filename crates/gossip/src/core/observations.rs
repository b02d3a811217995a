//! Health observations made by this member and received from others.

use super::{Core, MAX_UNHEALTHY_FRACTION, MIN_UNHEALTHY_TO_DOUBT};
use crate::effects::{EjectionUpdate, ObservedEndpoint};
use crate::frame::DropReason;
use crate::health_status::EjectionStatus;
use crate::observation_table::{MergeResult, Observation, ObservedHealth, Process};
use crate::{Micros, hash};

/// Observations that this member publishes per second and per burst.
const PUBLISH_RATE: f64 = 20.0;
pub(super) const PUBLISH_BURST: f64 = 40.0;
/// Number of equal observations from one zone above which a further one is not forwarded: the
/// health status does not need more.
const SUFFICIENT_REPORTS: usize = 4;
/// Maximum number of endpoints tracked.
pub(super) const MAX_ENDPOINTS: usize = 4096;

/// The last observation of an endpoint process by this member, and the last one it published.
pub(super) struct OwnObservation {
    pub(super) health: ObservedHealth,
    pub(super) observed_at: Micros,
    pub(super) published: Option<(ObservedHealth, Micros)>,
    /// When the endpoint last served this member.
    pub(super) last_served: Option<Micros>,
}

impl Core {
    /// Replaces the endpoint list: observations count only for the endpoints on it.
    pub fn set_endpoints(&mut self, now: Micros, list: Vec<ObservedEndpoint>) {
        self.endpoints_by_name.clear();
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
            self.endpoints_by_name.insert(name, entry);
        }
        let processes = &self.processes;
        self.own_observations
            .retain(|process, _| processes.values().any(|p| p == process));
        let removed: Vec<usize> = self
            .ejected
            .iter()
            .filter(|(endpoint, r)| self.processes.get(endpoint) != Some(&r.process))
            .map(|(endpoint, _)| *endpoint)
            .collect();
        for endpoint in removed {
            self.ejected.remove(&endpoint);
            self.effects.ejections.push(EjectionUpdate {
                endpoint,
                status: EjectionStatus::NotEjected,
                expires: now,
            });
        }
    }

    /// Records whether an endpoint served this member.
    pub fn observe(&mut self, now: Micros, endpoint: usize, health: ObservedHealth) {
        let Some(process) = self
            .processes
            .get(&endpoint)
            .copied()
            .filter(|_| self.observations_shared)
        else {
            return;
        };
        if now < self.ignore_observations_until {
            return;
        }
        let observation = self
            .own_observations
            .entry(process)
            .or_insert(OwnObservation {
                health,
                observed_at: now,
                published: None,
                last_served: None,
            });
        (observation.health, observation.observed_at) = (health, now);
        if health == ObservedHealth::Healthy {
            observation.last_served = Some(now);
        }
        let already_published = observation.published.is_some_and(|(published, at)| {
            published == health && now - at < self.policy.ejection_time
        });
        let ejected = self.ejected.contains_key(&endpoint);
        let fresh = |d: &&Observation| now - d.seen < self.policy.max_staleness;
        let zone = self.zone;
        let reports_with = |health: ObservedHealth| {
            let in_own_zone = self
                .table
                .observations_of(process)
                .filter(|(of, _)| *of == zone);
            in_own_zone
                .flat_map(|(_, data)| data)
                .filter(fresh)
                .filter(|d| d.health == health)
                .count()
        };
        let is_informative = match health {
            ObservedHealth::Unhealthy => {
                ejected || reports_with(ObservedHealth::Unhealthy) <= SUFFICIENT_REPORTS
            }
            // If no member found the endpoint unhealthy, or two were served since, a further
            // success adds nothing.
            ObservedHealth::Healthy => {
                let relevant = || {
                    let in_zone = self
                        .table
                        .observations_of(process)
                        .filter(|(of, _)| *of == zone || ejected);
                    in_zone.flat_map(|(_, data)| data).filter(fresh)
                };
                let unhealthy = relevant()
                    .filter(|d| d.health == ObservedHealth::Unhealthy)
                    .map(|d| d.seen)
                    .max();
                unhealthy.is_some_and(|unhealthy| {
                    relevant()
                        .filter(|d| d.health == ObservedHealth::Healthy && d.seen > unhealthy)
                        .count()
                        < 2
                })
            }
        };
        if already_published
            || !is_informative
            || !self.may_publish_observations()
            || (health == ObservedHealth::Unhealthy && self.is_self_doubting(now))
            || !self.publish_tokens.take(now, PUBLISH_RATE, PUBLISH_BURST)
        {
            return self.reassess(now, endpoint);
        }
        if let Some(own) = self.own_observations.get_mut(&process) {
            own.published = Some((health, now));
        }
        self.sequence += 1;
        self.counts.published += 1;
        let observation = Observation {
            origin: self.origin,
            incarnation: self.identity.incarnation,
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

    /// Returns whether this member finds most endpoints that it used recently unhealthy: the fault
    /// is likely its own.
    pub(super) fn is_self_doubting(&self, now: Micros) -> bool {
        let fresh = || {
            self.own_observations
                .values()
                .filter(|own| now - own.observed_at < self.policy.max_staleness)
        };
        let unhealthy = fresh()
            .filter(|own| own.health == ObservedHealth::Unhealthy)
            .count();
        unhealthy >= MIN_UNHEALTHY_TO_DOUBT
            && unhealthy as f64 > MAX_UNHEALTHY_FRACTION * fresh().count() as f64
    }

    pub(super) fn handle_observation(&mut self, now: Micros, observation: Observation) {
        if observation.origin == self.origin {
            // Observations of an earlier incarnation are treated like those of other members.
            if observation.incarnation >= self.identity.incarnation
                && observation.sequence > self.sequence
            {
                self.record_drop(DropReason::Forged);
            }
            return;
        }
        if observation.seen > now + self.skew {
            return self.record_drop(DropReason::Clock);
        }
        if now - observation.seen >= self.policy.max_staleness {
            return self.record_drop(DropReason::Stale);
        }
        let Some((endpoint, started)) = self
            .endpoints_by_name
            .get(&observation.process.name)
            .map(|l| (l.endpoint, l.started.unwrap_or(0)))
        else {
            return self.record_drop(DropReason::Unlisted);
        };
        if observation.process.started < started {
            return self.record_drop(DropReason::Unlisted);
        }
        match self.table.merge(observation) {
            MergeResult::Added {
                newer_with_same_health: alike,
            } => {
                self.counts.observations_received += 1;
                if alike < SUFFICIENT_REPORTS {
                    self.disseminate(now, observation);
                }
                self.reassess(now, endpoint);
            }
            MergeResult::Unchanged => {}
            MergeResult::Full => self.record_drop(DropReason::Full),
        }
    }
}
