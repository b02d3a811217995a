//! The coordinator's interface of pinned revisions that call it steward, under the names that `coordinator.rs` uses.

use linenproxy_steward::agreement::{Message, Options, Shelf};
pub use linenproxy_steward::agreement::{Admission, Node, Replicated, decode, encode};
use linenproxy_store::Store;
use std::path::Path;

/// Opens a store; and why an earlier file was set aside, if one was.
pub fn open_store(file: &Path, owner: &str) -> Result<(Store, Option<String>), String> {
    let opened = linenproxy_store::open(file, owner).map_err(|e| e.to_string())?;
    let why = opened.aside.map(|aside| format!("{:?}", aside.why));
    Ok((opened.store, why))
}

/// Opens the log store of a replica on a store.
pub fn open_log_store(store: Store, id: u64) -> Result<Shelf, String> {
    Shelf::open(store, id).map_err(|error| error.to_string())
}

/// The options of a node.
pub fn options(name: &str, run: u64, election_ticks: usize, min_voters: usize) -> Options {
    Options {
        name: name.to_owned(),
        run,
        patience: election_ticks,
        least: min_voters,
    }
}

/// Whether a node leads and has applied an entry of its own term.
pub fn is_active_leader<M: Replicated>(node: &Node<M>) -> bool {
    node.acts()
}

/// Persists and applies what is ready. Returns the messages to send and the answered tickets.
pub fn process_ready<M: Replicated>(node: &mut Node<M>) -> Result<(Vec<Message>, Vec<u64>), String> {
    let effects = node.drive().map_err(|error| error.to_string())?;
    let tickets = effects.answers.iter().map(|(ticket, _)| *ticket).collect();
    Ok((effects.messages, tickets))
}
