//! The `[fleet.affinity_entries]` section of a product configuration; docs/affinity.md is its
//! reference.

use crate::Micros;
use crate::publishing::PublishRates;
use crate::time::Times;
use load_balancer_common::config::Contradiction;
use load_balancer_common::units::Time;
use serde::{Deserialize, Serialize};

/// The section.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AffinityEntriesSection {
    /// Whether affinity entries are kept; it needs a fleet.
    pub enabled: bool,
    /// Length of the slots in which all members count time.
    pub slot: Time,
    /// Lifetime of the entry of a key met once, from its last use.
    #[serde(alias = "life_new")]
    pub first_lifetime: Time,
    /// Lifetime of the entry of a key met again, from its last use.
    #[serde(alias = "life_held")]
    pub renewed_lifetime: Time,
    /// How long an update needs to reach every member in contact.
    #[serde(alias = "spread")]
    pub dissemination_time: Time,
    /// How long the keys of a draining process take to migrate.
    #[serde(alias = "moving")]
    pub migration_time: Time,
    /// After how long out of contact a member uses no entry.
    #[serde(alias = "silence")]
    pub contact_timeout: Time,
    /// Slack of that for what is in flight.
    pub late: Time,
    /// Longest time from a pick by an entry to the end of its request.
    pub longest_use: Time,
    /// Keys with entries at most.
    pub keys: usize,
    /// First uses a second that all members together publish.
    #[serde(alias = "words_per_s")]
    pub updates_per_s: f64,
}

impl Default for AffinityEntriesSection {
    fn default() -> Self {
        Self {
            enabled: false,
            // A fifth of the shortest life that divides: lives are exact to one slot.
            slot: Time::ms(500),
            // Servers remember a key for 2.3 to 12 s from its last use there. The longest of these
            // for what was met once; what is met again lives three times as long, as each renewal
            // costs entries, and a cold pick no more than any other.
            first_lifetime: Time::ms(12_000),
            renewed_lifetime: Time::ms(36_000),
            // Twice the five periodic messages that reach 60 members; with three in ten lost, the
            // rest too.
            dissemination_time: Time::ms(3000),
            // As long as a fresh server takes to be warm (7.4 s): the others then get a twentieth
            // more a second.
            migration_time: Time::ms(8000),
            contact_timeout: Time::ms(4000),
            late: Time::ms(1000),
            // The longest deadline that the platform knows is 4 s.
            longest_use: Time::ms(5000),
            keys: 16_384,
            // Some 15 bytes each, in twelve sends: 9 kB a second and member at the most.
            updates_per_s: 50.0,
        }
    }
}

/// Most keys: 100 bytes each.
const MAX_KEYS: usize = 1 << 20;

impl AffinityEntriesSection {
    /// Finds what nothing could work with.
    ///
    /// # Errors
    /// The key and why its value can't be used.
    pub fn check(&self) -> Result<(), Contradiction> {
        let wrong = |key: &str, why: &str| {
            Err(Contradiction::new(
                &format!("fleet.affinity_entries.{key}"),
                why,
            ))
        };
        let times = self.times();
        let day = 86_400_000_000;
        for (key, time) in [
            ("slot", times.slot),
            ("first_lifetime", self.micros(self.first_lifetime)),
            ("renewed_lifetime", self.micros(self.renewed_lifetime)),
            ("dissemination_time", self.micros(self.dissemination_time)),
            ("migration_time", self.micros(self.migration_time)),
            ("contact_timeout", times.contact_timeout),
            ("late", times.late),
            ("longest_use", times.longest_use),
        ] {
            if !(1000..=day).contains(&time) {
                return wrong(key, "it must be 1 ms to a day");
            }
        }
        if times.first_lifetime < times.dissemination_time + 2 {
            return wrong(
                "first_lifetime",
                "it must be above dissemination_time by two slots, or nothing could be told in time",
            );
        }
        if times.renewed_lifetime < times.first_lifetime {
            return wrong(
                "renewed_lifetime",
                "it must be no shorter than first_lifetime",
            );
        }
        if !(1..=MAX_KEYS).contains(&self.keys) {
            return wrong("keys", "it must be 1 to 1,048,576");
        }
        if !(self.updates_per_s > 0.0 && self.updates_per_s <= 100_000.0) {
            return wrong("updates_per_s", "it must be above 0 and at most 100,000");
        }
        Ok(())
    }

    fn micros(&self, time: Time) -> Micros {
        i64::try_from(time.0.as_micros()).unwrap_or(i64::MAX)
    }

    /// Its times, with clocks that are off by no more than half a second; see
    /// [`AffinityEntriesSection::times_with`].
    pub fn times(&self) -> Times {
        self.times_with(500_000)
    }

    /// Its times, with clocks that are off by no more than that many microseconds.
    pub fn times_with(&self, skew: Micros) -> Times {
        let slot = self.micros(self.slot).max(1);
        let slots = |time: Time| {
            let time = self.micros(time);
            time.div_euclid(slot) + i64::from(time.rem_euclid(slot) != 0)
        };
        Times {
            slot,
            first_lifetime: slots(self.first_lifetime),
            renewed_lifetime: slots(self.renewed_lifetime),
            dissemination_time: slots(self.dissemination_time),
            migration_time: slots(self.migration_time).max(1),
            skew,
            contact_timeout: self.micros(self.contact_timeout),
            late: self.micros(self.late),
            longest_use: self.micros(self.longest_use),
        }
    }

    /// What may be told, in a fleet of that many members.
    pub fn rates(&self, members: u32) -> PublishRates {
        PublishRates {
            updates_per_s: self.updates_per_s,
            members: f64::from(members.max(2)),
        }
    }
}

#[cfg(test)]
mod tests;
