//! What a member sends to others, and when.

use crate::member::AffinityMember;
use crate::message::{AffinityMessage, MAX_MESSAGE_BYTES};
use crate::report::Outgoing;
use crate::time::Slot;
use crate::{Micros, mix};

/// How often [`AffinityMember::tick`] is to be called.
pub const TICK: Micros = 100_000;
/// Time from one periodic message to the next.
const MESSAGE_INTERVAL: Micros = 500_000;
/// Keys in one turn of an answer: they fit into one fragment or two.
const ANSWER: usize = 32;
/// Entries that wait from which on there is a periodic message between: as many as fit into one.
const MANY: usize = 40;
/// Least room of a periodic message for members that are clear of a process.
const REPORT_ROOM: usize = 48;

impl AffinityMember {
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
        let due =
            now >= self.last_message.saturating_add(MESSAGE_INTERVAL) || now < self.last_message;
        // What does not fit into one periodic message goes with one between.
        if due || self.pending.count() > MANY && now >= self.last_message + MESSAGE_INTERVAL / 2 {
            self.last_message = now;
            self.publish_uses(now);
            told.nearby = Some(self.periodic_message(now));
        }
        told.direct.extend(self.answer(now));
        told
    }

    /// Own uses that the others need to know of become entries.
    fn publish_uses(&mut self, now: Micros) {
        let phases = &self.phases;
        let epoch =
            |process| Some(phases.epoch(process)).filter(|epoch| !phases.ended(process, *epoch));
        for (key, process, entry) in
            self.publishing
                .due_now(now, MESSAGE_INTERVAL, &self.table, &self.times, epoch)
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

    /// What a few members are sent again and again: who left, who is clear, what was dropped, and
    /// the entries that wait.
    pub(crate) fn periodic_message(&mut self, now: Micros) -> Vec<u8> {
        let mut message = AffinityMessage::at(now);
        if self.phases.whole() {
            message.heard = self.contact.told(now, self.contact_lease.sound());
        }
        message.asks = self.asks > 0;
        message.floor = self.table.floor();
        self.asks = self.asks.saturating_sub(1);
        for (process, phase) in self.phases.iter() {
            message.phase(process, phase);
        }
        self.add_reports(&mut message);
        self.add_pending(now, &mut message);
        message.bytes()
    }

    /// Adds which members are clear of processes that left, from another process and member on each
    /// time, as many as fit.
    fn add_reports(&mut self, message: &mut AffinityMessage) {
        let phases = self.phases.iter();
        let left: Vec<_> = phases.filter(|(_, phase)| phase.leaves).collect();
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
    }

    /// Adds entries that wait, as many as fit, and drops those that are over.
    fn add_pending(&mut self, now: Micros, message: &mut AffinityMessage) {
        let slot = self.times.slot(now);
        let (mut over, mut entries) = (Vec::new(), Vec::new());
        for (key, process) in self.pending.waiting() {
            let entry = self.table.at(key, process);
            match entry.filter(|entry| slot < entry.ends) {
                Some(entry) => entries.push((key, process, entry)),
                None => over.push((key, process)),
            }
        }
        for of in over {
            self.pending.went(of, true);
        }
        let ends = entries.iter().map(|(.., entry)| entry.ends);
        let base = ends.max().unwrap_or(slot);
        for of in message.news(base, entries.into_iter()) {
            self.pending.went(of, false);
        }
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
