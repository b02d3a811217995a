//! Derives the connectivity state of this member from zone contacts, views and its own timers.

use crate::connectivity::{Connectivity, ConnectivityState, Direction};
use crate::local_health::LocalHealth;
use crate::view_comparison::ViewComparison;
use crate::zone_contacts::ZoneContacts;
use crate::zone_reachability::{
    DOUBT_AFTER, LOST_AFTER, LOST_PROBE_INTERVAL, PROBE_INTERVAL, ProbeSchedule, RECOVERY_TIME,
    UNANSWERED_UNTIL_LOST, ZoneFacts, ZoneReachability,
};
use crate::{Micros, SECOND};
use std::collections::BTreeMap;

/// For this long after a zone was lost, another doubted zone counts for neither side, because it
/// may be part of the same partition.
const PARTITION_SETTLE_TIME: Micros = 2 * SECOND;

/// Tracks everything that the connectivity state depends on.
#[derive(Clone, Debug, Default)]
pub struct ConnectivityTracker {
    /// Which zones hear which.
    pub zone_contacts: ZoneContacts,
    /// Whether other members have the same membership view.
    pub view_comparison: ViewComparison,
    health: LocalHealth,
    /// Contacts before this instant are ignored: the start, or the end of a suspension.
    baseline: Micros,
    reachability: BTreeMap<u64, ZoneReachability>,
    probe_schedule: ProbeSchedule,
    /// `Some` while isolated; the inner value is since when another member is heard again.
    isolated: Option<Option<Micros>>,
    has_joined: bool,
    connectivity: Connectivity,
    next_update: Micros,
}

impl ConnectivityTracker {
    /// Creates a tracker that has not heard any member.
    pub fn new(now: Micros) -> Self {
        Self {
            baseline: now,
            isolated: Some(None),
            next_update: now,
            ..Self::default()
        }
    }

    /// Returns the state derived by the last update.
    pub fn connectivity(&self) -> &Connectivity {
        &self.connectivity
    }

    /// Returns whether a zone is unreachable and has not failed.
    pub fn is_zone_lost(&self, zone: u64) -> bool {
        self.reachability
            .get(&zone)
            .is_some_and(|z| z.lost_direction().is_some())
    }

    /// Returns whether a zone cannot be heard.
    pub fn is_zone_silent(&self, zone: u64) -> bool {
        self.reachability
            .get(&zone)
            .is_some_and(ZoneReachability::is_silent)
    }

    /// Returns when the next update is due.
    pub fn next(&self) -> Micros {
        self.next_update
    }

    /// Records that a timer due at `due` fired at `now`.
    pub fn record_wakeup(&mut self, now: Micros, due: Micros) {
        if self.health.record_wakeup(now, due) {
            self.baseline = now;
        }
    }

    /// Updates the state for a member of zone `own_zone`. Returns the zones to probe and the number
    /// of probes; `None` stands for any zone.
    pub fn update(
        &mut self,
        now: Micros,
        own_zone: u64,
        facts: &[ZoneFacts],
    ) -> Vec<(Option<u64>, usize)> {
        self.next_update = now + SECOND;
        let mut probes = Vec::new();
        if self.health.is_degraded() {
            // What seems to be missing may be this member's own fault, so earlier conclusions stay.
            self.baseline = now;
            self.connectivity.state = ConnectivityState::Degraded;
            return probes;
        }
        let total: usize = facts.iter().map(|z| z.known).sum();
        self.reachability
            .retain(|zone, _| facts.iter().any(|z| z.zone == *zone));
        let (mut lost_members, mut dead_members, mut doubted_members, mut lost_at) =
            (0, 0, 0, None);
        let mut unreachable_zones: Vec<(u64, Direction)> = Vec::new();
        for zone in facts.iter().filter(|z| z.zone != own_zone) {
            let reachability = self.reachability.entry(zone.zone).or_default();
            let assessment = reachability.assess(
                now,
                (own_zone, zone, total),
                &self.zone_contacts,
                self.baseline,
            );
            self.next_update = self.next_update.min(assessment.next_assessment);
            if assessment.probes > 0 {
                probes.push((Some(zone.zone), assessment.probes));
            }
            if let Some(direction) = reachability.lost_direction() {
                unreachable_zones.push((zone.zone, direction));
                lost_members += zone.known;
            }
            dead_members += if reachability.is_dead() {
                zone.known
            } else {
                0
            };
            doubted_members += if assessment.doubted { zone.known } else { 0 };
            lost_at = lost_at.max(reachability.lost_since());
        }
        let isolation_probes = self.update_isolation(now, total);
        if isolation_probes > 0 {
            probes.push((None, isolation_probes));
        }
        let state = match () {
            () if self.isolated.is_some() => ConnectivityState::Isolated,
            () if !unreachable_zones.is_empty() => ConnectivityState::Partitioned,
            () if self.view_comparison.is_divergent(now) => ConnectivityState::Divergent,
            () => ConnectivityState::Connected,
        };
        if lost_at.is_none_or(|at| now - at >= PARTITION_SETTLE_TIME) {
            doubted_members = 0;
        }
        let reachable_members = total.saturating_sub(lost_members + dead_members + doubted_members);
        let on_larger_side = (state == ConnectivityState::Partitioned)
            .then_some(2 * reachable_members > total.saturating_sub(dead_members));
        self.connectivity = Connectivity {
            state,
            unreachable_zones,
            on_larger_side,
        };
        probes
    }

    /// Updates whether any other member is heard. Returns the number of probes to send.
    fn update_isolation(&mut self, now: Micros, total: usize) -> usize {
        if total <= 1 {
            // There is no other member.
            self.isolated.get_or_insert(None);
            return 0;
        }
        let age = now
            - self
                .zone_contacts
                .last_any_contact()
                .unwrap_or(self.baseline)
                .max(self.baseline);
        if age <= DOUBT_AFTER && self.zone_contacts.last_any_contact().is_some() {
            self.probe_schedule.unanswered = 0;
            self.isolated = match self.isolated {
                // A member that has just started does not have to be heard for the recovery time
                // first.
                Some(_) if !self.has_joined => None,
                Some(None) => Some(Some(now)),
                Some(Some(since)) if now - since >= RECOVERY_TIME => None,
                unchanged => unchanged,
            };
            self.has_joined = true;
            return 0;
        }
        self.next_update = self.next_update.min(now + PROBE_INTERVAL / 2);
        if age >= LOST_AFTER && self.probe_schedule.unanswered >= UNANSWERED_UNTIL_LOST {
            self.isolated = Some(None);
        }
        if !self.has_joined {
            return 0;
        }
        self.probe_schedule.start_round(
            now,
            if self.isolated.is_some() {
                LOST_PROBE_INTERVAL
            } else {
                PROBE_INTERVAL
            },
        )
    }
}
