//! Derives the connectivity state of this member from what it hears, and says what it may do in
//! that state.

use super::Core;
use super::views::{MAX_VERSION_BYTES, VIEW_INTERVAL, VIEWS_PER_INTERVAL};
use crate::connectivity::{Connectivity, ConnectivityState, Observations, Trials};
use crate::effects::Note;
use crate::membership_table::Departure;
use crate::observation_table::Process;
use crate::zone_reachability::ZoneFacts;
use crate::{Micros, SECOND, hash};

/// Discovery's list counts as new for so long: two of its usual answers.
const FRESH: Micros = 5 * SECOND;
/// Members that were missed at most so long before their zone was lost were cut off with it.
const MISSED_WITH_ZONE: Micros = 15 * SECOND;

impl Core {
    /// Where this member stands.
    pub fn connectivity(&self) -> &Connectivity {
        self.tracker.connectivity()
    }

    /// The version of the program, as others' membership table show it; to be said before it runs.
    pub fn set_version(&mut self, version: &str) {
        let end = (0..=MAX_VERSION_BYTES.min(version.len()))
            .rev()
            .find(|n| version.is_char_boundary(*n));
        self.version = version[..end.unwrap_or(0)].to_owned();
    }

    /// Discovery has answered: the list is as new as this.
    pub fn list_seen(&mut self, now: Micros) {
        self.list_seen = Some(now);
    }

    /// Where the endpoints of the own list stand, by their numbers: what they say of a zone that is
    /// not heard.
    pub fn placed<'a>(&mut self, zones: impl Iterator<Item = (usize, &'a str)>) {
        self.placed = zones
            .take(super::observations::MAX_ENDPOINTS)
            .map(|(e, zone)| (e, hash(zone)))
            .collect();
    }

    /// Somebody of that zone is heard: an answer to what this one sent, or not.
    pub(super) fn record_contact(&mut self, now: Micros, zone: u64, answer: bool) {
        if self.tracks_connectivity {
            self.tracker.heard.came(now, self.zone, zone, answer);
        }
    }

    /// What it may say and do about endpoints now.
    pub(super) fn may_publish(&self) -> bool {
        self.connectivity().kind.permissions().observations == Observations::Shared
    }

    /// Whether that member may be thought to make trials.
    pub(super) fn may_try(&self, now: Micros, origin: u64, zone: u64) -> bool {
        match self.connectivity().kind.permissions().trials {
            Trials::Shared => !self.quarantined(now, origin),
            Trials::Side => !self.tracker.silent(zone) && !self.quarantined(now, origin),
            Trials::Own | Trials::None => false,
        }
    }

    /// Derives the connectivity state anew, and notes what has changed.
    pub(super) fn update_connectivity(&mut self, now: Micros) {
        if !self.tracks_connectivity {
            return;
        }
        self.note_duplicate_names(now);
        self.schedule_views(now);
        let zones = self.zone_facts(now);
        let state_before = self.connectivity().clone();
        let lost_before = self.lost_zones(&zones);
        let probes = self.tracker.step(now, self.zone, &zones);
        self.relabel_departures(now, &zones, &lost_before);
        for (zone, count) in probes {
            self.ask_zone(now, zone, count);
        }
        if *self.connectivity() != state_before {
            self.note_connectivity();
        }
        self.next_tick = self.next_tick.min(self.tracker.next());
    }

    /// Notes names under which two members run at once.
    fn note_duplicate_names(&mut self, now: Micros) {
        let (members, me) = (&self.members, self.me.address);
        let runs = |at| at == me || members.contains_key(&at);
        for (name, addresses) in self.membership.twice(now, runs) {
            self.effects.notes.push(Note::Twice { name, addresses });
        }
    }

    /// Begins the next interval of views, once the last one is over.
    fn schedule_views(&mut self, now: Micros) {
        if now < self.next_view {
            return;
        }
        self.next_view = now + VIEW_INTERVAL;
        self.views_due = if self.connectivity().kind == ConnectivityState::Connected {
            VIEWS_PER_INTERVAL
        } else {
            2 * VIEWS_PER_INTERVAL
        };
        self.membership.expire(now);
    }

    fn lost_zones(&self, zones: &[ZoneFacts]) -> Vec<bool> {
        let lost = zones.iter().map(|zone| self.tracker.lost(zone.zone));
        lost.collect()
    }

    /// Members that were missed with a zone that is lost now count as unreachable; those of a zone
    /// that is heard again and in which none runs have failed.
    fn relabel_departures(&mut self, now: Micros, zones: &[ZoneFacts], lost_before: &[bool]) {
        for (facts, before) in zones.iter().zip(lost_before) {
            let (failed, unreachable) = (Departure::Failed, Departure::Unreachable);
            match (*before, self.tracker.lost(facts.zone)) {
                (false, true) => {
                    let since = now - MISSED_WITH_ZONE;
                    self.membership
                        .relabel(facts.zone, since, failed, unreachable);
                }
                (true, false) if facts.running == 0 => {
                    self.membership
                        .relabel(facts.zone, Micros::MIN, unreachable, failed);
                }
                _ => {}
            }
        }
    }

    fn note_connectivity(&mut self) {
        let connectivity = self.connectivity().clone();
        let zones = connectivity
            .cut
            .iter()
            .map(|(zone, direction)| (self.zone_name(*zone), *direction))
            .collect();
        self.effects.notes.push(Note::Connectivity {
            connectivity,
            zones,
        });
    }

    fn zone_facts(&self, now: Micros) -> Vec<ZoneFacts> {
        let fresh = self.list_seen.is_some_and(|at| now - at < FRESH);
        let mut zones = self.membership.zones();
        let own = zones.entry(self.zone).or_default();
        (own.0, own.1) = (own.0 + 1, own.1 + 1);
        let facts = zones.into_iter().map(|(zone, (running, known))| {
            let there = || {
                self.listed
                    .values()
                    .filter(|l| self.placed.get(&l.endpoint) == Some(&zone))
            };
            let (served, named) = if self.tracker.silent(zone) {
                let process = |l: &crate::effects::Listed| self.processes.get(&l.endpoint).copied();
                let served = there()
                    .filter_map(process)
                    .filter_map(|p: Process| self.own.get(&p)?.served)
                    .max();
                (served, fresh.then(|| there().any(|l| l.ready)))
            } else {
                (None, None)
            };
            ZoneFacts {
                zone,
                running,
                known,
                served,
                listed: named,
            }
        });
        facts.collect()
    }

    pub(super) fn zone_name(&self, zone: u64) -> String {
        let entry = self.membership.entries().find(|(_, e)| e.zone == zone);
        entry.map_or_else(|| format!("{zone:016x}"), |(_, e)| e.member.zone.clone())
    }

    /// Its word does not count for now.
    pub(super) fn quarantined(&self, now: Micros, origin: u64) -> bool {
        self.tracks_connectivity && self.membership.quarantined(now, origin)
    }

    /// How one leaves that is missed now.
    pub(super) fn left_how(&self, zone: u64) -> Departure {
        let all = self.connectivity().kind == ConnectivityState::Isolated;
        if self.tracker.lost(zone) || all {
            Departure::Unreachable
        } else {
            Departure::Failed
        }
    }
}
