//! The network of simulated time, and the members' datagrams on it.

use super::event::What;
use super::instance::address;
use super::{EPOCH, Sim};
use crate::Us;
use crate::datagrams::HELD_UP;
use crate::experiment::Way;
use load_balancer::{EjectionStatus, EjectionUpdate, Event, Micros};
use load_balancer_gossip::core::Core;
use load_balancer_gossip::health_status;
use std::net::SocketAddr;

impl Sim<'_> {
    pub(super) fn passes(&self, from: usize, to: usize) -> bool {
        !self.cuts.iter().any(|(zone, way)| {
            let (out, into) = (*zone == from && *zone != to, *zone == to && *zone != from);
            (out && *way != Way::In) || (into && *way != Way::Out)
        })
    }

    pub(super) fn delay(&mut self, from: usize, to: usize) -> Us {
        let network = &self.experiment.network;
        let us =
            |time: load_balancer_common::units::Time| Us::try_from(time.0.as_micros()).unwrap_or(0);
        let base = us(if from == to {
            network.inside
        } else {
            network.between
        });
        base + self.rng.u64(0..=us(network.jitter)) + self.slow
    }

    /// Whether what it concerns takes it in now: neither dead nor stopped.
    pub(super) fn instance_runs(&self, what: &What) -> bool {
        let What::Mail { instance, .. } = what else {
            return false;
        };
        let i = &self.instances[*instance];
        i.dead || i.frozen.is_none()
    }

    /// Does something with an instance's member, and tells its module of the words that come of it.
    pub(super) fn member(&mut self, instance: usize, what: impl FnOnce(&mut Core, Micros)) {
        let words = self.with_member(instance, what);
        if !words.is_empty() {
            self.tell(instance, Event::Ejections(words));
        }
    }

    pub(super) fn with_member(
        &mut self,
        instance: usize,
        what: impl FnOnce(&mut Core, Micros),
    ) -> Vec<EjectionUpdate> {
        let sidecar = self.instances[instance].sidecar;
        let offset = Micros::from(self.plan.sidecars[sidecar].clock_offset_ms) * 1000;
        let now = EPOCH + self.now as Micros + offset;
        let Some(core) = self.instances[instance].member.as_deref_mut() else {
            return Vec::new();
        };
        what(core, now);
        let effects = core.take_effects();
        for (to, bytes) in effects.datagrams {
            self.post(sidecar, to, bytes);
        }
        let update = |update: load_balancer_gossip::core::EjectionUpdate| EjectionUpdate {
            endpoint: update.endpoint,
            status: match update.status {
                health_status::EjectionStatus::NotEjected => EjectionStatus::NotEjected,
                health_status::EjectionStatus::Ejected => EjectionStatus::Ejected,
                health_status::EjectionStatus::TrialDue => EjectionStatus::TrialDue,
                health_status::EjectionStatus::Recovered => EjectionStatus::Recovered,
            },
            expires: update.expires - offset,
        };
        effects.ejections.into_iter().map(update).collect()
    }

    pub(super) fn post(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.mailed_bytes += bytes.len() as u64;
        let Some(to) = self.by_address.get(&to).copied() else {
            return;
        };
        let (from_zone, to_zone) = (self.plan.sidecars[from].zone, self.plan.sidecars[to].zone);
        let Some(instance) = self.current[to] else {
            return;
        };
        if !self.passes(from_zone, to_zone) || self.rng.f64() < self.faults.lost {
            return;
        }
        let copies = if self.rng.f64() < self.faults.repeated {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let held_up = self.rng.f64() < self.faults.held_up;
            let held_up = if held_up {
                (self.rng.f64() * HELD_UP.as_micros() as f64) as Us
            } else {
                0
            };
            let at = self.now + self.delay(from_zone, to_zone) + held_up;
            self.mailed += 1;
            self.mail
                .insert(self.mailed, (address(from), bytes.clone()));
            self.at(
                at,
                What::Mail {
                    instance,
                    number: self.mailed,
                },
            );
        }
    }
}
