//! Tracks whom this member has heard, directly or through others, and since when it is in contact
//! with a quorum.
//!
//! Some members stand for all: the *beacons*, drawn by their names, the same at every member that
//! knows the same ones. Each periodic message tells how long ago its sender heard of each of them,
//! by itself or by periodic messages of others; as every periodic message says all that its sender
//! knows of who left, whoever heard of a beacon knows what that beacon knew. A member is in contact
//! as of the instant since which it has heard of a quorum: any two quorums have a beacon in common,
//! also where the two members know beacons that differ by a few.

use crate::{Micros, mix};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Members that stand for all, where there are as many.
pub const MAX_BEACONS: usize = 16;
/// Eighths of the beacons that a quorum has, rounded up: 10 of 16, so that two members whose
/// beacons differ by three still have one in common.
const QUORUM_EIGHTHS: usize = 5;
/// Ages are told in steps of so much, rounded up, and not at all from the longest on.
const STEP: Micros = 10_000;
const MAX_AGE: Micros = 60_000_000;
/// Draws the beacons.
const DRAW: u64 = 0x6265_6163;

/// What a periodic message tells of a beacon: the lower half of its number, twice its age in steps,
/// plus 1 where it knew who left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeaconAge([u8; 4], u32);

/// When a beacon was heard of, by its clock: at all, and knowing who left.
#[derive(Clone, Copy, Debug, Default)]
struct BeaconContact {
    number: u64,
    at_all: Option<Micros>,
    sound: Option<Micros>,
}

/// Whom this member has heard.
#[derive(Clone, Debug)]
pub struct Contact {
    me: u64,
    beacons: BTreeMap<[u8; 4], BeaconContact>,
}

fn short(number: u64) -> [u8; 4] {
    (number as u32).to_le_bytes()
}

impl Contact {
    /// One that knows nobody: it is not in contact before it has been told who is there.
    pub fn new(me: u64) -> Self {
        Self {
            me,
            beacons: BTreeMap::new(),
        }
    }

    /// Those are all members, this one too: who runs, and who may still run without being heard.
    pub fn members(&mut self, members: impl Iterator<Item = u64>) {
        let mut drawn: Vec<u64> = members.collect();
        drawn.sort_unstable_by_key(|number| (mix(*number, DRAW), *number));
        drawn.dedup();
        drawn.truncate(MAX_BEACONS);
        let heard = |number: u64| {
            let known = self
                .beacons
                .get(&short(number))
                .filter(|heard| heard.number == number);
            known.copied().unwrap_or(BeaconContact {
                number,
                ..BeaconContact::default()
            })
        };
        self.beacons = drawn
            .into_iter()
            .map(|number| (short(number), heard(number)))
            .collect();
    }

    /// What a periodic message tells of them at that instant.
    pub fn told(&self, now: Micros, sound: bool) -> Vec<BeaconAge> {
        let told = |(short, heard): (&[u8; 4], &BeaconContact)| {
            let (at, knew) = match self.heard_at(heard, now, sound) {
                (_, Some(knew)) if now - knew < MAX_AGE => (knew, true),
                (at, _) => (at?, false),
            };
            let steps = u32::try_from((now - at).max(0).div_euclid(STEP) + 1).ok()?;
            (now - at < MAX_AGE).then_some(BeaconAge(*short, steps * 2 + u32::from(knew)))
        };
        self.beacons.iter().filter_map(told).collect()
    }

    fn heard_at(
        &self,
        heard: &BeaconContact,
        now: Micros,
        sound: bool,
    ) -> (Option<Micros>, Option<Micros>) {
        match heard.number == self.me {
            true => (Some(now), sound.then_some(now).or(heard.sound)),
            false => (heard.at_all, heard.sound),
        }
    }

    /// A periodic message of that time told this, and all that it says of who left was taken in.
    pub fn heard(&mut self, stamp: Micros, told: &[BeaconAge]) {
        for BeaconAge(short, packed) in told.iter().take(MAX_BEACONS) {
            let at = stamp.saturating_sub(Micros::from(packed / 2).saturating_mul(STEP));
            if let Some(heard) = self.beacons.get_mut(short) {
                heard.at_all = heard.at_all.max(Some(at));
                if packed % 2 == 1 {
                    heard.sound = heard.sound.max(Some(at));
                }
            }
        }
    }

    /// Since when a quorum was heard of: beacons that knew who left, or any.
    fn quorum(&self, now: Micros, sound: bool, any: bool) -> Option<Micros> {
        let at = |heard: &BeaconContact| {
            let (at_all, knew) = self.heard_at(heard, now, sound);
            if any { at_all.max(knew) } else { knew }
        };
        let mut heard: Vec<Micros> = self.beacons.values().filter_map(at).collect();
        heard.sort_unstable_by_key(|at| std::cmp::Reverse(*at));
        let quorum = (self.beacons.len() * QUORUM_EIGHTHS).div_ceil(8);
        heard.get(quorum.checked_sub(1)?).map(|at| (*at).min(now))
    }

    /// Since when a quorum was heard of that knew who left, by others' clocks.
    pub fn since(&self, now: Micros, sound: bool) -> Option<Micros> {
        self.quorum(now, sound, false)
    }

    /// Since when a quorum was heard of at all.
    pub fn met(&self, now: Micros) -> Option<Micros> {
        self.quorum(now, false, true)
    }

    /// Beacons that were heard of since that instant.
    pub fn beacons(&self, since: Micros) -> impl Iterator<Item = u64> {
        let heard = move |heard: &&BeaconContact| {
            heard.sound.max(heard.at_all).is_some_and(|at| at >= since)
        };
        self.beacons
            .values()
            .filter(heard)
            .map(|heard| heard.number)
    }
}

#[cfg(test)]
mod tests;
