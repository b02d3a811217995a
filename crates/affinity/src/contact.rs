//! Tracks which members this one has heard, directly or through others, and since when it is in
//! contact with a quorum.
//!
//! A few members represent all: the *beacons*, selected by a hash of their names, the same at every
//! member that knows the same members. Each periodic message reports how long ago its sender heard
//! of each beacon, directly or through others' periodic messages; as a periodic message contains
//! all drains known to its sender, whoever heard of a beacon knows what that beacon knew. A member
//! is in contact since the time after which it has heard of a quorum: any two quorums share a
//! beacon, even if the two members' sets of beacons differ by a few.

use crate::{Micros, mix};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Largest number of beacons.
pub const MAX_BEACONS: usize = 16;
/// Eighths of the beacons in a quorum, rounded up: 10 of 16, so that two quorums share a beacon
/// even if the members' beacons differ by three.
const QUORUM_EIGHTHS_OF_BEACONS: usize = 5;
/// Ages are sent in steps of this length, rounded up, and not at all from the maximum on.
const AGE_STEP_US: Micros = 10_000;
const MAX_AGE_US: Micros = 60_000_000;
/// Salt of the hash that selects the beacons.
const BEACON_SALT: u64 = 0x6265_6163;

/// The age of a beacon in a periodic message: the lower half of the beacon's id, and twice its age
/// in steps, plus 1 if the beacon's knowledge of drains was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeaconAge([u8; 4], u32);

/// When a beacon was last heard of, by its own clock: at all, and with complete knowledge of
/// drains.
#[derive(Clone, Copy, Debug, Default)]
struct BeaconContact {
    member: u64,
    heard_at: Option<Micros>,
    trusted_at: Option<Micros>,
}

/// The beacons, and when this member last heard of them.
#[derive(Clone, Debug)]
pub struct Contact {
    own: u64,
    beacons: BTreeMap<[u8; 4], BeaconContact>,
}

fn short_id(number: u64) -> [u8; 4] {
    (number as u32).to_le_bytes()
}

impl Contact {
    /// Knows no members; it is not in contact before these are set.
    pub fn new(own: u64) -> Self {
        Self {
            own,
            beacons: BTreeMap::new(),
        }
    }

    /// Sets all members including this one: those that run, and those that may still run unheard.
    pub fn set_members(&mut self, members: impl Iterator<Item = u64>) {
        let mut selected: Vec<u64> = members.collect();
        selected.sort_unstable_by_key(|number| (mix(*number, BEACON_SALT), *number));
        selected.dedup();
        selected.truncate(MAX_BEACONS);
        let contact_of = |number: u64| {
            let known = self
                .beacons
                .get(&short_id(number))
                .filter(|heard| heard.member == number);
            known.copied().unwrap_or(BeaconContact {
                member: number,
                ..BeaconContact::default()
            })
        };
        self.beacons = selected
            .into_iter()
            .map(|number| (short_id(number), contact_of(number)))
            .collect();
    }

    /// The ages of the beacons for a periodic message at that time.
    pub fn beacon_ages(&self, now: Micros, is_trusted: bool) -> Vec<BeaconAge> {
        let beacon_age = |(short, heard): (&[u8; 4], &BeaconContact)| {
            let (at, trusted_at) = match self.contact_times(heard, now, is_trusted) {
                (_, Some(knew)) if now - knew < MAX_AGE_US => (knew, true),
                (at, _) => (at?, false),
            };
            let steps = u32::try_from((now - at).max(0).div_euclid(AGE_STEP_US) + 1).ok()?;
            (now - at < MAX_AGE_US).then_some(BeaconAge(*short, steps * 2 + u32::from(trusted_at)))
        };
        self.beacons.iter().filter_map(beacon_age).collect()
    }

    fn contact_times(
        &self,
        beacon: &BeaconContact,
        now: Micros,
        is_trusted: bool,
    ) -> (Option<Micros>, Option<Micros>) {
        match beacon.member == self.own {
            true => (Some(now), is_trusted.then_some(now).or(beacon.trusted_at)),
            false => (beacon.heard_at, beacon.trusted_at),
        }
    }

    /// Applies the ages of a periodic message of that time, after its drains were applied.
    pub fn receive_ages(&mut self, stamp: Micros, ages: &[BeaconAge]) {
        for BeaconAge(short, packed) in ages.iter().take(MAX_BEACONS) {
            let at = stamp.saturating_sub(Micros::from(packed / 2).saturating_mul(AGE_STEP_US));
            if let Some(beacon) = self.beacons.get_mut(short) {
                beacon.heard_at = beacon.heard_at.max(Some(at));
                if packed % 2 == 1 {
                    beacon.trusted_at = beacon.trusted_at.max(Some(at));
                }
            }
        }
    }

    /// Since when a quorum was heard of: with complete knowledge of drains, or at all.
    fn quorum_since(&self, now: Micros, is_trusted: bool, any_contact: bool) -> Option<Micros> {
        let contact_time = |beacon: &BeaconContact| {
            let (heard_at, trusted_at) = self.contact_times(beacon, now, is_trusted);
            if any_contact {
                heard_at.max(trusted_at)
            } else {
                trusted_at
            }
        };
        let mut times: Vec<Micros> = self.beacons.values().filter_map(contact_time).collect();
        times.sort_unstable_by_key(|at| std::cmp::Reverse(*at));
        let quorum_size = (self.beacons.len() * QUORUM_EIGHTHS_OF_BEACONS).div_ceil(8);
        times
            .get(quorum_size.checked_sub(1)?)
            .map(|at| (*at).min(now))
    }

    /// Since when a quorum with complete knowledge of drains was heard of, by others' clocks.
    pub fn in_contact_since(&self, now: Micros, is_trusted: bool) -> Option<Micros> {
        self.quorum_since(now, is_trusted, false)
    }

    /// Since when a quorum was heard of at all.
    pub fn any_contact_since(&self, now: Micros) -> Option<Micros> {
        self.quorum_since(now, false, true)
    }

    /// Beacons that were heard of since that time.
    pub fn beacons_heard_since(&self, since: Micros) -> impl Iterator<Item = u64> {
        let is_recent = move |heard: &&BeaconContact| {
            heard
                .trusted_at
                .max(heard.heard_at)
                .is_some_and(|at| at >= since)
        };
        self.beacons
            .values()
            .filter(is_recent)
            .map(|heard| heard.member)
    }
}

#[cfg(test)]
mod tests;
