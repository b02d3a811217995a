//! The state of one singleton task: its holder, lease and fencing token.

use crate::event::Claimant;
use serde::{Deserialize, Serialize};

/// One singleton task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Task {
    /// Its holder.
    pub held: Option<HeldLease>,
    /// Its claimants, in the order in which they are granted the task.
    pub waiting: Vec<Waiting>,
    /// Number of the change by which its holder last changed.
    pub changed: u64,
}

/// A granted lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeldLease {
    /// The holder.
    pub by: Claimant,
    /// The fencing token: unique to this grant and higher than that of any earlier one.
    pub token: u64,
    /// How many renewals were received since the grant.
    pub renewals: u64,
}

/// A waiting claimant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Waiting {
    /// The claimant.
    pub by: Claimant,
    /// How many claims were received from it.
    pub asks: u64,
}

impl Task {
    /// The lease, if it has that holder and token.
    pub(crate) fn held_by(&self, name: &str, token: u64) -> Option<&HeldLease> {
        self.held
            .as_ref()
            .filter(|held| held.by.name == name && held.token == token)
    }

    /// The first waiting claimant with a higher rank than the holder's.
    pub(crate) fn requested_by(&self) -> Option<String> {
        let held = self.held.as_ref()?;
        self.waiting
            .first()
            .filter(|w| w.by.rank > held.by.rank)
            .map(|w| w.by.name.clone())
    }

    /// Removes a claimant from the waiting list.
    pub(crate) fn remove_waiting(&mut self, name: &str) -> Option<Waiting> {
        let position = self.waiting.iter().position(|w| w.by.name == name)?;
        Some(self.waiting.remove(position))
    }

    /// Inserts a claimant behind all of the same or a higher rank.
    pub(crate) fn insert_waiting(&mut self, waiting: Waiting) {
        let position = self
            .waiting
            .partition_point(|w| w.by.rank >= waiting.by.rank);
        self.waiting.insert(position, waiting);
    }
}
