//! Weighted round robin: which endpoint is next, and what a pick costs it.

use super::endpoint::Endpoint;
use crate::api::*;

/// Bounds of the factor by which latency changes the weight of an endpoint.
const MIN_LATENCY_FACTOR: f64 = 0.05;
const MAX_LATENCY_FACTOR: f64 = 2.0;
/// Exponent of the latency ratio in the weight. Overloaded endpoints that are three times slower
/// need to recover, and a third of their picks would keep them just as busy.
const LATENCY_EXPONENT: i32 = 2;

/// The endpoints in a rotation order that differs between instances.
#[derive(Default)]
pub struct WeightedRoundRobin {
    order: Vec<EndpointId>,
}

/// Parameters for picks by affinity, which may be out of rotation order.
#[derive(Clone, Copy)]
pub struct AffinityAccounting {
    /// Sum of the weights of the endpoints in the subset.
    pub total_weight: f64,
    /// Lower bound of deficits.
    pub min_deficit: f64,
}

impl WeightedRoundRobin {
    /// Adds an endpoint at a random position.
    pub fn insert(&mut self, id: EndpointId, rng: &mut fastrand::Rng) {
        self.order.insert(rng.usize(..=self.order.len()), id);
    }

    /// Removes the endpoints for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.order.retain(|id| keep(*id));
    }

    /// Returns the number of endpoints in the rotation, ready or not.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns the endpoints in rotation order.
    pub fn iter(&self) -> impl Iterator<Item = EndpointId> {
        self.order.iter().copied()
    }
}

/// Records a pick in rotation order: time advances to the pick. The deficits of the other endpoints
/// shrink by their current weights; a schedule fixed at the last pick would rely on estimates that
/// are one round old, which may be seconds.
pub fn advance(endpoints: &mut [Endpoint], weights: &[f64], picked: EndpointId) {
    let elapsed = endpoints[picked].deficit / weights[picked];
    for (endpoint, weight) in endpoints.iter_mut().zip(weights) {
        endpoint.deficit = (endpoint.deficit - elapsed * weight).max(0.0);
    }
    endpoints[picked].deficit = 1.0;
}

/// Records a pick by affinity, possibly out of rotation order: each pick adds one to the deficit of
/// its endpoint and reduces the deficits of all by one in total, in proportion to their weights.
pub fn settle(
    endpoints: &mut [Endpoint],
    weights: &[f64],
    picked: EndpointId,
    accounting: AffinityAccounting,
) {
    for (endpoint, weight) in endpoints.iter_mut().zip(weights) {
        let credit = weight / accounting.total_weight.max(*weight);
        endpoint.deficit = (endpoint.deficit - credit).max(accounting.min_deficit);
    }
    endpoints[picked].deficit += 1.0;
}

impl super::Balancer {
    /// Returns the relative weight of an endpoint: its size, reduced while it is warming up or
    /// slower than the fleet.
    pub(super) fn weight(&self, now: Timestamp, endpoint: &Endpoint) -> f64 {
        let speed =
            self.latency_estimator.fleet() / self.latency_estimator.for_endpoint(now, endpoint);
        let factor = speed
            .powi(LATENCY_EXPONENT)
            .clamp(MIN_LATENCY_FACTOR, MAX_LATENCY_FACTOR);
        endpoint.size * self.slow_start.capacity(now, endpoint) * factor
    }

    /// Returns the sum of the weights of the endpoints in the subset that receive traffic.
    pub(super) fn total_weight(&self, now: Timestamp) -> f64 {
        let available = || {
            self.endpoints
                .iter()
                .filter(|endpoint| endpoint.takes_traffic())
        };
        let subset_fraction = (self.subset_size(now) / available().count() as f64).min(1.0);
        let weights = available().map(|endpoint| self.weight(now, endpoint));
        weights.sum::<f64>() * subset_fraction
    }

    /// Records a pick in the rotation.
    pub(super) fn record_pick(&mut self, now: Timestamp, picked: EndpointId) {
        let weights: Vec<f64> = self
            .endpoints
            .iter()
            .map(|endpoint| self.weight(now, endpoint))
            .collect();
        if self.affinity.is_in_use() {
            let accounting = AffinityAccounting {
                total_weight: self.total_weight(now),
                min_deficit: self.affinity.min_deficit(),
            };
            settle(&mut self.endpoints, &weights, picked, accounting);
        } else {
            advance(&mut self.endpoints, &weights, picked);
        }
    }
}
