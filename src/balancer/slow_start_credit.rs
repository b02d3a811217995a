//! What is left of an endpoint's credit in slow start.

use crate::api::Timestamp;

/// Work that a warming endpoint may still be sent, in microseconds.
#[derive(Default)]
pub struct SlowStartCredit {
    pub work: f64,
    pub updated: Timestamp,
}

impl SlowStartCredit {
    /// That of a process that has just started.
    pub fn new(work: f64, now: Timestamp) -> Self {
        Self { work, updated: now }
    }
}
