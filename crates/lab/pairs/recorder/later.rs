//! What revisions with standing and carried pieces have beyond the earlier ones.

use super::lines::hex;
use linenproxy_fleet::core::{Core, Effects};
use linenproxy_fleet::section::FleetSection;

/// Switches on what is off by default.
pub fn prepare(section: &mut FleetSection) {
    section.standing.enabled = true;
}

/// Has a piece carried to all.
pub fn carry(core: &mut Core, now: i64, kind: u8, bytes: &[u8]) {
    // A piece that is refused is one that nobody hears of, which the reader of the answers sees.
    let _ = core.carry(now, kind, bytes);
}

/// What was carried here.
pub fn carried(effects: &Effects) -> Vec<String> {
    effects
        .carried
        .iter()
        .map(|piece| format!("carried {} {}", piece.kind, hex(&piece.bytes)))
        .collect()
}
