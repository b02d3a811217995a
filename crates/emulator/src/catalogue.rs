//! The list of servers during a run: what was planned, and what the platform adds.

use crate::Us;
use crate::directory::{Change, Directory, State};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;

/// A list that many read and the platform changes.
#[derive(Clone, Debug)]
pub struct Catalogue {
    directory: Arc<Mutex<Directory>>,
    changes: Arc<watch::Sender<u64>>,
}

impl Catalogue {
    /// As it was drawn.
    pub fn new(directory: Directory) -> Self {
        Self {
            directory: Arc::new(Mutex::new(directory)),
            changes: Arc::new(watch::channel(0).0),
        }
    }

    /// Reads the list.
    pub fn with<T>(&self, what: impl FnOnce(&Directory) -> T) -> T {
        what(
            &self
                .directory
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// A server's state changes now. What was drawn of it for later no longer comes: the platform
    /// has it in hand.
    pub fn set(&self, now: Us, server: usize, state: State) {
        let mut directory = self
            .directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        directory
            .changes
            .retain(|change| change.at <= now || change.server != server);
        // Nobody has heard of what comes later, so that no version changes its meaning.
        let place = directory.changes.partition_point(|change| change.at <= now);
        directory.changes.insert(
            place,
            Change {
                at: now,
                server,
                state,
            },
        );
        drop(directory);
        self.changes.send_modify(|number| *number += 1);
    }

    /// When a server's process that is listed at `now` started, as the list has it.
    pub fn since(&self, now: Us, server: usize) -> Option<Us> {
        self.with(|directory| {
            let earlier = directory
                .changes
                .iter()
                .take_while(|change| change.at <= now);
            let last = earlier
                .filter(|change| change.server == server)
                .filter_map(|change| match change.state {
                    State::Active { since } => Some(since),
                    State::Leaving | State::Left => None,
                });
            last.last().flatten()
        })
    }

    /// Told of each change by the platform.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

#[cfg(test)]
mod tests;
