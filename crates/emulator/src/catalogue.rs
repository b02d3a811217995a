//! The list of servers during a run: the planned changes, and those made by the platform.

use crate::Us;
use crate::directory::{Change, Directory, State};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;

/// A list with many readers that the platform changes.
#[derive(Clone, Debug)]
pub struct Catalogue {
    directory: Arc<Mutex<Directory>>,
    changes: Arc<watch::Sender<u64>>,
}

impl Catalogue {
    /// Starts with the planned changes.
    pub fn new(directory: Directory) -> Self {
        Self {
            directory: Arc::new(Mutex::new(directory)),
            changes: Arc::new(watch::channel(0).0),
        }
    }

    /// Reads the list.
    pub fn with<T>(&self, read: impl FnOnce(&Directory) -> T) -> T {
        read(
            &self
                .directory
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Changes a server's state now, and removes its planned later changes, as the platform
    /// controls it from now on.
    pub fn set(&self, now: Us, server: usize, state: State) {
        let mut directory = self
            .directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        directory
            .changes
            .retain(|change| change.at <= now || change.server != server);
        // No agent has received later changes yet, so no version changes its meaning.
        let index = directory.changes.partition_point(|change| change.at <= now);
        directory.changes.insert(
            index,
            Change {
                at: now,
                server,
                state,
            },
        );
        drop(directory);
        self.changes.send_modify(|number| *number += 1);
    }

    /// When the process of a server that is listed at `now` started, according to the list.
    pub fn process_start(&self, now: Us, server: usize) -> Option<Us> {
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

    /// Notifies of each change by the platform.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

#[cfg(test)]
mod tests;
