//! What gossip from other members does to decisions, what it must not do, and how keys find their
//! endpoints.

#[path = "../common/mod.rs"]
mod common;

mod affinity;
mod ejection;
mod health_reports;
mod staleness;

use common::*;
use load_balancer::*;

const SECOND: Micros = 1000 * MS;

/// Ends whatever is out at an endpoint.
fn end_at(harness: &mut Harness, endpoint: EndpointId, outcome: Outcome) -> Vec<Action> {
    let there: Vec<_> = harness
        .in_flight
        .iter()
        .filter(|(_, o)| o.endpoint == endpoint)
        .map(|(key, _)| *key)
        .collect();
    there
        .into_iter()
        .flat_map(|(id, attempt)| harness.finish(id, attempt, outcome))
        .collect()
}

fn ejection(endpoint: EndpointId, status: EjectionStatus, until: Micros) -> Event {
    Event::Ejections(vec![EjectionUpdate {
        endpoint,
        status,
        expires: until,
    }])
}

fn sharing(peer_health: bool, affinity_slack: f64) -> SharingOptions {
    SharingOptions {
        peer_health,
        affinity_slack,
    }
}
