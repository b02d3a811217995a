//! Faults: suspended and killed processes, releases, leader changes, lost majorities.

use super::{LEASE_MS, STEP_MS, World, holders};
use load_balancer_leases::HolderMonitor;

impl World {
    pub(super) fn inject_fault(&mut self) {
        let process = self.rng.usize(0..self.processes.len());
        let until = self.now + self.rng.u64(1..=3 * LEASE_MS);
        let tasks = self.tasks();
        self.counts.faults += 1;
        match self.rng.u8(0..6) {
            0 => self.processes[process].stopped_until = until,
            1 => self.kill(process, until),
            2 | 3 if self.is_running(process) => {
                let successor = format!("p{}", self.rng.usize(0..self.processes.len()));
                let (now, n) = (self.clock(process), self.rng.usize(0..tasks));
                let successor = self.rng.bool().then_some(successor);
                self.processes[process].holders[n].release(now, successor.as_deref(), true);
            }
            4 => {
                // Another coordinator, with another clock rate, becomes the leader.
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

    fn kill(&mut self, process: usize, until: u64) {
        let tasks = self.tasks();
        let p = &mut self.processes[process];
        p.incarnation += 1;
        (p.dead_until, p.stopped_until) = (until, 0);
        p.holders = holders(&p.name, p.incarnation, tasks);
    }

    /// Kills the holder of the task, if there is one; returns the time until another process may
    /// act on it, in milliseconds.
    ///
    /// # Errors
    /// A rule is violated.
    pub fn kill_holder(&mut self, task: usize) -> Result<Option<u64>, String> {
        let Some(holder) = self.holders_of(task).first().copied() else {
            return Ok(None);
        };
        let killed_at = self.now;
        self.kill(holder, killed_at + 2 * LEASE_MS);
        while self.holders_of(task).is_empty() && self.now < killed_at + 10 * LEASE_MS {
            self.run(STEP_MS, 0)?;
        }
        Ok(Some(self.now - killed_at))
    }
}
