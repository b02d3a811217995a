//! Gossip between the sidecars of a fleet: membership, health observations of endpoints and the
//! ejections that follow from them. Every datum has a maximum staleness.
//!
//! - [`section`]: the `[fleet]` section of a product configuration.
//! - [`member`]: who a member is. [`membership_table`]: who is known, and how those left who did.
//! - [`frame`]: datagrams, and why one is dropped.
//! - [`observation_table`]: what members observed of endpoints, merged in any order to the same
//!   table.
//! - [`health_status`]: which endpoints one member ejects by that table. [`trial`]: which of the
//!   ejected may be tried, when and by whom.
//! - [`fragments`]: message parts of other crates that are disseminated with gossip.
//! - [`connectivity`]: the connectivity state of a member, and what each part may do in it.
//! - [`effects`]: inputs and outputs. [`summary`]: what status pages show. [`token_bucket`]: a rate
//!   limit.
//! - [`core`]: all of it as one state machine without I/O and clock.
//! - [`udp`]: its sockets and timers.
#![forbid(unsafe_code)]
#![warn(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

pub mod connectivity;
mod connectivity_tracker;
pub mod core;
pub mod effects;
pub mod fragments;
pub mod frame;
pub mod health_status;
mod local_health;
pub mod member;
pub mod membership_table;
mod observation;
pub mod observation_table;
pub mod section;
pub mod summary;
pub mod token_bucket;
pub mod trial;
pub mod udp;
mod view_comparison;
mod zone_contacts;
mod zone_reachability;

/// Microseconds of Unix time on a member's own clock, or a duration.
pub type Micros = i64;

/// A second.
pub const SECOND: Micros = 1_000_000;

/// The hash by which names go over the wire: 64 bits of XXH3 (github.com/Cyan4973/xxHash, "XXH3").
pub fn hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
