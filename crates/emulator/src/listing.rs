//! The server list as discovery writes it (PROTOCOL, "Discovery").

use crate::Us;
use crate::directory::State;
use crate::plan::{Plan, ServerSpec};
use crate::site::{KINDS, ZONES};
use serde_json::{Value, json};

/// Unix time in milliseconds at which the run began, and what an entry is called on the wire.
pub fn entry(
    spec: &ServerSpec,
    state: State,
    address: std::net::SocketAddr,
    began_ms: u64,
) -> Value {
    let (status, since) = match state {
        State::Active { since } => ("active", started_ms(since, began_ms)),
        State::Leaving => ("leaving", 0),
        State::Left => ("left", 0),
    };
    json!({"name": spec.name, "address": address.to_string(), "zone": ZONES[spec.zone], "type": KINDS[spec.kind].name,
        "group": spec.group, "status": status, "weight": weight(spec), "since_ms": since})
}

/// The size that the list gives a server: its kind's mean speed, as registered.
pub fn weight(spec: &ServerSpec) -> f64 {
    let kind = &KINDS[spec.kind];
    (kind.speed.start() + kind.speed.end()) / 2.0
}

/// The capacity of a server in thousandths of a core of speed 1, as whole numbers for who adds them
/// up.
pub fn capacity(spec: &ServerSpec) -> u64 {
    (weight(spec) * 1000.0).round() as u64
}

/// Unix time in milliseconds at which a process started, 0 where that is long ago, in a run that
/// began then.
pub fn started_ms(since: Option<Us>, began_ms: u64) -> u64 {
    since.map_or(0, |at| began_ms + at / 1000)
}

/// A list in the form of the protocol page.
pub fn list(
    plan: &Plan,
    entries: &[(usize, State)],
    heard: usize,
    whole: bool,
    address: impl Fn(usize) -> std::net::SocketAddr,
    began_ms: u64,
) -> Value {
    let entries: Vec<Value> = entries
        .iter()
        .map(|(i, state)| entry(&plan.servers[*i], *state, address(*i), began_ms))
        .collect();
    json!({"index": heard + 1, "snapshot": whole, "endpoints": entries})
}
