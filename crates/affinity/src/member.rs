//! A member's affinity table as one state machine without I/O and clock.

use crate::Micros;
use crate::contact::Contact;
use crate::contact_lease::ContactLease;
use crate::drain_phase::{EpochRefused, Phase, Phases};
use crate::entry::{AffinityEntry, MAX_ENTRIES_PER_KEY, Process};
use crate::pending_updates::PendingUpdates;
use crate::publishing::{PublishRates, Publishing};
use crate::report::{AffinitySummary, DrainStatus};
use crate::safety_rules::SafetyRules;
use crate::table::{Rank, Table};
use crate::time::{Slot, Times};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet, VecDeque};

/// Periodic messages in which a member that starts asks for all affinity entries, until it is
/// answered.
const ASKS: u32 = 8;

/// All that one member knows of affinity entries.
#[derive(Clone, Debug)]
pub struct AffinityMember {
    pub(crate) times: Times,
    pub(crate) member: u64,
    pub(crate) table: Table,
    pub(crate) publishing: Publishing,
    pub(crate) pending: PendingUpdates,
    pub(crate) phases: Phases,
    pub(crate) contact: Contact,
    pub(crate) contact_lease: ContactLease,
    /// Processes that the own list has named and that take nothing any more: nothing is bound
    /// there.
    pub(crate) closed: HashSet<Process>,
    /// Requests under way that may go by an affinity entry, by process.
    pub(crate) under_way: HashMap<Process, u32>,
    /// Members that asked for all affinity entries, and how far their answers have come.
    pub(crate) asked: VecDeque<(u64, Option<Rank>)>,
    /// From then on what others sent is sure to be said after this member began.
    pub(crate) begun: Micros,
    pub(crate) asks: u32,
    pub(crate) last_message: Micros,
    pub(crate) slot: Slot,
    pub(crate) turn: u64,
    pub(crate) summary: AffinitySummary,
    pub(crate) rules: SafetyRules,
}

impl AffinityMember {
    /// Those of a member by that number, the same in all its incarnations, that begins now. One
    /// that `founds` the fleet asks nobody.
    pub fn new(
        now: Micros,
        times: Times,
        keys: usize,
        rates: PublishRates,
        member: u64,
        founds: bool,
    ) -> Self {
        Self {
            table: Table::new(keys, member),
            publishing: Publishing::new(rates, member),
            pending: PendingUpdates::default(),
            phases: Phases::default(),
            contact: Contact::new(member),
            contact_lease: ContactLease::new(times.contact_timeout, founds),
            closed: HashSet::new(),
            under_way: HashMap::new(),
            asked: VecDeque::new(),
            begun: now + times.skew,
            asks: if founds { 0 } else { ASKS },
            last_message: Micros::MIN,
            slot: Slot::MIN,
            turn: member,
            summary: AffinitySummary::default(),
            rules: SafetyRules::ALL,
            times,
            member,
        }
    }

    /// Those are all members, this one too: who runs, and who may still run without being heard.
    pub fn members(&mut self, members: &[u64]) {
        self.contact.members(members.iter().copied());
        self.publishing.set_members(members.len());
    }

    /// It knows that it is out of contact.
    pub fn lose_contact(&mut self) {
        self.contact_lease.lose_contact();
    }

    /// Where a key is bound, of the processes that may be used, the best first. None where this
    /// member may not hear the others.
    pub fn picks(
        &self,
        now: Micros,
        mono: Micros,
        key: u64,
        may: impl Fn(Process) -> bool,
    ) -> Vec<Process> {
        let hears = self.contact_lease.hears(mono) || !self.rules.falls_silent;
        let slot = self.times.slot(now);
        let alive = |process: Process, entry: AffinityEntry| {
            let moves = self.phases.moves(key, process, entry.epoch, &self.times);
            slot < entry.ends && moves.is_none_or(|moves| slot < moves) && may(process)
        };
        if hears && self.phases.whole() {
            self.table.cached_at(key, alive)
        } else {
            Vec::new()
        }
    }

    /// A request that was given an affinity entry to that process begins, or ends for good.
    pub fn under_way(&mut self, process: Process, begins: bool) {
        let requests = self.under_way.entry(process).or_default();
        *requests = if begins {
            requests.saturating_add(1)
        } else {
            requests.saturating_sub(1)
        };
        if *requests == 0 {
            self.under_way.remove(&process);
        }
    }

    /// This member used a key at a process.
    pub fn record_use(&mut self, now: Micros, key: u64, process: Process) {
        if self.closed.contains(&process) {
            return;
        }
        let (slot, epoch) = (self.times.slot(now), self.phases.epoch(process));
        let at = self.table.at(key, process).is_some();
        // Who finds so many places has one to go to: a further one would cost entries at each use.
        let key_entries = || {
            self.table
                .entries(key)
                .filter(|(_, entry)| slot < entry.ends)
                .count()
        };
        if !self.phases.ended(process, epoch) && (at || key_entries() < MAX_ENTRIES_PER_KEY) {
            self.publishing.record_use(key, process, slot, at);
        }
    }

    /// The own list says that those take nothing any more: what was bound there is dropped here,
    /// and nothing is taken in.
    pub fn closes(&mut self, closed: HashSet<Process>) {
        if closed.iter().any(|process| !self.closed.contains(process)) {
            self.table
                .retain(|_, process, _| !closed.contains(&process));
        }
        self.closed = closed;
    }

    /// That process leaves: its epoch ends.
    ///
    /// # Errors
    /// Why it cannot.
    pub fn begin_drain(
        &mut self,
        now: Micros,
        process: Process,
        epoch: u64,
    ) -> Result<(), EpochRefused> {
        if self
            .phases
            .iter()
            .any(|(p, phase)| p == process && phase.leaves && phase.epoch == epoch)
        {
            return Ok(());
        }
        let since = Reverse(self.times.slot(now));
        self.phases.merge(
            process,
            Phase {
                epoch,
                leaves: true,
                since,
            },
        )
    }

    /// It stays after all, or is back: that epoch, above the one that ended, opens.
    ///
    /// # Errors
    /// Why it cannot.
    pub fn cancel_drain(
        &mut self,
        now: Micros,
        process: Process,
        epoch: u64,
    ) -> Result<(), EpochRefused> {
        self.phases.merge(
            process,
            Phase {
                epoch,
                leaves: false,
                since: Reverse(self.times.slot(now)),
            },
        )
    }

    /// How far it is clear, where `running` are all members that are known to run. It is once all
    /// of them, this one and all beacons that were heard of are clear of it and whoever is not
    /// heard has fallen silent by its own clock.
    pub fn clear(
        &mut self,
        now: Micros,
        mono: Micros,
        process: Process,
        epoch: u64,
        running: &[u64],
    ) -> DrainStatus {
        let phase = self
            .phases
            .iter()
            .find(|(p, phase)| *p == process && phase.epoch == epoch && phase.leaves);
        let known = phase.is_some();
        // Whoever knows that it leaves uses no affinity entry from then on.
        let moved = phase.is_some_and(|(_, phase)| now >= self.times.moved(phase.since.0));
        let moved = moved || !self.rules.waits_for_silence;
        let reported = self.phases.reported(process).filter(|_| known);
        let (mine, reported) = (reported.clone().any(|m| m == self.member), reported.count());
        let hears = self.contact_lease.hears(mono) || !self.rules.falls_silent;
        let mut members = running.to_vec();
        members.extend(self.contact.beacons(now - self.times.contact_timeout));
        let all = if hears && mine {
            self.phases.complete(process, epoch, mono, &members)
        } else {
            None
        };
        let waits = if self.rules.waits_for_silence {
            self.times.clear_after()
        } else {
            0
        };
        DrainStatus {
            clear: moved && all.is_some_and(|since| mono - since >= waits),
            known,
            mine,
            reported,
        }
    }

    /// Forgets processes that left and are listed no more.
    pub fn forget(&mut self, now: Micros, listed: impl Fn(Process) -> bool) {
        self.phases
            .forget(self.times.slot(now), &self.times, listed);
    }

    /// The slot of an instant.
    pub fn slot_of(&self, now: Micros) -> Slot {
        self.times.slot(now)
    }

    /// Processes that leave or have come back, and how many members are clear of each.
    pub fn phases(&self) -> impl Iterator<Item = (Process, Phase, usize)> {
        self.phases
            .iter()
            .map(|(process, phase)| (process, phase, self.phases.reported(process).count()))
    }

    /// All affinity entries, for whoever audits them: key, process, entry.
    pub fn dump(&self) -> impl Iterator<Item = (u64, Process, AffinityEntry)> {
        let entries = |key| {
            self.table
                .entries(key)
                .map(move |(process, entry)| (key, process, entry))
        };
        self.table.below(None).flat_map(move |rank| entries(rank.2))
    }

    /// Figures for whoever watches.
    pub fn summary(&self, mono: Micros) -> AffinitySummary {
        AffinitySummary {
            keys: self.table.len(),
            phases: self.phases.iter().count(),
            waiting: self.publishing.waiting(),
            pending: self.pending.count(),
            made_room: self.pending.dropped,
            in_contact: self.contact_lease.hears(mono),
            dropped: self.table.dropped,
            unpublished: self.publishing.dropped + self.summary.unpublished,
            ..self.summary
        }
    }
}
