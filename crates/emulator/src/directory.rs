//! The list of servers as discovery learns it.

use crate::Us;

/// State of a server on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes requests; its process started then, or long ago.
    Active {
        /// Time since the run began.
        since: Option<Us>,
    },
    /// It finishes what it has.
    Leaving,
    /// It is gone.
    Left,
}

/// Something that the list comes to tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// When discovery learns of it; each sidecar's agent some time later.
    pub at: Us,
    /// The server.
    pub server: usize,
    /// Its state from then on.
    pub state: State,
}

/// What is known at the beginning, as version 1, and each change after it, as one version more.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    /// Servers that are active from the beginning.
    pub known: Vec<usize>,
    /// Changes by time.
    pub changes: Vec<Change>,
}

impl Directory {
    /// How many changes an agent that is `lag` late has heard of at `now`.
    pub fn heard(&self, now: Us, lag: Us) -> usize {
        self.changes
            .partition_point(|change| change.at.saturating_add(lag) <= now)
    }

    /// When such an agent next hears of something, after so many changes.
    pub fn next(&self, heard: usize, lag: Us) -> Option<Us> {
        self.changes
            .get(heard)
            .map(|change| change.at.saturating_add(lag))
    }

    /// The whole list after so many changes: every server that is not gone.
    pub fn whole(&self, heard: usize) -> Vec<(usize, State)> {
        let mut list: std::collections::BTreeMap<usize, State> = self
            .known
            .iter()
            .map(|server| (*server, State::Active { since: None }))
            .collect();
        for change in &self.changes[..heard] {
            list.insert(change.server, change.state);
        }
        list.into_iter()
            .filter(|(_, state)| *state != State::Left)
            .collect()
    }

    /// What has changed between two such counts: the newest state of each server.
    pub fn between(&self, from: usize, to: usize) -> Vec<(usize, State)> {
        let changes = &self.changes[from.min(to)..to];
        let mut list: std::collections::BTreeMap<usize, State> = Default::default();
        list.extend(changes.iter().map(|change| (change.server, change.state)));
        list.into_iter().collect()
    }
}

#[cfg(test)]
mod tests;
