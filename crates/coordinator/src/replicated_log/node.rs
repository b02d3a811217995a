//! One replica of the log.

use super::entry::{self, PersistedState, ProposedEvent};
use super::interface::{HaltReason, Options, ProposeError, ReplicaStatus, Replicated};
use super::{log_store::LogStore, message_filter};
use raft::eraftpb::{ConfChangeV2, ConfState, Message};
use raft::{Config, ProgressState, RawNode, SnapshotStatus, StateRole};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum size in bytes of the entries in one message, and of uncommitted entries.
const MAX_BYTES: u64 = 1 << 20;
/// Maximum number of messages in flight to one coordinator.
const MAX_INFLIGHT: usize = 64;

/// One replica of the log with its state machine.
pub struct Node<M> {
    pub(crate) raw: RawNode<LogStore>,
    pub(crate) machine: M,
    pub(crate) options: Options,
    pub(crate) persisted: PersistedState,
    pub(crate) applied: u64,
    pub(crate) applied_term: u64,
    pub(crate) conf_state: ConfState,
    pub(crate) pending_tickets: BTreeSet<u64>,
    /// Indexes and tickets of confirmed reads, to be reported once the index is applied.
    pub(crate) pending_reads: Vec<(u64, u64)>,
    pub(crate) requested_confirmations: BTreeSet<u64>,
    /// Heartbeats since each coordinator started to receive a snapshot.
    snapshot_ticks: BTreeMap<u64, usize>,
}

impl<M: Replicated> Node<M> {
    /// Creates a node on a log store. `is_founder` makes an empty one the first member of a new
    /// log; that must be set for only one coordinator, once, while no other has any part of a log.
    ///
    /// # Errors
    /// Returns an error if the disk fails, or holds a format that this program does not know.
    pub fn new(
        mut log_store: LogStore,
        mut machine: M,
        options: Options,
        is_founder: bool,
    ) -> Result<Self, HaltReason> {
        if is_founder && log_store.is_blank() {
            log_store.initialize_as_founder(&options.name, machine.snapshot())?;
        }
        let persisted = log_store
            .persisted_state()
            .map_err(|error| HaltReason::Unknown(error.to_string()))?;
        if let Some(persisted) = &persisted {
            machine
                .restore(&persisted.machine)
                .map_err(HaltReason::Unknown)?;
        }
        let applied = log_store.snapshot_index();
        let config = Config {
            id: log_store.id(),
            election_tick: options.election_ticks,
            heartbeat_tick: 1,
            applied,
            max_size_per_msg: MAX_BYTES,
            max_inflight_msgs: MAX_INFLIGHT,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MAX_BYTES,
            ..Config::default()
        };
        let state = raft::Storage::initial_state(&log_store)
            .map_err(|e| HaltReason::Unknown(e.to_string()))?;
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, log_store, &logger)
            .map_err(|e| HaltReason::Unknown(e.to_string()))?;
        let mut node = Self {
            raw,
            machine,
            options,
            persisted: persisted.unwrap_or_default(),
            applied,
            applied_term: 0,
            conf_state: state.conf_state,
            pending_tickets: BTreeSet::new(),
            pending_reads: Vec::new(),
            requested_confirmations: BTreeSet::new(),
            snapshot_ticks: BTreeMap::new(),
        };
        node.reset_election_timeout();
        Ok(node)
    }

    /// Derives the randomized election timeout from disk id and term. The engine would use its own
    /// random numbers, which a seed does not replay.
    pub(crate) fn reset_election_timeout(&mut self) {
        let raft = &mut self.raw.raft;
        let mut seed = [0; 16];
        seed[..8].copy_from_slice(&raft.id.to_le_bytes());
        seed[8..].copy_from_slice(&raft.term.to_le_bytes());
        let range = self.options.election_ticks as u64;
        let extra_ticks = usize::try_from(xxh3_64(&seed) % range.max(1)).unwrap_or(0);
        raft.set_randomized_election_timeout(self.options.election_ticks + extra_ticks);
    }

    /// Records that one heartbeat interval has passed.
    pub fn tick(&mut self) {
        self.raw.tick();
        self.reset_election_timeout();
        self.expire_snapshots();
    }

    /// Reports snapshots that were not acknowledged within an election timeout as failed; otherwise
    /// the engine would wait for them forever.
    fn expire_snapshots(&mut self) {
        let receiving = self
            .raw
            .raft
            .prs()
            .iter()
            .filter(|(_, p)| p.state == ProgressState::Snapshot);
        let receiving_ids: BTreeSet<u64> = receiving.map(|(id, _)| *id).collect();
        self.snapshot_ticks
            .retain(|id, _| receiving_ids.contains(id));
        for id in receiving_ids {
            let ticks = self.snapshot_ticks.entry(id).or_default();
            *ticks += 1;
            if *ticks >= self.options.election_ticks {
                *ticks = 0;
                self.raw.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// Handles a message. Returns whether it was accepted.
    pub fn step(&mut self, message: Message) -> bool {
        let raft = &self.raw.raft;
        let accepted =
            message_filter::is_acceptable(&message, raft.id, raft.leader_id, &raft.raft_log);
        let accepted = accepted && self.raw.step(message).is_ok();
        self.reset_election_timeout();
        accepted
    }

    /// Proposes an event at the host's time, in milliseconds of Unix time. The answer is returned
    /// with the effects under `ticket`, which must be unique within a run.
    ///
    /// # Errors
    /// Returns the reason why nothing was proposed.
    pub fn propose(&mut self, at_ms: i64, ticket: u64, event: Vec<u8>) -> Result<(), ProposeError> {
        if !self.is_active_leader() {
            return Err(ProposeError::NotLeader);
        }
        if self.conf_state.voters.len() < self.options.min_voters {
            return Err(ProposeError::TooFewVoters);
        }
        let entry = entry::write(&ProposedEvent {
            at_ms,
            run: self.options.run_id,
            ticket,
            event,
        });
        self.raw
            .propose(Vec::new(), entry)
            .map_err(|_| ProposeError::Busy)?;
        self.pending_tickets.insert(ticket);
        Ok(())
    }

    /// Asks a majority to confirm that this node still leads. If it does, `ticket` is reported as
    /// confirmed once everything committed before the request is applied; otherwise never.
    pub fn request_confirmation(&mut self, ticket: u64) {
        if self.is_active_leader() {
            self.requested_confirmations.insert(ticket);
            self.raw
                .read_index(entry::write(&(self.options.run_id, ticket)));
        }
    }

    /// Transfers the leadership to the recently active voter with the longest log. Returns whether
    /// the transfer was started.
    pub fn transfer_leadership(&mut self) -> bool {
        let raft = &self.raw.raft;
        let prs = raft.prs();
        let voters = prs.conf().voters().ids();
        let others = prs
            .iter()
            .filter(|(id, p)| **id != raft.id && voters.contains(**id) && p.recent_active);
        let Some(successor) = others
            .max_by_key(|(id, p)| (p.matched, **id))
            .map(|(id, _)| *id)
        else {
            return false;
        };
        let is_leading = self.is_active_leader();
        if is_leading {
            self.raw.transfer_leader(successor);
        }
        is_leading
    }

    /// Proposes a membership change.
    pub(crate) fn change_members(&mut self, context: Vec<u8>, change: ConfChangeV2) {
        // Dropped while another change is in progress; the new member repeats its request.
        let _ = self.raw.propose_conf_change(context, change);
    }

    /// Returns whether this node leads and has applied everything committed before its term.
    pub fn is_active_leader(&self) -> bool {
        self.raw.raft.state == StateRole::Leader && self.applied_term == self.raw.raft.term
    }

    /// Returns the state machine.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Returns the engine.
    pub(crate) fn raw_node(&self) -> &RawNode<LogStore> {
        &self.raw
    }

    /// Returns the names of the members by the ids of their disks.
    pub fn members(&self) -> &BTreeMap<u64, String> {
        &self.persisted.members
    }

    /// Returns the id of its disk.
    pub fn id(&self) -> u64 {
        self.raw.raft.id
    }

    /// Returns its status.
    pub fn replica_status(&self) -> ReplicaStatus {
        let raft = &self.raw.raft;
        let name = |id: &u64| self.persisted.members.get(id).cloned();
        let mut voters: Vec<String> = self.conf_state.voters.iter().filter_map(name).collect();
        voters.sort();
        let mut members: Vec<String> = self.persisted.members.values().cloned().collect();
        members.sort();
        ReplicaStatus {
            id: raft.id,
            term: raft.term,
            leader: name(&raft.leader_id),
            acts: self.is_active_leader(),
            applied: self.applied,
            voters,
            members,
            voice: self.conf_state.voters.contains(&raft.id),
            blank: self.conf_state.voters.is_empty(),
        }
    }
}
