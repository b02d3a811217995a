//! The replicated log: consensus on one order of entries, without I/O and clock.
//!
//! The engine is the `raft` crate. This module adds what it leaves to its user: storage on a
//! checked record store, the replicated state machine, time, the admission of coordinators with an
//! emptied disk, and the validation of received messages.

mod admission;
mod decode_error;
mod drive;
mod entry;
mod interface;
mod log_store;
mod message_filter;
mod node;

pub use admission::Admission;
pub use decode_error::DecodeError;
pub(crate) use entry::content;
pub use interface::{Effects, HaltReason, Options, ProposeError, ReplicaStatus, Replicated};
pub use log_store::LogStore;
pub use message_filter::{decode, encode};
pub use node::Node;
pub use raft::eraftpb::Message;
