//! Key affinity: which key is cached at which endpoint process, alike at every member, and how that
//! expires.
//!
//! An *affinity entry* is the note that a key is warm at one process of an endpoint. Members tell
//! each other of uses in entries that form a join semilattice: whatever is lost, repeated or
//! reordered, the same entries make the same table. What is gone follows from an entry and the hour
//! alone, so that a late entry revives nothing. docs/affinity.md states the rules.
//!
//! - [`section`]: the `[fleet.affinity]` section of a product configuration.
//! - [`time`]: slots that all members count alike.
//! - [`entry`]: processes, entries on uses, and their merge for one key.
//! - [`table`]: entries on all keys, bounded.
//! - [`drain_phase`]: processes that leave or have come back, and who is clear of them.
//! - [`contact`]: whom this member has heard, itself or through others.
//! - [`contact_lease`]: whether this member may still hear the others.
//! - [`publishing`]: what is told, and when.
//! - [`pending_updates`]: entries that are forwarded.
//! - [`message`]: what goes from member to member.
//! - [`exchange`]: what members send each other; `receive`: what they make of it.
//! - [`report`]: what a member gives out.
//! - [`member`]: all of it as one state machine without I/O and clock.
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

/// Microseconds of Unix time on a member's own clock, of its monotonic clock, or a duration.
pub type Micros = i64;

/// The hash by which names, members and keys go over the wire: 64 bits of XXH3
/// (github.com/Cyan4973/xxHash, "XXH3").
pub fn hash(name: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name)
}

/// A number that mixes two, the same at every member.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&a.to_le_bytes());
    bytes[8..].copy_from_slice(&b.to_le_bytes());
    hash(&bytes)
}
