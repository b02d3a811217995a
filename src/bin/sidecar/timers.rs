//! The timers set by the decision module.

use crate::clock::Clock;
use load_balancer::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::time::{Instant, sleep_until};

/// Timers by due time.
pub struct Timers {
    clock: Clock,
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
}

impl Timers {
    /// Starts without timers.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            timers: BinaryHeap::new(),
        }
    }

    /// Sets a timer.
    pub fn set(&mut self, after: Micros, token: u64) {
        self.timers
            .push(Reverse((self.clock.now().saturating_add(after), token)));
    }

    /// When the next timer is due.
    fn next_due(&self) -> Option<Instant> {
        self.timers
            .peek()
            .map(|Reverse((at, _))| self.clock.instant(*at))
    }

    /// Waits until the next timer is due, forever if there is none.
    pub fn wait(&self) -> impl Future<Output = ()> + use<> {
        let next = self.next_due();
        async move {
            match next {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        }
    }

    /// Removes and returns a timer that is due at `now`.
    pub fn take_due(&mut self, now: Micros) -> Option<u64> {
        self.timers.peek().filter(|Reverse((at, _))| *at <= now)?;
        self.timers.pop().map(|Reverse((_, token))| token)
    }
}
