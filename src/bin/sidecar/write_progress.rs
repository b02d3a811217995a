//! Tracks how much of a request has been written to a socket.

use std::cell::Cell;
use std::rc::Rc;

/// How much of a request has been written. An endpoint starts a request after its last byte, so a
/// request that was not written completely was not executed.
#[derive(Clone, Default)]
pub struct WriteProgress(Rc<WriteProgressState>);

#[derive(Default)]
struct WriteProgressState {
    /// Bytes of the blank line at the end of the head seen so far; 4 once the head is written.
    head_end: Cell<u8>,
    body_left: Cell<usize>,
    has_started: Cell<bool>,
    interrupted: Cell<bool>,
}

impl WriteProgress {
    /// Progress of a request with a body of that length.
    pub fn new(body: usize) -> Self {
        let progress = Self::default();
        progress.0.body_left.set(body);
        progress
    }

    /// Records written bytes.
    pub fn record_written(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let state = &self.0;
        state.has_started.set(true);
        let mut bytes = bytes.iter();
        while state.head_end.get() < 4 {
            let Some(&byte) = bytes.next() else { return };
            let seen = state.head_end.get();
            state.head_end.set(match byte {
                b'\r' if seen == 2 => 3,
                b'\r' => 1,
                b'\n' if seen == 1 || seen == 3 => seen + 1,
                _ => 0,
            });
        }
        state
            .body_left
            .set(state.body_left.get().saturating_sub(bytes.len()));
    }

    /// Records that the peer has sent something.
    pub fn record_read(&self) {
        if self.has_started() && !self.is_complete() {
            self.0.interrupted.set(true);
        }
    }

    /// Whether the peer has sent something between the first and the last byte.
    pub fn was_interrupted(&self) -> bool {
        self.0.interrupted.get()
    }

    /// Whether any byte was written.
    pub fn has_started(&self) -> bool {
        self.0.has_started.get()
    }

    /// Whether the last byte was written.
    pub fn is_complete(&self) -> bool {
        self.0.head_end.get() == 4 && self.0.body_left.get() == 0
    }
}

#[cfg(test)]
mod tests;
