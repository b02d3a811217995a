//! Remaining slow start credit of an endpoint.

use crate::api::Timestamp;

/// Work that a warming endpoint may still receive, in microseconds.
#[derive(Default)]
pub struct SlowStartCredit {
    pub work: f64,
    pub updated_at: Timestamp,
}

impl SlowStartCredit {
    /// Creates a credit as of `now`.
    pub fn new(work: f64, now: Timestamp) -> Self {
        Self {
            work,
            updated_at: now,
        }
    }
}
