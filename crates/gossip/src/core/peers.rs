//! The other members by number, for message parts that are carried.

use super::Core;
use crate::connectivity::AffinityEntries;
use crate::membership_table::Departure;
use crate::{Micros, SECOND};

/// One who said that it leaves and has not come back for so long is gone: a restart takes a few
/// seconds.
const RETURNS: Micros = 30 * SECOND;

/// Who is there, each by the hash of its name.
#[derive(Clone, Debug)]
pub struct Peers {
    /// This member and those that are known to run.
    pub running: Vec<u64>,
    /// These and all who may run without being heard: whoever is missed and did not say that it
    /// leaves, until it is forgotten. Nobody where none of the members that it should ask at its
    /// start was ever heard of.
    pub known: Vec<u64>,
    /// What its connectivity state lets it do with affinity entries.
    pub affinity_entries: AffinityEntries,
}

impl Core {
    /// The hash of the own name.
    pub fn origin(&self) -> u64 {
        self.origin
    }

    /// The other members, and this one.
    pub fn peers(&self, now: Micros) -> Peers {
        let mut running: Vec<u64> = self.by_origin.keys().copied().collect();
        running.push(self.origin);
        let left = |left: &Option<(Departure, Micros)>| match left {
            Some((Departure::Announced, at)) => now - *at >= RETURNS,
            _ => false,
        };
        let mut known: Vec<u64> = self
            .membership
            .entries()
            .filter(|(_, e)| !left(&e.left))
            .map(|(origin, _)| origin)
            .collect();
        if !known.is_empty() || self.seeds.is_empty() {
            known.push(self.origin);
        }
        Peers {
            running,
            known,
            affinity_entries: self.connectivity().kind.permissions().affinity_entries,
        }
    }
}
