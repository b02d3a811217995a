//! Slots of wall-clock time, which all members count alike.

use crate::Micros;

/// The how-manieth slot of Unix time.
pub type Slot = i64;

/// Times of an affinity entry, in slots of wall-clock time and in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Length of a slot in microseconds.
    pub slot: Micros,
    /// Slots from the last use for which a key met once is bound.
    pub first_lifetime: Slot,
    /// Slots from the last use for which a key met again is bound.
    pub renewed_lifetime: Slot,
    /// Slots that an entry needs to be with everybody who hears.
    pub dissemination_time: Slot,
    /// Slots over which the keys of a process that leaves move.
    pub migration_time: Slot,
    /// How far members' clocks may be off from each other, in microseconds.
    pub skew: Micros,
    /// Time on the own monotonic clock after which a member that heard nobody uses no affinity
    /// entry.
    pub contact_timeout: Micros,
    /// Age from which what came is no sign that its sender is heard.
    pub late: Micros,
    /// Longest time from the pick of an affinity entry to the end of its request.
    pub longest_use: Micros,
}

impl Times {
    /// The slot of an instant.
    pub fn slot(&self, now: Micros) -> Slot {
        now.div_euclid(self.slot)
    }

    /// Slots that cover a time.
    pub fn slots(&self, time: Micros) -> Slot {
        time.div_euclid(self.slot) + i64::from(time.rem_euclid(self.slot) != 0)
    }

    /// How long an affinity entry lives from its last use.
    pub fn lifetime(&self, held: bool) -> Slot {
        if held {
            self.renewed_lifetime
        } else {
            self.first_lifetime
        }
    }

    /// Time on the asked member's monotonic clock from when it knew that everybody heard is clear
    /// to when whoever is not heard is silent, its last request ended: the silence, the age of what
    /// was last heard, two clocks that are off either way, the longest use.
    pub fn clear_after(&self) -> Micros {
        self.contact_timeout + self.late + 2 * self.skew + self.longest_use
    }

    /// When all keys of a process that leaves since that slot have moved by everybody's clock, and
    /// the last request that went by a affinity entry has ended.
    pub fn moved(&self, since: Slot) -> Micros {
        since
            .saturating_add(self.migration_time + 1)
            .saturating_mul(self.slot)
            + 2 * self.skew
            + self.longest_use
    }

    /// Slots for which it is remembered that a process left: until no entry on it can be alive at
    /// any member.
    pub fn remembered(&self) -> Slot {
        let longest = self.slots(self.clear_after())
            + self.migration_time
            + self.first_lifetime.max(self.renewed_lifetime);
        2 * longest
    }
}

#[cfg(test)]
mod tests;
