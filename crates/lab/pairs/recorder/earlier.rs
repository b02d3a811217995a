//! What revisions before standing and carried pieces have in the place of those: nothing.

use linenproxy_fleet::core::{Core, Effects};
use linenproxy_fleet::section::FleetSection;

pub fn prepare(_: &mut FleetSection) {}

pub fn carry(_: &mut Core, _: i64, _: u8, _: &[u8]) {}

pub fn carried(_: &Effects) -> Vec<String> {
    Vec::new()
}
