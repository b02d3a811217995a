//! The coalescing queue between the users of the snapshot and the writer thread, with its counts
//! and log lines.

use crate::snapshot::Changes;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Most log lines that wait; further ones are dropped, as they say the same.
const MAX_LOG_LINES: usize = 16;

/// What the writer thread has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Commits, each with a sync.
    pub commits: u64,
    /// Bytes of payload in the commits.
    pub bytes: u64,
    /// Changes that replaced others still waiting.
    pub coalesced: u64,
    /// Number of disk failures.
    pub failures: u64,
    /// Files quarantined.
    pub quarantined: u64,
    /// Whether the disk is failing now.
    pub failing: bool,
}

#[derive(Default)]
pub(crate) struct WriteQueue {
    pending: Mutex<PendingChanges>,
    /// Changes are available.
    available: Condvar,
    counts: [AtomicU64; 5],
    failing: AtomicBool,
    lines: Mutex<Vec<String>>,
}

#[derive(Default)]
pub(crate) struct PendingChanges {
    pub(crate) changes: Changes,
    /// Whether no more changes will follow.
    is_last: bool,
}

pub(crate) const COMMITS: usize = 0;
pub(crate) const BYTES: usize = 1;
pub(crate) const COALESCED: usize = 2;
pub(crate) const FAILURES: usize = 3;
pub(crate) const QUARANTINED: usize = 4;

impl WriteQueue {
    pub(crate) fn pending(&self) -> MutexGuard<'_, PendingChanges> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn add_count(&self, counter: usize, amount: u64) {
        self.counts[counter].fetch_add(amount, Ordering::Relaxed);
    }

    pub(crate) fn log(&self, line: String) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() < MAX_LOG_LINES {
            lines.push(line);
        }
    }

    /// Records a failure; logs a line if it is the first in a row.
    pub(crate) fn record_failure(&self, error: &dyn std::fmt::Display) {
        self.add_count(FAILURES, 1);
        if !self.failing.swap(true, Ordering::Relaxed) {
            self.log(format!("nothing is kept for now: {error}"));
        }
    }

    pub(crate) fn record_recovery(&self) {
        if self.failing.swap(false, Ordering::Relaxed) {
            self.log("what is known is kept again".to_owned());
        }
    }

    /// Adds changes; the last ones close the queue.
    pub(crate) fn enqueue(&self, changes: Changes, is_last: bool) {
        let mut pending = self.pending();
        if pending.is_last || (changes.is_empty() && !is_last) {
            return;
        }
        if !pending.changes.is_empty() {
            self.add_count(COALESCED, 1);
        }
        pending.changes.merge(changes);
        pending.is_last = is_last;
        self.available.notify_one();
    }

    /// Waits for changes and, after a failure, for the retry; returns them and whether they are the
    /// last. None if the last ones can't be written.
    pub(crate) fn take_next(&self, retry_at: Option<Instant>) -> Option<(Changes, bool)> {
        let mut pending = self.pending();
        loop {
            let delay = retry_at.map_or(Duration::ZERO, |at| {
                at.saturating_duration_since(Instant::now())
            });
            if pending.is_last && !delay.is_zero() {
                return None;
            }
            if delay.is_zero() && (pending.is_last || !pending.changes.is_empty()) {
                return Some((std::mem::take(&mut pending.changes), pending.is_last));
            }
            pending = if delay.is_zero() {
                self.available
                    .wait(pending)
                    .unwrap_or_else(PoisonError::into_inner)
            } else {
                self.available
                    .wait_timeout(pending, delay)
                    .unwrap_or_else(PoisonError::into_inner)
                    .0
            };
        }
    }

    /// The counts so far.
    pub(crate) fn counts(&self) -> Counts {
        let [commits, bytes, coalesced, failures, quarantined] =
            [COMMITS, BYTES, COALESCED, FAILURES, QUARANTINED]
                .map(|n| self.counts[n].load(Ordering::Relaxed));
        let failing = self.failing.load(Ordering::Relaxed);
        Counts {
            commits,
            bytes,
            coalesced,
            failures,
            quarantined,
            failing,
        }
    }

    /// Removes and returns the log lines.
    pub(crate) fn take_log_lines(&self) -> Vec<String> {
        std::mem::take(&mut self.lines.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
