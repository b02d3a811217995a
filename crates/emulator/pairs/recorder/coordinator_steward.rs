//! The coordinator's interface of pinned revisions that call it steward, under the names that `coordinator.rs` uses.

pub use linenproxy_steward::agreement::{Admission, Node, Options, Replicated, Shelf, decode, encode};
use linenproxy_store::Store;
use std::path::Path;

/// Opens a store; and why an earlier file was set aside, if one was.
pub fn open_store(file: &Path, owner: &str) -> Result<(Store, Option<String>), String> {
    let opened = linenproxy_store::open(file, owner).map_err(|e| e.to_string())?;
    let why = opened.aside.map(|aside| format!("{:?}", aside.why));
    Ok((opened.store, why))
}
