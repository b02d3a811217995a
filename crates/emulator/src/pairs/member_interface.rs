//! Today's gossip interface, under the names that `pairs/recorder/member.rs` uses.

use load_balancer_gossip::core::ObservedEndpoint;
pub use load_balancer_gossip::core::{Core, Effects};
use load_balancer_gossip::health_status::EjectionStatus;
use load_balancer_gossip::observation_table::ObservedHealth;
pub use load_balancer_gossip::section::FleetSection;
use std::net::SocketAddr;

/// Switches on what is off by default.
pub fn prepare(section: &mut FleetSection) {
    section.connectivity.enabled = true;
}

/// Replaces the endpoint list by ready endpoints of these names, numbered in their order.
pub fn set_endpoints<'a>(core: &mut Core, now: i64, names: impl Iterator<Item = &'a str>) {
    let endpoints = names.enumerate().map(|(endpoint, name)| ObservedEndpoint {
        endpoint,
        name: name.to_owned(),
        started: None,
        ready: true,
    });
    core.set_endpoints(now, endpoints.collect());
}

/// Handles a received datagram.
pub fn handle_datagram(core: &mut Core, now: i64, from: SocketAddr, bytes: &[u8]) {
    core.handle_datagram(now, from, bytes);
}

/// Returns the effects of the calls since the last time.
pub fn take_effects(core: &mut Core) -> Effects {
    core.take_effects()
}

/// The datagrams to send, with their destinations.
pub fn datagrams(effects: &Effects) -> &[(SocketAddr, Vec<u8>)] {
    &effects.datagrams
}

/// Datagrams received, new observations received, and what was dropped by reason.
pub fn counts(core: &Core) -> (u64, u64, Vec<u64>) {
    let counts = core.counts();
    (
        counts.received,
        counts.observations_received,
        counts.dropped.to_vec(),
    )
}

/// Has a message part carried to all.
pub fn carry(core: &mut Core, now: i64, kind: u8, bytes: &[u8]) {
    // A part that is refused reaches nobody, which the reader of the answers sees.
    let _ = core.broadcast_fragment(now, kind, bytes);
}

/// What was carried here: kind and content of each part.
pub fn carried(effects: &Effects) -> Vec<(u8, Vec<u8>)> {
    let parts = effects.fragments.iter();
    parts.map(|part| (part.kind, part.bytes.clone())).collect()
}

/// One attempt at an endpoint was served, or was not.
pub fn observe(core: &mut Core, now: i64, endpoint: usize, served: bool) {
    let health = if served {
        ObservedHealth::Healthy
    } else {
        ObservedHealth::Unhealthy
    };
    core.observe(now, endpoint, health);
}

/// What observations come to for the decision module: endpoint and status, as recordings name it.
pub fn ejections(effects: &Effects) -> Vec<(usize, String)> {
    let name = |status| match status {
        EjectionStatus::NotEjected => "No",
        EjectionStatus::Ejected => "Yes",
        EjectionStatus::TrialDue => "Trial",
        EjectionStatus::Recovered => "Over",
    };
    let updates = effects.ejections.iter();
    updates
        .map(|update| (update.endpoint, name(update.status).to_owned()))
        .collect()
}
