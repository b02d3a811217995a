//! What is known again after a restart, and what is exported for the next one.

use super::Balancer;
use super::decayed_sum::part_left;
use super::endpoint::Endpoint;
use crate::api::*;

impl RestoredEndpoint {
    fn is_plausible(&self, now: Timestamp) -> bool {
        let latency = self.latency_per_work;
        self.last_heard <= now && latency > 0.0 && (latency + self.concurrency_limit).is_finite()
    }

    /// Whether it is about the process that is there now, which has been sent nothing since.
    fn is_about(&self, endpoint: &Endpoint) -> bool {
        endpoint.known && endpoint.started == self.started && endpoint.last_sent < self.last_heard
    }
}

impl Balancer {
    /// Takes in what was known before a restart as observations of their age. An open circuit comes
    /// back half-open; latency and limits fade as any do.
    pub(super) fn restore(&mut self, now: Timestamp, known: Vec<RestoredEndpoint>) {
        let mut well = 0.0;
        for restored in known.into_iter().filter(|known| known.is_plausible(now)) {
            let endpoint = self.endpoints.get_mut(restored.endpoint);
            let Some(endpoint) = endpoint.filter(|endpoint| restored.is_about(endpoint)) else {
                continue;
            };
            let left = part_left(now, restored.last_heard, self.memory);
            endpoint
                .bulkhead
                .restore(restored.concurrency_limit, left, self.initial_limit);
            endpoint.latency.per_work = restored.latency_per_work;
            endpoint.last_heard = restored.last_heard;
            endpoint.last_sent = restored.last_heard;
            if restored.circuit_open {
                endpoint.circuit.restore_half_open(now, restored.openings);
            } else if self.latency.is_blank() {
                well += 1.0;
                self.latency.restore(restored.latency_per_work, well);
            }
        }
    }

    /// What is known of listed endpoints, for after a restart: of those that were sent something,
    /// in this run or one before. The time is that of the last outcome, so that what is handed on
    /// from run to run grows no younger.
    pub fn export(&self) -> Vec<RestoredEndpoint> {
        let endpoints = self.endpoints.iter().enumerate();
        endpoints
            .filter(|(_, endpoint)| endpoint.listed && endpoint.last_sent > 0)
            .map(|(id, endpoint)| RestoredEndpoint {
                endpoint: id,
                started: endpoint.started,
                last_heard: endpoint.last_heard,
                circuit_open: !endpoint.circuit.is_closed(),
                openings: endpoint.circuit.openings(),
                latency_per_work: endpoint.latency.per_work,
                concurrency_limit: endpoint.bulkhead.limit(),
            })
            .collect()
    }
}
