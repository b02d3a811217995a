//! The gossip interface of pinned revisions with connectivity state and carried message parts, under the names that
//! `member.rs` uses.

pub use linenproxy_fleet::core::{Core, Effects, Listed};
pub use linenproxy_fleet::evidence::Sign;
pub use linenproxy_fleet::section::FleetSection;

/// Switches on what is off by default.
pub fn prepare(section: &mut FleetSection) {
    section.standing.enabled = true;
}

/// Has a message part carried to all.
pub fn carry(core: &mut Core, now: i64, kind: u8, bytes: &[u8]) {
    // A part that is refused reaches nobody, which the reader of the answers sees.
    let _ = core.carry(now, kind, bytes);
}

/// What was carried here: kind and content of each part.
pub fn carried(effects: &Effects) -> Vec<(u8, Vec<u8>)> {
    let parts = effects.carried.iter();
    parts
        .map(|part| (part.kind, part.bytes.clone()))
        .collect()
}
