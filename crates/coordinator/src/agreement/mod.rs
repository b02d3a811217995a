//! The replicated log: consensus on one order of entries, without I/O and clock.
//!
//! The engine is the `raft` crate. This module adds what it leaves to its user: a log on a checked store, the
//! replicated machine, time, the admission of stewards that lost their disk, and the sieve for what others send.

mod admission;
mod contract;
mod drive;
mod entry;
mod node;
mod shelf;
mod sieve;

pub use admission::Admission;
pub use contract::{Effects, Halt, Options, Refused, Replicated, Standing};
pub use node::Node;
pub use raft::eraftpb::Message;
pub use shelf::Shelf;
pub use sieve::{decode, encode};
