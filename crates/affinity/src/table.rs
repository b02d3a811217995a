//! The bounded table of affinity entries, with expiry and eviction.

use crate::guards::Guards;
use crate::mix;
use crate::time::Slot;
use crate::word::{Places, Process, Word};
use std::collections::{BTreeSet, HashMap};

/// The order in which entries are dropped, the least first: by the slot in which the last use that all were told of
/// ends, then by a
/// number drawn from the key. Nothing that only one member knows has a part in it.
pub type Rank = (Slot, u64, u64);

/// Words on keys, at most so many of them.
#[derive(Clone, Debug)]
pub struct Table {
    most: usize,
    places: HashMap<u64, Places>,
    ranks: BTreeSet<Rank>,
    /// The greatest rank that was dropped anywhere: nothing up to it is kept, so that what was dropped at one member
    /// finds no room at another where something has just aged out.
    floor: Option<(Slot, u64)>,
    /// Entries dropped as the table was full.
    pub dropped: u64,
    pub(crate) guards: Guards,
    /// What differs between members; only a test that takes the order out asks for it.
    pub(crate) own: u64,
}

impl Table {
    /// An empty one for at most so many keys.
    pub fn new(most: usize, own: u64) -> Self {
        let (places, ranks) = (HashMap::new(), BTreeSet::new());
        Self {
            most: most.max(1),
            places,
            ranks,
            floor: None,
            dropped: 0,
            guards: Guards::ALL,
            own,
        }
    }

    fn rank(&self, key: u64, places: &Places) -> Rank {
        match self.guards.drops_alike {
            true => (places.ends().unwrap_or(Slot::MIN), mix(key, 0), key),
            false => (0, mix(key, self.own), key),
        }
    }

    /// Takes a word in; whether that changed anything.
    pub fn merge(&mut self, key: u64, process: Process, word: Word) -> bool {
        if !self.stands(key, &word) {
            return false;
        }
        let mut places = self.places.remove(&key).unwrap_or_default();
        if !places.is_empty() {
            self.ranks.remove(&self.rank(key, &places));
        }
        let changed = places.merge(process, word);
        self.ranks.insert(self.rank(key, &places));
        self.places.insert(key, places);
        if self.places.len() > self.most
            && let Some((slot, drawn, least)) = self.ranks.pop_first()
        {
            self.places.remove(&least);
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
        while self.guards.drops_alike
            && let Some((.., key)) = self
                .ranks
                .first()
                .copied()
                .filter(|r| Some((r.0, r.1)) <= self.floor)
        {
            self.ranks.pop_first();
            self.places.remove(&key);
            self.dropped += 1;
        }
    }

    /// Drops every place that is not to be kept.
    pub fn retain(&mut self, keep: impl Fn(u64, Process, &Word) -> bool) {
        let mut changed = Vec::new();
        for (key, places) in &mut self.places {
            if places
                .iter()
                .all(|(process, word)| keep(*key, process, &word))
            {
                continue;
            }
            let before = places.clone();
            places.retain(|word, process| keep(*key, *process, word));
            changed.push((*key, before, places.clone()));
        }
        for (key, before, places) in changed {
            self.ranks.remove(&self.rank(key, &before));
            match places.is_empty() {
                true => drop(self.places.remove(&key)),
                false => drop(self.ranks.insert(self.rank(key, &places))),
            }
        }
    }

    /// Drops what is past its life in that slot.
    pub fn age(&mut self, slot: Slot) {
        // A key's other place may end before the one that gives its rank: it is passed over where it is read.
        while let Some((.., key)) = self.ranks.first().copied().filter(|rank| rank.0 <= slot) {
            self.ranks.pop_first();
            self.places.remove(&key);
        }
        if !self.guards.drops_alike {
            self.retain(|_, _, word| slot < word.ends);
        }
    }

    /// Whether a word lies above all that was dropped anywhere; one that does not counts as never told.
    fn stands(&self, key: u64, word: &Word) -> bool {
        self.floor
            .is_none_or(|floor| (word.ends, mix(key, 0)) > floor)
            || !self.guards.drops_alike
    }

    /// The word on a key at a process.
    pub fn at(&self, key: u64, process: Process) -> Option<Word> {
        self.places
            .get(&key)?
            .at(process)
            .filter(|word| self.stands(key, word))
    }

    /// Where a key is bound, of the places that may be used, the best first.
    pub fn bound(&self, key: u64, may: impl Fn(Process, Word) -> bool) -> Vec<Process> {
        let stands = |process, word| self.stands(key, &word) && may(process, word);
        self.places
            .get(&key)
            .map(|places| places.bound(key, stands))
            .unwrap_or_default()
    }

    /// All words on a key, the one that ends last first.
    pub fn words(&self, key: u64) -> impl Iterator<Item = (Process, Word)> {
        let words = self.places.get(&key).into_iter().flat_map(Places::iter);
        words.filter(move |(_, word)| self.stands(key, word))
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
        self.places
            .values()
            .any(|places| places.at(process).is_some())
    }

    /// Keys in it.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// No key is in it.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}

#[cfg(test)]
mod tests;
