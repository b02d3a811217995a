//! The invariants that must hold in every history.

use super::{KEYS, World, process};
use crate::Micros;
use crate::entry::{AffinityEntry, Process};
use crate::time::Slot;
use std::collections::HashMap;

type Entry = (u64, Process);

/// What really happened.
#[derive(Default)]
pub(super) struct Truth {
    /// The last use of each, in the slot of who used it.
    last: HashMap<Entry, Slot>,
    /// The last use by way of an affinity entry: when, and by whom.
    cached_at: HashMap<Entry, (Micros, usize)>,
    /// Affinity entries that a member held and then no more, and the entry that it knew.
    held: HashMap<(usize, u64, Entry), (AffinityEntry, bool)>,
    /// Processes that left, or were about to.
    pub(super) left: Vec<Process>,
    pub(super) looked: HashMap<&'static str, u64>,
    pub(super) breach: Option<String>,
}

impl Truth {
    pub(super) fn record_use(
        &mut self,
        t: Micros,
        slot: Slot,
        by: usize,
        of: Entry,
        cached_at: bool,
    ) {
        let last = self.last.entry(of).or_insert(slot);
        *last = slot.max(*last);
        if cached_at {
            self.cached_at.insert(of, (t, by));
        }
    }

    fn breach(&mut self, what: String) {
        self.breach.get_or_insert(what);
    }

    fn look(&mut self, property: &'static str) {
        *self.looked.entry(property).or_default() += 1;
    }
}

impl World {
    pub(super) fn check(&mut self) {
        let mut truth = std::mem::take(&mut self.truth);
        for i in (0..self.nodes.len()).filter(|i| !self.nodes[*i].stopped) {
            self.nothing_comes_back(&mut truth, i);
            self.nothing_goes_early(&mut truth, i);
            self.clear_is_final(&mut truth, i);
        }
        self.truth = truth;
    }

    /// Property a.
    fn nothing_comes_back(&self, truth: &mut Truth, i: usize) {
        let (slot, lifetime) = (self.times.slot(self.now(i)), self.nodes[i].lifetime);
        let dump: Vec<_> = self.nodes[i].affinity.dump().collect();
        let alive: HashMap<Entry, AffinityEntry> = dump
            .iter()
            .filter(|(.., entry)| slot < entry.ends)
            .map(|(key, at, entry)| ((*key, *at), *entry))
            .collect();
        for (of, entry) in &alive {
            let last = entry.last(&self.times);
            truth.look("a");
            let record_use = truth.last.get(of).copied();
            if record_use.is_none_or(|record_use| last > record_use) {
                truth.breach(format!(
                    "a: {of:?} at {i} is of slot {last}, last used {record_use:?}"
                ));
            }
            if let Some((gone, _)) = truth
                .held
                .get(&(i, lifetime, *of))
                .filter(|(_, alive)| !alive)
                && entry.epoch == gone.epoch
                && entry <= gone
            {
                truth.breach(format!(
                    "a: {of:?} at {i} is back by {entry:?}, gone with {gone:?}"
                ));
            }
        }
        for (key, at, entry) in &dump {
            if self.nodes[i]
                .affinity
                .phases
                .reported(*at)
                .any(|m| m == self.nodes[i].affinity.member)
                && self.nodes[i].affinity.phases.ended(*at, entry.epoch)
            {
                truth.breach(format!(
                    "a: {key} at {at:?} is back at {i}, which was clear of it"
                ));
            }
        }
        for ((node, _, of), (_, held)) in truth.held.iter_mut().filter(|(k, _)| k.0 == i) {
            *held = *node == i && alive.contains_key(of);
        }
        truth.held.extend(
            alive
                .into_iter()
                .map(|(of, entry)| ((i, lifetime, of), (entry, true))),
        );
    }

    fn steady_since(&self, i: usize, j: usize) -> Micros {
        let both = self.nodes[i].steady.max(self.nodes[j].steady);
        both.max(self.nodes[i].booted)
            .max(self.nodes[j].booted)
            .max(self.joined_since(i, j))
    }

    fn joined_since(&self, i: usize, j: usize) -> Micros {
        let cut =
            self.cut[i][j] || self.cut[j][i] || self.nodes[i].stopped || self.nodes[j].stopped;
        if cut {
            Micros::MAX / 2
        } else {
            self.joined[i][j].max(self.joined[j][i])
        }
    }

    /// All clocks are as they are to be. What one that is off tells may come to count at some and
    /// not at others.
    fn in_time(&self) -> bool {
        self.nodes
            .iter()
            .all(|node| node.offset.abs() <= self.times.skew)
    }

    /// Property b: what was used by its affinity entry lives on with all that hear who used it, but
    /// for what skew and slots take.
    fn nothing_goes_early(&self, truth: &mut Truth, i: usize) {
        if self.capacity < KEYS as usize || !self.in_time() {
            return;
        }
        let slots = |n: Slot| n * self.times.slot;
        let (now, t) = (self.now(i), self.t);
        // An entry may reach one of two alone where a third is cut off from the other: nobody
        // passes it on here.
        let pairs = (0..self.nodes.len()).flat_map(|j| (0..j).map(move |k| (j, k)));
        let since = pairs
            .map(|(j, k)| self.steady_since(j, k))
            .max()
            .unwrap_or(0);
        // What was bound just before is still on its way.
        let dissemination_time = slots(self.times.dissemination_time);
        let record_use: Vec<_> = truth
            .cached_at
            .iter()
            .map(|(of, use_)| (*of, *use_))
            .collect();
        for ((key, at), (when, by)) in record_use {
            let told_of = when
                - slots(self.times.renewed_lifetime + self.times.dissemination_time)
                - self.times.skew;
            let lasts = when + slots(self.times.renewed_lifetime - 1) - self.times.skew;
            if truth.left.contains(&at)
                || since > told_of
                || t < when + dissemination_time
                || t >= lasts
            {
                continue;
            }
            truth.look("b");
            let slot = self.times.slot(now);
            let entry = self.nodes[i].affinity.table.at(key, at);
            let alive = entry.is_some_and(|w| slot < w.ends);
            if !alive {
                truth.breach(format!("b: {key} at {at:?}, used by {by}, is gone at {i}"));
            }
        }
    }

    /// Property d.
    fn clear_is_final(&self, truth: &mut Truth, i: usize) {
        let Some(since) = self.clear else { return };
        truth.look("d");
        for key in 0..KEYS {
            let picked = self.nodes[i]
                .affinity
                .picks(self.now(i), self.mono(i), key, |_| true);
            if picked.contains(&process(0)) {
                let ago = self.t - since;
                truth.breach(format!(
                    "d: {i} picks by a binding, clear {ago} us ago, asked {:?}",
                    self.asked
                ));
            }
        }
        let t = self.t;
        if self.nodes[i]
            .under_way
            .iter()
            .any(|(until, at)| *until > t && *at == process(0))
        {
            truth.breach(format!("d: {i} has a request under way by a binding"));
        }
    }

    /// Property c: who heard each other for long enough holds the same, but for what ends within
    /// skew and a slot.
    pub(super) fn compare(&mut self) {
        let mut truth = std::mem::take(&mut self.truth);
        let long = (self.times.renewed_lifetime
            + self.times.dissemination_time
            + self.times.migration_time)
            * self.times.slot;
        for i in 0..self.nodes.len() {
            for j in (0..self.nodes.len()).filter(|j| *j != i) {
                // A third one may have told one of the two alone.
                let steady =
                    |k| self.steady_since(i, k).max(self.steady_since(j, k)) + long < self.t;
                if !(0..self.nodes.len()).all(steady) || !self.in_time() {
                    continue;
                }
                let (edge, slot) = (
                    2 + self.times.slots(self.times.skew),
                    self.times.slot(self.t),
                );
                let held: Vec<_> = self.nodes[i].affinity.dump().collect();
                for (key, at, entry) in held.iter().filter(|(.., w)| w.ends > slot + edge) {
                    truth.look("c");
                    let other = self.nodes[j].affinity.table.at(*key, *at);
                    if other.is_none() {
                        truth.breach(format!(
                            "c: {key} at {at:?} {entry:?} is at {i} and not at {j}"
                        ));
                    }
                }
            }
        }
        self.truth = truth;
    }
}
