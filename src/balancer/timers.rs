//! All wake-ups of an instance behind a single timer of the caller's.

use super::time::MAX_DURATION;
use crate::api::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What to wake up for. Of two at one instant the earlier variant comes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wake {
    /// The request's time is up.
    Deadline(RequestId),
    /// The request's backoff is over.
    Retry(RequestId),
    /// The request has been queued for long enough.
    QueueTimeout(RequestId),
    /// Discovery is to be asked anew.
    Poll,
}

/// The wake-ups still to come.
#[derive(Default)]
pub struct Timers {
    wakes: BinaryHeap<Reverse<(Timestamp, Wake)>>,
    /// The instant for which the caller's timer was last set, until it goes off.
    armed: Option<Timestamp>,
}

impl Timers {
    /// Adds a wake-up.
    pub fn set(&mut self, when: Timestamp, wake: Wake) {
        self.wakes.push(Reverse((when, wake)));
    }

    /// Sets the caller's timer where the next wake-up is earlier than the one that it was last set
    /// for.
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

    /// The caller's timer with this token went off.
    pub fn fired(&mut self, token: u64) {
        self.armed = self.armed.filter(|armed| armed.unsigned_abs() != token);
    }

    /// Takes the next wake-up that is due.
    pub fn next_due(&mut self, now: Timestamp) -> Option<Wake> {
        self.wakes.peek().filter(|wake| wake.0.0 <= now)?;
        self.wakes.pop().map(|wake| wake.0.1)
    }
}
