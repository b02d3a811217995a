//! The timers that the decision module has set.

use crate::clock::Clock;
use load_balancer::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::time::{Instant, sleep_until};

/// Timers by when they are due.
pub struct Timers {
    clock: Clock,
    all: BinaryHeap<Reverse<(Micros, u64)>>,
}

impl Timers {
    /// None yet.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            all: BinaryHeap::new(),
        }
    }

    /// Sets one.
    pub fn set(&mut self, after: Micros, token: u64) {
        self.all
            .push(Reverse((self.clock.now().saturating_add(after), token)));
    }

    /// When the next is due.
    fn next(&self) -> Option<Instant> {
        self.all
            .peek()
            .map(|Reverse((at, _))| self.clock.instant(*at))
    }

    /// Waits until the next is due, for good where there is none.
    pub fn wait(&self) -> impl Future<Output = ()> + use<> {
        let next = self.next();
        async move {
            match next {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        }
    }

    /// Takes one that was due at that time.
    pub fn due(&mut self, now: Micros) -> Option<u64> {
        self.all.peek().filter(|Reverse((at, _))| *at <= now)?;
        self.all.pop().map(|Reverse((_, token))| token)
    }
}
