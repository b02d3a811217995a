//! The membership table: who is known, and how those left who did.

use crate::member::Member;
use crate::{Micros, SECOND, hash};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// How long one who left is remembered, as membership does.
const FORGOTTEN: Micros = 600 * SECOND;
/// Members that are remembered at most: the largest fleet, and some who left. A further one is not.
const MAX_MEMBERS: usize = 12_288;
/// Failures of one member, each within [`CALM`] of the last, from which on it is quarantined.
const FLAPS: u32 = 3;
const CALM: Micros = 300 * SECOND;
/// The first quarantine; each further failure doubles it.
const QUARANTINE: Micros = 10 * SECOND;
/// How often the first quarantine is doubled at most.
const MAX_DOUBLINGS: u32 = 5;
/// At most one in so many members is in quarantine: where more flap, the fault is not theirs.
const MEMBERS_PER_QUARANTINE: usize = 4;
/// How long two processes of a name must be members before they count as two: longer than it takes
/// to miss a dead one.
const BOTH: Micros = 10 * SECOND;

/// How somebody left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Departure {
    /// It said so.
    #[serde(rename = "said_so")]
    Announced,
    /// It was missed, and its zone was not.
    Failed,
    /// It was missed together with its zone, or with everybody.
    #[serde(rename = "cut_off")]
    Unreachable,
    /// It is configured as a seed and was never heard of.
    NeverSeen,
}

/// A member.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its last incarnation.
    pub member: Member,
    /// Hash of its zone.
    pub zone: u64,
    /// Its program's version, where it has told.
    pub version: Option<String>,
    /// Since when it runs, as far as is known here.
    pub since: Micros,
    /// How it left, and when.
    pub left: Option<(Departure, Micros)>,
    /// Another address under the same name, and since when; true once it is sure.
    pub twice: Option<(SocketAddr, Micros, bool)>,
    /// Until then its word does not count.
    pub quarantined: Option<Micros>,
    announced: Option<u64>,
    flaps: (u32, Micros),
}

/// All of them, by the hash of the name.
#[derive(Clone, Debug, Default)]
pub struct MembershipTable {
    entries: HashMap<u64, Entry>,
}

impl MembershipTable {
    /// That one runs. True where it fails again and again and is quarantined from now on.
    pub fn up(&mut self, now: Micros, member: &Member, counts: bool) -> bool {
        let (origin, zone) = (hash(&member.name), hash(&member.zone));
        let room = self.entries.len() < MAX_MEMBERS;
        let Some(entry) = self.entries.get_mut(&origin) else {
            if room {
                let (since, flaps) = (now, (0, now));
                let entry = Entry {
                    member: member.clone(),
                    zone,
                    version: None,
                    since,
                    left: None,
                    twice: None,
                    quarantined: None,
                    announced: None,
                    flaps,
                };
                self.entries.insert(origin, entry);
            }
            return false;
        };
        let other = entry.member.address;
        if entry.left.is_none() && other != member.address {
            entry.twice = Some((other, now, false));
        }
        // The next number is an incarnation that was taken for dead by mistake; a later one is a
        // start, and where nothing was said before, the end before it was none that was meant.
        let crashed = entry.left.is_none()
            && other == member.address
            && member.incarnation > entry.member.incarnation + 1
            && entry.announced != Some(entry.member.incarnation);
        if member.incarnation > entry.member.incarnation + 1 {
            entry.version = None;
        }
        if entry.left.is_some() || entry.member.incarnation != member.incarnation {
            entry.since = now;
        }
        (entry.member, entry.zone, entry.left) = (member.clone(), zone, None);
        crashed && counts && self.flapped(now, origin)
    }

    /// That one is missed. True where it is quarantined from now on.
    pub fn down(&mut self, now: Micros, member: &Member, how: Departure) -> bool {
        let origin = hash(&member.name);
        let Some(entry) = self.entries.get_mut(&origin) else {
            return false;
        };
        if entry.member.address != member.address {
            // The other one of the name goes on.
            entry.twice = None;
            return false;
        }
        let announced = entry.announced == Some(member.incarnation);
        entry.left = Some((if announced { Departure::Announced } else { how }, now));
        if let Some((other, ..)) = entry.twice.take() {
            (entry.member.address, entry.left) = (other, None);
        }
        !announced && how == Departure::Failed && self.flapped(now, origin)
    }

    fn flapped(&mut self, now: Micros, origin: u64) -> bool {
        let most = self.entries.len() / MEMBERS_PER_QUARANTINE;
        let held = self
            .entries
            .values()
            .filter(|e| e.quarantined.is_some_and(|until| until > now))
            .count();
        let Some(entry) = self.entries.get_mut(&origin) else {
            return false;
        };
        let (count, last) = entry.flaps;
        entry.flaps = (if now - last > CALM { 1 } else { count + 1 }, now);
        let flaps = entry.flaps.0;
        if flaps < FLAPS || held >= most {
            return false;
        }
        entry.quarantined = Some(now + (QUARANTINE << (flaps - FLAPS).min(MAX_DOUBLINGS)));
        true
    }

    /// That life said that it leaves.
    pub fn announced(&mut self, origin: u64, incarnation: u64) {
        let Some(entry) = self.entries.get_mut(&origin) else {
            return;
        };
        entry.announced = Some(incarnation);
        if entry.member.incarnation == incarnation
            && let Some((left, _)) = &mut entry.left
        {
            *left = Departure::Announced;
        }
    }

    /// That one told its program's version.
    pub fn version(&mut self, origin: u64, version: &str) {
        if let Some(entry) = self.entries.get_mut(&origin)
            && entry.version.as_deref() != Some(version)
        {
            entry.version = Some(version.to_owned());
        }
    }

    /// Members of a zone that were missed not long ago were cut off with it, or, once that is
    /// known, died with it.
    pub fn relabel(&mut self, zone: u64, since: Micros, from: Departure, to: Departure) {
        for entry in self.entries.values_mut().filter(|e| e.zone == zone) {
            if let Some((left, at)) = &mut entry.left
                && *left == from
                && *at >= since
            {
                *left = to;
            }
        }
    }

    /// Names that have become sure to be two processes.
    pub fn twice(
        &mut self,
        now: Micros,
        runs: impl Fn(SocketAddr) -> bool,
    ) -> Vec<(String, [SocketAddr; 2])> {
        let mut found = Vec::new();
        for entry in self.entries.values_mut() {
            let at = entry.member.address;
            match &mut entry.twice {
                Some((other, ..)) if !runs(*other) || !runs(at) => entry.twice = None,
                Some((other, since, sure)) if !*sure && now - *since >= BOTH => {
                    *sure = true;
                    found.push((entry.member.name.clone(), [*other, at]));
                }
                _ => {}
            }
        }
        found
    }

    /// Its word does not count for now.
    pub fn quarantined(&self, now: Micros, origin: u64) -> bool {
        self.entries
            .get(&origin)
            .and_then(|e| e.quarantined)
            .is_some_and(|until| until > now)
    }

    /// Forgets those who left long ago.
    pub fn expire(&mut self, now: Micros) {
        self.entries
            .retain(|_, e| e.left.is_none_or(|(_, at)| now - at < FORGOTTEN));
    }

    /// Who is known, by hash of the name.
    pub fn entries(&self) -> impl Iterator<Item = (u64, &Entry)> {
        self.entries.iter().map(|(origin, entry)| (*origin, entry))
    }

    /// Members of each zone: those that run, and those and the ones cut off.
    pub fn zones(&self) -> BTreeMap<u64, (usize, usize)> {
        let mut zones = BTreeMap::<u64, (usize, usize)>::new();
        for entry in self.entries.values() {
            let runs = entry.left.is_none();
            if runs || matches!(entry.left, Some((Departure::Unreachable, _))) {
                let (running, known) = zones.entry(entry.zone).or_default();
                (*running, *known) = (*running + usize::from(runs), *known + 1);
            }
        }
        zones
    }
}
