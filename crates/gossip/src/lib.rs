//! Gossip between the sidecars of a fleet: membership, health observations of endpoints, and the
//! ejections that follow from them. All shared data has a maximum staleness.
//!
//! - [`section`]: the `[fleet]` section of a product configuration.
//! - [`member`]: the identity of a member. [`membership_table`]: known members, and how members
//!   departed.
//! - [`frame`]: the datagram format, and the reasons why input is dropped.
//! - [`observation_table`]: health observations of all members, merged independently of their
//!   order.
//! - [`health_status`]: which endpoints a member ejects because of them. [`trial`]: which member
//!   makes the trial requests of an ejected endpoint, and when.
//! - [`fragments`]: message fragments of other crates that are disseminated with gossip.
//! - [`connectivity`]: the connectivity state of a member, and what each subsystem may do in it.
//! - [`effects`]: inputs and outputs. [`summary`]: the content of status pages. [`token_bucket`]: a
//!   rate limit.
//! - [`core`]: all of these combined into one state machine without I/O and clock.
//! - [`udp`]: the socket and timers of a member.
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

/// One second.
pub const SECOND: Micros = 1_000_000;

/// Returns the hash that stands for a name in messages: 64 bits of XXH3
/// (github.com/Cyan4973/xxHash, "XXH3").
pub fn hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}
