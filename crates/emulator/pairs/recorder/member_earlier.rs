//! The gossip interface of pinned revisions before connectivity state and carried message parts, under the names that
//! `member.rs` uses.

pub use linenproxy_fleet::core::{Core, Effects, Listed};
use linenproxy_fleet::evidence::Sign;
pub use linenproxy_fleet::section::FleetSection;

/// Nothing else is off by default.
pub fn prepare(_: &mut FleetSection) {}

/// Carries nothing.
pub fn carry(_: &mut Core, _: i64, _: u8, _: &[u8]) {}

/// Nothing was carried here.
pub fn carried(_: &Effects) -> Vec<(u8, Vec<u8>)> {
    Vec::new()
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
