//! When zones were last heard, by whom.
//!
//! Stamps are times of the clock of who heard, forwarded as they are: a value grows no younger on
//! its way, which ages that each hop counts anew would. Merging takes the newest, so order, repeats
//! and loss change how soon, never what.

use crate::Micros;
use std::collections::HashMap;

/// Zones that are followed at most; a further one is not. Their pairs fit into a datagram with all
/// else.
pub const MAX_ZONES: usize = 16;

/// Who heard whom.
#[derive(Clone, Debug, Default)]
pub struct ZoneContacts {
    zones: Vec<u64>,
    /// When somebody of the first zone last heard somebody of the second.
    pairs: HashMap<(u64, u64), Micros>,
    /// When this member itself did.
    own: HashMap<u64, Micros>,
    /// When somebody there last answered this member.
    acked: HashMap<u64, Micros>,
    any: Option<Micros>,
}

impl ZoneContacts {
    fn follow(&mut self, zone: u64) -> bool {
        let known = self.zones.contains(&zone);
        let room = self.zones.len() < MAX_ZONES;
        if !known && room {
            self.zones.push(zone);
        }
        known || room
    }

    fn newer(&mut self, pair: (u64, u64), at: Micros) {
        if self.follow(pair.0) && self.follow(pair.1) {
            let stamp = self.pairs.entry(pair).or_insert(at);
            *stamp = at.max(*stamp);
        }
    }

    /// This member, of zone `here`, got a datagram of somebody of `there`; an answer to its own, or
    /// not.
    pub fn came(&mut self, now: Micros, here: u64, there: u64, answer: bool) {
        self.any = Some(now);
        self.newer((here, there), now);
        if self.follow(there) {
            self.own.insert(there, now);
            if answer {
                self.acked.insert(there, now);
                self.newer((there, here), now);
            }
        }
    }

    /// Somebody says that zone `by` heard `whom` then.
    pub fn told(&mut self, now: Micros, skew: Micros, by: u64, whom: u64, at: Micros) {
        // A clock that is ahead by more makes it unusable; by less, not newer than now.
        if at <= now + skew {
            self.newer((by, whom), at.min(now));
        }
    }

    /// When `by` last heard `whom`, as far as is known here.
    pub fn last(&self, by: u64, whom: u64) -> Option<Micros> {
        self.pairs.get(&(by, whom)).copied()
    }

    /// When this member itself last heard somebody of that zone.
    pub fn own(&self, zone: u64) -> Option<Micros> {
        self.own.get(&zone).copied()
    }

    /// When somebody there last answered it.
    pub fn acked(&self, zone: u64) -> Option<Micros> {
        self.acked.get(&zone).copied()
    }

    /// When it last heard anybody.
    pub fn any(&self) -> Option<Micros> {
        self.any
    }

    /// Somebody other than of zone `here` heard that zone since then.
    pub fn elsewhere(&self, here: u64, zone: u64, since: Micros) -> bool {
        self.pairs
            .iter()
            .any(|((by, whom), at)| *whom == zone && *by != here && *by != zone && *at > since)
    }

    /// Zones and what is known of each pair, newest stamps not older than `since`.
    pub fn pairs(&self, since: Micros) -> impl Iterator<Item = ((u64, u64), Micros)> {
        self.pairs
            .iter()
            .filter(move |(_, at)| **at >= since)
            .map(|(pair, at)| (*pair, *at))
    }
}
