//! The timer set by the decision module.

use crate::clock::Clock;
use load_balancer::Micros;
use tokio::time::{Instant, sleep_until};

/// The timer that the module has set last. It sets another one only to be woken earlier than by the
/// one before, and anew after each that fires, so earlier ones need not be kept.
pub struct Timers {
    clock: Clock,
    next: Option<(Micros, u64)>,
}

impl Timers {
    /// Starts without a timer.
    pub fn new(clock: Clock) -> Self {
        Self { clock, next: None }
    }

    /// Sets the timer in place of the one set before.
    pub fn set(&mut self, after: Micros, token: u64) {
        self.next = Some((self.clock.now().saturating_add(after), token));
    }

    /// Waits until the timer is due, forever if there is none.
    pub fn wait(&self) -> impl Future<Output = ()> + use<> {
        let next: Option<Instant> = self.next.map(|(due, _)| self.clock.instant(due));
        async move {
            match next {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        }
    }

    /// Removes the timer if it is due at `now`, and returns its token.
    pub fn take_due(&mut self, now: Micros) -> Option<u64> {
        let due = self.next.take_if(|(at, _)| *at <= now);
        due.map(|(_, token)| token)
    }
}
