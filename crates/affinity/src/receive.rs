//! Handles the messages of other members.

use crate::Micros;
use crate::member::AffinityMember;
use crate::message::{AffinityMessage, MessageError};
use crate::time::Slot;

/// Most members that are being answered at the same time.
const MAX_PENDING_ANSWERS: usize = 4;

impl AffinityMember {
    /// Applies a message from a member.
    ///
    /// # Errors
    /// The message was rejected; nothing of it was applied.
    pub fn receive(&mut self, now: Micros, from: u64, bytes: &[u8]) -> Result<(), MessageError> {
        let decoded = AffinityMessage::read(bytes).and_then(|message| {
            match message.stamp <= now + self.times.skew {
                true => Ok(message),
                false => Err(MessageError::Clock),
            }
        });
        let message = decoded.inspect_err(|_| self.summary.refused += 1)?;
        self.merge_phases(now, &message);
        self.merge_reports(&message);
        self.merge_entries(now, &message);
        // A member without room for all drains does not know what the sender knew.
        if self.phases.is_complete() {
            self.contact.receive_ages(message.stamp, &message.heard);
        }
        if message.asks {
            self.queue_answer(from);
        }
        if message.ends {
            self.table_requests_left = 0;
        }
        let latest = self.latest_slot(now) + self.times.renewed_lifetime;
        if let Some(floor) = message.floor.filter(|(slot, _)| *slot <= latest) {
            self.table.raise_floor(floor);
        }
        Ok(())
    }

    /// The slot that the fastest clock within the skew may have reached.
    fn latest_slot(&self, now: Micros) -> Slot {
        self.times.slot(now + self.times.skew)
    }

    fn merge_phases(&mut self, now: Micros, message: &AffinityMessage) {
        let (latest, current) = (self.latest_slot(now), self.times.slot(now));
        let phases = message.phases();
        for (process, phase) in phases.filter(|(_, phase)| phase.since.0 <= latest) {
            // A phase for which there is no room suspends the use of all entries here.
            if self.phases.accepts(process, phase, current, &self.times) {
                let _ = self.phases.merge(process, phase);
            }
        }
    }

    fn merge_reports(&mut self, message: &AffinityMessage) {
        for (process, epoch, member) in message.reports() {
            self.phases.report_clear(process, epoch, member);
            // A report by an earlier incarnation of this member applies to this one too.
            let is_own = member == self.member;
            if is_own
                && self.phases.has_ended(process, epoch)
                && self.table.contains_process(process)
            {
                let phases = &self.phases;
                self.table
                    .retain(|_, of, entry| of != process || !phases.has_ended(of, entry.epoch));
            }
        }
    }

    fn merge_entries(&mut self, now: Micros, message: &AffinityMessage) {
        let (latest, current) = (self.latest_slot(now), self.times.slot(now));
        for (key, process, mut entry) in message.each_entry() {
            if !self.rules.ages_from_use {
                entry.expires_slot = current + self.times.lifetime(entry.renewed);
            }
            let is_ended =
                self.phases.has_ended(process, entry.epoch) && self.rules.rejects_ended_epochs;
            let is_rejected = is_ended || self.closed.contains(&process);
            let is_valid = entry.last_use_slot(&self.times) <= latest
                && current < entry.expires_slot
                && !is_rejected;
            if !is_valid || !self.table.merge(key, process, entry) {
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
        let is_queued = self.pending_answers.iter().any(|(who, _)| *who == to);
        if !is_queued && self.pending_answers.len() < MAX_PENDING_ANSWERS {
            self.pending_answers.push_back((to, None));
        }
    }
}
