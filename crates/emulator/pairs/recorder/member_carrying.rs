//! The gossip interface of pinned revisions with connectivity state and carried message parts, under the names that
//! `member.rs` uses.

use linenproxy_fleet::core::Listed;
pub use linenproxy_fleet::core::{Core, Effects};
use linenproxy_fleet::evidence::Sign;
pub use linenproxy_fleet::section::FleetSection;
use std::net::SocketAddr;

/// Switches on what is off by default.
pub fn prepare(section: &mut FleetSection) {
    section.standing.enabled = true;
}

/// Replaces the endpoint list by ready endpoints of these names, numbered in their order.
pub fn set_endpoints<'a>(core: &mut Core, now: i64, names: impl Iterator<Item = &'a str>) {
    let endpoints = names.enumerate().map(|(endpoint, name)| Listed {
        endpoint,
        name: name.to_owned(),
        started: None,
        ready: true,
    });
    core.listed(now, endpoints.collect());
}

/// Handles a received datagram.
pub fn handle_datagram(core: &mut Core, now: i64, from: SocketAddr, bytes: &[u8]) {
    core.datagram(now, from, bytes);
}

/// Returns the effects of the calls since the last time.
pub fn take_effects(core: &mut Core) -> Effects {
    core.effects()
}

/// The datagrams to send, with their destinations.
pub fn datagrams(effects: &Effects) -> &[(SocketAddr, Vec<u8>)] {
    &effects.datagrams
}

/// Datagrams received, new observations received, and what was dropped by reason.
pub fn counts(core: &Core) -> (u64, u64, Vec<u64>) {
    let counts = core.counts();
    (counts.received, counts.heard, counts.dropped.to_vec())
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
