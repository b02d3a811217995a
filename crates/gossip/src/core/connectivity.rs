//! Updates the connectivity state of this member, and applies its permissions.

use super::Core;
use super::views::{MAX_VERSION_BYTES, VIEW_INTERVAL, VIEWS_PER_INTERVAL};
use crate::connectivity::{Connectivity, ConnectivityState, Observations, Trials};
use crate::effects::Note;
use crate::membership_table::Departure;
use crate::observation_table::Process;
use crate::zone_reachability::ZoneFacts;
use crate::{Micros, SECOND, hash};

/// Time for which the endpoint list counts as current: two of its usual polls.
const LIST_FRESHNESS: Micros = 5 * SECOND;
/// Members that were lost at most this long before their zone are unreachable along with it.
const ZONE_LOSS_WINDOW: Micros = 15 * SECOND;

impl Core {
    /// Returns the connectivity of this member.
    pub fn connectivity(&self) -> &Connectivity {
        self.tracker.connectivity()
    }

    /// Sets the program version that other members see; to be called before the first tick.
    pub fn set_version(&mut self, version: &str) {
        let end = (0..=MAX_VERSION_BYTES.min(version.len()))
            .rev()
            .find(|n| version.is_char_boundary(*n));
        self.version = version[..end.unwrap_or(0)].to_owned();
    }

    /// Records that discovery confirmed the endpoint list.
    pub fn confirm_list(&mut self, now: Micros) {
        self.list_confirmed_at = Some(now);
    }

    /// Sets the zone of each endpoint on the list. Endpoints of a silent zone show whether it has
    /// failed.
    pub fn set_endpoint_zones<'a>(&mut self, zones: impl Iterator<Item = (usize, &'a str)>) {
        self.endpoint_zones = zones
            .take(super::observations::MAX_ENDPOINTS)
            .map(|(e, zone)| (e, hash(zone)))
            .collect();
    }

    /// Records a datagram from a zone; `answer` if it answers one of this member.
    pub(super) fn record_contact(&mut self, now: Micros, zone: u64, answer: bool) {
        if self.tracks_connectivity {
            self.tracker
                .zone_contacts
                .record_contact(now, self.zone, zone, answer);
        }
    }

    /// Returns whether this member may publish health observations.
    pub(super) fn may_publish_observations(&self) -> bool {
        self.connectivity().state.permissions().observations == Observations::Shared
    }

    /// Returns whether the member may be assigned trial requests.
    pub(super) fn may_make_trials(&self, now: Micros, origin: u64, zone: u64) -> bool {
        match self.connectivity().state.permissions().trials {
            Trials::Shared => !self.is_quarantined(now, origin),
            Trials::ReachableOnly => {
                !self.tracker.is_zone_silent(zone) && !self.is_quarantined(now, origin)
            }
            Trials::Independent | Trials::None => false,
        }
    }

    /// Updates the connectivity state and reports changes.
    pub(super) fn update_connectivity(&mut self, now: Micros) {
        if !self.tracks_connectivity {
            return;
        }
        self.note_duplicate_names(now);
        self.schedule_views(now);
        let zones = self.zone_facts(now);
        let state_before = self.connectivity().clone();
        let lost_before = self.lost_zones(&zones);
        let probes = self.tracker.update(now, self.zone, &zones);
        self.relabel_departures(now, &zones, &lost_before);
        for (zone, count) in probes {
            self.probe_zone(now, zone, count);
        }
        if *self.connectivity() != state_before {
            self.note_connectivity();
        }
        self.next_tick = self.next_tick.min(self.tracker.next());
    }

    /// Reports names that two running members share.
    fn note_duplicate_names(&mut self, now: Micros) {
        let (members, me) = (&self.members, self.identity.address);
        let is_running = |at| at == me || members.contains_key(&at);
        for (name, addresses) in self.membership.confirm_duplicates(now, is_running) {
            self.effects
                .notes
                .push(Note::DuplicateName { name, addresses });
        }
    }

    /// Begins the next view interval if it is due.
    fn schedule_views(&mut self, now: Micros) {
        if now < self.next_view {
            return;
        }
        self.next_view = now + VIEW_INTERVAL;
        self.views_due = if self.connectivity().state == ConnectivityState::Connected {
            VIEWS_PER_INTERVAL
        } else {
            2 * VIEWS_PER_INTERVAL
        };
        self.membership.expire(now);
    }

    fn lost_zones(&self, zones: &[ZoneFacts]) -> Vec<bool> {
        let lost = zones
            .iter()
            .map(|zone| self.tracker.is_zone_lost(zone.zone));
        lost.collect()
    }

    /// Members lost along with a zone that has become unreachable count as unreachable. If the zone
    /// is heard again and none of its members is running, they count as failed.
    fn relabel_departures(&mut self, now: Micros, zones: &[ZoneFacts], lost_before: &[bool]) {
        for (facts, before) in zones.iter().zip(lost_before) {
            let (failed, unreachable) = (Departure::Failed, Departure::Unreachable);
            match (*before, self.tracker.is_zone_lost(facts.zone)) {
                (false, true) => {
                    let since = now - ZONE_LOSS_WINDOW;
                    self.membership
                        .relabel_departures(facts.zone, since, failed, unreachable);
                }
                (true, false) if facts.running == 0 => {
                    self.membership.relabel_departures(
                        facts.zone,
                        Micros::MIN,
                        unreachable,
                        failed,
                    );
                }
                _ => {}
            }
        }
    }

    fn note_connectivity(&mut self) {
        let connectivity = self.connectivity().clone();
        let zones = connectivity
            .unreachable_zones
            .iter()
            .map(|(zone, direction)| (self.zone_name(*zone), *direction))
            .collect();
        self.effects.notes.push(Note::Connectivity {
            connectivity,
            zones,
        });
    }

    fn zone_facts(&self, now: Micros) -> Vec<ZoneFacts> {
        let list_is_fresh = self
            .list_confirmed_at
            .is_some_and(|at| now - at < LIST_FRESHNESS);
        let mut zones = self.membership.members_by_zone();
        let own_zone = zones.entry(self.zone).or_default();
        (own_zone.0, own_zone.1) = (own_zone.0 + 1, own_zone.1 + 1);
        let facts = zones.into_iter().map(|(zone, (running, known))| {
            let endpoints_in_zone = || {
                self.endpoints_by_name
                    .values()
                    .filter(|l| self.endpoint_zones.get(&l.endpoint) == Some(&zone))
            };
            let (served, has_ready_endpoints) = if self.tracker.is_zone_silent(zone) {
                let process =
                    |l: &crate::effects::ObservedEndpoint| self.processes.get(&l.endpoint).copied();
                let served = endpoints_in_zone()
                    .filter_map(process)
                    .filter_map(|p: Process| self.own_observations.get(&p)?.last_served)
                    .max();
                (
                    served,
                    list_is_fresh.then(|| endpoints_in_zone().any(|l| l.ready)),
                )
            } else {
                (None, None)
            };
            ZoneFacts {
                zone,
                running,
                known,
                last_served: served,
                has_ready_endpoints,
            }
        });
        facts.collect()
    }

    pub(super) fn zone_name(&self, zone: u64) -> String {
        let entry = self.membership.entries().find(|(_, e)| e.zone == zone);
        entry.map_or_else(|| format!("{zone:016x}"), |(_, e)| e.member.zone.clone())
    }

    /// Returns whether the observations of this member are ignored because it flaps.
    pub(super) fn is_quarantined(&self, now: Micros, origin: u64) -> bool {
        self.tracks_connectivity && self.membership.is_quarantined(now, origin)
    }

    /// Returns the reason of the departure of a member that was lost just now.
    pub(super) fn departure_reason(&self, zone: u64) -> Departure {
        let is_isolated = self.connectivity().state == ConnectivityState::Isolated;
        if self.tracker.is_zone_lost(zone) || is_isolated {
            Departure::Unreachable
        } else {
            Departure::Failed
        }
    }
}
