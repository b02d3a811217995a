//! Concludes the connectivity state of this member from everything that it tracks.

use crate::connectivity::{Connectivity, ConnectivityState, Direction};
use crate::local_health::LocalHealth;
use crate::view_comparison::ViewComparison;
use crate::zone_contacts::ZoneContacts;
use crate::zone_reachability::{
    ASKED, DOUBT, FOUND, LOST, ProbeSchedule, ROUND, ROUND_LOST, ZoneFacts, ZoneReachability,
};
use crate::{Micros, SECOND};
use std::collections::BTreeMap;

/// For so long after a zone was lost, one that is doubted counts for neither side: it may be the
/// same cut.
const UNSETTLED: Micros = 2 * SECOND;

/// Follows what is heard.
#[derive(Clone, Debug, Default)]
pub struct ConnectivityTracker {
    /// Who hears whom.
    pub heard: ZoneContacts,
    /// Whether others see the same.
    pub views: ViewComparison,
    health: LocalHealth,
    /// Nothing before this says anything: the start, or the end of a stop.
    baseline: Micros,
    zones: BTreeMap<u64, ZoneReachability>,
    asking: ProbeSchedule,
    /// Nobody is heard; since when somebody is again.
    isolated: Option<Option<Micros>>,
    joined: bool,
    connectivity: Connectivity,
    next: Micros,
}

impl ConnectivityTracker {
    /// Begins; nobody has been heard.
    pub fn new(now: Micros) -> Self {
        Self {
            baseline: now,
            isolated: Some(None),
            next: now,
            ..Self::default()
        }
    }

    /// The connectivity state that was concluded last.
    pub fn connectivity(&self) -> &Connectivity {
        &self.connectivity
    }

    /// A zone is lost, and did not die.
    pub fn lost(&self, zone: u64) -> bool {
        self.zones.get(&zone).is_some_and(|z| z.lost().is_some())
    }

    /// A zone is not heard.
    pub fn silent(&self, zone: u64) -> bool {
        self.zones.get(&zone).is_some_and(ZoneReachability::silent)
    }

    /// When it is to be looked at next.
    pub fn next(&self) -> Micros {
        self.next
    }

    /// A timer runs that was due then.
    pub fn woke(&mut self, now: Micros, due: Micros) {
        if self.health.woke(now, due) {
            self.baseline = now;
        }
    }

    /// Looks at all zones for a member of zone `here`. Back come zones to be asked, by how many
    /// probes; none is any zone.
    pub fn step(
        &mut self,
        now: Micros,
        here: u64,
        zones: &[ZoneFacts],
    ) -> Vec<(Option<u64>, usize)> {
        self.next = now + SECOND;
        let mut asks = Vec::new();
        if self.health.degraded() {
            // What it misses may be its own fault: what it held before it goes on to hold.
            self.baseline = now;
            self.connectivity.kind = ConnectivityState::Degraded;
            return asks;
        }
        let all: usize = zones.iter().map(|z| z.known).sum();
        self.zones
            .retain(|zone, _| zones.iter().any(|z| z.zone == *zone));
        let (mut there, mut died, mut doubted, mut lost_at) = (0, 0, 0, None);
        let mut cut: Vec<(u64, Direction)> = Vec::new();
        for z in zones.iter().filter(|z| z.zone != here) {
            let followed = self.zones.entry(z.zone).or_default();
            let looked = followed.look(now, (here, z, all), &self.heard, self.baseline);
            self.next = self.next.min(looked.next);
            if looked.ask > 0 {
                asks.push((Some(z.zone), looked.ask));
            }
            if let Some(direction) = followed.lost() {
                cut.push((z.zone, direction));
                there += z.known;
            }
            died += if followed.died() { z.known } else { 0 };
            doubted += if looked.doubted { z.known } else { 0 };
            lost_at = lost_at.max(followed.at());
        }
        let ask = self.anybody(now, all);
        if ask > 0 {
            asks.push((None, ask));
        }
        let kind = match () {
            () if self.isolated.is_some() => ConnectivityState::Isolated,
            () if !cut.is_empty() => ConnectivityState::Partitioned,
            () if self.views.divergent(now) => ConnectivityState::Divergent,
            () => ConnectivityState::Connected,
        };
        if lost_at.is_none_or(|at| now - at >= UNSETTLED) {
            doubted = 0;
        }
        let heard = all.saturating_sub(there + died + doubted);
        let larger = (kind == ConnectivityState::Partitioned)
            .then_some(2 * heard > all.saturating_sub(died));
        self.connectivity = Connectivity { kind, cut, larger };
        asks
    }

    /// Looks whether anybody is heard; how many are to be asked.
    fn anybody(&mut self, now: Micros, all: usize) -> usize {
        if all <= 1 {
            // There is nobody else.
            self.isolated.get_or_insert(None);
            return 0;
        }
        let age = now - self.heard.any().unwrap_or(self.baseline).max(self.baseline);
        if age <= DOUBT && self.heard.any().is_some() {
            self.asking.asked = 0;
            self.isolated = match self.isolated {
                // Who has just come need not prove that it was found again.
                Some(_) if !self.joined => None,
                Some(None) => Some(Some(now)),
                Some(Some(since)) if now - since >= FOUND => None,
                as_it_is => as_it_is,
            };
            self.joined = true;
            return 0;
        }
        self.next = self.next.min(now + ROUND / 2);
        if age >= LOST && self.asking.asked >= ASKED {
            self.isolated = Some(None);
        }
        if !self.joined {
            return 0;
        }
        self.asking.round(
            now,
            if self.isolated.is_some() {
                ROUND_LOST
            } else {
                ROUND
            },
        )
    }
}
