//! A buffered standard error that never blocks its writer.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::collections::VecDeque;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, PoisonError};

/// Bytes that a pipe accepts at once when it polls as writable (`PIPE_BUF`, pipe(7)).
const MAX_WRITE_BYTES: usize = 4096;

/// The destination of log lines.
pub trait LogSink: Send {
    /// Whether `MAX_WRITE_BYTES` bytes can be written without blocking.
    fn is_ready(&self) -> bool;
    /// Writes some of the bytes; returns how many.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;
}

/// The process's standard error.
pub struct Stderr;

impl LogSink for Stderr {
    fn is_ready(&self) -> bool {
        let stderr = io::stderr();
        let mut descriptors = [PollFd::from_borrowed_fd(stderr.as_fd(), PollFlags::OUT)];
        matches!(poll(&mut descriptors, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })), Ok(n) if n > 0)
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        io::stderr().write(bytes)
    }
}

/// Writes lines to a sink if it accepts them; otherwise buffers them up to a limit and retries with
/// the next line. Lines that do not fit are dropped and counted, and the count is written in their
/// place.
pub struct LineBuffer<S> {
    sink: S,
    program: &'static str,
    buffered: VecDeque<u8>,
    max_bytes: usize,
    unreported: u64,
    dropped: u64,
}

impl<S: LogSink> LineBuffer<S> {
    /// Buffers at most `max_bytes` for `sink`.
    pub fn new(sink: S, program: &'static str, max_bytes: usize) -> Self {
        Self {
            sink,
            program,
            buffered: VecDeque::new(),
            max_bytes,
            unreported: 0,
            dropped: 0,
        }
    }

    /// Writes or buffers a line, which ends with a line break.
    pub fn write_line(&mut self, line: &[u8]) {
        self.flush();
        if self.unreported > 0 {
            let note = format!(
                "{}: {} lines dropped, standard error did not take them\n",
                self.program, self.unreported
            );
            if self.buffer(note.as_bytes()) {
                self.unreported = 0;
            }
        }
        if self.unreported > 0 || !self.buffer(line) {
            self.unreported += 1;
            self.dropped += 1;
        }
        self.flush();
    }

    fn buffer(&mut self, bytes: &[u8]) -> bool {
        let fits = self.buffered.len() + bytes.len() <= self.max_bytes;
        if fits {
            self.buffered.extend(bytes);
        }
        fits
    }

    /// Writes what the sink accepts without blocking.
    pub fn flush(&mut self) {
        while !self.buffered.is_empty() && self.sink.is_ready() {
            let (front, _) = self.buffered.as_slices();
            match self.sink.write(&front[..front.len().min(MAX_WRITE_BYTES)]) {
                Ok(0) => return,
                Ok(written) => drop(self.buffered.drain(..written)),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // Closed permanently: the lines are lost.
                Err(_) => {
                    self.dropped += self.buffered.iter().filter(|b| **b == b'\n').count() as u64;
                    return self.buffered.clear();
                }
            }
        }
    }

    /// Number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// Lines written by several threads.
pub struct SharedLines<S>(Arc<Mutex<LineBuffer<S>>>);

impl<S> Clone for SharedLines<S> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<S: LogSink> SharedLines<S> {
    /// Shares a buffer.
    pub fn new(lines: LineBuffer<S>) -> Self {
        Self(Arc::new(Mutex::new(lines)))
    }

    /// Runs an operation on the buffer.
    pub fn with<T>(&self, operation: impl FnOnce(&mut LineBuffer<S>) -> T) -> T {
        // A writer that panicked leaves only complete bytes behind.
        operation(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

#[cfg(test)]
mod tests;
