//! Tracks how much of a request a socket has taken.

use std::cell::Cell;
use std::rc::Rc;

/// How much of a request the socket has taken. An endpoint begins one when its last byte has come,
/// so until that is written it has surely not run.
#[derive(Clone, Default)]
pub struct WriteProgress(Rc<WriteProgressState>);

#[derive(Default)]
struct WriteProgressState {
    /// Bytes of the blank line that ends the head seen so far, 4 once the head is out.
    head_end: Cell<u8>,
    body_left: Cell<usize>,
    begun: Cell<bool>,
    interrupted: Cell<bool>,
}

impl WriteProgress {
    /// For a request with a body of that length.
    pub fn new(body: usize) -> Self {
        let meter = Self::default();
        meter.0.body_left.set(body);
        meter
    }

    /// The socket has taken these bytes.
    pub fn count(&self, bytes: &[u8]) {
        let state = &self.0;
        state.begun.set(true);
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

    /// The peer has said something.
    pub fn heard(&self) {
        if self.begun() && !self.complete() {
            self.0.interrupted.set(true);
        }
    }

    /// The peer has said something between the first byte and the last.
    pub fn interrupted(&self) -> bool {
        self.0.interrupted.get()
    }

    /// Some byte is out.
    pub fn begun(&self) -> bool {
        self.0.begun.get()
    }

    /// The last byte is out.
    pub fn complete(&self) -> bool {
        self.0.head_end.get() == 4 && self.0.body_left.get() == 0
    }
}

#[cfg(test)]
mod tests;
