//! All timers of an instance, multiplexed onto a single timer of the caller.

use super::time::MAX_DURATION;
use crate::api::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Reason to wake up. Of two at the same instant the variant listed first is handled first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wake {
    /// The deadline of the request has passed.
    Deadline(RequestId),
    /// The backoff of the request has passed.
    Retry(RequestId),
    /// The time limit of the request in the queue has passed.
    QueueTimeout(RequestId),
    /// Discovery is to be called again.
    Poll,
}

/// Pending wake-ups, the earliest first.
#[derive(Default)]
pub struct Timers {
    wakes: BinaryHeap<Reverse<(Timestamp, Wake)>>,
    /// The instant for which the caller's timer was last set, until it fires.
    armed: Option<Timestamp>,
}

impl Timers {
    /// Adds a wake-up.
    pub fn set(&mut self, when: Timestamp, wake: Wake) {
        self.wakes.push(Reverse((when, wake)));
    }

    /// Sets the caller's timer if the next wake-up is earlier than the one for which it was last
    /// set.
    pub fn arm(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let Some(&Reverse((when, _))) = self.wakes.peek() else {
            return;
        };
        if self.armed.is_none_or(|armed| when < armed) {
            self.armed = Some(when);
            out.push(Action::SetTimer {
                after: (when - now).clamp(0, MAX_DURATION),
                token: when.unsigned_abs(),
            });
        }
    }

    /// Records that the caller's timer with this token has fired.
    pub fn fired(&mut self, token: u64) {
        self.armed = self.armed.filter(|armed| armed.unsigned_abs() != token);
    }

    /// Removes and returns the next wake-up that is due.
    pub fn next_due(&mut self, now: Timestamp) -> Option<Wake> {
        self.wakes.peek().filter(|wake| wake.0.0 <= now)?;
        self.wakes.pop().map(|wake| wake.0.1)
    }
}
