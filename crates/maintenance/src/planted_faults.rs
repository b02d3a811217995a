//! Faults that the crate's own model tests may plant; outside of them there is none.

use crate::machine::Machine;

/// Faults that a test plants to see that it would find them.
#[cfg(test)]
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
pub(crate) struct PlantedFault {
    /// A grant is not debited.
    pub(crate) no_debit: bool,
    /// A server is taken before it is clear.
    pub(crate) no_clear: bool,
}

impl Machine {
    /// Whether an open grant is debited.
    #[cfg(not(test))]
    pub(crate) fn debits_admissions(&self) -> bool {
        true
    }

    /// Whether a take waits for the clear.
    #[cfg(not(test))]
    pub(crate) fn waits_for_clear(&self) -> bool {
        true
    }

    #[cfg(test)]
    pub(crate) fn debits_admissions(&self) -> bool {
        !self.planted.no_debit
    }

    #[cfg(test)]
    pub(crate) fn waits_for_clear(&self) -> bool {
        !self.planted.no_clear
    }
}
