//! Updates that are still disseminated.
//!
//! Updates made or newly received here are included in periodic messages to random members (Demers
//! et al., PODC 1987, p. 1, "rumor mongering" by counter): the least often sent first, each time
//! with the current entry of the table.

use crate::entry::Process;
use std::cmp::Reverse;
use std::collections::HashMap;

/// Periodic messages that include an update: with four receivers each, 12 sends. At 30% loss, one
/// member in 4,000 is missed by all that forward an update.
pub const SENDS_PER_UPDATE: u8 = 3;
/// Most pending updates; the most often sent is removed first.
const MAX_PENDING: usize = 1024;

/// Updates that are to be disseminated.
#[derive(Clone, Debug, Default)]
pub struct PendingUpdates {
    remaining_sends: HashMap<(u64, Process), u8>,
    /// Updates removed for others before they were sent often enough.
    pub dropped: u64,
}

impl PendingUpdates {
    /// Adds an update that is new here.
    pub fn add(&mut self, key: u64, process: Process) {
        if self.remaining_sends.len() >= MAX_PENDING
            && !self.remaining_sends.contains_key(&(key, process))
        {
            let most_sent = self
                .remaining_sends
                .iter()
                .min_by_key(|(of, left)| (**left, **of))
                .map(|(of, _)| *of);
            most_sent.and_then(|of| self.remaining_sends.remove(&of));
            self.dropped += 1;
        }
        self.remaining_sends
            .insert((key, process), SENDS_PER_UPDATE);
    }

    /// All updates, the least often sent first.
    pub fn by_priority(&self) -> Vec<(u64, Process)> {
        let mut waiting: Vec<_> = self
            .remaining_sends
            .iter()
            .map(|(of, left)| (Reverse(*left), *of))
            .collect();
        waiting.sort_unstable();
        waiting.into_iter().map(|(_, of)| of).collect()
    }

    /// Records that an update was sent, or drops it as expired.
    pub fn record_sent(&mut self, update: (u64, Process), is_expired: bool) {
        if let Some(remaining) = self.remaining_sends.get_mut(&update) {
            *remaining = if is_expired { 0 } else { *remaining - 1 };
            if *remaining == 0 {
                self.remaining_sends.remove(&update);
            }
        }
    }

    /// Number of pending updates.
    pub fn count(&self) -> usize {
        self.remaining_sends.len()
    }
}

#[cfg(test)]
mod tests;
