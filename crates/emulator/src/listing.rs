//! The server list in discovery's format.

use crate::Us;
use crate::directory::State;
use crate::plan::{Plan, ServerSpec};
use crate::site::{KINDS, ZONES};
use serde_json::{Value, json};

/// An entry of the list, in a run that started at `began_ms` of Unix time.
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
        "group": spec.group, "status": status, "weight": listed_weight(spec), "since_ms": since})
}

/// The weight of a server in the list: the mean speed of its machine type.
pub fn listed_weight(spec: &ServerSpec) -> f64 {
    let kind = &KINDS[spec.kind];
    (kind.speed.start() + kind.speed.end()) / 2.0
}

/// The capacity of a server in thousandths of a core of speed 1, as an integer so that sums are
/// exact.
pub fn capacity(spec: &ServerSpec) -> u64 {
    (listed_weight(spec) * 1000.0).round() as u64
}

/// When a process started, in milliseconds of Unix time, in a run that started at `began_ms`; 0 if
/// long ago.
pub fn started_ms(since: Option<Us>, began_ms: u64) -> u64 {
    since.map_or(0, |at| began_ms + at / 1000)
}

/// A list in discovery's format.
pub fn list(
    plan: &Plan,
    entries: &[(usize, State)],
    version: usize,
    is_whole: bool,
    address: impl Fn(usize) -> std::net::SocketAddr,
    began_ms: u64,
) -> Value {
    let entries: Vec<Value> = entries
        .iter()
        .map(|(i, state)| entry(&plan.servers[*i], *state, address(*i), began_ms))
        .collect();
    json!({"index": version + 1, "snapshot": is_whole, "endpoints": entries})
}
