//! Ejections of endpoints by this member, and the trial requests assigned to it.

use super::{Core, MAX_UNHEALTHY_FRACTION, MIN_UNHEALTHY_TO_DOUBT};
use crate::connectivity::Trials;
use crate::effects::EjectionUpdate;
use crate::health_status::{EjectionStatus, HealthStatus, evaluate};
use crate::observation_table::{Observation, Process};
use crate::trial::{Slot, choose_members, slot};
use crate::{Micros, SECOND};

/// The members assigned to the trial of a slot; the second takes over in the second half.
#[derive(Clone, Copy)]
struct TrialAssignment {
    slot: Slot,
    members: [Option<u64>; 2],
}

impl TrialAssignment {
    const NONE: Self = Self {
        slot: Slot {
            start: 0,
            length: 0,
        },
        members: [None; 2],
    };
}

/// An ejected endpoint.
pub(super) struct Ejection {
    pub(super) process: Process,
    pub(super) since: Micros,
    pub(super) status: EjectionStatus,
    pub(super) expires: Micros,
    assignment: TrialAssignment,
    /// Zones that found it unhealthy.
    pub(super) zones: Vec<u64>,
}

impl Core {
    /// Returns the health status of an endpoint process by all observations that count.
    /// `ejected_by` are the zones for which it is ejected now.
    pub(super) fn health_status(
        &self,
        now: Micros,
        process: Process,
        ejected_by: Option<&[u64]>,
    ) -> HealthStatus {
        let members = |zone: u64| self.members_per_zone.get(&zone).copied().unwrap_or(0);
        evaluate(
            self.table.observations_of(process),
            now,
            self.zone,
            ejected_by,
            &self.policy,
            |observation| self.is_counted(now, observation),
            members,
        )
    }

    /// Returns whether an observation counts: its origin is a member of that zone, is not
    /// quarantined, and does not find most endpoints unhealthy.
    fn is_counted(&self, now: Micros, observation: &Observation) -> bool {
        if observation.origin == self.origin {
            return true;
        }
        let address = self.addresses_by_origin.get(&observation.origin);
        let reporter = address.and_then(|address| self.members.get(address));
        reporter.is_some_and(|reporter| reporter.zone == observation.zone)
            && !self.is_unreliable_reporter(observation.origin)
            && !self.is_quarantined(now, observation.origin)
    }

    fn is_unreliable_reporter(&self, origin: u64) -> bool {
        let unhealthy = self.table.unhealthy_count(origin);
        unhealthy >= MIN_UNHEALTHY_TO_DOUBT
            && unhealthy as f64 > MAX_UNHEALTHY_FRACTION * self.ready as f64
    }

    /// Reassesses an endpoint, and ejects it or withdraws its ejection.
    pub(super) fn reassess(&mut self, now: Micros, endpoint: usize) {
        let Some(process) = self.processes.get(&endpoint).copied() else {
            return;
        };
        let previous = self.ejected.get(&endpoint);
        let before = previous.filter(|ejection| ejection.process == process);
        let zones = before.map(|ejection| ejection.zones.as_slice());
        let health = self.health_status(now, process, zones);
        let max_ejected = (self.max_ejected * self.ready as f64) as usize;
        let has_capacity = before.is_some() || self.ejected.len() < max_ejected;
        if !health.unhealthy || health.until <= now || !has_capacity {
            if before.is_some() {
                self.withdraw_ejection(now, endpoint, health.served);
            }
            return;
        }
        self.eject(now, endpoint, process, health);
    }

    fn withdraw_ejection(&mut self, now: Micros, endpoint: usize, served: bool) {
        self.ejected.remove(&endpoint);
        self.effects.ejections.push(EjectionUpdate {
            endpoint,
            status: if served {
                EjectionStatus::Recovered
            } else {
                EjectionStatus::NotEjected
            },
            expires: now + self.policy.ejection_time,
        });
    }

    /// Ejects an endpoint or extends its ejection; reports it to the decision module only if it
    /// changes anything there.
    fn eject(&mut self, now: Micros, endpoint: usize, process: Process, health: HealthStatus) {
        let previous = self.ejected.get(&endpoint);
        let before = previous.filter(|ejection| ejection.process == process);
        let is_new = before.is_none();
        let since = before.map_or(now, |ejection| ejection.since);
        let slot = slot(now, since, &health, &self.policy);
        let assignment = self.trial_assignment(now, process, slot, before, &health);
        let trial_due =
            slot.is_some_and(|slot| self.is_trial_due(now, process, slot, &assignment, &health));
        let status = if trial_due {
            EjectionStatus::TrialDue
        } else {
            EjectionStatus::Ejected
        };
        let expires = health.until;
        let changed = before.is_none_or(|ejection| {
            ejection.status != status || expires - ejection.expires >= self.policy.ejection_time
        });
        if changed {
            self.counts.ejections += u64::from(is_new);
            self.counts.trials += u64::from(trial_due);
            self.effects.ejections.push(EjectionUpdate {
                endpoint,
                status,
                expires,
            });
            self.schedule_active_tick(now);
            let ejection = Ejection {
                process,
                since,
                status,
                expires,
                assignment,
                zones: health.zones,
            };
            self.ejected.insert(endpoint, ejection);
        } else if let Some(ejection) = self.ejected.get_mut(&endpoint) {
            ejection.assignment = assignment;
        }
    }

    /// Returns the assignment of the slot, or the previous one if no trial is due.
    fn trial_assignment(
        &self,
        now: Micros,
        process: Process,
        slot: Option<Slot>,
        previous: Option<&Ejection>,
        health: &HealthStatus,
    ) -> TrialAssignment {
        let previous_assignment =
            previous.map_or(TrialAssignment::NONE, |ejection| ejection.assignment);
        let Some(slot) = slot else {
            return previous_assignment;
        };
        if previous.is_some() && previous_assignment.slot == slot {
            return previous_assignment;
        }
        let others = self.members.values().filter(|known| {
            health.zones.contains(&known.zone)
                && self.may_make_trials(now, known.origin, known.zone)
        });
        let origins = others
            .map(|known| known.origin)
            .chain(std::iter::once(self.origin));
        TrialAssignment {
            slot,
            members: choose_members(process, slot, origins),
        }
    }

    /// Returns whether this member is assigned the trial and no member has made it in this slot.
    fn is_trial_due(
        &self,
        now: Micros,
        process: Process,
        slot: Slot,
        assignment: &TrialAssignment,
        health: &HealthStatus,
    ) -> bool {
        let is_second_half = now >= slot.start + slot.length / 2;
        let untried = health.newest.is_none_or(|(_, seen)| seen < slot.start);
        let is_assigned = |position: usize| assignment.members[position] == Some(self.origin);
        let last_own_observation = self
            .own_observations
            .get(&process)
            .map_or(Micros::MIN, |own| own.observed_at);
        self.connectivity().state.permissions().trials != Trials::None
            && last_own_observation < slot.start
            && untried
            && (is_assigned(0) || (is_second_half && is_assigned(1)))
    }

    /// Reassesses all ejected endpoints, because their trials become due; and once per second all
    /// endpoints with observations.
    pub(super) fn reassess_all(&mut self, now: Micros) {
        let mut endpoints: Vec<usize> = self.ejected.keys().copied().collect();
        if now >= self.next_sweep {
            self.next_sweep = now + SECOND;
            self.table.drop_before(now - self.policy.max_staleness);
            let observed = self.table.processes();
            let listed = observed.filter_map(|process| self.endpoints_by_name.get(&process.name));
            endpoints.extend(listed.map(|listed| listed.endpoint));
            endpoints.sort_unstable();
            endpoints.dedup();
        }
        for endpoint in endpoints {
            self.reassess(now, endpoint);
        }
    }
}
