//! A member's affinity table as one state machine without I/O and clock.

use crate::Micros;
use crate::contact::Contact;
use crate::contact_lease::ContactLease;
use crate::drain_phase::{DrainError, Phase, Phases};
use crate::entry::{AffinityEntry, MAX_ENTRIES_PER_KEY, Process};
use crate::pending_updates::PendingUpdates;
use crate::publishing::{PublishRates, Publishing};
use crate::report::{AffinitySummary, DrainStatus};
use crate::safety_rules::SafetyRules;
use crate::table::{Rank, Table};
use crate::time::{Slot, Times};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet, VecDeque};

/// Most periodic messages in which a member that starts requests the table, until it is answered.
const MAX_TABLE_REQUESTS: u32 = 8;

/// The affinity state of one member.
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
    /// Listed processes that accept no more requests: no entries are made or kept for them.
    pub(crate) closed: HashSet<Process>,
    /// Requests in flight that were picked by an affinity entry, by process.
    pub(crate) in_flight: HashMap<Process, u32>,
    /// Members that requested the table, and the rank up to which each was answered.
    pub(crate) pending_answers: VecDeque<(u64, Option<Rank>)>,
    /// Messages of others from then on were certainly sent after this member started.
    pub(crate) trusted_from: Micros,
    pub(crate) table_requests_left: u32,
    pub(crate) last_message: Micros,
    pub(crate) slot: Slot,
    pub(crate) rotation: u64,
    pub(crate) summary: AffinitySummary,
    pub(crate) rules: SafetyRules,
}

impl AffinityMember {
    /// A member with that id, the same in all its incarnations, that starts now. A member that
    /// founds the fleet requests no table.
    pub fn new(
        now: Micros,
        times: Times,
        keys: usize,
        rates: PublishRates,
        member: u64,
        is_founder: bool,
    ) -> Self {
        Self {
            table: Table::new(keys, member),
            publishing: Publishing::new(rates, member),
            pending: PendingUpdates::default(),
            phases: Phases::default(),
            contact: Contact::new(member),
            contact_lease: ContactLease::new(times.contact_timeout, is_founder),
            closed: HashSet::new(),
            in_flight: HashMap::new(),
            pending_answers: VecDeque::new(),
            trusted_from: now + times.skew,
            table_requests_left: if is_founder { 0 } else { MAX_TABLE_REQUESTS },
            last_message: Micros::MIN,
            slot: Slot::MIN,
            rotation: member,
            summary: AffinitySummary::default(),
            rules: SafetyRules::ALL,
            times,
            member,
        }
    }

    /// Sets all members including this one: those that run, and those that may still run unheard.
    pub fn set_members(&mut self, members: &[u64]) {
        self.contact.set_members(members.iter().copied());
        self.publishing.set_members(members.len());
    }

    /// Ends the contact lease, as the member knows that it is out of contact.
    pub fn lose_contact(&mut self) {
        self.contact_lease.lose_contact();
    }

    /// The usable processes with an entry for a key, best first. None while this member may be out
    /// of contact.
    pub fn pick(
        &self,
        now: Micros,
        monotonic: Micros,
        key: u64,
        is_usable: impl Fn(Process) -> bool,
    ) -> Vec<Process> {
        let in_contact = self.contact_lease.is_valid(monotonic) || !self.rules.uses_contact_timeout;
        let slot = self.times.slot(now);
        let is_current = |process: Process, entry: AffinityEntry| {
            let migrates_at = self
                .phases
                .migrates_at(key, process, entry.epoch, &self.times);
            slot < entry.expires_slot
                && migrates_at.is_none_or(|moves| slot < moves)
                && is_usable(process)
        };
        if in_contact && self.phases.is_complete() {
            self.table.processes_by_rank(key, is_current)
        } else {
            Vec::new()
        }
    }

    /// Records that a request picked by an affinity entry for that process begins, or ends.
    pub fn set_in_flight(&mut self, process: Process, in_flight: bool) {
        let requests = self.in_flight.entry(process).or_default();
        *requests = if in_flight {
            requests.saturating_add(1)
        } else {
            requests.saturating_sub(1)
        };
        if *requests == 0 {
            self.in_flight.remove(&process);
        }
    }

    /// Records that this member used a key at a process.
    pub fn record_use(&mut self, now: Micros, key: u64, process: Process) {
        if self.closed.contains(&process) {
            return;
        }
        let (slot, epoch) = (self.times.slot(now), self.phases.epoch(process));
        let is_known = self.table.get(key, process).is_some();
        // With that many processes the key has enough to choose from; another one would cost
        // updates at each use.
        let entry_count = || {
            self.table
                .entries(key)
                .filter(|(_, entry)| slot < entry.expires_slot)
                .count()
        };
        if !self.phases.has_ended(process, epoch)
            && (is_known || entry_count() < MAX_ENTRIES_PER_KEY)
        {
            self.publishing.record_use(key, process, slot, is_known);
        }
    }

    /// Sets the listed processes that accept no more requests; their entries are dropped, and new
    /// ones rejected.
    pub fn set_closed(&mut self, closed: HashSet<Process>) {
        if closed.iter().any(|process| !self.closed.contains(process)) {
            self.table
                .retain(|_, process, _| !closed.contains(&process));
        }
        self.closed = closed;
    }

    /// Begins the drain of a process, which ends its epoch.
    ///
    /// # Errors
    /// The epoch has ended already, or too many processes drain.
    pub fn begin_drain(
        &mut self,
        now: Micros,
        process: Process,
        epoch: u64,
    ) -> Result<(), DrainError> {
        if self
            .phases
            .iter()
            .any(|(p, phase)| p == process && phase.draining && phase.epoch == epoch)
        {
            return Ok(());
        }
        let since = Reverse(self.times.slot(now));
        self.phases.merge(
            process,
            Phase {
                epoch,
                draining: true,
                since,
            },
        )
    }

    /// Cancels a drain, or records the process's return: that epoch, above the ended one, begins.
    ///
    /// # Errors
    /// The epoch has ended already, or too many processes drain.
    pub fn cancel_drain(
        &mut self,
        now: Micros,
        process: Process,
        epoch: u64,
    ) -> Result<(), DrainError> {
        self.phases.merge(
            process,
            Phase {
                epoch,
                draining: false,
                since: Reverse(self.times.slot(now)),
            },
        )
    }

    /// How far a process is clear; `running` are all members known to run. It is clear once all of
    /// them, this member and all beacons that were heard of are clear of it, and the contact lease
    /// of every unheard member has expired by its own clock.
    pub fn drain_status(
        &mut self,
        now: Micros,
        monotonic: Micros,
        process: Process,
        epoch: u64,
        running: &[u64],
    ) -> DrainStatus {
        let phase = self
            .phases
            .iter()
            .find(|(p, phase)| *p == process && phase.epoch == epoch && phase.draining);
        let is_known = phase.is_some();
        // A member that knows of the drain uses no affinity entry from then on.
        let has_migrated =
            phase.is_some_and(|(_, phase)| now >= self.times.migrated_at(phase.since.0));
        let moved = has_migrated || !self.rules.waits_for_contact_timeout;
        let clear_count = self.phases.clear_members(process).filter(|_| is_known);
        let (own_is_clear, reported) = (
            clear_count.clone().any(|m| m == self.member),
            clear_count.count(),
        );
        let in_contact = self.contact_lease.is_valid(monotonic) || !self.rules.uses_contact_timeout;
        let mut members = running.to_vec();
        members.extend(
            self.contact
                .beacons_heard_since(now - self.times.contact_timeout),
        );
        let all_clear_since = if in_contact && own_is_clear {
            self.phases
                .all_clear_since(process, epoch, monotonic, &members)
        } else {
            None
        };
        let required_wait = if self.rules.waits_for_contact_timeout {
            self.times.clear_delay()
        } else {
            0
        };
        DrainStatus {
            clear: moved && all_clear_since.is_some_and(|since| monotonic - since >= required_wait),
            known: is_known,
            mine: own_is_clear,
            reported,
        }
    }

    /// Removes drained processes that are no longer listed.
    pub fn forget(&mut self, now: Micros, listed: impl Fn(Process) -> bool) {
        self.phases
            .forget(self.times.slot(now), &self.times, listed);
    }

    /// The slot at a time.
    pub fn slot_at(&self, now: Micros) -> Slot {
        self.times.slot(now)
    }

    /// Processes that drain or have returned, and how many members are clear of each.
    pub fn phases(&self) -> impl Iterator<Item = (Process, Phase, usize)> {
        self.phases
            .iter()
            .map(|(process, phase)| (process, phase, self.phases.clear_members(process).count()))
    }

    /// All affinity entries, for audits: key, process, entry.
    pub fn dump(&self) -> impl Iterator<Item = (u64, Process, AffinityEntry)> {
        let entries = |key| {
            self.table
                .entries(key)
                .map(move |(process, entry)| (key, process, entry))
        };
        self.table
            .keys_below(None)
            .flat_map(move |rank| entries(rank.2))
    }

    /// The figures for monitoring.
    pub fn summary(&self, monotonic: Micros) -> AffinitySummary {
        AffinitySummary {
            keys: self.table.len(),
            phases: self.phases.iter().count(),
            waiting: self.publishing.waiting(),
            pending: self.pending.count(),
            made_room: self.pending.dropped,
            in_contact: self.contact_lease.is_valid(monotonic),
            dropped: self.table.dropped,
            unpublished: self.publishing.dropped + self.summary.unpublished,
            ..self.summary
        }
    }
}
