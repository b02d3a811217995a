//! Safety rules that tests switch off one at a time, to see that the property which each of them
//! ensures is violated.

/// The rules in effect; outside of tests, all of them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SafetyRules {
    /// An entry ages from the use that it records, not from its arrival (property a).
    pub ages_from_use: bool,
    /// Entries for an ended epoch are rejected (properties a and d).
    pub rejects_ended_epochs: bool,
    /// Uses are published before the entry expires at others (property b).
    pub publishes_renewals: bool,
    /// A full table evicts in an order that all members share (property c).
    pub evicts_in_common_order: bool,
    /// A member that may be out of contact uses no entries, by its own clock (property d).
    pub uses_contact_timeout: bool,
    /// A process is clear only after the contact timeout of unheard members (property d).
    pub waits_for_contact_timeout: bool,
    /// Only uses whose entry would otherwise expire are published (property e).
    pub publishes_sparsely: bool,
}

impl SafetyRules {
    /// All rules, as outside of tests.
    pub(crate) const ALL: Self = Self {
        ages_from_use: true,
        rejects_ended_epochs: true,
        publishes_renewals: true,
        evicts_in_common_order: true,
        uses_contact_timeout: true,
        waits_for_contact_timeout: true,
        publishes_sparsely: true,
    };
}
