//! The gossip interface of pinned revisions before connectivity state and carried message parts, under the names that
//! `member.rs` uses.

pub use linenproxy_fleet::core::{Core, Effects, Listed};
pub use linenproxy_fleet::evidence::Sign;
pub use linenproxy_fleet::section::FleetSection;

/// Nothing else is off by default.
pub fn prepare(_: &mut FleetSection) {}

/// Carries nothing.
pub fn carry(_: &mut Core, _: i64, _: u8, _: &[u8]) {}

/// Nothing was carried here.
pub fn carried(_: &Effects) -> Vec<(u8, Vec<u8>)> {
    Vec::new()
}
