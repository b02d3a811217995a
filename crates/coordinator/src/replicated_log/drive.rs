//! Processes the ready state of the consensus engine: persists, applies, answers and sends.

use super::entry::{self, NewMember, ProposedEvent};
use super::interface::{Effects, HaltReason, Replicated};
use super::node::Node;
use protobuf::Message as _;
use raft::StateRole;
use raft::eraftpb::{ConfChange, ConfChangeV2, Entry, EntryType, SnapshotMetadata};
use std::collections::BTreeSet;

/// Number of entries after which a snapshot replaces them: enough to catch up ordinary lag by
/// entries, and few enough to be read quickly at a start.
const MAX_ENTRIES_BEFORE_SNAPSHOT: u64 = 512;
impl<M: Replicated> Node<M> {
    /// Persists and applies what the steps so far led to.
    ///
    /// # Errors
    /// Returns the reason why the node must stop; nothing may be sent then.
    pub fn process_ready(&mut self) -> Result<Effects, HaltReason> {
        let mut effects = Effects::default();
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            let (messages, read_states) = (ready.take_messages(), ready.take_read_states());
            let (persisted_messages, committed) = (
                ready.take_persisted_messages(),
                ready.take_committed_entries(),
            );
            self.raw.mut_store().persist_ready(&ready)?;
            if !ready.snapshot().is_empty() {
                self.restore(ready.snapshot().get_metadata())?;
            }
            effects
                .messages
                .extend(messages.into_iter().chain(persisted_messages));
            self.apply(committed, &mut effects)?;
            for read_state in read_states {
                if let Ok((run, ticket)) = entry::read::<(u64, u64)>(&read_state.request_ctx)
                    && run == self.options.run_id
                {
                    self.pending_reads.push((read_state.index, ticket));
                }
            }
            let mut light_ready = self.raw.advance(ready);
            if let Some(commit) = light_ready.commit_index() {
                self.raw.mut_store().note_commit(commit);
            }
            effects.messages.extend(light_ready.take_messages());
            self.apply(light_ready.take_committed_entries(), &mut effects)?;
            self.raw.advance_apply();
            if self.applied >= self.raw.store().snapshot_index() + MAX_ENTRIES_BEFORE_SNAPSHOT {
                self.compact()?;
            }
        }
        self.reset_election_timeout();
        self.report_confirmations(&mut effects);
        Ok(effects)
    }

    fn report_confirmations(&mut self, effects: &mut Effects) {
        if self.raw.raft.state != StateRole::Leader {
            effects
                .unknown_outcomes
                .extend(std::mem::take(&mut self.pending_tickets));
            self.requested_confirmations.clear();
            self.pending_reads.clear();
        }
        let (applied, requested) = (self.applied, &mut self.requested_confirmations);
        self.pending_reads.retain(|(index, ticket)| {
            let is_applied = *index <= applied;
            if is_applied && requested.remove(ticket) {
                effects.confirmed.push(*ticket);
            }
            !is_applied
        });
    }

    fn restore(&mut self, metadata: &SnapshotMetadata) -> Result<(), HaltReason> {
        let persisted = self
            .raw
            .store()
            .persisted_state()
            .map_err(|error| HaltReason::Unknown(error.to_string()))?
            .unwrap_or_default();
        self.machine
            .restore(&persisted.machine)
            .map_err(HaltReason::Unknown)?;
        (self.persisted, self.applied) = (persisted, metadata.index);
        self.conf_state = metadata.get_conf_state().clone();
        Ok(())
    }

    fn apply(&mut self, entries: Vec<Entry>, effects: &mut Effects) -> Result<(), HaltReason> {
        let mut members_changed = false;
        for entry in entries {
            let index = entry.index;
            match entry.entry_type {
                // The empty entry of a new leader.
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => {
                    let stamped: ProposedEvent =
                        entry::read(&entry.data).map_err(|e| unknown_entry(index, e))?;
                    self.persisted.at_ms = self.persisted.at_ms.max(stamped.at_ms);
                    let answer = self
                        .machine
                        .apply(self.persisted.at_ms, &stamped.event)
                        .map_err(|e| unknown_entry(index, e))?;
                    if stamped.run == self.options.run_id
                        && self.pending_tickets.remove(&stamped.ticket)
                    {
                        effects.answers.push((stamped.ticket, answer));
                    }
                }
                EntryType::EntryConfChange => {
                    let change = ConfChange::parse_from_bytes(&entry.data);
                    let change = change.map_err(|e| unknown_entry(index, e))?;
                    self.conf_state = self
                        .raw
                        .apply_conf_change(&change)
                        .map_err(|e| unknown_entry(index, e))?;
                    members_changed = true;
                }
                EntryType::EntryConfChangeV2 => {
                    let change = ConfChangeV2::parse_from_bytes(&entry.data);
                    let change = change.map_err(|e| unknown_entry(index, e))?;
                    self.conf_state = self
                        .raw
                        .apply_conf_change(&change)
                        .map_err(|e| unknown_entry(index, e))?;
                    if !entry.context.is_empty() {
                        let newcomer: NewMember =
                            entry::read(&entry.context).map_err(|e| unknown_entry(index, e))?;
                        self.persisted.members.insert(newcomer.id, newcomer.name);
                    }
                    members_changed = true;
                }
            }
            (self.applied, self.applied_term) = (entry.index, entry.term);
        }
        if members_changed {
            let conf_state = &self.conf_state;
            let ids = conf_state
                .voters
                .iter()
                .chain(&conf_state.learners)
                .chain(&conf_state.voters_outgoing);
            let ids: BTreeSet<u64> = ids.chain(&conf_state.learners_next).copied().collect();
            self.persisted.members.retain(|id, _| ids.contains(id));
            // A new member receives a snapshot that contains its name.
            self.compact()?;
        }
        Ok(())
    }

    fn compact(&mut self) -> Result<(), HaltReason> {
        self.persisted.machine = self.machine.snapshot();
        let (applied, members) = (self.applied, self.conf_state.clone());
        self.raw
            .mut_store()
            .compact(applied, members, &self.persisted)?;
        Ok(())
    }
}

/// Returns the reason to halt at an entry that cannot be decoded or applied.
fn unknown_entry(index: u64, error: impl std::fmt::Display) -> HaltReason {
    HaltReason::Unknown(format!("entry {index}: {error}"))
}
