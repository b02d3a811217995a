//! The list of servers as discovery learns it.

use crate::Us;

/// The state of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts requests; its process started at that time, or long ago.
    Active {
        /// Time since the start of the run.
        since: Option<Us>,
    },
    /// Drains.
    Leaving,
    /// Removed.
    Left,
}

/// A change of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// When discovery learns of it; each sidecar's agent does so later.
    pub at: Us,
    /// The server.
    pub server: usize,
    /// Its new state.
    pub state: State,
}

/// The initial list as version 1, and a further version for each change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    /// Servers that are active from the start.
    pub initial: Vec<usize>,
    /// Changes by time.
    pub changes: Vec<Change>,
}

impl Directory {
    /// The number of changes known at `now` to an agent with that delay.
    pub fn version_at(&self, now: Us, lag: Us) -> usize {
        self.changes
            .partition_point(|change| change.at.saturating_add(lag) <= now)
    }

    /// When such an agent learns of the next change after that many.
    pub fn next_change_at(&self, version: usize, lag: Us) -> Option<Us> {
        self.changes
            .get(version)
            .map(|change| change.at.saturating_add(lag))
    }

    /// The whole list after that many changes: every server that is not removed.
    pub fn list_at(&self, version: usize) -> Vec<(usize, State)> {
        let mut list: std::collections::BTreeMap<usize, State> = self
            .initial
            .iter()
            .map(|server| (*server, State::Active { since: None }))
            .collect();
        for change in &self.changes[..version] {
            list.insert(change.server, change.state);
        }
        list.into_iter()
            .filter(|(_, state)| *state != State::Left)
            .collect()
    }

    /// The changes between two versions: the latest state of each server.
    pub fn changes_between(&self, from_version: usize, to_version: usize) -> Vec<(usize, State)> {
        let changes = &self.changes[from_version.min(to_version)..to_version];
        let mut list: std::collections::BTreeMap<usize, State> = Default::default();
        list.extend(changes.iter().map(|change| (change.server, change.state)));
        list.into_iter().collect()
    }
}

#[cfg(test)]
mod tests;
