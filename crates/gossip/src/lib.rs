//! What the sidecars of a fleet know together, each datum with a bound on its age.
//!
//! - [`section`]: the `[fleet]` section of a product configuration.
//! - [`member`]: who a member is.
//! - [`frame`]: datagrams, and why one is dropped.
//! - [`observation_table`]: what members saw of endpoints, merged in any order to the same table.
//! - [`verdict`]: what follows from it for one member: who rests. [`trial`]: who of those may be tried, when, by whom.
//! - [`fragments`]: small fragments of other crates' data, spread the same way.
//! - [`effects`]: what goes in and comes out of it. [`summary`]: what people read. [`tokens`]: a rate.
//! - [`connectivity`]: what a member concludes of its own place, and what each part may do there; beside it what it is
//!   concluded from. [`membership`]: who is known, and how those left who did.
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
