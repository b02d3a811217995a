//! Endpoint processes, updates on the uses of a key, and the merge of updates for one key.

use crate::mix;
use crate::time::{Slot, Times};

/// A process of an endpoint: never an address, and another one after each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Process {
    /// Hash of the endpoint's name.
    pub name: u64,
    /// When it started, in milliseconds of Unix time as listed; 0 where that is not known.
    pub started: i64,
}

/// The last use of a key at a process that all members were told of. Of two entries on the same key
/// and process the greater one holds: fields are compared in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AffinityEntry {
    /// The first slot in which that use is past its incarnation: then it counts as never made. The
    /// entry that lives longest holds, so that what it replaces cannot outlive it.
    pub ends: Slot,
    /// The epoch of the process in which it was used; see [`crate::drain_phase`].
    pub epoch: u64,
    /// The key was met there before.
    pub held: bool,
}

impl AffinityEntry {
    /// That of a use in a slot.
    pub fn of(last: Slot, epoch: u64, held: bool, times: &Times) -> Self {
        Self {
            ends: last + times.lifetime(held),
            epoch,
            held,
        }
    }

    /// The slot of the use.
    pub fn last(&self, times: &Times) -> Slot {
        self.ends.saturating_sub(times.lifetime(self.held))
    }
}

/// Processes at which one key is remembered: where two are bound at once, both until one ages out.
pub const MAX_ENTRIES_PER_KEY: usize = 2;

/// Entries on one key. The merge takes the greater entry of each process and keeps the greatest
/// ones: idempotent, commutative and associative, as a process that is left out has no part in what
/// is kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyEntries(Vec<(AffinityEntry, Process)>);

impl KeyEntries {
    /// Takes an entry in; whether that changed anything.
    pub fn merge(&mut self, process: Process, entry: AffinityEntry) -> bool {
        match self.0.iter_mut().find(|(_, p)| *p == process) {
            Some((held, _)) if *held >= entry => return false,
            Some((held, _)) => *held = entry,
            None => self.0.push((entry, process)),
        }
        // By the same order as the entries of one process: else one that was left out would have a
        // part in what is kept.
        self.0.sort_by_key(|place| std::cmp::Reverse(*place));
        let dropped = self.0.len() > MAX_ENTRIES_PER_KEY
            && self.0[MAX_ENTRIES_PER_KEY..].contains(&(entry, process));
        self.0.truncate(MAX_ENTRIES_PER_KEY);
        !dropped
    }

    /// Keeps those only.
    pub fn retain(&mut self, keep: impl Fn(&AffinityEntry, &Process) -> bool) {
        self.0.retain(|(entry, process)| keep(entry, process));
    }

    /// The entry on that process.
    pub fn at(&self, process: Process) -> Option<AffinityEntry> {
        self.0
            .iter()
            .find(|(_, p)| *p == process)
            .map(|(entry, _)| *entry)
    }

    /// All, the one that ends last first.
    pub fn iter(&self) -> impl Iterator<Item = (Process, AffinityEntry)> {
        self.0.iter().map(|(entry, process)| (*process, *entry))
    }

    /// The slot in which all are past their lives.
    pub fn ends(&self) -> Option<Slot> {
        self.0.first().map(|(entry, _)| entry.ends)
    }

    /// The places at which the key is bound, of those that may be used: first one that it was met
    /// at again, then one drawn by the key, the same at every member.
    pub fn cached_at(
        &self,
        key: u64,
        may: impl Fn(Process, AffinityEntry) -> bool,
    ) -> Vec<Process> {
        let rank = |(p, w): &(Process, AffinityEntry)| {
            (w.held, mix(key, mix(p.name, p.started.unsigned_abs())))
        };
        let mut cached_at: Vec<_> = self
            .iter()
            .filter(|(process, entry)| may(*process, *entry))
            .collect();
        cached_at.sort_by_key(|place| std::cmp::Reverse(rank(place)));
        cached_at.into_iter().map(|(process, _)| process).collect()
    }

    /// No place is left.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

#[cfg(test)]
mod tests;
