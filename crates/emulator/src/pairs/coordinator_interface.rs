//! Today's coordinator interface, under the names that `pairs/recorder/coordinator.rs` uses.

pub use load_balancer_coordinator::replicated_log::{Admission, Node, Replicated, encode};
use load_balancer_coordinator::replicated_log::{LogStore, Message, Options};
use load_balancer_record_store::Store;
use std::path::Path;

/// The message that bytes hold.
pub fn decode(bytes: &[u8]) -> Result<Message, String> {
    load_balancer_coordinator::replicated_log::decode(bytes).map_err(|error| error.to_string())
}

/// Opens a store; and why an earlier file was quarantined, if one was.
pub fn open_store(file: &Path, owner: &str) -> Result<(Store, Option<String>), String> {
    let opened = load_balancer_record_store::open(file, owner).map_err(|e| e.to_string())?;
    let why = opened.quarantined.map(|file| format!("{:?}", file.why));
    Ok((opened.store, why))
}

/// Opens the log store of a replica on a store.
pub fn open_log_store(store: Store, id: u64) -> Result<LogStore, String> {
    LogStore::open(store, id).map_err(|error| error.to_string())
}

/// The options of a node.
pub fn options(name: &str, run: u64, election_ticks: usize, min_voters: usize) -> Options {
    Options {
        name: name.to_owned(),
        run_id: run,
        election_ticks,
        min_voters,
    }
}

/// Whether a node leads and has applied an entry of its own term.
pub fn is_active_leader<M: Replicated>(node: &Node<M>) -> bool {
    node.is_active_leader()
}

/// Persists and applies what is ready. Returns the messages to send and the answered tickets.
pub fn process_ready<M: Replicated>(
    node: &mut Node<M>,
) -> Result<(Vec<Message>, Vec<u64>), String> {
    let effects = node.process_ready().map_err(|error| error.to_string())?;
    let tickets = effects.answers.iter().map(|(ticket, _)| *ticket).collect();
    Ok((effects.messages, tickets))
}
