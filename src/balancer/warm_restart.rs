//! State that is restored after a restart, and its export for the next one.

use super::Balancer;
use super::decayed_sum::decay_factor;
use super::endpoint::Endpoint;
use crate::api::*;

impl RestoredEndpoint {
    fn is_plausible(&self, now: Timestamp) -> bool {
        let latency = self.latency_per_work;
        self.last_outcome_at <= now
            && latency > 0.0
            && (latency + self.concurrency_limit).is_finite()
    }

    /// Returns whether the state belongs to the current process and nothing has been sent to it
    /// since.
    fn is_about(&self, endpoint: &Endpoint) -> bool {
        endpoint.known
            && endpoint.started == self.started
            && endpoint.last_sent_at < self.last_outcome_at
    }
}

impl Balancer {
    /// Restores the state of endpoints from before a restart, with the age of its observations. An
    /// open circuit is restored as half-open; latencies and limits decay as usual.
    pub(super) fn restore(&mut self, now: Timestamp, endpoints: Vec<RestoredEndpoint>) {
        let mut healthy = 0.0;
        for restored in endpoints
            .into_iter()
            .filter(|known| known.is_plausible(now))
        {
            let endpoint = self.endpoints.get_mut(restored.endpoint);
            let Some(endpoint) = endpoint.filter(|endpoint| restored.is_about(endpoint)) else {
                continue;
            };
            let decay = decay_factor(now, restored.last_outcome_at, self.time_constant);
            endpoint
                .bulkhead
                .restore(restored.concurrency_limit, decay, self.initial_limit);
            endpoint.latency.per_work = restored.latency_per_work;
            endpoint.last_outcome_at = restored.last_outcome_at;
            endpoint.last_sent_at = restored.last_outcome_at;
            if restored.circuit_open {
                endpoint.circuit.restore_half_open(now, restored.openings);
            } else if self.latency_estimator.has_no_answers() {
                healthy += 1.0;
                self.latency_estimator
                    .restore(restored.latency_per_work, healthy);
            }
        }
    }

    /// Exports the state of listed endpoints that were sent something in this run or an earlier
    /// one. Its time is that of the last outcome, so that state passed on from run to run keeps its
    /// age.
    pub fn export(&self) -> Vec<RestoredEndpoint> {
        let endpoints = self.endpoints.iter().enumerate();
        endpoints
            .filter(|(_, endpoint)| endpoint.listed && endpoint.last_sent_at > 0)
            .map(|(id, endpoint)| RestoredEndpoint {
                endpoint: id,
                started: endpoint.started,
                last_outcome_at: endpoint.last_outcome_at,
                circuit_open: !endpoint.circuit.is_closed(),
                openings: endpoint.circuit.openings(),
                latency_per_work: endpoint.latency.per_work,
                concurrency_limit: endpoint.bulkhead.limit(),
            })
            .collect()
    }
}
