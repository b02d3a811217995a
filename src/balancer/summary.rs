//! The figures of an instance, for whoever measures it. Reading them changes nothing.

use super::Balancer;
use super::endpoint::Endpoint;
use crate::api::*;

impl Balancer {
    /// Its figures now.
    pub fn summary(&self) -> BalancerSummary {
        let listed = || self.endpoints.iter().filter(|endpoint| endpoint.listed);
        let count = |holds: fn(&&Endpoint) -> bool| listed().filter(holds).count();
        BalancerSummary {
            listed: listed().count(),
            ready: count(|endpoint| endpoint.ready),
            circuits_open: count(|endpoint| !endpoint.circuit.is_closed()),
            ejected: count(|endpoint| endpoint.ejection.is_some()),
            queued: self.queue.len(),
            given_up: self.log.given_up_since_start(),
        }
    }

    /// Whether anything is remembered of this endpoint. The number of one that is not known may be
    /// given to another.
    pub fn knows(&self, endpoint: EndpointId) -> bool {
        let endpoint = self.endpoints.get(endpoint);
        endpoint.is_some_and(|endpoint| endpoint.known)
    }
}
