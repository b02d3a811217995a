//! One replica of the log.

use super::entry::{self, PersistedState, Stamped};
use super::interface::{HaltReason, Options, Refused, ReplicaStatus, Replicated};
use super::{log_store::LogStore, message_filter};
use raft::eraftpb::{ConfChangeV2, ConfState, Message};
use raft::{Config, ProgressState, RawNode, SnapshotStatus, StateRole};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Most bytes of entries in one message, and of entries that wait for agreement.
const MAX_BYTES: u64 = 1 << 20;
/// Messages on their way to one coordinator.
const MAX_INFLIGHT: usize = 64;

/// A node.
pub struct Node<M> {
    pub(crate) raw: RawNode<LogStore>,
    pub(crate) machine: M,
    pub(crate) options: Options,
    pub(crate) kept: PersistedState,
    pub(crate) applied: u64,
    pub(crate) applied_term: u64,
    pub(crate) members_now: ConfState,
    pub(crate) waiting: BTreeSet<u64>,
    /// Confirmed by a majority, to be given out when this index is applied.
    pub(crate) readable: Vec<(u64, u64)>,
    pub(crate) asked: BTreeSet<u64>,
    /// Heartbeats for which a coordinator has had a snapshot on its way to it.
    sending: BTreeMap<u64, usize>,
}

impl<M: Replicated> Node<M> {
    /// A node on what its shelf holds. `found` makes a blank one the first member of a new
    /// agreement; it must be given once, to one coordinator, where no other has any part of it.
    ///
    /// # Errors
    /// The disk fails, or holds what this program does not know.
    pub fn new(
        mut log_store: LogStore,
        mut machine: M,
        options: Options,
        found: bool,
    ) -> Result<Self, HaltReason> {
        if found && log_store.is_blank() {
            log_store.found(&options.name, machine.snapshot())?;
        }
        let kept = log_store
            .kept()
            .map_err(|error| HaltReason::Unknown(error.to_string()))?;
        if let Some(kept) = &kept {
            machine
                .restore(&kept.machine)
                .map_err(HaltReason::Unknown)?;
        }
        let applied = log_store.start();
        let config = Config {
            id: log_store.id(),
            election_tick: options.patience,
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
        let silent = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, log_store, &silent)
            .map_err(|e| HaltReason::Unknown(e.to_string()))?;
        let mut node = Self {
            raw,
            machine,
            options,
            kept: kept.unwrap_or_default(),
            applied,
            applied_term: 0,
            members_now: state.conf_state,
            waiting: BTreeSet::new(),
            readable: Vec::new(),
            asked: BTreeSet::new(),
            sending: BTreeMap::new(),
        };
        node.draw();
        Ok(node)
    }

    /// The engine draws its patience from the machine's own chance; here disk and term draw it, so
    /// a seed replays it.
    pub(crate) fn draw(&mut self) {
        let raft = &mut self.raw.raft;
        let mut seed = [0; 16];
        seed[..8].copy_from_slice(&raft.id.to_le_bytes());
        seed[8..].copy_from_slice(&raft.term.to_le_bytes());
        let most = self.options.patience as u64;
        let more = usize::try_from(xxh3_64(&seed) % most.max(1)).unwrap_or(0);
        raft.set_randomized_election_timeout(self.options.patience + more);
    }

    /// One heartbeat's time passed.
    pub fn tick(&mut self) {
        self.raw.tick();
        self.draw();
        self.give_up_snapshots();
    }

    /// The engine waits for word of a snapshot for ever; one that is not answered in the time of an
    /// election is lost.
    fn give_up_snapshots(&mut self) {
        let under_way = self
            .raw
            .raft
            .prs()
            .iter()
            .filter(|(_, p)| p.state == ProgressState::Snapshot);
        let under_way: BTreeSet<u64> = under_way.map(|(id, _)| *id).collect();
        self.sending.retain(|id, _| under_way.contains(id));
        for id in under_way {
            let ticks = self.sending.entry(id).or_default();
            *ticks += 1;
            if *ticks >= self.options.patience {
                *ticks = 0;
                self.raw.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// A message came; whether it was let in.
    pub fn step(&mut self, message: Message) -> bool {
        let raft = &self.raw.raft;
        let passes = message_filter::passes(&message, raft.id, raft.leader_id, &raft.raft_log);
        let passes = passes && self.raw.step(message).is_ok();
        self.draw();
        passes
    }

    /// Proposes an event at the host's time, in milliseconds of Unix time. The answer comes with
    /// the effects under `ticket`, which the host gives once a run.
    ///
    /// # Errors
    /// Nothing was proposed.
    pub fn propose(&mut self, at_ms: i64, ticket: u64, event: Vec<u8>) -> Result<(), Refused> {
        if !self.acts() {
            return Err(Refused::NotLeader);
        }
        if self.members_now.voters.len() < self.options.least {
            return Err(Refused::Founding);
        }
        let stamped = entry::write(&Stamped {
            at_ms,
            run: self.options.run,
            ticket,
            event,
        });
        self.raw
            .propose(Vec::new(), stamped)
            .map_err(|_| Refused::Busy)?;
        self.waiting.insert(ticket);
        Ok(())
    }

    /// Asks a majority whether this node still leads; `ticket` comes back as confirmed if it does,
    /// and what was agreed before the asking is applied then. Otherwise it never comes back.
    pub fn confirm(&mut self, ticket: u64) {
        if self.acts() {
            self.asked.insert(ticket);
            self.raw
                .read_index(entry::write(&(self.options.run, ticket)));
        }
    }

    /// Hands the lead over to the coordinator that has most of the log, if another one with a vote
    /// was heard lately. Whether it was asked to.
    pub fn hand_over(&mut self) -> bool {
        let raft = &self.raw.raft;
        let prs = raft.prs();
        let voters = prs.conf().voters().ids();
        let others = prs
            .iter()
            .filter(|(id, p)| **id != raft.id && voters.contains(**id) && p.recent_active);
        let Some(heir) = others
            .max_by_key(|(id, p)| (p.matched, **id))
            .map(|(id, _)| *id)
        else {
            return false;
        };
        let leads = self.acts();
        if leads {
            self.raw.transfer_leader(heir);
        }
        leads
    }

    /// Proposes a change of members.
    pub(crate) fn change_members(&mut self, context: Vec<u8>, change: ConfChangeV2) {
        // Dropped where another one is under way: the newcomer asks again.
        let _ = self.raw.propose_conf_change(context, change);
    }

    /// Whether this node may act: it leads, and what was agreed before its time is applied.
    pub fn acts(&self) -> bool {
        self.raw.raft.state == StateRole::Leader && self.applied_term == self.raw.raft.term
    }

    /// The machine.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// The engine.
    pub(crate) fn raw(&self) -> &RawNode<LogStore> {
        &self.raw
    }

    /// Names of members by the numbers of their disks.
    pub fn members(&self) -> &BTreeMap<u64, String> {
        &self.kept.members
    }

    /// The number of its disk.
    pub fn id(&self) -> u64 {
        self.raw.raft.id
    }

    /// Where it stands.
    pub fn replica_status(&self) -> ReplicaStatus {
        let raft = &self.raw.raft;
        let name = |id: &u64| self.kept.members.get(id).cloned();
        let mut voters: Vec<String> = self.members_now.voters.iter().filter_map(name).collect();
        voters.sort();
        let mut members: Vec<String> = self.kept.members.values().cloned().collect();
        members.sort();
        ReplicaStatus {
            id: raft.id,
            term: raft.term,
            leader: name(&raft.leader_id),
            acts: self.acts(),
            applied: self.applied,
            voters,
            members,
            voice: self.members_now.voters.contains(&raft.id),
            blank: self.members_now.voters.is_empty(),
        }
    }
}
