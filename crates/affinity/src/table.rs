//! The bounded table of affinity entries, with expiry and eviction.

use crate::entry::{AffinityEntry, KeyEntries, Process};
use crate::mix;
use crate::safety_rules::SafetyRules;
use crate::time::Slot;
use std::collections::{BTreeSet, HashMap};

/// The order in which entries are evicted, lowest first: by the slot in which the last published
/// use expires, then by a hash of the key. It depends on nothing that only one member knows.
pub type Rank = (Slot, u64, u64);

/// Entries by key, for a bounded number of keys.
#[derive(Clone, Debug)]
pub struct Table {
    max_keys: usize,
    key_entries: HashMap<u64, KeyEntries>,
    ranks: BTreeSet<Rank>,
    /// The highest rank that was evicted by any member. Nothing up to it is kept, so that what one
    /// member evicted is not kept by another one that had free space.
    floor: Option<(Slot, u64)>,
    /// Number of entries evicted because the table was full.
    pub dropped: u64,
    pub(crate) rules: SafetyRules,
    /// This member's id; used only by a test that breaks the common order.
    pub(crate) member: u64,
}

impl Table {
    /// An empty table for at most that many keys.
    pub fn new(max_keys: usize, member: u64) -> Self {
        let (key_entries, ranks) = (HashMap::new(), BTreeSet::new());
        Self {
            max_keys: max_keys.max(1),
            key_entries,
            ranks,
            floor: None,
            dropped: 0,
            rules: SafetyRules::ALL,
            member,
        }
    }

    fn rank(&self, key: u64, key_entries: &KeyEntries) -> Rank {
        match self.rules.evicts_in_common_order {
            true => (
                key_entries.expires_slot().unwrap_or(Slot::MIN),
                mix(key, 0),
                key,
            ),
            false => (0, mix(key, self.member), key),
        }
    }

    /// Merges an entry; returns whether anything changed.
    pub fn merge(&mut self, key: u64, process: Process, entry: AffinityEntry) -> bool {
        if !self.is_above_floor(key, &entry) {
            return false;
        }
        let mut key_entries = self.key_entries.remove(&key).unwrap_or_default();
        if !key_entries.is_empty() {
            self.ranks.remove(&self.rank(key, &key_entries));
        }
        let changed = key_entries.merge(process, entry);
        self.ranks.insert(self.rank(key, &key_entries));
        self.key_entries.insert(key, key_entries);
        if self.key_entries.len() > self.max_keys
            && let Some((floor_slot, drawn, evicted)) = self.ranks.pop_first()
        {
            self.key_entries.remove(&evicted);
            self.dropped += 1;
            self.floor = self.floor.max(Some((floor_slot, drawn)));
            return changed && evicted != key;
        }
        changed
    }

    /// The highest evicted rank.
    pub fn floor(&self) -> Option<(Slot, u64)> {
        self.floor
    }

    /// Evicts everything up to a rank that another member evicted.
    pub fn raise_floor(&mut self, floor: (Slot, u64)) {
        self.floor = self.floor.max(Some(floor));
        while self.rules.evicts_in_common_order
            && let Some((.., key)) = self
                .ranks
                .first()
                .copied()
                .filter(|r| Some((r.0, r.1)) <= self.floor)
        {
            self.ranks.pop_first();
            self.key_entries.remove(&key);
            self.dropped += 1;
        }
    }

    /// Keeps only matching entries.
    pub fn retain(&mut self, is_kept: impl Fn(u64, Process, &AffinityEntry) -> bool) {
        let mut changed = Vec::new();
        for (key, key_entries) in &mut self.key_entries {
            if key_entries
                .iter()
                .all(|(process, entry)| is_kept(*key, process, &entry))
            {
                continue;
            }
            let previous = key_entries.clone();
            key_entries.retain(|entry, process| is_kept(*key, *process, entry));
            changed.push((*key, previous, key_entries.clone()));
        }
        for (key, before, key_entries) in changed {
            self.ranks.remove(&self.rank(key, &before));
            match key_entries.is_empty() {
                true => drop(self.key_entries.remove(&key)),
                false => drop(self.ranks.insert(self.rank(key, &key_entries))),
            }
        }
    }

    /// Removes entries that have expired in that slot.
    pub fn expire(&mut self, slot: Slot) {
        // Another entry of a key may expire before the one that determines its rank; it is ignored
        // when it is read.
        while let Some((.., key)) = self.ranks.first().copied().filter(|rank| rank.0 <= slot) {
            self.ranks.pop_first();
            self.key_entries.remove(&key);
        }
        if !self.rules.evicts_in_common_order {
            self.retain(|_, _, entry| slot < entry.expires_slot);
        }
    }

    /// Whether an entry is above the eviction floor; one that is not counts as never published.
    fn is_above_floor(&self, key: u64, entry: &AffinityEntry) -> bool {
        self.floor
            .is_none_or(|floor| (entry.expires_slot, mix(key, 0)) > floor)
            || !self.rules.evicts_in_common_order
    }

    /// The entry for a key at a process.
    pub fn get(&self, key: u64, process: Process) -> Option<AffinityEntry> {
        self.key_entries
            .get(&key)?
            .get(process)
            .filter(|entry| self.is_above_floor(key, entry))
    }

    /// The usable processes with an entry for a key, best first.
    pub fn processes_by_rank(
        &self,
        key: u64,
        is_usable: impl Fn(Process, AffinityEntry) -> bool,
    ) -> Vec<Process> {
        let is_valid =
            |process, entry| self.is_above_floor(key, &entry) && is_usable(process, entry);
        self.key_entries
            .get(&key)
            .map(|key_entries| key_entries.processes_by_rank(key, is_valid))
            .unwrap_or_default()
    }

    /// All entries of a key, the one that expires last first.
    pub fn entries(&self, key: u64) -> impl Iterator<Item = (Process, AffinityEntry)> {
        let entries = self
            .key_entries
            .get(&key)
            .into_iter()
            .flat_map(KeyEntries::iter);
        entries.filter(move |(_, entry)| self.is_above_floor(key, entry))
    }

    /// All keys below that rank, the one that expires last first.
    pub fn keys_below(&self, rank: Option<Rank>) -> impl Iterator<Item = Rank> {
        self.ranks
            .range(..rank.unwrap_or((Slot::MAX, u64::MAX, u64::MAX)))
            .rev()
            .copied()
    }

    /// Whether any key has an entry for that process.
    pub fn contains_process(&self, process: Process) -> bool {
        self.key_entries
            .values()
            .any(|key_entries| key_entries.get(process).is_some())
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.key_entries.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.key_entries.is_empty()
    }
}

#[cfg(test)]
mod tests;
