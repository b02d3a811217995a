//! The stored state over two stores: begins an incarnation, and commits changes.

use crate::Micros;
use crate::directory::{FileKind, StateStorage};
use crate::encoding::{self, ReadError, read_plausible};
use crate::snapshot::{Changes, Snapshot};
use load_balancer_record_store::{Change, Store, StoreError};
use std::path::PathBuf;

/// Where the highest incarnation that was ever given lies among the numbers.
const INCARNATION: &str = "incarnation";

/// Something that was quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedFile {
    /// Where it lies now.
    pub file: PathBuf,
    /// Why.
    pub why: String,
}

/// What a start found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Found {
    /// What was kept and is plausible.
    pub known: Snapshot,
    /// This incarnation's number: the clock's time in microseconds, or one more than any that was
    /// given before where that is higher. It is on the disk.
    pub incarnation: u64,
    /// What was quarantined.
    pub quarantined: Vec<QuarantinedFile>,
}

/// The stores of one owner, in an incarnation that has begun.
#[derive(Debug)]
pub struct SnapshotStore {
    store: Store,
}

impl SnapshotStore {
    /// Begins an incarnation at this time: reads what is kept, quarantines what cannot be, and
    /// reserves its incarnation.
    ///
    /// # Errors
    /// The disk does not do what is asked; what it has kept stays.
    pub fn begin(
        storage: &dyn StateStorage,
        owner: &str,
        now: Micros,
    ) -> Result<(Self, Found), StoreError> {
        let mut quarantined = Vec::new();
        let incarnation = incarnation(storage, owner, now, &mut quarantined)?;
        let store = opened(storage, FileKind::Snapshot, owner, &mut quarantined)?;
        let (store, known) = match read_plausible(&store, now) {
            Ok(known) => (store, known),
            Err(ReadError::Store(error)) => return Err(error),
            Err(why) => {
                drop(store);
                quarantined.push(QuarantinedFile {
                    file: storage.quarantine(FileKind::Snapshot)?,
                    why: why.to_string(),
                });
                (
                    opened(storage, FileKind::Snapshot, owner, &mut quarantined)?,
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

    /// Keeps changes, all or none; how many bytes of payload they were. They are on the disk when
    /// this returns.
    ///
    /// # Errors
    /// The disk does not take them. Whether they are kept is not known then: begin anew.
    pub fn commit(&self, changes: &Changes) -> Result<u64, StoreError> {
        encoding::write(&self.store, changes)
    }
}

fn opened(
    storage: &dyn StateStorage,
    file: FileKind,
    owner: &str,
    quarantined: &mut Vec<QuarantinedFile>,
) -> Result<Store, StoreError> {
    let opened = storage.open(file, owner)?;
    quarantined.extend(opened.quarantined.map(|quarantined| QuarantinedFile {
        file: quarantined.file,
        why: quarantined.why.to_string(),
    }));
    Ok(opened.store)
}

/// One that was never given before, on the disk before anybody hears of it.
fn incarnation(
    storage: &dyn StateStorage,
    owner: &str,
    now: Micros,
    quarantined: &mut Vec<QuarantinedFile>,
) -> Result<u64, StoreError> {
    let store = opened(storage, FileKind::Numbers, owner, quarantined)?;
    let last = last_incarnation(&store)?;
    let next = last
        .checked_add(1)
        .ok_or_else(|| StoreError("all incarnations are used up".to_owned()))?;
    let given = next.max(now.max(0).unsigned_abs());
    store.commit(&[Change::Put(INCARNATION, 0, &given.to_le_bytes())])?;
    Ok(given)
}

/// The highest that was ever given; 0 before any.
pub(crate) fn last_incarnation(store: &Store) -> Result<u64, StoreError> {
    let Some(bytes) = store.get(INCARNATION, 0)? else {
        return Ok(0);
    };
    let number = bytes.try_into().map(u64::from_le_bytes);
    number.map_err(|_| StoreError("the last incarnation has no number's form".to_owned()))
}
