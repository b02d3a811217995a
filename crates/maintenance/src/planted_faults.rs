//! Faults that the crate's own model tests plant; outside of tests there are none.

use crate::machine::Machine;

/// Faults that a test plants to check that they are detected.
#[cfg(test)]
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
pub(crate) struct PlantedFault {
    /// An admission is not debited.
    pub(crate) no_debits: bool,
    /// A server is taken before it is clear.
    pub(crate) no_drain_check: bool,
}

impl Machine {
    /// Whether an admission is debited.
    #[cfg(not(test))]
    pub(crate) fn debits_admissions(&self) -> bool {
        true
    }

    /// Whether a take waits for the server to be clear.
    #[cfg(not(test))]
    pub(crate) fn waits_for_clear(&self) -> bool {
        true
    }

    #[cfg(test)]
    pub(crate) fn debits_admissions(&self) -> bool {
        !self.planted.no_debits
    }

    #[cfg(test)]
    pub(crate) fn waits_for_clear(&self) -> bool {
        !self.planted.no_drain_check
    }
}
