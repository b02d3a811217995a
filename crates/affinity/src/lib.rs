//! Key affinity: which key is cached at which endpoint process, the same at every member, and when
//! that expires.
//!
//! An *affinity entry* records that a key is cached at one process of an endpoint. Members exchange
//! updates of entries that form a join semilattice: in spite of message loss, duplication and
//! reordering, the same updates result in the same table. Whether an entry has expired follows from
//! the entry and the time alone, so that a late update revives nothing. docs/affinity.md states the
//! rules.
//!
//! - [`section`]: the `[fleet.affinity]` section of a product configuration.
//! - [`time`]: slots of wall-clock time, the same at all members.
//! - [`entry`]: processes, entries, and their merge for one key.
//! - [`table`]: the bounded table of all entries.
//! - [`drain_phase`]: processes that drain or have returned, and which members are clear of them.
//! - [`contact`]: which members this one has heard, directly or through others.
//! - [`contact_lease`]: whether this member may still be in contact with the others.
//! - [`publishing`]: which uses are published, and when.
//! - [`pending_updates`]: updates that are still disseminated.
//! - [`message`]: the encoding of the messages.
//! - [`exchange`]: the messages that are sent; `receive`: the handling of received ones.
//! - [`report`]: outgoing messages, drain status and figures.
//! - [`member`]: all of this as one state machine without I/O and clock.
#![forbid(unsafe_code)]
#![warn(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

pub mod contact;
pub mod contact_lease;
pub mod drain_phase;
pub mod entry;
pub mod exchange;
#[cfg(test)]
mod histories;
pub mod member;
pub mod message;
pub mod pending_updates;
pub mod publishing;
mod receive;
pub mod report;
mod safety_rules;
pub mod section;
pub mod table;
pub mod time;

pub use entry::Process;
pub use member::AffinityMember;

/// Microseconds: Unix time by a member's own clock, a time of its monotonic clock, or a duration.
pub type Micros = i64;

/// The hash of names, members and keys on the wire: 64 bits of XXH3 (github.com/Cyan4973/xxHash).
pub fn hash(name: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name)
}

/// Combines two numbers into one, the same at every member.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&a.to_le_bytes());
    bytes[8..].copy_from_slice(&b.to_le_bytes());
    hash(&bytes)
}
