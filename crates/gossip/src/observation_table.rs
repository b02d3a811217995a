//! The table of health observations, which merges in any order to the same content.
//!
//! The table is a join semilattice: for each endpoint process and zone it keeps the newest datum of
//! each origin, and of those the [`KEPT`] newest. Merging is idempotent, commutative and
//! associative, since a datum that was left out had as many newer ones of other origins above it,
//! and those only become newer (a join semilattice in the sense of Shapiro et al., "Conflict-free
//! Replicated Data Types", SSS 2011, section 2.3).

use crate::Micros;
pub use crate::observation::{Observation, ObservedHealth, Process};
use std::collections::{BTreeMap, HashMap};

/// Data kept for each endpoint process and zone: twice the reporters that a health status needs by
/// default.
pub const KEPT: usize = 6;
/// Endpoint processes and zones for which data are kept: those of a thousand endpoints in three
/// zones, and room for their next processes.
pub const MAX_OBSERVED: usize = 4096;

/// What a merge changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// Something that was not there; how many of its kind stand above it.
    New {
        /// Newer data with the same sign there.
        alike: usize,
    },
    /// Nothing.
    Known,
    /// The table is full.
    Full,
}

/// All observations that this member knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    of: BTreeMap<(Process, u64), Vec<Observation>>,
    /// How many processes and zones each origin finds sick.
    unhealthy_by: HashMap<u64, usize>,
}

impl Table {
    /// Takes in a datum.
    pub fn merge(&mut self, observation: Observation) -> Merged {
        let place = (observation.process, observation.zone);
        if !self.of.contains_key(&place) && self.of.len() >= MAX_OBSERVED {
            return Merged::Full;
        }
        let data = self.of.entry(place).or_default();
        match data.iter().position(|d| d.origin == observation.origin) {
            Some(i) if data[i].rank() >= observation.rank() => return Merged::Known,
            Some(i) => uncounted(&mut self.unhealthy_by, &data.remove(i)),
            None => {}
        }
        let at = data.partition_point(|d| d.rank() > observation.rank());
        if at >= KEPT {
            return Merged::Known;
        }
        let alike = data[..at]
            .iter()
            .filter(|d| d.health == observation.health)
            .count();
        if observation.health == ObservedHealth::Unhealthy {
            *self.unhealthy_by.entry(observation.origin).or_default() += 1;
        }
        data.insert(at, observation);
        data.drain(KEPT.min(data.len())..)
            .for_each(|d| uncounted(&mut self.unhealthy_by, &d));
        Merged::New { alike }
    }

    /// How many processes and zones that origin finds sick.
    pub fn unhealthy_by(&self, origin: u64) -> usize {
        self.unhealthy_by.get(&origin).copied().unwrap_or(0)
    }

    /// What is known of a process, zone by zone, the newest first.
    pub fn of(&self, process: Process) -> impl Iterator<Item = (u64, &[Observation])> {
        self.of
            .range((process, 0)..=(process, u64::MAX))
            .map(|((_, zone), data)| (*zone, data.as_slice()))
    }

    /// Processes of which anything is known.
    pub fn processes(&self) -> impl Iterator<Item = Process> {
        let mut last = None;
        self.of
            .keys()
            .map(|(process, _)| *process)
            .filter(move |p| last.replace(*p) != Some(*p))
    }

    /// Drops what was seen before `since`.
    pub fn drop_before(&mut self, since: Micros) {
        let unhealthy_by = &mut self.unhealthy_by;
        self.of.retain(|_, data| {
            // The newest come first.
            let kept = data.partition_point(|d| d.seen >= since);
            data.drain(kept..).for_each(|d| uncounted(unhealthy_by, &d));
            !data.is_empty()
        });
    }

    /// Data in it.
    pub fn len(&self) -> usize {
        self.of.values().map(Vec::len).sum()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.of.is_empty()
    }
}

/// One of those is gone.
fn uncounted(unhealthy_by: &mut HashMap<u64, usize>, observation: &Observation) {
    if observation.health == ObservedHealth::Unhealthy
        && let Some(count) = unhealthy_by.get_mut(&observation.origin)
    {
        *count -= 1;
        if *count == 0 {
            unhealthy_by.remove(&observation.origin);
        }
    }
}

#[cfg(test)]
mod tests;
