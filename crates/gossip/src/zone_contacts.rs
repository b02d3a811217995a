//! When zones last heard each other.
//!
//! Times are by the clock of the member that heard the contact and are forwarded unchanged, so that
//! a contact does not appear younger after each hop, as forwarded ages would. Merging keeps the
//! newest time, so reordering, duplicates and loss affect only how soon members converge.

use crate::Micros;
use std::collections::HashMap;

/// Maximum number of zones tracked; further ones are ignored. Their pairs fit into one datagram
/// along with other content.
pub const MAX_ZONES: usize = 16;

/// Contacts between zones.
#[derive(Clone, Debug, Default)]
pub struct ZoneContacts {
    zones: Vec<u64>,
    /// When a member of the first zone last heard a member of the second.
    pairs: HashMap<(u64, u64), Micros>,
    /// When this member itself last heard each zone.
    own_contacts: HashMap<u64, Micros>,
    /// When a member of each zone last answered this member.
    last_answers: HashMap<u64, Micros>,
    any: Option<Micros>,
}

impl ZoneContacts {
    fn track_zone(&mut self, zone: u64) -> bool {
        let known = self.zones.contains(&zone);
        let has_capacity = self.zones.len() < MAX_ZONES;
        if !known && has_capacity {
            self.zones.push(zone);
        }
        known || has_capacity
    }

    fn record_pair(&mut self, pair: (u64, u64), at: Micros) {
        if self.track_zone(pair.0) && self.track_zone(pair.1) {
            let last_contact = self.pairs.entry(pair).or_insert(at);
            *last_contact = at.max(*last_contact);
        }
    }

    /// Records a datagram that this member received from another zone; `answer` if it answers one
    /// of this member.
    pub fn record_contact(&mut self, now: Micros, own_zone: u64, other_zone: u64, answer: bool) {
        self.any = Some(now);
        self.record_pair((own_zone, other_zone), now);
        if self.track_zone(other_zone) {
            self.own_contacts.insert(other_zone, now);
            if answer {
                self.last_answers.insert(other_zone, now);
                self.record_pair((other_zone, own_zone), now);
            }
        }
    }

    /// Records a report that zone `by` heard zone `other` at the given time.
    pub fn record_report(&mut self, now: Micros, skew: Micros, by: u64, whom: u64, at: Micros) {
        // A time further ahead than the skew is unusable; a smaller lead is clamped.
        if at <= now + skew {
            self.record_pair((by, whom), at.min(now));
        }
    }

    /// Returns when zone `by` last heard zone `other`, as far as known.
    pub fn last_contact(&self, by: u64, other: u64) -> Option<Micros> {
        self.pairs.get(&(by, other)).copied()
    }

    /// Returns when this member itself last heard the zone.
    pub fn last_own_contact(&self, zone: u64) -> Option<Micros> {
        self.own_contacts.get(&zone).copied()
    }

    /// Returns when a member of the zone last answered this member.
    pub fn last_answer(&self, zone: u64) -> Option<Micros> {
        self.last_answers.get(&zone).copied()
    }

    /// Returns when this member last heard any other.
    pub fn last_any_contact(&self) -> Option<Micros> {
        self.any
    }

    /// Returns whether a zone other than `own_zone` heard `zone` after `since`.
    pub fn heard_elsewhere(&self, own_zone: u64, zone: u64, since: Micros) -> bool {
        self.pairs
            .iter()
            .any(|((by, whom), at)| *whom == zone && *by != own_zone && *by != zone && *at > since)
    }

    /// Returns the pairs of zones with a contact not older than `since`.
    pub fn pairs(&self, since: Micros) -> impl Iterator<Item = ((u64, u64), Micros)> {
        self.pairs
            .iter()
            .filter(move |(_, at)| **at >= since)
            .map(|(pair, at)| (*pair, *at))
    }
}
