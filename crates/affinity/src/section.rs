//! The `[fleet.affinity_entries]` section of a product configuration; docs/affinity.md is its reference.

use crate::Micros;
use crate::telling::Rates;
use crate::time::Times;
use load_balancer_common::config::Contradiction;
use load_balancer_common::units::Time;
use serde::{Deserialize, Serialize};

/// The section.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BindingsSection {
    /// Whether keys are bound; it needs a fleet.
    pub enabled: bool,
    /// Length of the slots in which all members count time.
    pub slot: Time,
    /// How long a key met once is bound from its last use.
    pub life_new: Time,
    /// How long a key met again is bound from its last use.
    pub life_held: Time,
    /// How long a word needs to be with everybody who hears.
    pub spread: Time,
    /// How long the keys of a process that leaves take to move.
    pub moving: Time,
    /// After how long a member that heard nobody uses no binding.
    pub silence: Time,
    /// Age from which what came is no sign that its sender is heard.
    pub late: Time,
    /// Longest time from the pick of a binding to the end of its request.
    pub longest_use: Time,
    /// Keys that are bound at the most.
    pub keys: usize,
    /// Words a second that all members together tell.
    pub words_per_s: f64,
}

impl Default for BindingsSection {
    fn default() -> Self {
        Self {
            enabled: false,
            // A fifth of the shortest life that divides: lives are exact to one slot.
            slot: Time::ms(500),
            // Servers remember a key for 2.3 to 12 s from its last use there. The longest of these for what was met once; what
            // is met again lives three times as long, as each renewal costs words, and a cold pick no more than any other.
            life_new: Time::ms(12_000),
            life_held: Time::ms(36_000),
            // Twice the five pulses that reach 60 members; with three in ten lost, the rest too.
            spread: Time::ms(3000),
            // As long as a fresh server takes to be warm (7.4 s): the others then get a twentieth more a second.
            moving: Time::ms(8000),
            silence: Time::ms(4000),
            late: Time::ms(1000),
            // The longest deadline that the platform knows is 4 s.
            longest_use: Time::ms(5000),
            keys: 16_384,
            // Some 15 bytes each, in twelve sends: 9 kB a second and member at the most.
            words_per_s: 50.0,
        }
    }
}

/// Most keys: 100 bytes each.
const MOST_KEYS: usize = 1 << 20;

impl BindingsSection {
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
            ("life_new", self.micros(self.life_new)),
            ("life_held", self.micros(self.life_held)),
            ("spread", self.micros(self.spread)),
            ("moving", self.micros(self.moving)),
            ("silence", times.silence),
            ("late", times.late),
            ("longest_use", times.longest_use),
        ] {
            if !(1000..=day).contains(&time) {
                return wrong(key, "it must be 1 ms to a day");
            }
        }
        if times.life_new < times.spread + 2 {
            return wrong(
                "life_new",
                "it must be above spread by two slots, or nothing could be told in time",
            );
        }
        if times.life_held < times.life_new {
            return wrong("life_held", "it must be no shorter than life_new");
        }
        if !(1..=MOST_KEYS).contains(&self.keys) {
            return wrong("keys", "it must be 1 to 1,048,576");
        }
        if !(self.words_per_s > 0.0 && self.words_per_s <= 100_000.0) {
            return wrong("words_per_s", "it must be above 0 and at most 100,000");
        }
        Ok(())
    }

    fn micros(&self, time: Time) -> Micros {
        i64::try_from(time.0.as_micros()).unwrap_or(i64::MAX)
    }

    /// Its times, with clocks that are off by no more than half a second; see [`BindingsSection::times_with`].
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
            life_new: slots(self.life_new),
            life_held: slots(self.life_held),
            spread: slots(self.spread),
            moving: slots(self.moving).max(1),
            skew,
            silence: self.micros(self.silence),
            late: self.micros(self.late),
            longest_use: self.micros(self.longest_use),
        }
    }

    /// What may be told, in a fleet of that many members.
    pub fn rates(&self, members: u32) -> Rates {
        Rates {
            words_per_s: self.words_per_s,
            members: f64::from(members.max(2)),
        }
    }
}

#[cfg(test)]
mod tests;
