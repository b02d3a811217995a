//! Turns of the runtime for others before a deadline takes effect.
//!
//! If the process was not run for some time, several deadlines are due at once. An attempt that ends
//! then needs some turns to report it, and what is known by its end goes before the end of its
//! request: an answer counts, and an endpoint that hangs is recognized.

use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

/// In which an attempt looks at its socket once more and reports its end.
pub const FOR_ATTEMPTS: usize = 3;
/// In which the engine besides handles that and answers.
pub const FOR_ENGINE: usize = FOR_ATTEMPTS + 3;

/// Lets the tasks that are ready run, so many times.
pub async fn yield_turns(number: usize) {
    for _ in 0..number {
        yield_now().await;
    }
}

/// Waits until the deadline, and then lets the engine answer what is due as well.
pub async fn overdue_at(deadline: Instant) {
    sleep_until(deadline).await;
    yield_turns(FOR_ENGINE).await;
}
