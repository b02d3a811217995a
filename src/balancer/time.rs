//! Bounds on instants and spans, so that arithmetic on what comes from outside cannot overflow.

use crate::api::{Micros, Timestamp};

/// Longest timer, and longest span taken from outside: an hour.
pub const MAX_DURATION: Micros = 3_600_000_000;
/// Instants beyond this are taken as this.
pub const END_OF_TIME: Timestamp = Timestamp::MAX / 4;

/// The instant `delay` microseconds after `now`, at least one and at most an hour away.
pub fn after(now: Timestamp, delay: f64) -> Timestamp {
    now.saturating_add((delay as Micros).clamp(1, MAX_DURATION))
}
