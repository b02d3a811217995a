//! Load ratio of the fleet: the latency of answers and of attempts in flight compared with the
//! unloaded latency.

use super::latency::MAX_MEAN_SLOWDOWN;
use super::latency_group::LatencyGroup;
use crate::api::{Micros, Timestamp};

/// Estimate of the fleet's load ratio.
pub struct LoadEstimate {
    window: Micros,
    attempts: LatencyGroup,
}

impl LoadEstimate {
    /// Creates an estimate over a window.
    pub fn new(window: Micros) -> Self {
        Self {
            window,
            attempts: LatencyGroup::default(),
        }
    }

    /// Returns the current latency divided by the unloaded latency.
    pub fn ratio(&self) -> f64 {
        self.attempts.slowdown()
    }

    /// Records an answer that took `ratio` unloaded latencies.
    pub fn record_answer(&mut self, now: Timestamp, ratio: f64) {
        self.attempts
            .record(now, ratio.min(MAX_MEAN_SLOWDOWN), true, self.window);
    }

    /// Updates the ratio.
    pub fn refresh(&mut self, now: Timestamp) {
        self.attempts.refresh(now, self.window);
    }

    /// Returns the ratio above which an attempt in flight indicates a fault of its endpoint, not
    /// load.
    pub fn max_in_flight_ratio(&self) -> f64 {
        MAX_MEAN_SLOWDOWN * self.ratio()
    }

    /// Counts an attempt in flight that has taken `ratio` unloaded latencies so far.
    pub fn add_in_flight(&mut self, ratio: f64) {
        self.attempts
            .add_in_flight(ratio.clamp(0.0, MAX_MEAN_SLOWDOWN));
    }
}

impl super::Balancer {
    /// Updates the slowdown of each group compared with its kinds, and of the fleet compared with
    /// its unloaded latency.
    pub(super) fn refresh_estimates(&mut self, now: Timestamp) {
        let unloaded = self
            .latency_estimator
            .unloaded(self.work_estimate.objective_use());
        self.load_estimate.refresh(now);
        let max_ratio = self.load_estimate.max_in_flight_ratio();
        for endpoint in &self.endpoints {
            if endpoint.in_flight.is_empty() {
                continue;
            }
            let usual = self.latency_estimator.for_kind(endpoint.kind);
            let unanswered = endpoint
                .in_flight
                .iter()
                .filter(|attempt| !attempt.streaming);
            let slowdowns =
                unanswered.map(|attempt| attempt.elapsed(now) / (attempt.work * usual).max(1.0));
            self.latency_estimator
                .add_in_flight(endpoint.cell, slowdowns.clone());
            if !endpoint.circuit.is_closed() {
                continue;
            }
            for slowdown in slowdowns {
                let ratio = slowdown * self.latency_estimator.fleet() / unloaded;
                if ratio < max_ratio {
                    self.load_estimate.add_in_flight(ratio);
                }
            }
        }
        self.latency_estimator.refresh(now);
        self.load_estimate.refresh(now);
    }
}
