//! Endpoint processes that drain or have returned, and which members are drained of affinity to
//! them.
//!
//! Each process has an epoch, initially 0. A drain ends the epoch for good; if the drain is
//! cancelled, the next epoch begins. Affinity entries belong to the epoch in which they were made
//! and end with it.

use crate::Micros;
use crate::entry::Process;
use crate::mix;
use crate::time::{Slot, Times};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Most processes with a known phase: all of them have to fit into each periodic message, beside
/// its other content.
pub const MAX_PHASES: usize = 12;
/// Most members whose reports are kept for each process: those of the largest fleet.
const MAX_REPORTS: usize = 10_240;

/// The progress of a process. The greater phase wins; fields are compared in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Phase {
    /// Its epoch.
    pub epoch: u64,
    /// Whether that epoch has ended.
    pub draining: bool,
    /// The slot in which the phase began; of two reported slots the earlier one wins.
    pub since: Reverse<Slot>,
}

/// Why a phase was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainError {
    /// Too many processes drain at the same time.
    TooManyDraining,
    /// That epoch has ended.
    EpochEnded,
}

#[derive(Clone, Debug)]
struct DrainState {
    phase: Phase,
    clear_members: BTreeSet<u64>,
    all_clear_since: Option<Micros>,
}

/// The known phases.
#[derive(Clone, Debug, Default)]
pub struct Phases {
    states: BTreeMap<Process, DrainState>,
    /// Whether a phase was received for which there was no room, so that further drains may exist.
    is_incomplete: bool,
}

impl Phases {
    /// Begins a phase, or learns of it.
    ///
    /// # Errors
    /// The phase is outdated, or there is no room for it.
    pub fn merge(&mut self, process: Process, phase: Phase) -> Result<(), DrainError> {
        if let Some(state) = self.states.get_mut(&process) {
            if (phase.epoch, phase.draining) < (state.phase.epoch, state.phase.draining) {
                return Err(DrainError::EpochEnded);
            }
            if (phase.epoch, phase.draining) > (state.phase.epoch, state.phase.draining) {
                (state.clear_members, state.all_clear_since) = (BTreeSet::new(), None);
            }
            state.phase = state.phase.max(phase);
            return Ok(());
        }
        if self.states.len() >= MAX_PHASES {
            self.is_incomplete = true;
            return Err(DrainError::TooManyDraining);
        }
        self.states.insert(
            process,
            DrainState {
                phase,
                clear_members: BTreeSet::new(),
                all_clear_since: None,
            },
        );
        Ok(())
    }

    /// Whether every received phase is known.
    pub fn is_complete(&self) -> bool {
        !self.is_incomplete
    }

    /// The epoch of new affinity entries for that process.
    pub fn epoch(&self, process: Process) -> u64 {
        self.states.get(&process).map_or(0, |s| s.phase.epoch)
    }

    /// Whether entries of that epoch have ended.
    pub fn has_ended(&self, process: Process, epoch: u64) -> bool {
        self.states
            .get(&process)
            .is_some_and(|s| epoch < s.phase.epoch || epoch == s.phase.epoch && s.phase.draining)
    }

    /// The slot from which on a key with an entry of that epoch migrates to another process; none
    /// if the process stays. The migration of the keys is spread evenly over the migration time, in
    /// the same way at every member, so that few migrate at a time. Applies to earlier epochs too,
    /// as an epoch may be skipped.
    pub fn migrates_at(
        &self,
        key: u64,
        process: Process,
        epoch: u64,
        times: &Times,
    ) -> Option<Slot> {
        let phase = self.states.get(&process)?.phase;
        if epoch > phase.epoch || epoch == phase.epoch && !phase.draining {
            return None;
        }
        let offset = mix(key, process.name).rem_euclid(times.migration_time.unsigned_abs());
        Some(if phase.draining {
            phase.since.0.saturating_add(offset.cast_signed())
        } else {
            Slot::MIN
        })
    }

    /// All known phases.
    pub fn iter(&self) -> impl Iterator<Item = (Process, Phase)> {
        self.states
            .iter()
            .map(|(process, state)| (*process, state.phase))
    }

    /// Records that a member is clear of a process in an epoch. Reports for another epoch or beyond
    /// the limit are dropped.
    pub fn report_clear(&mut self, process: Process, epoch: u64, member: u64) {
        if let Some(state) = self.states.get_mut(&process)
            && state.phase.draining
            && state.phase.epoch == epoch
            && state.clear_members.len() < MAX_REPORTS
        {
            state.clear_members.insert(member);
        }
    }

    /// The members that are clear of a process in the epoch that it drains.
    pub fn clear_members(&self, process: Process) -> impl Iterator<Item = u64> + Clone {
        self.states
            .get(&process)
            .into_iter()
            .flat_map(|s| s.clear_members.iter().copied())
    }

    /// Since when all these members are known to be clear of the process in that epoch. Once they
    /// all were, this stays so.
    pub fn all_clear_since(
        &mut self,
        process: Process,
        epoch: u64,
        monotonic_now: Micros,
        members: &[u64],
    ) -> Option<Micros> {
        let state = self
            .states
            .get_mut(&process)
            .filter(|s| s.phase.epoch == epoch && s.phase.draining)?;
        if state.all_clear_since.is_none()
            && members
                .iter()
                .all(|member| state.clear_members.contains(member))
        {
            state.all_clear_since = Some(monotonic_now);
        }
        state.all_clear_since
    }

    /// Whether a received phase is to be applied: a phase that all members may have removed by now
    /// is not learnt again.
    pub fn accepts(&self, process: Process, phase: Phase, slot: Slot, times: &Times) -> bool {
        slot < phase.since.0.saturating_add(times.retention()) || self.states.contains_key(&process)
    }

    /// Removes processes that have returned, or that are no longer listed, once no earlier entry
    /// can be valid at any member.
    pub fn forget(&mut self, slot: Slot, times: &Times, listed: impl Fn(Process) -> bool) {
        let retention = times.retention();
        let is_recent = |phase: &Phase| slot < phase.since.0.saturating_add(retention);
        self.states
            .retain(|process, s| is_recent(&s.phase) || s.phase.draining && listed(*process));
        self.is_incomplete &= self.states.len() >= MAX_PHASES;
    }
}

#[cfg(test)]
mod tests;
