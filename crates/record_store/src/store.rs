//! Collections of records in a redb database.

use crate::record::{self, Corruption, MAX_OWNER_BYTES};
use redb::{
    Database, DatabaseError, ReadableDatabase, ReadableTable, StorageError, TableDefinition,
};
use std::fmt;
use std::io::ErrorKind;
use std::path::Path;

/// All records, by collection and number.
const RECORDS: TableDefinition<(&str, u64), &[u8]> = TableDefinition::new("records");
/// The collection whose only record identifies the owner, so that a store without other records is
/// checked too.
const OWNER: &str = ".owner";
/// Memory for the page cache, in bytes; small, as callers keep what they use, and records are read
/// only at the start.
const CACHE_BYTES: usize = 1 << 20;

/// The disk did not perform an operation. A commit may or may not be durable then, and the caller
/// must not rely on either.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreError(pub String);

impl StoreError {
    pub(crate) fn from_display(error: impl fmt::Display) -> Self {
        Self(error.to_string())
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
    /// Its contents are corrupt: quarantine it and start a new one.
    Corruption(Corruption),
    /// The disk can't be used, or another process uses the store; its contents may be intact.
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
        let file_error =
            |detail: &dyn fmt::Display| Self::Corruption(Corruption::File(detail.to_string()));
        match &error {
            DatabaseError::Storage(StorageError::Corrupted(detail)) => file_error(detail),
            DatabaseError::Storage(StorageError::Io(e))
                if matches!(e.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
            {
                file_error(e)
            }
            DatabaseError::UpgradeRequired(_) | DatabaseError::RepairAborted => file_error(&error),
            _ => Self::StoreError(StoreError::from_display(error)),
        }
    }
}

/// One operation of a commit.
#[derive(Clone, Copy, Debug)]
pub enum Change<'a> {
    /// Stores a payload under a key, replacing any previous one.
    Put(&'a str, u64, &'a [u8]),
    /// Removes the records of a collection from this number on.
    RemoveFrom(&'a str, u64),
    /// Removes the records of a collection below this number.
    RemoveBelow(&'a str, u64),
}

/// An open store, all of whose records passed their checks.
#[derive(Debug)]
pub struct Store {
    records: Database,
    owner: String,
}

impl Store {
    /// Opens a store on a backend for `owner`, or creates it if the backend is empty.
    ///
    /// # Errors
    /// [`OpenError::Corruption`] if a page, a record or the owner's name is wrong;
    /// [`OpenError::StoreError`] if the backend fails or the owner's name is longer than
    /// [`MAX_OWNER_BYTES`] bytes.
    pub fn open_backend(
        backend: impl redb::StorageBackend,
        owner: &str,
    ) -> Result<Self, OpenError> {
        Self::open_database(builder().create_with_backend(backend)?, owner)
    }

    /// As above, in a file.
    pub(crate) fn open_file(path: &Path, owner: &str) -> Result<Self, OpenError> {
        Self::open_database(builder().create(path)?, owner)
    }

    fn open_database(records: Database, owner: &str) -> Result<Self, OpenError> {
        if owner.len() > MAX_OWNER_BYTES {
            let reason = format!("the owner's name is longer than {MAX_OWNER_BYTES} bytes");
            return Err(OpenError::StoreError(StoreError(reason)));
        }
        let store = Self {
            records,
            owner: owner.to_owned(),
        };
        match store.check_records() {
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

    /// Checks every record; returns their number.
    fn check_records(&self) -> Result<usize, OpenError> {
        let open_error = |e: redb::Error| match e {
            redb::Error::Corrupted(detail) => OpenError::Corruption(Corruption::File(detail)),
            e => OpenError::StoreError(StoreError::from_display(e)),
        };
        let transaction = self
            .records
            .begin_read()
            .map_err(|e| open_error(e.into()))?;
        let table = match transaction.open_table(RECORDS) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(0),
            Err(e) => return Err(OpenError::Corruption(Corruption::File(e.to_string()))),
        };
        let mut count = 0;
        for row in table.iter().map_err(|e| open_error(e.into()))? {
            let (key, record) = row.map_err(|e| open_error(e.into()))?;
            let (collection, number) = key.value();
            record::decode(&self.owner, collection, number, record.value())
                .map_err(OpenError::Corruption)?;
            count += 1;
        }
        Ok(count)
    }

    /// The payload of a record.
    ///
    /// # Errors
    /// The disk can't be read, or the record has changed since it was checked.
    pub fn get(&self, collection: &str, number: u64) -> Result<Option<Vec<u8>>, StoreError> {
        let transaction = self
            .records
            .begin_read()
            .map_err(StoreError::from_display)?;
        let table = transaction
            .open_table(RECORDS)
            .map_err(StoreError::from_display)?;
        let Some(record) = table
            .get((collection, number))
            .map_err(StoreError::from_display)?
        else {
            return Ok(None);
        };
        record::decode(&self.owner, collection, number, record.value())
            .map(|p| Some(p.to_vec()))
            .map_err(StoreError::from_display)
    }

    /// The records of a collection, in the order of their numbers.
    ///
    /// # Errors
    /// As [`Store::get`].
    pub fn collection(&self, collection: &str) -> Result<Vec<(u64, Vec<u8>)>, StoreError> {
        let transaction = self
            .records
            .begin_read()
            .map_err(StoreError::from_display)?;
        let table = transaction
            .open_table(RECORDS)
            .map_err(StoreError::from_display)?;
        let rows = table
            .range((collection, 0)..=(collection, u64::MAX))
            .map_err(StoreError::from_display)?;
        rows.map(|row| {
            let (key, record) = row.map_err(StoreError::from_display)?;
            let number = key.value().1;
            let payload = record::decode(&self.owner, collection, number, record.value())
                .map_err(StoreError::from_display)?;
            Ok((number, payload.to_vec()))
        })
        .collect()
    }

    /// Performs all changes in order, or none. They are durable when this returns.
    ///
    /// # Errors
    /// The commit failed; whether it is durable is unknown.
    pub fn commit(&self, changes: &[Change<'_>]) -> Result<(), StoreError> {
        let transaction = self
            .records
            .begin_write()
            .map_err(StoreError::from_display)?;
        {
            let mut table = transaction
                .open_table(RECORDS)
                .map_err(StoreError::from_display)?;
            for change in changes {
                match *change {
                    Change::Put(collection, number, payload) => {
                        let record = record::encode(&self.owner, collection, number, payload);
                        table
                            .insert((collection, number), record.as_slice())
                            .map_err(StoreError::from_display)?;
                    }
                    Change::RemoveFrom(collection, first) => table
                        .retain_in((collection, first)..=(collection, u64::MAX), |_, _| false)
                        .map_err(StoreError::from_display)?,
                    Change::RemoveBelow(collection, end) => {
                        table
                            .retain_in((collection, 0)..(collection, end), |_, _| false)
                            .map_err(StoreError::from_display)?;
                    }
                }
            }
        }
        transaction.commit().map_err(StoreError::from_display)
    }
}

fn builder() -> redb::Builder {
    let mut builder = Database::builder();
    // The checksum of every page is verified before anything is used.
    builder
        .set_cache_size(CACHE_BYTES)
        .set_check_integrity_on_open(true);
    builder
}
