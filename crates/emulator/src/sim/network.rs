//! The network in simulated time, and the members' datagrams.

use super::event::SimEvent;
use super::instance::address;
use super::{START_US, Simulation};
use crate::Us;
use crate::datagrams::MAX_EXTRA_DELAY;
use crate::experiment::Way;
use load_balancer::{EjectionStatus, EjectionUpdate, Event, Micros};
use load_balancer_gossip::core::Core;
use load_balancer_gossip::health_status;
use std::net::SocketAddr;

impl Simulation<'_> {
    pub(super) fn is_reachable(&self, from: usize, to: usize) -> bool {
        !self.partitions.iter().any(|(zone, way)| {
            let (out, into) = (*zone == from && *zone != to, *zone == to && *zone != from);
            (out && *way != Way::In) || (into && *way != Way::Out)
        })
    }

    pub(super) fn delay(&mut self, from: usize, to: usize) -> Us {
        let network = &self.experiment.network;
        let micros =
            |time: load_balancer_common::units::Time| Us::try_from(time.0.as_micros()).unwrap_or(0);
        let base = micros(if from == to {
            network.inside
        } else {
            network.between
        });
        base + self.rng.u64(0..=micros(network.jitter)) + self.extra_delay
    }

    /// Whether a datagram is delivered now, rather than deferred for a suspended process.
    pub(super) fn is_delivered_now(&self, event: &SimEvent) -> bool {
        let SimEvent::Datagram { instance, .. } = event else {
            return false;
        };
        let i = &self.instances[*instance];
        i.dead || i.deferred.is_none()
    }

    /// Runs an operation on an instance's gossip member, and passes resulting ejections to its
    /// module.
    pub(super) fn update_member(
        &mut self,
        instance: usize,
        operation: impl FnOnce(&mut Core, Micros),
    ) {
        let ejections = self.with_member(instance, operation);
        if !ejections.is_empty() {
            self.notify(instance, Event::Ejections(ejections));
        }
    }

    pub(super) fn with_member(
        &mut self,
        instance: usize,
        operation: impl FnOnce(&mut Core, Micros),
    ) -> Vec<EjectionUpdate> {
        let sidecar = self.instances[instance].sidecar;
        let offset = Micros::from(self.plan.sidecars[sidecar].clock_offset_ms) * 1000;
        let now = START_US + self.now as Micros + offset;
        let Some(core) = self.instances[instance].member.as_deref_mut() else {
            return Vec::new();
        };
        operation(core, now);
        let effects = core.take_effects();
        for (to, bytes) in effects.datagrams {
            self.send_datagram(sidecar, to, bytes);
        }
        let to_balancer_update =
            |update: load_balancer_gossip::core::EjectionUpdate| EjectionUpdate {
                endpoint: update.endpoint,
                status: match update.status {
                    health_status::EjectionStatus::NotEjected => EjectionStatus::NotEjected,
                    health_status::EjectionStatus::Ejected => EjectionStatus::Ejected,
                    health_status::EjectionStatus::TrialDue => EjectionStatus::TrialDue,
                    health_status::EjectionStatus::Recovered => EjectionStatus::Recovered,
                },
                expires: update.expires - offset,
            };
        effects
            .ejections
            .into_iter()
            .map(to_balancer_update)
            .collect()
    }

    pub(super) fn send_datagram(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.datagram_bytes += bytes.len() as u64;
        let Some(to) = self.by_address.get(&to).copied() else {
            return;
        };
        let (from_zone, to_zone) = (self.plan.sidecars[from].zone, self.plan.sidecars[to].zone);
        let Some(instance) = self.current[to] else {
            return;
        };
        if !self.is_reachable(from_zone, to_zone)
            || self.rng.f64() < self.datagram_faults.lost_share
        {
            return;
        }
        let copies = if self.rng.f64() < self.datagram_faults.duplicated_share {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let is_held_up = self.rng.f64() < self.datagram_faults.delayed_share;
            let delay = if is_held_up {
                (self.rng.f64() * MAX_EXTRA_DELAY.as_micros() as f64) as Us
            } else {
                0
            };
            let at = self.now + self.delay(from_zone, to_zone) + delay;
            self.datagrams_sent += 1;
            self.datagrams
                .insert(self.datagrams_sent, (address(from), bytes.clone()));
            self.schedule(
                at,
                SimEvent::Datagram {
                    instance,
                    number: self.datagrams_sent,
                },
            );
        }
    }
}
