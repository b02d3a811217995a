//! What a member makes of the messages of others.

use crate::Micros;
use crate::member::AffinityMember;
use crate::message::{AffinityMessage, MessageRefused};
use crate::time::Slot;

/// Members that are answered at a time.
const MAX_ASKED: usize = 4;

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
        self.merge_phases(now, &message);
        self.merge_reports(&message);
        self.merge_entries(now, &message);
        // Who has no room for who left does not know what the sender did.
        if self.phases.whole() {
            self.contact.heard(message.stamp, &message.heard);
        }
        if message.asks {
            self.queue_answer(from);
        }
        if message.ends {
            self.asks = 0;
        }
        let latest = self.newest_slot(now) + self.times.renewed_lifetime;
        if let Some(floor) = message.floor.filter(|(slot, _)| *slot <= latest) {
            self.table.raise(floor);
        }
        Ok(())
    }

    /// The slot that the fastest clock within the skew may have reached.
    fn newest_slot(&self, now: Micros) -> Slot {
        self.times.slot(now + self.times.skew)
    }

    fn merge_phases(&mut self, now: Micros, message: &AffinityMessage) {
        let (newest, oldest) = (self.newest_slot(now), self.times.slot(now));
        let phases = message.phases();
        for (process, phase) in phases.filter(|(_, phase)| phase.since.0 <= newest) {
            // One that finds no room stops all affinity entries here until it does.
            if self.phases.takes(process, phase, oldest, &self.times) {
                let _ = self.phases.merge(process, phase);
            }
        }
    }

    fn merge_reports(&mut self, message: &AffinityMessage) {
        for (process, epoch, member) in message.reports() {
            self.phases.report(process, epoch, member);
            // What an earlier incarnation of this member said holds for this one too.
            let own = member == self.member;
            if own && self.phases.ended(process, epoch) && self.table.holds(process) {
                let phases = &self.phases;
                self.table
                    .retain(|_, of, entry| of != process || !phases.ended(of, entry.epoch));
            }
        }
    }

    fn merge_entries(&mut self, now: Micros, message: &AffinityMessage) {
        let (newest, oldest) = (self.newest_slot(now), self.times.slot(now));
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
    }

    fn queue_answer(&mut self, to: u64) {
        let known = self.asked.iter().any(|(who, _)| *who == to);
        if !known && self.asked.len() < MAX_ASKED {
            self.asked.push_back((to, None));
        }
    }
}
