//! The `[fleet.affinity_entries]` section of a product configuration; docs/affinity.md is the
//! reference.

use crate::Micros;
use crate::publishing::PublishRates;
use crate::time::Times;
use load_balancer_common::config::InvalidSetting;
use load_balancer_common::units::Time;
use serde::{Deserialize, Serialize};

/// The section.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AffinityEntriesSection {
    /// Whether affinity entries are used; requires a fleet.
    pub enabled: bool,
    /// Length of the slots in which all members count time.
    pub slot: Time,
    /// Lifetime of the entry of a key used once, from that use.
    #[serde(alias = "life_new")]
    pub first_lifetime: Time,
    /// Lifetime of the entry of a key used again, from the last use.
    #[serde(alias = "life_held")]
    pub renewed_lifetime: Time,
    /// Time in which an update reaches every member in contact.
    #[serde(alias = "spread")]
    pub dissemination_time: Time,
    /// Time over which the keys of a draining process migrate.
    #[serde(alias = "moving")]
    pub migration_time: Time,
    /// Time out of contact after which a member uses no entry.
    #[serde(alias = "silence")]
    pub contact_timeout: Time,
    /// Allowance of that for messages in transit.
    pub late: Time,
    /// Longest time from a pick by an entry to the end of its request.
    pub longest_use: Time,
    /// Most keys with entries.
    pub keys: usize,
    /// First uses per second that all members together publish.
    #[serde(alias = "words_per_s")]
    pub updates_per_s: f64,
}

impl Default for AffinityEntriesSection {
    fn default() -> Self {
        Self {
            enabled: false,
            // Divides the lifetimes; they are exact to one slot.
            slot: Time::ms(500),
            // Servers cache a key for 2.3 to 12 s after its last use. The first lifetime is the
            // longest of these; the renewed one is three times as long, as each renewal costs
            // updates, and a cold pick costs no more than any other.
            first_lifetime: Time::ms(12_000),
            renewed_lifetime: Time::ms(36_000),
            // Twice the five periodic messages that reach 60 members; at 30% loss they reach the
            // rest too.
            dissemination_time: Time::ms(3000),
            // As long as a new server takes to warm up (7.4 s): the others then get a twentieth
            // more keys per second.
            migration_time: Time::ms(8000),
            contact_timeout: Time::ms(4000),
            late: Time::ms(1000),
            // The longest deadline of the platform is 4 s.
            longest_use: Time::ms(5000),
            keys: 16_384,
            // About 15 bytes each, in twelve sends: at most 9 kB per second and member.
            updates_per_s: 50.0,
        }
    }
}

/// Most keys, at 100 bytes each.
const MAX_KEYS: usize = 1 << 20;

impl AffinityEntriesSection {
    /// Rejects settings that can't work.
    ///
    /// # Errors
    /// The key, and why its value can't be used.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        let error = |key: &str, why: &str| {
            Err(InvalidSetting::new(
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
                return error(key, "it must be 1 ms to a day");
            }
        }
        if times.first_lifetime < times.dissemination_time + 2 {
            return error(
                "first_lifetime",
                "it must be above dissemination_time by two slots, or nothing could be told in time",
            );
        }
        if times.renewed_lifetime < times.first_lifetime {
            return error(
                "renewed_lifetime",
                "it must be no shorter than first_lifetime",
            );
        }
        if !(1..=MAX_KEYS).contains(&self.keys) {
            return error("keys", "it must be 1 to 1,048,576");
        }
        if !(self.updates_per_s > 0.0 && self.updates_per_s <= 100_000.0) {
            return error("updates_per_s", "it must be above 0 and at most 100,000");
        }
        Ok(())
    }

    fn micros(&self, time: Time) -> Micros {
        i64::try_from(time.0.as_micros()).unwrap_or(i64::MAX)
    }

    /// The times, for clocks that differ by at most half a second; see
    /// [`AffinityEntriesSection::times_with`].
    pub fn times(&self) -> Times {
        self.times_with(500_000)
    }

    /// The times, for clocks that differ by at most that many microseconds.
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

    /// The rate limits, in a fleet of that many members.
    pub fn rates(&self, members: u32) -> PublishRates {
        PublishRates {
            updates_per_s: self.updates_per_s,
            members: f64::from(members.max(2)),
        }
    }
}

#[cfg(test)]
mod tests;
