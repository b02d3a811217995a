//! Storage of the consensus engine's log, votes and snapshot in a checked record store.
//!
//! All data is also held in memory; it is read and validated once. Every write is one commit that
//! is synced before it returns.

use super::decode_error::DecodeError;
use super::entry::{self, PersistedState};
use load_balancer_record_store::{Change, Store, StoreError};
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::util::limit_size;
use raft::{GetEntriesContext, RaftState, Ready, Storage, StorageError};
use std::time::Duration;

const ID_COLLECTION: &str = "self";
const LOG_COLLECTION: &str = "log";
const HARD_STATE_COLLECTION: &str = "hard";
const SNAPSHOT_COLLECTION: &str = "snapshot";
/// Index at which a founded log begins: higher than in an empty log, so that all other coordinators
/// receive the snapshot, and the members with it.
const FOUNDING_INDEX: u64 = 1;

/// The stored state of a coordinator's log.
#[derive(Debug)]
pub struct LogStore {
    store: Store,
    id: u64,
    hard_state: HardState,
    snapshot: Snapshot,
    /// The entries after the snapshot, without gaps.
    entries: Vec<Entry>,
    commit_delay: Duration,
}

impl LogStore {
    /// Reads a store. An empty one becomes that of a coordinator without any part of a log; `id` is
    /// the id of its disk from then on and must be unique.
    ///
    /// # Errors
    /// Returns an error if the store cannot be read or written, or its content is inconsistent.
    pub fn open(store: Store, id: u64) -> Result<Self, StoreError> {
        let unreadable =
            |e: protobuf::ProtobufError| StoreError(format!("invalid log record: {e}"));
        let id = match store.get(ID_COLLECTION, 0)? {
            Some(bytes) => {
                entry::read(&bytes).map_err(|e| StoreError(format!("invalid disk id: {e}")))?
            }
            None => {
                store.commit(&[Change::Put(ID_COLLECTION, 0, &entry::write(&id))])?;
                id
            }
        };
        let mut log_store = Self {
            id,
            hard_state: HardState::default(),
            snapshot: Snapshot::default(),
            entries: Vec::new(),
            commit_delay: Duration::ZERO,
            store,
        };
        if let Some(bytes) = log_store.store.get(HARD_STATE_COLLECTION, 0)? {
            log_store.hard_state = HardState::parse_from_bytes(&bytes).map_err(unreadable)?;
        }
        if let Some(bytes) = log_store.store.get(SNAPSHOT_COLLECTION, 0)? {
            log_store.snapshot = Snapshot::parse_from_bytes(&bytes).map_err(unreadable)?;
        }
        for (_, bytes) in log_store.store.collection(LOG_COLLECTION)? {
            log_store
                .entries
                .push(Entry::parse_from_bytes(&bytes).map_err(unreadable)?);
        }
        let mut previous = (
            log_store.snapshot_index(),
            log_store.snapshot.get_metadata().term,
        );
        for entry in &log_store.entries {
            if entry.index != previous.0 + 1 || entry.term < previous.1 {
                return Err(StoreError(format!(
                    "the log has a gap after entry {}",
                    previous.0
                )));
            }
            previous = (entry.index, entry.term);
        }
        if !(log_store.snapshot_index()..=previous.0).contains(&log_store.hard_state.commit) {
            return Err(StoreError(format!(
                "committed entry {} is missing",
                log_store.hard_state.commit
            )));
        }
        Ok(log_store)
    }

    /// Adds a delay to each commit; for experiments.
    #[must_use]
    pub fn with_commit_delay(self, delay: Duration) -> Self {
        Self {
            commit_delay: delay,
            ..self
        }
    }

    fn commit(&self, changes: &[Change<'_>]) -> Result<(), StoreError> {
        if !self.commit_delay.is_zero() {
            std::thread::sleep(self.commit_delay);
        }
        self.store.commit(changes)
    }

    /// Returns whether it has no part of any log.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.snapshot
            .get_metadata()
            .get_conf_state()
            .voters
            .is_empty()
    }

    /// Returns the id of this disk.
    #[must_use]
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Begins a log with this coordinator as its only member, and this state of the state machine.
    pub(crate) fn initialize_as_founder(
        &mut self,
        name: &str,
        machine: Vec<u8>,
    ) -> Result<(), StoreError> {
        let persisted = PersistedState {
            members: [(self.id, name.to_owned())].into(),
            at_ms: 0,
            machine,
        };
        let mut snapshot = Snapshot::default();
        snapshot.set_data(entry::write(&persisted).into());
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (FOUNDING_INDEX, FOUNDING_INDEX);
        metadata.mut_conf_state().voters = vec![self.id];
        let hard_state = HardState {
            term: FOUNDING_INDEX,
            commit: FOUNDING_INDEX,
            ..HardState::default()
        };
        self.persist(Some(&snapshot), &[], Some(&hard_state))
    }

    /// Returns the state stored with the snapshot, if there is one.
    pub(crate) fn persisted_state(&self) -> Result<Option<PersistedState>, DecodeError> {
        if self.is_blank() {
            Ok(None)
        } else {
            entry::read(self.snapshot.get_data()).map(Some)
        }
    }

    /// Returns the index of the snapshot.
    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// Persists what the engine requires before messages are sent.
    pub(crate) fn persist_ready(&mut self, ready: &Ready) -> Result<(), StoreError> {
        let snapshot = Some(ready.snapshot()).filter(|s| !s.is_empty());
        if snapshot.is_some() || !ready.entries().is_empty() || ready.hs().is_some() {
            self.persist(snapshot, ready.entries(), ready.hs())?;
        }
        Ok(())
    }

    /// Records the commit index; it is written along with the next change, since it can be
    /// recovered.
    pub(crate) fn note_commit(&mut self, commit: u64) {
        self.hard_state.commit = self.hard_state.commit.max(commit);
    }

    /// Replaces all entries up to the last applied one by a snapshot.
    pub(crate) fn compact(
        &mut self,
        applied: u64,
        members: ConfState,
        persisted: &PersistedState,
    ) -> Result<(), StoreError> {
        let term = Storage::term(self, applied).map_err(|e| StoreError(e.to_string()))?;
        let mut snapshot = Snapshot::default();
        snapshot.set_data(entry::write(persisted).into());
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (applied, term);
        metadata.set_conf_state(members);
        self.note_commit(applied);
        let remaining = self
            .entries
            .split_off(usize::try_from(applied - self.snapshot_index()).unwrap_or(usize::MAX));
        self.entries = remaining;
        self.write_snapshot(
            &snapshot,
            &[Change::RemoveBelow(LOG_COLLECTION, applied + 1)],
        )?;
        self.snapshot = snapshot;
        Ok(())
    }

    fn write_snapshot(
        &self,
        snapshot: &Snapshot,
        changes_before: &[Change<'_>],
    ) -> Result<(), StoreError> {
        let (snapshot, hard_state) = (encode(snapshot)?, encode(&self.hard_state)?);
        let mut changes = changes_before.to_vec();
        changes.extend([
            Change::Put(SNAPSHOT_COLLECTION, 0, &snapshot),
            Change::Put(HARD_STATE_COLLECTION, 0, &hard_state),
        ]);
        self.commit(&changes)
    }

    fn persist(
        &mut self,
        snapshot: Option<&Snapshot>,
        entries: &[Entry],
        hard_state: Option<&HardState>,
    ) -> Result<(), StoreError> {
        if let Some(hard_state) = hard_state {
            self.hard_state = hard_state.clone();
        }
        if let Some(snapshot) = snapshot {
            self.hard_state.commit = self.hard_state.commit.max(snapshot.get_metadata().index);
            self.write_snapshot(snapshot, &[Change::RemoveFrom(LOG_COLLECTION, 0)])?;
            self.snapshot = snapshot.clone();
            self.entries.clear();
        }
        let encoded = entries.iter().map(encode).collect::<Result<Vec<_>, _>>()?;
        let mut changes = Vec::with_capacity(entries.len() + 2);
        if let Some(first) = entries.first() {
            changes.push(Change::RemoveFrom(LOG_COLLECTION, first.index));
            let kept_entries = first.index.checked_sub(self.snapshot_index() + 1);
            let after = kept_entries
                .and_then(|n| usize::try_from(n).ok())
                .filter(|n| *n <= self.entries.len());
            self.entries.truncate(after.ok_or_else(|| {
                StoreError("gap in the entries from the consensus engine".to_owned())
            })?);
        }
        let puts = entries
            .iter()
            .zip(&encoded)
            .map(|(entry, bytes)| Change::Put(LOG_COLLECTION, entry.index, bytes));
        changes.extend(puts);
        let hard_state = encode(&self.hard_state)?;
        changes.push(Change::Put(HARD_STATE_COLLECTION, 0, &hard_state));
        self.commit(&changes)?;
        self.entries.extend_from_slice(entries);
        Ok(())
    }
}

fn encode(message: &impl protobuf::Message) -> Result<Vec<u8>, StoreError> {
    message
        .write_to_bytes()
        .map_err(|e| StoreError(e.to_string()))
}

impl Storage for LogStore {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let members = self.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState::new(self.hard_state.clone(), members))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let position =
            |index: u64| usize::try_from(index.checked_sub(self.snapshot_index() + 1)?).ok();
        let start = position(low).ok_or(StorageError::Compacted)?;
        let range = position(high)
            .and_then(|end| self.entries.get(start..end))
            .ok_or(StorageError::Unavailable)?;
        let mut entries = range.to_vec();
        limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.snapshot_index() {
            return Ok(self.snapshot.get_metadata().term);
        }
        let position = index
            .checked_sub(self.snapshot_index() + 1)
            .ok_or(StorageError::Compacted)?;
        let entry = usize::try_from(position)
            .ok()
            .and_then(|n| self.entries.get(n));
        Ok(entry.ok_or(StorageError::Unavailable)?.term)
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot_index() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot_index() + self.entries.len() as u64)
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        if self.is_blank() || request_index > self.snapshot_index() {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.clone())
    }
}
