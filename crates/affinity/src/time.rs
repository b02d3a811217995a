//! Slots of wall-clock time, the same at all members.

use crate::Micros;

/// The number of a slot, counted from the start of Unix time.
pub type Slot = i64;

/// The time settings of affinity entries, in slots of wall-clock time and in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Length of a slot in microseconds.
    pub slot: Micros,
    /// Lifetime of the entry of a key used once, from that use, in slots.
    pub first_lifetime: Slot,
    /// Lifetime of the entry of a key used again, from the last use, in slots.
    pub renewed_lifetime: Slot,
    /// Slots in which an update reaches every member in contact.
    pub dissemination_time: Slot,
    /// Slots over which the keys of a draining process migrate.
    pub migration_time: Slot,
    /// Largest difference between members' clocks, in microseconds.
    pub skew: Micros,
    /// Time without contact, by its monotonic clock, after which a member uses no affinity entry.
    pub contact_timeout: Micros,
    /// Age from which a message does not count as contact.
    pub late: Micros,
    /// Longest time from a pick by an affinity entry to the end of its request.
    pub longest_use: Micros,
}

impl Times {
    /// The slot of a time.
    pub fn slot(&self, now: Micros) -> Slot {
        now.div_euclid(self.slot)
    }

    /// Number of slots that cover a duration.
    pub fn slots(&self, time: Micros) -> Slot {
        time.div_euclid(self.slot) + i64::from(time.rem_euclid(self.slot) != 0)
    }

    /// Lifetime of an affinity entry from its last use, in slots.
    pub fn lifetime(&self, renewed: bool) -> Slot {
        if renewed {
            self.renewed_lifetime
        } else {
            self.first_lifetime
        }
    }

    /// Time by the queried member's monotonic clock from when all members in contact are clear
    /// until the others have stopped using entries and their last request has ended: the contact
    /// timeout, the age of the last message, two clocks with opposite skew, and the longest use.
    pub fn clear_delay(&self) -> Micros {
        self.contact_timeout + self.late + 2 * self.skew + self.longest_use
    }

    /// When all keys of a process that drains since that slot have migrated by every clock, and the
    /// last request picked by an affinity entry has ended.
    pub fn migrated_at(&self, since: Slot) -> Micros {
        since
            .saturating_add(self.migration_time + 1)
            .saturating_mul(self.slot)
            + 2 * self.skew
            + self.longest_use
    }

    /// Slots for which a drain is remembered: until no entry for the process can be valid at any
    /// member.
    pub fn retention(&self) -> Slot {
        let longest = self.slots(self.clear_delay())
            + self.migration_time
            + self.first_lifetime.max(self.renewed_lifetime);
        2 * longest
    }
}

#[cfg(test)]
mod tests;
