//! The membership table: known members, and how members departed.

use crate::member::Member;
use crate::{Micros, SECOND, hash};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Time for which departed members are remembered; the same as in the membership protocol.
const DEPARTED_RETENTION: Micros = 600 * SECOND;
/// Maximum number of members remembered: the largest fleet and some departed ones. Further ones are
/// not added.
const MAX_MEMBERS: usize = 12_288;
/// Failures of one member, each within [`FLAP_WINDOW`] of the last, from which on it is
/// quarantined.
const FLAPS_UNTIL_QUARANTINE: u32 = 3;
const FLAP_WINDOW: Micros = 300 * SECOND;
/// Duration of the first quarantine; each further failure doubles it.
const BASE_QUARANTINE: Micros = 10 * SECOND;
/// Upper bound of the exponent of the quarantine.
const MAX_DOUBLINGS: u32 = 5;
/// At most one in this many members is quarantined: if more members flap, the cause is elsewhere.
const MEMBERS_PER_QUARANTINE: usize = 4;
/// Time for which two processes of one name must both be members before they count as duplicates:
/// longer than the detection of a failed one.
const DUPLICATE_CONFIRMATION_TIME: Micros = 10 * SECOND;

/// How a member departed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Departure {
    /// It announced its departure.
    #[serde(rename = "said_so")]
    Announced,
    /// It was lost, but its zone was not.
    Failed,
    /// It was lost along with its zone, or with all members.
    #[serde(rename = "cut_off")]
    Unreachable,
    /// It is a configured seed that was never heard of.
    NeverSeen,
}

/// A known member.
#[derive(Clone, Debug)]
pub struct MembershipEntry {
    /// Its latest incarnation.
    pub member: Member,
    /// Hash of its zone.
    pub zone: u64,
    /// Its program version, if reported.
    pub version: Option<String>,
    /// Since when it is known to run.
    pub running_since: Micros,
    /// How and when it departed.
    pub departure: Option<(Departure, Micros)>,
    /// Another address with the same name, since when, and whether that is confirmed.
    pub duplicate: Option<(SocketAddr, Micros, bool)>,
    /// Until when its observations are ignored.
    pub quarantined_until: Option<Micros>,
    announced_incarnation: Option<u64>,
    flaps: (u32, Micros),
}

/// All known members, by the hash of their names.
#[derive(Clone, Debug, Default)]
pub struct MembershipTable {
    entries: HashMap<u64, MembershipEntry>,
}

impl MembershipTable {
    /// Records that a member runs. Returns true if it flaps and is quarantined from now on.
    pub fn record_up(&mut self, now: Micros, member: &Member, count_crashes: bool) -> bool {
        let (origin, zone) = (hash(&member.name), hash(&member.zone));
        let has_capacity = self.entries.len() < MAX_MEMBERS;
        let Some(entry) = self.entries.get_mut(&origin) else {
            if has_capacity {
                let (since, flaps) = (now, (0, now));
                let entry = MembershipEntry {
                    member: member.clone(),
                    zone,
                    version: None,
                    running_since: since,
                    departure: None,
                    duplicate: None,
                    quarantined_until: None,
                    announced_incarnation: None,
                    flaps,
                };
                self.entries.insert(origin, entry);
            }
            return false;
        };
        let previous_address = entry.member.address;
        if entry.departure.is_none() && previous_address != member.address {
            entry.duplicate = Some((previous_address, now, false));
        }
        // The next incarnation means that it was declared down by mistake; a later one means a
        // restart, and without an announced departure the previous process crashed.
        let crashed = entry.departure.is_none()
            && previous_address == member.address
            && member.incarnation > entry.member.incarnation + 1
            && entry.announced_incarnation != Some(entry.member.incarnation);
        if member.incarnation > entry.member.incarnation + 1 {
            entry.version = None;
        }
        if entry.departure.is_some() || entry.member.incarnation != member.incarnation {
            entry.running_since = now;
        }
        (entry.member, entry.zone, entry.departure) = (member.clone(), zone, None);
        crashed && count_crashes && self.record_flap(now, origin)
    }

    /// Records that a member was lost. Returns true if it is quarantined from now on.
    pub fn record_down(&mut self, now: Micros, member: &Member, departure: Departure) -> bool {
        let origin = hash(&member.name);
        let Some(entry) = self.entries.get_mut(&origin) else {
            return false;
        };
        if entry.member.address != member.address {
            // The other process of this name still runs.
            entry.duplicate = None;
            return false;
        }
        let announced = entry.announced_incarnation == Some(member.incarnation);
        entry.departure = Some((
            if announced {
                Departure::Announced
            } else {
                departure
            },
            now,
        ));
        if let Some((other, ..)) = entry.duplicate.take() {
            (entry.member.address, entry.departure) = (other, None);
        }
        !announced && departure == Departure::Failed && self.record_flap(now, origin)
    }

    fn record_flap(&mut self, now: Micros, origin: u64) -> bool {
        let max_quarantined = self.entries.len() / MEMBERS_PER_QUARANTINE;
        let quarantined = self
            .entries
            .values()
            .filter(|e| e.quarantined_until.is_some_and(|until| until > now))
            .count();
        let Some(entry) = self.entries.get_mut(&origin) else {
            return false;
        };
        let (count, last) = entry.flaps;
        entry.flaps = (
            if now - last > FLAP_WINDOW {
                1
            } else {
                count + 1
            },
            now,
        );
        let flaps = entry.flaps.0;
        if flaps < FLAPS_UNTIL_QUARANTINE || quarantined >= max_quarantined {
            return false;
        }
        entry.quarantined_until =
            Some(now + (BASE_QUARANTINE << (flaps - FLAPS_UNTIL_QUARANTINE).min(MAX_DOUBLINGS)));
        true
    }

    /// Records that an incarnation announced its departure.
    pub fn record_announced_departure(&mut self, origin: u64, incarnation: u64) {
        let Some(entry) = self.entries.get_mut(&origin) else {
            return;
        };
        entry.announced_incarnation = Some(incarnation);
        if entry.member.incarnation == incarnation
            && let Some((left, _)) = &mut entry.departure
        {
            *left = Departure::Announced;
        }
    }

    /// Records the program version of a member.
    pub fn record_version(&mut self, origin: u64, version: &str) {
        if let Some(entry) = self.entries.get_mut(&origin)
            && entry.version.as_deref() != Some(version)
        {
            entry.version = Some(version.to_owned());
        }
    }

    /// Changes the reason of recent departures from a zone, once it is known whether the zone is
    /// unreachable or has failed.
    pub fn relabel_departures(&mut self, zone: u64, since: Micros, from: Departure, to: Departure) {
        for entry in self.entries.values_mut().filter(|e| e.zone == zone) {
            if let Some((left, at)) = &mut entry.departure
                && *left == from
                && *at >= since
            {
                *left = to;
            }
        }
    }

    /// Returns the names that have been confirmed as duplicates since the last call.
    pub fn confirm_duplicates(
        &mut self,
        now: Micros,
        is_running: impl Fn(SocketAddr) -> bool,
    ) -> Vec<(String, [SocketAddr; 2])> {
        let mut confirmed = Vec::new();
        for entry in self.entries.values_mut() {
            let address = entry.member.address;
            match &mut entry.duplicate {
                Some((other, ..)) if !is_running(*other) || !is_running(address) => {
                    entry.duplicate = None
                }
                Some((other, since, sure))
                    if !*sure && now - *since >= DUPLICATE_CONFIRMATION_TIME =>
                {
                    *sure = true;
                    confirmed.push((entry.member.name.clone(), [*other, address]));
                }
                _ => {}
            }
        }
        confirmed
    }

    /// Returns whether the observations of this member are ignored because it flaps.
    pub fn is_quarantined(&self, now: Micros, origin: u64) -> bool {
        self.entries
            .get(&origin)
            .and_then(|e| e.quarantined_until)
            .is_some_and(|until| until > now)
    }

    /// Forgets members that departed long ago.
    pub fn expire(&mut self, now: Micros) {
        self.entries.retain(|_, e| {
            e.departure
                .is_none_or(|(_, at)| now - at < DEPARTED_RETENTION)
        });
    }

    /// Returns the known members, by the hash of their names.
    pub fn entries(&self) -> impl Iterator<Item = (u64, &MembershipEntry)> {
        self.entries.iter().map(|(origin, entry)| (*origin, entry))
    }

    /// Returns the members of each zone: those running, and those running or unreachable.
    pub fn members_by_zone(&self) -> BTreeMap<u64, (usize, usize)> {
        let mut zones = BTreeMap::<u64, (usize, usize)>::new();
        for entry in self.entries.values() {
            let is_running = entry.departure.is_none();
            if is_running || matches!(entry.departure, Some((Departure::Unreachable, _))) {
                let (running, known) = zones.entry(entry.zone).or_default();
                (*running, *known) = (*running + usize::from(is_running), *known + 1);
            }
        }
        zones
    }
}
