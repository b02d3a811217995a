//! The exchange of affinity messages between members.

use crate::member::AffinityMember;
use crate::message::{AffinityMessage, MAX_MESSAGE_BYTES, MessageRefused};
use crate::report::Outgoing;
use crate::time::Slot;
use crate::{Micros, mix};

/// How often [`AffinityMember::tick`] is to be called.
pub const TICK: Micros = 100_000;
/// Time from one periodic message to the next.
const PULSE: Micros = 500_000;
/// Members that are answered at a time, and keys in one turn of an answer: they fit into one
/// fragment or two.
const MAX_ASKED: usize = 4;
const ANSWER: usize = 32;
/// Entries that wait from which on there is a periodic message between: as many as fit into one.
const MANY: usize = 40;
/// Least room of a periodic message for members that are clear of a process.
const REPORT_ROOM: usize = 48;

impl AffinityMember {
    /// A fragment came from a member.
    ///
    /// # Errors
    /// Why it was refused; nothing of it was taken in.
    pub fn receive(&mut self, now: Micros, from: u64, bytes: &[u8]) -> Result<(), MessageRefused> {
        let read = AffinityMessage::read(bytes).and_then(|message| {
            match message.stamp <= now + self.times.skew {
                true => Ok(message),
                false => Err(MessageRefused::Clock),
            }
        });
        let message = read.inspect_err(|_| self.summary.refused += 1)?;
        let (newest, oldest) = (self.times.slot(now + self.times.skew), self.times.slot(now));
        for (process, phase) in message
            .phases()
            .filter(|(_, phase)| phase.since.0 <= newest)
        {
            // One that finds no room stops all affinity entries here until it does.
            if self.phases.takes(process, phase, oldest, &self.times) {
                let _ = self.phases.merge(process, phase);
            }
        }
        for (process, epoch, member) in message.reports() {
            self.phases.report(process, epoch, member);
            // What an earlier incarnation of this member said holds for this one too.
            if member == self.member
                && self.phases.ended(process, epoch)
                && self.table.holds(process)
            {
                let phases = &self.phases;
                self.table
                    .retain(|_, of, entry| of != process || !phases.ended(of, entry.epoch));
            }
        }
        for (key, process, mut entry) in message.each_entry() {
            if !self.rules.ages_from_use {
                entry.ends = oldest + self.times.lifetime(entry.held);
            }
            let ended = self.phases.ended(process, entry.epoch) && self.rules.refuses_ended;
            let ended = ended || self.closed.contains(&process);
            let counts = entry.last(&self.times) <= newest && oldest < entry.ends && !ended;
            if !counts || !self.table.merge(key, process, entry) {
                self.summary.passed_over += 1;
                continue;
            }
            self.summary.received += 1;
            if message.news {
                self.pending.add(key, process);
            }
        }
        // Who has no room for who left does not know what the sender did.
        if self.phases.whole() {
            self.contact.heard(message.stamp, &message.heard);
        }
        if message.asks
            && self.asked.len() < MAX_ASKED
            && self.asked.iter().all(|(who, _)| *who != from)
        {
            self.asked.push_back((from, None));
        }
        if message.ends {
            self.asks = 0;
        }
        if let Some(floor) = message
            .floor
            .filter(|(slot, _)| *slot <= newest + self.times.renewed_lifetime)
        {
            self.table.raise(floor);
        }
        Ok(())
    }

    /// Says at an instant of both clocks since when it is in contact. One that starts is so only by
    /// what was said after it began; where a quorum was heard and most of it has just started too,
    /// nobody there knows more.
    fn follow(&mut self, now: Micros, mono: Micros) {
        let sound = self.contact_lease.sound();
        if let Some(at) = self
            .contact
            .since(now, sound)
            .filter(|at| sound || *at > self.begun)
        {
            self.contact_lease.contact(mono - (now - at));
        } else if !sound && now >= self.begun + self.times.contact_timeout {
            let met = self
                .contact
                .met(now)
                .is_some_and(|at| at > self.begun && now - at < self.times.contact_timeout);
            self.contact_lease.founds(met);
        }
    }

    /// Every [`TICK`]: ages out what is past its incarnation and says what is to be sent.
    pub fn tick(&mut self, now: Micros, mono: Micros) -> Outgoing {
        self.follow(now, mono);
        let slot = self.times.slot(now);
        if slot != self.slot {
            self.slot = slot;
            self.turn_of_slot(slot);
        }
        let mut told = Outgoing::default();
        let due = now >= self.pulses_at.saturating_add(PULSE) || now < self.pulses_at;
        // What does not fit into one periodic message goes with one between.
        if due || self.pending.count() > MANY && now >= self.pulses_at + PULSE / 2 {
            self.pulses_at = now;
            self.tell(now);
            told.nearby = Some(self.pulse(now));
        }
        told.direct.extend(self.answer(now));
        told
    }

    /// Own uses that the others need to know of become entries.
    fn tell(&mut self, now: Micros) {
        let phases = &self.phases;
        let epoch =
            |process| Some(phases.epoch(process)).filter(|epoch| !phases.ended(process, *epoch));
        for (key, process, entry) in
            self.publishing
                .due_now(now, PULSE, &self.table, &self.times, epoch)
        {
            self.summary.published += 1;
            self.table.merge(key, process, entry);
            self.pending.add(key, process);
        }
    }

    fn turn_of_slot(&mut self, slot: Slot) {
        let (phases, times) = (&self.phases, &self.times);
        self.table.age(slot);
        if phases.iter().next().is_some() {
            let moved = |key, process, epoch| {
                phases
                    .moves(key, process, epoch, times)
                    .is_some_and(|m| m <= slot)
            };
            self.table
                .retain(|key, process, entry| !moved(key, process, entry.epoch));
        }
        let left: Vec<_> = phases.iter().filter(|(_, phase)| phase.leaves).collect();
        for (process, phase) in left {
            if !self.under_way.contains_key(&process) && !self.table.holds(process) {
                self.phases.report(process, phase.epoch, self.member);
            }
        }
    }

    /// What is told to a few again and again: who left, who is clear, what was dropped.
    pub(crate) fn pulse(&mut self, now: Micros) -> Vec<u8> {
        let mut message = AffinityMessage::at(now);
        let sound = self.contact_lease.sound() && self.phases.whole();
        if self.phases.whole() {
            message.heard = self.contact.told(now, sound);
        }
        message.asks = self.asks > 0;
        message.floor = self.table.floor();
        self.asks = self.asks.saturating_sub(1);
        self.phases
            .iter()
            .for_each(|(process, phase)| message.phase(process, phase));
        let left: Vec<_> = self
            .phases
            .iter()
            .filter(|(_, phase)| phase.leaves)
            .collect();
        self.turn = mix(self.turn, 1);
        for i in 0..left.len() {
            let (process, phase) = left[(i + self.turn as usize % left.len()) % left.len()];
            let reported = self.phases.reported(process);
            let skip = self.turn as usize % reported.clone().count().max(1);
            let around = reported.clone().skip(skip).chain(reported.take(skip));
            if message.bytes().len() + REPORT_ROOM > MAX_MESSAGE_BYTES {
                break;
            }
            message.report(process, phase.epoch, around);
        }
        let slot = self.times.slot(now);
        let (mut over, mut entries) = (Vec::new(), Vec::new());
        for (key, process) in self.pending.waiting() {
            match self
                .table
                .at(key, process)
                .filter(|entry| slot < entry.ends)
            {
                Some(entry) => entries.push((key, process, entry)),
                None => over.push((key, process)),
            }
        }
        over.into_iter().for_each(|of| self.pending.went(of, true));
        let base = entries
            .iter()
            .map(|(.., entry)| entry.ends)
            .max()
            .unwrap_or(slot);
        let went = message.news(base, entries.into_iter());
        went.into_iter().for_each(|of| self.pending.went(of, false));
        message.bytes()
    }

    /// The next turn of the answer to a member that asked.
    fn answer(&mut self, now: Micros) -> Vec<(u64, Vec<u8>)> {
        let Some((who, from)) = self.asked.pop_front() else {
            return Vec::new();
        };
        let (mut entries, mut rank) = (Vec::new(), from);
        for at in self.table.below(from).take(ANSWER) {
            entries.extend(
                self.table
                    .entries(at.2)
                    .map(|(process, entry)| (at.2, process, entry)),
            );
            rank = Some(at);
        }
        if rank == from {
            let mut end = AffinityMessage::at(now);
            end.ends = true;
            return vec![(who, end.bytes())];
        }
        self.asked.push_back((who, rank));
        AffinityMessage::entries(now, entries)
            .iter()
            .map(|message| (who, message.bytes()))
            .collect()
    }
}
