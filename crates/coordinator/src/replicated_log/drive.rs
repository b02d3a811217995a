//! Carries out the ready state of the consensus engine: persist, apply, answer, send.

use super::entry::{self, Newcomer, Stamped};
use super::interface::{Effects, HaltReason, Replicated};
use super::node::Node;
use protobuf::Message as _;
use raft::StateRole;
use raft::eraftpb::{ConfChange, ConfChangeV2, Entry, EntryType, SnapshotMetadata};
use std::collections::BTreeSet;

/// Entries after which a snapshot takes their place: enough that ordinary lag is bridged by
/// entries, and so few that a start reads them at once.
const MAX_ENTRIES: u64 = 512;
impl<M: Replicated> Node<M> {
    /// Keeps and applies what the steps so far came to.
    ///
    /// # Errors
    /// The node must stop, and nothing of it may be sent.
    pub fn drive(&mut self) -> Result<Effects, HaltReason> {
        let mut effects = Effects::default();
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            let (messages, reads) = (ready.take_messages(), ready.take_read_states());
            let (later, committed) = (
                ready.take_persisted_messages(),
                ready.take_committed_entries(),
            );
            self.raw.mut_store().keep_ready(&ready)?;
            if !ready.snapshot().is_empty() {
                self.restore(ready.snapshot().get_metadata())?;
            }
            effects.messages.extend(messages.into_iter().chain(later));
            self.apply(committed, &mut effects)?;
            for read in reads {
                if let Ok((run, ticket)) = entry::read::<(u64, u64)>(&read.request_ctx)
                    && run == self.options.run
                {
                    self.readable.push((read.index, ticket));
                }
            }
            let mut light = self.raw.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.raw.mut_store().note_commit(commit);
            }
            effects.messages.extend(light.take_messages());
            self.apply(light.take_committed_entries(), &mut effects)?;
            self.raw.advance_apply();
            if self.applied >= self.raw.store().start() + MAX_ENTRIES {
                self.compact()?;
            }
        }
        self.draw();
        self.give(&mut effects);
        Ok(effects)
    }

    fn give(&mut self, effects: &mut Effects) {
        if self.raw.raft.state != StateRole::Leader {
            effects.lost.extend(std::mem::take(&mut self.waiting));
            self.asked.clear();
            self.readable.clear();
        }
        let (applied, asked) = (self.applied, &mut self.asked);
        self.readable.retain(|(index, ticket)| {
            let due = *index <= applied;
            if due && asked.remove(ticket) {
                effects.confirmed.push(*ticket);
            }
            !due
        });
    }

    fn restore(&mut self, metadata: &SnapshotMetadata) -> Result<(), HaltReason> {
        let kept = self
            .raw
            .store()
            .kept()
            .map_err(|error| HaltReason::Unknown(error.to_string()))?
            .unwrap_or_default();
        self.machine
            .restore(&kept.machine)
            .map_err(HaltReason::Unknown)?;
        (self.kept, self.applied) = (kept, metadata.index);
        self.members_now = metadata.get_conf_state().clone();
        Ok(())
    }

    fn apply(&mut self, entries: Vec<Entry>, effects: &mut Effects) -> Result<(), HaltReason> {
        let mut changed = false;
        for entry in entries {
            let index = entry.index;
            match entry.entry_type {
                // The mark of a new leader.
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => {
                    let stamped: Stamped =
                        entry::read(&entry.data).map_err(|e| unknown(index, e))?;
                    self.kept.at_ms = self.kept.at_ms.max(stamped.at_ms);
                    let answer = self
                        .machine
                        .apply(self.kept.at_ms, &stamped.event)
                        .map_err(|e| unknown(index, e))?;
                    if stamped.run == self.options.run && self.waiting.remove(&stamped.ticket) {
                        effects.answers.push((stamped.ticket, answer));
                    }
                }
                EntryType::EntryConfChange => {
                    let change = ConfChange::parse_from_bytes(&entry.data);
                    let change = change.map_err(|e| unknown(index, e))?;
                    self.members_now = self
                        .raw
                        .apply_conf_change(&change)
                        .map_err(|e| unknown(index, e))?;
                    changed = true;
                }
                EntryType::EntryConfChangeV2 => {
                    let change = ConfChangeV2::parse_from_bytes(&entry.data);
                    let change = change.map_err(|e| unknown(index, e))?;
                    self.members_now = self
                        .raw
                        .apply_conf_change(&change)
                        .map_err(|e| unknown(index, e))?;
                    if !entry.context.is_empty() {
                        let newcomer: Newcomer =
                            entry::read(&entry.context).map_err(|e| unknown(index, e))?;
                        self.kept.members.insert(newcomer.id, newcomer.name);
                    }
                    changed = true;
                }
            }
            (self.applied, self.applied_term) = (entry.index, entry.term);
        }
        if changed {
            let now = &self.members_now;
            let all = now
                .voters
                .iter()
                .chain(&now.learners)
                .chain(&now.voters_outgoing);
            let all: BTreeSet<u64> = all.chain(&now.learners_next).copied().collect();
            self.kept.members.retain(|id, _| all.contains(id));
            // Whoever comes in is given a snapshot that names it.
            self.compact()?;
        }
        Ok(())
    }

    fn compact(&mut self) -> Result<(), HaltReason> {
        self.kept.machine = self.machine.snapshot();
        let (applied, members) = (self.applied, self.members_now.clone());
        self.raw.mut_store().compact(applied, members, &self.kept)?;
        Ok(())
    }
}

/// The reason to halt at an entry that this program does not know.
fn unknown(index: u64, error: impl std::fmt::Display) -> HaltReason {
    HaltReason::Unknown(format!("entry {index}: {error}"))
}
