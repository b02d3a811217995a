//! Tables of records over one redb database.

use crate::record::{self, Corruption, MAX_OWNER_BYTES};
use redb::{
    Database, DatabaseError, ReadableDatabase, ReadableTable, StorageError, TableDefinition,
};
use std::fmt;
use std::io::ErrorKind;
use std::path::Path;

/// All records: by room, then number.
const RECORDS: TableDefinition<(&str, u64), &[u8]> = TableDefinition::new("records");
/// The room whose only record says whose store it is: one without any other record is checked too.
const OWNER: &str = ".owner";
/// Memory for pages, in bytes: callers keep what they use themselves, records are read at the start
/// alone.
const CACHE: usize = 1 << 20;

/// The disk did not do what was asked. What was to be committed may or may not be kept: the caller
/// must not go on as if it knew.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreError(pub String);

impl StoreError {
    pub(crate) fn of(what: impl fmt::Display) -> Self {
        Self(what.to_string())
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StoreError {}

/// Why a store was not opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// What is kept cannot be believed: set it aside and begin anew.
    Corruption(Corruption),
    /// The disk cannot be used, or another process uses the store: what is kept may be whole.
    StoreError(StoreError),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Corruption(broken) => broken.fmt(f),
            Self::StoreError(trouble) => trouble.fmt(f),
        }
    }
}

impl std::error::Error for OpenError {}

impl From<DatabaseError> for OpenError {
    fn from(error: DatabaseError) -> Self {
        let file = |what: &dyn fmt::Display| Self::Corruption(Corruption::File(what.to_string()));
        match &error {
            DatabaseError::Storage(StorageError::Corrupted(what)) => file(what),
            DatabaseError::Storage(StorageError::Io(e))
                if matches!(e.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
            {
                file(e)
            }
            DatabaseError::UpgradeRequired(_) | DatabaseError::RepairAborted => file(&error),
            _ => Self::StoreError(StoreError::of(error)),
        }
    }
}

/// One step of a commit.
#[derive(Clone, Copy, Debug)]
pub enum Change<'a> {
    /// Keeps a payload at a place, over what was there.
    Put(&'a str, u64, &'a [u8]),
    /// Removes what a room holds from this number on, itself included.
    RemoveFrom(&'a str, u64),
    /// Removes what a room holds below this number.
    RemoveBelow(&'a str, u64),
}

/// An open store, all of whose records were found whole.
#[derive(Debug)]
pub struct Store {
    records: Database,
    owner: String,
}

impl Store {
    /// Opens what a backend holds, or begins in an empty one, for `owner`.
    ///
    /// # Errors
    /// [`OpenError::Corruption`] where a page, a record or the owner's name is not as written;
    /// [`OpenError::StoreError`] where the backend fails or the owner's name is longer than
    /// [`MAX_OWNER_BYTES`] bytes.
    pub fn on(backend: impl redb::StorageBackend, owner: &str) -> Result<Self, OpenError> {
        Self::checked(builder().create_with_backend(backend)?, owner)
    }

    /// The same in a file.
    pub(crate) fn at(path: &Path, owner: &str) -> Result<Self, OpenError> {
        Self::checked(builder().create(path)?, owner)
    }

    fn checked(records: Database, owner: &str) -> Result<Self, OpenError> {
        if owner.len() > MAX_OWNER_BYTES {
            let what = format!("the owner's name is longer than {MAX_OWNER_BYTES} bytes");
            return Err(OpenError::StoreError(StoreError(what)));
        }
        let store = Self {
            records,
            owner: owner.to_owned(),
        };
        match store.check() {
            Ok(0) => {
                store
                    .commit(&[Change::Put(OWNER, 0, &[])])
                    .map_err(OpenError::StoreError)?;
                Ok(store)
            }
            Ok(_) => Ok(store),
            Err(refusal) => Err(refusal),
        }
    }

    /// Checks every record; how many there are.
    fn check(&self) -> Result<usize, OpenError> {
        let trouble = |e: redb::Error| match e {
            redb::Error::Corrupted(what) => OpenError::Corruption(Corruption::File(what)),
            e => OpenError::StoreError(StoreError::of(e)),
        };
        let read = self.records.begin_read().map_err(|e| trouble(e.into()))?;
        let table = match read.open_table(RECORDS) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(0),
            Err(e) => return Err(OpenError::Corruption(Corruption::File(e.to_string()))),
        };
        let mut count = 0;
        for row in table.iter().map_err(|e| trouble(e.into()))? {
            let (place, record) = row.map_err(|e| trouble(e.into()))?;
            let (collection, number) = place.value();
            record::open(&self.owner, collection, number, record.value())
                .map_err(OpenError::Corruption)?;
            count += 1;
        }
        Ok(count)
    }

    /// The payload at a place.
    ///
    /// # Errors
    /// The disk cannot be read, or the record is no longer what was checked at the start.
    pub fn get(&self, collection: &str, number: u64) -> Result<Option<Vec<u8>>, StoreError> {
        let read = self.records.begin_read().map_err(StoreError::of)?;
        let table = read.open_table(RECORDS).map_err(StoreError::of)?;
        let Some(record) = table.get((collection, number)).map_err(StoreError::of)? else {
            return Ok(None);
        };
        record::open(&self.owner, collection, number, record.value())
            .map(|p| Some(p.to_vec()))
            .map_err(StoreError::of)
    }

    /// All that a room holds, in the order of its numbers.
    ///
    /// # Errors
    /// As [`Store::get`].
    pub fn collection(&self, collection: &str) -> Result<Vec<(u64, Vec<u8>)>, StoreError> {
        let read = self.records.begin_read().map_err(StoreError::of)?;
        let table = read.open_table(RECORDS).map_err(StoreError::of)?;
        let rows = table
            .range((collection, 0)..=(collection, u64::MAX))
            .map_err(StoreError::of)?;
        rows.map(|row| {
            let (place, record) = row.map_err(StoreError::of)?;
            let number = place.value().1;
            let payload = record::open(&self.owner, collection, number, record.value())
                .map_err(StoreError::of)?;
            Ok((number, payload.to_vec()))
        })
        .collect()
    }

    /// Makes all changes or none, in their order. They are on the disk when this returns.
    ///
    /// # Errors
    /// The disk does not take them; whether it keeps them is not known then.
    pub fn commit(&self, changes: &[Change<'_>]) -> Result<(), StoreError> {
        let write = self.records.begin_write().map_err(StoreError::of)?;
        {
            let mut table = write.open_table(RECORDS).map_err(StoreError::of)?;
            for change in changes {
                match *change {
                    Change::Put(collection, number, payload) => {
                        let record = record::seal(&self.owner, collection, number, payload);
                        table
                            .insert((collection, number), record.as_slice())
                            .map_err(StoreError::of)?;
                    }
                    Change::RemoveFrom(collection, first) => table
                        .retain_in((collection, first)..=(collection, u64::MAX), |_, _| false)
                        .map_err(StoreError::of)?,
                    Change::RemoveBelow(collection, end) => {
                        table
                            .retain_in((collection, 0)..(collection, end), |_, _| false)
                            .map_err(StoreError::of)?;
                    }
                }
            }
        }
        write.commit().map_err(StoreError::of)
    }
}

fn builder() -> redb::Builder {
    let mut builder = Database::builder();
    // Every page of the trees is compared with its checksum before anything is believed.
    builder
        .set_cache_size(CACHE)
        .set_check_integrity_on_open(true);
    builder
}
