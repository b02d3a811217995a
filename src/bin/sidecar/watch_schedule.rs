//! Time-outs and waits of calls to discovery, and what follows a silent one. Pure.

use std::time::Duration;

/// What a silent watch misses counts as told this long after it fell silent, as the protocol has
/// it.
const TOLD: Duration = Duration::from_secs(6);
/// How long a connection, and how much longer than it may wait a call may take: this bounds one to
/// which nothing comes back at all.
pub const PATIENCE: Duration = Duration::from_secs(1);
/// How long a watch lets discovery wait for news at the most. One that falls silent as it begins is
/// so given up, asked for anew in vain and asked for once more before what it missed counts as
/// told. Discovery sends no line of the list for a watch that ends without news, so a shorter one
/// is not dearer to it.
const WATCH: Duration = TOLD.saturating_sub(PATIENCE.saturating_mul(3));
/// How long a call for the whole list may take once quick ones were in vain: an agent that is slow
/// to answer is heard too.
const SLOW: Duration = WATCH.saturating_add(Duration::from_millis(250));
/// Least wait, as a part of that: sidecars whose watches were answered at once must not all ask
/// again at once.
const MIN_WAIT: f64 = 0.75;

/// A call for the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// How long it may wait for news; the whole list is asked for without waiting.
    pub wait: Duration,
    /// How long it may take.
    pub within: Duration,
}

/// How a watch goes on.
pub struct WatchSchedule {
    /// Calls in a row that may have missed something.
    missed: u32,
}

impl WatchSchedule {
    /// One that begins; where a call before it has failed, with what that may have missed.
    pub fn new(after_failure: bool) -> Self {
        Self {
            missed: u32::from(after_failure),
        }
    }

    /// The next call, for news or, where no version is known, for the whole list; `chance` is from
    /// 0 to 1.
    pub fn call(&self, news: bool, chance: f64) -> Call {
        // What was missed is asked for without a wait, so that a second silence costs little. Every
        // other call takes long again: an agent that takes long for each answer is heard too.
        if self.missed % 2 == 1 || (self.missed == 0 && !news) {
            return Call {
                wait: Duration::ZERO,
                within: PATIENCE,
            };
        }
        if !news {
            return Call {
                wait: Duration::ZERO,
                within: SLOW,
            };
        }
        let wait = WATCH.mul_f64(MIN_WAIT + (1.0 - MIN_WAIT) * chance);
        Call {
            wait,
            within: wait + PATIENCE,
        }
    }

    /// It was answered.
    pub fn answered(&mut self) {
        self.missed = 0;
    }

    /// Nothing came back in time. The next call goes at once: this one has taken time enough.
    pub fn silent(&mut self) {
        self.missed = self.missed.saturating_add(1);
    }
}

#[cfg(test)]
mod tests;
