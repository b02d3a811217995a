//! Weighted round robin: which endpoint is next, and what a pick costs it.

use super::endpoint::Endpoint;
use crate::api::*;

/// How much of its weight an endpoint loses and gains at most by its latency.
const MIN_LATENCY_FACTOR: f64 = 0.05;
const MAX_LATENCY_FACTOR: f64 = 2.0;
/// Power of the latency ratio in the weight: overloaded endpoints at a third of their speed need to
/// recover, and a third of their picks would keep them just as busy.
const LATENCY_EXPONENT: i32 = 2;

/// The endpoints in an order of this instance's own.
#[derive(Default)]
pub struct WeightedRoundRobin {
    order: Vec<EndpointId>,
}

/// How much an affinity may set endpoints ahead and back.
#[derive(Clone, Copy)]
pub struct OutOfTurn {
    /// Weight of all endpoints of the subset.
    pub total_weight: f64,
    /// Least deficit.
    pub min_deficit: f64,
}

impl WeightedRoundRobin {
    /// Adds an endpoint at a random position.
    pub fn insert(&mut self, id: EndpointId, rng: &mut fastrand::Rng) {
        self.order.insert(rng.usize(..=self.order.len()), id);
    }

    /// Keeps the endpoints that hold.
    pub fn retain(&mut self, holds: impl Fn(EndpointId) -> bool) {
        self.order.retain(|id| holds(*id));
    }

    /// Endpoints in rotation, ready or not.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// The endpoints in rotation order.
    pub fn iter(&self) -> impl Iterator<Item = EndpointId> {
        self.order.iter().copied()
    }
}

/// An endpoint was picked in turn: time passes on to its turn. What the others lack shrinks by
/// their weights of now, as a turn fixed at the last send would come by what was known a round ago,
/// which may be seconds.
pub fn advance(endpoints: &mut [Endpoint], weights: &[f64], picked: EndpointId) {
    let passed = endpoints[picked].deficit / weights[picked];
    for (endpoint, weight) in endpoints.iter_mut().zip(weights) {
        endpoint.deficit = (endpoint.deficit - passed * weight).max(0.0);
    }
    endpoints[picked].deficit = 1.0;
}

/// An endpoint was picked by an affinity, maybe out of turn: deficits are accounts, from which each
/// send takes one, which all endpoints are given by their weights.
pub fn settle(endpoints: &mut [Endpoint], weights: &[f64], picked: EndpointId, by: OutOfTurn) {
    for (endpoint, weight) in endpoints.iter_mut().zip(weights) {
        let given = weight / by.total_weight.max(*weight);
        endpoint.deficit = (endpoint.deficit - given).max(by.min_deficit);
    }
    endpoints[picked].deficit += 1.0;
}

impl super::Balancer {
    /// An endpoint's part of the picks: its size, less while it is warming up or slower than the
    /// fleet.
    pub(super) fn weight(&self, now: Timestamp, endpoint: &Endpoint) -> f64 {
        let speed = self.latency.fleet() / self.latency.of_endpoint(now, endpoint);
        let factor = speed
            .powi(LATENCY_EXPONENT)
            .clamp(MIN_LATENCY_FACTOR, MAX_LATENCY_FACTOR);
        endpoint.size * self.slow_start.capacity(now, endpoint) * factor
    }

    /// The weights of the endpoints of the subset, as far as they take traffic.
    pub(super) fn total_weight(&self, now: Timestamp) -> f64 {
        let open = || {
            self.endpoints
                .iter()
                .filter(|endpoint| endpoint.takes_traffic())
        };
        let part = (self.subset_size(now) / open().count() as f64).min(1.0);
        let weights = open().map(|endpoint| self.weight(now, endpoint));
        weights.sum::<f64>() * part
    }

    /// Takes a pick into the rotation.
    pub(super) fn record_pick(&mut self, now: Timestamp, picked: EndpointId) {
        let weights: Vec<f64> = self
            .endpoints
            .iter()
            .map(|endpoint| self.weight(now, endpoint))
            .collect();
        if self.affinity.is_in_use() {
            let by = OutOfTurn {
                total_weight: self.total_weight(now),
                min_deficit: self.affinity.min_deficit(),
            };
            settle(&mut self.endpoints, &weights, picked, by);
        } else {
            advance(&mut self.endpoints, &weights, picked);
        }
    }
}
