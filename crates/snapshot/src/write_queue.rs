//! The coalescing queue between those who store something and the writer thread, with its counts
//! and log lines.

use crate::snapshot::Changes;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Lines that may wait to be said; further ones are dropped, as they say the same.
const MAX_LINES: usize = 16;

/// What the writer has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Commits, each with a sync.
    pub commits: u64,
    /// Bytes of payload in them.
    pub bytes: u64,
    /// Changes that took the place of others that still waited.
    pub coalesced: u64,
    /// Times that the disk did not do what was asked.
    pub failures: u64,
    /// Files quarantined.
    pub quarantined: u64,
    /// It does not now.
    pub failing: bool,
}

#[derive(Default)]
pub(crate) struct WriteQueue {
    pending: Mutex<PendingChanges>,
    /// Something has come into the tray.
    came: Condvar,
    counts: [AtomicU64; 5],
    failing: AtomicBool,
    lines: Mutex<Vec<String>>,
}

#[derive(Default)]
pub(crate) struct PendingChanges {
    pub(crate) changes: Changes,
    /// Nothing comes any more.
    last: bool,
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

    pub(crate) fn count(&self, what: usize, more: u64) {
        self.counts[what].fetch_add(more, Ordering::Relaxed);
    }

    pub(crate) fn log(&self, line: String) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() < MAX_LINES {
            lines.push(line);
        }
    }

    /// One line when it begins, one when it is over.
    pub(crate) fn failed(&self, what: &dyn std::fmt::Display) {
        self.count(FAILURES, 1);
        if !self.failing.swap(true, Ordering::Relaxed) {
            self.log(format!("nothing is kept for now: {what}"));
        }
    }

    pub(crate) fn recovered(&self) {
        if self.failing.swap(false, Ordering::Relaxed) {
            self.log("what is known is kept again".to_owned());
        }
    }

    /// Takes in changes; the last ones close it.
    pub(crate) fn enqueue(&self, changes: Changes, last: bool) {
        let mut pending = self.pending();
        if pending.last || (changes.is_empty() && !last) {
            return;
        }
        if !pending.changes.is_empty() {
            self.count(COALESCED, 1);
        }
        pending.changes.then(changes);
        pending.last = last;
        self.came.notify_one();
    }

    /// Waits for changes, and where the disk failed until it is to be tried again; whether they are
    /// the last. Nothing where the last cannot be written.
    pub(crate) fn next(&self, not_before: Option<Instant>) -> Option<(Changes, bool)> {
        let mut pending = self.pending();
        loop {
            let left = not_before.map_or(Duration::ZERO, |at| {
                at.saturating_duration_since(Instant::now())
            });
            if pending.last && !left.is_zero() {
                return None;
            }
            if left.is_zero() && (pending.last || !pending.changes.is_empty()) {
                return Some((std::mem::take(&mut pending.changes), pending.last));
            }
            pending = if left.is_zero() {
                self.came
                    .wait(pending)
                    .unwrap_or_else(PoisonError::into_inner)
            } else {
                self.came
                    .wait_timeout(pending, left)
                    .unwrap_or_else(PoisonError::into_inner)
                    .0
            };
        }
    }

    /// What it has done.
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

    /// What there is to say to the on-call engineers, taken away with that.
    pub(crate) fn lines(&self) -> Vec<String> {
        std::mem::take(&mut self.lines.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
