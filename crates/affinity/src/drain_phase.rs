//! Endpoint processes that drain or have come back, and who is drained of affinity to them.
//!
//! Each process has an epoch, 0 at first. `begin_drain` ends its epoch for good; where its leave is
//! called off, the next one opens. Affinity entries belong to the epoch in which they were made and
//! end with it.

use crate::Micros;
use crate::entry::Process;
use crate::mix;
use crate::time::{Slot, Times};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Processes of which phases are known at the most: all of them, and what else must be, fits into
/// each periodic message.
pub const MAX_PHASES: usize = 12;
/// Members whose reports are kept for each of them: all of the largest fleet.
const MAX_REPORTS: usize = 10_240;

/// How far a process has come: the greater phase holds, fields compared in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Phase {
    /// Its epoch.
    pub epoch: u64,
    /// That epoch has ended.
    pub leaves: bool,
    /// The slot in which it began; of two that were told the earlier one.
    pub since: Reverse<Slot>,
}

/// Why no phase was begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochRefused {
    /// Too many processes leave at a time.
    TooMany,
    /// That epoch is over.
    Past,
}

#[derive(Clone, Debug)]
struct State {
    phase: Phase,
    reported: BTreeSet<u64>,
    complete: Option<Micros>,
}

/// The phases that are known.
#[derive(Clone, Debug, Default)]
pub struct Phases {
    known: BTreeMap<Process, State>,
    /// Some phase was told that finds no room: what else left is not known here.
    overflowed: bool,
}

impl Phases {
    /// Begins a phase, or learns of it.
    ///
    /// # Errors
    /// Why not.
    pub fn merge(&mut self, process: Process, phase: Phase) -> Result<(), EpochRefused> {
        if let Some(state) = self.known.get_mut(&process) {
            if (phase.epoch, phase.leaves) < (state.phase.epoch, state.phase.leaves) {
                return Err(EpochRefused::Past);
            }
            if (phase.epoch, phase.leaves) > (state.phase.epoch, state.phase.leaves) {
                (state.reported, state.complete) = (BTreeSet::new(), None);
            }
            state.phase = state.phase.max(phase);
            return Ok(());
        }
        if self.known.len() >= MAX_PHASES {
            self.overflowed = true;
            return Err(EpochRefused::TooMany);
        }
        self.known.insert(
            process,
            State {
                phase,
                reported: BTreeSet::new(),
                complete: None,
            },
        );
        Ok(())
    }

    /// Whether all that was told is known.
    pub fn whole(&self) -> bool {
        !self.overflowed
    }

    /// The epoch in which that process is bound now.
    pub fn epoch(&self, process: Process) -> u64 {
        self.known.get(&process).map_or(0, |s| s.phase.epoch)
    }

    /// Whether an entry of that epoch has ended.
    pub fn ended(&self, process: Process, epoch: u64) -> bool {
        self.known
            .get(&process)
            .is_some_and(|s| epoch < s.phase.epoch || epoch == s.phase.epoch && s.phase.leaves)
    }

    /// From that slot on a key bound at that process in that epoch binds elsewhere; none where the
    /// process stays. Keys are parted evenly over the time, the same at every member: few move at a
    /// time. Those of epochs before, too, as an epoch may be skipped.
    pub fn moves(&self, key: u64, process: Process, epoch: u64, times: &Times) -> Option<Slot> {
        let phase = self.known.get(&process)?.phase;
        if epoch > phase.epoch || epoch == phase.epoch && !phase.leaves {
            return None;
        }
        let place = mix(key, process.name).rem_euclid(times.migration_time.unsigned_abs());
        Some(if phase.leaves {
            phase.since.0.saturating_add(place.cast_signed())
        } else {
            Slot::MIN
        })
    }

    /// All that are known.
    pub fn iter(&self) -> impl Iterator<Item = (Process, Phase)> {
        self.known
            .iter()
            .map(|(process, state)| (*process, state.phase))
    }

    /// A member is clear of a process at an epoch. What is said of another epoch, or goes beyond
    /// the bound, is dropped.
    pub fn report(&mut self, process: Process, epoch: u64, member: u64) {
        if let Some(state) = self.known.get_mut(&process)
            && state.phase.leaves
            && state.phase.epoch == epoch
            && state.reported.len() < MAX_REPORTS
        {
            state.reported.insert(member);
        }
    }

    /// Members that are clear of a process in the epoch that it leaves.
    pub fn reported(&self, process: Process) -> impl Iterator<Item = u64> + Clone {
        self.known
            .get(&process)
            .into_iter()
            .flat_map(|s| s.reported.iter().copied())
    }

    /// Since when all these members are known to be clear of it at that epoch. Once all were, it
    /// stays so.
    pub fn complete(
        &mut self,
        process: Process,
        epoch: u64,
        mono: Micros,
        members: &[u64],
    ) -> Option<Micros> {
        let state = self
            .known
            .get_mut(&process)
            .filter(|s| s.phase.epoch == epoch && s.phase.leaves)?;
        if state.complete.is_none() && members.iter().all(|member| state.reported.contains(member))
        {
            state.complete = Some(mono);
        }
        state.complete
    }

    /// Whether what another tells of it is to be taken in: what all may have forgotten by now is
    /// not learnt anew.
    pub fn takes(&self, process: Process, phase: Phase, slot: Slot, times: &Times) -> bool {
        slot < phase.since.0.saturating_add(times.remembered()) || self.known.contains_key(&process)
    }

    /// Forgets processes that have come back, or are not listed any more, once no entry of before
    /// can be alive anywhere.
    pub fn forget(&mut self, slot: Slot, times: &Times, listed: impl Fn(Process) -> bool) {
        let long = times.remembered();
        let recent = |phase: &Phase| slot < phase.since.0.saturating_add(long);
        self.known
            .retain(|process, s| recent(&s.phase) || s.phase.leaves && listed(*process));
        self.overflowed &= self.known.len() >= MAX_PHASES;
    }
}

#[cfg(test)]
mod tests;
