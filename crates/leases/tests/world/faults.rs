//! Faults: stops, kills, releases, leader changes.

use super::{LEASE_MS, STEP_MS, World, holders};
use load_balancer_leases::HolderMonitor;

impl World {
    pub(super) fn trouble(&mut self) {
        let who = self.rng.usize(0..self.processes.len());
        let until = self.now + self.rng.u64(1..=3 * LEASE_MS);
        let tasks = self.tasks();
        self.seen.faults += 1;
        match self.rng.u8(0..6) {
            0 => self.processes[who].stopped_until = until,
            1 => self.kill(who, until),
            2 | 3 if self.runs(who) => {
                let heir = format!("p{}", self.rng.usize(0..self.processes.len()));
                let (now, n) = (self.clock(who), self.rng.usize(0..tasks));
                let heir = self.rng.bool().then_some(heir);
                self.processes[who].holders[n].release(now, heir.as_deref(), true);
            }
            4 => {
                // Another leads, with another clock.
                self.holder_monitor = HolderMonitor::default();
                self.leader_rate = 0.995 + 0.01 * self.rng.f64();
                self.no_leader_until = self.now + self.rng.u64(1..=LEASE_MS / 4);
            }
            _ => {
                self.no_leader_until = self.no_leader_until.max(until);
                self.holder_monitor = HolderMonitor::default();
            }
        }
    }

    fn kill(&mut self, who: usize, until: u64) {
        let tasks = self.tasks();
        let p = &mut self.processes[who];
        p.incarnation += 1;
        (p.dead_until, p.stopped_until) = (until, 0);
        p.holders = holders(&p.name, p.incarnation, tasks);
    }

    /// Kills who holds the task, if anybody does; the time until somebody may act on it, in
    /// milliseconds.
    ///
    /// # Errors
    /// A rule is broken.
    pub fn take_over(&mut self, task: usize) -> Result<Option<u64>, String> {
        let Some(holder) = self.holders_of(task).first().copied() else {
            return Ok(None);
        };
        let from = self.now;
        self.kill(holder, from + 2 * LEASE_MS);
        while self.holders_of(task).is_empty() && self.now < from + 10 * LEASE_MS {
            self.play(STEP_MS, 0)?;
        }
        Ok(Some(self.now - from))
    }
}
