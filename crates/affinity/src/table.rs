//! The bounded table of affinity entries, with expiry and eviction.

use crate::entry::{AffinityEntry, KeyEntries, Process};
use crate::mix;
use crate::safety_rules::SafetyRules;
use crate::time::Slot;
use std::collections::{BTreeSet, HashMap};

/// The order in which entries are dropped, the least first: by the slot in which the last use that
/// all were told of ends, then by a number drawn from the key. Nothing that only one member knows
/// has a part in it.
pub type Rank = (Slot, u64, u64);

/// Entries on keys, at most so many of them.
#[derive(Clone, Debug)]
pub struct Table {
    most: usize,
    key_entries: HashMap<u64, KeyEntries>,
    ranks: BTreeSet<Rank>,
    /// The greatest rank that was dropped anywhere: nothing up to it is kept, so that what was
    /// dropped at one member finds no room at another where something has just aged out.
    floor: Option<(Slot, u64)>,
    /// Entries dropped as the table was full.
    pub dropped: u64,
    pub(crate) rules: SafetyRules,
    /// What differs between members; only a test that takes the order out asks for it.
    pub(crate) own: u64,
}

impl Table {
    /// An empty one for at most so many keys.
    pub fn new(most: usize, own: u64) -> Self {
        let (key_entries, ranks) = (HashMap::new(), BTreeSet::new());
        Self {
            most: most.max(1),
            key_entries,
            ranks,
            floor: None,
            dropped: 0,
            rules: SafetyRules::ALL,
            own,
        }
    }

    fn rank(&self, key: u64, key_entries: &KeyEntries) -> Rank {
        match self.rules.drops_alike {
            true => (key_entries.ends().unwrap_or(Slot::MIN), mix(key, 0), key),
            false => (0, mix(key, self.own), key),
        }
    }

    /// Takes an entry in; whether that changed anything.
    pub fn merge(&mut self, key: u64, process: Process, entry: AffinityEntry) -> bool {
        if !self.stands(key, &entry) {
            return false;
        }
        let mut key_entries = self.key_entries.remove(&key).unwrap_or_default();
        if !key_entries.is_empty() {
            self.ranks.remove(&self.rank(key, &key_entries));
        }
        let changed = key_entries.merge(process, entry);
        self.ranks.insert(self.rank(key, &key_entries));
        self.key_entries.insert(key, key_entries);
        if self.key_entries.len() > self.most
            && let Some((slot, drawn, least)) = self.ranks.pop_first()
        {
            self.key_entries.remove(&least);
            self.dropped += 1;
            self.floor = self.floor.max(Some((slot, drawn)));
            return changed && least != key;
        }
        changed
    }

    /// The greatest rank that was dropped.
    pub fn floor(&self) -> Option<(Slot, u64)> {
        self.floor
    }

    /// Another member dropped what has that rank: so does this one, with all below it.
    pub fn raise(&mut self, floor: (Slot, u64)) {
        self.floor = self.floor.max(Some(floor));
        while self.rules.drops_alike
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

    /// Drops every place that is not to be kept.
    pub fn retain(&mut self, keep: impl Fn(u64, Process, &AffinityEntry) -> bool) {
        let mut changed = Vec::new();
        for (key, key_entries) in &mut self.key_entries {
            if key_entries
                .iter()
                .all(|(process, entry)| keep(*key, process, &entry))
            {
                continue;
            }
            let before = key_entries.clone();
            key_entries.retain(|entry, process| keep(*key, *process, entry));
            changed.push((*key, before, key_entries.clone()));
        }
        for (key, before, key_entries) in changed {
            self.ranks.remove(&self.rank(key, &before));
            match key_entries.is_empty() {
                true => drop(self.key_entries.remove(&key)),
                false => drop(self.ranks.insert(self.rank(key, &key_entries))),
            }
        }
    }

    /// Drops what is past its incarnation in that slot.
    pub fn age(&mut self, slot: Slot) {
        // A key's other place may end before the one that gives its rank: it is passed over where
        // it is read.
        while let Some((.., key)) = self.ranks.first().copied().filter(|rank| rank.0 <= slot) {
            self.ranks.pop_first();
            self.key_entries.remove(&key);
        }
        if !self.rules.drops_alike {
            self.retain(|_, _, entry| slot < entry.ends);
        }
    }

    /// Whether an entry lies above all that was dropped anywhere; one that does not counts as never
    /// told.
    fn stands(&self, key: u64, entry: &AffinityEntry) -> bool {
        self.floor
            .is_none_or(|floor| (entry.ends, mix(key, 0)) > floor)
            || !self.rules.drops_alike
    }

    /// The entry on a key at a process.
    pub fn at(&self, key: u64, process: Process) -> Option<AffinityEntry> {
        self.key_entries
            .get(&key)?
            .at(process)
            .filter(|entry| self.stands(key, entry))
    }

    /// Where a key is bound, of the places that may be used, the best first.
    pub fn cached_at(
        &self,
        key: u64,
        may: impl Fn(Process, AffinityEntry) -> bool,
    ) -> Vec<Process> {
        let stands = |process, entry| self.stands(key, &entry) && may(process, entry);
        self.key_entries
            .get(&key)
            .map(|key_entries| key_entries.cached_at(key, stands))
            .unwrap_or_default()
    }

    /// All entries on a key, the one that ends last first.
    pub fn entries(&self, key: u64) -> impl Iterator<Item = (Process, AffinityEntry)> {
        let entries = self
            .key_entries
            .get(&key)
            .into_iter()
            .flat_map(KeyEntries::iter);
        entries.filter(move |(_, entry)| self.stands(key, entry))
    }

    /// All keys, the one that ends last first, those below that rank.
    pub fn below(&self, rank: Option<Rank>) -> impl Iterator<Item = Rank> {
        self.ranks
            .range(..rank.unwrap_or((Slot::MAX, u64::MAX, u64::MAX)))
            .rev()
            .copied()
    }

    /// Whether any key has a place at that process.
    pub fn holds(&self, process: Process) -> bool {
        self.key_entries
            .values()
            .any(|key_entries| key_entries.at(process).is_some())
    }

    /// Keys in it.
    pub fn len(&self) -> usize {
        self.key_entries.len()
    }

    /// No key is in it.
    pub fn is_empty(&self) -> bool {
        self.key_entries.is_empty()
    }
}

#[cfg(test)]
mod tests;
