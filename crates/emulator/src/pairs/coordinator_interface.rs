//! Today's coordinator interface, under the names that `pairs/recorder/coordinator.rs` uses.

pub use load_balancer_coordinator::replicated_log::{
    Admission, LogStore as Shelf, Message, Node, Options, Replicated, encode,
};
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
