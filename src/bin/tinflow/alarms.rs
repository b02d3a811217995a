//! The module's timers. Changes with how they are kept.

use crate::clock::Clock;
use linenproxy::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::time::sleep_until;

/// Timers by the time at which they are due.
pub struct Alarms {
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
    clock: Clock,
}

impl Alarms {
    /// None yet.
    pub fn new(clock: Clock) -> Self {
        Self { heap: BinaryHeap::new(), clock }
    }

    /// Sets one.
    pub fn set(&mut self, after: Micros, token: u64) {
        self.heap.push(Reverse((self.clock.now().saturating_add(after), token)));
    }

    /// Waits until one is due; for good where there is none.
    pub async fn wait(&self) {
        match self.heap.peek() {
            Some(Reverse((at, _))) => sleep_until(self.clock.instant(*at)).await,
            None => std::future::pending().await,
        }
    }

    /// Takes one that is due at that time.
    pub fn take(&mut self, now: Micros) -> Option<u64> {
        let Reverse((at, token)) = *self.heap.peek()?;
        (at <= now).then(|| {
            self.heap.pop();
            token
        })
    }
}
