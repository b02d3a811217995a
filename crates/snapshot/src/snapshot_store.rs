//! The stored state in two stores: starts an incarnation, and commits changes.

use crate::Micros;
use crate::directory::{FileKind, StateStorage};
use crate::encoding::{self, ReadError, read_plausible};
use crate::snapshot::{Changes, Snapshot};
use load_balancer_record_store::{Change, Store, StoreError};
use std::path::PathBuf;

/// The collection of the highest incarnation that was ever issued.
const INCARNATION: &str = "incarnation";

/// A quarantined file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedFile {
    /// Its new path.
    pub file: PathBuf,
    /// Why it was quarantined.
    pub reason: String,
}

/// The result of a start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Found {
    /// The stored state that is plausible.
    pub known: Snapshot,
    /// This incarnation's number: the clock's time in microseconds, or one more than any issued
    /// before if that is higher. It is durable.
    pub incarnation: u64,
    /// The quarantined files.
    pub quarantined: Vec<QuarantinedFile>,
}

/// The stores of one owner, in a started incarnation.
#[derive(Debug)]
pub struct SnapshotStore {
    store: Store,
}

impl SnapshotStore {
    /// Starts an incarnation at this time: reads the stored state, quarantines what can't be read,
    /// and reserves the incarnation's number.
    ///
    /// # Errors
    /// The disk failed; stored state is unchanged.
    pub fn begin(
        storage: &dyn StateStorage,
        owner: &str,
        now: Micros,
    ) -> Result<(Self, Found), StoreError> {
        let mut quarantined = Vec::new();
        let incarnation = reserve_incarnation(storage, owner, now, &mut quarantined)?;
        let store = open_store(storage, FileKind::Snapshot, owner, &mut quarantined)?;
        let (store, known) = match read_plausible(&store, now) {
            Ok(known) => (store, known),
            Err(ReadError::Store(error)) => return Err(error),
            Err(why) => {
                drop(store);
                quarantined.push(QuarantinedFile {
                    file: storage.quarantine(FileKind::Snapshot)?,
                    reason: why.to_string(),
                });
                (
                    open_store(storage, FileKind::Snapshot, owner, &mut quarantined)?,
                    Snapshot::default(),
                )
            }
        };
        Ok((
            Self { store },
            Found {
                known,
                incarnation,
                quarantined,
            },
        ))
    }

    /// Commits all changes or none; returns the number of bytes of payload. They are durable when
    /// this returns.
    ///
    /// # Errors
    /// The disk failed. Whether the changes are durable is unknown: start again.
    pub fn commit(&self, changes: &Changes) -> Result<u64, StoreError> {
        encoding::write(&self.store, changes)
    }
}

fn open_store(
    storage: &dyn StateStorage,
    file: FileKind,
    owner: &str,
    quarantined: &mut Vec<QuarantinedFile>,
) -> Result<Store, StoreError> {
    let opened = storage.open(file, owner)?;
    quarantined.extend(opened.quarantined.map(|quarantined| QuarantinedFile {
        file: quarantined.file,
        reason: quarantined.why.to_string(),
    }));
    Ok(opened.store)
}

/// Reserves a number that was never issued before; it is durable when this returns.
fn reserve_incarnation(
    storage: &dyn StateStorage,
    owner: &str,
    now: Micros,
    quarantined: &mut Vec<QuarantinedFile>,
) -> Result<u64, StoreError> {
    let store = open_store(storage, FileKind::Numbers, owner, quarantined)?;
    let last = last_incarnation(&store)?;
    let next = last
        .checked_add(1)
        .ok_or_else(|| StoreError("all incarnations are used up".to_owned()))?;
    let number = next.max(now.max(0).unsigned_abs());
    store.commit(&[Change::Put(INCARNATION, 0, &number.to_le_bytes())])?;
    Ok(number)
}

/// The highest number that was ever issued; 0 if none.
pub(crate) fn last_incarnation(store: &Store) -> Result<u64, StoreError> {
    let Some(bytes) = store.get(INCARNATION, 0)? else {
        return Ok(0);
    };
    let number = bytes.try_into().map(u64::from_le_bytes);
    number.map_err(|_| StoreError("the last incarnation has no number's form".to_owned()))
}
