//! How crowded the fleet is: the latency of answers and of what is in flight against the unloaded
//! latency.

use super::latency::MAX_STRETCH;
use super::latency_group::LatencyGroup;
use crate::api::{Micros, Timestamp};

/// The load ratio of the fleet.
pub struct LoadEstimate {
    window: Micros,
    attempts: LatencyGroup,
}

impl LoadEstimate {
    /// Looks back over a window.
    pub fn new(window: Micros) -> Self {
        Self {
            window,
            attempts: LatencyGroup::default(),
        }
    }

    /// Latency now against that without load.
    pub fn ratio(&self) -> f64 {
        self.attempts.slowdown()
    }

    /// Takes an answer that took this many unloaded latencies.
    pub fn record_answer(&mut self, now: Timestamp, ratio: f64) {
        self.attempts
            .record(now, ratio.min(MAX_STRETCH), true, self.window);
    }

    /// Brings the ratio up to date.
    pub fn refresh(&mut self, now: Timestamp) {
        self.attempts.refresh(now, self.window);
    }

    /// Beyond this ratio an attempt in flight tells of its endpoint, not of load.
    pub fn max_in_flight_ratio(&self) -> f64 {
        MAX_STRETCH * self.ratio()
    }

    /// Counts an attempt in flight that has taken this many unloaded latencies so far.
    pub fn add_in_flight(&mut self, ratio: f64) {
        self.attempts.add_in_flight(ratio.clamp(0.0, MAX_STRETCH));
    }
}

impl super::Balancer {
    /// Brings up to date how slow each group of endpoints is against their kinds, and the fleet
    /// against no load.
    pub(super) fn refresh_estimates(&mut self, now: Timestamp) {
        let unloaded = self.latency.unloaded(self.work.objective_use());
        self.load.refresh(now);
        let max_ratio = self.load.max_in_flight_ratio();
        for endpoint in &self.endpoints {
            if endpoint.in_flight.is_empty() {
                continue;
            }
            let usual = self.latency.of_kind(endpoint.kind);
            let unanswered = endpoint
                .in_flight
                .iter()
                .filter(|attempt| !attempt.streaming);
            let slowdowns =
                unanswered.map(|attempt| attempt.elapsed(now) / (attempt.work * usual).max(1.0));
            self.latency.add_in_flight(endpoint.cell, slowdowns.clone());
            if !endpoint.circuit.is_closed() {
                continue;
            }
            for slowdown in slowdowns {
                let ratio = slowdown * self.latency.fleet() / unloaded;
                if ratio < max_ratio {
                    self.load.add_in_flight(ratio);
                }
            }
        }
        self.latency.refresh(now);
        self.load.refresh(now);
    }
}
