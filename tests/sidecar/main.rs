//! The sidecar as seen by its peers, over loopback sockets.

#[path = "../stubs/mod.rs"]
mod stubs;

mod answers;
mod bad_settings;
mod closing;
mod connections;
mod cuts;
mod dials;
mod draining;
mod extremes;
mod handovers;
mod idle;
mod idle_crowds;
mod leaving;
mod list_forms;
mod lists;
mod moves;
mod odd_lists;
mod overloaded_discovery;
mod repeats;
mod requests;
mod restarts;
mod room;
mod slow_clients;
mod stalled_clients;
mod starting;
mod stopping;
mod two_settings;
mod watches;

use stubs::*;

fn ok(body: &str) -> Reply {
    Reply::Answer(200, "", body.as_bytes().to_vec())
}
