//! The events and faults of a history.

use super::{PROCESSES, World, process};
use crate::Micros;

/// Time without faults before the end of a history.
const SECOND: Micros = 1_000_000;

impl World {
    /// Something may befall somebody at this instant.
    pub(super) fn befall(&mut self) {
        let members = self.nodes.len();
        let i = self.rng.usize(..members);
        match self.rng.u16(..400) {
            0 | 1 => self.part(i),
            2..=5 => self.heal(),
            6 => self.crash(i),
            7 | 8 => self.stop(i, true),
            9..=12 => (0..members).for_each(|i| self.stop(i, false)),
            13..=15 if self.asked.is_none() && !self.nodes[i].stopped => {
                self.asked = Some(i);
                let now = self.now(i);
                self.nodes[i]
                    .affinity
                    .begin_drain(now, process(0), 0)
                    .expect("there is room");
                self.truth.left.push(process(0));
            }
            16 => {
                // Another process leaves and stays after all.
                let (now, other) = (self.now(i), process(1 + self.rng.u64(..PROCESSES - 1)));
                if !self.nodes[i].stopped
                    && self.nodes[i].affinity.begin_drain(now, other, 0).is_ok()
                {
                    self.truth.left.push(other);
                    let _ = self.nodes[i].affinity.cancel_drain(now, other, 1);
                }
            }
            _ => {}
        }
    }

    /// A cut: some are parted from the others, both ways or one way.
    fn part(&mut self, i: usize) {
        let (with, one_way) = (self.rng.usize(..self.nodes.len()), self.rng.bool());
        let side = |n: usize| n == i || n == with;
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                self.cut[a][b] |= side(a) && !side(b) || !one_way && side(b) && !side(a);
                self.joined[a][b] = self.t;
            }
        }
    }

    fn heal(&mut self) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if self.cut[a][b] {
                    self.joined[a][b] = self.t;
                }
                self.cut[a][b] = false;
            }
        }
    }

    /// A member dies and starts again, knowing nothing: of most members at a time one that knows
    /// who left is up.
    fn crash(&mut self, i: usize) {
        let fresh = (0..self.nodes.len())
            .filter(|j| *j != i && !self.nodes[*j].affinity.contact_lease.sound());
        if fresh.count() < (self.nodes.len() - 1) / 2 {
            let offset = self.nodes[i].offset;
            self.nodes[i] = self.boot(i, offset, false);
            // Who asked it asks anew: what a member that died knew is gone with it.
            if self.asked == Some(i) {
                let now = self.now(i);
                self.nodes[i]
                    .affinity
                    .begin_drain(now, process(0), 0)
                    .expect("there is room");
            }
        }
    }

    /// SIGSTOP, or SIGCONT.
    fn stop(&mut self, i: usize, on: bool) {
        if self.nodes[i].stopped != on {
            (self.nodes[i].stopped, self.nodes[i].steady) = (on, self.t);
        }
    }

    /// No more uses and faults, then nothing more is told: what is on its way arrives, and members
    /// are compared.
    pub(super) fn settle(&mut self) {
        let dissemination_time = self.times.dissemination_time * self.times.slot;
        let (quiet, end) = (self.t + SECOND, self.t + 2 * SECOND + dissemination_time);
        while self.t < end && self.truth.breach.is_none() {
            self.t += crate::exchange::TICK;
            self.deliver();
            for i in 0..self.nodes.len() {
                match self.t < quiet {
                    true => self.tick(i),
                    false => self.pulse(i),
                }
            }
        }
        self.compare();
    }

    fn pulse(&mut self, i: usize) {
        let now = self.now(i);
        let pulse = self.nodes[i].affinity.periodic_message(now);
        (0..self.nodes.len())
            .filter(|to| *to != i)
            .for_each(|to| self.send(i, to, &pulse, 1));
    }

    fn deliver(&mut self) {
        while self.net.peek().is_some_and(|d| d.0.0 <= self.t)
            && let Some(datagram) = self.net.pop()
        {
            let (_, _, from, to, bytes) = datagram.0;
            self.arrive(from, to, &bytes);
        }
    }
}
