//! Endpoint processes, affinity entries, and the merge of entries for one key.

use crate::mix;
use crate::time::{Slot, Times};

/// A process of an endpoint, independent of its address; each start is a different process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Process {
    /// Hash of the endpoint's name.
    pub name: u64,
    /// Start of the process as listed, in milliseconds of Unix time; 0 if unknown.
    pub started: i64,
}

/// The last published use of a key at a process. Of two entries for the same key and process the
/// greater one wins: fields are compared in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AffinityEntry {
    /// The first slot in which the entry has expired. The entry that expires last wins, so that an
    /// entry it replaces cannot outlive it.
    pub expires_slot: Slot,
    /// The epoch of the process in which the key was used; see [`crate::drain_phase`].
    pub epoch: u64,
    /// Whether the key was used there before.
    pub renewed: bool,
}

impl AffinityEntry {
    /// The entry for a use in that slot.
    pub fn new(last_use: Slot, epoch: u64, renewed: bool, times: &Times) -> Self {
        Self {
            expires_slot: last_use + times.lifetime(renewed),
            epoch,
            renewed,
        }
    }

    /// The slot of the use.
    pub fn last_use_slot(&self, times: &Times) -> Slot {
        self.expires_slot
            .saturating_sub(times.lifetime(self.renewed))
    }
}

/// Most processes per key: if two members choose different ones, both are kept until one expires.
pub const MAX_ENTRIES_PER_KEY: usize = 2;

/// The entries of one key. The merge takes the greater entry of each process and keeps the greatest
/// ones. It is idempotent, commutative and associative, as a process that was evicted has no
/// influence on what is kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyEntries(Vec<(AffinityEntry, Process)>);

impl KeyEntries {
    /// Merges an entry; returns whether anything changed.
    pub fn merge(&mut self, process: Process, entry: AffinityEntry) -> bool {
        match self.0.iter_mut().find(|(_, p)| *p == process) {
            Some((stored, _)) if *stored >= entry => return false,
            Some((stored, _)) => *stored = entry,
            None => self.0.push((entry, process)),
        }
        // The same order as between entries of one process; otherwise an evicted entry would have
        // an influence on what is kept.
        self.0.sort_by_key(|place| std::cmp::Reverse(*place));
        let dropped = self.0.len() > MAX_ENTRIES_PER_KEY
            && self.0[MAX_ENTRIES_PER_KEY..].contains(&(entry, process));
        self.0.truncate(MAX_ENTRIES_PER_KEY);
        !dropped
    }

    /// Keeps only matching entries.
    pub fn retain(&mut self, is_kept: impl Fn(&AffinityEntry, &Process) -> bool) {
        self.0.retain(|(entry, process)| is_kept(entry, process));
    }

    /// The entry for that process.
    pub fn get(&self, process: Process) -> Option<AffinityEntry> {
        self.0
            .iter()
            .find(|(_, p)| *p == process)
            .map(|(entry, _)| *entry)
    }

    /// All entries, the one that expires last first.
    pub fn iter(&self) -> impl Iterator<Item = (Process, AffinityEntry)> {
        self.0.iter().map(|(entry, process)| (*process, *entry))
    }

    /// The slot in which all entries have expired.
    pub fn expires_slot(&self) -> Option<Slot> {
        self.0.first().map(|(entry, _)| entry.expires_slot)
    }

    /// The usable processes with an entry: first those where the key was used again, then in an
    /// order derived from the key, the same at every member.
    pub fn processes_by_rank(
        &self,
        key: u64,
        is_usable: impl Fn(Process, AffinityEntry) -> bool,
    ) -> Vec<Process> {
        let rank_of = |(p, w): &(Process, AffinityEntry)| {
            (w.renewed, mix(key, mix(p.name, p.started.unsigned_abs())))
        };
        let mut ranked: Vec<_> = self
            .iter()
            .filter(|(process, entry)| is_usable(*process, *entry))
            .collect();
        ranked.sort_by_key(|place| std::cmp::Reverse(rank_of(place)));
        ranked.into_iter().map(|(process, _)| process).collect()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

#[cfg(test)]
mod tests;
