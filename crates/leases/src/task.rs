//! The state of one singleton task: its holder, lease and fencing token.

use crate::event::Claimant;
use serde::{Deserialize, Serialize};

/// One task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Task {
    /// Who has it.
    pub held: Option<HeldLease>,
    /// Who wants it, first those who go first.
    pub waiting: Vec<Waiting>,
    /// Number of the change by which its holder last changed.
    pub changed: u64,
}

/// A lease that is given.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeldLease {
    /// Who holds the task.
    pub by: Claimant,
    /// The token: no other grant has it, later ones have higher ones.
    pub token: u64,
    /// How often the holder was heard since the grant.
    pub renewals: u64,
}

/// One who waits.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Waiting {
    /// Who.
    pub by: Claimant,
    /// How often it was heard.
    pub asks: u64,
}

impl Task {
    /// Whether the holder is of that name and token.
    pub(crate) fn held_by(&self, name: &str, token: u64) -> Option<&HeldLease> {
        self.held
            .as_ref()
            .filter(|held| held.by.name == name && held.token == token)
    }

    /// The first who waits with a higher rank than the holder's.
    pub(crate) fn wanted_by(&self) -> Option<String> {
        let held = self.held.as_ref()?;
        self.waiting
            .first()
            .filter(|w| w.by.rank > held.by.rank)
            .map(|w| w.by.name.clone())
    }

    /// Takes one who waits out of the row.
    pub(crate) fn take(&mut self, name: &str) -> Option<Waiting> {
        let place = self.waiting.iter().position(|w| w.by.name == name)?;
        Some(self.waiting.remove(place))
    }

    /// Puts one into the row: behind all of its rank or a higher one.
    pub(crate) fn wait(&mut self, new: Waiting) {
        let place = self.waiting.partition_point(|w| w.by.rank >= new.by.rank);
        self.waiting.insert(place, new);
    }
}
