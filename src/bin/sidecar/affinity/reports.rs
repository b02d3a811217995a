//! The data of the pages on affinity, and the coordinators' requests.

use super::AffinityHost;
use load_balancer::Micros;
use load_balancer_affinity::Process;
use load_balancer_affinity::drain_phase::{DrainError, Phase};
use load_balancer_affinity::entry::AffinityEntry;
use load_balancer_affinity::report::{AffinitySummary, DrainStatus};
use load_balancer_gossip::connectivity::AffinityEntries as Permission;

/// A process that drains or has returned, as the page shows it.
pub struct Draining {
    /// Its name, if it is listed.
    pub name: Option<String>,
    /// The process.
    pub process: Process,
    /// The epoch of its drain.
    pub epoch: u64,
    /// Whether it drains.
    pub leaves: bool,
    /// Number of members that reported to be drained of affinity to it.
    pub reported: usize,
}

impl AffinityHost {
    /// Starts a process's drain in that epoch; returns how far it is drained of affinity.
    pub fn begin_drain(&self, process: Process, epoch: u64) -> Result<DrainStatus, DrainError> {
        let (now, mono) = self.now();
        let mut core = self.0.core.borrow_mut();
        core.begin_drain(now, process, epoch)?;
        Ok(core.drain_status(now, mono, process, epoch, &self.0.running_members.borrow()))
    }

    /// Cancels a process's drain in that epoch, or records its return.
    pub fn cancel_drain(&self, process: Process, epoch: u64) -> Result<(), DrainError> {
        let (now, _) = self.now();
        self.0.core.borrow_mut().cancel_drain(now, process, epoch)
    }

    /// The summary, the use of entries that the connectivity permits, and the current slot.
    pub fn summary(&self) -> (AffinitySummary, Permission, i64) {
        let (now, mono) = self.now();
        let core = self.0.core.borrow();
        (
            core.summary(mono),
            self.0.permission.get(),
            core.slot_at(now),
        )
    }

    /// Processes that drain or have returned.
    pub fn draining(&self) -> Vec<Draining> {
        let (core, list) = (self.0.core.borrow(), self.0.list.borrow());
        let draining = |(process, phase, reported): (Process, Phase, usize)| Draining {
            name: list.names.get(&process).cloned(),
            process,
            epoch: phase.epoch,
            leaves: phase.draining,
            reported,
        };
        core.phases().map(draining).collect()
    }

    /// Affinity entries, at most that many: key, the endpoint's name if it is listed, process,
    /// entry.
    pub fn dump(&self, most: usize) -> Vec<(u64, Option<String>, Process, AffinityEntry)> {
        let (core, list) = (self.0.core.borrow(), self.0.list.borrow());
        let named =
            |(key, process, entry)| (key, list.names.get(&process).cloned(), process, entry);
        core.dump().take(most).map(named).collect()
    }

    /// Picks by affinity entries since the start, of listed processes: how many, and how long ago
    /// the last one was.
    pub fn picks(&self) -> Vec<(String, Process, u64, Micros)> {
        let ((_, mono), list) = (self.now(), self.0.list.borrow());
        let named = |(process, (count, last)): (&Process, &(u64, Micros))| {
            Some((
                list.names.get(process)?.clone(),
                *process,
                *count,
                mono - last,
            ))
        };
        self.0.picks.borrow().iter().filter_map(named).collect()
    }
}
