//! All timers of an instance, multiplexed onto a single timer of the caller.

use super::time::MAX_DURATION;
use crate::api::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Reason to wake up. Of two at the same instant the variant listed first is handled first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
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

impl Wake {
    /// The request that it is for, if it is for one.
    pub fn request(self) -> Option<RequestId> {
        match self {
            Self::Deadline(id) | Self::Retry(id) | Self::QueueTimeout(id) => Some(id),
            Self::Poll => None,
        }
    }
}

/// Wake-ups that a request may have at once, one of each kind.
const MAX_WAKES_PER_REQUEST: usize = 3;
/// Wake-ups of ended requests that are kept until they are due. Removing them sooner costs a pass
/// over all of them.
const MAX_ENDED_WAKES: usize = 16_384;

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

    /// Returns the number of pending wake-ups.
    pub fn len(&self) -> usize {
        self.wakes.len()
    }

    /// Removes the wake-ups of ended requests once there are many: their deadlines may be far off.
    pub fn forget_ended(&mut self, open_requests: usize, is_open: impl Fn(RequestId) -> bool) {
        if self.wakes.len() > MAX_WAKES_PER_REQUEST * open_requests + MAX_ENDED_WAKES {
            self.wakes
                .retain(|Reverse((_, wake))| wake.request().is_none_or(&is_open));
        }
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
