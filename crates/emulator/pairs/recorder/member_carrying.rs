//! The gossip interface of pinned revisions with connectivity state and carried message parts, under the names that
//! `member.rs` uses.

pub use linenproxy_fleet::core::{Core, Effects, Listed};
use linenproxy_fleet::evidence::Sign;
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

/// One attempt at an endpoint was served, or was not.
pub fn observe(core: &mut Core, now: i64, endpoint: usize, served: bool) {
    core.witness(now, endpoint, if served { Sign::Well } else { Sign::Sick });
}

/// What observations come to for the decision module: endpoint and status.
pub fn ejections(effects: &Effects) -> Vec<(usize, String)> {
    let words = effects.words.iter();
    words
        .map(|word| (word.endpoint, format!("{:?}", word.rest)))
        .collect()
}
