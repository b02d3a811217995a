//! The check of fencing tokens at the thing that is acted on.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The highest token seen of each task, at whatever is acted on. Where acts outlive the process, it
/// is kept on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencingGate {
    seen: BTreeMap<String, u64>,
}

/// An act may be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pass {
    /// Its token was seen before.
    Known,
    /// Its token is the highest so far: where the gate is kept on disk it must be there before the
    /// act is done.
    First,
}

/// An act may not be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stale {
    /// A higher token was seen.
    Seen(u64),
    /// The gate has as many tasks as it was told to keep.
    Full,
}

impl FencingGate {
    /// Whether an act on a task with that token may be done; a higher token than seen is
    /// remembered. Keeps at most `most` tasks.
    ///
    /// # Errors
    /// It may not, with the reason.
    pub fn pass(&mut self, task: &str, token: u64, most: usize) -> Result<Pass, Stale> {
        let full = self.seen.len() >= most;
        match self.seen.get_mut(task) {
            Some(seen) if token < *seen => Err(Stale::Seen(*seen)),
            Some(seen) if token == *seen => Ok(Pass::Known),
            Some(seen) => {
                *seen = token;
                Ok(Pass::First)
            }
            None if full => Err(Stale::Full),
            None => {
                self.seen.insert(task.to_owned(), token);
                Ok(Pass::First)
            }
        }
    }

    /// The highest token seen of a task.
    pub fn seen(&self, task: &str) -> Option<u64> {
        self.seen.get(task).copied()
    }
}
