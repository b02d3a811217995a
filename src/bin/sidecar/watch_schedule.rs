//! Waits and timeouts of the calls to discovery, and the reaction to calls that time out. Pure.

use std::time::Duration;

/// The protocol assumes that a change is known this long after a watch stops answering.
const CHANGE_DEADLINE: Duration = Duration::from_secs(6);
/// Timeout of connecting, and of a call beyond the time it may wait; limits calls to an unreachable
/// discovery.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time a watch lets discovery wait for changes. With it, a watch that stops answering
/// right after it began is given up, retried once without success and retried again before
/// `CHANGE_DEADLINE`. Discovery sends no entries for a watch without changes, so a shorter time
/// costs it no more.
const MAX_WATCH_WAIT: Duration = CHANGE_DEADLINE.saturating_sub(CALL_TIMEOUT.saturating_mul(3));
/// Timeout of a fetch of the whole list after fast ones have failed, for a discovery that answers
/// slowly.
const SLOW_FETCH_TIMEOUT: Duration = MAX_WATCH_WAIT.saturating_add(Duration::from_millis(250));
/// Shortest wait as a fraction of that: sidecars whose watches were answered at the same time must
/// not all call again at the same time.
const MIN_WAIT_FRACTION: f64 = 0.75;

/// Longest delay after a call that discovery has refused because it is overloaded. A watch that ended
/// without an answer at its timeout, the decision module's delay and one refusal must leave time for
/// another call before `CHANGE_DEADLINE`.
const MAX_REFUSAL_DELAY: Duration = CHANGE_DEADLINE
    .saturating_sub(MAX_WATCH_WAIT)
    .saturating_sub(CALL_TIMEOUT)
    .saturating_sub(Duration::from_millis(600));
/// Upper bound of the delay after the first refusal in a row; it doubles from one to the next.
const FIRST_REFUSAL_DELAY: Duration = Duration::from_millis(700);
/// Upper bound of the exponent of that delay.
const MAX_REFUSAL_DOUBLINGS: i32 = 8;
/// Shortest delay as a fraction of its upper bound: sidecars that were refused at the same time must
/// not all call again at the same time.
const MIN_DELAY_FRACTION: f64 = 0.5;
/// Range above a `Retry-After` over which the calls that were told of it are spread, as a fraction
/// of it.
const RETRY_AFTER_SPREAD: f64 = 0.25;

/// The times of one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallTimes {
    /// How long discovery may wait for changes; zero for a fetch of the whole list.
    pub wait: Duration,
    /// How long the call may take.
    pub timeout: Duration,
}

/// The state of a watch.
pub struct WatchSchedule {
    /// Consecutive calls that may have missed a change.
    missed: u32,
    /// Consecutive refused calls.
    refusals: i32,
}

impl WatchSchedule {
    /// Starts a watch; after a failed call a change may have been missed.
    pub fn new(after_failure: bool) -> Self {
        Self {
            missed: u32::from(after_failure),
            refusals: 0,
        }
    }

    /// The next call, for changes or, if no version is held, for the whole list; `random` is from 0
    /// to 1.
    pub fn next_call(&self, knows_version: bool, random: f64) -> CallTimes {
        // After a missed call, changes are requested without a wait, so that a second failure costs
        // little time. Every other call has a long timeout again, for a discovery that answers
        // slowly.
        if self.missed % 2 == 1 || (self.missed == 0 && !knows_version) {
            return CallTimes {
                wait: Duration::ZERO,
                timeout: CALL_TIMEOUT,
            };
        }
        if !knows_version {
            return CallTimes {
                wait: Duration::ZERO,
                timeout: SLOW_FETCH_TIMEOUT,
            };
        }
        let wait = MAX_WATCH_WAIT.mul_f64(MIN_WAIT_FRACTION + (1.0 - MIN_WAIT_FRACTION) * random);
        CallTimes {
            wait,
            timeout: wait + CALL_TIMEOUT,
        }
    }

    /// Records an answer.
    pub fn record_answer(&mut self) {
        self.missed = 0;
        self.refusals = 0;
    }

    /// Records a timeout. The next call follows at once, as this one has taken long enough.
    pub fn record_timeout(&mut self) {
        self.missed = self.missed.saturating_add(1);
        self.refusals = 0;
    }

    /// Records a refusal by an overloaded discovery, and returns the delay before the next call;
    /// `random` is from 0 to 1. A refused call costs discovery work too, so the delay is longer than
    /// after other failures, up to a limit that `retry_after` does not exceed either.
    ///
    /// The next call may wait for changes, and brings those of the meantime at once: after one
    /// without a wait, the watch would have to be admitted by a second call.
    pub fn record_refusal(&mut self, retry_after: Option<Duration>, random: f64) -> Duration {
        self.missed = self.missed.saturating_add(self.missed % 2);
        let bound = FIRST_REFUSAL_DELAY
            .mul_f64(f64::powi(2.0, self.refusals))
            .min(MAX_REFUSAL_DELAY);
        self.refusals = (self.refusals + 1).min(MAX_REFUSAL_DOUBLINGS);
        let delay = bound.mul_f64(MIN_DELAY_FRACTION + (1.0 - MIN_DELAY_FRACTION) * random);
        let retry_after = retry_after
            .unwrap_or_default()
            .min(MAX_REFUSAL_DELAY.div_f64(1.0 + RETRY_AFTER_SPREAD))
            .mul_f64(1.0 + RETRY_AFTER_SPREAD * random);
        delay.max(retry_after)
    }
}

#[cfg(test)]
mod tests;
