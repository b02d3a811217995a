//! The messages that a member sends, and their schedule.

use crate::member::AffinityMember;
use crate::message::{AffinityMessage, MAX_MESSAGE_BYTES};
use crate::report::OutgoingMessages;
use crate::time::Slot;
use crate::{Micros, mix};

/// Interval of the calls of [`AffinityMember::tick`].
pub const TICK_US: Micros = 100_000;
/// Interval of the periodic messages.
const MESSAGE_INTERVAL_US: Micros = 500_000;
/// Keys per message of an answer to a table request: they fit into one or two fragments.
const KEYS_PER_ANSWER: usize = 32;
/// Pending updates above which an additional periodic message is sent: as many as fit into one.
const MAX_PENDING_PER_MESSAGE: usize = 40;
/// Least space for reports of clear members in a periodic message.
const MIN_REPORT_BYTES: usize = 48;

impl AffinityMember {
    /// Updates the contact lease at a time by both clocks. A member that has just started is in
    /// contact only by messages sent after its start; if it heard a quorum that has mostly just
    /// started too, no member there knows more.
    fn update_contact(&mut self, now: Micros, monotonic_now: Micros) {
        let is_trusted = self.contact_lease.is_trusted();
        if let Some(at) = self
            .contact
            .in_contact_since(now, is_trusted)
            .filter(|at| is_trusted || *at > self.trusted_from)
        {
            self.contact_lease.renew(monotonic_now - (now - at));
        } else if !is_trusted && now >= self.trusted_from + self.times.contact_timeout {
            let heard_quorum = self
                .contact
                .any_contact_since(now)
                .is_some_and(|at| at > self.trusted_from && now - at < self.times.contact_timeout);
            self.contact_lease.trust_as_founder(heard_quorum);
        }
    }

    /// Must be called every [`TICK_US`]: removes expired entries and returns the messages to send.
    pub fn tick(&mut self, now: Micros, monotonic_now: Micros) -> OutgoingMessages {
        self.update_contact(now, monotonic_now);
        let slot = self.times.slot(now);
        if slot != self.slot {
            self.slot = slot;
            self.begin_slot(slot);
        }
        let mut outgoing = OutgoingMessages::default();
        let is_due =
            now >= self.last_message.saturating_add(MESSAGE_INTERVAL_US) || now < self.last_message;
        // Updates that do not fit into one periodic message are sent with an additional one.
        if is_due
            || self.pending.count() > MAX_PENDING_PER_MESSAGE
                && now >= self.last_message + MESSAGE_INTERVAL_US / 2
        {
            self.last_message = now;
            self.publish_uses(now);
            outgoing.periodic = Some(self.periodic_message(now));
        }
        outgoing.direct.extend(self.next_answer(now));
        outgoing
    }

    /// Turns this member's uses that must be published into entries.
    fn publish_uses(&mut self, now: Micros) {
        let phases = &self.phases;
        let epoch = |process| {
            Some(phases.epoch(process)).filter(|epoch| !phases.has_ended(process, *epoch))
        };
        for (key, process, entry) in
            self.publishing
                .take_due(now, MESSAGE_INTERVAL_US, &self.table, &self.times, epoch)
        {
            self.summary.published += 1;
            self.table.merge(key, process, entry);
            self.pending.add(key, process);
        }
    }

    fn begin_slot(&mut self, slot: Slot) {
        let (phases, times) = (&self.phases, &self.times);
        self.table.expire(slot);
        if phases.iter().next().is_some() {
            let has_migrated = |key, process, epoch| {
                phases
                    .migrates_at(key, process, epoch, times)
                    .is_some_and(|m| m <= slot)
            };
            self.table
                .retain(|key, process, entry| !has_migrated(key, process, entry.epoch));
        }
        let draining: Vec<_> = phases.iter().filter(|(_, phase)| phase.draining).collect();
        for (process, phase) in draining {
            if !self.in_flight.contains_key(&process) && !self.table.contains_process(process) {
                self.phases.report_clear(process, phase.epoch, self.member);
            }
        }
    }

    /// The periodic message to a few members: drains, clear members, the eviction floor, and
    /// pending updates.
    pub(crate) fn periodic_message(&mut self, now: Micros) -> Vec<u8> {
        let mut message = AffinityMessage::at(now);
        if self.phases.is_complete() {
            message.heard = self
                .contact
                .beacon_ages(now, self.contact_lease.is_trusted());
        }
        message.asks = self.table_requests_left > 0;
        message.floor = self.table.floor();
        self.table_requests_left = self.table_requests_left.saturating_sub(1);
        for (process, phase) in self.phases.iter() {
            message.add_phase(process, phase);
        }
        self.add_reports(&mut message);
        self.add_pending(now, &mut message);
        message.encode()
    }

    /// Adds as many reports of clear members as fit, starting with another process and member each
    /// time.
    fn add_reports(&mut self, message: &mut AffinityMessage) {
        let phases = self.phases.iter();
        let draining: Vec<_> = phases.filter(|(_, phase)| phase.draining).collect();
        self.rotation = mix(self.rotation, 1);
        for i in 0..draining.len() {
            let (process, phase) =
                draining[(i + self.rotation as usize % draining.len()) % draining.len()];
            let clear_members = self.phases.clear_members(process);
            let skip = self.rotation as usize % clear_members.clone().count().max(1);
            let rotated = clear_members
                .clone()
                .skip(skip)
                .chain(clear_members.take(skip));
            if message.encode().len() + MIN_REPORT_BYTES > MAX_MESSAGE_BYTES {
                break;
            }
            message.add_report(process, phase.epoch, rotated);
        }
    }

    /// Adds as many pending updates as fit, and drops expired ones.
    fn add_pending(&mut self, now: Micros, message: &mut AffinityMessage) {
        let slot = self.times.slot(now);
        let (mut expired, mut entries) = (Vec::new(), Vec::new());
        for (key, process) in self.pending.by_priority() {
            let entry = self.table.get(key, process);
            match entry.filter(|entry| slot < entry.expires_slot) {
                Some(entry) => entries.push((key, process, entry)),
                None => expired.push((key, process)),
            }
        }
        for update in expired {
            self.pending.record_sent(update, true);
        }
        let ends = entries.iter().map(|(.., entry)| entry.expires_slot);
        let base = ends.max().unwrap_or(slot);
        for update in message.add_news(base, entries.into_iter()) {
            self.pending.record_sent(update, false);
        }
    }

    /// The next messages of the answer to a member that requested the table.
    fn next_answer(&mut self, now: Micros) -> Vec<(u64, Vec<u8>)> {
        let Some((member, last_rank)) = self.pending_answers.pop_front() else {
            return Vec::new();
        };
        let (mut entries, mut rank) = (Vec::new(), last_rank);
        for key_rank in self.table.keys_below(last_rank).take(KEYS_PER_ANSWER) {
            entries.extend(
                self.table
                    .entries(key_rank.2)
                    .map(|(process, entry)| (key_rank.2, process, entry)),
            );
            rank = Some(key_rank);
        }
        if rank == last_rank {
            let mut end = AffinityMessage::at(now);
            end.ends = true;
            return vec![(member, end.encode())];
        }
        self.pending_answers.push_back((member, rank));
        AffinityMessage::with_entries(now, entries)
            .iter()
            .map(|message| (member, message.encode()))
            .collect()
    }
}
