//! Whether an answer that arrives slowly is waited for beyond its attempt's time. Pure.
//!
//! An attempt's time leaves some for retries in case its endpoint hangs. An endpoint that is writing
//! its answer does not hang, and a retry would have to begin anew.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// An answer of which nothing has arrived for this long has stopped.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// How often an answer that is waited for is looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How much of an attempt's answer has arrived.
#[derive(Debug, Default)]
pub struct AnswerProgress(Cell<Option<Arriving>>);

/// An answer whose head has arrived.
#[derive(Clone, Copy, Debug)]
struct Arriving {
    began: Instant,
    last_piece: Instant,
    received: usize,
    /// The length of the body, if the head tells it.
    length: Option<usize>,
}

impl AnswerProgress {
    /// Records the head of an answer that would be forwarded.
    pub fn begin(&self, length: Option<usize>, now: Instant) {
        self.0.set(Some(Arriving {
            began: now,
            last_piece: now,
            received: 0,
            length,
        }));
    }

    /// Records a piece of its body.
    pub fn record_piece(&self, length: usize, now: Instant) {
        self.0.set(self.0.get().map(|arriving| Arriving {
            last_piece: now,
            received: arriving.received + length,
            ..arriving
        }));
    }

    /// Until when the answer is waited for before the next look at it, if its attempt's time is
    /// over at `now` and its request's at `deadline`. `None` if it is given up.
    pub fn wait_until(&self, now: Instant, deadline: Instant) -> Option<Instant> {
        let arriving = self.0.get()?;
        let time_left = deadline.saturating_duration_since(now);
        let continues = !time_left.is_zero()
            && now.saturating_duration_since(arriving.last_piece) < MAX_PAUSE
            && arriving.expected_time(now) <= time_left.as_secs_f64();
        continues.then(|| deadline.min(now + CHECK_INTERVAL))
    }
}

impl Arriving {
    /// In how many seconds it will be complete if it goes on at its pace so far. Without a length it
    /// may end at once.
    fn expected_time(&self, now: Instant) -> f64 {
        let Some(length) = self.length else {
            return 0.0;
        };
        let elapsed = now.saturating_duration_since(self.began).as_secs_f64();
        let remaining = length.saturating_sub(self.received) as f64;
        elapsed * remaining / self.received.max(1) as f64
    }
}

#[cfg(test)]
mod tests;
