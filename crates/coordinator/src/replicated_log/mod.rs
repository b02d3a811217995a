//! The replicated log: consensus on one order of entries, without I/O and clock.
//!
//! The engine is the `raft` crate. This module adds what it leaves to its user: a log on a checked
//! store, the replicated machine, time, the admission of coordinators that lost their disk, and the
//! sieve for what others send.

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
pub use interface::{Effects, HaltReason, Options, Refused, ReplicaStatus, Replicated};
pub use log_store::LogStore;
pub use message_filter::{decode, encode};
pub use node::Node;
pub use raft::eraftpb::Message;
