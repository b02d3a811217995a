//! A buffered standard error that never blocks its writer.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::collections::VecDeque;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, PoisonError};

/// A pipe that polls as writable takes this much at once (`PIPE_BUF`, pipe(7)).
const AT_ONCE: usize = 4096;

/// Where bytes go.
pub trait Sink: Send {
    /// Whether `AT_ONCE` bytes would be taken without a wait.
    fn ready(&self) -> bool;
    /// Writes some of them, and says how many.
    fn take(&mut self, bytes: &[u8]) -> io::Result<usize>;
}

/// The process's standard error.
pub struct Stderr;

impl Sink for Stderr {
    fn ready(&self) -> bool {
        let stderr = io::stderr();
        let mut one = [PollFd::from_borrowed_fd(stderr.as_fd(), PollFlags::OUT)];
        matches!(poll(&mut one, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })), Ok(n) if n > 0)
    }

    fn take(&mut self, bytes: &[u8]) -> io::Result<usize> {
        io::stderr().write(bytes)
    }
}

/// Lines on their way to a sink: written at once where it takes them, else kept up to a bound and
/// tried again with the next line. What does not fit is dropped, newest first, and counted; the
/// count is written in their place.
pub struct Lines<S> {
    sink: S,
    program: &'static str,
    waiting: VecDeque<u8>,
    most: usize,
    unsaid: u64,
    dropped: u64,
}

impl<S: Sink> Lines<S> {
    /// At most `most` bytes wait for `sink`.
    pub fn new(sink: S, program: &'static str, most: usize) -> Self {
        Self {
            sink,
            program,
            waiting: VecDeque::new(),
            most,
            unsaid: 0,
            dropped: 0,
        }
    }

    /// Writes or keeps a line, which ends with a line break.
    pub fn line(&mut self, line: &[u8]) {
        self.flush();
        if self.unsaid > 0 {
            let note = format!(
                "{}: {} lines dropped, standard error did not take them\n",
                self.program, self.unsaid
            );
            if self.keep(note.as_bytes()) {
                self.unsaid = 0;
            }
        }
        if self.unsaid > 0 || !self.keep(line) {
            self.unsaid += 1;
            self.dropped += 1;
        }
        self.flush();
    }

    fn keep(&mut self, bytes: &[u8]) -> bool {
        let fits = self.waiting.len() + bytes.len() <= self.most;
        if fits {
            self.waiting.extend(bytes);
        }
        fits
    }

    /// Writes what the sink takes without a wait.
    pub fn flush(&mut self) {
        while !self.waiting.is_empty() && self.sink.ready() {
            let (front, _) = self.waiting.as_slices();
            match self.sink.take(&front[..front.len().min(AT_ONCE)]) {
                Ok(0) => return,
                Ok(written) => drop(self.waiting.drain(..written)),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // Closed for good: there is nobody to tell.
                Err(_) => {
                    self.dropped += self.waiting.iter().filter(|b| **b == b'\n').count() as u64;
                    return self.waiting.clear();
                }
            }
        }
    }

    /// Lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// Lines that several threads write.
pub struct Shared<S>(Arc<Mutex<Lines<S>>>);

impl<S> Clone for Shared<S> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<S: Sink> Shared<S> {
    /// Shares them.
    pub fn new(lines: Lines<S>) -> Self {
        Self(Arc::new(Mutex::new(lines)))
    }

    /// Does something with them.
    pub fn with<T>(&self, what: impl FnOnce(&mut Lines<S>) -> T) -> T {
        // A writer that panicked has left whole bytes behind: they are still good.
        what(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

#[cfg(test)]
mod tests;
