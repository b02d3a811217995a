//! The coordinator's interface of pinned revisions that call it steward, under the names that `coordinator.rs` uses.

pub use linenproxy_steward::agreement::{Admission, Node, Options, Replicated, Shelf, decode, encode};
pub use linenproxy_store::open;
