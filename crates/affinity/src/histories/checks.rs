//! The properties that must hold in every history.

use super::{KEYS, World, process};
use crate::Micros;
use crate::entry::{AffinityEntry, Process};
use crate::time::Slot;
use std::collections::HashMap;

type KeyAtProcess = (u64, Process);

/// What actually happened in a history.
#[derive(Default)]
pub(super) struct HistoryRecord {
    /// The last use of each key at a process, in the slot of the member that used it.
    last_uses: HashMap<KeyAtProcess, Slot>,
    /// The last use by a pick: time and member.
    picks: HashMap<KeyAtProcess, (Micros, usize)>,
    /// Entries that a member had, and whether it still has them.
    entries_held: HashMap<(usize, u64, KeyAtProcess), (AffinityEntry, bool)>,
    /// Processes that drained, or were about to.
    pub(super) draining: Vec<Process>,
    pub(super) checks: HashMap<&'static str, u64>,
    pub(super) violation: Option<String>,
}

impl HistoryRecord {
    pub(super) fn record_use(
        &mut self,
        t: Micros,
        slot: Slot,
        member: usize,
        entry: KeyAtProcess,
        was_picked: bool,
    ) {
        let last = self.last_uses.entry(entry).or_insert(slot);
        *last = slot.max(*last);
        if was_picked {
            self.picks.insert(entry, (t, member));
        }
    }

    fn record_violation(&mut self, message: String) {
        self.violation.get_or_insert(message);
    }

    fn count_check(&mut self, property: &'static str) {
        *self.checks.entry(property).or_default() += 1;
    }
}

impl World {
    pub(super) fn check(&mut self) {
        let mut record = std::mem::take(&mut self.record);
        for i in (0..self.nodes.len()).filter(|i| !self.nodes[*i].stopped) {
            self.no_entry_is_revived(&mut record, i);
            self.no_entry_expires_early(&mut record, i);
            self.clear_is_final(&mut record, i);
        }
        self.record = record;
    }

    /// Property a: no entry is revived after it ended, and none is newer than the last use.
    fn no_entry_is_revived(&self, truth: &mut HistoryRecord, i: usize) {
        let (slot, lifetime) = (self.times.slot(self.clock(i)), self.nodes[i].incarnation);
        let dump: Vec<_> = self.nodes[i].affinity.dump().collect();
        let current: HashMap<KeyAtProcess, AffinityEntry> = dump
            .iter()
            .filter(|(.., entry)| slot < entry.expires_slot)
            .map(|(key, at, entry)| ((*key, *at), *entry))
            .collect();
        for (of, entry) in &current {
            let last = entry.last_use_slot(&self.times);
            truth.count_check("a");
            let recorded_use = truth.last_uses.get(of).copied();
            if recorded_use.is_none_or(|record_use| last > record_use) {
                truth.record_violation(format!(
                    "a: {of:?} at {i} is of slot {last}, last used {recorded_use:?}"
                ));
            }
            if let Some((dropped, _)) = truth
                .entries_held
                .get(&(i, lifetime, *of))
                .filter(|(_, alive)| !alive)
                && entry.epoch == dropped.epoch
                && entry <= dropped
            {
                truth.record_violation(format!(
                    "a: {of:?} at {i} is back by {entry:?}, gone with {dropped:?}"
                ));
            }
        }
        for (key, at, entry) in &dump {
            if self.nodes[i]
                .affinity
                .phases
                .clear_members(*at)
                .any(|m| m == self.nodes[i].affinity.member)
                && self.nodes[i].affinity.phases.has_ended(*at, entry.epoch)
            {
                truth.record_violation(format!(
                    "a: {key} at {at:?} is back at {i}, which was clear of it"
                ));
            }
        }
        for ((node, _, of), (_, is_held)) in truth.entries_held.iter_mut().filter(|(k, _)| k.0 == i)
        {
            *is_held = *node == i && current.contains_key(of);
        }
        truth.entries_held.extend(
            current
                .into_iter()
                .map(|(of, entry)| ((i, lifetime, of), (entry, true))),
        );
    }

    fn undisturbed_since(&self, i: usize, j: usize) -> Micros {
        let both = self.nodes[i]
            .undisturbed_since
            .max(self.nodes[j].undisturbed_since);
        both.max(self.nodes[i].started_at)
            .max(self.nodes[j].started_at)
            .max(self.connected_since(i, j))
    }

    fn connected_since(&self, i: usize, j: usize) -> Micros {
        let is_blocked = self.is_blocked[i][j]
            || self.is_blocked[j][i]
            || self.nodes[i].stopped
            || self.nodes[j].stopped;
        if is_blocked {
            Micros::MAX / 2
        } else {
            self.connected_since[i][j].max(self.connected_since[j][i])
        }
    }

    /// Whether all clocks are within the skew. Messages by a clock outside it may be accepted by
    /// some members and rejected by others.
    fn clocks_are_within_skew(&self) -> bool {
        self.nodes
            .iter()
            .all(|node| node.offset.abs() <= self.times.skew)
    }

    /// Property b: an entry that was used by a pick stays valid at all members that hear the one
    /// that used it, except for the margin of skew and slots.
    fn no_entry_expires_early(&self, truth: &mut HistoryRecord, i: usize) {
        if self.capacity < KEYS as usize || !self.clocks_are_within_skew() {
            return;
        }
        let slots_us = |n: Slot| n * self.times.slot;
        let (now, t) = (self.clock(i), self.now);
        // An update may reach only one of two members while a third one is partitioned from the
        // other, as it is not forwarded here.
        let pairs = (0..self.nodes.len()).flat_map(|j| (0..j).map(move |k| (j, k)));
        let undisturbed_since = pairs
            .map(|(j, k)| self.undisturbed_since(j, k))
            .max()
            .unwrap_or(0);
        // A recent entry is still in transit.
        let dissemination_time = slots_us(self.times.dissemination_time);
        let picks: Vec<_> = truth.picks.iter().map(|(of, use_)| (*of, *use_)).collect();
        for ((key, process), (used_at, member)) in picks {
            let earliest_relevant = used_at
                - slots_us(self.times.renewed_lifetime + self.times.dissemination_time)
                - self.times.skew;
            let expires_at = used_at + slots_us(self.times.renewed_lifetime - 1) - self.times.skew;
            if truth.draining.contains(&process)
                || undisturbed_since > earliest_relevant
                || t < used_at + dissemination_time
                || t >= expires_at
            {
                continue;
            }
            truth.count_check("b");
            let slot = self.times.slot(now);
            let entry = self.nodes[i].affinity.table.get(key, process);
            let is_held = entry.is_some_and(|w| slot < w.expires_slot);
            if !is_held {
                truth.record_violation(format!(
                    "b: {key} at {process:?}, used by {member}, is gone at {i}"
                ));
            }
        }
    }

    /// Property d: no member picks a process that was reported clear.
    fn clear_is_final(&self, truth: &mut HistoryRecord, i: usize) {
        let Some(since) = self.clear_since else {
            return;
        };
        truth.count_check("d");
        for key in 0..KEYS {
            let picked =
                self.nodes[i]
                    .affinity
                    .pick(self.clock(i), self.monotonic_clock(i), key, |_| true);
            if picked.contains(&process(0)) {
                let clear_for = self.now - since;
                truth.record_violation(format!(
                    "d: {i} picks by a binding, clear {clear_for} us ago, asked {:?}",
                    self.queried_member
                ));
            }
        }
        let t = self.now;
        if self.nodes[i]
            .in_flight
            .iter()
            .any(|(until, at)| *until > t && *at == process(0))
        {
            truth.record_violation(format!("d: {i} has a request under way by a binding"));
        }
    }

    /// Property c: members in contact for long enough have the same entries, except for those that
    /// expire within the margin of skew and a slot.
    pub(super) fn compare_members(&mut self) {
        let mut record = std::mem::take(&mut self.record);
        let convergence_time = (self.times.renewed_lifetime
            + self.times.dissemination_time
            + self.times.migration_time)
            * self.times.slot;
        for i in 0..self.nodes.len() {
            for j in (0..self.nodes.len()).filter(|j| *j != i) {
                // A third member may have sent an update to only one of the two.
                let is_undisturbed = |k| {
                    self.undisturbed_since(i, k)
                        .max(self.undisturbed_since(j, k))
                        + convergence_time
                        < self.now
                };
                if !(0..self.nodes.len()).all(is_undisturbed) || !self.clocks_are_within_skew() {
                    continue;
                }
                let (margin_slots, slot) = (
                    2 + self.times.slots(self.times.skew),
                    self.times.slot(self.now),
                );
                let entries: Vec<_> = self.nodes[i].affinity.dump().collect();
                for (key, at, entry) in entries
                    .iter()
                    .filter(|(.., w)| w.expires_slot > slot + margin_slots)
                {
                    record.count_check("c");
                    let other_entry = self.nodes[j].affinity.table.get(*key, *at);
                    if other_entry.is_none() {
                        record.record_violation(format!(
                            "c: {key} at {at:?} {entry:?} is at {i} and not at {j}"
                        ));
                    }
                }
            }
        }
        self.record = record;
    }
}
