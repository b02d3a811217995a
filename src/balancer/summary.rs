//! A summary of an instance's state for metrics. Reading it changes nothing.

use super::Balancer;
use super::endpoint::Endpoint;
use crate::api::*;

impl Balancer {
    /// Returns the current summary.
    pub fn summary(&self) -> BalancerSummary {
        let listed = || self.endpoints.iter().filter(|endpoint| endpoint.listed);
        let count = |predicate: fn(&&Endpoint) -> bool| listed().filter(predicate).count();
        BalancerSummary {
            listed: listed().count(),
            ready: count(|endpoint| endpoint.ready),
            circuits_open: count(|endpoint| !endpoint.circuit.is_closed()),
            ejected: count(|endpoint| endpoint.ejection.is_some()),
            queued: self.queue.len(),
            timers: self.timers.len(),
            given_up: self.log.given_up_since_start(),
        }
    }

    /// Returns whether any state is held for this endpoint. An id that is not known may be reused
    /// for another endpoint.
    pub fn is_known(&self, endpoint: EndpointId) -> bool {
        let endpoint = self.endpoints.get(endpoint);
        endpoint.is_some_and(|endpoint| endpoint.known)
    }
}
