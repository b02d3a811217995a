//! Bounds on instants and durations, so that arithmetic on external input cannot overflow.

use crate::api::{Micros, Timestamp};

/// Maximum duration of a timer and of any duration from external input: one hour.
pub const MAX_DURATION: Micros = 3_600_000_000;
/// Latest instant; later ones are clamped to it.
pub const END_OF_TIME: Timestamp = Timestamp::MAX / 4;

/// Returns the instant `delay` microseconds after `now`, at least one microsecond and at most an
/// hour later.
pub fn after(now: Timestamp, delay: f64) -> Timestamp {
    now.saturating_add((delay as Micros).clamp(1, MAX_DURATION))
}
