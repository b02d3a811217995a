//! The events and faults of a history.

use super::{PROCESSES, World, process};
use crate::Micros;

/// Microseconds in a second.
const SECOND: Micros = 1_000_000;

impl World {
    /// May inject a fault at this time.
    pub(super) fn inject_fault(&mut self) {
        let members = self.nodes.len();
        let i = self.rng.usize(..members);
        match self.rng.u16(..400) {
            0 | 1 => self.partition(i),
            2..=5 => self.heal_partitions(),
            6 => self.crash(i),
            7 | 8 => self.set_stopped(i, true),
            9..=12 => (0..members).for_each(|i| self.set_stopped(i, false)),
            13..=15 if self.queried_member.is_none() && !self.nodes[i].stopped => {
                self.queried_member = Some(i);
                let now = self.clock(i);
                self.nodes[i]
                    .affinity
                    .begin_drain(now, process(0), 0)
                    .expect("there is room");
                self.record.draining.push(process(0));
            }
            16 => {
                // Another process starts to drain and is cancelled.
                let (now, other) = (self.clock(i), process(1 + self.rng.u64(..PROCESSES - 1)));
                if !self.nodes[i].stopped
                    && self.nodes[i].affinity.begin_drain(now, other, 0).is_ok()
                {
                    self.record.draining.push(other);
                    let _ = self.nodes[i].affinity.cancel_drain(now, other, 1);
                }
            }
            _ => {}
        }
    }

    /// Partitions one or two members from the others, in both directions or one.
    fn partition(&mut self, i: usize) {
        let (companion, one_way) = (self.rng.usize(..self.nodes.len()), self.rng.bool());
        let is_on_side = |n: usize| n == i || n == companion;
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                self.is_blocked[a][b] |=
                    is_on_side(a) && !is_on_side(b) || !one_way && is_on_side(b) && !is_on_side(a);
                self.connected_since[a][b] = self.now;
            }
        }
    }

    fn heal_partitions(&mut self) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if self.is_blocked[a][b] {
                    self.connected_since[a][b] = self.now;
                }
                self.is_blocked[a][b] = false;
            }
        }
    }

    /// Crashes and restarts a member, which then knows nothing; at any time most members know the
    /// drains.
    fn crash(&mut self, i: usize) {
        let untrusted = (0..self.nodes.len())
            .filter(|j| *j != i && !self.nodes[*j].affinity.contact_lease.is_trusted());
        if untrusted.count() < (self.nodes.len() - 1) / 2 {
            let offset = self.nodes[i].offset;
            self.nodes[i] = self.start_member(i, offset, false);
            // The coordinator repeats its request, as the member lost what it knew.
            if self.queried_member == Some(i) {
                let now = self.clock(i);
                self.nodes[i]
                    .affinity
                    .begin_drain(now, process(0), 0)
                    .expect("there is room");
            }
        }
    }

    /// Suspends a member, or resumes it.
    fn set_stopped(&mut self, i: usize, stopped: bool) {
        if self.nodes[i].stopped != stopped {
            (self.nodes[i].stopped, self.nodes[i].undisturbed_since) = (stopped, self.now);
        }
    }

    /// Ends uses and faults, then publishing; delivers what is in transit, and compares the
    /// members.
    pub(super) fn settle(&mut self) {
        let dissemination_time = self.times.dissemination_time * self.times.slot;
        let (ticks_until, end) = (
            self.now + SECOND,
            self.now + 2 * SECOND + dissemination_time,
        );
        while self.now < end && self.record.violation.is_none() {
            self.now += crate::exchange::TICK_US;
            self.deliver_due();
            for i in 0..self.nodes.len() {
                match self.now < ticks_until {
                    true => self.tick(i),
                    false => self.send_periodic_message(i),
                }
            }
        }
        self.compare_members();
    }

    fn send_periodic_message(&mut self, i: usize) {
        let now = self.clock(i);
        let message = self.nodes[i].affinity.periodic_message(now);
        (0..self.nodes.len())
            .filter(|to| *to != i)
            .for_each(|to| self.send(i, to, &message, 1));
    }

    fn deliver_due(&mut self) {
        while self.network.peek().is_some_and(|d| d.0.0 <= self.now)
            && let Some(datagram) = self.network.pop()
        {
            let (_, _, from, to, bytes) = datagram.0;
            self.deliver_datagram(from, to, &bytes);
        }
    }
}
