//! How slow endpoints, their groups and the fleet are against calm. Changes with how pace is measured.

use crate::state::*;

/// Part of the aim that a call takes in calm at least: a fleet slow for good but well inside it is no crowd.
pub(crate) const CALM: f64 = 0.14;
/// The most that one attempt counts in the pace of a group.
pub(crate) const MOST_RATIO: f64 = 8.0;
/// What a call may take on average: a part of the aim (one in twenty takes three times the mean where times
/// spread like waits in a queue), and a multiple of the fleet's bare slowness. What is out for longer than
/// that multiple of the pace of answers tells of its server, not of a crowd.
pub(crate) const TARGET: f64 = 0.35;
pub(crate) const STRETCH: f64 = 3.6;

impl Balancer {
    /// Time that an endpoint takes for a unit of work: what its own answers say, and as they grow old what
    /// those of its whole kind and group say. One sidecar in many sees too little of each to tell them apart.
    pub(crate) fn slow(&self, now: Micros, e: &Endpoint) -> f64 {
        let kind = self
            .fleet
            .kinds
            .get(&e.kind)
            .map_or(self.fleet.slow, |k| k.0);
        let usual = kind * self.fleet.groups.get(&e.cell).map_or(1.0, |g| g.pace);
        usual + (e.slow - usual) * left_of(now, e.heard, self.memory)
    }

    /// Time for a unit of work in calm.
    pub(crate) fn calm(&self) -> f64 {
        self.fleet.bare.max(CALM / self.fleet.aim_use)
    }

    /// How slow each group of endpoints is against their kinds, and the fleet against calm.
    pub(crate) fn pace_groups(&mut self, now: Micros) {
        let (calm, window) = (self.calm(), self.set.longest_aim());
        let Fleet {
            groups,
            kinds,
            slow,
            crowd,
            ..
        } = &mut self.fleet;
        crowd.reckon(now, window);
        let far = STRETCH * crowd.pace;
        for e in self.endpoints.iter().filter(|e| !e.flights.is_empty()) {
            let usual = kinds.get(&e.kind).map_or(*slow, |k| k.0);
            let so_far = |f: &Flight| now.saturating_sub(f.sent) as f64 / (f.work * usual).max(1.0);
            let group = groups.entry(e.cell).or_default();
            for so_far in e.flights.iter().filter(|f| !f.streaming).map(so_far) {
                group.out += so_far.clamp(0.0, MOST_RATIO);
                let ratio = so_far * *slow / calm;
                let counts = e.circuit == Circuit::Closed && ratio < far;
                crowd.out += f64::from(counts) * ratio.clamp(0.0, STRETCH);
            }
        }
        groups.values_mut().for_each(|g| g.reckon(now, self.memory));
        crowd.reckon(now, window);
    }
}
