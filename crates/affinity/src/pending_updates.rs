//! Updates that are disseminated until enough members have them.
//!
//! What is told here, or was new here, goes along with periodic messages to members drawn anew each
//! time (Demers et al., PODC 1987, p. 1, "rumor mongering" by counter): what went least often
//! first, each time as the table has it by then.

use crate::entry::Process;
use std::cmp::Reverse;
use std::collections::HashMap;

/// Periodic messages with which an entry goes: of four sends each, 12. With three in ten lost, one
/// member in 4,000 is missed by all who pass an entry on.
pub const ROUNDS: u8 = 3;
/// Entries that wait; what went most often makes room.
const MAX_ENTRIES: usize = 1024;

/// Entries that are to be forwarded.
#[derive(Clone, Debug, Default)]
pub struct PendingUpdates {
    left: HashMap<(u64, Process), u8>,
    /// Entries that made room before they went as often as they should.
    pub dropped: u64,
}

impl PendingUpdates {
    /// An entry is new here.
    pub fn add(&mut self, key: u64, process: Process) {
        if self.left.len() >= MAX_ENTRIES && !self.left.contains_key(&(key, process)) {
            let least = self
                .left
                .iter()
                .min_by_key(|(of, left)| (**left, **of))
                .map(|(of, _)| *of);
            least.and_then(|of| self.left.remove(&of));
            self.dropped += 1;
        }
        self.left.insert((key, process), ROUNDS);
    }

    /// All, those that went least often first.
    pub fn waiting(&self) -> Vec<(u64, Process)> {
        let mut waiting: Vec<_> = self
            .left
            .iter()
            .map(|(of, left)| (Reverse(*left), *of))
            .collect();
        waiting.sort_unstable();
        waiting.into_iter().map(|(_, of)| of).collect()
    }

    /// One went once, or is over.
    pub fn went(&mut self, of: (u64, Process), over: bool) {
        if let Some(left) = self.left.get_mut(&of) {
            *left = if over { 0 } else { *left - 1 };
            if *left == 0 {
                self.left.remove(&of);
            }
        }
    }

    /// How many wait.
    pub fn count(&self) -> usize {
        self.left.len()
    }
}

#[cfg(test)]
mod tests;
