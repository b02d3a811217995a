//! The other members by hash, for the hosts of message fragments.

use super::Core;
use crate::connectivity::AffinityEntries;
use crate::membership_table::Departure;
use crate::{Micros, SECOND};

/// Time after which a member that announced its departure counts as gone; a restart takes a few
/// seconds.
const RESTART_TIME: Micros = 30 * SECOND;

/// Known members, each by the hash of its name.
#[derive(Clone, Debug)]
pub struct Peers {
    /// This member and those known to run.
    pub running: Vec<u64>,
    /// Those and all that may run without being heard: members lost without announcing their
    /// departure, until they are forgotten. Empty if seeds are configured and no member was ever
    /// heard of.
    pub known: Vec<u64>,
    /// Permission for affinity entries in the current connectivity state.
    pub affinity_entries: AffinityEntries,
}

impl Core {
    /// Returns the hash of this member's name.
    pub fn origin(&self) -> u64 {
        self.origin
    }

    /// Returns the other members and this one.
    pub fn peers(&self, now: Micros) -> Peers {
        let mut running: Vec<u64> = self.addresses_by_origin.keys().copied().collect();
        running.push(self.origin);
        let has_left = |left: &Option<(Departure, Micros)>| match left {
            Some((Departure::Announced, at)) => now - *at >= RESTART_TIME,
            _ => false,
        };
        let mut known: Vec<u64> = self
            .membership
            .entries()
            .filter(|(_, e)| !has_left(&e.departure))
            .map(|(origin, _)| origin)
            .collect();
        if !known.is_empty() || self.seeds.is_empty() {
            known.push(self.origin);
        }
        Peers {
            running,
            known,
            affinity_entries: self.connectivity().state.permissions().affinity_entries,
        }
    }
}
