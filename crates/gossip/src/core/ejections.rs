//! This member's ejections: which endpoints are ejected, and which it may try.

use super::{Core, DOUBTED, DOUBTED_LEAST};
use crate::connectivity::Trials;
use crate::effects::EjectionUpdate;
use crate::health_status::{EjectionStatus, HealthStatus, evaluate};
use crate::observation_table::{Observation, Process};
use crate::trial::{Slot, chosen, slot};
use crate::{Micros, SECOND};

/// Who makes the trial of a slot: the second one where nothing is heard of the first in half of it.
#[derive(Clone, Copy)]
struct TrialTurn {
    slot: Slot,
    members: [Option<u64>; 2],
}

impl TrialTurn {
    const NONE: Self = Self {
        slot: Slot { from: 0, length: 0 },
        members: [None; 2],
    };
}

/// An ejected endpoint.
pub(super) struct Ejection {
    pub(super) process: Process,
    pub(super) since: Micros,
    pub(super) status: EjectionStatus,
    pub(super) expires: Micros,
    turn: TrialTurn,
    /// Zones that have found it unhealthy.
    pub(super) zones: Vec<u64>,
}

impl Core {
    /// The health status of an endpoint process by all observations that count. `ejected_by` are
    /// the zones for which it is ejected now.
    pub(super) fn health_status(
        &self,
        now: Micros,
        process: Process,
        ejected_by: Option<&[u64]>,
    ) -> HealthStatus {
        let members = |zone: u64| self.in_zone.get(&zone).copied().unwrap_or(0);
        evaluate(
            self.table.of(process),
            now,
            self.zone,
            ejected_by,
            &self.policy,
            |observation| self.counts_observation(now, observation),
            members,
        )
    }

    /// Only observations of those who are members now count, for the zone that they are in, and
    /// neither of quarantined ones nor of those that find most endpoints unhealthy.
    fn counts_observation(&self, now: Micros, observation: &Observation) -> bool {
        if observation.origin == self.origin {
            return true;
        }
        let address = self.by_origin.get(&observation.origin);
        let reporter = address.and_then(|address| self.members.get(address));
        reporter.is_some_and(|reporter| reporter.zone == observation.zone)
            && !self.is_doubted(observation.origin)
            && !self.quarantined(now, observation.origin)
    }

    fn is_doubted(&self, origin: u64) -> bool {
        let unhealthy = self.table.unhealthy_by(origin);
        unhealthy >= DOUBTED_LEAST && unhealthy as f64 > DOUBTED * self.ready as f64
    }

    /// Looks at an endpoint anew, and ejects it or takes its ejection back.
    pub(super) fn reassess(&mut self, now: Micros, endpoint: usize) {
        let Some(process) = self.processes.get(&endpoint).copied() else {
            return;
        };
        let before = self.ejected.get(&endpoint);
        let before = before.filter(|ejection| ejection.process == process);
        let zones = before.map(|ejection| ejection.zones.as_slice());
        let health = self.health_status(now, process, zones);
        let most = (self.max_ejected * self.ready as f64) as usize;
        let has_room = before.is_some() || self.ejected.len() < most;
        if !health.unhealthy || health.until <= now || !has_room {
            if before.is_some() {
                self.take_back(now, endpoint, health.served);
            }
            return;
        }
        self.eject(now, endpoint, process, health);
    }

    fn take_back(&mut self, now: Micros, endpoint: usize, served: bool) {
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

    /// Ejects an endpoint, or keeps it ejected; the decision module is told where that changes
    /// anything for it.
    fn eject(&mut self, now: Micros, endpoint: usize, process: Process, health: HealthStatus) {
        let before = self.ejected.get(&endpoint);
        let before = before.filter(|ejection| ejection.process == process);
        let is_new = before.is_none();
        let since = before.map_or(now, |ejection| ejection.since);
        let slot = slot(now, since, &health, &self.policy);
        let turn = self.trial_turn(now, process, slot, before, &health);
        let trial_due =
            slot.is_some_and(|slot| self.is_trial_due(now, process, slot, &turn, &health));
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
            self.counts.rests += u64::from(is_new);
            self.counts.trials += u64::from(trial_due);
            self.effects.ejections.push(EjectionUpdate {
                endpoint,
                status,
                expires,
            });
            self.wake(now);
            let ejection = Ejection {
                process,
                since,
                status,
                expires,
                turn,
                zones: health.zones,
            };
            self.ejected.insert(endpoint, ejection);
        } else if let Some(ejection) = self.ejected.get_mut(&endpoint) {
            ejection.turn = turn;
        }
    }

    /// Whose turn a trial is: that of the slot, or of the slot before where none is due.
    fn trial_turn(
        &self,
        now: Micros,
        process: Process,
        slot: Option<Slot>,
        before: Option<&Ejection>,
        health: &HealthStatus,
    ) -> TrialTurn {
        let last = before.map_or(TrialTurn::NONE, |ejection| ejection.turn);
        let Some(slot) = slot else {
            return last;
        };
        if before.is_some() && last.slot == slot {
            return last;
        }
        let others = self.members.values().filter(|known| {
            health.zones.contains(&known.zone) && self.may_try(now, known.origin, known.zone)
        });
        let origins = others
            .map(|known| known.origin)
            .chain(std::iter::once(self.origin));
        TrialTurn {
            slot,
            members: chosen(process, slot, origins),
        }
    }

    /// Whether this member is to try an ejected endpoint now: it is its turn, and nobody has tried
    /// it in this slot.
    fn is_trial_due(
        &self,
        now: Micros,
        process: Process,
        slot: Slot,
        turn: &TrialTurn,
        health: &HealthStatus,
    ) -> bool {
        let is_late = now >= slot.from + slot.length / 2;
        let untried = health.newest.is_none_or(|(_, seen)| seen < slot.from);
        let is_turn_of_this = |place: usize| turn.members[place] == Some(self.origin);
        let own = self.own.get(&process).map_or(Micros::MIN, |own| own.at);
        self.connectivity().kind.permissions().trials != Trials::None
            && own < slot.from
            && untried
            && (is_turn_of_this(0) || (is_late && is_turn_of_this(1)))
    }

    /// Looks at all ejected endpoints, as their trials have their times; and, once a second, at all
    /// that anything was observed of.
    pub(super) fn reassess_all(&mut self, now: Micros) {
        let mut endpoints: Vec<usize> = self.ejected.keys().copied().collect();
        if now >= self.next_sweep {
            self.next_sweep = now + SECOND;
            self.table.drop_before(now - self.policy.max_staleness);
            let observed = self.table.processes();
            let listed = observed.filter_map(|process| self.listed.get(&process.name));
            endpoints.extend(listed.map(|listed| listed.endpoint));
            endpoints.sort_unstable();
            endpoints.dedup();
        }
        for endpoint in endpoints {
            self.reassess(now, endpoint);
        }
    }
}
