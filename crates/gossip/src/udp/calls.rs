//! What other tasks of the thread tell a member and ask of it.

use super::{Fleet, FragmentHandler, NoteHandler};
use crate::core::{Core, Listed, MembershipSummary};
use crate::fragments::FragmentRefused;
use crate::observation_table::ObservedHealth;
use crate::summary::Servers;

impl Fleet {
    /// From now on that one is told of what is carried here; until then it is dropped.
    pub fn on_carried(&self, carries: FragmentHandler) {
        *self.carries.borrow_mut() = Some(carries);
    }

    /// From now on that one is told of what people should know.
    pub fn on_notes(&self, notes: NoteHandler) {
        *self.notes.borrow_mut() = Some(notes);
    }

    /// The version of the program, as others' membership table show it.
    pub fn set_version(&self, version: &str) {
        self.core.borrow_mut().set_version(version);
    }

    /// Spreads a fragment to all members; see [`Core::carry`].
    ///
    /// # Errors
    /// Why it is not.
    pub fn carry(&self, kind: u8, bytes: &[u8]) -> Result<(), FragmentRefused> {
        self.with(|core, now| core.carry(now, kind, bytes))
    }

    /// Sends a fragment to one member; see [`Core::carry_to`].
    ///
    /// # Errors
    /// Why it is not.
    pub fn carry_to(&self, to: u64, kind: u8, bytes: &[u8]) -> Result<(), FragmentRefused> {
        self.with(|core, now| core.carry_to(now, to, kind, bytes))
    }

    /// Members drawn at random; see [`Core::neighbours`].
    pub fn neighbours(&self, most: usize) -> Vec<u64> {
        self.with(|core, _| core.neighbours(most))
    }

    /// The list has changed.
    pub fn listed(&self, list: Vec<Listed>) {
        self.with(|core, now| core.listed(now, list));
    }

    /// Discovery has answered: the list is as new as this.
    pub fn list_seen(&self) {
        self.with(Core::list_seen);
    }

    /// Where the endpoints of the list stand, by their numbers.
    pub fn placed<'a>(&self, zones: impl Iterator<Item = (usize, &'a str)>) {
        self.core.borrow_mut().placed(zones);
    }

    /// An endpoint has served this member, or has not.
    pub fn observe(&self, endpoint: usize, health: ObservedHealth) {
        self.with(|core, now| core.observe(now, endpoint, health));
    }

    /// Tells the others that it leaves.
    pub fn leave(&self) {
        self.with(Core::leave);
    }

    /// What it may tell the coordinator.
    pub fn servers(&self) -> Servers {
        self.with(|core, now| core.servers(now))
    }

    /// What people want to see.
    pub fn summary(&self) -> MembershipSummary {
        self.with(|core, now| core.summary(now))
    }
}
