//! Decides which uses of a key are published, and when.
//!
//! A use of a key with an entry is published only if the entry would otherwise expire, by one of
//! the members with such a use. As no member knows which others have one, each waits for a random,
//! exponentially distributed time, so that few publish first whatever their number (as for
//! multicast feedback: Nonnenmacher and Biersack, IEEE/ACM Transactions on Networking 7, 1999, p.
//! 375); the others receive the update in the meantime and publish nothing.

use crate::entry::{AffinityEntry, Process};
use crate::safety_rules::SafetyRules;
use crate::table::Table;
use crate::time::{Slot, Times};
use crate::{Micros, mix};
use std::collections::{HashMap, VecDeque};

/// Most entries published at once: they fit into a periodic message even if each has its own
/// process.
const MAX_PUBLISHED_AT_ONCE: usize = 32;
/// Most first uses that wait to be published; the oldest is dropped.
const MAX_UNPUBLISHED: usize = 1024;
/// Seconds of its share of the update rate that a member may save up, and the least burst.
const MAX_SAVED_S: f64 = 4.0;
const MIN_BURST_UPDATES: f64 = 16.0;

/// The rate limit on updates for keys without an entry.
#[derive(Clone, Copy, Debug)]
pub struct PublishRates {
    /// Updates per second by all members together.
    pub updates_per_s: f64,
    /// Number of members, at least two.
    pub members: f64,
}

/// This member's uses that may have to be published.
#[derive(Clone, Debug)]
pub struct Publishing {
    rates: PublishRates,
    member: u64,
    renewals: HashMap<(u64, Process), Slot>,
    first_uses: VecDeque<(u64, Process, Slot)>,
    tokens: f64,
    refilled_at: Micros,
    /// First uses that were dropped without being published.
    pub dropped: u64,
    pub(crate) rules: SafetyRules,
}

impl Publishing {
    /// Starts without uses.
    pub fn new(rates: PublishRates, member: u64) -> Self {
        let (renewals, first_uses) = (HashMap::new(), VecDeque::new());
        let rules = SafetyRules::ALL;
        Self {
            rates,
            member,
            renewals,
            first_uses,
            tokens: MIN_BURST_UPDATES,
            refilled_at: Micros::MAX,
            dropped: 0,
            rules,
        }
    }

    /// Sets the number of members.
    pub fn set_members(&mut self, members: usize) {
        self.rates.members = members.max(2) as f64;
    }

    /// Records that this member used a key at a process that has an entry for it or not.
    pub fn record_use(&mut self, key: u64, process: Process, slot: Slot, is_known: bool) {
        if is_known {
            self.renewals.insert((key, process), slot);
        } else if !self
            .first_uses
            .iter()
            .rev()
            .take(64)
            .any(|(k, p, _)| (*k, *p) == (key, process))
        {
            if self.first_uses.len() >= MAX_UNPUBLISHED {
                self.first_uses.pop_front();
                self.dropped += 1;
            }
            self.first_uses.push_back((key, process, slot));
        }
    }

    /// When this member publishes a use, if others know that entry.
    fn due_at(&self, key: u64, entry: AffinityEntry, times: &Times) -> Micros {
        // The update must reach every member before the entry expires by any clock.
        let lead_time = times.dissemination_time + times.slots(times.skew);
        let latest = entry.expires_slot - lead_time;
        let delay_range = ((times.lifetime(entry.renewed) - lead_time) / 2).max(1) * times.slot;
        let random = mix(mix(self.member, key), entry.expires_slot.cast_unsigned());
        let uniform = (random >> 11) as f64 / (1u64 << 53) as f64;
        let delay_fraction =
            (1.0 + uniform.max(f64::MIN_POSITIVE).ln() / self.rates.members.ln()).clamp(0.0, 1.0);
        latest * times.slot - delay_range + (delay_fraction * delay_range as f64) as Micros
    }

    /// The entries to publish now, so that none is late at the next call, `interval` from now.
    pub fn take_due(
        &mut self,
        now: Micros,
        interval: Micros,
        table: &Table,
        times: &Times,
        epoch: impl Fn(Process) -> Option<u64>,
    ) -> Vec<(u64, Process, AffinityEntry)> {
        let mut published = Vec::new();
        let uses = std::mem::take(&mut self.renewals);
        self.renewals.reserve(uses.len());
        for ((key, process), last) in uses {
            let stored = table.get(key, process);
            let Some((entry, epoch)) = stored.zip(epoch(process)) else {
                continue;
            };
            let own_entry = AffinityEntry::new(last, epoch, true, times);
            if own_entry <= entry {
                continue;
            }
            let is_due =
                now + interval > self.due_at(key, entry, times) || !self.rules.publishes_sparsely;
            match is_due && self.rules.publishes_renewals && published.len() < MAX_PUBLISHED_AT_ONCE
            {
                true => published.push((key, process, own_entry)),
                false => drop(self.renewals.insert((key, process), last)),
            }
        }
        let own_rate = self.rates.updates_per_s / self.rates.members;
        let elapsed_s = now.saturating_sub(self.refilled_at).max(0) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed_s * own_rate)
            .min((MAX_SAVED_S * own_rate).max(MIN_BURST_UPDATES));
        self.refilled_at = now;
        while self.tokens >= 1.0
            && published.len() < MAX_PUBLISHED_AT_ONCE
            && let Some((key, process, last)) = self.first_uses.pop_front()
        {
            let Some(epoch) = epoch(process) else {
                continue;
            };
            // Another member may have published it in the meantime.
            if table.get(key, process).is_some() {
                self.renewals.insert((key, process), last);
                continue;
            }
            if times.slot(now) < last + times.first_lifetime {
                published.push((key, process, AffinityEntry::new(last, epoch, false, times)));
                self.tokens -= 1.0;
            }
        }
        published
    }

    /// Number of uses that wait to be published.
    pub fn waiting(&self) -> usize {
        self.renewals.len() + self.first_uses.len()
    }
}

#[cfg(test)]
mod tests;
