//! Decides which uses of a key are published, and when.
//!
//! A use of what is bound is told only where the others would else age it out, by one of those that
//! know of such a use. As nobody knows who else does, each waits a drawn time, exponentially so
//! that few come first whatever their number (as for feedback of multicast: Nonnenmacher and
//! Biersack, IEEE/ACM Transactions on Networking 7, 1999, p. 375); who hears the entry meanwhile
//! says nothing.

use crate::entry::{AffinityEntry, Process};
use crate::safety_rules::SafetyRules;
use crate::table::Table;
use crate::time::{Slot, Times};
use crate::{Micros, mix};
use std::collections::{HashMap, VecDeque};

/// Entries told at once: they fit into a periodic message, were each on another process.
const MAX_AT_ONCE: usize = 32;
/// First uses that wait to be told; the one that waited longest makes room.
const MAX_UNPUBLISHED: usize = 1024;
/// Seconds of its part of the entries that a member may save up, and the least that this comes to.
const SAVES: f64 = 4.0;
const MIN_BURST: f64 = 16.0;

/// What may be told of keys that are not bound yet.
#[derive(Clone, Copy, Debug)]
pub struct PublishRates {
    /// By all members together.
    pub updates_per_s: f64,
    /// Members that are expected, two at the least.
    pub members: f64,
}

/// Own uses that the others may need to be told of.
#[derive(Clone, Debug)]
pub struct Publishing {
    rates: PublishRates,
    member: u64,
    uses: HashMap<(u64, Process), Slot>,
    fresh: VecDeque<(u64, Process, Slot)>,
    tokens: f64,
    filled: Micros,
    /// First uses that were never told, as too many came.
    pub dropped: u64,
    pub(crate) rules: SafetyRules,
}

impl Publishing {
    /// Nothing to tell yet.
    pub fn new(rates: PublishRates, member: u64) -> Self {
        let (uses, fresh) = (HashMap::new(), VecDeque::new());
        let rules = SafetyRules::ALL;
        Self {
            rates,
            member,
            uses,
            fresh,
            tokens: MIN_BURST,
            filled: Micros::MAX,
            dropped: 0,
            rules,
        }
    }

    /// So many members are there.
    pub fn set_members(&mut self, members: usize) {
        self.rates.members = members.max(2) as f64;
    }

    /// This member used a key there, which is bound there already or not.
    pub fn record_use(&mut self, key: u64, process: Process, slot: Slot, cached_at: bool) {
        if cached_at {
            self.uses.insert((key, process), slot);
        } else if !self
            .fresh
            .iter()
            .rev()
            .take(64)
            .any(|(k, p, _)| (*k, *p) == (key, process))
        {
            if self.fresh.len() >= MAX_UNPUBLISHED {
                self.fresh.pop_front();
                self.dropped += 1;
            }
            self.fresh.push_back((key, process, slot));
        }
    }

    /// When this member tells of a use on which the others know that entry.
    fn due(&self, key: u64, entry: AffinityEntry, times: &Times) -> Micros {
        // With everybody before anybody's clock says that it ended.
        let before = times.dissemination_time + times.slots(times.skew);
        let latest = entry.ends - before;
        let over = ((times.lifetime(entry.held) - before) / 2).max(1) * times.slot;
        let drawn = mix(mix(self.member, key), entry.ends.cast_unsigned());
        let uniform = (drawn >> 11) as f64 / (1u64 << 53) as f64;
        let waits =
            (1.0 + uniform.max(f64::MIN_POSITIVE).ln() / self.rates.members.ln()).clamp(0.0, 1.0);
        latest * times.slot - over + (waits * over as f64) as Micros
    }

    /// What is to be told at this instant, so that nothing is late until the next one, `every` from
    /// now.
    pub fn due_now(
        &mut self,
        now: Micros,
        every: Micros,
        table: &Table,
        times: &Times,
        epoch: impl Fn(Process) -> Option<u64>,
    ) -> Vec<(u64, Process, AffinityEntry)> {
        let mut told = Vec::new();
        let uses = std::mem::take(&mut self.uses);
        self.uses.reserve(uses.len());
        for ((key, process), last) in uses {
            let known = table.at(key, process);
            let Some((entry, epoch)) = known.zip(epoch(process)) else {
                continue;
            };
            let mine = AffinityEntry::of(last, epoch, true, times);
            if mine <= entry {
                continue;
            }
            let due = now + every > self.due(key, entry, times) || !self.rules.tells_sparsely;
            match due && self.rules.renews && told.len() < MAX_AT_ONCE {
                true => told.push((key, process, mine)),
                false => drop(self.uses.insert((key, process), last)),
            }
        }
        let part = self.rates.updates_per_s / self.rates.members;
        let passed = now.saturating_sub(self.filled).max(0) as f64 / 1e6;
        self.tokens = (self.tokens + passed * part).min((SAVES * part).max(MIN_BURST));
        self.filled = now;
        while self.tokens >= 1.0
            && told.len() < MAX_AT_ONCE
            && let Some((key, process, last)) = self.fresh.pop_front()
        {
            let Some(epoch) = epoch(process) else {
                continue;
            };
            // Another may have told of it meanwhile.
            if table.at(key, process).is_some() {
                self.uses.insert((key, process), last);
                continue;
            }
            if times.slot(now) < last + times.first_lifetime {
                told.push((key, process, AffinityEntry::of(last, epoch, false, times)));
                self.tokens -= 1.0;
            }
        }
        told
    }

    /// Uses that wait to be told.
    pub fn waiting(&self) -> usize {
        self.uses.len() + self.fresh.len()
    }
}

#[cfg(test)]
mod tests;
