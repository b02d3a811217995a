//! The log, votes and snapshot of the consensus engine on a checked record store.
//!
//! All of it is in memory too: it is read, and checked, once. Every write is one commit, synced
//! before it returns.

use super::decode_error::DecodeError;
use super::entry::{self, PersistedState};
use load_balancer_record_store::{Change, Store, StoreError};
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::util::limit_size;
use raft::{GetEntriesContext, RaftState, Ready, Storage, StorageError};
use std::time::Duration;

const SELF: &str = "self";
const LOG: &str = "log";
const HARD: &str = "hard";
const SNAPSHOT: &str = "snapshot";
/// Where the first coordinator's log begins: later than that of a coordinator that has nothing, so
/// that everyone else is given the snapshot, and with it the members.
const FOUNDED: u64 = 1;

/// What a coordinator keeps of the log.
#[derive(Debug)]
pub struct LogStore {
    store: Store,
    id: u64,
    hard: HardState,
    snapshot: Snapshot,
    /// What follows the snapshot, without gaps.
    entries: Vec<Entry>,
    delay: Duration,
}

impl LogStore {
    /// Reads what the store keeps. An empty one becomes that of a coordinator that has no part in
    /// the log yet; `id` is the number of its disk from then on, and must be like no other.
    ///
    /// # Errors
    /// The store cannot be read or written, or what it keeps does not belong together.
    pub fn open(store: Store, id: u64) -> Result<Self, StoreError> {
        let unreadable =
            |e: protobuf::ProtobufError| StoreError(format!("a record of the log: {e}"));
        let id = match store.get(SELF, 0)? {
            Some(bytes) => {
                entry::read(&bytes).map_err(|e| StoreError(format!("the disk's number: {e}")))?
            }
            None => {
                store.commit(&[Change::Put(SELF, 0, &entry::write(&id))])?;
                id
            }
        };
        let mut log_store = Self {
            id,
            hard: HardState::default(),
            snapshot: Snapshot::default(),
            entries: Vec::new(),
            delay: Duration::ZERO,
            store,
        };
        if let Some(bytes) = log_store.store.get(HARD, 0)? {
            log_store.hard = HardState::parse_from_bytes(&bytes).map_err(unreadable)?;
        }
        if let Some(bytes) = log_store.store.get(SNAPSHOT, 0)? {
            log_store.snapshot = Snapshot::parse_from_bytes(&bytes).map_err(unreadable)?;
        }
        for (_, bytes) in log_store.store.collection(LOG)? {
            log_store
                .entries
                .push(Entry::parse_from_bytes(&bytes).map_err(unreadable)?);
        }
        let mut before = (log_store.start(), log_store.snapshot.get_metadata().term);
        for entry in &log_store.entries {
            if entry.index != before.0 + 1 || entry.term < before.1 {
                return Err(StoreError(format!(
                    "the log has a gap after entry {}",
                    before.0
                )));
            }
            before = (entry.index, entry.term);
        }
        if !(log_store.start()..=before.0).contains(&log_store.hard.commit) {
            return Err(StoreError(format!(
                "entry {} is agreed on and not there",
                log_store.hard.commit
            )));
        }
        Ok(log_store)
    }

    /// The same on a disk that takes so much longer for each commit.
    #[must_use]
    pub fn slowed(self, delay: Duration) -> Self {
        Self { delay, ..self }
    }

    fn commit(&self, changes: &[Change<'_>]) -> Result<(), StoreError> {
        if !self.delay.is_zero() {
            std::thread::sleep(self.delay);
        }
        self.store.commit(changes)
    }

    /// Whether it holds no part of any log.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.snapshot
            .get_metadata()
            .get_conf_state()
            .voters
            .is_empty()
    }

    /// The number of this disk.
    #[must_use]
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Begins a log of which this coordinator is the only member, over a machine in this state.
    pub(crate) fn found(&mut self, name: &str, machine: Vec<u8>) -> Result<(), StoreError> {
        let kept = PersistedState {
            members: [(self.id, name.to_owned())].into(),
            at_ms: 0,
            machine,
        };
        let mut snapshot = Snapshot::default();
        snapshot.set_data(entry::write(&kept).into());
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (FOUNDED, FOUNDED);
        metadata.mut_conf_state().voters = vec![self.id];
        let hard = HardState {
            term: FOUNDED,
            commit: FOUNDED,
            ..HardState::default()
        };
        self.keep(Some(&snapshot), &[], Some(&hard))
    }

    /// What the snapshot holds beside the engine's data; none while there is none.
    pub(crate) fn kept(&self) -> Result<Option<PersistedState>, DecodeError> {
        if self.is_blank() {
            Ok(None)
        } else {
            entry::read(self.snapshot.get_data()).map(Some)
        }
    }

    /// Index of the snapshot.
    pub(crate) fn start(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// Keeps what the engine wants kept before anything is said about it.
    pub(crate) fn keep_ready(&mut self, ready: &Ready) -> Result<(), StoreError> {
        let snapshot = Some(ready.snapshot()).filter(|s| !s.is_empty());
        if snapshot.is_some() || !ready.entries().is_empty() || ready.hs().is_some() {
            self.keep(snapshot, ready.entries(), ready.hs())?;
        }
        Ok(())
    }

    /// Notes how far is agreed; it is written with the next thing that must be, as it can be found
    /// again.
    pub(crate) fn note_commit(&mut self, commit: u64) {
        self.hard.commit = self.hard.commit.max(commit);
    }

    /// Puts a snapshot in the place of all entries up to the last applied one.
    pub(crate) fn compact(
        &mut self,
        applied: u64,
        members: ConfState,
        kept: &PersistedState,
    ) -> Result<(), StoreError> {
        let term = Storage::term(self, applied).map_err(|e| StoreError(e.to_string()))?;
        let mut snapshot = Snapshot::default();
        snapshot.set_data(entry::write(kept).into());
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (applied, term);
        metadata.set_conf_state(members);
        self.note_commit(applied);
        let left = self
            .entries
            .split_off(usize::try_from(applied - self.start()).unwrap_or(usize::MAX));
        self.entries = left;
        self.write(&snapshot, &[Change::RemoveBelow(LOG, applied + 1)])?;
        self.snapshot = snapshot;
        Ok(())
    }

    fn write(&self, snapshot: &Snapshot, more: &[Change<'_>]) -> Result<(), StoreError> {
        let (snapshot, hard) = (bytes(snapshot)?, bytes(&self.hard)?);
        let mut changes = more.to_vec();
        changes.extend([
            Change::Put(SNAPSHOT, 0, &snapshot),
            Change::Put(HARD, 0, &hard),
        ]);
        self.commit(&changes)
    }

    fn keep(
        &mut self,
        snapshot: Option<&Snapshot>,
        entries: &[Entry],
        hard: Option<&HardState>,
    ) -> Result<(), StoreError> {
        if let Some(hard) = hard {
            self.hard = hard.clone();
        }
        if let Some(snapshot) = snapshot {
            self.hard.commit = self.hard.commit.max(snapshot.get_metadata().index);
            self.write(snapshot, &[Change::RemoveFrom(LOG, 0)])?;
            self.snapshot = snapshot.clone();
            self.entries.clear();
        }
        let written = entries.iter().map(bytes).collect::<Result<Vec<_>, _>>()?;
        let mut changes = Vec::with_capacity(entries.len() + 2);
        if let Some(first) = entries.first() {
            changes.push(Change::RemoveFrom(LOG, first.index));
            let after = first.index.checked_sub(self.start() + 1);
            let after = after
                .and_then(|n| usize::try_from(n).ok())
                .filter(|n| *n <= self.entries.len());
            self.entries
                .truncate(after.ok_or_else(|| StoreError("the engine left a gap".to_owned()))?);
        }
        let puts = entries
            .iter()
            .zip(&written)
            .map(|(entry, bytes)| Change::Put(LOG, entry.index, bytes));
        changes.extend(puts);
        let hard = bytes(&self.hard)?;
        changes.push(Change::Put(HARD, 0, &hard));
        self.commit(&changes)?;
        self.entries.extend_from_slice(entries);
        Ok(())
    }
}

fn bytes(message: &impl protobuf::Message) -> Result<Vec<u8>, StoreError> {
    message
        .write_to_bytes()
        .map_err(|e| StoreError(e.to_string()))
}

impl Storage for LogStore {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let members = self.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState::new(self.hard.clone(), members))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let place = |index: u64| usize::try_from(index.checked_sub(self.start() + 1)?).ok();
        let from = place(low).ok_or(StorageError::Compacted)?;
        let range = place(high)
            .and_then(|to| self.entries.get(from..to))
            .ok_or(StorageError::Unavailable)?;
        let mut found = range.to_vec();
        limit_size(&mut found, max_size.into());
        Ok(found)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.start() {
            return Ok(self.snapshot.get_metadata().term);
        }
        let place = index
            .checked_sub(self.start() + 1)
            .ok_or(StorageError::Compacted)?;
        let entry = usize::try_from(place)
            .ok()
            .and_then(|n| self.entries.get(n));
        Ok(entry.ok_or(StorageError::Unavailable)?.term)
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.start() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.start() + self.entries.len() as u64)
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        if self.is_blank() || request_index > self.start() {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.clone())
    }
}
