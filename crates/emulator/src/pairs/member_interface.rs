//! Today's gossip interface, under the names that `pairs/recorder/member.rs` uses.

pub use load_balancer_gossip::core::{Core, Effects, Listed};
use load_balancer_gossip::health_status::EjectionStatus;
use load_balancer_gossip::observation_table::ObservedHealth;
pub use load_balancer_gossip::section::FleetSection;

/// Switches on what is off by default.
pub fn prepare(section: &mut FleetSection) {
    section.connectivity.enabled = true;
}

/// Has a message part carried to all.
pub fn carry(core: &mut Core, now: i64, kind: u8, bytes: &[u8]) {
    // A part that is refused reaches nobody, which the reader of the answers sees.
    let _ = core.carry(now, kind, bytes);
}

/// What was carried here: kind and content of each part.
pub fn carried(effects: &Effects) -> Vec<(u8, Vec<u8>)> {
    let parts = effects.carried.iter();
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
