//! The table of health observations, whose content does not depend on the order of merges.
//!
//! For each endpoint process and zone the table keeps the newest observation of each origin, and of
//! those the [`MAX_OBSERVATIONS_PER_ZONE`] newest. Merging is idempotent, commutative and
//! associative: an observation that was left out had enough newer ones of other origins above it,
//! which can only be replaced by even newer ones (a join semilattice in the sense of Shapiro et
//! al., "Conflict-free Replicated Data Types", SSS 2011, section 2.3).

use crate::Micros;
pub use crate::observation::{Observation, ObservedHealth, Process};
use std::collections::{BTreeMap, HashMap};

/// Observations kept for each endpoint process and zone: twice the number of reporters that an
/// ejection needs by default.
pub const MAX_OBSERVATIONS_PER_ZONE: usize = 6;
/// Maximum number of pairs of endpoint process and zone: a thousand endpoints in three zones, and
/// their next processes.
pub const MAX_PROCESS_ZONES: usize = 4096;

/// Result of a merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// The observation was added.
    Added {
        /// Number of newer observations with the same health.
        newer_with_same_health: usize,
    },
    /// The table already has a newer or the same observation.
    Unchanged,
    /// The table is full.
    Full,
}

/// All observations known to this member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObservationTable {
    observations: BTreeMap<(Process, u64), Vec<Observation>>,
    /// Number of pairs of process and zone that each origin finds unhealthy.
    unhealthy_counts: HashMap<u64, usize>,
}

impl ObservationTable {
    /// Merges an observation.
    pub fn merge(&mut self, observation: Observation) -> MergeResult {
        let key = (observation.process, observation.zone);
        if !self.observations.contains_key(&key) && self.observations.len() >= MAX_PROCESS_ZONES {
            return MergeResult::Full;
        }
        let observations = self.observations.entry(key).or_default();
        match observations
            .iter()
            .position(|d| d.origin == observation.origin)
        {
            Some(i) if observations[i].order_key() >= observation.order_key() => {
                return MergeResult::Unchanged;
            }
            Some(i) => subtract_unhealthy(&mut self.unhealthy_counts, &observations.remove(i)),
            None => {}
        }
        let position = observations.partition_point(|d| d.order_key() > observation.order_key());
        if position >= MAX_OBSERVATIONS_PER_ZONE {
            return MergeResult::Unchanged;
        }
        let newer_with_same_health = observations[..position]
            .iter()
            .filter(|d| d.health == observation.health)
            .count();
        if observation.health == ObservedHealth::Unhealthy {
            *self.unhealthy_counts.entry(observation.origin).or_default() += 1;
        }
        observations.insert(position, observation);
        observations
            .drain(MAX_OBSERVATIONS_PER_ZONE.min(observations.len())..)
            .for_each(|d| subtract_unhealthy(&mut self.unhealthy_counts, &d));
        MergeResult::Added {
            newer_with_same_health,
        }
    }

    /// Returns the number of pairs of process and zone that an origin finds unhealthy.
    pub fn unhealthy_count(&self, origin: u64) -> usize {
        self.unhealthy_counts.get(&origin).copied().unwrap_or(0)
    }

    /// Returns the observations of a process by zone, the newest first.
    pub fn observations_of(&self, process: Process) -> impl Iterator<Item = (u64, &[Observation])> {
        self.observations
            .range((process, 0)..=(process, u64::MAX))
            .map(|((_, zone), data)| (*zone, data.as_slice()))
    }

    /// Returns the processes with observations.
    pub fn processes(&self) -> impl Iterator<Item = Process> {
        let mut last = None;
        self.observations
            .keys()
            .map(|(process, _)| *process)
            .filter(move |p| last.replace(*p) != Some(*p))
    }

    /// Removes the observations made before `since`.
    pub fn drop_before(&mut self, since: Micros) {
        let unhealthy_counts = &mut self.unhealthy_counts;
        self.observations.retain(|_, data| {
            // The newest come first.
            let retained = data.partition_point(|d| d.seen >= since);
            data.drain(retained..)
                .for_each(|d| subtract_unhealthy(unhealthy_counts, &d));
            !data.is_empty()
        });
    }

    /// Returns the number of observations.
    pub fn len(&self) -> usize {
        self.observations.values().map(Vec::len).sum()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }
}

/// Updates the counts for an observation that was removed.
fn subtract_unhealthy(unhealthy_counts: &mut HashMap<u64, usize>, observation: &Observation) {
    if observation.health == ObservedHealth::Unhealthy
        && let Some(count) = unhealthy_counts.get_mut(&observation.origin)
    {
        *count -= 1;
        if *count == 0 {
            unhealthy_counts.remove(&observation.origin);
        }
    }
}

#[cfg(test)]
mod tests;
